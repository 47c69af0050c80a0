// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"maps"
	"strconv"
	"time"

	"github.com/mintlift/mintlift/admission"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/returnplan"
	"github.com/mintlift/mintlift/routing"
)

// refusal is why a request got no endpoint at its first attempt.
type refusal string

// The reasons of refusals.
const (
	refusalClosed     refusal = "closed"     // all endpoints are closed, or elsewhere
	refusalUnservable refusal = "unservable" // no endpoint could serve it at any load
	refusalNoSlot     refusal = "no_slot"    // no slot was free in time
	refusalReserve    refusal = "reserve"    // no_slot while a reserve for more urgent requests was in force
	refusalShare      refusal = "share"      // no_slot while the workspace was over its share
)

// scarce reports whether the request could have been sent if there had been more slots.
func (r refusal) scarce() bool {
	return r == refusalNoSlot || r == refusalReserve || r == refusalShare
}

// decision is what the admission controller has counted of a request.
type decision int

// The decisions.
const (
	undecided decision = iota
	decidedSent
	decidedRefused
)

// controllerLocked returns the admission controller of x's service, or nil if the service
// is not contended. Server.mu must be held.
func (s *Server) controllerLocked(x *exchange) *admission.Controller {
	if !s.contendedLocked(x.config.Services[x.service]) {
		return nil
	}
	c := s.admission[x.service]
	if c == nil {
		c = &admission.Controller{}
		s.admission[x.service] = c
	}
	return c
}

// reserveLocked returns how many slots of each engine x must leave free at its first
// attempt. Server.mu must be held.
func (s *Server) reserveLocked(x *exchange, now time.Time) float64 {
	c := s.controllerLocked(x)
	if c == nil || x.attempts > 0 {
		return 0
	}
	return c.Reserve(x.urgency(), x.config.Services[x.service].Engine.Slots, now)
}

// belowFloorLocked reports whether x must go first because too few requests of its urgency
// were served. Server.mu must be held.
func (s *Server) belowFloorLocked(x *exchange, now time.Time) bool {
	c := s.controllerLocked(x)
	return c != nil && x.attempts == 0 && c.BelowFloor(x.urgency(), now)
}

// recordDecision counts whether x got an endpoint at its first attempt. If that reached no
// endpoint and x is refused then, it counts as refused. Requests that no
// endpoint could have served are not counted: a reserve would not help them.
func (s *Server) recordDecision(x *exchange, sent bool) {
	if sent {
		x.refusal = ""
	}
	if x.decided == decidedRefused || x.decided == decidedSent && sent || x.attempts > 0 || !sent && !x.refusal.scarce() {
		return
	}
	unsent := x.decided == decidedSent // the attempt has reached no endpoint
	x.decided = decidedRefused
	if sent {
		x.decided = decidedSent
	}
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.controllerLocked(x)
	switch {
	case c == nil:
		return
	case sent:
		c.RecordSent(x.urgency(), now)
	case unsent:
		c.RecordUnsent(x.urgency(), now)
	default:
		c.RecordRefused(x.urgency(), now)
	}
	s.recordShare(c, x, sent, unsent, now)
	s.logReserves(x.service, c, x.config.Services[x.service].Engine.Slots, now)
}

// recordResponse counts whether the response to x has started in time, or ended without
// having started. Further calls have no effect, as have those for requests that were never
// sent, or sent although they would be late.
func (x *exchange) recordResponse(started bool) {
	if x.timed || x.attempts == 0 || x.acceptsLate || x.route == nil || x.route.TargetLatency <= 0 || x.age > x.route.TargetLatency {
		return
	}
	x.timed = true
	now := clock.Now()
	inTime := now.Sub(x.start)+x.age <= x.route.TargetLatency
	if inTime && !started {
		return // the caller left, or the endpoint failed
	}
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.controllerLocked(x); c != nil {
		c.RecordResponse(x.urgency(), inTime, now)
	}
}

// logReserves logs the reserves of a service that have changed, and registers their gauges.
// Server.mu must be held.
func (s *Server) logReserves(service string, c *admission.Controller, slots int, now time.Time) {
	for _, change := range c.Changes(slots, now) {
		u, n := change.Urgency, change.Counts
		s.events.Info("admission reserve changed", "service", service, "priority", u.Priority, "route_priority", u.RoutePriority, "slots", change.Slots,
			"sent", n.Sent, "refused", n.Refused, "in_time", n.InTime, "late", n.Late)
		s.metrics.Gauge("mintlift_admission_reserve", func() float64 { return s.reserveInForce(service, u, clock.Now()) },
			"service", service, "priority", strconv.Itoa(u.Priority), "route_priority", strconv.Itoa(u.RoutePriority))
	}
}

// reserveInForce returns how many slots of each engine of a service requests of urgency u
// must leave free, by the configuration in force.
func (s *Server) reserveInForce(service string, u admission.Urgency, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, engine := s.admission[service], engineConfig(s.routes.Get(), service)
	if c == nil || engine == nil {
		return 0
	}
	return c.Reserve(u, engine.Slots, now)
}

// maintainAdmission logs the reserves that have changed without requests, and removes the
// admission controllers and return plans of services that have been removed or are no longer
// contended. If a service is contended again later, its counts start anew: those of before
// would make a return plan promise places at once that it has not measured. Server.mu must be
// held.
func (s *Server) maintainAdmission(c *routing.Configuration, now time.Time) {
	uncontended := func(service string) bool { return !s.contendedLocked(c.Services[service]) }
	maps.DeleteFunc(s.admission, func(service string, _ *admission.Controller) bool { return uncontended(service) })
	for service, controller := range s.admission {
		s.logReserves(service, controller, c.Services[service].Engine.Slots, now)
	}
	maps.DeleteFunc(s.returnPlans, func(service string, _ *returnplan.Plan) bool { return uncontended(service) })
}
