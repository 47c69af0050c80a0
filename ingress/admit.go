// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/residency"
	"github.com/mintlift/mintlift/routing"
)

// Limits on the load of an endpoint. A slot of an engine is its capacity for one
// concurrent request.
const (
	// retryExtraLoad is the load beyond its slots up to which an engine gets retries.
	retryExtraLoad = 2
	// plainLoadFactor limits the load of a plain endpoint, in multiples of
	// defaultSlots.
	plainLoadFactor = 3
	// defaultSlots is the number of concurrent requests that a plain endpoint is
	// assumed to serve at full speed.
	defaultSlots = 8
)

// Limits on waiting for an endpoint. An endpoint is late for a request if the first
// bytes of its response are expected after the route's target latency. A request
// accepts late endpoints only if it would otherwise be refused again or aborted.
const (
	// maxWaitShare is the share of the target latency that a request may wait
	// before it is refused.
	maxWaitShare = 0.22
	// defaultMaxWait limits the wait if the route has no target latency.
	defaultMaxWait = 200 * time.Millisecond
	// lateMaxWait limits the wait of a request that accepts late endpoints. On the
	// first attempt, the wait is also limited to the share lateMaxWaitShare of the
	// caller's remaining time.
	lateMaxWait      = 1200 * time.Millisecond
	lateMaxWaitShare = 0.3
	// retryOnTimeWait is how long a retry waits for an engine that meets the target
	// before it accepts a late one.
	retryOnTimeWait = 120 * time.Millisecond
	// lateLoadShare and lateBacklogPrompts limit the load of an engine, as a share of
	// its slots, and its backlog, in prompts of mean length, up to which it gets late
	// requests. This keeps late requests from delaying ones that can still be on time.
	lateLoadShare      = 0.8
	lateBacklogPrompts = 1.0
	// latencyTargetShare is the share of the target latency within which an engine
	// must be expected to respond. The rest is a margin.
	latencyTargetShare = 0.92
)

// Parts of the Retry-After of a refusal, the time that the caller must wait before it
// tries again: retryAfterMin plus a random part of a spread. The spread is
// retryAfterSpread, plus retryAfterRefusedSpread times the share of the service's
// requests that are refused.
const (
	retryAfterMin           = 350 * time.Millisecond
	retryAfterSpread        = 500 * time.Millisecond
	retryAfterRefusedSpread = 1300 * time.Millisecond
	// retryAfterUnservable is added if no endpoint could serve the request at any
	// load.
	retryAfterUnservable = 600 * time.Millisecond
	// maxRetryAfterClosed limits the time that is added for the end of a backoff or for
	// a rate limit, if no endpoint accepts requests before. Other endpoints may be added
	// in the meantime.
	maxRetryAfterClosed = 10 * time.Second
	// retryAfterUnready is the Retry-After while the gateway has no configuration. A
	// random part of retryAfterUnreadySpread is added.
	retryAfterUnready       = 1200 * time.Millisecond
	retryAfterUnreadySpread = 800 * time.Millisecond
	// retryAfterNoRegion is the Retry-After of a request that no region may serve. Only a
	// new configuration can change that.
	retryAfterNoRegion = 5 * time.Second
)

// attemptQuery returns the query for the next attempt of x. Server.mu must be held.
func (s *Server) attemptQuery(x *exchange, now time.Time) fleet.Query {
	q := fleet.Query{Service: x.service, Exclude: x.tried, Regions: s.regionsOf(x)}
	service := x.config.Services[x.service]
	if service == nil {
		return q
	}
	q.MaxConnections = s.connectionLimit(service)
	q.Isolated = !x.acceptsLate && x.suspected(now)
	if service.Engine == nil {
		q.MaxLoad = plainLoadFactor * defaultSlots
		return q
	}
	q.Model = x.model
	q.Slots = float64(service.Engine.Slots)
	q.PrefillMS = x.prefillMS
	q.MeanPrefillMS = x.meanPrefillMS
	q.MaxLoad = float64(service.Engine.Slots)
	q.SlotIntervalMS = slotIntervalMS(service.Engine)
	q.SlotGrants = s.contendedLocked(service)
	switch {
	case x.attempts > 0:
		q.MaxLoad += retryExtraLoad
	case x.acceptsLate:
		q.MaxLoad *= lateLoadShare
		q.MaxBacklogMS = lateBacklogPrompts * x.meanPrefillMS
	}
	if x.attempts == 0 {
		q.MaxLoad = min(q.MaxLoad, q.Slots-s.reserveLocked(x, now)-s.shareReserveLocked(x, now))
	}
	q.MaxFirstByteMS = x.maxFirstByteMS(now)
	setVersionBounds(&q, s.versionBounds(x, now))
	return q
}

