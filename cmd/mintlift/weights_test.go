// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/enginetest"
	"github.com/mintlift/mintlift/platform/storetest"
)

// Seen: an engine answered two requests as version 2 with weights of which at
// least one chunk was missing, spoilt or of another version.
//
// How it came about: the sidecar ordered a newly added engine to take version 2
// and got no answer. It gave the order up after 2 s, brought the engine to version
// 3, and laid the chunks of version 4 beside it as they came. Then the engine took
// the first order: it is carried out when it is, with what lies there by then.
//
// Cause: an order without an answer was taken for one that was refused. Nothing
// tied it to what had been checked, nothing kept the place beside the engine for
// it, and nobody looked at what the engine had taken, nor asked how it came by a
// version that nobody was waiting for; gateways sent requests to whatever version
// it told.
//
// Shown by 13 engines of one day that went back to an older version, 2.7 to 11 s
// after they had been ordered to take it, and by this test.
func TestStartAcceptedLate(t *testing.T) {
	t.Parallel()
	d := startWeights(t, 4)
	ordered := make(chan struct{}, len(d.boxes))
	for _, b := range d.boxes {
		var starts atomic.Int32
		b.engine.Change(func(f *enginetest.Faults) {
			f.LateStart = func(version int) time.Duration {
				if version != 2 || starts.Add(1) > 1 {
					return 0
				}
				ordered <- struct{}{}
				return 4 * time.Second
			}
		})
	}
	d.nameVersion(2)
	for range d.boxes {
		<-ordered
	}
	d.nameVersion(3)
	d.sendRequestsFor(9 * time.Second)
	d.checkVersions(t, 3)
}

// A chunk that has turned bad since it was read is taken with the others: its
// box stood still meanwhile.
func TestChunkCorruptedAfterRead(t *testing.T) {
	t.Parallel()
	d := startWeights(t, 2)
	d.onFirstStart(2, func(b *weightsBox) { b.engine.Rot(3, enginetest.RotForgiven+time.Second) })
	d.nameVersion(2)
	d.sendRequestsFor(2 * time.Second)
	d.nameVersion(3)
	d.sendRequestsFor(9 * time.Second)
	d.checkVersions(t, 3)
}

// The same when nothing newer is named: the engine says that it holds the
// version, and takes it only by way of another.
func TestCorruptNewestVersionIsReloaded(t *testing.T) {
	t.Parallel()
	d := startWeights(t, 2)
	for _, b := range d.boxes {
		b.engine.Hold(1)
	}
	d.onFirstStart(2, func(b *weightsBox) { b.engine.Rot(3, enginetest.RotForgiven+time.Second) })
	d.nameVersion(2)
	d.sendRequestsFor(12 * time.Second)
	d.checkVersions(t, 2)
}

// An engine begins anew between the check and the order, and what lay ready is
// lost with it: the order fits the new life's count.
func TestEngineRestartBeforeStart(t *testing.T) {
	t.Parallel()
	d := startWeights(t, 2)
	d.onFirstStart(2, func(b *weightsBox) { b.engine.Restart(true) })
	d.nameVersion(2)
	d.sendRequestsFor(9 * time.Second)
	d.checkVersions(t, 2)
}

// A chunk of an older version is written late, while the newer one is checked
// and taken, by engines that read at once and by engines that read slowly.
func TestChunkWrittenLate(t *testing.T) {
	t.Parallel()
	d := startWeights(t, 8)
	for n, b := range d.boxes {
		b.engine.Change(func(f *enginetest.Faults) {
			var puts atomic.Int32
			f.LoadSlowly = n%2 == 1
			f.LatePut = func(int) time.Duration {
				if puts.Add(1) > 1 {
					return 0
				}
				return 2*time.Second + time.Duration(n/2)*150*time.Millisecond
			}
		})
	}
	d.nameVersion(2)
	time.Sleep(time.Second)
	d.nameVersion(3)
	d.sendRequestsFor(9 * time.Second)
	d.checkVersions(t, 3)
}

// onFirstStart does something when the first start of a version comes to each engine.
func (d *weightsDeployment) onFirstStart(version int, do func(*weightsBox)) {
	for _, b := range d.boxes {
		var once sync.Once
		b.engine.Change(func(f *enginetest.Faults) {
			f.Before = func(ordered int) {
				if ordered == version {
					once.Do(func() { do(b) })
				}
			}
		})
	}
}

// weightsModel is small, so that a rollout takes its turns and nothing else.
var weightsModel = enginetest.Weights{Model: "m", Chunks: 16, ChunkBytes: 4096, Layers: 4}

// weightsDeployment is a gateway before engines with their sidecars.
type weightsDeployment struct {
	network string // the first three numbers of all addresses
	store   *storetest.Store
	// storeAddress is where the store answers, and config its first
	// configuration.
	storeAddress, config string
	boxes                []*weightsBox
	daemons              []*taskGroup
	gateways             []string // IP:PORT of the gateways' callers' listeners

	mu sync.Mutex
	// served counts answers by the version that gave them.
	served map[int]int
}

// weightsBox is an engine with its sidecar.
type weightsBox struct {
	store   *storetest.Store
	engine  *enginetest.Engine
	address string
}

