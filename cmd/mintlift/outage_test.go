// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/storetest"
	"github.com/mintlift/mintlift/telemetry"
)

// configApplyTimeout is the time after a configuration was written to the store within
// which a gateway that reaches the store must apply it.
const configApplyTimeout = 2 * time.Second

// Guards against a configuration that is applied late after an outage of its topic: a
// read that started in the outage must not delay the read that gets the change.
func TestConfigurationAppliedAfterTopicOutage(t *testing.T) {
	t.Parallel()
	d := startRouteDeployment(t, "127.77.1")
	time.Sleep(3500 * time.Millisecond) // into a long poll
	d.setUnresponsive(storetest.Operator)
	time.Sleep(3 * time.Second)
	d.setUnresponsive()
	time.Sleep(100 * time.Millisecond)
	d.checkRouteChange(t)
}

// Checks that a configuration is applied in time although a single read gets no
// response, as in an outage of the store of a few milliseconds.
func TestConfigurationAppliedDespiteUnansweredRead(t *testing.T) {
	t.Parallel()
	d := startRouteDeployment(t, "127.77.2")
	d.setUnresponsive(storetest.Operator)
	d.store.Put(storetest.Operator, "version/none", `{"model":"none","version":2}`) // completes the long poll in progress
	time.Sleep(100 * time.Millisecond)
	d.setUnresponsive()
	d.checkRouteChange(t)
}

// routeDeployment is a gateway with a stand-in for the store, and two services,
// "before" and "after", with one endpoint each.
type routeDeployment struct {
	store *storetest.Store
	front string // IP:PORT of the gateway's listener for callers
}

// setUnresponsive makes the store leave calls for these topics unanswered and respond
// to all others. The topic "" stands for all topics.
func (d *routeDeployment) setUnresponsive(topics ...string) {
	unresponsive := make(map[string]bool)
	for _, topic := range topics {
		unresponsive[topic] = true
	}
	d.store.Change(func(f *storetest.Faults) { f.Unresponsive = unresponsive })
}

// configure writes a configuration of one route to a service.
func (d *routeDeployment) configure(version int, service string) {
	d.store.Put(storetest.Operator, "config", fmt.Sprintf(`{"version":%d,
		"routes":[{"name":"r","host":"h.example","path_prefix":"/r/","kind":"safe","timeout_ms":1000,"target_latency_ms":300,"service":%q,"max_attempts":1,"public":true}],
		"services":[{"name":"before","max_connections":50},{"name":"after","max_connections":50}],
		"limits":{"max_body_bytes":1048576,"idle_timeout_ms":15000}}`, version, service))
}

