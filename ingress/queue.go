// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintlift/mintlift/admission"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// waiter is a request that waits for an endpoint.
type waiter struct {
	exchange *exchange
	rank     rank
	deadline time.Time // when the request is refused
	// assigned has capacity 1 and receives an attempt at the endpoint, or nil if the
	// request is refused.
	assigned chan *attempt
	// targets are the engines at which the waiter wishes for a slot, in a contended
	// service.
	targets slotTargets
}

// rank is the position of a waiter in its queue: waiters with lower ranks are served
// first. The fields are compared one after the other.
type rank struct {
	// late is set in contended services if the request's target latency can no longer be
	// met.
	late bool
	// belowFloor is set if the request goes first because too few of its urgency were
	// served. See admission.Controller.BelowFloor.
	belowFloor bool
	urgency    admission.Urgency
	// overShare is set if the request's workspace is over its share. See
	// admission.Controller.OverShare.
	overShare bool
	stage     stage
	// responseDue is when the response should start. Of waiters of equal urgency and
	// stage, the one with the earliest responseDue is served first.
	responseDue time.Time
}

// stage orders waiters of the same urgency. The gateway's own retries are served
// first, because their streams may already have started. First attempts of new requests
// are served before callers' retries, because they can still meet the target latency,
// except for the few retries that have a place in the return plan.
type stage int

// The stages, in the order in which they are served.
const (
	stageRetry       stage = iota // a further attempt by the gateway
	stagePlace                    // the first attempt of a caller's retry that has a place
	stageFirst                    // the first attempt of a new request
	stageCallerRetry              // the first attempt of a caller's retry
)

// stage returns the stage of the next attempt of x.
func (x *exchange) stage() stage {
	switch {
	case x.attempts > 0:
		return stageRetry
	case x.hasPlace:
		return stagePlace
	case x.callerRetry:
		return stageCallerRetry
	default:
		return stageFirst
	}
}

// compareRank orders ranks; a negative result means that a is served before b.
func compareRank(a, b rank) int {
	return cmp.Or(
		compareBool(a.late, b.late),
		compareBool(b.belowFloor, a.belowFloor),
		a.urgency.Compare(b.urgency),
		compareBool(a.overShare, b.overShare),
		cmp.Compare(a.stage, b.stage),
		a.responseDue.Compare(b.responseDue),
	)
}

// wishPriority returns the priority of a waiter's wish for a slot: late requests come after
// all others, and requests in time in the order of their urgency.
func (r rank) wishPriority() int {
	const levels = maxPriority + 1
	p := min(max(r.urgency.Priority, 0), maxPriority)*levels + min(max(r.urgency.RoutePriority, 0), maxPriority)
	if r.late {
		p += levels * levels
	}
	return p
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// queue holds the waiters of a service, ordered by rank. Server.mu guards it.
type queue struct {
	waiters []*waiter
	// nextDispatch is the time of the last scheduled dispatch, or zero if none has been
	// scheduled.
	nextDispatch time.Time
	// wishing holds the engines with which slot requests are exchanged, and
	// nextSlotRequests is the time of the last dispatch scheduled for them, or zero.
	wishing          map[*fleet.Endpoint]bool
	nextSlotRequests time.Time
}

// add inserts a waiter by rank, before those of equal rank.
func (q *queue) add(a *waiter) {
	at, _ := slices.BinarySearchFunc(q.waiters, a, func(x, y *waiter) int { return compareRank(x.rank, y.rank) })
	q.waiters = slices.Insert(q.waiters, at, a)
}

// remove deletes a waiter from the queue, if it is there.
func (q *queue) remove(a *waiter) {
	if at := slices.Index(q.waiters, a); at >= 0 {
		q.waiters = slices.Delete(q.waiters, at, at+1)
	}
}

// dispatch assigns endpoints with spare capacity to the waiters of a service, in the order
// of their ranks. A late waiter gets none while one that is not late waits. Server.mu must
// be held.
//
// Endpoints that have no capacity for any waiter are excluded once for all waiters with the
// same model, since engines that hold other models cannot serve them.
// Searching all endpoints for each waiter would be too slow: dispatch runs at each
// report, and reports are most frequent during a version update, when many requests
// wait and hardly any endpoint has capacity.
func (s *Server) dispatch(service string, now time.Time) {
	q := s.queues[service]
	if q == nil {
		return
	}
	defer s.updateSlotWishes(service, q, now)
	if len(q.waiters) == 0 {
		return
	}
	defer s.scheduleDispatch(service, q, now)
	s.refuseUnplaced(service, q)
	if len(q.waiters) == 0 {
		return
	}
	s.refuseClosed(q, now)
	if len(q.waiters) == 0 {
		return
	}
	model, free := q.waiters[0].exchange.model, s.fleet.Free(s.widestQuery(q.waiters[0].exchange, now), now)
	others := make(map[string][]*fleet.Endpoint) // free endpoints for other models
	defer s.queuePermitRequests(service, now)
	inTimeWaits := false
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if w.rank.late && inTimeWaits {
			return false
		}
		candidates := free
		if m := w.exchange.model; m != model {
			if _, ok := others[m]; !ok {
				others[m] = s.fleet.Free(s.widestQuery(w.exchange, now), now)
			}
			candidates = others[m]
		}
		assigned, anyEndpoint := s.assign(w, candidates, now)
		inTimeWaits = inTimeWaits || !assigned && anyEndpoint && !w.rank.late
		return assigned
	})
}

