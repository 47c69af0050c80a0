// SPDX-License-Identifier: Apache-2.0

// Package quarantine keeps a request that crashes endpoints (a poison pill, or
// query of death) from being sent to more of them.
//
// A single crash does not identify the request that caused it, since an endpoint
// runs several requests and all of them fail with it. The request to blame is the
// one that never completes. Each request that was in progress at a crash is
// recorded by its ID with its crashes; a completion clears it; Threshold crashes
// without one put it in quarantine, and it is sent to no endpoint for CrashTTL.
//
// Processes exchange their tables as Records. Merging is idempotent and depends
// neither on the order of messages nor on synchronised clocks: a completion starts
// a new epoch of the request's entry, a higher epoch replaces a lower one, and the
// crashes of one epoch are united by key.
package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Threshold is the number of crashes that put a request in quarantine. One
	// attempt may cause two before its gateway is notified; with three, an innocent
	// request must have been in progress at three crashes without completing in
	// between.
	Threshold = 3
	// completedThreshold is the same for a request that completed recently in this
	// process, and so is unlikely to be the cause. A common request is in progress
	// at each crash of an outbreak; with Threshold alone it would be quarantined
	// too, and could then no longer complete and be cleared.
	completedThreshold = 3 * Threshold
	// maxCompleted bounds the completed requests that are kept: 0.2 MB.
	maxCompleted = 4096
	// correlationWindow is the time within which crashes count as one, unless the
	// request was sent to the endpoint after the previous crash. A rack that loses
	// power ends many runs of a common request at once.
	correlationWindow = 200 * time.Millisecond
	// detectionDelay is how long other processes may take to detect the end of an
	// endpoint, a few round trips between regions. A request sent there in the
	// meantime never started.
	detectionDelay = 30 * time.Millisecond
	// CrashTTL is how long a crash counts. A request in quarantine may run again
	// after it, and crashes at most Threshold more endpoints in each CrashTTL.
	CrashTTL = 10 * time.Minute
	// TrialAfter is how long after the last crash one process may run a request in
	// quarantine once, if it was not cleared. An innocent request leaves quarantine
	// after this time instead of CrashTTL, such as a common one when all endpoints
	// crash before it has completed anywhere. A harmful one crashes one more
	// endpoint in each CrashTTL.
	TrialAfter = 20 * time.Second
	// relayedTTL is how long a process that only relays keeps an entry that no
	// gateway sends any more. Gateways send twice a second.
	relayedTTL = 5 * time.Second
	// maxRequests bounds the table: 0.6 MB with maxCrashes of each.
	maxRequests = 512
	// maxCrashes bounds the crashes that are kept of a request.
	maxCrashes = completedThreshold + 3
)

// Status is the status of a request.
type Status struct {
	// Crashes is the number of endpoint crashes with the request in progress since
	// it last completed, with correlated ones counted as one.
	Crashes int
	// Completed reports that it completed recently in this process.
	Completed bool
}

// Suspected reports whether an endpoint crashed with the request in progress.
func (s Status) Suspected() bool { return s.Crashes > 0 }

// Quarantined reports whether the request must be sent to no endpoint.
func (s Status) Quarantined() bool {
	if s.Completed {
		return s.Crashes >= completedThreshold
	}
	return s.Crashes >= Threshold
}

// crash is the crash of an endpoint as detected by one gateway.
type crash struct {
	key uint32 // random, chosen by the gateway
	// sent is when the request was sent to the endpoint.
	sent, at time.Time
}

// independent reports whether c counts in addition to an earlier crash at last.
func (c crash) independent(last time.Time) bool {
	apart := c.at.Sub(last)
	return apart >= correlationWindow || c.sent.After(last) && apart >= detectionDelay
}

// entry holds the crashes of one request.
type entry struct {
	// epoch counts the completions that followed a crash, and the clears by an
	// operator.
	epoch uint32
	// crashes of this epoch, by time.
	crashes []crash
	// changedAt is when the entry last changed in this process, and refreshedAt when
	// it was last changed or received.
	changedAt, refreshedAt time.Time
	// ownKeys are the keys of the crashes that this process detected.
	ownKeys []uint32
	// tried reports that this process has run the request in quarantine.
	tried bool
}

// count returns the number of independent crashes.
func (e *entry) count() int {
	count := 0
	var last time.Time
	for _, c := range e.crashes {
		if count == 0 || c.independent(last) {
			count++
			last = c.at
		}
	}
	return count
}

// add adds a crash, and reports whether it is new. A known one gets the earlier of
// the two times, since message delays only make it seem later.
func (e *entry) add(c crash) bool {
	index := slices.IndexFunc(e.crashes, func(known crash) bool { return known.key == c.key })
	switch {
	case index >= 0 && !c.at.Before(e.crashes[index].at):
		return false
	case index >= 0:
		e.crashes[index] = c
		e.sort()
		return false
	case len(e.crashes) >= maxCrashes && e.count() >= completedThreshold:
		return false
	case len(e.crashes) >= maxCrashes:
		e.dropDependent()
	}
	e.crashes = append(e.crashes, c)
	e.sort()
	return true
}

