// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"slices"
	"time"

	"github.com/mintlift/mintlift/routing"
)

// contendedLocked reports whether a service is contended: more gateways receive the
// reports of its engines than an engine has slots, so that more gateways can see a free
// slot than can use it. It goes by the largest number of gateways that was reported
// recently. service may be nil. Server.mu must be held.
func (s *Server) contendedLocked(service *routing.Service) bool {
	return service != nil && service.Engine != nil && service.Engine.Slots > 0 && s.recentGateways.largest() > service.Engine.Slots
}

// gatewayCountPeriod is the least time for which a gatewayCount holds a number; it holds it
// for at most two periods. For some seconds the number can be too high, while sidecars still
// count gateways that have been replaced at new addresses, or too low, after a sidecar has
// restarted. Both are short compared with the period, so that a service does not change
// between contended and not contended more than once for each.
const gatewayCountPeriod = 30 * time.Second

// gatewayCount is the largest number of gateways that sidecars have reported in the current
// period and the one before. Periods end only when a report arrives, so that the number
// remains while the gateway is cut off from all sidecars.
type gatewayCount struct {
	current, previous int
	currentSince      time.Time
}

// largest returns the largest number, or 0 before the first report.
func (c *gatewayCount) largest() int { return max(c.current, c.previous) }

// observe processes a reported number. While hold is set, no period ends.
func (c *gatewayCount) observe(n int, hold bool, now time.Time) {
	if c.currentSince.IsZero() {
		c.currentSince = now
	}
	if !hold && now.Sub(c.currentSince) >= gatewayCountPeriod {
		c.current, c.previous, c.currentSince = 0, c.current, now
	}
	c.current = max(c.current, n)
}

// lateCutoffInForce reports whether a late cutoff is in force. It must not become a usual one
// before the deadline: attempts that were sent after the usual cutoff depend on withdrawals
// that reset the connection. Server.mu must be held.
func (s *Server) lateCutoffInForce(now time.Time) bool {
	for _, list := range s.targetVersions {
		if slices.ContainsFunc(list, func(n TargetVersion) bool { return n.late && now.Before(n.deadline) }) {
			return true
		}
	}
	return false
}