// setVersionBounds sets the fields of a query that bound the engine's version.
func setVersionBounds(q *fleet.Query, b versionBounds) {
	q.MinVersion, q.MinVersionBeforeUpdate, q.NextMinVersion, q.ReportedMinVersion = b.lowest, b.beforeUpdate, b.next, b.reported
}

// servableQuery returns the attemptQuery of x without Isolated. That condition depends
// on which other suspected requests are in progress, and ends with them. Server.mu must
// be held.
func (s *Server) servableQuery(x *exchange, now time.Time) fleet.Query {
	q := s.attemptQuery(x, now)
	q.Isolated = false
	return q
}

// widestQuery returns a query that is no stricter than the attemptQuery of any
// request for the service of x. Server.mu must be held.
func (s *Server) widestQuery(x *exchange, now time.Time) fleet.Query {
	q := s.attemptQuery(x, now)
	q.Exclude, q.Isolated, q.Regions = nil, false, residency.Regions{}
	q.MaxFirstByteMS, q.MaxBacklogMS = 0, 0
	if service := x.config.Services[x.service]; service != nil && service.Engine != nil {
		q.MaxLoad = float64(service.Engine.Slots) + retryExtraLoad
		setVersionBounds(&q, s.widestVersionBounds(x, now))
	}
	return q
}

// maxFirstByteMS returns the time within which an engine should send the first bytes of
// its response to the next attempt, in milliseconds, or 0 for no limit.
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

// connectionShare is the share of an endpoint's maximum number of connections that all
// gateways together may use.
const connectionShare = 0.9

// connectionLimit returns this gateway's share of the connections that an endpoint
// of the service accepts, or 0 for no limit. Server.mu must be held.
func (s *Server) connectionLimit(service *routing.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(connectionShare*float64(service.MaxConnections)/float64(s.sharingGateways())))
}

// waitForEndpoint waits up to maxWait for an endpoint for x, and returns an attempt at it,
// which the caller must end. It returns nil if no endpoint had
// capacity in time or ctx ended. A new request that no endpoint could serve at any load
// does not wait, because this usually lasts longer than maxWait.
func (s *Server) waitForEndpoint(ctx context.Context, x *exchange, maxWait time.Duration) *attempt {
	x.refusal = refusalClosed // unless the wait ends otherwise
	now := clock.Now()
	w := &waiter{
		exchange: x,
		rank:     rank{urgency: x.urgency(), stage: x.stage(), responseDue: x.start.Add(x.route.TargetLatency)},
		deadline: now.Add(maxWait),
		assigned: make(chan *attempt, 1),
	}
	s.mu.Lock()
	w.rank.belowFloor, w.rank.late = s.belowFloorLocked(x, now), s.lateLocked(x, now)
	w.rank.overShare = s.putBackOverShare(x, now)
	q := s.queues[x.service]
	if q == nil {
		q = &queue{}
		s.queues[x.service] = q
	}
	q.add(w)
	s.dispatch(x.service, now)
	unservable := x.attempts == 0 && !x.callerRetry && len(w.assigned) == 0 && !s.fleet.Usable(s.servableQuery(x, now), w.deadline, now)
	if unservable {
		q.remove(w)
		s.updateSlotWishes(x.service, q, now)
	}
	s.mu.Unlock()
	if unservable {
		x.refusal = refusalUnservable
		return nil
	}

	select {
	case a := <-w.assigned:
		return a
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case a := <-w.assigned:
		return a
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q.remove(w)
	s.updateSlotWishes(x.service, q, clock.Now())
	select {
	case a := <-w.assigned:
		if ctx.Err() == nil || a == nil {
			return a
		}
		x.refusal = refusalNoSlot
		s.fleet.RecordFirstByte(a.endpoint, x.prefillMS, unknownLateness, clock.Now())
		s.endAttemptLocked(a, fleet.Abandoned, clock.Now())
		s.dispatch(x.service, clock.Now())
	default:
		x.refusal = s.waitRefusal(x, clock.Now())
	}
	return nil
}

// waitRefusal returns why x got no endpoint in a wait that has ended. Server.mu must be held.
func (s *Server) waitRefusal(x *exchange, now time.Time) refusal {
	switch {
	case x.attempts == 0 && !s.fleet.Usable(s.servableQuery(x, now), now, now):
		return refusalUnservable
	case x.overShare:
		return refusalShare
	case s.reserveLocked(x, now) > 0:
		return refusalReserve
	default:
		return refusalNoSlot
	}
}

// acquireEndpoint waits for an endpoint for the next attempt of x. It returns nil if x
// is to be refused.
func (s *Server) acquireEndpoint(ctx context.Context, x *exchange) *attempt {
	a := s.acquire(ctx, x)
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		x.refusal = "" // the caller has left
	}
	s.recordDecision(x, a != nil)
	return a
}

