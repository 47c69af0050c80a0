// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/routing"
)

// testSlots is the number of slots of the engines that configure sets up.
const testSlots = 4

// setUpContended starts the engine "old", which holds version 1, has nothing to do by its
// reports and reports to a number of gateways. It returns the deadline of version 2, which
// is the given time away.
func (g *testGateway) setUpContended(old *queueingEngine, gateways int, before time.Duration, routes ...*routing.Route) (deadline time.Time) {
	g.configure(1, routes...)
	g.startEndpoint("old", "engine", old.handle)
	g.reportFrom("old", 1, gateways)
	deadline = time.Now().Add(before)
	g.server.SetTargetVersion(testModel, 2, false, deadline.Add(-g.server.settings.VersionDeadline))
	return deadline
}

// reportFrom reports until the end of the test that an engine holds a version, has no
// requests, and reports to a number of gateways, of which this one is the first in turn.
func (g *testGateway) reportFrom(id string, version, gateways int) {
	report := fleet.Report{Address: g.records[id].Address, Model: testModel, Version: version, Gateways: gateways, DemandShare: 1 / float64(gateways)}
	g.server.HandleReport(report, 0)
	ticker, done := time.NewTicker(50*time.Millisecond), make(chan struct{})
	g.t.Cleanup(func() { ticker.Stop(); close(done) })
	go func() {
		for {
			select {
			case <-ticker.C:
				g.server.HandleReport(report, 0)
			case <-done:
				return
			}
		}
	}()
}

// longRoute returns a route with a long timeout.
func longRoute(kind routing.Kind, prefix string, attempts int) *routing.Route {
	r := route(kind, prefix, "engine", attempts)
	r.Timeout = 8 * time.Second
	return r
}

// Guards against margins that leave no time for the first event on a free slot (1,290
// prompt tokens at 19.1 per ms, 900 on average, and a prompt that takes a second), that
// are longer than the usual ones, or that do not shrink with a short deadline.
func TestLateMargins(t *testing.T) {
	server := newTestGateway(t).server
	usual := server.usualMargins()
	assert.Equal(t, usual.last, maxVersionMargin)
	m := lateMargins(usual, beginTime(67.5, 47.1))
	assert.Equal(t, m.last, withdrawalLead+deliveryTime+enginePassTime+114600*time.Microsecond)
	assert.Equal(t, m.atOnce, withdrawalLead+longestQueueTime)
	assert.Equal(t, m.reported, maxVersionMargin+nextVersionLead)
	assert.Equal(t, m.scheduled, m.last)
	longPrompt := lateMargins(usual, beginTime(1000, 47.1))
	assert.Assert(t, longPrompt.last > m.last+900*time.Millisecond)
	assert.Equal(t, lateMargins(usual, beginTime(5000, 47.1)).last, usual.last)
	server.settings.VersionDeadline = time.Second
	usual = server.usualMargins()
	m = lateMargins(usual, beginTime(67.5, 47.1))
	assert.Equal(t, m.last, usual.last)
	assert.Assert(t, m.atOnce <= usual.atOnce)
}

// Guards against a number of prompt tokens, which is any number that a caller sends, whose
// prefill time exceeds the range of time.Duration, and with which older versions would be
// used after the deadline.
func TestLateMarginsOfHugePrompt(t *testing.T) {
	usual := newTestGateway(t).server.usualMargins()
	for _, tokens := range []int{1 << 40, 1 << 50, math.MaxInt} {
		prefill := prefillMS(&routing.Engine{PrefillRate: 19100}, tokens)
		assert.Equal(t, lateMargins(usual, beginTime(prefill, 47.1)).last, usual.last, "%d tokens", tokens)
	}
}

