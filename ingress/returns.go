// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"time"

	"github.com/mintlift/mintlift/returnplan"
)

// honoredShare is the share of its remaining time up to which a caller honors
// Retry-After. A longer one is cut to that.
const honoredShare = 1.0 / 3

// returnPlanLocked returns the plan for the return of refused callers of a service, or nil
// if the service of x is not contended. Server.mu must be held.
func (s *Server) returnPlanLocked(x *exchange, now time.Time) *returnplan.Plan {
	if !s.contendedLocked(x.config.Services[x.service]) {
		return nil
	}
	p := s.returnPlans[x.service]
	if p == nil {
		p = returnplan.New(now)
		s.returnPlans[x.service] = p
	}
	return p
}

// countArrival counts x once, before its first attempt, in the return plan of its service.
// For a caller's retry, it sets hasPlace if a promise of this gateway is open. Attempts
// that reached no endpoint do not count, so x.attempts may be 0 several times.
func (s *Server) countArrival(x *exchange, now time.Time) {
	if x.arrivalCounted {
		return
	}
	x.arrivalCounted = true
	s.mu.Lock()
	p := s.returnPlanLocked(x, now)
	switch {
	case p == nil:
	case x.callerRetry:
		x.hasPlace = p.Redeem(now)
	default:
		p.RecordNew(now)
	}
	s.mu.Unlock()
	if x.hasPlace {
		s.metrics.Counter("mintlift_returns_kept_total", "service", x.service).Inc()
	}
}

// countServed counts the first attempt of x, once, in the return plan of its service.
func (s *Server) countServed(x *exchange, now time.Time) {
	if x.servedCounted {
		return
	}
	x.servedCounted = true
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.returnPlanLocked(x, now); p != nil {
		p.RecordServed(now)
	}
}

// countUnserved takes back countServed for x, which is refused after all.
func (s *Server) countUnserved(x *exchange, now time.Time) {
	if !x.servedCounted {
		return
	}
	x.servedCounted = false
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.returnPlanLocked(x, now); p != nil {
		p.RecordUnserved(now)
	}
}

// planReturn returns the Retry-After of x, at least earliest, by the return plan of its
// service. It returns false if there is no plan, if the plan has measured for too short a
// time, or if x is a caller's retry already: its caller does not return again.
func (s *Server) planReturn(x *exchange, earliest time.Duration, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	p := s.returnPlanLocked(x, now)
	planned := p != nil && p.Ready(now) && !x.callerRetry
	after, kept := time.Duration(0), false
	if planned {
		after, kept = p.Promise(earliest, x.longestReturn(now), now)
	}
	s.mu.Unlock()
	switch {
	case p != nil && x.callerRetry:
		s.metrics.Counter("mintlift_returns_refused_again_total", "service", x.service).Inc()
	case kept:
		s.metrics.Counter("mintlift_returns_promised_total", "service", x.service).Inc()
	}
	return after, planned
}

// longestReturn returns the longest Retry-After that the caller of x honors.
func (x *exchange) longestReturn(now time.Time) time.Duration {
	deadline := x.callerDeadline
	if deadline.IsZero() {
		deadline = x.expiresAt
	}
	return time.Duration(honoredShare * float64(deadline.Sub(now)))
}