// acquire is acquireEndpoint without counting the result. A request first waits for an
// endpoint that meets the target latency. A retry, by the gateway or by the caller, then
// waits a second time and accepts late endpoints. A caller's retry that no engine is
// expected to serve within its wait is refused at once.
func (s *Server) acquire(ctx context.Context, x *exchange) *attempt {
	if x.attempts == 0 && x.callerRetry {
		if wait, known := s.expectedWait(x, clock.Now()); known {
			x.acceptsLate = true
			return s.waitForEndpoint(ctx, x, wait)
		}
	}
	if x.attempts > 0 && !x.acceptsLate {
		if a := s.waitForEndpoint(ctx, x, min(retryOnTimeWait, clock.Until(x.expiresAt))); a != nil {
			return a
		}
	}
	if x.attempts == 0 && !x.acceptsLate && !x.cannotMeetTarget() {
		if a := s.waitForEndpoint(ctx, x, queueTimeout(x, clock.Now())); a != nil || !x.callerRetry {
			s.statsOf(x.service).record(x, a == nil, clock.Now())
			return a
		}
	}
	x.acceptsLate = true
	left := clock.Until(x.expiresAt)
	if x.attempts == 0 {
		left = time.Duration(lateMaxWaitShare * float64(left))
	}
	return s.waitForEndpoint(ctx, x, min(lateMaxWait, left))
}

// cannotMeetTarget reports whether even an idle engine would respond to x after the
// target latency. In a contended service, that of a caller's retry counts from the first
// try. Such a request accepts late endpoints from the start, since refusing it would only
// make its caller retry.
func (x *exchange) cannotMeetTarget() bool {
	s := x.server
	now := clock.Now()
	s.mu.Lock()
	q := s.attemptQuery(x, now)
	late := s.lateLocked(x, now)
	s.mu.Unlock()
	return late || q.MaxFirstByteMS > 0 && q.PrefillMS > 0 && q.MinFirstByteMS() > q.MaxFirstByteMS
}

// queueTimeout returns how long x may wait for an endpoint that meets the target latency.
func queueTimeout(x *exchange, now time.Time) time.Duration {
	maxWait := defaultMaxWait
	if x.route.TargetLatency > 0 {
		maxWait = time.Duration(maxWaitShare * float64(x.route.TargetLatency))
	}
	return min(maxWait-now.Sub(x.start), x.expiresAt.Sub(now))
}

// retryAfter returns how long a refused caller should wait before it retries, and records
// it in x. If no endpoint accepts requests because all are draining, in backoff or at their
// rate limits, the Closure describes this; else its Reason is Open. If no engine is expected
// to serve before an instant, the caller returns after it. A return plan chooses the time
// where there is one.
func (s *Server) retryAfter(x *exchange) (fleet.Closure, time.Duration) {
	now := clock.Now()
	s.countUnserved(x, now)
	s.mu.Lock()
	q := s.servableQuery(x, now)
	q.Exclude = nil
	usable := s.fleet.Usable(q, now, now)
	closure := s.fleet.Closure(q, now, now)
	s.mu.Unlock()
	expected, known := s.expectation(x, now)
	earliest := retryAfterMin
	switch {
	case closure.Reason != fleet.Open && !closure.Until.IsZero():
		earliest += min(closure.Until.Sub(now), maxRetryAfterClosed)
	case known:
		earliest = earliestReturn(expected, now)
	case !usable:
		earliest += retryAfterUnservable
	}
	after, planned := s.planReturn(x, earliest, now)
	if !planned {
		spread := float64(retryAfterSpread) + float64(retryAfterRefusedSpread)*s.statsOf(x.service).refusedShare(now)
		after = earliest + time.Duration(rand.Float64()*spread)
	}
	if known {
		after = x.honored(after, now)
	}
	x.retryAfter = after
	return closure, after
}

// retryAfterNotReady returns the Retry-After for a caller that is refused because the
// gateway has no configuration yet.
func retryAfterNotReady() time.Duration {
	return retryAfterUnready + rand.N(retryAfterUnreadySpread)
}

// slotIntervalMS returns the mean interval in which a fully loaded engine finishes
// requests and so can start others, in milliseconds.
func slotIntervalMS(e *routing.Engine) float64 {
	decodeMS := float64(e.MeanAnswerTokens) * float64(e.Step.Microseconds()) / 1000
	return decodeMS/float64(max(e.Slots, 1)) + prefillMS(e, e.MeanPromptTokens)
}

// prefillMS returns the prefill time of a prompt in milliseconds, or 0 if the
// engine's prefill rate is unknown.
func prefillMS(e *routing.Engine, tokens int) float64 {
	if e.PrefillRate <= 0 {
		return 0
	}
	return float64(tokens) / e.PrefillRate * 1000
}

// engineConfig returns the engine configuration of a service, or nil if its endpoints
// are not engines.
func engineConfig(c *routing.Configuration, service string) *routing.Engine {
	if s := c.Services[service]; s != nil {
		return s.Engine
	}
	return nil
}
