// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"
)

// Record is the entry of a request as sent between processes. Times are sent as
// ages, so the clocks of the processes need not agree.
type Record struct {
	ID      ID      `json:"i"`
	Epoch   uint32  `json:"e,omitempty"`
	Crashes []Crash `json:"c,omitempty"`
}

// Crash is one crash of a Record.
type Crash struct {
	// Key identifies the crash.
	Key   uint32 `json:"k"`
	AgeMS int64  `json:"a"`
	// RanMS is the time from sending the request to the crash, in milliseconds.
	RanMS int64 `json:"r"`
}

// Sizes of one message, such that it fits a datagram with a subscription or a
// load report: 40 bytes a record and 40 a crash.
const (
	maxRecords = 6
	// rotatingRecords is how many of maxRecords rotate among the entries that are
	// not among the most urgent.
	rotatingRecords = 2
	// reportTime is how long after a change a request that is not in quarantine
	// is sent. All processes have received it by then, and the crashes of busy
	// endpoints would otherwise fill the datagrams for CrashTTL.
	reportTime = 30 * time.Second
	// maxRecordCrashes bounds the crashes of a record; it suffices for quarantine.
	maxRecordCrashes = Threshold + 1
)

// Records returns the most urgent records: requests in quarantine first, then by
// time of the last change. Subsequent calls return the rest in rotation. Expired
// entries are evicted.
func (t *Table) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 {
		return nil
	}
	ids := make([]ID, 0, len(t.entries))
	for id, e := range t.entries {
		if t.expired(e, now) {
			delete(t.entries, id)
			continue
		}
		if e.count() >= Threshold || now.Sub(e.changedAt) <= reportTime {
			ids = append(ids, id)
		}
	}
	t.nonEmpty.Store(len(t.entries) > 0)
	slices.SortFunc(ids, func(a, b ID) int { return compareUrgency(t.entries[a], t.entries[b]) })
	if len(ids) > maxRecords {
		first, rest := ids[:maxRecords-rotatingRecords], ids[maxRecords-rotatingRecords:]
		for range rotatingRecords {
			t.rotation++
			first = append(slices.Clone(first), rest[t.rotation%len(rest)])
		}
		ids = first
	}
	out := make([]Record, len(ids))
	for n, id := range ids {
		out[n] = t.entries[id].record(id, now)
	}
	return out
}

// compareUrgency orders entries for Records, the more urgent first.
func compareUrgency(a, b *entry) int {
	quarantinedA, quarantinedB := a.count() >= Threshold, b.count() >= Threshold
	switch {
	case quarantinedA && !quarantinedB:
		return -1
	case quarantinedB && !quarantinedA:
		return 1
	default:
		return b.changedAt.Compare(a.changedAt)
	}
}

func (e *entry) record(id ID, now time.Time) Record {
	r := Record{ID: id, Epoch: e.epoch}
	for _, c := range e.recordCrashes() {
		r.Crashes = append(r.Crashes, Crash{Key: c.key, AgeMS: now.Sub(c.at).Milliseconds(), RanMS: c.at.Sub(c.sent).Milliseconds()})
	}
	return r
}

// recordCrashes returns up to maxRecordCrashes crashes; if there are more, only
// independent ones.
func (e *entry) recordCrashes() []crash {
	if len(e.crashes) <= maxRecordCrashes {
		return e.crashes
	}
	out := e.crashes[:1:1]
	for _, c := range e.crashes[1:] {
		if len(out) < maxRecordCrashes && c.independent(out[len(out)-1].at) {
			out = append(out, c)
		}
	}
	return out
}

// Merge merges records of another process, and reports whether they changed the
// table.
func (t *Table) Merge(records []Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = t.mergeRecord(r, now) || changed
	}
	return changed
}

// mergeRecord merges one record, and reports whether it changed the table; Table.mu
// is held.
func (t *Table) mergeRecord(r Record, now time.Time) bool {
	e := t.entries[r.ID]
	if e != nil && t.expired(e, now) {
		e = nil
	}
	known := e != nil
	switch {
	case !known && r.Epoch == 0 && len(r.Crashes) == 0:
		return false
	case !known:
		e = &entry{epoch: r.Epoch, changedAt: now}
	case r.Epoch < e.epoch:
		return false
	case r.Epoch > e.epoch:
		e.epoch, e.crashes, e.ownKeys = r.Epoch, nil, nil
		e.changedAt, known = now, false
	}
	added := false
	for _, c := range r.Crashes {
		at := now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
		if c.AgeMS >= 0 && c.RanMS >= 0 && now.Sub(at) <= CrashTTL {
			sent := at.Add(-time.Duration(c.RanMS) * time.Millisecond)
			added = e.add(crash{key: c.Key, sent: sent, at: at}) || added
		}
	}
	e.refreshedAt = now
	if added {
		e.changedAt = now
	}
	if t.entries[r.ID] != e {
		t.put(r.ID, e, now)
	}
	return added || !known
}
