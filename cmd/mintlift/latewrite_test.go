// SPDX-License-Identifier: Apache-2.0

package main

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform/storetest"
)

// The operator's writes may be carried out late, so the store's last record of a key is
// not always the one with the highest version. These tests write records in that order.

// Guards against engines that load an older version after a restart of all processes: the
// operator's write of that version was carried out after that of a newer one.
func TestVersionWrittenLateIsIgnoredAfterRestart(t *testing.T) {
	for name, writeAndRestart := range map[string]func(*testing.T, *weightsDeployment){
		"before the restart": func(t *testing.T, d *weightsDeployment) {
			d.setTargetVersion(2)
			time.Sleep(time.Second)
			d.restart(t)
		},
		"before the log is compacted": func(t *testing.T, d *weightsDeployment) {
			d.setTargetVersion(2)
			time.Sleep(time.Second)
			d.store.Compact(storetest.Operator)
			d.restart(t)
		},
		"while nothing runs": func(t *testing.T, d *weightsDeployment) {
			d.stop()
			d.setTargetVersion(2)
			d.restart(t)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				d := startWeights(t, 2)
				for _, b := range d.boxes {
					b.engine.StageAndLoad(1)
				}
				d.setTargetVersion(3)
				d.awaitLoaded(t, 3)
				writeAndRestart(t, d)
				d.sendRequestsFor(8 * time.Second)
				d.checkVersions(t, 3)
				assert.Equal(t, d.served[2], 0, "requests served by the older version")
				for _, b := range d.boxes {
					assert.DeepEqual(t, b.engine.Starts(), []int{3, 3})
				}
			})
		})
	}
}

// Guards against a revoked key that becomes valid again after a restart of all processes:
// the operator's write of an older configuration was carried out after that of a newer one.
func TestConfigurationWrittenLateIsIgnoredAfterRestart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := startWeights(t, 1)
		d.startGateway(t)
		d.boxes[0].engine.StageAndLoad(1)
		d.configureKey(3, "after")
		d.awaitStatus(t, "after", http.StatusOK, 10*time.Second)
		d.configureKey(2, "before")
		time.Sleep(time.Second)
		d.restart(t)
		d.boxes[0].engine.StageAndLoad(1)
		d.awaitStatus(t, "after", http.StatusOK, 10*time.Second)
		for _, gateway := range d.gateways {
			assert.Equal(t, d.requestWithKey(gateway, "before"), http.StatusUnauthorized)
		}
	})
}

// awaitLoaded waits until each engine has loaded a version.
func (d *weightsDeployment) awaitLoaded(t *testing.T, version int) {
	t.Helper()
	began := time.Now()
	for _, b := range d.boxes {
		for b.engine.State().Version != version {
			assert.Assert(t, time.Since(began) < 15*time.Second, "%s has not loaded version %d", b.address, version)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// stop ends all sidecars and gateways.
func (d *weightsDeployment) stop() {
	for _, daemon := range d.daemons {
		closeNow(daemon)
	}
	d.daemons = nil
}

// restart ends all processes at once, then starts them again: engines, which keep their
// staged chunks, sidecars and gateways.
func (d *weightsDeployment) restart(t *testing.T) {
	t.Helper()
	d.stop()
	for _, b := range d.boxes {
		b.engine.Restart(false)
		d.daemons = append(d.daemons, d.newSidecar(t, b))
	}
	for n := range d.gateways {
		d.daemons = append(d.daemons, d.newGateway(t, n))
	}
}
