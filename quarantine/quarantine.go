// SPDX-License-Identifier: Apache-2.0

// Package quarantine keeps requests that crash endpoints (poison pills, or queries of
// death) from being sent to more of them.
//
// Requests are recognized by their traits: a request that is sent again has the same
// identity, and different requests may have a part of their prompts in common. A single
// crash does not identify the trait that caused it, since an endpoint runs several requests
// and all of them fail with it. The trait that causes crashes is the one whose requests
// never complete. For each trait of each request that was in progress at a crash, the table
// records the crash. Such a trait is suspected. If a request with it completes, its crashes
// are cleared; those of a part already if an endpoint has been responding for OnsetTime. After Threshold crashes without a completion it is put in quarantine, unless
// another one in quarantine explains them; see Table.evaluate. Its requests are sent to no
// endpoint until none has come for CrashTTL. The exception is a trial: one process may run
// one of them after TrialAfter.
//
// Processes exchange their tables as Records. Merging is idempotent and depends
// neither on the order of messages nor on synchronised clocks. A completion starts a
// new epoch of the trait's entry, and a higher epoch replaces a lower one. Within an
// epoch the crashes of all processes are combined, identified by the incarnation of the
// endpoint that crashed.
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

// Limits of the quarantine. The crashes of a trait are the crashes of endpoints at which a
// request with it was in progress.
const (
	// Threshold is the number of crashes that put a trait in quarantine. A single
	// exchange may cause two before its gateway can know. With three, a trait that does
	// not cause crashes is put in quarantine only if its requests were in progress at three
	// and none completed in between.
	Threshold = 3
	// completedThreshold replaces Threshold for a trait whose requests have completed
	// recently, and which is therefore unlikely to cause crashes. Requests with a common
	// trait are in progress at most crashes that another trait causes. In quarantine they
	// could no longer complete and clear it.
	completedThreshold = 2 * Threshold
	// maxCompleted bounds each set of completed traits that is kept.
	maxCompleted = 4096
	// correlationWindow is the time within which several crashes count as one, such as
	// those of a rack that loses power. A crash within it counts separately if the
	// request was sent to the endpoint after the previous crash.
	correlationWindow = 200 * time.Millisecond
	// detectionDelay is how long processes may take to detect the crash of an endpoint.
	// A request that is sent to it in the meantime does not run there. The delay covers
	// a few round trips between regions.
	detectionDelay = 30 * time.Millisecond
	// OnsetTime is the time from the first bytes of a response after which the parts of the
	// prompt are known not to crash the endpoint: they do so when it begins to respond. A
	// later crash does not count against them.
	OnsetTime = 500 * time.Millisecond
	// CrashTTL is how long a crash counts. A trait stays in quarantine until CrashTTL has
	// passed since its last crash and since the last request that was rejected because of
	// it. Afterwards a trait that does cause crashes may crash up to Threshold further
	// endpoints.
	CrashTTL = 10 * time.Minute
	// TrialAfter is the minimum time from the last crash of a trait in quarantine to its
	// trial: one process then runs one request with it. If it completes, the trait leaves
	// quarantine early; if it crashes another endpoint, it stays. Without a trial, a
	// common trait that only was present at the crashes would stay in quarantine, for
	// example if all endpoints crash before a request with it has completed anywhere.
	TrialAfter = 20 * time.Second
	// TrialJitter is the maximum time by which a trial is later. Several processes may be
	// chosen for it, if an endpoint crashed while it ran requests of each. The first one
	// whose trial fails keeps the others from theirs.
	TrialJitter = 10 * time.Second
	// fallbackTrialMin and fallbackTrialMax bound the time from the last crash to the
	// trial by a process that has not been chosen for it, in case the chosen one has
	// ended. The time is random, so that few processes run a trial at once.
	fallbackTrialMin = 2 * time.Minute
	fallbackTrialMax = 10 * time.Minute
	// relayedTTL is how long a process that only relays records keeps an entry after a
	// gateway last sent it. It covers several subscriptions, with which gateways send
	// their records.
	relayedTTL = 5 * time.Second
	// maxTraits bounds the entries of a table.
	maxTraits = 512
	// maxCrashes bounds the crashes kept of each trait.
	maxCrashes = 12
)

// Status tells whether a request may have caused crashes of endpoints.
type Status struct {
	// Crashes is the number of endpoint crashes that count against the request, by the
	// suspected trait that has the most. Correlated crashes count as one.
	Crashes int
	// Quarantined reports that the request must be sent to no endpoint.
	Quarantined bool
	// Trait is the trait of the request that is in quarantine, or else the suspected one
	// with the most crashes.
	Trait ID
}

