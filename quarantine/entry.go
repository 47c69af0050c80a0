// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Observation is the crash of an endpoint, as a gateway detects it by an attempt that was
// in progress there.
type Observation struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Sent is when the request was sent to the endpoint, and At when the crash was
	// detected.
	Sent, At time.Time
	// Responding is how long the endpoint had been responding to the request; 0 if it had
	// not begun.
	Responding time.Duration
}

// crash is the crash of one incarnation of an endpoint.
type crash struct {
	// key identifies the incarnation, so that all processes count its crash once.
	key uint32
	// sent is when the request was sent to the endpoint, and at is when the crash was
	// detected.
	sent, at time.Time
	// explained is set by Table.evaluate if another trait in quarantine was present.
	explained bool
}

// independent reports whether c counts separately from an earlier crash at the time
// last. If not, the two probably have one cause, such as a power failure.
func (c crash) independent(last time.Time) bool {
	apart := c.at.Sub(last)
	return apart >= correlationWindow || c.sent.After(last) && apart >= detectionDelay
}

// entry holds the endpoint crashes recorded against one trait.
type entry struct {
	// depth is the position in a prompt of the part that the entry belongs to, from 1 on,
	// or 0 if it belongs to a single request.
	depth int
	// epoch is the number of times that the crashes were cleared, by a completion or
	// by an operator.
	epoch uint32
	// crashes holds the crashes of this epoch, ordered by time.
	crashes []crash
	// completed reports that a request with the trait has completed, in some process.
	completed bool
	// changedAt is when the entry last changed in this process. refreshedAt is when it
	// last changed or was last received from another process.
	changedAt, refreshedAt time.Time
	// rejectedAt is when some process last rejected a request because of this entry.
	rejectedAt time.Time
	// ownKeys holds the keys of the crashes that this process detected.
	ownKeys []uint32
	// trialDelay is the time from the last crash to the trial by this process; 0 if not
	// drawn yet.
	trialDelay time.Duration
	// tried reports that this process has run a request as a trial.
	tried bool

	// held reports that the trait has reached its threshold, in some process. Unless it is
	// found to have completed, it then stays in quarantine while any of its crashes is
	// unexplained: of several traits that cause crashes, one may come to explain most of
	// those of another.
	held bool

	// Table.evaluate sets the fields below. unexplained is the number of crashes that
	// count separately and that no trait in quarantine explains.
	unexplained int
	quarantined bool
	// wasQuarantined is quarantined as of the last call of Table.recordTransitions.
	wasQuarantined bool
}

// threshold returns the number of unexplained crashes that put the trait in quarantine.
func (e *entry) threshold() int {
	if e.completed {
		return completedThreshold
	}
	return Threshold
}

// specificity is higher the fewer requests have the trait, as far as that is known.
func (e *entry) specificity() int {
	if e.depth == 0 {
		return maxParts + 1
	}
	return e.depth
}

// suspected reports whether requests with the trait may have caused an endpoint crash. A
// part that is known from completed requests is not suspected, since requests with it are
// in progress at most crashes that others cause.
func (e *entry) suspected() bool {
	return e.unexplained > 0 && (e.depth == 0 || !e.completed || e.quarantined)
}

// explain marks the crashes whose keys are in explained, and returns the number of the
// others that count separately; see crash.independent.
func (e *entry) explain(explained map[uint32]struct{}) int {
	for n := range e.crashes {
		_, e.crashes[n].explained = explained[e.crashes[n].key]
	}
	return e.count()
}

// count returns the number of unexplained crashes that count separately; see
// crash.independent.
func (e *entry) count() int {
	count := 0
	var last time.Time
	for _, c := range e.crashes {
		if c.explained {
			continue
		}
		if count == 0 || c.independent(last) {
			count++
			last = c.at
		}
	}
	return count
}

// index returns the index of the crash with a key, or -1.
func (e *entry) index(key uint32) int {
	return slices.IndexFunc(e.crashes, func(c crash) bool { return c.key == key })
}

// observe adds a crash that this process has detected.
func (e *entry) observe(o Observation) {
	key := uint32(xxhash.Sum64String(o.Endpoint))
	for n := e.index(key); n >= 0 && o.Sent.After(e.crashes[n].at); n = e.index(key) {
		key++ // another incarnation of the endpoint, with the same ID
	}
	e.add(crash{key: key, sent: o.Sent, at: o.At})
	if !slices.Contains(e.ownKeys, key) {
		e.ownKeys = append(e.ownKeys, key)
	}
}

// add adds a crash. It reports whether the crash is new, and whether the entry has changed.
// If the crash is already known, the earlier of its two times is kept, since message delays
// make a crash seem later.
func (e *entry) add(c crash) (added, changed bool) {
	n := e.index(c.key)
	switch {
	case n >= 0 && !c.at.Before(e.crashes[n].at):
		return false, false
	case n >= 0:
		e.crashes[n] = c
		e.sort()
		return false, true
	}
	e.crashes = append(e.crashes, c)
	e.sort()
	if len(e.crashes) <= maxCrashes {
		return true, true
	}
	kept := e.dropOne() != c.key
	return kept, kept
}

// sort orders the crashes by time.
func (e *entry) sort() {
	slices.SortFunc(e.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}

// dropOne drops the latest crash that is not independent of the one before it, or else the
// oldest one, and returns its key. The latest crashes show whether requests with the trait
// still cause any.
func (e *entry) dropOne() uint32 {
	drop := 0
	for n := len(e.crashes) - 1; n > 0 && drop == 0; n-- {
		if !e.crashes[n].independent(e.crashes[n-1].at) {
			drop = n
		}
	}
	key := e.crashes[drop].key
	e.crashes = slices.Delete(e.crashes, drop, drop+1)
	return key
}

// lastCrash returns the time of the last crash, or of the last change if there is no
// crash.
func (e *entry) lastCrash() time.Time {
	if n := len(e.crashes); n > 0 {
		return e.crashes[n-1].at
	}
	return e.changedAt
}

// lastActive returns the time from which CrashTTL counts.
func (e *entry) lastActive() time.Time {
	if last := e.lastCrash(); last.After(e.rejectedAt) {
		return last
	}
	return e.rejectedAt
}

// trialFailed reports whether some process has run a request with the trait as a trial and
// the endpoint crashed: that crash comes after those that put it in quarantine, and later
// than a request that was already in progress could cause.
func (e *entry) trialFailed() bool {
	for n := e.threshold(); n < len(e.crashes); n++ {
		if e.crashes[n].at.Sub(e.crashes[n-1].at) >= TrialAfter {
			return true
		}
	}
	return false
}
