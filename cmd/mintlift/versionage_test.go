// SPDX-License-Identifier: Apache-2.0

package main

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform/storetest"
)

// Guards against a gateway that starts anew and sends requests to an older version after
// the deadline of the newest one, although other processes know when that was set.
func TestRestartedGatewayKeepsVersionDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const versionDeadline, restartAfter, checkFor = 8 * time.Second, 4 * time.Second, 3 * time.Second
		d := startWeights(t, 2)
		d.startGateway(t)
		for _, b := range d.boxes {
			b.engine.StageAndLoad(1)
		}
		d.stopOrigin()
		d.sendRequestsFor(2 * time.Second)
		assert.Assert(t, d.served[1] > 0)
		d.setTargetVersion(2)
		set := time.Now()
		time.Sleep(restartAfter)
		last := len(d.daemons) - 1
		closeNow(d.daemons[last])
		d.daemons[last] = d.newGateway(t, len(d.gateways)-1)
		d.gateways = d.gateways[1:]
		before := d.served[1]
		d.sendRequestsFor(time.Until(set.Add(versionDeadline)))
		assert.Assert(t, d.served[1] > before, "requests of the restarted gateway before the deadline")
		before = d.served[1]
		d.sendRequestsFor(checkFor)
		assert.Equal(t, d.served[1], before, "requests served by the older version after the deadline")
	})
}

// stopOrigin writes a configuration whose origin refuses connections, so that no version is
// fetched.
func (d *weightsDeployment) stopOrigin() {
	before, after, _ := strings.Cut(d.config, `"origin":"`)
	address, after, _ := strings.Cut(after, `"`)
	refusing := strings.Replace(address, ":8008", ":9", 1)
	text := before + `"origin":"` + refusing + `"` + after
	d.store.Put(storetest.Operator, "config", strings.Replace(text, `{"version":1,`, `{"version":2,`, 1))
}
