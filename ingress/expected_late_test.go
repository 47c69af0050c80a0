// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// Load: callers' retries that wait until engines are expected to serve a version, while no
// late request has got a slot for seconds. Guards against the bound on late requests
// refusing them: the rate of the past says nothing about the engines' return.
func TestWaitersForAVersionAreNotRefusedByTheLateBound(t *testing.T) {
	g := contendedServer(t, 5)
	s := g.server
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &queue{}
	s.queues["engine"] = q
	var last *waiter
	for range 10 * lateQueueMin {
		x := g.newExchange("0", now)
		x.acceptsLate, x.awaitsService = true, true
		last = &waiter{exchange: x, rank: rank{late: true, urgency: x.urgency()}, deadline: now.Add(2 * time.Second), assigned: make(chan *fleet.Endpoint, 1)}
		q.add(last)
		s.limitLate(last, q, now)
	}
	assert.Equal(t, len(q.waiters), 10*lateQueueMin)
}
