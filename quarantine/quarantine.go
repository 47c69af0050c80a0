// SPDX-License-Identifier: Apache-2.0

// Package quarantine keeps a request that crashes endpoints (a poison pill, or
// query of death) from being sent to more of them.
//
// A single crash does not identify the request that caused it, since an endpoint
// runs several requests and all of them fail with it. The request that causes crashes
// is the one that never completes. For each request that was in progress at a crash,
// the table records its ID and its crashes. Such a request is a suspect. If it
// completes, its crashes are cleared. After Threshold crashes without a completion it
// is put in quarantine, and is sent to no endpoint for CrashTTL. The exception is a
// trial: one process may run it once after TrialAfter.
//
// Processes exchange their tables as Records. Merging is idempotent and depends
// neither on the order of messages nor on synchronised clocks. A completion starts a
// new epoch of the request's entry, and a higher epoch replaces a lower one. Within an
// epoch the crashes of all processes are combined, identified by their keys.
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

// Limits of the quarantine. The crashes of a request are the crashes of endpoints at
// which it was in progress.
const (
	// Threshold is the number of crashes that put a request in quarantine. A single
	// exchange may cause two before its gateway can know. With three, a request that does
	// not cause crashes is put in quarantine only if it was in progress at three and did
	// not complete in between.
	Threshold = 3
	// completedThreshold replaces Threshold for a request that completed recently in
	// this process and is therefore unlikely to cause crashes. A common request is in
	// progress at most crashes that another request causes. In quarantine it could no
	// longer complete and be cleared.
	completedThreshold = 3 * Threshold
	// maxCompleted bounds the set of completed requests that is kept.
	maxCompleted = 4096
	// correlationWindow is the time within which several crashes count as one, such as
	// those of a rack that loses power. A crash within it counts separately if the
	// request was sent to the endpoint after the previous crash.
	correlationWindow = 200 * time.Millisecond
	// detectionDelay is how long processes may take to detect the crash of an endpoint.
	// A request that is sent to it in the meantime does not run there. The delay covers
	// a few round trips between regions.
	detectionDelay = 30 * time.Millisecond
	// CrashTTL is how long a crash counts, and so how long a request stays in
	// quarantine after its last crash. Afterwards a request that does cause crashes may
	// crash up to Threshold further endpoints.
	CrashTTL = 10 * time.Minute
	// TrialAfter is the time from the last crash of a request in quarantine to its
	// trial: one process then runs the request once. If it completes, it leaves
	// quarantine early; if it crashes another endpoint, it stays. Without a trial, a
	// common request that only was in progress at the crashes would stay for CrashTTL,
	// for example if all endpoints crash before it has completed anywhere.
	TrialAfter = 20 * time.Second
	// relayedTTL is how long a process that only relays records keeps an entry after a
	// gateway last sent it. It covers several subscriptions, with which gateways send
	// their records.
	relayedTTL = 5 * time.Second
	// maxRequests bounds the entries of a table.
	maxRequests = 512
	// maxCrashes bounds the crashes kept of each request.
	maxCrashes = completedThreshold + 3
)

// Status tells whether a request may have caused crashes of endpoints.
type Status struct {
	// Crashes is the number of endpoint crashes at which the request was in progress,
	// since it last completed. Correlated crashes count as one.
	Crashes int
	// Completed reports that the request completed recently in this process.
	Completed bool
}

// Suspected reports whether the request may have caused the crash of an endpoint.
func (s Status) Suspected() bool { return s.Crashes > 0 }

// Quarantined reports whether the request must be sent to no endpoint.
func (s Status) Quarantined() bool {
	if s.Completed {
		return s.Crashes >= completedThreshold
	}
	return s.Crashes >= Threshold
}

// crash is the crash of an endpoint during a request, as detected by one gateway.
type crash struct {
	key uint32 // random, chosen by the gateway
	// sent is when the request was sent to the endpoint, and at is when the crash was
	// detected.
	sent, at time.Time
}

