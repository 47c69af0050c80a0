// SPDX-License-Identifier: Apache-2.0

// Package quarantine keeps a request that crashes the endpoints that run it (a
// poison pill, or query of death) away from them.
//
// A crash says little by itself: a dozen requests run at an endpoint, and all
// of them break off with it. What tells the request to blame from those beside
// it is that it never ends well anywhere. So each request under which an
// endpoint crashed is remembered by its ID with its crashes; one good end
// clears it; Threshold crashes without one put it in quarantine, in which it is
// sent to no endpoint for Life.
//
// Processes exchange what they know as Records. Merging is idempotent, and does
// not depend on order or on clocks that agree: a good end begins a new epoch of
// the request's record, the higher epoch goes before the lower, and crashes of
// one epoch are united by their keys.
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
	// Threshold is how many crashes put a request in quarantine. One try may cost
	// two before its gateway can know; with three, a request beside the one to
	// blame must have met it three times without a good end between.
	Threshold = 3
	// thresholdProven is the same for one that has ended well here lately, and so
	// is hardly the one to blame. A common request stands beside each crash of an
	// outbreak, and with Threshold alone would be kept from endpoints with the one
	// to blame, and nothing could clear it any more.
	thresholdProven = 3 * Threshold
	// maxProven bounds the requests that are known to have ended well, the last
	// ones: 0.2 MB.
	maxProven = 4096
	// correlated is the time within which crashes count as one, unless a run
	// was sent after the crash before it: a rack that loses its power ends many
	// runs of a common request at once.
	correlated = 200 * time.Millisecond
	// unseen is how long an endpoint's end may go unseen elsewhere, a few round
	// trips between regions: a run that was moved there meanwhile never began.
	unseen = 30 * time.Millisecond
	// Life is how long a crash counts. A request in quarantine gets another
	// chance after it, and at most Threshold more endpoints in each Life.
	Life = 10 * time.Minute
	// TrialAfter is how long after its last crash one process lets a request in
	// quarantine run once, if nothing has cleared it: one that only stood beside
	// crashes, as a common one does when all endpoints crash before it has ended
	// well anywhere, is out after that instead of after Life. One that is to blame
	// ends one endpoint more in each Life.
	TrialAfter = 20 * time.Second
	// relayedLife is how long a process that only relays remembers what no
	// gateway tells it any more. Gateways tell twice a second.
	relayedLife = 5 * time.Second
	// maxRequests bounds the table: 0.6 MB with maxCrashes of each.
	maxRequests = 512
	// maxCrashes bounds the crashes that are kept of a request.
	maxCrashes = thresholdProven + 3
)

// Standing is what is known of a request.
type Standing struct {
	// Crashes is how many endpoints crashed under it since it last ended well,
	// those at the same moment counted as one.
	Crashes int
	// Proven says that it ended well here lately.
	Proven bool
}

// Suspected reports whether an endpoint crashed under the request.
func (s Standing) Suspected() bool { return s.Crashes > 0 }

// Quarantined reports whether the request must be sent to no endpoint.
func (s Standing) Quarantined() bool {
	if s.Proven {
		return s.Crashes >= thresholdProven
	}
	return s.Crashes >= Threshold
}

// crash is one endpoint's, seen by one gateway.
type crash struct {
	key uint32 // drawn by who saw it
	// sent is when the request was sent to the endpoint.
	sent, at time.Time
}

// independent reports whether c counts beside an earlier crash at last.
func (c crash) independent(last time.Time) bool {
	apart := c.at.Sub(last)
	return apart >= correlated || c.sent.After(last) && apart >= unseen
}

// entry is what is known of one request.
type entry struct {
	// epoch counts its good ends that followed a crash.
	epoch uint32
	// crashes of this epoch, by time.
	crashes []crash
	// changed is when the entry last changed here, and told when a process
	// last told of it.
	changed, told time.Time
	// own are the keys of the crashes that this process saw, and tried says that
	// it has let the request run in quarantine.
	own   []uint32
	tried bool
}

// count returns how many independent crashes there are.
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

