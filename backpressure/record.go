// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Record is the message in which a process tells others the rate limit of an endpoint
// and whether the endpoint is draining. The limit's age is sent instead of its time, so
// the clocks of the processes need not agree.
type Record struct {
	ID string `json:"i"`
	// StartedMS is when the incarnation started, in Unix milliseconds; 0 if unknown.
	StartedMS int64   `json:"b,omitempty"`
	Draining  bool    `json:"l,omitempty"`
	Limited   bool    `json:"m,omitempty"`
	Rate      float64 `json:"r,omitempty"`
	// LimitAgeMS is the time, in milliseconds, since an endpoint's response or load
	// report last set, confirmed or ended the limit; negative if there was none.
	LimitAgeMS int64 `json:"a"`
	// Cold describes the endpoint's warm-up; nil if it has not been cold.
	Cold *ColdRecord `json:"c,omitempty"`
}

// Parameters of the exchange of records between processes.
const (
	// mergeMargin applies to a looser limit from another process: it replaces the
	// limit in force only if it is newer by more than mergeMargin. Network delay makes
	// a record seem newer than it is.
	mergeMargin = 50 * time.Millisecond
	// maxRecords bounds the records of one message, which have about 60 bytes each.
	maxRecords = 4
	// recordWindow is how long after the last signal of an endpoint Table.Records
	// includes its record.
	recordWindow = 10 * time.Second
)

// record returns the endpoint's signals as a message to other processes.
func (s *State) record(now time.Time) Record {
	r := Record{ID: s.id, StartedMS: s.startedMS, Draining: s.draining, Limited: s.limit.Set, Rate: s.limit.Rate, LimitAgeMS: -1, Cold: s.coldRecord(now)}
	if !s.limitAt.IsZero() {
		r.LimitAgeMS = now.Sub(s.limitAt).Milliseconds()
	}
	return r
}

// Merge applies a record that another process sent to the state of its endpoint, and
// returns the resulting changes. A record of an
// earlier incarnation of the endpoint is ignored.
func (t *Table) Merge(r Record, now time.Time) []Change {
	s := t.State(r.ID, r.StartedMS)
	if s.startedMS > r.StartedMS && r.StartedMS != 0 {
		return nil // an earlier incarnation
	}
	if r.Draining || r.LimitAgeMS >= 0 {
		s.signalAt = now
	}
	out := s.mergeCold(r.Cold, now)
	if r.Draining && !s.draining {
		out = append(out, s.MarkDraining()...)
		s.notify = false // the sender notifies the other processes
	}
	if r.LimitAgeMS < 0 {
		return out
	}
	at := now.Add(-time.Duration(r.LimitAgeMS) * time.Millisecond)
	limit := Limit{Set: r.Limited, Rate: r.Rate}
	margin := mergeMargin
	if limit.tighter(s.limit) {
		margin = 0
	}
	if !at.After(s.limitAt.Add(margin)) {
		return out
	}
	return append(out, s.setLimit(limit, at)...)
}

// Records returns up to maxRecords records of the endpoints with signals within
// recordWindow, the latest first.
func (t *Table) Records(now time.Time) []Record {
	var states []*State
	for _, s := range t.states {
		if now.Sub(s.signalAt) < recordWindow {
			states = append(states, s)
		}
	}
	slices.SortFunc(states, func(a, b *State) int { return cmp.Or(b.signalAt.Compare(a.signalAt), cmp.Compare(a.id, b.id)) })
	out := make([]Record, min(len(states), maxRecords))
	for n := range out {
		out[n] = states[n].record(now)
	}
	return out
}
