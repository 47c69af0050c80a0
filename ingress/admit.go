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
	retryExtraLoad = 2
	// plainFactor bounds a plain endpoint's load, in slots.
	plainLoadFactor = 3
	// defaultSlots is assumed where the list tells none.
	defaultSlots = 8
)

// Bounds of waiting for an endpoint.
const (
	// holdShare is the part of the target latency that a request may wait
	// before it is refused.
	maxWaitShare = 0.22
	// holdMax bounds the wait where no target is known.
	defaultMaxWait = 200 * time.Millisecond
	// lateWait and lateWaitShare bound how long a request waits that would
	// otherwise be refused again, or broken off: a time, and a part of what
	// the caller will wait.
	lateMaxWait      = 1200 * time.Millisecond
	lateMaxWaitShare = 0.3
	// resumeWait is how long a stream that goes on waits for an engine that
	// takes it up in time, before it takes what there is.
	retryOnTimeWait = 120 * time.Millisecond
	// lateShare is the part of an engine's slots up to which it takes
	// requests that will be answered late, and lateBacklog how much it may
	// have to read before one, in usual prompts: what is late already must not
	// make late what can still be in time.
	lateLoadShare      = 0.8
	lateBacklogPrompts = 1.0
	// aimShare is the part of the target latency in which an engine must be
	// expected to answer for a request to be sent there; the rest is for
	// what cannot be foreseen.
	latencyTargetShare = 0.92
)

// When to come back after a refusal: later, and more spread, the more of
// the service's requests are refused.
const (
	retryAfterMin           = 350 * time.Millisecond
	retryAfterSpread        = 500 * time.Millisecond
	retryAfterRefusedSpread = 1300 * time.Millisecond
	// retryAfterNone is added when no endpoint could serve at all.
	retryAfterUnservable = 600 * time.Millisecond
	// maxRetryAfter bounds what is added while all endpoints rest: others may come
	// meanwhile.
	maxRetryAfterClosed = 10 * time.Second
	// retryAfterUnready and its range are for a gateway without a configuration:
	// it may be seconds until the store answers. Callers wait no longer than a
	// third of their time.
	retryAfterUnready       = 1200 * time.Millisecond
	retryAfterUnreadySpread = 800 * time.Millisecond
)

// query describes the next attempt of x.
func (s *Server) attemptQuery(x *exchange, now time.Time) fleet.Query {
	q := fleet.Query{Service: x.service, Exclude: x.tried}
	service := x.config.Services[x.service]
	if service == nil {
		return q
	}
	q.Connections = s.connectionLimit(service)
	q.Alone = !x.acceptsLate && x.suspected(now)
	if service.Engine == nil {
		q.Limit = plainLoadFactor * defaultSlots
		return q
	}
	q.Model = x.model
	q.Slots = float64(service.Engine.Slots)
	q.Work = x.prefillMS
	q.UsualWork = x.meanPrefillMS
	q.Limit = float64(service.Engine.Slots)
	q.SlotEvery = slotIntervalMS(service.Engine)
	switch {
	case x.attempts > 0:
		q.Limit += retryExtraLoad
	case x.acceptsLate:
		q.Limit *= lateLoadShare
		q.Backlog = lateBacklogPrompts * x.meanPrefillMS
	}
	q.Within = x.maxFirstByteMS(now)
	q.MinVersion = s.minVersion(x.model, now)
	q.PromisedVersion = s.minVersion(x.model, now.Add(-scheduledUpdateLead))
	q.SoonVersion = s.minVersion(x.model, now.Add(nextVersionLead))
	return q
}

// servable describes the next attempt of x as far as it is not a matter of time
// that an endpoint can take it.
func (s *Server) servableQuery(x *exchange, now time.Time) fleet.Query {
	q := s.attemptQuery(x, now)
	q.Alone = false
	return q
}

// widest describes an attempt that asks no more of an endpoint than any of a
// service does, x's among them.
func (s *Server) widestQuery(x *exchange, now time.Time) fleet.Query {
	q := s.attemptQuery(x, now)
	q.Exclude, q.Alone = nil, false
	q.Within, q.Backlog = 0, 0
	if service := x.config.Services[x.service]; service != nil && service.Engine != nil {
		q.Limit = float64(service.Engine.Slots) + retryExtraLoad
	}
	return q
}

