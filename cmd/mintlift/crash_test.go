// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/storetest"
	"github.com/mintlift/mintlift/quarantine"
)

const (
	// propagationTimeout is how long after the third crash gateways must know of it.
	propagationTimeout = 3 * time.Second
	// maxCrashesAfterPropagation is how many sends may follow after that.
	maxCrashesAfterPropagation = 3
	// crashThreshold is after how many crashes a request must be known.
	crashThreshold = 3
)

// Seen: one request ended 45 engines in 20 s, and another series of it 44. Each
// try ended two engines: the one that it was sent to, and the one at which its
// stream was taken up again. Half of all callers got nothing meanwhile.
//
// How it came about: the engine's process ends as soon as it begins to run the
// request. The caller's client tries again, each time by a new connection that
// the balancer gives to any gateway, with a new id.
//
// Cause: no part of the system remembers a request beyond its own try. What a
// crash says was held against the endpoint alone, which was left out of that
// try, and paused at that gateway; the next try began at nothing, everywhere.
//
// Shown by the stories of four runs (each engine ended 36 to 111 ms after it
// had begun that request), by two engines for each try, and by this test.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	checkQuarantine(t, 3, 6)
}

// The same at other sizes.
func TestCrashingRequestIsQuarantinedAtOtherSizes(t *testing.T) {
	for _, size := range []struct{ gateways, engines int }{{1, 3}, {9, 4}, {5, 15}} {
		t.Run(fmt.Sprintf("%d gateways, %d engines", size.gateways, size.engines), func(t *testing.T) {
			t.Parallel()
			checkQuarantine(t, size.gateways, size.engines)
		})
	}
}

// checkQuarantine tries one request that crashes its endpoints at one gateway
// after the other, and checks that few crash.
func checkQuarantine(t *testing.T, gateways, count int) {
	t.Helper()
	d := startEngines(t, gateways, count)
	end := time.Now().Add(propagationTimeout + 2*time.Second)
	for try := 0; time.Now().Before(end); try++ {
		go d.send(try, crashingBody)
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

// The same while the store answers nothing: gateways hear of each other's crashes
// by the sidecars. Its caller is told nothing that promises that the request has
// not run where it may have; others are served meanwhile and after.
func TestCrashesAreSharedWithoutStore(t *testing.T) {
	t.Parallel()
	d := startEngines(t, 2, 6)
	d.store.Change(func(f *storetest.Faults) { f.Silent = map[string]bool{"": true} })
	for try := range 3 {
		checkCrashingResponse(t, d, try)
		assert.Equal(t, d.send(try, "text"), http.StatusOK)
	}
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(20 * time.Millisecond) {
		for gateway := range d.gateways {
			checkCrashingResponse(t, d, gateway)
			assert.Equal(t, d.send(gateway, "text"), http.StatusOK)
		}
	}
	// A second try at a gateway that has not heard of the first yet ends two
	// engines more.
	assert.Assert(t, len(d.crashTimes()) <= crashThreshold+maxCrashesAfterPropagation, "%d engines have crashed", len(d.crashTimes()))
}

// checkCrashingResponse checks the answer to a try of the request that crashes endpoints: 502
// without an invitation if it may have run, else that it has not.
func checkCrashingResponse(t *testing.T, d *engineDeployment, gateway int) {
	t.Helper()
	before := len(d.crashTimes())
	status, head := d.sendForHeader(gateway, crashingBody)
	if len(d.crashTimes()) > before {
		assert.Equal(t, status, http.StatusBadGateway)
	}
	switch status {
	case http.StatusBadGateway:
		assert.Equal(t, head.Get("Retry-After"), "")
	case http.StatusServiceUnavailable:
		assert.Assert(t, head.Get("Retry-After") != "")
	default:
		t.Fatalf("status %d", status)
	}
}

// crashingBody is the body of a request that ends each engine that runs it.
const crashingBody = "crash"

// engineDeployment are gateways before engines with sidecars, which crash when they
// are asked to.
type engineDeployment struct {
	store    *storetest.Store
	gateways []string // IP:PORT of their callers' listeners

	mu           sync.Mutex
	crashes      []time.Time
	incarnations int
}

// loopbackNetworks counts the loopback nets in use.
var loopbackNetworks atomic.Int32

// startEngines starts gateways and engines on a loopback net of /24 of their
// own, and waits until all gateways serve.
func startEngines(t *testing.T, gateways, count int) *engineDeployment {
	t.Helper()
	return startEnginesWith(t, gateways, count, (*engineDeployment).startEngine)
}

// startEnginesWith is startEngines for engines that start starts, each at an IP
// number, with the address of the store.
func startEnginesWith(t *testing.T, gateways, count int, start func(d *engineDeployment, t *testing.T, ip, store string)) *engineDeployment {
	t.Helper()
	network := fmt.Sprintf("127.78.%d", loopbackNetworks.Add(1))
	d := &engineDeployment{store: storetest.New()}
	server := httptest.NewServer(d.store)
	t.Cleanup(func() {
		d.store.End()
		server.CloseClientConnections()
		server.Close()
	})
	store := strings.TrimPrefix(server.URL, "http://")
	d.store.Put(storetest.Operator, "config", `{"version":1,
		"routes":[{"name":"s","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":3000,"target_latency_ms":800,"target_gap_ms":400,"service":"e","max_attempts":2,"public":true,"resumable":true},
			{"name":"p","host":"h.example","path_prefix":"/p/","kind":"safe","timeout_ms":3000,"target_latency_ms":800,"service":"p","max_attempts":2,"public":true}],
		"services":[{"name":"e","max_connections":500,"engine":{"slots":16,"models":[{"name":"m"}],"step_ms":8,"read_per_s":20000,"usual":{"prompt":100,"answer":10}}},
			{"name":"p","max_connections":500}],
		"limits":{"max_body_bytes":1048576,"idle_timeout_ms":15000}}`)
	for n := range count {
		start(d, t, fmt.Sprintf("%s.%d", network, 100+n), store)
	}
	for n := range gateways {
		ip := fmt.Sprintf("%s.%d", network, 1+n)
		startGateway(t, ip, store)
		d.gateways = append(d.gateways, net.JoinHostPort(ip, "8005"))
	}
	for n := range gateways {
		for began := time.Now(); d.send(n, "text") != http.StatusOK; time.Sleep(20 * time.Millisecond) {
			assert.Assert(t, time.Since(began) < 20*time.Second, "gateway %d does not serve", n)
		}
	}
	return d
}

// startEngine starts an engine, whose process ends at each crash and is back
// after restart, and its sidecar.
func (d *engineDeployment) startEngine(t *testing.T, ip, store string) {
	t.Helper()
	address := net.JoinHostPort(ip, "8320")
	e := &crashingEngine{deployment: d, address: address}
	assert.NilError(t, e.start())
	t.Cleanup(e.stop)
	startSidecar(t, ip, store, address)
}

// startSidecar starts the sidecar of an engine at address, until the test ends.
func startSidecar(t *testing.T, ip, store, address string) *taskGroup {
	t.Helper()
	all, err := startPlatformSidecar(context.Background(), newPlatformProcess(t, ip, store, fmt.Sprintf(`,"app":%q,"service":"e"`, address)))
	assert.NilError(t, err)
	t.Cleanup(func() { closeNow(all) })
	return all
}

// send sends one try of a request to the n-th gateway, counted round, and
// returns the status of the answer, or 0.
func (d *engineDeployment) send(n int, body string) int {
	status, _ := d.sendForHeader(n, body)
	return status
}

// sendForHeader is as try, with the head of the answer.
func (d *engineDeployment) sendForHeader(n int, body string) (int, http.Header) {
	return d.sendToPath("/s/x", n, body)
}

// sendToPath is as answer, for a request of a path.
func (d *engineDeployment) sendToPath(path string, n int, body string) (int, http.Header) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.gateways[n%len(d.gateways)]+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = "h.example"
	r.Header.Set(platform.Headers().RequestID, fmt.Sprintf("id-%d-%s", n, body))
	r.Header.Set(platform.Headers().Deadline, "2500")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
}

func (d *engineDeployment) crashTimes() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time(nil), d.crashes...)
}

