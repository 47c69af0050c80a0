// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/routing"
)

// Bounds of how much an endpoint is given.
const (
	// resumeExtra is how many streams that go on may wait at an engine
	// beyond its slots.
	resumeExtra = 2
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
	// lateWait and lateWaitShare bound how long a request waits that would
	// otherwise be refused again, or broken off: a time, and a part of what
	// the caller will wait.
	lateWait      = 1200 * time.Millisecond
	lateWaitShare = 0.3
	// resumeWait is how long a stream that goes on waits for an engine that
	// takes it up in time, before it takes what there is.
	resumeWait = 120 * time.Millisecond
	// lateShare is the part of an engine's slots up to which it takes
	// requests that will be answered late, and lateBacklog how much it may
	// have to read before one, in usual prompts: what is late already must not
	// make late what can still be in time.
	lateShare   = 0.8
	lateBacklog = 1.0
	// aimShare is the part of the target latency in which an engine must be
	// expected to answer for a request to be sent there; the rest is for
	// what cannot be foreseen.
	aimShare = 0.92
)

// When to come back after a refusal: later, and more spread, the more of
// the service's requests are refused.
const (
	retryAfterMin   = 350 * time.Millisecond
	retryAfterRange = 500 * time.Millisecond
	retryAfterMore  = 1300 * time.Millisecond
	// retryAfterNone is added when no endpoint could serve at all.
	retryAfterNone = 600 * time.Millisecond
	// maxRetryAfter bounds what is added while all endpoints rest: others may come
	// meanwhile.
	maxRetryAfter = 10 * time.Second
	// retryAfterUnready and its range are for a gateway without a configuration:
	// it may be seconds until the store answers. Callers wait no longer than a
	// third of their time.
	retryAfterUnready      = 1200 * time.Millisecond
	retryAfterUnreadyRange = 800 * time.Millisecond
)

// query describes the next attempt of x.
func (s *Server) query(x *exchange, now time.Time) fleet.Query {
	q := fleet.Query{Service: x.service, Exclude: x.tried}
	service := x.config.Services[x.service]
	if service == nil {
		return q
	}
	q.Connections = s.connections(service)
	q.Alone = !x.late && x.suspected(now)
	if service.Engine == nil {
		q.Limit = plainFactor * defaultSlots
		return q
	}
	q.Model = x.model
	q.Slots = float64(service.Engine.Slots)
	q.Work = x.work
	q.UsualWork = x.usual
	q.Limit = float64(service.Engine.Slots)
	q.SlotEvery = slotEvery(service.Engine)
	switch {
	case x.attempts > 0:
		q.Limit += resumeExtra
	case x.late:
		q.Limit *= lateShare
		q.Backlog = lateBacklog * x.usual
	}
	q.Within = x.within(now)
	q.MinVersion = s.minVersion(x.model, now)
	q.PromisedVersion = s.minVersion(x.model, now.Add(-promiseLead))
	q.SoonVersion = s.minVersion(x.model, now.Add(cautionLead))
	return q
}

// servable describes the next attempt of x as far as it is not a matter of time
// that an endpoint can take it.
func (s *Server) servable(x *exchange, now time.Time) fleet.Query {
	q := s.query(x, now)
	q.Alone = false
	return q
}

// widest describes an attempt that asks no more of an endpoint than any of a
// service does, x's among them.
func (s *Server) widest(x *exchange, now time.Time) fleet.Query {
	q := s.query(x, now)
	q.Exclude, q.Alone = nil, false
	q.Within, q.Backlog = 0, 0
	if service := x.config.Services[x.service]; service != nil && service.Engine != nil {
		q.Limit = float64(service.Engine.Slots) + resumeExtra
	}
	return q
}

// within is the time in which an engine's first bytes should come for the
// next attempt of x, in milliseconds, or 0 for no bound.
func (x *exchange) within(now time.Time) float64 {
	left := float64(0)
	switch {
	case x.late:
		return 0
	case x.attempts > 0:
		left = aimShare * float64(x.route.TargetGap)
	default:
		left = aimShare*float64(x.route.TargetLatency) - float64(now.Sub(x.start))
	}
	if x.route.TargetLatency <= 0 {
		return 0
	}
	return max(left/float64(time.Millisecond), 1)
}

// connectionShare is the part of an endpoint's connections that all gateways
// together use.
const connectionShare = 0.9

// connections is this gateway's part of the connections that an endpoint of
// the service accepts.
func (s *Server) connections(service *routing.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(connectionShare*float64(service.MaxConnections)/float64(s.gateways)))
}

