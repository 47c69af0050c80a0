// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/storetest"
)

// configureKey writes a configuration of one route that requires a key.
func (d *weightsDeployment) configureKey(version int, key string) {
	text := fmt.Sprintf(`{"version":%d,"tenants":[{"name":"w","api_keys":[%q],"priority":1}],`, version, key)
	d.store.Put(storetest.Operator, "config", strings.Replace(strings.Replace(d.config, `{"version":1,`, text, 1), `"public":true,`, "", 1))
}

// requestWithKey sends a request with a key to a gateway, and returns the status of the
// response, or 0 without one.
func (d *weightsDeployment) requestWithKey(gateway, key string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+gateway+"/s/x", strings.NewReader("text"))
	if err != nil {
		return 0
	}
	r.Host = "h.example"
	r.Header.Set(platform.Headers().RequestID, "id")
	r.Header.Set(platform.Headers().Model, "m")
	r.Header.Set(platform.Headers().Deadline, "1000")
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := d.client.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitStatus waits until each gateway responds with a status to requests with a key.
func (d *weightsDeployment) awaitStatus(t *testing.T, key string, status int, timeout time.Duration) {
	t.Helper()
	began := time.Now()
	for _, gateway := range d.gateways {
		for got := 0; got != status; time.Sleep(10 * time.Millisecond) {
			assert.Assert(t, time.Since(began) < timeout, "%s answers %d, not %d, to %s", gateway, got, status, key)
			got = d.requestWithKey(gateway, key)
		}
	}
}

// Guards against a revoked key that becomes valid again because the store is restored
// from an older copy (a rollback). Gateways that applied the revocation must keep
// rejecting the key, and a gateway that starts later must get the revocation from them.
func TestRevokedKeyAfterStoreRollback(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := startWeights(t, 2)
		for _, b := range d.boxes {
			b.engine.StageAndLoad(1)
		}
		d.configureKey(2, "before")
		d.awaitStatus(t, "before", http.StatusOK, 10*time.Second)
		backup := d.store.Copy()
		d.configureKey(3, "after")
		d.awaitStatus(t, "after", http.StatusOK, 5*time.Second)
		d.awaitStatus(t, "before", http.StatusUnauthorized, 5*time.Second)
		d.store.Restore(backup)
		for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
			status := d.requestWithKey(d.gateways[0], "before")
			assert.Assert(t, status == http.StatusUnauthorized || status == http.StatusServiceUnavailable, "status %d", status)
		}
		d.startGateway(t)
		d.awaitStatus(t, "before", http.StatusUnauthorized, 6*time.Second)
		d.awaitStatus(t, "after", http.StatusOK, time.Second)
		d.configureKey(4, "after")
		d.awaitStatus(t, "after", http.StatusOK, 5*time.Second)
	})
}

// Guards against engines that load an older version because a store rollback has
// restored the record of an older target version and a new gateway reads it.
func TestTargetVersionAfterStoreRollback(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := startWeights(t, 2)
		for _, b := range d.boxes {
			b.engine.StageAndLoad(1)
		}
		backup := d.store.Copy()
		d.setTargetVersion(2)
		for began := time.Now(); d.boxes[0].engine.State().Version != 2 || d.boxes[1].engine.State().Version != 2; time.Sleep(20 * time.Millisecond) {
			assert.Assert(t, time.Since(began) < 15*time.Second, "version 2 is not loaded")
		}
		d.store.Restore(backup)
		time.Sleep(time.Second)
		d.startGateway(t)
		d.sendRequestsFor(4 * time.Second)
		d.setTargetVersion(2)
		d.sendRequestsFor(2 * time.Second)
		d.checkVersions(t, 2)
		for _, b := range d.boxes {
			assert.DeepEqual(t, b.engine.Starts(), []int{2})
		}
	})
}

// rollbackGatewaysEnv is the environment variable that overrides the number of gateways
// of TestStoreCallsAfterRollback. "Return" in its value means the rollback: the store
// returns with older contents.
const rollbackGatewaysEnv = "RETURN_GATEWAYS"

// Guards against a burst of store calls after a store rollback, and against gateways
// that repeat reads forever because other gateways report offsets from before it.
func TestStoreCallsAfterRollback(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		gateways := 5
		if n, err := strconv.Atoi(os.Getenv(rollbackGatewaysEnv)); err == nil {
			gateways = n
		}
		d := startWeights(t, 2)
		for _, b := range d.boxes {
			b.engine.StageAndLoad(1)
		}
		for len(d.gateways) < gateways {
			d.startGateway(t)
		}
		d.awaitStatus(t, "", http.StatusOK, 20*time.Second)
		backup := d.store.Copy()
		for n := range 20 {
			d.store.Put(storetest.Operator, "other", strconv.Itoa(n))
			d.store.Put(storetest.Endpoints, "gone", "")
		}
		time.Sleep(4 * time.Second)
		calls := func(duration time.Duration) (operator, list int) {
			operator, list = d.store.CallsFor(storetest.Operator), d.store.CallsFor(storetest.Endpoints)
			time.Sleep(duration)
			return d.store.CallsFor(storetest.Operator) - operator, d.store.CallsFor(storetest.Endpoints) - list
		}
		operatorBefore, listBefore := calls(4 * time.Second)
		d.store.Restore(backup)
		operatorFirst, listFirst := calls(2 * time.Second)
		time.Sleep(4 * time.Second)
		operatorAfter, listAfter := calls(4 * time.Second)
		t.Logf("%d gateways, calls for operator's records, and for the list: 4 s before %d, %d; first 2 s %d, %d; 6 to 10 s after %d, %d",
			gateways, operatorBefore, listBefore, operatorFirst, listFirst, operatorAfter, listAfter)
		assert.Assert(t, operatorFirst <= operatorBefore/2+3*gateways && listFirst <= listBefore/2+3*gateways, "calls in the first 2 s")
		assert.Assert(t, operatorAfter <= operatorBefore+gateways && listAfter <= listBefore+gateways, "calls later")
	})
}

// startGateway starts one more gateway of the deployment.
func (d *weightsDeployment) startGateway(t *testing.T) {
	t.Helper()
	d.daemons = append(d.daemons, d.newGateway(t, len(d.gateways)))
	d.gateways = append(d.gateways, fmt.Sprintf("%s.%d:8005", d.network, 1+len(d.gateways)))
}
