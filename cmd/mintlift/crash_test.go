// SPDX-License-Identifier: Apache-2.0

package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/memnet"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/storetest"
	"github.com/mintlift/mintlift/quarantine"
)

const (
	// propagationTimeout is the time within which all gateways must apply a crash or a
	// signal of an endpoint that one of them has observed.
	propagationTimeout = 3 * time.Second
	// maxCrashesAfterPropagation is the maximum number of crashes that may occur once
	// propagationTimeout has passed since the crash with the number crashThreshold.
	maxCrashesAfterPropagation = 3
	// crashThreshold is the number of crashes after which a request must be quarantined.
	crashThreshold = 3
)

// Guards against a request that crashes one engine after the other because its caller
// retries it, with a new request ID and at any gateway. Gateways must share the crashes
// and quarantine the request, which they recognize by its content.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkQuarantine(t, 3, 6) })
}

// Checks quarantine with other numbers of gateways and engines.
func TestCrashingRequestIsQuarantinedAtOtherSizes(t *testing.T) {
	for _, size := range []struct{ gateways, engines int }{{1, 3}, {9, 4}, {5, 15}} {
		t.Run(fmt.Sprintf("%d gateways, %d engines", size.gateways, size.engines), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkQuarantine(t, size.gateways, size.engines) })
		})
	}
}

// checkQuarantine starts a deployment and sends a request that crashes engines to its
// gateways in turn. It checks that few engines crash.
func checkQuarantine(t *testing.T, gateways, count int) {
	t.Helper()
	d := startEngines(t, newMemoryNetwork(), gateways, count)
	end := time.Now().Add(propagationTimeout + 2*time.Second)
	for n := 0; time.Now().Before(end); n++ {
		go d.send(n, crashingBody)
		time.Sleep(100 * time.Millisecond)
	}
	crashes := d.crashTimes()
	assert.Assert(t, len(crashes) >= crashThreshold, "%d engines have crashed", len(crashes))
	late := 0
	for _, at := range crashes {
		if at.Sub(crashes[crashThreshold-1]) > propagationTimeout {
			late++
		}
	}
	t.Logf("%d engines have crashed, the last %s after the first", len(crashes), crashes[len(crashes)-1].Sub(crashes[0]))
	assert.Assert(t, late <= maxCrashesAfterPropagation, "%d engines have crashed, %d of them later than %s after the third", len(crashes), late, propagationTimeout)
}

// Checks that gateways share crashes through sidecars while the store is unresponsive,
// and that they serve other requests. The response to a request that may have run must
// not state that it did not run.
func TestCrashesAreSharedWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startEngines(t, newMemoryNetwork(), 2, 6)
		d.store.Change(func(f *storetest.Faults) { f.Unresponsive = map[string]bool{"": true} })
		for n := range 3 {
			checkCrashingResponse(t, d, n)
			assert.Equal(t, d.send(n, "text"), http.StatusOK)
		}
		for began := time.Now(); time.Since(began) < time.Second; time.Sleep(20 * time.Millisecond) {
			for gateway := range d.gateways {
				checkCrashingResponse(t, d, gateway)
				assert.Equal(t, d.send(gateway, "text"), http.StatusOK)
			}
		}
		// A second attempt, at a gateway that does not have the first crashes yet, crashes
		// two more engines.
		assert.Assert(t, len(d.crashTimes()) <= crashThreshold+maxCrashesAfterPropagation, "%d engines have crashed", len(d.crashTimes()))
	})
}

// checkCrashingResponse sends the request that crashes endpoints and checks the
// response: 502 without Retry-After if the request may have run, else 503 with
// Retry-After.
func checkCrashingResponse(t *testing.T, d *engineDeployment, gateway int) {
	t.Helper()
	before := len(d.crashTimes())
	status, header := d.sendForHeader(gateway, crashingBody)
	if len(d.crashTimes()) > before {
		assert.Equal(t, status, http.StatusBadGateway)
	}
	switch status {
	case http.StatusBadGateway:
		assert.Equal(t, header.Get("Retry-After"), "")
	case http.StatusServiceUnavailable:
		assert.Assert(t, header.Get("Retry-After") != "")
	default:
		t.Fatalf("status %d", status)
	}
}

