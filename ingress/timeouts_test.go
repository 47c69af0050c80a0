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
func TestCallerRetriesAreDetected(t *testing.T) {
	const timeout = 6 * time.Second
	for _, spread := range []float64{0, 0.15} {
		w := newTestGateway(t)
		r := route(routing.Streaming, "/s/", "engine", 2)
		now := time.Now()
		firstTryTimeout := func() time.Duration {
			return time.Duration(float64(timeout) * (1 - spread*rand.Float64()))
		}
		misdetected := 0
		for n := range 2000 {
			now = now.Add(10 * time.Millisecond)
			if w.server.isCallerRetry(r, "engine", firstTryTimeout(), timeout, now) && n > 200 {
				misdetected++
			}
		}
		assert.Assert(t, misdetected < 20, "%d first callers taken for returned", misdetected)
		lowest := time.Duration(float64(timeout) * (1 - spread))
		assert.Assert(t, w.server.isCallerRetry(r, "engine", lowest-retryAfterMin, timeout, now))
		// While requests are refused nothing is learned from those that return.
		for range 20 {
			w.server.statsOf("engine").record(true, now)
		}
		for range 500 {
			w.server.isCallerRetry(r, "engine", lowest/2, timeout, now)
		}
		assert.Assert(t, w.server.isCallerRetry(r, "engine", lowest-retryAfterMin, timeout, now))
	}
}

// Until many have asked, all are taken to give the whole time-out; of plain
// requests nothing is said.
func TestCallerRetryBeforeEnoughSamples(t *testing.T) {
	w := newTestGateway(t)
	r := route(routing.Streaming, "/s/", "engine", 2)
	now := time.Now()
	assert.Assert(t, w.server.isCallerRetry(r, "engine", time.Second, 6*time.Second, now))
	assert.Assert(t, !w.server.isCallerRetry(r, "engine", 6*time.Second, 6*time.Second, now))
	plain := route(routing.Safe, "/p/", "plain", 2)
	for range 2 * minTimeoutSamples {
		w.server.isCallerRetry(plain, "plain", 6*time.Second, 6*time.Second, now)
	}
	assert.Assert(t, !w.server.isCallerRetry(plain, "plain", time.Second, 6*time.Second, now))
}
