// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Record is the message in which a process tells others which endpoint crashes are
// recorded against a trait. Points in time are sent as ages, so the clocks of the
// processes need not agree.
type Record struct {
	ID ID `json:"i"`
	// Depth is the position in a prompt of the part that is the trait, from 1 on, or 0 if
	// the trait is the identity of a request.
	Depth int `json:"d,omitempty"`
	// Epoch increases each time the crashes of the trait are cleared.
	Epoch   uint32  `json:"e,omitempty"`
	Crashes []Crash `json:"c,omitempty"`
	// Completed reports that a request with the trait has completed.
	Completed bool `json:"s,omitempty"`
	// Held reports that the trait has been put in quarantine.
	Held bool `json:"q,omitempty"`
	// RejectedMS is the time since a request with the trait was last rejected, in
	// milliseconds and at least 1, or 0 if none was.
	RejectedMS int64 `json:"u,omitempty"`
}

// Crash is the crash of an endpoint to which a request with the trait of a Record was sent.
type Crash struct {
	// Key identifies the incarnation of the endpoint.
	Key uint32 `json:"k"`
	// AgeMS is the time since the crash, in milliseconds.
	AgeMS int64 `json:"a"`
	// RanMS is the time from sending the request to the crash, in milliseconds.
	RanMS int64 `json:"r"`
}

// Limits on the records of one message, which must fit into a datagram together with a
// subscription or a load report. A record takes about 60 bytes, and each of its crashes 40.
const (
	maxRecords = 6
	// rotatingRecords is the number of records of a message that do not go to the most
	// urgent entries, but to each of the others in turn.
	rotatingRecords = 2
	// reportTime is how long after its last change the entry of a trait that is not in
	// quarantine is still sent to other processes. Older entries have reached all processes
	// and would only fill the datagrams.
	reportTime = 30 * time.Second
	// maxMessageCrashes bounds the crashes of all records of a message.
	maxMessageCrashes = 20
	// minRecordCrashes is the number of crashes that fit into each record at least, and
	// maxRecordCrashes bounds those of one record. The latter is sufficient to put any
	// trait in quarantine.
	minRecordCrashes = 2
	maxRecordCrashes = completedThreshold + 1
)

// Records returns up to maxRecords records to send. Most are those of the most urgent
// entries. The rest are taken from the other entries in rotation, so that repeated calls
// return all of them. Expired entries are evicted.
func (t *Table) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 {
		return nil
	}
	t.evaluate(now)
	for id, e := range t.entries {
		if t.expired(e, now) {
			delete(t.entries, id)
		}
	}
	t.nonEmpty.Store(len(t.entries) > 0)
	ids := t.mostUrgent(func(e *entry) bool { return e.quarantined || now.Sub(e.changedAt) <= reportTime })
	if len(ids) > maxRecords {
		first, rest := ids[:maxRecords-rotatingRecords], ids[maxRecords-rotatingRecords:]
		for range rotatingRecords {
			t.rotation++
			first = append(slices.Clone(first), rest[t.rotation%len(rest)])
		}
		ids = first
	}
	return t.records(ids, now)
}

// urgentCrashes is the number of crashes that count against a suspected trait from which
// other processes should know at once.
const urgentCrashes = 2

// UrgentRecords returns up to maxRecords records of entries that have changed since a time
// and that other processes should know at once, since they may reject or no longer retry
// requests because of them.
func (t *Table) UrgentRecords(since, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
	ids := t.mostUrgent(func(e *entry) bool {
		return e.suspected() && e.unexplained >= urgentCrashes && e.changedAt.After(since)
	})
	return t.records(ids[:min(len(ids), maxRecords)], now)
}

// mostUrgent returns the IDs of the entries that selected returns true for, the most urgent
// first. Table.mu must be held.
func (t *Table) mostUrgent(selected func(*entry) bool) []ID {
	ids := make([]ID, 0, len(t.entries))
	for id, e := range t.entries {
		if selected(e) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b ID) int { return compareUrgency(t.entries[a], t.entries[b]) })
	return ids
}