// The stages in which an older version gets fewer requests before a deadline: streams of
// a contended service are served longer than others, and any engine that may queue them
// needs a recent report from the time at which others are sent only to free slots.
func TestBoundsBeforeDeadline(t *testing.T) {
	server := newTestGateway(t).server
	usual := server.usualMargins()
	late := lateMargins(usual, beginTime(50, 50))
	deadline := time.Now()
	for _, test := range []struct {
		before      time.Duration
		late, usual versionBounds
	}{
		{3700 * time.Millisecond, versionBounds{}, versionBounds{}},
		{3500 * time.Millisecond, versionBounds{reported: 2}, versionBounds{next: 2}},
		{2700 * time.Millisecond, versionBounds{reported: 2, next: 2}, versionBounds{next: 2}},
		{1800 * time.Millisecond, versionBounds{reported: 2, next: 2}, versionBounds{next: 2, lowest: 2}},
		{900 * time.Millisecond, versionBounds{reported: 2, next: 2}, versionBounds{next: 2, lowest: 2, beforeUpdate: 2}},
		{800 * time.Millisecond, versionBounds{2, 2, 2, 2}, versionBounds{next: 2, lowest: 2, beforeUpdate: 2}},
	} {
		now := deadline.Add(-test.before)
		targets := []TargetVersion{{Version: 2, deadline: deadline, late: true}}
		assert.Equal(t, boundsAt(targets, usual, &late, now), test.late, "%s before", test.before)
		assert.Equal(t, boundsAt(targets, usual, nil, now), test.usual, "%s before, plain request", test.before)
		targets[0].late = false
		assert.Equal(t, boundsAt(targets, usual, &late, now), test.usual, "%s before, not contended", test.before)
	}
}

// Guards against a search for engines that leaves out those that a request behind the
// first of the queue may use: a stream behind a plain request, or a short prompt behind a
// long one.
func TestWidestQueryFitsAllRequests(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	deadline := time.Now()
	g.server.targetVersions[testModel] = []TargetVersion{{Version: 2, deadline: deadline, late: true}}
	var requests []*exchange
	for _, kind := range []routing.Kind{routing.Safe, routing.Streaming} {
		for _, prefill := range []float64{0, 50, 300, 3000} {
			requests = append(requests, &exchange{
				server: g.server, config: g.server.Configuration(), service: "engine", model: testModel,
				route: route(kind, "/", "engine", 2), prefillMS: prefill, meanPrefillMS: 50,
			})
		}
	}
	for before := time.Duration(0); before < 4*time.Second; before += 50 * time.Millisecond {
		now := deadline.Add(-before)
		for _, first := range requests {
			widest := g.server.widestQuery(first, now)
			for _, x := range requests {
				q := g.server.attemptQuery(x, now)
				assert.Assert(t, widest.MinVersion <= q.MinVersion && widest.MinVersionBeforeUpdate <= q.MinVersionBeforeUpdate && widest.NextMinVersion <= q.NextMinVersion,
					"%s before, %s behind %s", before, x.route.Kind, first.route.Kind)
				// A request that must begin at once needs a recent report, too.
				assert.Assert(t, widest.ReportedMinVersion <= max(q.ReportedMinVersion, q.NextMinVersion), "%s before, %s behind %s", before, x.route.Kind, first.route.Kind)
			}
		}
	}
}

// Guards against a cutoff that becomes later after it has refused a request, or that stays
// late when the service is no longer contended.
func TestCutoffChangesWithNumberOfGateways(t *testing.T) {
	contend := func(g *testGateway) { g.server.recordGateways(testSlots+1, clock.Now()) }
	cutoff := func(g *testGateway, deadline time.Time) time.Duration {
		return deadline.Sub(g.server.targetVersions[testModel][0].cutoff)
	}
	setUp := func(before time.Duration) (*testGateway, time.Time) {
		g := newTestGateway(t)
		g.configure(1)
		deadline := time.Now().Add(before)
		g.server.SetTargetVersion(testModel, 2, false, deadline.Add(-g.server.settings.VersionDeadline))
		return g, deadline
	}
	margin := withdrawalLead + deliveryTime + beginTime(0, 50)

	g, deadline := setUp(maxVersionMargin + time.Second)
	g.server.recordGateways(testSlots, clock.Now())
	assert.Equal(t, cutoff(g, deadline), maxVersionMargin)
	assert.Equal(t, g.server.CutoffMargin(testModel), time.Duration(0))
	contend(g)
	assert.Equal(t, cutoff(g, deadline), margin)
	assert.Equal(t, g.server.CutoffMargin(testModel), margin)
	once := route(routing.Streaming, "/once/", "engine", 1)
	once.Resumable = false
	g.configure(2, once)
	assert.Equal(t, cutoff(g, deadline), maxVersionMargin, "a stream that cannot be resumed")
	assert.Equal(t, g.server.CutoffMargin(testModel), time.Duration(0))
	g.configure(3)
	assert.Equal(t, cutoff(g, deadline), margin, "no request was refused yet")

	g, deadline = setUp(maxVersionMargin - 100*time.Millisecond)
	contend(g)
	assert.Equal(t, cutoff(g, deadline), maxVersionMargin, "requests may have been refused")

	g = newTestGateway(t)
	g.configure(1)
	contend(g)
	now := time.Now()
	g.server.SetTargetVersion(testModel, 2, true, now)
	deadline = now.Add(g.server.settings.VersionDeadline)
	assert.Equal(t, cutoff(g, deadline), maxVersionMargin, "its time is unknown")
	g.server.SetVersionTime(testModel, 2, now.Add(-time.Second))
	assert.Equal(t, cutoff(g, deadline), margin+time.Second)
}

