// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/routing"
)

// A caller that was refused is told from one that asks for the first time
// where first callers give all the same time, and where they give from 0.85 of
// the time-out on.
func TestReturnedCallersAreTold(t *testing.T) {
	const timeout = 6 * time.Second
	for _, spread := range []float64{0, 0.15} {
		w := newWorld(t)
		r := route(routing.Streaming, "/s/", "engine", 2)
		now := time.Now()
		first := func() time.Duration {
			return time.Duration(float64(timeout) * (1 - spread*rand.Float64()))
		}
		taken := 0
		for n := range 2000 {
			now = now.Add(10 * time.Millisecond)
			if w.server.hasReturned(r, "engine", first(), timeout, now) && n > 200 {
				taken++
			}
		}
		assert.Assert(t, taken < 20, "%d first callers taken for returned", taken)
		least := time.Duration(float64(timeout) * (1 - spread))
		assert.Assert(t, w.server.hasReturned(r, "engine", least-retryAfterMin, timeout, now))
		// While requests are refused nothing is learned from those that return.
		for range 20 {
			w.server.pressureOf("engine").count(true, now)
		}
		for range 500 {
			w.server.hasReturned(r, "engine", least/2, timeout, now)
		}
		assert.Assert(t, w.server.hasReturned(r, "engine", least-retryAfterMin, timeout, now))
	}
}

// Until many have asked, all are taken to give the whole time-out; of plain
// requests nothing is said.
func TestCallersOfANewGateway(t *testing.T) {
	w := newWorld(t)
	r := route(routing.Streaming, "/s/", "engine", 2)
	now := time.Now()
	assert.Assert(t, w.server.hasReturned(r, "engine", time.Second, 6*time.Second, now))
	assert.Assert(t, !w.server.hasReturned(r, "engine", 6*time.Second, 6*time.Second, now))
	plain := route(routing.Safe, "/p/", "plain", 2)
	for range 2 * patienceMin {
		w.server.hasReturned(plain, "plain", 6*time.Second, 6*time.Second, now)
	}
	assert.Assert(t, !w.server.hasReturned(plain, "plain", time.Second, 6*time.Second, now))
}
