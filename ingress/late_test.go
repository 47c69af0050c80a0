// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/routing"
)

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
				w := &waiter{exchange: x, rank: rank{late: s.lateLocked(x, now), urgency: x.urgency()}, deadline: now.Add(time.Second), assigned: make(chan *attempt, 1)}
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
