// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/routing"
)

// queueingEngine simulates an engine whose queue delays every request by delay, although
// its reports say that it is idle. It drops a queued request whose connection is closed.
type queueingEngine struct {
	delay time.Duration
	// pause is the time between two events.
	pause time.Duration
	// silent makes the engine run requests without sending anything.
	silent bool
	began  atomic.Pointer[time.Time] // when the first request began; nil if none did
}

// handle responds to a request in place of a test endpoint.
func (q *queueingEngine) handle(rw http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(q.delay):
	case <-r.Context().Done():
		return
	}
	now := time.Now()
	q.began.CompareAndSwap(nil, &now)
	if q.silent {
		<-r.Context().Done()
		return
	}
	for n := 1; n <= lastEvent; n++ {
		respondEvents(n, n)(rw, r)
		r.Header.Set("Last-Event-Id", string(rune('0'+n)))
		time.Sleep(q.pause)
	}
}

// patientRoutes returns stream routes with a long timeout: /resumable/ allows a second
// attempt, /once/ does not.
func patientRoutes() []*routing.Route {
	resumable, once := route(routing.Streaming, "/resumable/", "engine", 2), route(routing.Streaming, "/once/", "engine", 1)
	once.Resumable = false
	resumable.Timeout, once.Timeout = 8*time.Second, 8*time.Second
	return []*routing.Route{resumable, once}
}

// setUpNearDeadline starts the engine "old", which holds version 1 and reports to be idle.
// The deadline of version 2, which it returns, is so close that a request sent now is one
// of the last before the cutoff.
func (g *testGateway) setUpNearDeadline(old *queueingEngine) (deadline time.Time) {
	g.configure(1, patientRoutes()...)
	g.startEndpoint("old", "engine", old.handle)
	deadline = time.Now().Add(maxVersionMargin + 100*time.Millisecond)
	g.server.SetTargetVersion(testModel, 2, false, deadline.Add(-g.server.settings.VersionDeadline))
	g.reportIdle("old", 1)
	return deadline
}

// reportIdle reports until the end of the test that an engine holds a version and has no
// requests.
func (g *testGateway) reportIdle(id string, version int) {
	report := fleet.Report{Address: g.records[id].Address, Model: testModel, Version: version}
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

// A request that an engine with an older version queues for longer than its reports say
// must not begin there after the version's deadline. If it may be repeated, another engine
// serves it. Time is virtual, because the request is sent only 100 ms before the cutoff,
// which a busy machine can use up.
func TestQueuedRequestDoesNotBeginAfterVersionDeadline(t *testing.T) {
	// The queue of /once/2 ends right after the withdrawal, which must not be later.
	const toDeadline = maxVersionMargin + 100*time.Millisecond // see setUpNearDeadline
	for path, delay := range map[string]time.Duration{
		"/resumable/1": 2200 * time.Millisecond,
		"/resumable/2": 2500 * time.Millisecond,
		"/once/1":      2500 * time.Millisecond,
		"/once/2":      toDeadline - withdrawalLead + time.Millisecond,
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, fleet.Place{Zone: "z"})
				old := &queueingEngine{delay: delay}
				deadline := g.setUpNearDeadline(old)
				time.AfterFunc(time.Second, func() {
					g.startEndpoint("new", "engine", respondEvents(lastEvent, lastEvent))
					g.reportIdle("new", 2)
				})
				r, body := g.do("POST", path, "x", withHeader(testHeaders.Deadline, "6000"))
				time.Sleep(time.Until(deadline.Add(delay - maxVersionMargin + 100*time.Millisecond)))
				began := old.began.Load()
				assert.Assert(t, began == nil || began.Before(deadline), "began %s after the deadline", sinceDeadline(began, deadline))
				assert.Equal(t, g.requests()[0].endpoint, "old")
				if strings.HasPrefix(path, "/once/") {
					assert.Equal(t, len(g.requests()), 1)
					assert.Equal(t, r.StatusCode, http.StatusBadGateway, "whether it ran is unknown")
					return
				}
				assert.Equal(t, r.StatusCode, http.StatusOK)
				assert.Equal(t, body, eventsText(lastEvent))
			})
		})
	}
}

