// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/admission"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// contendedServer returns one of a number of gateways, with engines of 4 slots
// and streaming routes of the priorities 0 and 2.
func contendedServer(t *testing.T, gateways int) *testGateway {
	g := newTestGateway(t)
	g.server.Apply(urgencyConfig([]int{0, 2}, []int{1}))
	g.server.recordGateways(gateways, clock.Now())
	return g
}

// newExchange returns an exchange of the route with an index.
func (g *testGateway) newExchange(index string, now time.Time) *exchange {
	c := g.server.Configuration()
	r := c.Match("h.example", "/stream/"+index)
	return &exchange{server: g.server, config: c, regionsConfig: c, route: r, service: "engine", model: testModel, priority: 1,
		start: now, expiresAt: now.Add(r.Timeout), prefillMS: 50, meanPrefillMS: 50}
}

// Load: requests of the urgent route are refused. Guards against less urgent ones that go on
// taking all slots, against a reserve that holds for urgent requests or for retries of
// started streams, and against one in a service that is not contended.
func TestReserveLimitsFirstAttemptsOfLessUrgent(t *testing.T) {
	for _, test := range []struct {
		name     string
		gateways int
		reserve  float64
	}{{"contended", 5, 4.0 / 3}, {"not contended", 4, 0}} {
		t.Run(test.name, func(t *testing.T) {
			s := contendedServer(t, test.gateways)
			now := clock.Now()
			urgent, less := s.newExchange("0", now), s.newExchange("1", now)
			s.server.recordDecision(less, true)
			for range 5 {
				x := s.newExchange("0", now)
				x.refusal = refusalNoSlot
				s.server.recordDecision(x, false)
			}
			later := clock.Now().Add(400 * time.Millisecond)
			assert.Equal(t, s.server.attemptQuery(urgent, later).MaxLoad, 4.0)
			assert.Equal(t, s.server.attemptQuery(less, later).MaxLoad, 4-test.reserve)
			less.attempts = 1
			assert.Equal(t, s.server.attemptQuery(less, later).MaxLoad, 4.0+retryExtraLoad)
			assert.Equal(t, len(s.server.admission) > 0, test.reserve > 0)
		})
	}
}

// Guards against a request line that does not say why a request was refused, or that gives
// the reason of the first wait for a request that was served after a second one.
func TestRequestLineNamesReasonOfRefusal(t *testing.T) {
	lines := make(chan string, 100)
	g := contendedServer(t, 5)
	g.server.log = funcr.New(func(_, args string) {
		if strings.Contains(args, `"msg"="request"`) {
			lines <- args
		}
	}, funcr.Options{})
	_, _ = g.do("POST", "/stream/0", "x")
	assert.Assert(t, strings.Contains(<-lines, `"refusal"="unservable"`))
	g.startEndpoint("a", "engine", respondEvents(lastEvent, lastEvent))
	_, _ = g.do("POST", "/stream/0", "x")
	assert.Assert(t, strings.Contains(<-lines, `"refusal"=""`))
	report := fleet.Report{Address: g.records["a"].Address, Model: testModel, Version: 1, Running: 4, Gateways: 5}
	g.server.HandleReport(report, -1)
	_, _ = g.do("POST", "/stream/0", "x")
	assert.Assert(t, strings.Contains(<-lines, `"refusal"="no_slot"`))
}

// Guards against responses that count as in time after the target latency, or twice.
func TestResponsesAreCountedOnce(t *testing.T) {
	g := contendedServer(t, 5)
	now := clock.Now()
	for _, began := range []time.Time{now, now.Add(-time.Minute), now.Add(-time.Minute)} {
		x := g.newExchange("0", began)
		g.server.recordDecision(x, true) // a reserve is bounded by the requests that were decided
		x.attempts = 1
		x.recordResponse(true)
		x.recordResponse(false)
	}
	c := g.server.admission["engine"]
	c.RecordSent(g.newExchange("1", now).urgency(), now)
	changes := c.Changes(4, clock.Now().Add(400*time.Millisecond))
	assert.Equal(t, len(changes), 1)
	got := changes[0].Counts
	assert.Check(t, got.InTime > 0 && got.Late > 1.99*got.InTime && got.Late < 2.01*got.InTime, "%+v", got)
}

// Load: a request gets an engine, its attempt is withheld, for example because its grant has
// lapsed, and no engine is free after that. Guards against requests that count twice in
// the demand, and against refused ones that count as sent in the admission
// controller or as served in the return plan.
func TestUnsentRequestIsCountedAsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newContendedServer(1)
		reportRunning(s, 1, 0)
		for range 5 {
			x := newContendedExchange(s)
			a := s.acquireEndpoint(t.Context(), x) // attempts is 0 again after an attempt that reached no endpoint
			s.countServed(x, time.Now())
			s.endAttemptLocked(a, fleet.Abandoned, time.Now())
			reportRunning(s, 1, contendedSlots+retryExtraLoad)
			assert.Assert(t, s.acquireEndpoint(t.Context(), x) == nil)
			_, _ = s.retryAfter(x)
			reportRunning(s, 1, 0)
		}
		now := time.Now()
		assert.Assert(t, s.Demand("engine", now) <= 5/statsDecay.Seconds())
		assert.Equal(t, s.statsOf("engine").refusedShare(now), 1.0)
		_, kept := s.returnPlans["engine"].Promise(retryAfterMin, 2*time.Second, now)
		assert.Assert(t, !kept)
		s.admission["engine"].RecordSent(admission.Urgency{Priority: 1}, now)
		changes := s.admission["engine"].Changes(contendedSlots, now.Add(100*time.Millisecond))
		assert.Equal(t, len(changes), 1)
		assert.Assert(t, changes[0].Counts.Refused > 3 && changes[0].Counts.Sent < 0.1, "%+v", changes[0].Counts)
	})
}