// crashingBody is the body of a request that crashes each engine that runs it.
const crashingBody = "crash"

// engineDeployment is a set of gateways, and engines with sidecars, on loopback
// addresses or on a network in memory.
type engineDeployment struct {
	store    *storetest.Store
	memory   *memnet.Network // nil on loopback addresses
	client   *http.Client    // of the callers
	gateways []string        // IP:PORT of the gateways' listeners for callers
	// storeAddress is the IP:PORT of store, and config the first configuration in it.
	storeAddress, config string

	mu           sync.Mutex
	crashes      []time.Time            // times of the engines' crashes
	incarnations int                    // number of starts of engines so far
	boxes        map[string]*memnet.Box // of memory, by IP address
	plain        int                    // number of endpoints without a sidecar
}

// newMemoryNetwork returns the network of a deployment on virtual time.
func newMemoryNetwork() *memnet.Network {
	return memnet.New(memnet.Config{Delay: 300 * time.Microsecond})
}

// on returns the network as seen from the box with an IP address.
func (d *engineDeployment) on(ip string) network.Network {
	if d.memory == nil {
		return network.System{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.boxes[ip] == nil {
		d.boxes[ip] = d.memory.Box(ip, "r")
	}
	return d.boxes[ip]
}

// listen listens at an IP:PORT.
func (d *engineDeployment) listen(address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	return d.on(host).Listen(context.Background(), "tcp4", address, 0)
}

// IP addresses on a network in memory, beside those of gateways and engines.
const (
	memoryStoreIP  = "10.0.0.1"
	memoryCallerIP = "10.0.0.2"
)

// startStore serves the store, and sets the callers' client.
func (d *engineDeployment) startStore(t *testing.T) {
	t.Helper()
	d.client = http.DefaultClient
	address := "127.0.0.1:0"
	if d.memory != nil {
		d.boxes = make(map[string]*memnet.Box)
		address = net.JoinHostPort(memoryStoreIP, "8007")
		transport := &http.Transport{DialContext: d.on(memoryCallerIP).Dialer(time.Second, 0), MaxIdleConnsPerHost: 100}
		d.client = &http.Client{Transport: transport}
		t.Cleanup(func() {
			transport.CloseIdleConnections()
			time.Sleep(5 * time.Second) // virtual, until what callers have begun has ended
		})
	}
	listener, err := d.listen(address)
	assert.NilError(t, err)
	server := &http.Server{Handler: d.store}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		d.store.Close()
		_ = server.Close()
	})
	d.storeAddress = listener.Addr().String()
}

// loopbackNetworks counts the loopback networks in use.
var loopbackNetworks atomic.Int32

// startEngines starts gateways and engines on a network in memory, or, if that is nil,
// on a /24 loopback network of their own, and waits until all gateways serve.
func startEngines(t *testing.T, memory *memnet.Network, gateways, count int) *engineDeployment {
	t.Helper()
	return startEnginesWith(t, memory, gateways, count, (*engineDeployment).startEngine)
}

