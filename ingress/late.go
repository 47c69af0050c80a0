// SPDX-License-Identifier: Apache-2.0

package ingress

import "time"

// Bound on the late requests that wait: as many as the gateway sends in lateQueueTime, but at
// least lateQueueMin. Further ones are refused at once, while their callers have time left.
const (
	lateQueueTime = 300 * time.Millisecond
	lateQueueMin  = 2
)

// lateLocked reports whether x waits for its first attempt in a contended service although
// its target latency can no longer be met, and has no place in the return plan. Server.mu
// must be held.
func (s *Server) lateLocked(x *exchange, now time.Time) bool {
	if x.attempts > 0 || x.hasPlace || s.controllerLocked(x) == nil {
		return false
	}
	if x.acceptsLate {
		return true
	}
	q := s.attemptQuery(x, now)
	left := x.route.TargetLatency - x.age - now.Sub(x.start)
	return x.age > 0 && x.route.TargetLatency > 0 && q.MinFirstByteMS() > float64(left)/float64(time.Millisecond)
}

// limitLate refuses the last late request that waits if there are too many. x is any of
// them. Server.mu must be held.
func (s *Server) limitLate(x *exchange, q *queue, now time.Time) {
	limit := max(lateQueueMin, int(s.controllerLocked(x).SendRate(now)*lateQueueTime.Seconds()))
	first := len(q.waiters) - 1 - limit // of the late ones, if they are too many
	if first < 0 || !q.waiters[first].rank.late {
		return
	}
	last := q.waiters[len(q.waiters)-1]
	q.remove(last)
	last.exchange.refusal = refusalLateQueue
	last.assigned <- nil
}
