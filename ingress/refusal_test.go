// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
)

// reportRunning processes a report of the engine "a" of a server of newContendedServer.
func reportRunning(s *Server, version, running int) {
	s.HandleReport(fleet.Report{Address: "a:1", Model: testModel, Version: version, StartedMS: 1, Running: running, Gateways: contendedSlots + 1, DemandShare: 1}, 0)
}

// Load: callers return while no engine holds a permitted version. Guards against refusals
// that count as a lack of slots: they would raise a reserve, which takes slots from less
// urgent requests as soon as engines serve again.
func TestReturnsWithoutUsableEngineAreNotCounted(t *testing.T) {
	for name, test := range map[string]struct {
		version, running int
		want             refusal
		counted          bool
	}{
		"no version":   {0, 0, refusalUnservable, false},
		"full engines": {1, contendedSlots + retryExtraLoad, refusalNoSlot, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newContendedServer(1)
			for range 5 {
				reportRunning(s, test.version, test.running)
				x := newContendedExchange(s)
				x.callerRetry, x.expiresAt = true, x.start.Add(200*time.Millisecond)
				assert.Assert(t, s.acquireEndpoint(context.Background(), x) == nil, name)
				assert.Equal(t, x.refusal, test.want, name)
			}
			less := newContendedExchange(s)
			less.priority = 1
			s.recordDecision(less, true)
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, s.reserveInForce("engine", less.urgency(), time.Now()) > 0, test.counted, name)
		})
	}
}

// Guards against a request whose refusal is said to be for lack of slots because it has
// waited for one before all endpoints closed.
func TestRefusalAfterEnginesClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newContendedServer(1)
		reportRunning(s, 1, contendedSlots+retryExtraLoad)
		x := newContendedExchange(s)
		x.callerRetry = true
		go func() {
			time.Sleep(200 * time.Millisecond) // after the first wait
			s.HandleReport(fleet.Report{Address: "a:1", Model: testModel, Version: 1, StartedMS: 1, Running: contendedSlots + retryExtraLoad, Draining: true, Gateways: contendedSlots + 1, DemandShare: 1}, 0)
		}()
		assert.Assert(t, s.acquireEndpoint(context.Background(), x) == nil)
		assert.Equal(t, x.refusal, refusalClosed)
	})
}

// Load: a request for a model that no engine holds waits before others. Guards against others
// that get no free slot because the first one in the queue cannot use it.
func TestUnknownModelDoesNotBlockQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newContendedServer(1)
		reportRunning(s, 1, contendedSlots+retryExtraLoad)
		unknown, x := newContendedExchange(s), newContendedExchange(s)
		unknown.model, unknown.callerRetry, unknown.acceptsLate, unknown.hasPlace = "unknown", true, true, true
		x.start = x.start.Add(time.Millisecond) // is due later
		go s.waitForEndpoint(context.Background(), unknown, time.Second)
		var got *attempt
		go func() { got = s.waitForEndpoint(context.Background(), x, time.Second) }()
		synctest.Wait()
		reportRunning(s, 1, 0)
		synctest.Wait()
		assert.Assert(t, got != nil)
		time.Sleep(2 * time.Second)
	})
}

// Load: callers with little time left wait for a slot. Guards against a request whose time
// ends while it waits, and that is refused without a reason and without being counted, and
// against one that is counted although its caller has left.
func TestRequestWhoseTimeEndsIsRefused(t *testing.T) {
	for name, left := range map[string]bool{"time is up": false, "caller left": true} {
		synctest.Test(t, func(t *testing.T) {
			s := newContendedServer(1)
			reportRunning(s, 1, contendedSlots+retryExtraLoad)
			x := newContendedExchange(s)
			x.expiresAt = x.start.Add(20 * time.Millisecond)
			ctx, cancel := context.WithCancelCause(t.Context())
			time.AfterFunc(10*time.Millisecond, func() {
				cancel(map[bool]error{false: context.DeadlineExceeded, true: context.Canceled}[left])
			})
			assert.Assert(t, s.acquireEndpoint(ctx, x) == nil)
			assert.Equal(t, x.refusal, map[bool]refusal{false: refusalNoSlot, true: ""}[left], name)
			assert.Equal(t, x.decided == decidedRefused, !left, name)
		})
	}
}

// Load: a request whose target latency cannot be met accepts late endpoints, and its attempt
// is withheld, for example because its grant has lapsed. Guards against a request that is
// then refused at once, because the time in which it could have met its target is over.
func TestLateRequestWaitsAgainAfterUnsentAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newContendedServer(1)
		reportRunning(s, 1, 0)
		x := newContendedExchange(s)
		x.prefillMS = 5000
		a := s.acquireEndpoint(t.Context(), x)
		assert.Assert(t, a != nil && x.acceptsLate)
		a.finish(fleet.Abandoned)
		time.Sleep(200 * time.Millisecond)
		reportRunning(s, 1, contendedSlots+retryExtraLoad)
		go func() {
			time.Sleep(300 * time.Millisecond)
			reportRunning(s, 1, 0)
		}()
		assert.Assert(t, s.acquireEndpoint(t.Context(), x) != nil, x.refusal)
	})
}