// records returns the records of at most maxRecords entries. Table.mu must be held.
func (t *Table) records(ids []ID, now time.Time) []Record {
	out := make([]Record, len(ids))
	left := maxMessageCrashes
	for n, id := range ids {
		reserved := minRecordCrashes * (len(ids) - 1 - n)
		out[n] = t.entries[id].record(id, min(left-reserved, maxRecordCrashes), now)
		left -= len(out[n].Crashes)
	}
	return out
}

// compareUrgency orders entries for Records, the more urgent first: those in quarantine,
// then those suspected, the ones with the most crashes first, then the latest changes.
func compareUrgency(a, b *entry) int {
	switch {
	case a.quarantined != b.quarantined:
		return compareBool(a.quarantined, b.quarantined)
	case a.suspected() != b.suspected():
		return compareBool(a.suspected(), b.suspected())
	case a.suspected() && a.unexplained != b.unexplained:
		return cmp.Compare(b.unexplained, a.unexplained)
	default:
		return b.changedAt.Compare(a.changedAt)
	}
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// record returns the entry, with at most limit of its crashes, as a message to other
// processes; id identifies its trait.
func (e *entry) record(id ID, limit int, now time.Time) Record {
	r := Record{ID: id, Depth: e.depth, Epoch: e.epoch, Completed: e.completed, Held: e.held}
	if !e.rejectedAt.IsZero() {
		r.RejectedMS = max(1, now.Sub(e.rejectedAt).Milliseconds())
	}
	for _, c := range e.recordCrashes(limit) {
		r.Crashes = append(r.Crashes, Crash{Key: c.key, AgeMS: now.Sub(c.at).Milliseconds(), RanMS: c.at.Sub(c.sent).Milliseconds()})
	}
	return r
}

// recordCrashes returns up to limit crashes. If the entry has more, it returns the last one,
// and before it those that count separately and are not explained.
func (e *entry) recordCrashes(limit int) []crash {
	if len(e.crashes) <= limit {
		return e.crashes
	}
	var out []crash
	for _, c := range e.crashes[:len(e.crashes)-1] {
		if len(out) < limit-1 && !c.explained && (len(out) == 0 || c.independent(out[len(out)-1].at)) {
			out = append(out, c)
		}
	}
	return append(out, e.crashes[len(e.crashes)-1])
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

// KnowsCompletion reports whether a request with the trait of one of the records has
// completed in this process, which the records lack. The process should then send its own
// records at once: without a completion, a trait is quarantined after fewer crashes.
func (t *Table) KnowsCompletion(records []Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(records, func(r Record) bool {
		return len(r.Crashes) > 0 && !r.Completed && t.hasCompleted(r.ID, r.Depth)
	})
}

// maxCrashAge is the maximum age of a crash while requests with its trait are rejected.
const maxCrashAge = 24 * time.Hour

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
		e.reset(r.Epoch)
		e.changedAt, known = now, false
	}
	e.depth = min(max(e.depth, r.Depth), maxParts)
	completed := e.completed || r.Completed || t.hasCompleted(r.ID, e.depth)
	added := completed != e.completed
	t.changed = t.changed || r.Held != e.held
	e.completed, e.held = completed, e.held || r.Held
	if rejected, ok := ago(now, r.RejectedMS, CrashTTL); ok && r.RejectedMS > 0 && rejected.After(e.rejectedAt) {
		e.rejectedAt = rejected
	}
	maxAge := CrashTTL
	if now.Sub(e.rejectedAt) <= CrashTTL {
		maxAge = maxCrashAge
	}
	for _, c := range r.Crashes {
		at, ok := ago(now, c.AgeMS, maxAge)
		if sent, ran := ago(at, c.RanMS, maxCrashAge); ok && ran {
			isNew, changed := e.add(crash{key: c.Key, sent: sent, at: at})
			added = added || isNew
			t.changed = t.changed || changed
		}
	}
	e.refreshedAt = now
	if added {
		e.changedAt = now
	}
	t.changed = t.changed || added || !known
	if t.entries[r.ID] != e {
		t.put(r.ID, e, now)
	}
	return added || !known
}

// ago returns the time ms milliseconds before now. It returns false if ms is negative or
// more than limit.
func ago(now time.Time, ms int64, limit time.Duration) (time.Time, bool) {
	if ms < 0 || ms > limit.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(ms) * time.Millisecond), true
}
