// SPDX-License-Identifier: Apache-2.0

package ingress

import "time"

// lateLocked reports whether x waits for its first attempt in a contended service although
// its target latency can no longer be met, and has no place in the return plan. Server.mu
// must be held.
func (s *Server) lateLocked(x *exchange, now time.Time) bool {
	if x.attempts > 0 || x.hasPlace || s.controllerLocked(x) == nil {
		return false
	}
	if x.acceptsLate || x.age <= 0 || x.route.TargetLatency <= 0 {
		return x.acceptsLate
	}
	q := s.attemptQuery(x, now)
	left := x.route.TargetLatency - x.age - now.Sub(x.start)
	return q.MinFirstByteMS() > float64(left)/float64(time.Millisecond)
}
