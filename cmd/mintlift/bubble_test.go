// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/memnet"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/enginetest"
	"github.com/mintlift/mintlift/platform/storetest"
	"github.com/mintlift/mintlift/telemetry"
)

// bubbleRegions are the regions of the availability zones in a bubble.
var bubbleRegions = map[string]string{"z1": "r1", "z2": "r2"}

// Addresses in a bubble, beside those of the boxes of each zone.
const (
	bubbleStore  = "10.0.0.1:8007"
	bubbleOrigin = "10.0.0.2:8008"
)

// bubble is a deployment on a network in memory, with the daemons' own entry points and
// the stand-ins of store, origin, engines and plain services. It must be made, used and
// closed within a bubble of testing/synctest. See docs/EXPLORE.md.
type bubble struct {
	t         *testing.T
	network   *memnet.Network
	boxes     map[string]*memnet.Box // by host, without those of callers
	store     *storetest.Store
	daemons   []*taskGroup
	servers   []*http.Server
	gateways  []string // IP:PORT of the gateways' listeners for callers
	endpoints []*bubbleEndpoint
	callers   []*http.Client // one in the region of each gateway
	config    map[string]any // the configuration in the store
	logs      io.Writer      // of the daemons; nil for none
	settings  string         // further settings of the daemons, as JSON with a leading comma
	// respond responds to requests at endpoints.
	respond func(e *bubbleEndpoint, w http.ResponseWriter, r *http.Request)
	// prepare, if not nil, is called with each endpoint before it serves.
	prepare func(e *bubbleEndpoint)
	slots   int // that endpoints announce

	mu       sync.Mutex
	requests []bubbleRequest
}

// bubbleRequest is a request as its caller saw it.
type bubbleRequest struct {
	path    string
	sent    time.Time
	took    time.Duration
	status  int // 0 without a complete response
	version int // that served it, 0 for a plain service
	failure string
}

// newBubble returns a deployment without daemons.
func newBubble(t *testing.T, c memnet.Config) *bubble {
	b := &bubble{t: t, network: memnet.New(c), boxes: make(map[string]*memnet.Box), store: storetest.New(), respond: (*bubbleEndpoint).respond, slots: bubbleSlots}
	b.serve(b.box(bubbleStore, "z1"), bubbleStore, b.store)
	b.serve(b.box(bubbleOrigin, "z1"), bubbleOrigin, weightsModel)
	b.config = bubbleConfig()
	b.writeConfig()
	return b
}

// bubbleConfig returns the first configuration: a route to engines and one to plain
// services.
func bubbleConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes":  []map[string]any{bubbleRoute("s", "streaming", "e"), bubbleRoute("p", "safe", "plain")},
		"services": []map[string]any{
			{"name": "weights", "origin": bubbleOrigin, "zone": "z1", "link_mbps": 80},
			{"name": "e", "max_connections": 500, "engine": map[string]any{
				"slots": bubbleSlots, "models": []map[string]any{{"name": weightsModel.Model}}, "step_ms": 8, "read_per_s": 20000,
				"layers": weightsModel.Layers, "chunks": weightsModel.Chunks, "chunk_bytes": weightsModel.ChunkBytes, "usual": map[string]any{"prompt": 100, "answer": bubbleTokens},
			}},
			{"name": "plain", "max_connections": 500},
		},
		"limits": map[string]any{"max_body_bytes": 1 << 20, "idle_timeout_ms": 15000},
	}
}

// bubbleRoute returns a route of a configuration.
func bubbleRoute(name, kind, service string) map[string]any {
	return map[string]any{"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 3000,
		"target_latency_ms": 800, "target_gap_ms": 400, "service": service, "max_attempts": 2, "public": true, "resumable": kind == "streaming"}
}

// writeConfig writes the configuration to the store.
func (b *bubble) writeConfig() {
	b.store.Put(storetest.Operator, "config", b.encode(b.config))
}

// addRoute adds a route to the configuration in the store.
func (b *bubble) addRoute(name, service string) {
	b.config["version"] = b.config["version"].(int) + 1
	b.config["routes"] = append(b.config["routes"].([]map[string]any), bubbleRoute(name, "safe", service))
	b.writeConfig()
}

// encode returns v as JSON.
func (b *bubble) encode(v any) string {
	text, err := json.Marshal(v)
	assert.NilError(b.t, err)
	return string(text)
}

