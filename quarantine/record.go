// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"
)

// Record is the message in which a process tells others which endpoint crashes are
// recorded against a request. Points in time are sent as ages, so the clocks of the
// processes need not agree.
type Record struct {
	ID ID `json:"i"`
	// Epoch increases each time the crashes of the request are cleared.
	Epoch   uint32  `json:"e,omitempty"`
	Crashes []Crash `json:"c,omitempty"`
}

// Crash is the crash of an endpoint to which the request of a Record was sent.
type Crash struct {
	// Key identifies the crash. It is random.
	Key uint32 `json:"k"`
	// AgeMS is the time since the crash, in milliseconds.
	AgeMS int64 `json:"a"`
	// RanMS is the time from sending the request to the crash, in milliseconds.
	RanMS int64 `json:"r"`
}

// Limits on the records of one message, which must fit into a datagram together with a
// subscription or a load report. A record takes about 40 bytes, and each of its crashes
// as many.
const (
	maxRecords = 6
	// rotatingRecords is the number of records of a message that do not go to the most
	// urgent entries, but to each of the others in turn.
	rotatingRecords = 2
	// reportTime is how long after its last change the entry of a request that is not
	// in quarantine is still sent to other processes. Older entries have reached all processes and would only
	// fill the datagrams.
	reportTime = 30 * time.Second
	// maxRecordCrashes bounds the crashes of one record. It is sufficient to put the
	// request in quarantine.
	maxRecordCrashes = Threshold + 1
)

// Records returns up to maxRecords records to send. Most are those of the most urgent
// entries: requests in quarantine first, then the latest changes. The rest are taken
// from the other entries in rotation, so that repeated calls return all of them. Expired
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

// record returns the entry as a message to other processes; id identifies its request.
func (e *entry) record(id ID, now time.Time) Record {
	r := Record{ID: id, Epoch: e.epoch}
	for _, c := range e.recordCrashes() {
		r.Crashes = append(r.Crashes, Crash{Key: c.key, AgeMS: now.Sub(c.at).Milliseconds(), RanMS: c.at.Sub(c.sent).Milliseconds()})
	}
	return r
}

// recordCrashes returns up to maxRecordCrashes crashes. If the entry has more, it
// returns only crashes that count separately; see crash.independent.
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