// sinceDeadline returns how long after the deadline a request began; began may be nil.
func sinceDeadline(began *time.Time, deadline time.Time) time.Duration {
	if began == nil {
		return 0
	}
	return began.Sub(deadline)
}

// A request that runs without having sent an event when the version's deadline comes near
// must not be called not run. Time is virtual, because the request is sent only 100 ms
// before the cutoff, which a busy machine can use up.
func TestSilentRequestNearVersionDeadlineIsNotCalledNotRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newVirtualGateway(t, fleet.Place{Zone: "z"})
		old := &queueingEngine{silent: true}
		g.setUpNearDeadline(old)
		r, _ := g.do("POST", "/once/1", "x", withHeader(testHeaders.Deadline, "3000"))
		assert.Assert(t, old.began.Load() != nil)
		assert.Assert(t, r.StatusCode == http.StatusBadGateway || r.StatusCode == http.StatusGatewayTimeout, "status %d", r.StatusCode)
	})
}

// A stream that has begun on an older version before the attempts are withdrawn must be
// relayed to its end, also after the version's deadline. One that begins later is withdrawn:
// beside busy processes an engine would do that at times, so time is virtual here.
func TestStreamBegunBeforeVersionDeadlineContinues(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newVirtualGateway(t, fleet.Place{Zone: "z"})
		const toDeadline = maxVersionMargin + 100*time.Millisecond // see setUpNearDeadline
		old := &queueingEngine{delay: toDeadline - withdrawalLead - time.Millisecond, pause: 500 * time.Millisecond}
		deadline := g.setUpNearDeadline(old)
		r, body := g.do("POST", "/resumable/1", "x", withHeader(testHeaders.Deadline, "6000"))
		assert.Equal(t, r.StatusCode, http.StatusOK)
		assert.Equal(t, body, eventsText(lastEvent))
		assert.Equal(t, len(g.requests()), 1)
		assert.Assert(t, time.Now().After(deadline), "the stream was too short to tell")
	})
}

// Load: an attempt receives its first event while attempts are withdrawn one after the
// other. Guards against a stream that is broken off although it has visibly begun, and
// against one that is not withdrawn although it has not.
func TestAttemptBegunDuringWithdrawalContinues(t *testing.T) {
	for name, begun := range map[string]bool{"begun": true, "not begun": false} {
		synctest.Test(t, func(t *testing.T) {
			s := newContendedServer(1)
			reportRunning(s, 1, 0)
			x := newContendedExchange(s)
			a := s.acquireEndpoint(t.Context(), x)
			assert.Assert(t, a != nil)
			a.ctx, a.cancel = context.WithCancelCause(t.Context())
			defer a.cancel(nil)
			s.addUnbegun(a)
			attempts := s.unbegunBelow(testModel, 2, clock.Now())
			assert.Equal(t, len(attempts), 1)
			if begun {
				a.recordFirstBytes()
			}
			s.withdraw(attempts[0], 2)
			assert.Equal(t, a.ctx.Err() == nil, begun, name)
		})
	}
}

// Guards against a stream that is withdrawn before a version's deadline from an engine that
// holds the version but has fallen silent, so that its version is no longer known.
func TestSilentEngineWithTheVersionKeepsItsStreams(t *testing.T) {
	for name, held := range map[string]int{"the version": 2, "an older one": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, fleet.Place{Zone: "z"})
				g.configure(1, patientRoutes()...)
				g.startEndpoint("a", "engine", respondWithPause(0, 1900*time.Millisecond))
				deadline := time.Now().Add(maxVersionMargin + 100*time.Millisecond)
				g.server.SetTargetVersion(testModel, 2, false, deadline.Add(-g.server.settings.VersionDeadline))
				g.server.HandleReport(fleet.Report{Address: g.records["a"].Address, Model: testModel, Version: held}, 0)
				body, err := g.readStream("/resumable/1")
				assert.NilError(t, err)
				assert.Equal(t, body == eventsText(lastEvent), held == 2, body)
			})
		})
	}
}