// Suspected reports whether the request may have caused the crash of an endpoint.
func (s Status) Suspected() bool { return s.Crashes > 0 }

// Table holds the traits of the requests that one process knows to have been in progress at
// a crash.
// It is safe for concurrent use. It calls nothing that takes a lock while it holds its
// own, so its methods may be called with other locks held.
type Table struct {
	// relayed reports that entries expire relayedTTL after a gateway last sent them.
	relayed bool
	// nonEmpty reports that there may be entries. It saves taking the lock in the
	// usual case that there are none.
	nonEmpty atomic.Bool

	mu      sync.Mutex // guards the fields below
	entries map[ID]*entry
	// completedRequests and completedParts hold the traits of requests that completed
	// recently in this process.
	completedRequests, completedParts completedSet
	// changed reports that the entries have changed since evaluate last ran, at
	// evaluatedAt. candidates is memory that evaluate reuses.
	changed     bool
	evaluatedAt time.Time
	candidates  candidates
	transitions []Evidence // not taken yet
	// rotation is the position of Records in its rotation among the less urgent
	// entries.
	rotation int
}

// New returns the table of a gateway.
func New() *Table { return &Table{entries: make(map[ID]*entry)} }

// NewRelayed returns the table of a process that only relays records between gateways.
func NewRelayed() *Table { return &Table{relayed: true, entries: make(map[ID]*entry)} }

// Status returns the status of a request, or the zero Status if no crashes are recorded
// against its traits.
func (t *Table) Status(traits Traits, now time.Time) Status {
	if !t.nonEmpty.Load() {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status(traits, now)
}

// status is like Status. Table.mu must be held.
func (t *Table) status(traits Traits, now time.Time) Status {
	t.evaluate(now)
	var s Status
	for n := range traits.len() {
		id := traits.at(n)
		e := t.entries[id]
		if e == nil || !e.suspected() || t.expired(e, now) {
			continue
		}
		if e.quarantined && !s.Quarantined || e.quarantined == s.Quarantined && e.unexplained > s.Crashes {
			s = Status{Crashes: e.unexplained, Quarantined: e.quarantined, Trait: id}
		}
	}
	return s
}

// RecordCrash records that an endpoint crashed while a request was in progress there, and
// returns the status of the request.
func (t *Table) RecordCrash(traits Traits, o Observation) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	blamed := traits
	if o.Responding >= OnsetTime {
		blamed.Parts = nil
	}
	for n := range blamed.len() {
		id := blamed.at(n)
		e := t.entries[id]
		if e == nil || t.expired(e, o.At) {
			e = &entry{depth: n}
			t.put(id, e, o.At)
		}
		e.completed = e.completed || t.hasCompleted(id, n)
		e.observe(o)
		e.changedAt, e.refreshedAt = o.At, o.At
	}
	t.changed = true
	return t.status(traits, o.At)
}

// hasCompleted reports whether a request with the trait completed recently in this process.
// depth is as in entry. Table.mu must be held.
func (t *Table) hasCompleted(id ID, depth int) bool {
	if depth == 0 {
		return t.completedRequests.has(id)
	}
	return t.completedParts.has(id)
}

// RecordRejection records that a request was rejected because the trait is in quarantine.
func (t *Table) RecordRejection(id ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		e.rejectedAt = now
	}
}

// Trial reports whether this process may now run a request in quarantine once, as a trial
// of whether it completes. If so, it records the trial. The trial of a trait is due
// TrialAfter its last crash, or up to TrialJitter later, in the processes that detected the
// crash with the lowest key, and later in others, unless an earlier one has failed.
func (t *Table) Trial(traits Traits, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
	var due []*entry
	for n := range traits.len() {
		e := t.entries[traits.at(n)]
		if e == nil || !e.quarantined {
			continue
		}
		if !e.trialDue(now) || e.depth > 0 && t.mayCrashOtherwise(traits, e) {
			return false
		}
		due = append(due, e)
	}
	for _, e := range due {
		e.tried = true
	}
	return len(due) > 0
}

// mayCrashOtherwise reports whether a request may crash its endpoint because of another
// trait than that of e, which a trial of e would be blamed for. Table.mu must be held.
func (t *Table) mayCrashOtherwise(traits Traits, e *entry) bool {
	for n := range traits.len() {
		if other := t.entries[traits.at(n)]; other != nil && other != e && !other.completed && len(other.crashes) > 0 {
			return true
		}
	}
	return false
}

