// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/admission"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/returnplan"
)

// newPlannedServer returns a server with full engines, of which more gateways receive
// reports than an engine has slots. Its return plan has measured the given number of
// requests served in the last moment. It also returns the current time.
func newPlannedServer(t *testing.T, served int) (*Server, time.Time) {
	s, _ := newFullServer(t, 2, 0)
	now := clock.Now()
	p := returnplan.New(now.Add(-10 * time.Second))
	for range served {
		p.RecordServed(now)
	}
	s.returnPlans["engine"] = p
	return s, now
}

// newRefused returns a request that is to be refused, with left as its caller's remaining
// time.
func newRefused(s *Server, left time.Duration, now time.Time) *exchange {
	c := s.Configuration()
	return &exchange{server: s, config: c, service: "engine", model: testModel, start: now, route: c.Match("h.example", "/stream/1"),
		expiresAt: now.Add(left), callerDeadline: now.Add(left), prefillMS: 50, meanPrefillMS: 50}
}

// returns returns the counter of a metric of package returns.go.
func (s *Server) returns(what string) uint64 {
	return s.metrics.Counter("mintlift_returns_"+what+"_total", "service", "engine").Get()
}

// Load: more requests than the engines serve. Guards against callers that return early
// although there is no place for them, and against places that are not used.
func TestRefusedCallerReturnsByPlan(t *testing.T) {
	const left = 6 * time.Second
	s, now := newPlannedServer(t, 0)
	for range 20 {
		x := newRefused(s, left, now)
		_, after := s.retryAfter(x)
		assert.Assert(t, after > left/3-300*time.Millisecond && after <= left/3, "%v", after)
		assert.Equal(t, x.retryAfter, after)
	}
	assert.Equal(t, s.returns("promised"), uint64(0))
	s, now = newPlannedServer(t, 300) // 20 places per slice
	for range 20 {
		_, after := s.retryAfter(newRefused(s, left, now))
		assert.Assert(t, after >= retryAfterMin && after <= retryAfterMin+300*time.Millisecond, "%v", after)
	}
	assert.Equal(t, s.returns("promised"), uint64(20))
}

// Guards against a return plan in a service that is not contended, whose callers must be
// answered as before.
func TestServiceThatIsNotContendedHasNoReturnPlan(t *testing.T) {
	s, _ := newFullServer(t, 2, 0)
	s.recentGateways = gatewayCount{current: 4} // as many as slots
	now := clock.Now()
	x := newRefused(s, 6*time.Second, now)
	s.countArrival(x, now)
	s.countServed(x, now)
	_, planned := s.planReturn(x, retryAfterMin, now)
	assert.Equal(t, planned, false)
	back := newRefused(s, 4*time.Second, now)
	back.callerRetry = true
	s.countArrival(back, now)
	_, _ = s.retryAfter(back)
	assert.Equal(t, back.stage(), stageCallerRetry)
	assert.Equal(t, len(s.returnPlans), 0)
	assert.Equal(t, s.returns("refused_again"), uint64(0))
}

// Guards against plans for callers that cannot return again, and by a gateway that has
// measured nothing yet.
func TestNoPlannedReturn(t *testing.T) {
	s, now := newPlannedServer(t, 300)
	x := newRefused(s, 4*time.Second, now)
	x.callerRetry = true
	_, planned := s.planReturn(x, retryAfterMin, now)
	assert.Equal(t, planned, false)
	assert.Equal(t, s.returns("refused_again"), uint64(1))
	s.returnPlans["engine"] = returnplan.New(now)
	_, planned = s.planReturn(newRefused(s, 6*time.Second, now), retryAfterMin, now)
	assert.Equal(t, planned, false)
}