// add adds a crash; of one that is known the earlier time counts, since each
// process on the way adds the delay of its message. It reports whether that
// changed anything.
func (e *entry) add(c crash) bool {
	at := slices.IndexFunc(e.crashes, func(known crash) bool { return known.key == c.key })
	switch {
	case at >= 0 && !c.at.Before(e.crashes[at].at):
		return false
	case at >= 0:
		e.crashes[at] = c
		e.sort()
		return false
	case len(e.crashes) >= maxCrashes && e.count() >= thresholdProven:
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

// dropDependent drops the last crash that does not count beside the one before
// it.
func (e *entry) dropDependent() {
	for at := len(e.crashes) - 1; at > 0; at-- {
		if !e.crashes[at].independent(e.crashes[at-1].at) {
			e.crashes = slices.Delete(e.crashes, at, at+1)
			return
		}
	}
}

// Table is what one process knows of requests under which endpoints crashed.
// It is safe for concurrent use; its lock is taken last.
type Table struct {
	// relayed says that entries live only as long as gateways tell of them.
	relayed bool
	// known says that there are entries: while there are none, which is nearly
	// always, nobody waits for the lock to hear so.
	known atomic.Bool

	mu      sync.Mutex
	entries map[ID]*entry
	// proven are requests that ended well here lately.
	proven proven
	// turn is where the next Tell goes on with entries that are not urgent.
	turn int
}

// New returns the table of a gateway.
func New() *Table { return &Table{entries: make(map[ID]*entry)} }

// NewRelayed returns the table of a process that relays between gateways.
func NewRelayed() *Table { return &Table{relayed: true, entries: make(map[ID]*entry)} }

// Standing returns what is known of a request.
func (t *Table) Standing(id ID, now time.Time) Standing {
	if !t.known.Load() {
		return Standing{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || t.dead(e, now) {
		return Standing{}
	}
	return t.standing(id, e)
}

// standing returns what is known of a request with an entry; Table.mu is held.
func (t *Table) standing(id ID, e *entry) Standing {
	return Standing{Crashes: e.count(), Proven: t.proven.has(id)}
}

// Crashed notes that an endpoint, to which the request was sent at sent, has
// crashed.
func (t *Table) Crashed(id ID, sent, now time.Time) Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || t.dead(e, now) {
		e = &entry{}
		t.put(id, e, now)
	}
	key := rand.Uint32()
	e.add(crash{key: key, sent: sent, at: now})
	e.own = append(e.own, key)
	e.changed, e.told = now, now
	return t.standing(id, e)
}

// Trial reports whether a request in quarantine may run once here, and notes that
// it does: at one process, the one that saw the crash with the lowest key, and once
// in a Life.
func (t *Table) Trial(id ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || t.dead(e, now) || e.tried || !t.standing(id, e).Quarantined() || now.Sub(e.since()) < TrialAfter {
		return false
	}
	lowest := slices.MinFunc(e.crashes, func(a, b crash) int { return cmp.Compare(a.key, b.key) })
	e.tried = slices.Contains(e.own, lowest.key)
	return e.tried
}

// Clear lets a request out of quarantine, by an operator's word; all processes
// hear of it. It reports whether it was suspected of anything.
func (t *Table) Clear(id ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clear(id, now)
}

// clear begins a new epoch of a request; Table.mu is held.
func (t *Table) clear(id ID, now time.Time) bool {
	e := t.entries[id]
	if e == nil || len(e.crashes) == 0 {
		return false
	}
	e.epoch++
	e.crashes, e.own = nil, nil
	e.changed, e.told = now, now
	return true
}

// EndedWell notes that the request was answered in full. It reports whether that
// cleared it of anything.
func (t *Table) EndedWell(id ID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.proven.add(id)
	return t.clear(id, now)
}

// Left is how much longer a request in quarantine stays there if nothing clears
// it.
func (t *Table) Left(id ID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return 0
	}
	return max(0, Life-now.Sub(e.since()))
}

// Len returns how many requests are suspected, and how many of those are in
// quarantine.
func (t *Table) Len(now time.Time) (suspected, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		s := t.standing(id, e)
		switch {
		case t.dead(e, now):
		case s.Quarantined():
			suspected++
			quarantined++
		case s.Suspected():
			suspected++
		}
	}
	return suspected, quarantined
}

// dead reports whether an entry counts no more; Table.mu is held.
func (t *Table) dead(e *entry, now time.Time) bool {
	if t.relayed {
		return now.Sub(e.told) > relayedLife
	}
	return now.Sub(e.since()) > Life
}

// since is the time from which an entry lives.
func (e *entry) since() time.Time {
	if n := len(e.crashes); n > 0 {
		return e.crashes[n-1].at
	}
	return e.changed
}

// put adds an entry, in the place of the least important one if the table is
// full; Table.mu is held.
func (t *Table) put(id ID, e *entry, now time.Time) {
	if len(t.entries) >= maxRequests {
		maps.DeleteFunc(t.entries, func(_ ID, e *entry) bool { return t.dead(e, now) })
	}
	if len(t.entries) >= maxRequests {
		t.dropLeast()
	}
	t.entries[id] = e
	t.known.Store(true)
}

// dropLeast forgets the entry with the fewest crashes, the oldest of those: a
// caller that makes many does not free a request in quarantine.
func (t *Table) dropLeast() {
	var least ID
	var lowest *entry
	for id, e := range t.entries {
		if lowest == nil || compareImportance(e, lowest) > 0 {
			least, lowest = id, e
		}
	}
	delete(t.entries, least)
}

// compareImportance orders entries, the more important first.
func compareImportance(a, b *entry) int {
	return cmp.Or(cmp.Compare(b.count(), a.count()), b.changed.Compare(a.changed))
}