// admit waits for an endpoint for x, for at most hold. It returns nil if
// none had room in time, or if ctx ended; a new request that no endpoint could
// serve, whatever its load, does not wait: what is missing takes seconds to
// come, and the caller is told when to come back.
func (s *Server) admit(ctx context.Context, x *exchange, hold time.Duration) *fleet.Endpoint {
	now := clock.Now()
	w := &waiter{
		exchange: x,
		rank:     rank{priority: x.priority, stage: x.stage(), due: x.start.Add(x.route.TargetLatency)},
		until:    now.Add(hold),
		granted:  make(chan *fleet.Endpoint, 1),
	}
	s.mu.Lock()
	q := s.waiting[x.service]
	if q == nil {
		q = &queue{}
		s.waiting[x.service] = q
	}
	q.add(w)
	s.dispatch(x.service, now)
	unservable := x.attempts == 0 && !x.returned && len(w.granted) == 0 && s.fleet.Usable(s.servable(x, now), w.until, now) == 0
	if unservable {
		q.remove(w)
	}
	s.mu.Unlock()
	if unservable {
		return nil
	}

	select {
	case e := <-w.granted:
		return e
	default:
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case e := <-w.granted:
		return e
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q.remove(w)
	select {
	case e := <-w.granted:
		if ctx.Err() == nil || e == nil {
			return e
		}
		s.fleet.Begun(e, x.work, unknownLate, clock.Now())
		s.endLocked(x, e, fleet.Abandoned, clock.Now())
		s.dispatch(x.service, clock.Now())
	default:
	}
	return nil
}

// acquire finds an endpoint for the next attempt of x, or returns nil if it
// is to be refused. One that was refused before, or has begun, gets a second
// wait in which it takes what there is.
func (s *Server) acquire(ctx context.Context, x *exchange) *fleet.Endpoint {
	if x.attempts > 0 && !x.late {
		if e := s.admit(ctx, x, min(resumeWait, clock.Until(x.end))); e != nil {
			return e
		}
	}
	if x.attempts == 0 && !x.cannotBeInTime() {
		if e := s.admit(ctx, x, queueTime(x, clock.Now())); e != nil || !x.returned {
			s.pressureOf(x.service).count(e == nil, clock.Now())
			return e
		}
	}
	x.late = true
	left := clock.Until(x.end)
	if x.attempts == 0 {
		left = time.Duration(lateWaitShare * float64(left))
	}
	return s.admit(ctx, x, min(lateWait, left))
}

// cannotBeInTime reports whether no engine could answer x in time, even one that
// has nothing else to do: a refusal would only cost the caller a second try.
func (x *exchange) cannotBeInTime() bool {
	s := x.server
	now := clock.Now()
	s.mu.Lock()
	q := s.query(x, now)
	s.mu.Unlock()
	return q.Within > 0 && q.Work > 0 && q.AtBest() > q.Within
}

// queueTime is how long x may wait for an endpoint that answers in time.
func queueTime(x *exchange, now time.Time) time.Duration {
	hold := holdMax
	if x.route.TargetLatency > 0 {
		hold = time.Duration(holdShare * float64(x.route.TargetLatency))
	}
	return min(hold-now.Sub(x.start), x.end.Sub(now))
}

// whenToRetry is when a refused caller should try again, and whether that is because
// all endpoints are closed by their own words.
func (s *Server) whenToRetry(x *exchange) (fleet.Closure, time.Duration) {
	now := clock.Now()
	s.mu.Lock()
	q := s.servable(x, now)
	q.Exclude = nil
	usable := s.fleet.Usable(q, now, now)
	closed := s.fleet.Closed(q, now, now)
	s.mu.Unlock()
	spread := float64(retryAfterRange) + float64(retryAfterMore)*s.pressureOf(x.service).share(now)
	after := retryAfterMin + time.Duration(rand.Float64()*spread)
	switch {
	case closed.Reason != fleet.Open && !closed.Until.IsZero():
		after += min(closed.Until.Sub(now), maxRetryAfter)
	case usable == 0:
		after += retryAfterNone
	}
	return closed, after
}

// retryAfterUnknown is when a caller should try again whom this gateway can
// tell nothing yet.
func retryAfterUnknown() time.Duration {
	return retryAfterUnready + rand.N(retryAfterUnreadyRange)
}

// slotEvery is how often a full engine has a slot free, in milliseconds.
func slotEvery(e *routing.Engine) float64 {
	writing := float64(e.UsualAnswer) * float64(e.Step.Microseconds()) / 1000
	return writing/float64(max(e.Slots, 1)) + readMillis(e, e.UsualPrompt)
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
