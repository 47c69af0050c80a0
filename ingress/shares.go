// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"strconv"
	"time"

	"github.com/mintlift/mintlift/admission"
)

// overShareDelay is added to the time at which a wish for a slot is due if its workspace is
// over its share, so that the wish comes after others of the same priority. That holds while
// the target latencies of a service's routes differ by less. Priorities have no values left
// between those that gateways of other releases send.
const overShareDelay = 10 * time.Second

// putBackOverShare sets x.overShare and returns it: whether x waits for its first attempt
// after others of the same urgency because its workspace is over its share. Places of the
// return plan are promises and are kept. Server.mu must be held.
func (s *Server) putBackOverShare(x *exchange, now time.Time) bool {
	before := x.overShare
	c := s.controllerLocked(x)
	x.overShare = c != nil && x.attempts == 0 && !x.hasPlace && c.OverShare(x.urgency(), x.workspace, now)
	if x.overShare && !before {
		u := x.urgency()
		s.metrics.Counter("mintlift_admission_over_share_total", "service", x.service, "priority", strconv.Itoa(u.Priority), "route_priority", strconv.Itoa(u.RoutePriority)).Inc()
	}
	return x.overShare
}

// shareReserveLocked returns how many slots of each engine x must leave free at its first
// attempt because its workspace is over its share. Server.mu must be held.
func (s *Server) shareReserveLocked(x *exchange, now time.Time) float64 {
	c := s.controllerLocked(x)
	if c == nil || !x.overShare {
		return 0
	}
	return c.ShareReserve(x.urgency(), x.config.Services[x.service].Engine.Slots, now)
}

// recordShare counts whether x got an endpoint at its first attempt for the share of its
// workspace. Server.mu must be held.
func (s *Server) recordShare(c *admission.Controller, x *exchange, sent, unsent bool, now time.Time) {
	c.RecordAttempt(x.urgency(), admission.Attempt{
		Workspace: x.workspace, Sent: sent, Unsent: unsent, Returned: x.callerRetry, Late: x.acceptsLate && !x.hasPlace, OverShare: x.overShare,
	}, now)
}

// wishDue returns the time until the response to a waiter is due, as its wish for a slot
// states it.
func (r rank) wishDue(now time.Time) time.Duration {
	due := r.responseDue.Sub(now)
	if r.overShare {
		due += overShareDelay
	}
	return due
}

// logShares logs which workspaces have gone over their shares or under them again.
// Server.mu must be held.
func (s *Server) logShares(now time.Time) {
	for service, c := range s.admission {
		for _, change := range c.ShareChanges(now) {
			u := change.Urgency
			s.events.Info("workspace share changed", "service", service, "priority", u.Priority, "route_priority", u.RoutePriority, "workspace", change.Workspace,
				"over", change.Over, "share", change.Share, "asked", change.Asked, "sent", change.Sent, "total_asked", change.TotalAsked,
				"total_sent", change.TotalSent, "workspaces", change.Workspaces, "omitted", change.Omitted)
		}
	}
}