// startEnginesWith is like startEngines, but calls start to start each engine with its
// sidecar, at the given IP address and for the store at the given address.
func startEnginesWith(t *testing.T, memory *memnet.Network, gateways, count int, start func(d *engineDeployment, t *testing.T, ip, store string)) *engineDeployment {
	t.Helper()
	prefix := fmt.Sprintf("127.78.%d", loopbackNetworks.Add(1))
	if memory != nil {
		prefix = "10.78.1"
	}
	d := &engineDeployment{store: storetest.New(), memory: memory}
	d.startStore(t)
	store := d.storeAddress
	d.config = `{"version":1,
		"routes":[{"name":"s","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":3000,"target_latency_ms":800,"target_gap_ms":400,"service":"e","max_attempts":2,"public":true,"resumable":true},
			{"name":"p","host":"h.example","path_prefix":"/p/","kind":"safe","timeout_ms":3000,"target_latency_ms":800,"service":"p","max_attempts":2,"public":true}],
		"services":[{"name":"e","max_connections":500,"engine":{"slots":16,"models":[{"name":"m"}],"step_ms":8,"read_per_s":20000,"usual":{"prompt":100,"answer":10}}},
			{"name":"p","max_connections":500}],
		"limits":{"max_body_bytes":1048576,"idle_timeout_ms":15000}}`
	d.store.Put(storetest.Operator, "config", d.config)
	for n := range count {
		start(d, t, fmt.Sprintf("%s.%d", prefix, 100+n), store)
	}
	for n := range gateways {
		ip := fmt.Sprintf("%s.%d", prefix, 1+n)
		startGatewayOn(t, d.on(ip), ip, store)
		d.gateways = append(d.gateways, net.JoinHostPort(ip, "8005"))
	}
	for n := range gateways {
		for began := time.Now(); d.send(n, "text") != http.StatusOK; time.Sleep(20 * time.Millisecond) {
			assert.Assert(t, time.Since(began) < 20*time.Second, "gateway %d does not serve", n)
		}
	}
	return d
}

// startEngine starts an engine that crashes on crashingBody and restarts restartDelay
// later, and its sidecar.
func (d *engineDeployment) startEngine(t *testing.T, ip, store string) {
	t.Helper()
	address := net.JoinHostPort(ip, "8320")
	e := &crashingEngine{deployment: d, address: address}
	assert.NilError(t, e.start())
	t.Cleanup(e.stop)
	startSidecarOn(t, d.on(ip), ip, store, address)
}

// startSidecarOn starts the sidecar of the engine at address, on a network. It is closed
// when the test ends.
func startSidecarOn(t *testing.T, n network.Network, ip, store, address string) *taskGroup {
	t.Helper()
	group, err := startPlatformSidecar(context.Background(), newProcessOn(t, n, inZone(ip), store, fmt.Sprintf(`,"app":%q,"service":"e"`, address)))
	assert.NilError(t, err)
	t.Cleanup(func() { closeNow(group) })
	return group
}

// send sends a request to the gateway with the index n modulo the number of gateways.
// It returns the status of the response, or 0 if the response was incomplete or missing.
func (d *engineDeployment) send(n int, body string) int {
	status, _ := d.sendForHeader(n, body)
	return status
}

// sendForHeader is like send, and also returns the header of the response.
func (d *engineDeployment) sendForHeader(n int, body string) (int, http.Header) {
	return d.sendToPath("/s/x", n, body)
}

// sendToPath is like sendForHeader, with the path of the request.
func (d *engineDeployment) sendToPath(path string, n int, body string) (int, http.Header) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.gateways[n%len(d.gateways)]+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = "h.example"
	r.Header.Set(platform.Headers().RequestID, fmt.Sprintf("id-%d-%s", n, body))
	r.Header.Set(platform.Headers().Deadline, "2500")
	response, err := d.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
}

// awaitPath waits until the gateway with the index n serves requests for a path.
func (d *engineDeployment) awaitPath(t *testing.T, path string, n int) {
	t.Helper()
	began := time.Now()
	for status := 0; status != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		status, _ = d.sendToPath(path, n, "text")
		assert.Assert(t, time.Since(began) < 20*time.Second, "gateway %d does not serve %s", n, path)
	}
}

// crashTimes returns the moments of all crashes of engines so far.
func (d *engineDeployment) crashTimes() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time(nil), d.crashes...)
}

// newIncarnationID returns an endpoint ID for an engine that starts.
func (d *engineDeployment) newIncarnationID() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnations++
	return fmt.Sprintf("i-%d", d.incarnations)
}

