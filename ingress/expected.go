// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"time"

	"github.com/mintlift/mintlift/fleet"
)

// expectation returns when engines are expected to serve x. It returns false if one can
// now, if signals close the engines, if too little is known, or if the service of x is not
// contended.
func (s *Server) expectation(x *exchange, now time.Time) (fleet.Expectation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.contendedLocked(x.config.Services[x.service]) {
		return fleet.Expectation{}, false
	}
	q := s.servableQuery(x, now)
	q.Exclude = nil
	if s.fleet.Usable(q, now, now) || s.fleet.Closure(q, now, now).Reason != fleet.Open {
		return fleet.Expectation{}, false
	}
	return s.fleet.Expected(q, now)
}

// earliestReturn returns the earliest Retry-After of a refused caller by an expectation.
func earliestReturn(e fleet.Expectation, now time.Time) time.Duration {
	return max(e.Enough.Sub(now), retryAfterMin)
}

// honored returns after, or the longest Retry-After that the caller of x honors if that is
// shorter. A caller that returns before engines are expected to serve may wait; see
// expectedWait.
func (x *exchange) honored(after time.Duration, now time.Time) time.Duration {
	return min(after, max(x.longestReturn(now), retryAfterMin))
}

// expectedWait returns how long a caller's retry waits if no engine can serve it now, and
// whether that follows from an expectation. The expected time is a lower bound: the origin
// of the weights may stay away. So it shows that a wait is in vain, and does not justify a
// longer one.
func (s *Server) expectedWait(x *exchange, now time.Time) (time.Duration, bool) {
	e, ok := s.expectation(x, now)
	if !ok {
		return 0, false
	}
	return waitUntilServed(e, x.expiresAt, beginTime(x.prefillMS, 0), now), true
}

// waitUntilServed returns the wait of a caller's retry that expires at expiresAt: the usual
// one, or 0 if the first engine is expected to serve only after that. An engine needs the
// time begin until it responds.
func waitUntilServed(e fleet.Expectation, expiresAt time.Time, begin time.Duration, now time.Time) time.Duration {
	left := expiresAt.Sub(now)
	limit := min(lateMaxWait, time.Duration(lateMaxWaitShare*float64(left)), left-begin)
	if e.First.Sub(now) > limit {
		return 0
	}
	return max(limit, 0)
}