// Requests must be served by an older version until the late cutoff in a contended
// service, but not plain ones, and not in another service, and after it by none.
func TestOlderVersionServesUntilCutoff(t *testing.T) {
	const beforeLate = 1300 * time.Millisecond
	for _, test := range []struct {
		name     string
		gateways int
		path     string
		before   time.Duration
		want     int
	}{
		{"contended", testSlots + 1, "/long/1", beforeLate, http.StatusOK},
		{"contended, plain request", testSlots + 1, "/plain/1", beforeLate, http.StatusServiceUnavailable},
		{"contended, late", testSlots + 1, "/long/1", 700 * time.Millisecond, http.StatusServiceUnavailable},
		{"not contended", testSlots, "/long/1", beforeLate, http.StatusServiceUnavailable},
		{"not contended, early", testSlots, "/long/1", maxVersionMargin + 500*time.Millisecond, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t)
			g.setUpContended(&queueingEngine{}, test.gateways, test.before, longRoute(routing.Streaming, "/long/", 2), longRoute(routing.Safe, "/plain/", 2))
			r, _ := g.do("POST", test.path, "x")
			assert.Equal(t, r.StatusCode, test.want)
		})
	}
}

// A request that is sent right before the late cutoff to an engine that queues it longer
// than its reports say must not begin there after the deadline. Another engine serves it,
// or the caller gets no status that says that it has not run. After 2.2 s without an event
// a stream is moved in any case (firstEventTimeout), so a shorter queue shows that the
// request is withdrawn, and 2.5 s that it stays so. The queue that ends right after the
// withdrawal shows that the request is withdrawn in time. Time is virtual, because the
// request is sent only 100 ms before the cutoff, which a busy machine can use up.
func TestLateRequestDoesNotBeginAfterVersionDeadline(t *testing.T) {
	toDeadline := withdrawalLead + deliveryTime + beginTime(50, 50) + 100*time.Millisecond
	for _, delay := range []time.Duration{toDeadline - withdrawalLead + time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		for _, hasNew := range []bool{true, false} {
			t.Run(delay.String()+map[bool]string{true: ", new version", false: ", no new version"}[hasNew], func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					g := newVirtualGateway(t, fleet.Place{Zone: "z"})
					old := &queueingEngine{delay: delay}
					deadline := g.setUpContended(old, testSlots+1, toDeadline, longRoute(routing.Streaming, "/long/", 2))
					if hasNew {
						time.AfterFunc(600*time.Millisecond, func() {
							g.startEndpoint("new", "engine", respondEvents(lastEvent, lastEvent))
							g.reportFrom("new", 2, testSlots+1)
						})
					}
					r, body := g.do("POST", "/long/1", "x", withHeader(testHeaders.Deadline, "6000"))
					assert.Equal(t, g.requests()[0].endpoint, "old")
					time.Sleep(time.Until(deadline.Add(delay)))
					began := old.began.Load()
					assert.Assert(t, began == nil || began.Before(deadline), "began %s after the deadline", sinceDeadline(began, deadline))
					if hasNew {
						assert.Equal(t, r.StatusCode, http.StatusOK)
						assert.Equal(t, body, eventsText(lastEvent))
						return
					}
					assert.Assert(t, r.StatusCode == http.StatusBadGateway || r.StatusCode == http.StatusGatewayTimeout, "status %d", r.StatusCode)
				})
			})
		}
	}
}