// Guards against callers that return before anything can be served, because there are
// places at an earlier time.
func TestPlannedReturnIsNotBeforeServiceOpens(t *testing.T) {
	s, now := newPlannedServer(t, 300)
	s.SetEndpoints([]fleet.Record{{ID: "other", Service: "plain", Address: "10.0.9.9:1", Zone: "z"}})
	_, after := s.retryAfter(newRefused(s, 6*time.Second, now))
	assert.Assert(t, after >= retryAfterMin+retryAfterUnservable, "no endpoints: %v", after)

	const backoff = 1200 * time.Millisecond
	g := newTestGateway(t)
	g.decodeSignals()
	g.configure(1)
	g.server.recordGateways(13, clock.Now())
	g.server.returnPlans["engine"] = s.returnPlans["engine"]
	g.startEndpoint("a", "engine", addHeader(backoffHeader, "1.2", respondNotRun))
	opens := clock.Now().Add(backoff)
	for range 2 { // the first makes the endpoint send its signal
		r, _ := g.do("POST", "/stream/1", "x", withHeader(testHeaders.Deadline, "6000"))
		assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		returns := clock.Now().Add(time.Duration(after * float64(time.Second)))
		assert.Assert(t, returns.After(opens), "returns %v before", opens.Sub(returns))
	}
}

// Guards against a place that more than one return gets, or a new request.
func TestReturnTakesPlaceOnce(t *testing.T) {
	s, now := newPlannedServer(t, 300)
	after, kept := s.returnPlans["engine"].Promise(retryAfterMin, time.Second, now)
	assert.Assert(t, kept)
	at := now.Add(after)
	fresh, first, second := newRefused(s, 6*time.Second, at), newRefused(s, 5*time.Second, at), newRefused(s, 5*time.Second, at)
	first.callerRetry, second.callerRetry = true, true
	for _, x := range []*exchange{fresh, first, second} {
		s.countArrival(x, at)
	}
	assert.Equal(t, fresh.stage(), stageFirst)
	assert.Equal(t, first.stage(), stagePlace)
	assert.Equal(t, second.stage(), stageCallerRetry)
	assert.Equal(t, s.returns("kept"), uint64(1))
	first.attempts = 1
	s.countArrival(first, at)
	assert.Equal(t, first.stage(), stageRetry)
}

// Load: new requests and returns wait for a slot. Guards against a return
// with a place that waits behind new requests of its priority, and against one that goes
// before more urgent requests.
func TestReturnWithPlaceGoesBeforeNewRequests(t *testing.T) {
	s, _ := newFullServer(t, 1, 0)
	now := clock.Now()
	q := s.queues["engine"]
	add := func(priority int, returned, hasPlace bool) *waiter {
		x := newRefused(s, 6*time.Second, now)
		x.priority, x.callerRetry, x.hasPlace = priority, returned, hasPlace
		w := &waiter{exchange: x, rank: rank{urgency: admission.Urgency{Priority: priority}, stage: x.stage(), responseDue: now}, deadline: now.Add(time.Second), assigned: make(chan *attempt, 1)}
		q.add(w)
		return w
	}
	late, fresh, place, urgent := add(1, true, false), add(1, false, false), add(1, true, true), add(0, false, false)
	assert.Assert(t, slices.Equal(q.waiters, []*waiter{urgent, place, fresh, late}))
}

// Load: engines that refuse connections while callers return. Guards against a request
// that is counted once more, and loses its place or takes a second one, because its first
// attempt reached no endpoint.
func TestRequestIsCountedOnce(t *testing.T) {
	s, now := newPlannedServer(t, 300)
	plan := s.returnPlans["engine"]
	at := now
	for range 2 {
		after, kept := plan.Promise(retryAfterMin, retryAfterMin+200*time.Millisecond, now)
		assert.Assert(t, kept)
		at = slices.MaxFunc([]time.Time{at, now.Add(after)}, time.Time.Compare)
	}
	back := newRefused(s, 5*time.Second, at)
	back.callerRetry = true
	for range 3 { // attempts is 0 again after each attempt that reached no endpoint
		s.countArrival(back, at)
		s.countServed(back, at)
		assert.Equal(t, back.stage(), stagePlace)
	}
	assert.Equal(t, s.returns("kept"), uint64(1))
	assert.Assert(t, plan.Redeem(at), "the other place is open")
}