// checkRouteChange writes a configuration that routes to the other service, and checks
// that the gateway applies it within configApplyTimeout.
func (d *routeDeployment) checkRouteChange(t *testing.T) {
	t.Helper()
	written := time.Now()
	d.configure(2, "after")
	for d.request() != "after" {
		assert.Assert(t, time.Since(written) < configApplyTimeout, "the route has not changed %s after the configuration was written", configApplyTimeout)
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("applied after %s", time.Since(written))
}

// request sends a request and returns the name of the service that ran it, or "" if
// none did.
func (d *routeDeployment) request() string {
	r, err := http.NewRequest(http.MethodGet, "http://"+d.front+"/r/x", nil)
	if err != nil {
		return ""
	}
	r.Host = "h.example"
	r.Header.Set(platform.Headers().RequestID, "id")
	r.Header.Set(platform.Headers().Deadline, "1000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}

// startEndpoint starts an endpoint of a service. The body of its responses is the
// service's name.
func startEndpoint(t *testing.T, service string) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.Headers().RequestID, r.Header.Get(platform.Headers().RequestID))
		w.Header().Set(platform.Headers().Seal, "seal")
		_, _ = io.WriteString(w, service)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newRouteStore returns a deployment without gateways, and the address of its store, which
// has the endpoints and a configuration.
func newRouteStore(t *testing.T) (d *routeDeployment, store string) {
	t.Helper()
	d = &routeDeployment{store: storetest.New()}
	server := httptest.NewServer(d.store)
	t.Cleanup(func() {
		d.store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	for _, service := range []string{"before", "after"} {
		d.store.Put(storetest.Endpoints, service, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1}`, service, startEndpoint(t, service)))
	}
	d.configure(1, "before")
	return d, strings.TrimPrefix(server.URL, "http://")
}

// startRouteDeployment starts a gateway at the address network.1 and waits until it
// serves. network is the first three numbers of a loopback network's addresses.
func startRouteDeployment(t *testing.T, network string) *routeDeployment {
	t.Helper()
	d, store := newRouteStore(t)
	d.front = net.JoinHostPort(network+".1", "8005")
	startGateway(t, network+".1", store)
	for began := time.Now(); d.request() != "before"; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 20*time.Second, "the gateway does not serve")
	}
	return d
}

// newPlatformProcess returns the process state of a daemon at a loopback address. extra
// holds further settings as JSON fields, each preceded by a comma.
func newPlatformProcess(t *testing.T, ip, store, extra string) *platformProcess {
	t.Helper()
	return newProcessOn(t, network.System{}, inZone(ip), store, extra)
}

// place is where a daemon runs. regions are the regions of all availability zones.
type place struct {
	ip, zone string
	regions  map[string]string
}

// inZone returns the place of a daemon at an IP address in the only zone.
func inZone(ip string) place { return place{ip, "z", map[string]string{"z": "r"}} }

// newProcessOn is like newPlatformProcess, for a daemon at a place of a network.
func newProcessOn(t *testing.T, n network.Network, at place, store, extra string) *platformProcess {
	t.Helper()
	zones, err := json.Marshal(at.regions)
	assert.NilError(t, err)
	settings, err := platform.ParseSettings(fmt.Appendf(nil, `{"node_name":"%[1]s","ip":"%[1]s","zone":%[6]q,"region":%[7]q,"zones":%[8]s,
		"listen":{"front":"%[1]s:8005","ready":"%[1]s:8002"},"internal_ports":[7700,7715],"limits":{"link_mbps":80},
		"bounds":{"grace_s":5,"config_apply_ms":%[2]d,"contact_ms":%[3]d,"drain_ms":2000,"version_ms":8000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":100},
		"platform":{"address":%[4]q}%[5]s}`, at.ip, configApplyTimeout.Milliseconds(), propagationTimeout.Milliseconds(), store, extra, at.zone, at.regions[at.zone], zones))
	assert.NilError(t, err)
	metrics := telemetry.NewMetrics()
	return &platformProcess{
		settings: settings, network: n, requestLog: logr.Discard(), log: logr.Discard(), metrics: metrics,
		watcher: platform.NewWatcher(platform.NewStore(n, settings.Store.Address), logr.Discard(), metrics),
	}
}

// startGateway starts a gateway at a loopback address. It is closed when the test ends.
func startGateway(t *testing.T, ip, store string) *taskGroup {
	t.Helper()
	return startGatewayOn(t, network.System{}, ip, store)
}

// startGatewayOn is like startGateway, on a given network.
func startGatewayOn(t *testing.T, n network.Network, ip, store string) *taskGroup {
	t.Helper()
	group, err := startPlatformGateway(context.Background(), newProcessOn(t, n, inZone(ip), store, ""))
	assert.NilError(t, err)
	t.Cleanup(func() { closeNow(group) })
	return group
}

// closeNow closes a daemon without draining, and waits until its goroutines have
// returned, up to 5 s.
func closeNow(group *taskGroup) {
	const closeTimeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	group.closeAll(ctx)
}

// Guards against use of an outdated configuration after the machine was suspended. Until
// the store confirms the configuration again, a request for an unknown route must get
// 503 instead of 404, since a newer configuration may contain the route.
func TestConfigurationExpiresWhileSuspended(t *testing.T) {
	d := startRouteDeployment(t, "127.77.3")
	requestStatus := func(path string) int {
		r, err := http.NewRequest(http.MethodGet, "http://"+d.front+path, nil)
		assert.NilError(t, err)
		r.Host = "h.example"
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	assert.Equal(t, requestStatus("/none/"), http.StatusNotFound)
	d.setUnresponsive("")
	clock.SuspendForTest(t, configApplyTimeout)
	assert.Equal(t, requestStatus("/none/"), http.StatusServiceUnavailable)
	d.setUnresponsive()
	for began := time.Now(); requestStatus("/none/") != http.StatusNotFound; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < configApplyTimeout+propagationTimeout, "the configuration is not confirmed again")
	}
}