// crashingEngine is an engine that crashes when it runs crashingBody, and restarts
// with a new ID.
type crashingEngine struct {
	deployment *engineDeployment
	address    string
	// handler serves the requests, and restartDelay is the time from a crash to the
	// restart. The zero values stand for the engine itself and restartDelay.
	handler      http.Handler
	restartDelay time.Duration

	mu      sync.Mutex
	id      string // endpoint ID since the last start; empty between a crash and the restart
	server  *http.Server
	stopped bool
}

// restartDelay is the duration from a crash of an engine to its restart.
const restartDelay = 700 * time.Millisecond

// crashDelay is the time from the receipt of a crashing request to the crash.
const crashDelay = 60 * time.Millisecond

// start starts the engine with a new ID, unless it was stopped.
func (e *crashingEngine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return nil
	}
	listener, err := e.deployment.listen(e.address)
	if err != nil {
		return err
	}
	e.id = e.deployment.newIncarnationID()
	handler := e.handler
	if handler == nil {
		handler = e
	}
	e.server = &http.Server{Handler: handler}
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	e.deployment.store.Put(storetest.Endpoints, e.id, fmt.Sprintf(
		`{"service":"e","address":%q,"zone":"z","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"models":[{"name":"m","version":1,"adapters":[]}],"sequence":1}`, e.address))
	return nil
}

// stop closes the engine and prevents restarts.
func (e *crashingEngine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	_ = e.server.Close()
}

// crash closes all connections and the listener, as the end of a process does, and
// schedules the restart. It returns false if the engine has crashed already.
func (e *crashingEngine) crash() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id == "" {
		return false
	}
	_ = e.server.Close()
	id := e.id
	e.id = ""
	e.deployment.mu.Lock()
	e.deployment.crashes = append(e.deployment.crashes, time.Now())
	e.deployment.mu.Unlock()
	time.AfterFunc(cmp.Or(e.restartDelay, restartDelay), func() {
		e.deployment.store.Put(storetest.Endpoints, id, "")
		_ = e.start() // no other engine uses the address
	})
	return true
}

// ServeHTTP implements http.Handler.
func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		_, _ = io.WriteString(w, `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":0}`)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(platform.Headers().RequestID, r.Header.Get(platform.Headers().RequestID))
	w.Header().Set(platform.Headers().Seal, "seal")
	w.Header().Set("Content-Type", "text/event-stream")
	if string(body) == crashingBody {
		time.Sleep(crashDelay)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "id: 1\ndata: token\n\n")
}

// Checks that a request which an operator releases from quarantine at one gateway is
// released at all gateways.
func TestClearSuspectReachesAllGateways(t *testing.T) {
	t.Parallel()
	d := startEngines(t, nil, 2, 6)
	d.send(0, crashingBody)
	d.send(0, crashingBody)
	for n := range d.gateways {
		for began := time.Now(); d.send(n, crashingBody) != http.StatusServiceUnavailable; time.Sleep(20 * time.Millisecond) {
			assert.Assert(t, time.Since(began) < propagationTimeout)
		}
	}
	id := quarantine.Identify(quarantine.Request{Method: http.MethodPost, Host: "h.example", Target: "/s/x", Body: []byte(crashingBody)}).String()
	host, _, err := net.SplitHostPort(d.gateways[0])
	assert.NilError(t, err)
	metrics := net.JoinHostPort(host, "7703")
	assert.ErrorContains(t, clearSuspect(t.Context(), metrics, "none"), "status 400")
	assert.ErrorContains(t, clearSuspect(t.Context(), metrics, strings.Repeat("0", len(id))), "status 404")
	var list strings.Builder
	assert.NilError(t, listSuspects(t.Context(), metrics, &list))
	assert.Assert(t, strings.Contains(list.String(), id), list.String())
	assert.NilError(t, clearSuspect(t.Context(), metrics, id))
	before := len(d.crashTimes())
	for began := time.Now(); len(d.crashTimes()) == before; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < propagationTimeout, "still quarantined at the other gateway")
		d.send(1, crashingBody)
	}
}