// assign assigns w one of the free endpoints, if one has capacity for it. The query is built
// anew each time, because the cutoff of a target version may have passed since the last
// dispatch. anyEndpoint is false if w may wait for other endpoints than those that are free,
// because it is restricted to regions or suspected. Server.mu must be held.
func (s *Server) assign(w *waiter, free []*fleet.Endpoint, now time.Time) (assigned, anyEndpoint bool) {
	x := w.exchange
	restricted := s.regionsOf(x).Restricted()
	if len(free) == 0 && !restricted {
		return false, true
	}
	q := s.attemptQuery(x, now)
	e := s.fleet.ChooseAmong(free, q, now)
	if e == nil && restricted {
		e = s.fleet.Choose(q, now) // its regions may have endpoints that are not watched
	}
	if e == nil {
		return false, !restricted && !q.Isolated
	}
	a := &attempt{
		exchange: x, endpoint: e, isolated: q.Isolated, hasPermit: e.Signals.Limited(now),
		granted: q.SlotGrants && e.SlotGrants.Take(now), grantedAt: now,
	}
	if a.hasPermit {
		s.metrics.Counter("mintlift_ingress_limited_requests_total", "service", x.service).Inc()
	}
	w.assigned <- a
	return true, false
}

// refuseUnplaced refuses each waiter that no endpoint on the list may serve because of its
// regions or because of evacuated zones. Only the operator or a new endpoint can change
// that, so waiting would merely delay the caller's retry. While the list is incomplete, the
// waiters stay: the next entry may be of an endpoint that may serve them. Server.mu must be
// held.
func (s *Server) refuseUnplaced(service string, q *queue) {
	if !s.listKnown {
		return
	}
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if !s.fleet.NoPlace(service, s.regionsOf(w.exchange)) {
			return false
		}
		w.assigned <- nil
		return true
	})
}

// refuseClosed refuses each waiter that no endpoint will accept before its deadline,
// because all are draining, in backoff or at their rate limits. Server.mu must be held.
func (s *Server) refuseClosed(q *queue, now time.Time) {
	if s.fleet.Closure(s.widestQuery(q.waiters[0].exchange, now), now, now).Reason == fleet.Open {
		return
	}
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		c := s.fleet.Closure(s.servableQuery(w.exchange, now), w.deadline, now)
		if c.Reason == fleet.Open {
			return false
		}
		w.assigned <- nil
		return true
	})
}

// scheduleDispatch schedules a dispatch for the time at which the next endpoint accepts
// requests again, such as the end of its backoff. No other event may cause a dispatch at
// that time. Server.mu must be held.
func (s *Server) scheduleDispatch(service string, q *queue, now time.Time) {
	if len(q.waiters) == 0 {
		return
	}
	at := s.fleet.NextOpening(service, now)
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

// dispatchAll dispatches the waiters of all services. Server.mu must be held.
func (s *Server) dispatchAll(now time.Time) {
	for service := range s.queues {
		s.dispatch(service, now)
	}
}