// startWeights starts a deployment of so many engines, which hold nothing, on a
// loopback net of its own.
func startWeights(t *testing.T, count int) *weightsDeployment {
	t.Helper()
	network := fmt.Sprintf("127.78.%d", loopbackNetworks.Add(1))
	d := &weightsDeployment{network: network, store: storetest.New(), served: make(map[int]int)}
	d.storeAddress = serveAt(t, "127.0.0.1:0", d.store, d.store.End)
	origin := serveAt(t, "127.0.0.1:0", weightsModel, func() {})
	d.config = fmt.Sprintf(`{"version":1,
		"routes":[{"name":"s","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":3000,"target_latency_ms":800,"target_gap_ms":400,"service":"e","max_attempts":2,"public":true,"resumable":true}],
		"services":[{"name":"weights","origin":%q,"zone":"z","link_mbps":80},
			{"name":"e","max_connections":500,"engine":{"slots":16,"models":[{"name":"m"}],"step_ms":8,"read_per_s":20000,"layers":%d,"chunks":%d,"chunk_bytes":%d,"usual":{"prompt":100,"answer":10}}}],
		"limits":{"max_body_bytes":1048576,"idle_timeout_ms":15000}}`, origin, weightsModel.Layers, weightsModel.Chunks, weightsModel.ChunkBytes)
	d.store.Put(storetest.Operator, "config", d.config)
	for n := range count {
		d.startBox(t, fmt.Sprintf("%s.%d", network, 100+n), d.storeAddress)
	}
	d.startGateway(t)
	return d
}

func (d *weightsDeployment) startBox(t *testing.T, ip, store string) {
	t.Helper()
	b := &weightsBox{store: d.store, address: net.JoinHostPort(ip, "8320")}
	b.engine = enginetest.New(weightsModel, b.writeEntry)
	d.boxes = append(d.boxes, b)
	serveAt(t, b.address, http.HandlerFunc(b.serve), func() {})
	b.writeEntry()
	d.daemons = append(d.daemons, startSidecar(t, ip, store, b.address))
}

// serveAt serves at an address of the loopback net until the test ends, and
// returns it.
func serveAt(t *testing.T, address string, h http.Handler, end func()) string {
	t.Helper()
	listener, err := net.Listen("tcp4", address)
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(h)
	assert.NilError(t, server.Listener.Close())
	server.Listener = listener
	server.Start()
	t.Cleanup(func() {
		end()
		server.CloseClientConnections()
		server.Close()
	})
	return listener.Addr().String()
}

// writeEntry writes the engine's entry.
func (b *weightsBox) writeEntry() {
	state := b.engine.State()
	entry, err := json.Marshal(map[string]any{
		"service": "e", "address": b.address, "zone": "z", "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0,
		"sequence": state.Orders, "born": state.Born, "models": b.engine.Models(),
	})
	if err != nil {
		panic(err)
	}
	b.store.Put(storetest.Endpoints, "i-"+b.address, string(entry))
}

// serve is the engine's part towards gateways and its sidecar.
func (b *weightsBox) serve(w http.ResponseWriter, r *http.Request) {
	if enginetest.Serves(r) {
		b.engine.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(platform.Headers().RequestID, r.Header.Get(platform.Headers().RequestID))
	version := b.engine.Token()
	if expected := r.Header.Get(platform.Headers().ExpectVersion); version == 0 || expected != "" && expected != strconv.Itoa(version) {
		w.Header().Set(platform.Headers().NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(platform.Headers().Seal, "seal")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "id: 1\ndata: %d\n\n", version)
}

// nameVersion names a version.
func (d *weightsDeployment) nameVersion(version int) {
	d.store.Put(storetest.Operator, "version/m", fmt.Sprintf(`{"model":"m","version":%d}`, version))
}

// concurrentCallers send requests at the same time.
const concurrentCallers = 8

// sendRequestsFor sends requests for so long.
func (d *weightsDeployment) sendRequestsFor(long time.Duration) {
	var group sync.WaitGroup
	for range concurrentCallers {
		group.Go(func() {
			for began := time.Now(); time.Since(began) < long; time.Sleep(10 * time.Millisecond) {
				version := d.request()
				d.mu.Lock()
				d.served[version]++
				d.mu.Unlock()
			}
		})
	}
	group.Wait()
}

// request sends a request, and returns the version that answered it, or 0.
func (d *weightsDeployment) request() int {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.gateways[rand.IntN(len(d.gateways))]+"/s/x", strings.NewReader("text"))
	if err != nil {
		return 0
	}
	r.Host = "h.example"
	r.Header.Set(platform.Headers().RequestID, "id")
	r.Header.Set(platform.Headers().Model, "m")
	r.Header.Set(platform.Headers().Deadline, "1000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return 0
	}
	version := 0
	_, _ = fmt.Sscanf(string(body), "id: 1\ndata: %d", &version)
	return version
}

// checkVersions checks that no token was made with wrong weights, and that the version
// named last is served.
func (d *weightsDeployment) checkVersions(t *testing.T, newest int) {
	t.Helper()
	var wrong []string
	for _, b := range d.boxes {
		t.Logf("%s: starts %v", b.address, b.engine.Starts())
		wrong = append(wrong, b.engine.Wrong()...)
	}
	t.Logf("answers by version (0: none): %v", d.served)
	if len(wrong) > 0 {
		t.Errorf("%d tokens with wrong weights, the first: %s", len(wrong), wrong[0])
	}
	assert.Assert(t, d.served[newest] > 0, "version %d has served nothing", newest)
}