// box returns the box with the host of an address. It adds the box, in a zone, if there is
// none yet.
func (b *bubble) box(address, zone string) *memnet.Box {
	host, _, err := net.SplitHostPort(address)
	assert.NilError(b.t, err)
	if b.boxes[host] == nil {
		b.boxes[host] = b.network.Box(host, bubbleRegions[zone])
	}
	return b.boxes[host]
}

// serve serves at an address of a box until the bubble is closed.
func (b *bubble) serve(box *memnet.Box, address string, h http.Handler) {
	listener, err := box.Listen(context.Background(), "tcp4", address, 0)
	assert.NilError(b.t, err)
	server := &http.Server{Handler: h, ConnContext: withConn}
	b.servers = append(b.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// process returns the process of a daemon with further settings, as JSON with a leading
// comma.
func (b *bubble) process(box *memnet.Box, ip, zone, settings string) *platformProcess {
	p := newProcessOn(b.t, box, place{ip, zone, bubbleRegions}, bubbleStore, settings+b.settings)
	if b.logs != nil {
		p.log = telemetry.NamedLogger(telemetry.NewLogger(b.logs, telemetry.LogSettings{}), ip)
		p.requestLog = p.log
	}
	return p
}

// startGateway starts a gateway, and a caller in its region.
func (b *bubble) startGateway(ip, callerIP, zone string) {
	front := net.JoinHostPort(ip, "8005")
	box := b.box(front, zone)
	group, err := startPlatformGateway(context.Background(), b.process(box, ip, zone, `,"bootstrap":true`))
	assert.NilError(b.t, err)
	b.daemons = append(b.daemons, group)
	b.gateways = append(b.gateways, front)
	caller := b.network.Box(callerIP, bubbleRegions[zone])
	b.callers = append(b.callers, &http.Client{Transport: &http.Transport{DialContext: caller.Dialer(time.Second, 0), MaxIdleConnsPerHost: 100}})
}

// startEngine starts an engine that has loaded version 1, and its sidecar.
func (b *bubble) startEngine(ip, zone string) {
	e := &bubbleEndpoint{bubble: b, service: "e", address: net.JoinHostPort(ip, "8320"), zone: zone}
	e.engine = enginetest.New(weightsModel, e.writeEntry)
	e.engine.StageAndLoad(1)
	box := b.box(e.address, zone)
	b.startEndpoint(box, e)
	group, err := startPlatformSidecar(context.Background(), b.process(box, ip, zone, fmt.Sprintf(`,"app":%q,"service":"e"`, e.address)))
	assert.NilError(b.t, err)
	b.daemons = append(b.daemons, group)
}

// startPlain starts a plain service.
func (b *bubble) startPlain(ip, zone string) {
	e := &bubbleEndpoint{bubble: b, service: "plain", address: net.JoinHostPort(ip, "8320"), zone: zone, started: time.Now()}
	b.startEndpoint(b.box(e.address, zone), e)
}

// startEndpoint serves and lists an endpoint.
func (b *bubble) startEndpoint(box *memnet.Box, e *bubbleEndpoint) {
	b.endpoints = append(b.endpoints, e)
	if b.prepare != nil {
		b.prepare(e)
	}
	b.serve(box, e.address, e)
	e.writeEntry()
}

// close ends all daemons without draining, then the stand-ins. It fails the test if a
// daemon does not end.
func (b *bubble) close() {
	for _, group := range b.daemons {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		group.closeAll(ctx)
		assert.Check(b.t, ctx.Err() == nil, "a daemon has not ended")
		cancel()
	}
	b.store.Close()
	for _, s := range b.servers {
		assert.Check(b.t, s.Close())
	}
	for _, c := range b.callers {
		c.CloseIdleConnections()
	}
}

// request sends a request by the caller in the region of a gateway, and records it.
func (b *bubble) request(gateway int, id, path string) bubbleRequest {
	q := bubbleRequest{path: path, sent: time.Now()}
	h := platform.Headers()
	r, err := http.NewRequest(http.MethodPost, "http://"+b.gateways[gateway]+path, strings.NewReader("text"))
	assert.NilError(b.t, err)
	r.Host = "h.example"
	r.Header.Set(h.RequestID, id)
	r.Header.Set(h.Deadline, "2000")
	if path == "/s/x" {
		r.Header.Set(h.Model, weightsModel.Model)
	}
	q.status, q.version, q.failure = b.send(gateway, r)
	q.took = time.Since(q.sent)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, q)
	return q
}

// send sends a request and reads its response. The status is 0 unless the response is
// complete.
func (b *bubble) send(gateway int, r *http.Request) (status, version int, failure string) {
	response, err := b.callers[gateway].Do(r)
	if err != nil {
		return 0, 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return 0, 0, err.Error()
	case response.StatusCode != http.StatusOK:
		return response.StatusCode, 0, string(body)
	case r.URL.Path != "/s/x":
		return http.StatusOK, 0, ""
	}
	if n := strings.Count(string(body), "data: "); n != bubbleTokens {
		return 0, 0, fmt.Sprintf("%d of %d tokens", n, bubbleTokens)
	}
	_, _ = fmt.Sscanf(string(body), "id: 1\ndata: %d", &version)
	return http.StatusOK, version, ""
}

// load sends requests at each gateway, every other one to engines, at a rate per second
// and gateway, until ctx ends. It returns when all have ended.
func (b *bubble) load(ctx context.Context, rate int) {
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			requests.Wait()
			return
		case <-ticker.C:
		}
		for gateway := range b.gateways {
			path := "/s/x"
			if n%2 == 1 {
				path = "/p/x"
			}
			requests.Go(func() { b.request(gateway, fmt.Sprintf("%d-%d", gateway, n), path) })
		}
	}
}

