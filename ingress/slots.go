// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"slices"
	"time"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/slotgrant"
)

// In a contended service, a request that finds no engine clearly free waits in its queue,
// and the gateway wishes for slots at the engines that would cost it least. A slot that is
// granted goes to the most urgent waiter that may use it. See package slotgrant.

// Parameters of the engines at which a waiter wishes for a slot.
const (
	// targetsTTL is how long they are kept. A shorter time would change the wishes, and
	// cost messages, each time the engines' loads change.
	targetsTTL = 100 * time.Millisecond
	// noTargetsTTL replaces targetsTTL if there are none. It bounds the searches while
	// reports arrive at short intervals.
	noTargetsTTL = 20 * time.Millisecond
	// maxWishing limits the waiters of a queue that wish for slots, the most urgent ones.
	maxWishing = 64
)

// slotTargets are the engines at which a waiter wishes for a slot, until they are chosen
// anew.
type slotTargets struct {
	engines []*fleet.Endpoint
	until   time.Time
}

// current reports whether the targets need not be chosen anew.
func (t *slotTargets) current(f *fleet.Fleet, now time.Time) bool {
	return now.Before(t.until) && !slices.ContainsFunc(t.engines, func(e *fleet.Endpoint) bool {
		return f.ByID(e.ID) != e || e.SlotGrants.ByReports(now)
	})
}

// SlotRequest is a message in which the gateway asks an engine's sidecar for slots.
type SlotRequest struct {
	slotgrant.Request
	// Address is the address of the engine.
	Address string
}

// SlotRequestsPending returns a channel that receives when TakeSlotRequests has something
// to return.
func (s *Server) SlotRequestsPending() <-chan struct{} { return s.slotRequestsPending }

// TakeSlotRequests returns the slot requests to send to sidecars now.
func (s *Server) TakeSlotRequests() (out []SlotRequest) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.routes.Get()
	for service, q := range s.queues {
		for e := range q.wishing {
			m, ok := e.SlotGrants.Message(s.slotRequestNumber+1, now)
			if !ok {
				continue
			}
			s.slotRequestNumber++
			m.StartedMS = e.StartedMS
			if engine := engineConfig(c, service); engine != nil {
				m.Slots = engine.Slots
			}
			out = append(out, SlotRequest{m, e.Address})
		}
		s.scheduleSlotRequests(service, q, now)
	}
	return out
}

// HandleSlotGrant processes a grant of an engine's sidecar: waiting requests get the slots,
// and those that no request can use are returned.
func (s *Server) HandleSlotGrant(g slotgrant.Grant) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.fleet.ApplySlotGrant(g, now)
	if e == nil || g.Slots == 0 {
		return
	}
	if q := s.queues[e.Service]; q != nil {
		q.addWishing(e)
	}
	s.dispatch(e.Service, now)
}

// addWishing adds an engine to those with which slot requests are exchanged.
func (q *queue) addWishing(e *fleet.Endpoint) {
	if q.wishing == nil {
		q.wishing = make(map[*fleet.Endpoint]bool)
	}
	q.wishing[e] = true
}

// updateSlotWishes updates the gateway's wishes to those of the requests that wait after a
// dispatch, and returns the grants that the dispatch has not used. Server.mu must be held.
func (s *Server) updateSlotWishes(service string, q *queue, now time.Time) {
	if len(q.waiters) == 0 && len(q.wishing) == 0 {
		return
	}
	wishes := s.slotWishes(service, q, now)
	for e := range wishes {
		q.addWishing(e)
	}
	for e := range q.wishing {
		if s.fleet.ByID(e.ID) != e {
			delete(q.wishing, e) // a message would replace the wishes at the new incarnation
			continue
		}
		e.SlotGrants.ReturnUnused()
		e.SlotGrants.Want(wishes[e], now)
		if e.SlotGrants.TakeSilent(now) {
			s.metrics.Counter("mintlift_slotgrant_unanswered_total").Inc()
		}
	}
	s.scheduleSlotRequests(service, q, now)
}

// slotWishes returns the wishes of the waiters by engine, the most urgent first. Server.mu
// must be held.
func (s *Server) slotWishes(service string, q *queue, now time.Time) map[*fleet.Endpoint][]slotgrant.Wish {
	if len(q.waiters) == 0 || !s.contendedLocked(q.waiters[0].exchange.config.Services[service]) {
		return nil
	}
	wishing := q.waiters[:min(len(q.waiters), maxWishing)]
	wished := make(map[*fleet.Endpoint]int)
	for _, w := range wishing {
		if !w.targets.current(s.fleet, now) {
			w.targets = slotTargets{}
		}
		for _, e := range w.targets.engines {
			wished[e]++
		}
	}
	out := make(map[*fleet.Endpoint][]slotgrant.Wish)
	for _, w := range wishing {
		if w.targets.until.IsZero() {
			w.targets = s.chooseSlotTargets(w, wished, now)
		}
		for _, e := range w.targets.engines {
			if len(out[e]) < slotgrant.MaxWishes {
				out[e] = append(out[e], slotgrant.Wish{
					Priority: w.rank.wishPriority(),
					DueMS:    w.rank.wishDue(now).Milliseconds(),
				})
			}
		}
	}
	s.queuePermitRequests(service, now)
	return out
}

// chooseSlotTargets chooses the engines at which w wishes for a slot, and counts w in
// wished, the number of wishes by engine. Server.mu must be held.
func (s *Server) chooseSlotTargets(w *waiter, wished map[*fleet.Endpoint]int, now time.Time) slotTargets {
	engines := s.fleet.SlotTargets(s.attemptQuery(w.exchange, now), func(e *fleet.Endpoint) int { return wished[e] }, now)
	for _, e := range engines {
		wished[e]++
	}
	if len(engines) == 0 {
		return slotTargets{until: now.Add(noTargetsTTL)}
	}
	return slotTargets{engines, now.Add(targetsTTL)}
}

// scheduleSlotRequests makes SlotRequestsPending receive if a slot request is due, and
// schedules a dispatch for the time at which the next one is due or a sidecar counts as
// silent. Server.mu must be held.
func (s *Server) scheduleSlotRequests(service string, q *queue, now time.Time) {
	var next time.Time
	for e := range q.wishing {
		if e.SlotGrants.Idle() {
			delete(q.wishing, e)
			continue
		}
		at := e.SlotGrants.NextAt(now)
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	switch {
	case next.IsZero():
		return
	case !next.After(now):
		select {
		case s.slotRequestsPending <- struct{}{}:
		default:
		}
		return
	case q.nextSlotRequests.After(now) && !next.Before(q.nextSlotRequests):
		return
	}
	q.nextSlotRequests = next
	time.AfterFunc(next.Sub(now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatch(service, clock.Now())
	})
}

// grantVoid reports whether a was to use a granted slot, but is sent so late that the
// sidecar may have granted the slot again, and the engine has no other one free. Server.mu
// must be held.
func (a *attempt) grantVoid(now time.Time) bool {
	if !a.granted || now.Sub(a.grantedAt) <= slotgrant.Validity {
		return false
	}
	engine := engineConfig(a.exchange.config, a.endpoint.Service)
	return engine != nil && a.endpoint.Load(now) > float64(engine.Slots) // the load includes a
}
