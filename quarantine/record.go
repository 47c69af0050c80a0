// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"
)

// Record is what one process tells another of a request. Times are ages: the
// processes' clocks need not agree.
type Record struct {
	ID      ID      `json:"i"`
	Epoch   uint32  `json:"e,omitempty"`
	Crashes []Crash `json:"c,omitempty"`
}

// Crash is one crash of a Record.
type Crash struct {
	Key   uint32 `json:"k"`
	AgeMS int64  `json:"a"`
	// RanMS is how long before the crash the request was sent.
	RanMS int64 `json:"r"`
}

// Sizes of what is told at once, so that it fits a datagram beside a
// subscription or a report: 40 bytes a record and 40 a crash.
const (
	toldRequests = 6
	// toldInTurn of them are taken in turn from those that are not among the
	// first.
	toldInTurn = 2
	// toldFor is how long a request that is not in quarantine is told after it
	// changed: all have heard by then, and what the crashes of busy endpoints leave
	// would fill the datagrams for all of its Life.
	toldFor = 30 * time.Second
	// toldCrashes of a request are enough for quarantine.
	toldCrashes = Threshold + 1
)

// Tell returns the most important records: requests in quarantine first, then
// what changed last. What does not fit comes with one of the next calls.
func (t *Table) Tell(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 {
		return nil
	}
	ids := make([]ID, 0, len(t.entries))
	for id, e := range t.entries {
		if t.dead(e, now) {
			delete(t.entries, id)
			continue
		}
		if e.count() >= Threshold || now.Sub(e.changed) <= toldFor {
			ids = append(ids, id)
		}
	}
	t.known.Store(len(t.entries) > 0)
	slices.SortFunc(ids, func(a, b ID) int { return compareUrgency(t.entries[a], t.entries[b]) })
	if len(ids) > toldRequests {
		first, rest := ids[:toldRequests-toldInTurn], ids[toldRequests-toldInTurn:]
		for range toldInTurn {
			t.turn++
			first = append(slices.Clone(first), rest[t.turn%len(rest)])
		}
		ids = first
	}
	out := make([]Record, len(ids))
	for at, id := range ids {
		out[at] = t.entries[id].record(id, now)
	}
	return out
}

// compareUrgency orders entries for Tell, the more urgent first.
func compareUrgency(a, b *entry) int {
	inA, inB := a.count() >= Threshold, b.count() >= Threshold
	switch {
	case inA && !inB:
		return -1
	case inB && !inA:
		return 1
	default:
		return b.changed.Compare(a.changed)
	}
}

func (e *entry) record(id ID, now time.Time) Record {
	r := Record{ID: id, Epoch: e.epoch}
	for _, c := range e.spread() {
		r.Crashes = append(r.Crashes, Crash{Key: c.key, AgeMS: now.Sub(c.at).Milliseconds(), RanMS: c.at.Sub(c.sent).Milliseconds()})
	}
	return r
}

// spread returns up to toldCrashes crashes that count the most.
func (e *entry) spread() []crash {
	if len(e.crashes) <= toldCrashes {
		return e.crashes
	}
	out := e.crashes[:1:1]
	for _, c := range e.crashes[1:] {
		if len(out) < toldCrashes && c.independent(out[len(out)-1].at) {
			out = append(out, c)
		}
	}
	return out
}

// Merge takes what another process told, and reports whether it was news.
func (t *Table) Merge(records []Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for _, r := range records {
		news = t.merge(r, now) || news
	}
	return news
}

func (t *Table) merge(r Record, now time.Time) bool {
	e := t.entries[r.ID]
	if e != nil && t.dead(e, now) {
		e = nil
	}
	known := e != nil
	switch {
	case !known && r.Epoch == 0 && len(r.Crashes) == 0:
		return false
	case !known:
		e = &entry{epoch: r.Epoch, changed: now}
	case r.Epoch < e.epoch:
		return false
	case r.Epoch > e.epoch:
		e.epoch, e.crashes, e.own = r.Epoch, nil, nil
		e.changed, known = now, false
	}
	added := false
	for _, c := range r.Crashes {
		at := now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
		if c.AgeMS >= 0 && c.RanMS >= 0 && now.Sub(at) <= Life {
			sent := at.Add(-time.Duration(c.RanMS) * time.Millisecond)
			added = e.add(crash{key: c.Key, sent: sent, at: at}) || added
		}
	}
	e.told = now
	if added {
		e.changed = now
	}
	if t.entries[r.ID] != e {
		t.put(r.ID, e, now)
	}
	return added || !known
}