// trialDue reports whether this process may run a trial of the trait.
func (e *entry) trialDue(now time.Time) bool {
	if e.tried || e.trialFailed() {
		return false
	}
	if e.trialDelay == 0 {
		e.trialDelay = fallbackTrialMin + rand.N(fallbackTrialMax-fallbackTrialMin)
		lowest := slices.MinFunc(e.crashes, func(a, b crash) int { return cmp.Compare(a.key, b.key) })
		if slices.Contains(e.ownKeys, lowest.key) {
			e.trialDelay = TrialAfter + rand.N(TrialJitter)
		}
	}
	return now.Sub(e.lastCrash()) >= e.trialDelay
}

// Clear releases a trait from quarantine on behalf of an operator, in all processes. It
// reports whether crashes were recorded against the trait.
func (t *Table) Clear(id ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(id, now)
}

// clear deletes the crashes recorded against a trait, and reports whether there were
// any. If so, it starts a new epoch of the entry, so that other processes delete them,
// too. Table.mu must be held.
func (t *Table) clear(id ID, now time.Time) bool {
	e := t.entries[id]
	if e == nil || len(e.crashes) == 0 {
		return false
	}
	e.reset(e.epoch + 1)
	e.changedAt, e.refreshedAt = now, now
	t.changed = true
	return true
}

// reset begins an epoch of an entry.
func (e *entry) reset(epoch uint32) {
	e.epoch = epoch
	e.crashes, e.ownKeys, e.held, e.tried, e.trialDelay, e.rejectedAt = nil, nil, false, false, 0, time.Time{}
}

// RecordCompletion records that a request got a complete response, which deletes the
// crashes recorded against its traits. It reports whether there were any.
func (t *Table) RecordCompletion(traits Traits, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completedRequests.add(traits.Identity)
	cleared := t.complete(traits.Identity, now)
	return t.completeParts(traits, now) || cleared
}

// RecordOnset records that an endpoint has been responding to a request for OnsetTime, which
// deletes the crashes recorded against the parts of its prompt. It reports whether there were
// any.
func (t *Table) RecordOnset(traits Traits, now time.Time) bool {
	if len(traits.Parts) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.completeParts(traits, now)
}

// completeParts records that the parts of a prompt do not crash endpoints, and reports whether
// crashes were recorded against them. Table.mu must be held.
func (t *Table) completeParts(traits Traits, now time.Time) bool {
	cleared := false
	for _, p := range traits.Parts {
		t.completedParts.add(p.ID)
		cleared = t.complete(p.ID, now) || cleared
	}
	return cleared
}

// complete clears a trait because a request with it has completed. It reports whether crashes
// were recorded against the trait. Table.mu must be held.
func (t *Table) complete(id ID, now time.Time) bool {
	if !t.clear(id, now) {
		return false
	}
	t.entries[id].completed = true
	return true
}

// Remaining returns the time until a trait leaves quarantine if it is not cleared before
// and no further request with it is rejected. It returns 0 if the table has no entry for
// the trait.
func (t *Table) Remaining(id ID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return 0
	}
	return max(0, CrashTTL-now.Sub(e.lastActive()))
}

// Counts returns the number of suspected traits, and how many of them are in quarantine.
func (t *Table) Counts(now time.Time) (suspected, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
	for _, e := range t.entries {
		if e.suspected() {
			suspected++
		}
		if e.quarantined {
			quarantined++
		}
	}
	return suspected, quarantined
}

// expired reports whether an entry has expired. Table.mu must be held.
func (t *Table) expired(e *entry, now time.Time) bool {
	if t.relayed {
		return now.Sub(e.refreshedAt) > relayedTTL
	}
	return now.Sub(e.lastActive()) > CrashTTL
}

// put adds an entry, and evicts the least important one if the table is full.
// Table.mu must be held.
func (t *Table) put(id ID, e *entry, now time.Time) {
	if len(t.entries) >= maxTraits {
		maps.DeleteFunc(t.entries, func(_ ID, e *entry) bool { return t.expired(e, now) })
	}
	if len(t.entries) >= maxTraits {
		t.evictLeastImportant(now)
	}
	t.entries[id] = e
	t.nonEmpty.Store(true)
	t.changed = true
}

// evictLeastImportant evicts the entry with the fewest unexplained crashes, and among those the one
// that changed least recently. A caller therefore cannot release a trait from
// quarantine by sending many other requests. Table.mu must be held.
func (t *Table) evictLeastImportant(now time.Time) {
	t.evaluate(now)
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
	return cmp.Or(cmp.Compare(b.unexplained, a.unexplained), b.changedAt.Compare(a.changedAt))
}