func (e *entry) sort() {
	slices.SortFunc(e.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}

// dropDependent drops the last crash that is not independent of the one before it.
func (e *entry) dropDependent() {
	for n := len(e.crashes) - 1; n > 0; n-- {
		if !e.crashes[n].independent(e.crashes[n-1].at) {
			e.crashes = slices.Delete(e.crashes, n, n+1)
			return
		}
	}
}

// Table holds the requests of one process that were in progress at a crash. It is
// safe for concurrent use; its lock is taken last.
type Table struct {
	// relayed reports that entries expire relayedTTL after a gateway last sent them.
	relayed bool
	// nonEmpty reports that there may be entries. It saves taking the lock in the
	// usual case that there are none.
	nonEmpty atomic.Bool

	mu        sync.Mutex
	entries   map[ID]*entry
	completed completedRequests
	// rotation is the position of Records among the entries that are not urgent.
	rotation int
}

// New returns the table of a gateway.
func New() *Table { return &Table{entries: make(map[ID]*entry)} }

// NewRelayed returns the table of a process that only relays between gateways.
func NewRelayed() *Table { return &Table{relayed: true, entries: make(map[ID]*entry)} }

// Status returns the status of a request; it is zero for one without crashes.
func (t *Table) Status(id ID, now time.Time) Status {
	if !t.nonEmpty.Load() {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || t.expired(e, now) {
		return Status{}
	}
	return t.status(id, e)
}

// status returns the status of a request with an entry; Table.mu is held.
func (t *Table) status(id ID, e *entry) Status {
	return Status{Crashes: e.count(), Completed: t.completed.has(id)}
}

// RecordCrash records the crash of an endpoint to which the request was sent at
// sent, and returns the status of the request.
func (t *Table) RecordCrash(id ID, sent, now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || t.expired(e, now) {
		e = &entry{}
		t.put(id, e, now)
	}
	key := rand.Uint32()
	e.add(crash{key: key, sent: sent, at: now})
	e.ownKeys = append(e.ownKeys, key)
	e.changedAt, e.refreshedAt = now, now
	return t.status(id, e)
}

// Trial reports whether this process may run a request in quarantine once, and
// records that it does. Only the process that detected the crash with the lowest key
// may, and once per entry.
func (t *Table) Trial(id ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || t.expired(e, now) || e.tried || !t.status(id, e).Quarantined() || now.Sub(e.lastCrash()) < TrialAfter {
		return false
	}
	lowest := slices.MinFunc(e.crashes, func(a, b crash) int { return cmp.Compare(a.key, b.key) })
	e.tried = slices.Contains(e.ownKeys, lowest.key)
	return e.tried
}

// Clear releases a request from quarantine on behalf of an operator, in all
// processes. It reports whether the request had crashes.
func (t *Table) Clear(id ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(id, now)
}

// clear starts a new epoch of a request with crashes, and reports whether there were
// any; Table.mu is held.
func (t *Table) clear(id ID, now time.Time) bool {
	e := t.entries[id]
	if e == nil || len(e.crashes) == 0 {
		return false
	}
	e.epoch++
	e.crashes, e.ownKeys = nil, nil
	e.changedAt, e.refreshedAt = now, now
	return true
}

// RecordCompletion records that the request got a complete response. It reports
// whether that cleared any crashes.
func (t *Table) RecordCompletion(id ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed.add(id)
	return t.clear(id, now)
}

// Remaining returns how long a request in quarantine stays there unless it is
// cleared, or 0 if the table has no entry for it.
func (t *Table) Remaining(id ID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return 0
	}
	return max(0, CrashTTL-now.Sub(e.lastCrash()))
}

// Counts returns the number of suspected requests, and how many of them are in
// quarantine.
func (t *Table) Counts(now time.Time) (suspected, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		s := t.status(id, e)
		switch {
		case t.expired(e, now):
		case s.Quarantined():
			suspected++
			quarantined++
		case s.Suspected():
			suspected++
		}
	}
	return suspected, quarantined
}

// expired reports whether an entry has expired; Table.mu is held.
func (t *Table) expired(e *entry, now time.Time) bool {
	if t.relayed {
		return now.Sub(e.refreshedAt) > relayedTTL
	}
	return now.Sub(e.lastCrash()) > CrashTTL
}

// lastCrash returns the time of the last crash, or of the last change if there is no
// crash.
func (e *entry) lastCrash() time.Time {
	if n := len(e.crashes); n > 0 {
		return e.crashes[n-1].at
	}
	return e.changedAt
}

// put adds an entry, and evicts the least important one if the table is full;
// Table.mu is held.
func (t *Table) put(id ID, e *entry, now time.Time) {
	if len(t.entries) >= maxRequests {
		maps.DeleteFunc(t.entries, func(_ ID, e *entry) bool { return t.expired(e, now) })
	}
	if len(t.entries) >= maxRequests {
		t.evictLeastImportant()
	}
	t.entries[id] = e
	t.nonEmpty.Store(true)
}

// evictLeastImportant evicts the entry with the fewest crashes, the oldest of those,
// so that a caller cannot release a request from quarantine by sending many others;
// Table.mu is held.
func (t *Table) evictLeastImportant() {
	var id ID
	var least *entry
	for candidate, e := range t.entries {
		if least == nil || compareImportance(e, least) > 0 {
			id, least = candidate, e
		}
	}
	delete(t.entries, id)
}

// compareImportance orders entries, the more important first.
func compareImportance(a, b *entry) int {
	return cmp.Or(cmp.Compare(b.count(), a.count()), b.changedAt.Compare(a.changedAt))
}
