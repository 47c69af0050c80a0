// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform/storetest"
)

// drainTimeout is how long after a gateway has passed on an answer of an endpoint that
// drains it may send it requests.
const drainTimeout = 2 * time.Second

// Seen: requests reached an engine 2.3 to 2.6 s after an answer had told the
// gateway that sent them that the engine drains; they were served.
//
// How it came about: the store was away when the engine began to drain, so that the
// list of endpoints went on telling that it was ready, for 12 s. The engine said that
// it drains in each of its answers. The gateway sent it 1 to 6 requests a second
// as before.
//
// Cause: draining was taken from the list alone. Shown by the flow, which does not
// change at the signal, by the store's silence meanwhile, and by this test.
func TestDrainSignalInResponses(t *testing.T) {
	t.Parallel()
	d, talkers := startSignalingEngines(t, 3, 3)
	d.store.Change(func(f *storetest.Faults) { f.Silent = map[string]bool{"": true} })
	checkNoRequestsAfterDrain(t, d, talkers[0], enginePath)
}

// The same at an endpoint beside which no sidecar is, and while the list tells again
// that it is ready.
func TestDrainSignalOfPlainEndpoint(t *testing.T) {
	t.Parallel()
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
}

// checkNoRequestsAfterDrain lets an endpoint say that it drains, and checks that each
// gateway stops sending in time.
func checkNoRequestsAfterDrain(t *testing.T, d *engineDeployment, draining *signalingEndpoint, path string) {
	t.Helper()
	began := time.Now()
	draining.signals.Drain()
	d.sendLoad(path, drainTimeout+3*time.Second, 25*time.Millisecond)
	told := make(map[string]time.Time)
	late := 0
	for _, a := range draining.arrivals() {
		at, known := told[a.gateway]
		switch {
		case a.at.Before(began):
		case !known:
			told[a.gateway] = a.at
		case a.at.Sub(at) > drainTimeout:
			late++
		}
	}
	assert.Assert(t, len(told) > 0, "no gateway was told")
	assert.Assert(t, late == 0, "%d requests later than %s after the gateway had been told", late, drainTimeout)
	for n := range d.gateways {
		status, _ := d.sendToPath(path, n, fmt.Sprint("after-", n))
		assert.Equal(t, status, http.StatusOK, "others serve")
	}
}