// newIncarnationID returns an id for an engine that starts.
func (d *engineDeployment) newIncarnationID() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnations++
	return fmt.Sprintf("i-%d", d.incarnations)
}

// crashingEngine is one engine, through all its lives.
type crashingEngine struct {
	deployment *engineDeployment
	address    string

	mu      sync.Mutex
	id      string
	server  *http.Server
	stopped bool
}

// restartDelay is how long a crashed engine is away.
const restartDelay = 700 * time.Millisecond

// crashDelay is how long an engine works on a request that crashes it.
const crashDelay = 60 * time.Millisecond

func (e *crashingEngine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return nil
	}
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.id = e.deployment.newIncarnationID()
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	e.deployment.store.Put(storetest.Endpoints, e.id, fmt.Sprintf(
		`{"service":"e","address":%q,"zone":"z","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"models":[{"name":"m","version":1,"adapters":[]}],"sequence":1}`, e.address))
	return nil
}

func (e *crashingEngine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	_ = e.server.Close()
}

// crash ends all connections and the listener, as the end of a process does.
func (e *crashingEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id == "" {
		return // another request has ended it meanwhile
	}
	_ = e.server.Close()
	id := e.id
	e.id = ""
	e.deployment.mu.Lock()
	e.deployment.crashes = append(e.deployment.crashes, time.Now())
	e.deployment.mu.Unlock()
	time.AfterFunc(restartDelay, func() {
		e.deployment.store.Put(storetest.Endpoints, id, "")
		_ = e.start() // the address is this engine's own
	})
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

// An operator's word at one gateway lets a request out at all.
func TestClearSuspectReachesAllGateways(t *testing.T) {
	t.Parallel()
	d := startEngines(t, 2, 6)
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
	assert.NilError(t, clearSuspect(t.Context(), metrics, id))
	before := len(d.crashTimes())
	for began := time.Now(); len(d.crashTimes()) == before; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < propagationTimeout, "it is kept from endpoints at the other gateway")
		d.send(1, crashingBody)
	}
}
