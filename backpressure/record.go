// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Record is what one process tells another of an endpoint. Times are ages: the
// processes' clocks need not agree.
type Record struct {
	ID       string  `json:"i"`
	Born     int64   `json:"b,omitempty"`
	Draining bool    `json:"l,omitempty"`
	Limited  bool    `json:"m,omitempty"`
	Rate     float64 `json:"r,omitempty"`
	// LimitAgeMS is how long ago the limit, or its end, was last heard; less than 0
	// if neither ever was.
	LimitAgeMS int64 `json:"a"`
}

const (
	// mergeMargin is by how much later than what is known the signal of another
	// process must be that allows more: what is on its way seems younger than it
	// is.
	mergeMargin = 50 * time.Millisecond
	// maxTold and toldFor bound what is told unasked, of endpoints that said
	// something lately: about 60 bytes each.
	maxTold = 4
	toldFor = 10 * time.Second
)

// record is what the state tells others.
func (s *State) record(now time.Time) Record {
	r := Record{ID: s.id, Born: s.born, Draining: s.draining, Limited: s.limit.Named, Rate: s.limit.Rate, LimitAgeMS: -1}
	if !s.limitAt.IsZero() {
		r.LimitAgeMS = now.Sub(s.limitAt).Milliseconds()
	}
	return r
}

// Merge takes what another process tells, and returns what has changed.
func (t *Table) Merge(r Record, now time.Time) []Change {
	s := t.Of(r.ID, r.Born)
	if s.born > r.Born && r.Born != 0 {
		return nil // of the life before
	}
	if r.Draining || r.LimitAgeMS >= 0 {
		s.heardAt = now
	}
	var out []Change
	if r.Draining && !s.draining {
		out = s.Drain()
		s.tell = false // whoever told it tells the others
	}
	if r.LimitAgeMS < 0 {
		return out
	}
	at := now.Add(-time.Duration(r.LimitAgeMS) * time.Millisecond)
	limit := Limit{Named: r.Limited, Rate: r.Rate}
	margin := mergeMargin
	if limit.tighter(s.limit) {
		margin = 0
	}
	if !at.After(s.limitAt.Add(margin)) {
		return out
	}
	return append(out, s.setLimit(limit, at)...)
}

// Tell returns what was said last, of as many endpoints as are told unasked.
func (t *Table) Tell(now time.Time) []Record {
	var states []*State
	for _, s := range t.states {
		if now.Sub(s.heardAt) < toldFor {
			states = append(states, s)
		}
	}
	slices.SortFunc(states, func(a, b *State) int { return cmp.Or(b.heardAt.Compare(a.heardAt), cmp.Compare(a.id, b.id)) })
	out := make([]Record, min(len(states), maxTold))
	for n := range out {
		out[n] = states[n].record(now)
	}
	return out
}
