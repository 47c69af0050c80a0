// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/routing"
)

// Bounds of how much an endpoint is given.
const (
	// engineExtra is how many requests may wait at an engine beyond its
	// slots: one joins the batch as soon as another leaves it.
	engineExtra = 1
	// returnedExtra is added for callers that come back after a refusal,
	// and for streams that go on.
	returnedExtra = 4
	// plainFactor bounds a plain endpoint's load, in slots.
	plainFactor = 3
	// defaultSlots is assumed where the list tells none.
	defaultSlots = 8
)

// Bounds of waiting for an endpoint.
const (
	// holdShare is the part of the target latency that a request may wait
	// before it is refused.
	holdShare = 0.22
	// holdMax bounds the wait where no target is known.
	holdMax = 200 * time.Millisecond
	// returnedHold is the part for callers that come back.
	returnedHold = 0.22
)

// When to come back after a refusal.
const (
	comeBackMin   = 350 * time.Millisecond
	comeBackRange = 900 * time.Millisecond
	// comeBackNone is added when no endpoint could serve at all.
	comeBackNone = 600 * time.Millisecond
)

// ask is a request that waits for an endpoint.
type ask struct {
	query   fleet.Query
	rank    rank
	granted chan *fleet.Endpoint // holds one
}

// rank orders asks: the lower goes first.
type rank struct {
	priority int
	// returned callers and streams that go on are served before new ones.
	fresh   bool
	arrived time.Time
}

func compareRank(a, b rank) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), compareBool(a.fresh, b.fresh), a.arrived.Compare(b.arrived))
}

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

// queue are the asks of a service, by rank.
type queue struct{ asks []*ask }

func (q *queue) add(a *ask) {
	at, _ := slices.BinarySearchFunc(q.asks, a, func(x, y *ask) int { return compareRank(x.rank, y.rank) })
	q.asks = slices.Insert(q.asks, at, a)
}

func (q *queue) remove(a *ask) {
	if at := slices.Index(q.asks, a); at >= 0 {
		q.asks = slices.Delete(q.asks, at, at+1)
	}
}

// query describes the next attempt of x.
func (s *Server) query(x *exchange, now time.Time) fleet.Query {
	q := fleet.Query{Service: x.service, Exclude: x.tried}
	service := x.config.Services[x.service]
	if service == nil || service.Engine == nil {
		q.Limit = plainFactor * defaultSlots
		return q
	}
	q.Model = x.model
	q.Slots = float64(service.Engine.Slots)
	q.Work = x.work
	q.UsualWork = x.usual
	q.Limit = float64(service.Engine.Slots + engineExtra)
	if x.returned || x.attempts > 0 {
		q.Limit += returnedExtra
	}
	q.MinVersion = s.minVersion(x.model, now)
	q.SoonVersion = s.minVersion(x.model, now.Add(cautionLead))
	return q
}

// admit waits for an endpoint for x, for at most hold. It returns nil if
// none had room in time, or if ctx ended.
func (s *Server) admit(ctx context.Context, x *exchange, hold time.Duration) *fleet.Endpoint {
	now := time.Now()
	a := &ask{
		rank:    rank{priority: x.priority, fresh: !x.returned && x.attempts == 0, arrived: x.start},
		granted: make(chan *fleet.Endpoint, 1),
	}
	s.mu.Lock()
	a.query = s.query(x, now)
	q := s.waiting[x.service]
	if q == nil {
		q = &queue{}
		s.waiting[x.service] = q
	}
	q.add(a)
	s.dispatch(x.service, now)
	s.mu.Unlock()

	select {
	case e := <-a.granted:
		return e
	default:
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case e := <-a.granted:
		return e
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q.remove(a)
	select {
	case e := <-a.granted:
		if ctx.Err() == nil {
			return e
		}
		s.fleet.Begun(e, x.work, unknownLate, time.Now())
		s.fleet.End(e, fleet.Abandoned, time.Now())
		s.dispatch(x.service, time.Now())
	default:
	}
	return nil
}

// dispatch gives room at endpoints to the asks of a service, in their
// order. Server.mu is held.
func (s *Server) dispatch(service string, now time.Time) {
	q := s.waiting[service]
	if q == nil {
		return
	}
	kept := q.asks[:0]
	for _, a := range q.asks {
		e := s.fleet.Choose(a.query, now)
		if e == nil {
			kept = append(kept, a)
			continue
		}
		a.granted <- e
	}
	clear(q.asks[len(kept):])
	q.asks = kept
}

func (s *Server) dispatchAll(now time.Time) {
	for service := range s.waiting {
		s.dispatch(service, now)
	}
}

// holdFor is how long x may wait for an endpoint.
func holdFor(x *exchange, now time.Time) time.Duration {
	hold := holdMax
	if x.route.TargetLatency > 0 {
		hold = time.Duration(holdShare * float64(x.route.TargetLatency))
	}
	if x.attempts > 0 {
		return min(hold, x.end.Sub(now))
	}
	return min(hold-now.Sub(x.start), x.end.Sub(now))
}

// comeBack is when a refused caller should try again.
func (s *Server) comeBack(x *exchange) time.Duration {
	s.mu.Lock()
	usable := s.fleet.Usable(s.query(x, time.Now()), time.Now())
	s.mu.Unlock()
	after := comeBackMin + time.Duration(rand.Float64()*float64(comeBackRange))
	if usable == 0 {
		after += comeBackNone
	}
	return after
}

// readMillis is how long an engine reads so many prompt tokens.
func readMillis(e *routing.Engine, tokens int) float64 {
	if e.ReadRate <= 0 {
		return 0
	}
	return float64(tokens) / e.ReadRate * 1000
}

// engineOf returns the engine figures of a service, or nil.
func engineOf(c *routing.Configuration, service string) *routing.Engine {
	if s := c.Services[service]; s != nil {
		return s.Engine
	}
	return nil
}
