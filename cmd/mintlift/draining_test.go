// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform/storetest"
)

// drainTimeout is how long a gateway may send requests to an endpoint after the first
// response with a drain signal.
const drainTimeout = 2 * time.Second

// Guards against gateways that ignore the drain signal in an engine's responses. The
// store is unresponsive, so the endpoint list does not show that the engine is draining.
func TestDrainSignalInResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, engines := startSignalingEngines(t, 3, 3)
		d.store.Change(func(f *storetest.Faults) { f.Unresponsive = map[string]bool{"": true} })
		checkNoRequestsAfterDrain(t, d, engines[0], enginePath)
	})
}

// Checks that gateways honor the drain signal of an endpoint without a sidecar, although
// the endpoint list keeps stating that the endpoint is ready.
func TestDrainSignalOfPlainEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := startSignalingEngines(t, 3, 2)
		draining := startPlainEndpoint(t, d)
		startPlainEndpoint(t, d)
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
					draining.writeEntry("ready")
				}
			}
		}()
		checkNoRequestsAfterDrain(t, d, draining, plainPath)
	})
}

// checkNoRequestsAfterDrain makes an endpoint signal that it drains, and checks that
// each gateway stops sending it requests within drainTimeout.
func checkNoRequestsAfterDrain(t *testing.T, d *engineDeployment, draining *signalingEndpoint, path string) {
	t.Helper()
	drainStart := time.Now()
	draining.signals.Drain()
	d.sendLoad(path, drainTimeout+3*time.Second, 25*time.Millisecond)
	signaled := make(map[string]time.Time)
	late := 0
	for _, a := range draining.arrivals() {
		at, ok := signaled[a.gateway]
		switch {
		case a.at.Before(drainStart):
		case !ok:
			signaled[a.gateway] = a.at
		case a.at.Sub(at) > drainTimeout:
			late++
		}
	}
	assert.Assert(t, len(signaled) > 0, "no gateway received the signal")
	assert.Assert(t, late == 0, "%d requests later than %s after the gateway received the signal", late, drainTimeout)
	for n := range d.gateways {
		status, _ := d.sendToPath(path, n, fmt.Sprint("after-", n))
		assert.Equal(t, status, http.StatusOK, "the other endpoints serve")
	}
}
