// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"time"

	"github.com/mintlift/mintlift/fetchplan"
)

// expectationInterval is how long a computed expectation is reused. The engine's state is
// reported every 40 ms, and each expectation requires a fetch plan.
const expectationInterval = 100 * time.Millisecond

// expectation is when the engine is expected to serve a version that may serve then.
type expectation struct {
	computedAt time.Time // zero if never
	at         time.Time // zero if nothing is known
}

// update is an update of the engine that is being carried out.
type update struct {
	version int
	// ends is when the engine is expected to serve the version; zero if there is no update.
	ends time.Time
}

// ServesIn returns the expected time until the engine serves a version that may serve by
// then. It returns false if the engine serves such a version now or if nothing is known.
// While the origin is unavailable, the time assumes that it returns now, so it is a lower
// bound. The expectation is up to expectationInterval old. An overdue one is 1 ms.
func (i *Installer) ServesIn(now time.Time) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params.Chunks == 0 || i.engineStateAt.IsZero() || i.servesPermitted(now) {
		return 0, false
	}
	if e := &i.expected; e.computedAt.IsZero() || now.Sub(e.computedAt) >= expectationInterval {
		*e = expectation{computedAt: now, at: i.servesAt(now)}
	}
	if i.expected.at.IsZero() {
		return 0, false
	}
	return max(i.expected.at.Sub(now), time.Millisecond), true
}

// servesPermitted reports whether gateways may send requests to the engine: it serves a
// version before the routing cutoff of the next, or its update is scheduled.
// Installer.mu is held.
func (i *Installer) servesPermitted(now time.Time) bool {
	version := i.verifiedVersion()
	if version == 0 || i.engineState.Busy || i.draining {
		return false
	}
	if i.updateScheduled {
		return true
	}
	for _, t := range i.targets {
		if cutoff := i.routingCutoff(t); t.version > version && !cutoff.IsZero() && !now.Before(cutoff) {
			return false
		}
	}
	return true
}

// servesAt returns the earliest time at which the engine is expected to serve a version
// that is not past its last use then, or the zero time if there is none. The plan gives the
// time for a version whose chunks are missing, and the engine's slot that for a complete
// one. The plan in use is not replaced. Installer.mu is held.
func (i *Installer) servesAt(now time.Time) time.Time {
	in := i.planInput(now)
	if u := i.updating; !u.ends.IsZero() && in.MayServe(u.version, u.ends) {
		return u.ends
	}
	var earliest time.Time
	consider := func(version int, at time.Time) {
		if in.MayServe(version, at) && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	plan := fetchplan.Choose(in)
	for _, v := range in.Versions {
		if r := i.replicaLocked(v.Number); r != nil && r.complete() {
			s := i.planUpdate(target{version: v.Number}, r, i.slotPositionLocked(), now)
			consider(v.Number, s.endsAfter(now))
			continue
		}
		if at, planned := plan.ServedAt(v.Number); planned && in.OriginInterval > 0 {
			consider(v.Number, at)
		}
	}
	return earliest
}

// endsAfter returns when the engine is expected to serve the version of s, if the update
// does not begin before now.
func (s *updateStep) endsAfter(now time.Time) time.Time {
	at := later(s.startAt, now).Add(loadTime)
	if !s.engineEmpty {
		at = at.Add(s.drainLimit)
	}
	return at
}

// setUpdating records that the update s begins, or that none is in progress if s is nil.
func (i *Installer) setUpdating(s *updateStep, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.updating, i.expected = update{}, expectation{}
	if s != nil {
		i.updating = update{version: s.replica.manifest.Version, ends: s.endsAfter(now)}
	}
}
