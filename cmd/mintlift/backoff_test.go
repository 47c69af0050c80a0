// SPDX-License-Identifier: Apache-2.0

package main

import (
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// backoffGrace is how long after a response with a backoff signal requests may
	// still arrive unrestricted, since they may have been in transit.
	backoffGrace = 500 * time.Millisecond
	// maxRequestsInBackoff is the maximum number of requests of one gateway that may
	// reach the endpoint between the end of backoffGrace and the end of the backoff.
	maxRequestsInBackoff = 2
)

// Guards against gateways that send requests to an engine during the backoff that it
// requested. The engine looks least loaded, since it has nothing in flight.
func TestEndpointBackoffIsHonored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, engines := startSignalingEngines(t, 3, 3)
		checkBackoff(t, d, engines[0], enginePath, 3)
	})
}

// Checks that gateways honor the backoff of an endpoint without a sidecar, with other
// durations.
func TestPlainEndpointBackoffIsHonored(t *testing.T) {
	for _, seconds := range []float64{0.7, 1.5} {
		t.Run(strconv.FormatFloat(seconds, 'f', -1, 64), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d, _ := startSignalingEngines(t, 2, 1)
				backingOff := startPlainEndpoint(t, d)
				startPlainEndpoint(t, d)
				checkBackoff(t, d, backingOff, plainPath, seconds)
			})
		})
	}
}

// checkBackoff makes an endpoint refuse all requests with a backoff of seconds, and
// checks that each gateway stops sending for that time and then tries again.
func checkBackoff(t *testing.T, d *engineDeployment, backingOff *signalingEndpoint, path string, seconds float64) {
	t.Helper()
	backoff := time.Duration(seconds * float64(time.Second))
	backingOff.signals.Backoff(backoff)
	d.sendLoad(path, 2*backoff+2*time.Second, 25*time.Millisecond)
	seen := slices.DeleteFunc(backingOff.arrivals(), func(a arrival) bool { return a.status == http.StatusOK })
	assert.Assert(t, len(seen) > 0, "the endpoint has refused no request")
	most := 0
	for n, refused := range seen {
		count := 0
		for _, a := range seen[n:] {
			if since := a.at.Sub(refused.at); a.gateway == refused.gateway && since > backoffGrace && since < backoff {
				count++
			}
		}
		most = max(most, count)
	}
	t.Logf("%d refused, at most %d from one gateway in a backoff", len(seen), most)
	assert.Assert(t, most <= maxRequestsInBackoff, "%d requests in a backoff of %s, allowed %d", most, backoff, maxRequestsInBackoff)
	// Requests must resume when the backoff has ended.
	assert.Assert(t, seen[len(seen)-1].at.Sub(seen[0].at) >= backoff, "no request after the backoff")
}
