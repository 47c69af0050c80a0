// SPDX-License-Identifier: Apache-2.0

package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a model that is not served any more once the origin has been lost for good and
// all processes have been killed, although the engines hold the newest version.
func TestVersionIsServedWithoutOriginAfterRestartOfAll(t *testing.T) {
	for name, engineLoses := range map[string]bool{"engines go on": false, "an engine loses its weights": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				d := startWeights(t, 3)
				d.setTargetVersion(2)
				d.awaitLoaded(t, 2)
				time.Sleep(3 * time.Second)
				d.originLost.Store(true)
				d.stop()
				if engineLoses {
					d.boxes[0].engine.Restart(true)
				}
				for _, b := range d.boxes {
					d.daemons = append(d.daemons, d.newSidecar(t, b))
				}
				d.daemons = append(d.daemons, d.newGateway(t, 0))
				time.Sleep(5 * time.Second)
				d.sendRequestsFor(6 * time.Second)
				d.checkVersions(t, 2)
				sent := d.served[0] + d.served[2]
				assert.Assert(t, 10*d.served[2] >= 9*sent, "%d of %d requests were served", d.served[2], sent)
				d.awaitLoaded(t, 2)
			})
		})
	}
}
