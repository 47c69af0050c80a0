// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/routing"
)

// raiseReserve makes the reserve of the route of priority 2 as high as possible, and returns
// when it is.
func raiseReserve(s *testGateway) time.Time {
	now := clock.Now()
	s.server.recordDecision(s.newExchange("1", now), true)
	for range 20 {
		x := s.newExchange("0", now)
		x.refusal = refusalNoSlot
		s.server.recordDecision(x, false)
	}
	later := clock.Now().Add(400 * time.Millisecond)
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.server.logReserves("engine", s.server.admission["engine"], 4, later)
	return later
}

// Guards against admission controllers and return plans that remain after their service was
// removed or is no longer contended.
func TestStateOfUncontendedServiceIsRemoved(t *testing.T) {
	removed := routing.New(2, nil, nil, nil, routing.Limits{})
	moreSlots := urgencyConfig([]int{0, 2}, []int{1})
	moreSlots.Version = 2
	moreSlots.Services["engine"].Engine.Slots = 5
	for name, c := range map[string]*routing.Configuration{"removed": removed, "as many slots as gateways": moreSlots} {
		g := contendedServer(t, 5)
		now := clock.Now()
		x := g.newExchange("0", now)
		g.server.countArrival(x, now)
		g.server.recordDecision(x, true)
		g.server.Maintain(now)
		assert.Assert(t, len(g.server.admission) == 1 && len(g.server.returnPlans) == 1, name)
		g.server.Apply(c)
		g.server.Maintain(now)
		assert.Assert(t, len(g.server.admission) == 0 && len(g.server.returnPlans) == 0, name)
	}
}

// Guards against a metric of the reserve that goes on showing the slots of an earlier
// configuration, or a controller that has been replaced.
func TestReserveMetricFollowsConfiguration(t *testing.T) {
	g := contendedServer(t, 13)
	metric := func() string {
		w := httptest.NewRecorder()
		g.server.metrics.Handler(w, nil)
		for line := range strings.Lines(w.Body.String()) {
			if name, value, _ := strings.Cut(strings.TrimSpace(line), " "); strings.HasPrefix(name, "mintlift_admission_reserve") {
				return value
			}
		}
		return ""
	}
	u := g.newExchange("1", clock.Now()).urgency()
	later := raiseReserve(g)
	before := g.server.reserveInForce("engine", u, later)
	assert.Assert(t, before > 1)
	c := urgencyConfig([]int{0, 2}, []int{1})
	c.Version = 2
	c.Services["engine"].Engine.Slots = 12
	g.server.Apply(c)
	assert.Equal(t, g.server.reserveInForce("engine", u, later), 3*before)
	assert.Assert(t, metric() != "0" && metric() != "", metric())
	g.server.Apply(routing.New(3, nil, nil, nil, routing.Limits{}))
	g.server.Maintain(later)
	assert.Equal(t, metric(), "0")
}

// Load: configurations that replace all routes. Guards against routes whose callers' retries
// are not recognized because the histograms of routes that have been removed remain.
func TestRemovedRoutesLeaveNoHistograms(t *testing.T) {
	g := newTestGateway(t)
	retry := false
	for n := range 2 * maxTimeoutRoutes {
		r := route(routing.Streaming, fmt.Sprint("/stream/", n), "engine", 2)
		g.configure(int64(n+1), r)
		now := clock.Now()
		for range 2 * minTimeoutSamples {
			g.server.isCallerRetry(r, "engine", 6*time.Second, 6*time.Second, now)
		}
		retry = g.server.isCallerRetry(r, "engine", 4*time.Second, 6*time.Second, now)
	}
	assert.Assert(t, retry)
	assert.Equal(t, len(g.server.timeouts), 1)
}

// Guards against queues and counts of services that were removed, and against a queue that is
// removed while a request waits in it.
func TestQueuesOfRemovedServicesAreRemoved(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	s, now := g.server, clock.Now()
	_ = s.Demand("engine", now)
	w := &waiter{exchange: &exchange{server: s, config: s.Configuration(), service: "engine", route: s.Configuration().Match("h.example", "/stream/1")}}
	q := &queue{waiters: []*waiter{w}}
	s.queues["engine"], s.queues["plain"] = q, &queue{}
	s.Apply(routing.New(2, nil, nil, nil, routing.Limits{}))
	s.Maintain(now)
	assert.Assert(t, s.queues["engine"] == q && len(s.queues) == 1 && len(s.stats) == 0)
	q.remove(w)
	s.Maintain(now)
	assert.Equal(t, len(s.queues), 0)
}

// Load: a service gets no more requests while a reserve is in force. Guards against a log in
// which the reserve remains.
func TestEndOfReserveIsLoggedWithoutRequests(t *testing.T) {
	lines := make(chan string, 10)
	g := contendedServer(t, 5)
	g.server.events = funcr.New(func(_, args string) {
		if strings.Contains(args, `"admission reserve changed"`) {
			lines <- args
		}
	}, funcr.Options{})
	later := raiseReserve(g)
	assert.Assert(t, !strings.Contains(<-lines, `"slots"=0`))
	for n := range 10 {
		g.server.Maintain(later.Add(time.Duration(n) * time.Second))
	}
	close(lines)
	last := ""
	for line := range lines {
		last = line
	}
	assert.Assert(t, strings.Contains(last, `"slots"=0`), last)
}
