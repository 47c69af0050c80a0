// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// waiter is a request that waits for an endpoint.
type waiter struct {
	exchange *exchange
	rank     rank
	deadline time.Time // it is refused then
	// granted holds one: the endpoint, or nil if it is refused.
	assigned chan *fleet.Endpoint
}

// rank orders waiters: the lower goes first.
type rank struct {
	priority int
	stage    stage
	// due is when the answer should begin: who has less time left goes first.
	answerDue time.Time
}

// stage orders waiters of one priority. A new request that is answered in time
// is worth more than one that comes back after a refusal, and either may be
// refused; a stream that goes on has been promised.
type stage int

const (
	stageRetry stage = iota
	stageFirst
	stageCallerRetry
)

func (x *exchange) stage() stage {
	switch {
	case x.attempts > 0:
		return stageRetry
	case x.callerRetry:
		return stageCallerRetry
	default:
		return stageFirst
	}
}

func compareRank(a, b rank) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.stage, b.stage), a.answerDue.Compare(b.answerDue))
}

// queue are the waiters of a service, by rank.
type queue struct {
	waiters []*waiter
	// wakeAt is when the queue is looked at again by itself, or zero.
	nextDispatch time.Time
}

func (q *queue) add(a *waiter) {
	at, _ := slices.BinarySearchFunc(q.waiters, a, func(x, y *waiter) int { return compareRank(x.rank, y.rank) })
	q.waiters = slices.Insert(q.waiters, at, a)
}

func (q *queue) remove(a *waiter) {
	if at := slices.Index(q.waiters, a); at >= 0 {
		q.waiters = slices.Delete(q.waiters, at, at+1)
	}
}

// dispatch gives room at endpoints to the waiters of a service, in their
// order. What each may get is worked out anew: while it waited, a version
// may have come due. Server.mu is held.
//
// Endpoints without room for anybody are sorted out first, once for all
// waiters: when many wait hardly any has room, and a walk over all endpoints for
// each waiter, at each report, is more than a gateway has when engines change
// their version and report a thousand times a second.
func (s *Server) dispatch(service string, now time.Time) {
	q := s.queues[service]
	if q == nil || len(q.waiters) == 0 {
		return
	}
	defer s.scheduleDispatch(service, q, now)
	s.refuseClosed(q, now)
	if len(q.waiters) == 0 {
		return
	}
	free := s.fleet.Free(s.widestQuery(q.waiters[0].exchange, now), now)
	if len(free) == 0 {
		return
	}
	defer s.queuePermitRequests(service, now)
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		q := s.attemptQuery(w.exchange, now)
		e := s.fleet.ChooseAmong(free, q, now)
		if e == nil {
			kept = append(kept, w)
			continue
		}
		w.exchange.isolated = q.Alone
		w.exchange.hasPermit = e.Signals.Limited()
		if e.Signals.Limited() {
			s.metrics.Counter("mintlift_ingress_limited_requests_total", "service", service).Inc()
		}
		w.assigned <- e
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}

// refuseClosed refuses the waiters for which all endpoints are closed, by their own
// words, for longer than they wait. Server.mu is held.
func (s *Server) refuseClosed(q *queue, now time.Time) {
	if s.fleet.Closed(s.widestQuery(q.waiters[0].exchange, now), now, now).Reason == fleet.Open {
		return
	}
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		c := s.fleet.Closed(s.servableQuery(w.exchange, now), w.deadline, now)
		if c.Reason == fleet.Open {
			return false
		}
		w.assigned <- nil
		return true
	})
}

// wakeLater lets the waiters of a service be looked at again when the next endpoint
// may get a request: nothing else happens then. Server.mu is held.
func (s *Server) scheduleDispatch(service string, q *queue, now time.Time) {
	if len(q.waiters) == 0 {
		return
	}
	at := s.fleet.Opens(service, now)
	if at.IsZero() || q.nextDispatch.After(now) && !at.Before(q.nextDispatch) {
		return
	}
	q.nextDispatch = at
	time.AfterFunc(at.Sub(now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatch(service, clock.Now())
	})
}

func (s *Server) dispatchAll(now time.Time) {
	for service := range s.queues {
		s.dispatch(service, now)
	}
}
