// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/admission"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/routing"
)

// lateRetry returns a caller's retry whose target latency has passed.
func (f *simFleet) lateRetry() *exchange {
	s := f.servers[0]
	c := s.Configuration()
	now := clock.Now()
	return &exchange{server: s, config: c, regionsConfig: c, route: c.Match("h", "/0"), service: "engine", model: testModel, priority: 1,
		start: now, expiresAt: now.Add(4 * time.Second), callerRetry: true, age: time.Second, prefillMS: 50, meanPrefillMS: 50}
}

// Load: callers' retries while all slots are taken. Guards against late requests that wait
// without a bound, and against refusals that do not say why or come only after a wait.
func TestQueueOfLateRequestsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet([]simRoute{{1, 787, 400 * time.Millisecond, 1}}, 17)
		f.report()
		var group sync.WaitGroup
		var mu sync.Mutex
		atOnce := 0
		for range 10 {
			group.Go(func() {
				x := f.lateRetry()
				e := f.servers[0].acquireEndpoint(t.Context(), x)
				mu.Lock()
				defer mu.Unlock()
				assert.Check(t, e == nil)
				if x.refusal == refusalLateQueue {
					assert.Check(t, clock.Since(x.start) < time.Millisecond)
					atOnce++
				}
			})
		}
		group.Wait()
		assert.Equal(t, atOnce, 10-lateQueueMin)
	})
}

// Load: late requests at a gateway that sends 10 requests per second. Guards against late
// requests that are refused at once although slots may be free within their wait of 1.2 s, and
// against more than these that wait for nothing.
func TestLateRequestsWaitForSlotsWithinTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet([]simRoute{{1, 787, 400 * time.Millisecond, 1}}, 17)
		f.report()
		s := f.servers[0]
		s.mu.Lock()
		c := s.controllerLocked(f.lateRetry())
		for range 15 {
			c.RecordSent(admission.Urgency{}, clock.Now())
		}
		s.mu.Unlock()
		var group sync.WaitGroup
		var atOnce, waited atomic.Int32
		for range 20 {
			group.Go(func() {
				x := f.lateRetry()
				assert.Check(t, s.acquireEndpoint(t.Context(), x) == nil)
				switch {
				case x.refusal == refusalLateQueue && clock.Since(x.start) < time.Millisecond:
					atOnce.Add(1)
				case x.refusal == refusalNoSlot && clock.Since(x.start) >= lateMaxWait-time.Millisecond:
					waited.Add(1)
				}
			})
		}
		group.Wait()
		assert.Equal(t, waited.Load(), int32(12))
		assert.Equal(t, atOnce.Load(), int32(8))
	})
}

// Load: a request that can still be in time waits for an engine with a shorter backlog.
// Guards against a late one that takes a slot before it, and against any change where a
// service is not contended.
func TestLateRequestYieldsSlots(t *testing.T) {
	for _, test := range []struct {
		name     string
		gateways int
		yields   bool
	}{{"contended", 5, true}, {"not contended", 4, false}} {
		t.Run(test.name, func(t *testing.T) {
			g := contendedServer(t, test.gateways)
			s := g.server
			s.SetEndpoints([]fleet.Record{{ID: "a", Service: "engine", Address: "a", Zone: "z", Models: map[string]int{testModel: 1}}})
			now := clock.Now()
			late, inTime := g.newExchange("0", now), g.newExchange("1", now)
			late.acceptsLate = true
			inTime.prefillMS = 5000 // more than its target allows, as with a backlog
			s.mu.Lock()
			defer s.mu.Unlock()
			q := &queue{}
			s.queues["engine"] = q
			waiters := make(map[*exchange]*waiter)
			for _, x := range []*exchange{late, inTime} {
				w := &waiter{exchange: x, rank: rank{late: s.lateLocked(x, now), urgency: x.urgency()}, deadline: now.Add(time.Second), assigned: make(chan *fleet.Endpoint, 1)}
				waiters[x] = w
				q.add(w)
			}
			s.dispatch("engine", now)
			assert.Equal(t, len(waiters[late].assigned) == 0, test.yields)
			q.remove(waiters[inTime])
			s.dispatch("engine", now)
			assert.Equal(t, len(waiters[late].assigned), 1)
		})
	}
}

// Guards against a caller's retry whose target counts from its return: it would take the
// slots of requests that can still be in time.
func TestCallerAge(t *testing.T) {
	g := newTestGateway(t)
	r := route(routing.Streaming, "/stream/", "engine", 2)
	now := clock.Now()
	for range 30 {
		g.server.isCallerRetry(r, "engine", 6*time.Second, 6*time.Second, now)
	}
	assert.Equal(t, g.server.callerAge(r, 5*time.Second, 6*time.Second), time.Second)
	assert.Equal(t, g.server.callerAge(r, 7*time.Second, 6*time.Second), time.Duration(0))
}