// within is the time in which an engine's first bytes should come for the
// next attempt of x, in milliseconds, or 0 for no bound.
func (x *exchange) maxFirstByteMS(now time.Time) float64 {
	left := float64(0)
	switch {
	case x.acceptsLate:
		return 0
	case x.attempts > 0:
		left = latencyTargetShare * float64(x.route.TargetGap)
	default:
		left = latencyTargetShare*float64(x.route.TargetLatency) - float64(now.Sub(x.start))
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
func (s *Server) connectionLimit(service *routing.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(connectionShare*float64(service.MaxConnections)/float64(s.gateways)))
}

// admit waits for an endpoint for x, for at most hold. It returns nil if
// none had room in time, or if ctx ended; a new request that no endpoint could
// serve, whatever its load, does not wait: what is missing takes seconds to
// come, and the caller is told when to come back.
func (s *Server) waitForEndpoint(ctx context.Context, x *exchange, maxWait time.Duration) *fleet.Endpoint {
	now := clock.Now()
	w := &waiter{
		exchange: x,
		rank:     rank{priority: x.priority, stage: x.stage(), answerDue: x.start.Add(x.route.TargetLatency)},
		deadline: now.Add(maxWait),
		assigned: make(chan *fleet.Endpoint, 1),
	}
	s.mu.Lock()
	q := s.queues[x.service]
	if q == nil {
		q = &queue{}
		s.queues[x.service] = q
	}
	q.add(w)
	s.dispatch(x.service, now)
	unservable := x.attempts == 0 && !x.callerRetry && len(w.assigned) == 0 && s.fleet.Usable(s.servableQuery(x, now), w.deadline, now) == 0
	if unservable {
		q.remove(w)
	}
	s.mu.Unlock()
	if unservable {
		return nil
	}

	select {
	case e := <-w.assigned:
		return e
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case e := <-w.assigned:
		return e
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q.remove(w)
	select {
	case e := <-w.assigned:
		if ctx.Err() == nil || e == nil {
			return e
		}
		s.fleet.Begun(e, x.prefillMS, unknownLateness, clock.Now())
		s.endAttemptLocked(x, e, fleet.Abandoned, clock.Now())
		s.dispatch(x.service, clock.Now())
	default:
	}
	return nil
}

// acquire finds an endpoint for the next attempt of x, or returns nil if it
// is to be refused. One that was refused before, or has begun, gets a second
// wait in which it takes what there is.
func (s *Server) acquireEndpoint(ctx context.Context, x *exchange) *fleet.Endpoint {
	if x.attempts > 0 && !x.acceptsLate {
		if e := s.waitForEndpoint(ctx, x, min(retryOnTimeWait, clock.Until(x.expiresAt))); e != nil {
			return e
		}
	}
	if x.attempts == 0 && !x.cannotMeetTarget() {
		if e := s.waitForEndpoint(ctx, x, queueTimeout(x, clock.Now())); e != nil || !x.callerRetry {
			s.statsOf(x.service).record(e == nil, clock.Now())
			return e
		}
	}
	x.acceptsLate = true
	left := clock.Until(x.expiresAt)
	if x.attempts == 0 {
		left = time.Duration(lateMaxWaitShare * float64(left))
	}
	return s.waitForEndpoint(ctx, x, min(lateMaxWait, left))
}

// cannotBeInTime reports whether no engine could answer x in time, even one that
// has nothing else to do: a refusal would only cost the caller a second try.
func (x *exchange) cannotMeetTarget() bool {
	s := x.server
	now := clock.Now()
	s.mu.Lock()
	q := s.attemptQuery(x, now)
	s.mu.Unlock()
	return q.Within > 0 && q.Work > 0 && q.AtBest() > q.Within
}

// queueTime is how long x may wait for an endpoint that answers in time.
func queueTimeout(x *exchange, now time.Time) time.Duration {
	maxWait := defaultMaxWait
	if x.route.TargetLatency > 0 {
		maxWait = time.Duration(maxWaitShare * float64(x.route.TargetLatency))
	}
	return min(maxWait-now.Sub(x.start), x.expiresAt.Sub(now))
}

// whenToRetry is when a refused caller should try again, and whether that is because
// all endpoints are closed by their own words.
func (s *Server) retryAfter(x *exchange) (fleet.Closure, time.Duration) {
	now := clock.Now()
	s.mu.Lock()
	q := s.servableQuery(x, now)
	q.Exclude = nil
	usable := s.fleet.Usable(q, now, now)
	closure := s.fleet.Closed(q, now, now)
	s.mu.Unlock()
	spread := float64(retryAfterSpread) + float64(retryAfterRefusedSpread)*s.statsOf(x.service).refusedShare(now)
	after := retryAfterMin + time.Duration(rand.Float64()*spread)
	switch {
	case closure.Reason != fleet.Open && !closure.Until.IsZero():
		after += min(closure.Until.Sub(now), maxRetryAfterClosed)
	case usable == 0:
		after += retryAfterUnservable
	}
	return closure, after
}

// retryAfterUnknown is when a caller should try again whom this gateway can
// tell nothing yet.
func retryAfterNotReady() time.Duration {
	return retryAfterUnready + rand.N(retryAfterUnreadySpread)
}

// slotEvery is how often a full engine has a slot free, in milliseconds.
func slotIntervalMS(e *routing.Engine) float64 {
	decodeMS := float64(e.UsualAnswer) * float64(e.Step.Microseconds()) / 1000
	return decodeMS/float64(max(e.Slots, 1)) + prefillMS(e, e.UsualPrompt)
}

// readMillis is how long an engine reads so many prompt tokens.
func prefillMS(e *routing.Engine, tokens int) float64 {
	if e.ReadRate <= 0 {
		return 0
	}
	return float64(tokens) / e.ReadRate * 1000
}

// engineOf returns the engine figures of a service, or nil.
func engineConfig(c *routing.Configuration, service string) *routing.Engine {
	if s := c.Services[service]; s != nil {
		return s.Engine
	}
	return nil
}
