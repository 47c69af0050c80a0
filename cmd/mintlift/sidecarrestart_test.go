// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform/enginetest"
)

// Guards against engines of a whole fleet that are loaded again, or get no requests, after
// a restart of all sidecars during a rollout: chunks of the next version are staged, so
// only the gateways know that the loads were verified.
func TestSidecarRestartDuringRolloutKeepsLoads(t *testing.T) {
	for name, c := range map[string]struct {
		noStartTime bool
		maxRefused  float64 // of the requests
	}{
		"start time reported": {false, 0.05},
		// The engines get no requests from 1 s after the restart until the endpoint
		// list shows that they are the same processes.
		"no start time": {true, 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				d := startWeights(t, 3)
				for _, b := range d.boxes {
					b.engine.StageAndLoad(1)
					b.engine.Change(func(f *enginetest.Faults) { f.NoStartTime = c.noStartTime })
				}
				d.setTargetVersion(2)
				d.awaitLoaded(t, 2)
				time.Sleep(3 * time.Second)
				for n, b := range d.boxes {
					closeNow(d.daemons[n])
					b.stageChunk(t, weightsModel.Chunk(3, 0))
				}
				for n, b := range d.boxes {
					d.daemons[n] = d.newSidecar(t, b)
				}
				d.sendRequestsFor(6 * time.Second)
				d.checkVersions(t, 2)
				for _, b := range d.boxes {
					assert.DeepEqual(t, b.engine.Starts(), []int{2})
				}
				refused := float64(d.served[0]) / float64(d.served[0]+d.served[2])
				assert.Assert(t, refused <= c.maxRefused, "%.3f of the requests were refused", refused)
				d.served[2] = 0
				d.sendRequestsFor(time.Second)
				d.checkVersions(t, 2)
			})
		})
	}
}

// stageChunk replaces the first staged chunk, as a fetch of another version does.
func (b *weightsBox) stageChunk(t *testing.T, data []byte) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPut, "http://"+b.address+"/stage-put/m?number=0", bytes.NewReader(data))
	assert.NilError(t, err)
	response, err := b.client.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
