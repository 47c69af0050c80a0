// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"slices"
	"time"
)

// lateQueueMin is the number of late requests that may wait whatever the rate at which they
// get slots. A gateway that has sent nothing yet knows no rate.
const lateQueueMin = 2

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

// limitLate refuses each late request, from the waiter w on, that cannot be expected to get
// a slot before its deadline. Those before w wait no longer because of it. Requests that
// wait for the expected service of a version stay: the recent rate says nothing about it.
// Server.mu must be held.
func (s *Server) limitLate(w *waiter, q *queue, now time.Time) {
	from := slices.Index(q.waiters, w)
	if from < 0 {
		return // it has an endpoint, or is refused
	}
	c := s.controllerLocked(w.exchange)
	before := 0 // late requests that are served before
	for _, other := range q.waiters[:from] {
		if other.rank.late {
			before++
		}
	}
	kept := q.waiters[:from]
	for _, other := range q.waiters[from:] {
		if before >= lateQueueMin && !other.exchange.awaitsService && !c.LateMayWait(before, other.deadline.Sub(now), now) {
			other.exchange.refusal = refusalLateQueue
			other.assigned <- nil
			continue
		}
		before++
		kept = append(kept, other)
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}