// bubbleStartTime is the time after the start of all daemons from which every request
// must be served.
const bubbleStartTime = 3 * time.Second

// Two gateways, two engines with sidecars and a plain service run for 30 virtual seconds
// without trouble. All requests must be served, a new version must spread and be served,
// and a new configuration be in force, each within its bound. Goroutines that are left
// over fail the test (see testing/synctest).
func TestCalmDayOnVirtualTime(t *testing.T) {
	const length, rate = 30 * time.Second, 150
	realStart := time.Now()
	var served int
	synctest.Test(t, func(t *testing.T) {
		b := newBubble(t, memnet.Config{Delay: 300 * time.Microsecond, RegionDelay: 30 * time.Millisecond, BoxRate: 10e6, RegionRate: 3e6})
		defer b.close()
		b.startEngine("10.1.1.1", "z1")
		b.startEngine("10.2.1.1", "z2")
		b.startPlain("10.1.2.1", "z1")
		b.startGateway("10.1.0.1", "10.1.3.1", "z1")
		b.startGateway("10.2.0.1", "10.2.3.1", "z2")
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		var load sync.WaitGroup
		load.Go(func() { b.load(ctx, rate) })

		time.Sleep(length / 3)
		named := time.Now()
		b.store.Put(storetest.Operator, "version/"+weightsModel.Model, fmt.Sprintf(`{"model":%q,"version":2}`, weightsModel.Model))
		time.Sleep(length / 3)
		b.addRoute("new", "plain")
		time.Sleep(configApplyTimeout)
		for gateway := range b.gateways {
			q := b.request(gateway, fmt.Sprint("new-", gateway), "/new/x")
			assert.Check(t, q.status == http.StatusOK, "the configuration is not in force at gateway %d: %d %s", gateway, q.status, q.failure)
		}
		load.Wait()

		for _, e := range b.endpoints {
			if e.engine != nil {
				assert.Check(t, len(e.engine.WrongTokens()) == 0, "%s: %v", e.address, e.engine.WrongTokens())
				assert.Equal(t, e.engine.State().Version, 2, "the version of %s", e.address)
			}
		}
		versions := make(map[int]int)
		for _, q := range b.requests {
			if q.sent.Sub(start) < bubbleStartTime {
				continue
			}
			served++
			versions[q.version]++
			assert.Check(t, q.status == http.StatusOK, "%s after %s: status %d after %s: %s", q.path, q.sent.Sub(start), q.status, q.took, q.failure)
			late := q.sent.Sub(named) > 8*time.Second
			assert.Check(t, !late || q.version != 1, "version 1 was served to a request sent %s after version 2 was named", q.sent.Sub(named))
		}
		assert.Check(t, versions[1] > 0 && versions[2] > 0 && versions[0] > 0, "requests by version: %v", versions)
		t.Logf("requests by version (0: plain service): %v", versions)
	})
	real := time.Since(realStart)
	t.Logf("%s of virtual time and %d requests took %.2f s", length, served, real.Seconds())
}