// independent reports whether c counts separately from an earlier crash at the time
// last. If not, the two probably have one cause, such as a power failure.
func (c crash) independent(last time.Time) bool {
	apart := c.at.Sub(last)
	return apart >= correlationWindow || c.sent.After(last) && apart >= detectionDelay
}

// entry holds the endpoint crashes recorded against one request.
type entry struct {
	// epoch is the number of times that the crashes were cleared, by a completion or
	// by an operator.
	epoch uint32
	// crashes holds the crashes of this epoch, ordered by time.
	crashes []crash
	// changedAt is when the entry last changed in this process. refreshedAt is when it
	// last changed or was last received from another process.
	changedAt, refreshedAt time.Time
	// ownKeys holds the keys of the crashes that this process detected.
	ownKeys []uint32
	// tried reports that this process has run the request as a trial.
	tried bool
}

// count returns the number of crashes that count separately; see crash.independent.
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

// add adds a crash, and reports whether it is new. If the crash is already known, the
// earlier of its two times is kept, since message delays make a crash seem later.
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

// sort orders the crashes by time.
func (e *entry) sort() {
	slices.SortFunc(e.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}

// dropDependent drops the latest crash that is not independent of the one before it.
func (e *entry) dropDependent() {
	for n := len(e.crashes) - 1; n > 0; n-- {
		if !e.crashes[n].independent(e.crashes[n-1].at) {
			e.crashes = slices.Delete(e.crashes, n, n+1)
			return
		}
	}
}

// Table holds the requests that one process knows to have been in progress at a crash.
// It is safe for concurrent use. It calls nothing that takes a lock while it holds its
// own, so its methods may be called with other locks held.
type Table struct {
	// relayed reports that entries expire relayedTTL after a gateway last sent them.
	relayed bool
	// nonEmpty reports that there may be entries. It saves taking the lock in the
	// usual case that there are none.
	nonEmpty atomic.Bool

	mu        sync.Mutex // guards the fields below
	entries   map[ID]*entry
	completed completedRequests
	// rotation is the position of Records in its rotation among the less urgent
	// entries.
	rotation int
}

// New returns the table of a gateway.
func New() *Table { return &Table{entries: make(map[ID]*entry)} }

// NewRelayed returns the table of a process that only relays records between gateways.
func NewRelayed() *Table { return &Table{relayed: true, entries: make(map[ID]*entry)} }

// Status returns the status of a request, or the zero Status if no crashes are recorded
// against it.
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

// status returns the status of a request with entry e. Table.mu must be held.
func (t *Table) status(id ID, e *entry) Status {
	return Status{Crashes: e.count(), Completed: t.completed.has(id)}
}

// RecordCrash records that an endpoint crashed while the request was in progress there,
// and returns the status of the request. sent is when the request was sent.
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

// Trial reports whether this process may now run a request in quarantine once, as a
// trial of whether it completes. If so, it records the trial. Only the process that
// detected the crash with the lowest key may run it, and only once per entry.
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
// processes. It reports whether crashes were recorded against the request.
func (t *Table) Clear(id ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(id, now)
}

// clear deletes the crashes recorded against a request, and reports whether there were
// any. If so, it starts a new epoch of the entry, so that other processes delete them,
// too. Table.mu must be held.
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

// RecordCompletion records that the request got a complete response, which deletes the
// crashes recorded against it. It reports whether there were any.
func (t *Table) RecordCompletion(id ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed.add(id)
	return t.clear(id, now)
}

// Remaining returns the time until a request in quarantine leaves it if it is not
// cleared before. It returns 0 if the table has no entry for the request.
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

// expired reports whether an entry has expired. Table.mu must be held.
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

// put adds an entry, and evicts the least important one if the table is full.
// Table.mu must be held.
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

// evictLeastImportant evicts the entry with the fewest crashes, and among those the one
// that changed least recently. A caller therefore cannot release a request from
// quarantine by sending many others. Table.mu must be held.
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