// Guards against a late cutoff that rests on the time at which this gateway learned of the
// version, although another one learned of it earlier, and against a change of the usual
// cutoff by that.
func TestEarlierTimeMovesLateCutoff(t *testing.T) {
	for _, gateways := range []int{testSlots, testSlots + 1} {
		g := newTestGateway(t)
		g.configure(1)
		g.server.recordGateways(gateways, clock.Now())
		now := time.Now()
		g.server.SetTargetVersion(testModel, 2, false, now)
		before := g.server.targetVersions[testModel][0]
		g.server.SetVersionTime(testModel, 2, now.Add(-time.Second))
		g.server.SetVersionTime(testModel, 2, now.Add(time.Second))
		moved := before.cutoff.Sub(g.server.targetVersions[testModel][0].cutoff)
		assert.Equal(t, moved, map[int]time.Duration{testSlots: 0, testSlots + 1: time.Second}[gateways])
	}
}

// Guards against a gateway that has read only the newest of two versions, as after its
// restart, and uses engines with older versions after the deadline of the one before.
func TestVersionBeforeNewestIsLearned(t *testing.T) {
	for _, gateways := range []int{testSlots, testSlots + 1} {
		g := newTestGateway(t)
		g.configure(1)
		g.server.recordGateways(gateways, clock.Now())
		now := time.Now()
		g.server.SetTargetVersion(testModel, 3, true, now)
		g.server.SetVersionTime(testModel, 3, now.Add(-time.Second))
		for range 2 {
			g.server.SetVersionTime(testModel, 2, now.Add(-3*time.Second))
		}
		g.server.SetVersionTime(testModel, 4, now) // to be read first
		x := &exchange{server: g.server, model: testModel, route: route(routing.Streaming, "/", "engine", 2), prefillMS: 50, meanPrefillMS: 50}
		deadline := now.Add(g.server.settings.VersionDeadline - 3*time.Second)
		lowest := g.server.versionBounds(x, deadline).lowest
		if gateways == testSlots {
			assert.Equal(t, len(g.server.targetVersions[testModel]), 1, "the usual cutoff is as before")
			continue
		}
		assert.Equal(t, lowest, 2)
		assert.Equal(t, len(g.server.targetVersions[testModel]), 2)
		assert.Equal(t, g.server.versionBounds(x, deadline.Add(2*time.Second)).lowest, 3)
	}
}

// Guards against a request that the kernel delivers to an engine with an older version
// after the deadline because its caller left after the usual cutoff, and against resets in
// other cases, where a FIN that is sent again is better.
func TestUndeliveredRequestIsDroppedNearDeadline(t *testing.T) {
	for _, test := range []struct {
		name    string
		late    bool
		version int // that the engine holds
		before  time.Duration
		want    bool
	}{
		{"after the usual cutoff", true, 1, maxVersionMargin - 100*time.Millisecond, true},
		{"before the usual cutoff", true, 1, maxVersionMargin + 100*time.Millisecond, false},
		{"after the deadline", true, 1, -100 * time.Millisecond, false},
		{"usual cutoff", false, 1, time.Second, false},
		{"engine with the new version", true, 2, time.Second, false},
	} {
		g := newTestGateway(t)
		g.configure(1)
		g.startEndpoint("e", "engine", respondNotRun)
		g.reportFrom("e", test.version, 1)
		now := clock.Now()
		g.server.targetVersions[testModel] = []TargetVersion{{Version: 2, deadline: now.Add(test.before), late: test.late}}
		x := &exchange{server: g.server, model: testModel}
		assert.Equal(t, x.dropsUndelivered(g.server.fleet.ByID("e"), now), test.want, test.name)
	}
}
