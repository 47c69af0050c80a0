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

// Guards against an engine that loads wrong weights because it accepts the command to
// start a load late, after chunks of a newer version have been staged.
func TestDelayedStartOrderDoesNotLoadWrongChunks(t *testing.T) {
	t.Parallel()
	d := startWeights(t, 4)
	ordered := make(chan struct{}, len(d.boxes))
	for _, b := range d.boxes {
		var starts atomic.Int32
		b.engine.Change(func(f *enginetest.Faults) {
			f.StartDelay = func(version int) time.Duration {
				if version != 2 || starts.Add(1) > 1 {
					return 0
				}
				ordered <- struct{}{}
				return 4 * time.Second
			}
		})
	}
	d.setTargetVersion(2)
	for range d.boxes {
		<-ordered
	}
	d.setTargetVersion(3)
	d.sendRequestsFor(9 * time.Second)
	d.checkVersions(t, 3)
}

// Guards against requests being served with a chunk that was corrupted after its
// verification and before the load.
func TestChunkCorruptedAfterVerification(t *testing.T) {
	t.Parallel()
	d := startWeights(t, 2)
	d.onFirstStart(2, func(b *weightsBox) { b.engine.Corrupt(3, enginetest.CorruptionGrace+time.Second) })
	d.setTargetVersion(2)
	d.sendRequestsFor(2 * time.Second)
	d.setTargetVersion(3)
	d.sendRequestsFor(9 * time.Second)
	d.checkVersions(t, 3)
}

// Guards against corrupted weights of the newest target version, the version that the
// operator has set to be served last: the engine reports the
// version as loaded, and can only load it again after it has loaded another version.
func TestCorruptNewestVersionIsReloaded(t *testing.T) {
	t.Parallel()
	d := startWeights(t, 2)
	for _, b := range d.boxes {
		b.engine.StageAndLoad(1)
	}
	d.onFirstStart(2, func(b *weightsBox) { b.engine.Corrupt(3, enginetest.CorruptionGrace+time.Second) })
	d.setTargetVersion(2)
	d.sendRequestsFor(12 * time.Second)
	d.checkVersions(t, 2)
}

// Guards against an engine that restarts after the verification of its staged chunks
// and loses them: the restarted engine would accept the command to load them.
func TestEngineRestartBeforeStartOrder(t *testing.T) {
	t.Parallel()
	d := startWeights(t, 2)
	d.onFirstStart(2, func(b *weightsBox) { b.engine.Restart(true) })
	d.setTargetVersion(2)
	d.sendRequestsFor(9 * time.Second)
	d.checkVersions(t, 2)
}

// Guards against wrong weights when the write of a chunk of version 2 is delayed until
// version 3 is being verified or loaded. The delay differs among the engines, and every
// second engine loads its chunks one by one, the others all at once.
func TestDelayedChunkWriteOfOlderVersion(t *testing.T) {
	t.Parallel()
	d := startWeights(t, 8)
	for n, b := range d.boxes {
		b.engine.Change(func(f *enginetest.Faults) {
			var puts atomic.Int32
			f.LoadGradually = n%2 == 1
			f.PutDelay = func(int) time.Duration {
				if puts.Add(1) > 1 {
					return 0
				}
				return 2*time.Second + time.Duration(n/2)*150*time.Millisecond
			}
		})
	}
	d.setTargetVersion(2)
	time.Sleep(time.Second)
	d.setTargetVersion(3)
	d.sendRequestsFor(9 * time.Second)
	d.checkVersions(t, 3)
}

// onFirstStart makes each engine call do once, before it accepts its first command to
// load a version.
func (d *weightsDeployment) onFirstStart(version int, do func(*weightsBox)) {
	for _, b := range d.boxes {
		var once sync.Once
		b.engine.Change(func(f *enginetest.Faults) {
			f.BeforeStart = func(ordered int) {
				if ordered == version {
					once.Do(func() { do(b) })
				}
			}
		})
	}
}

// weightsModel is small, so that transfers add little to the duration of a rollout.
var weightsModel = enginetest.Weights{Model: "m", Chunks: 16, ChunkBytes: 4096, Layers: 4}

// weightsDeployment is a set of gateways and of engines with sidecars, on loopback
// addresses, for tests of the rollout of weights.
type weightsDeployment struct {
	network string // the first three numbers of all addresses
	store   *storetest.Store
	// storeAddress is the IP:PORT of the store. config is the first configuration in it.
	storeAddress, config string
	boxes                []*weightsBox
	daemons              []*taskGroup
	gateways             []string // IP:PORT of the gateways' listeners for callers

	mu sync.Mutex
	// served counts requests by the version that served them; 0 counts the others.
	served map[int]int
}

// weightsBox is an engine with its sidecar.
type weightsBox struct {
	store   *storetest.Store
	engine  *enginetest.Engine
	address string

	mu sync.Mutex // held while the entry in the endpoint list is written
	// listed is the id in the endpoint list, empty if there is none. The list keeps its
	// entry while listLags is set.
	listed   string
	listLags bool
}

// id returns the id of the engine's process. It is new at each start.
func (b *weightsBox) id() string { return fmt.Sprintf("i-%s-%d", b.address, b.engine.Incarnation()) }

// startWeights starts a deployment of one gateway and count engines without weights, on
// a loopback network of its own.
func startWeights(t *testing.T, count int) *weightsDeployment {
	t.Helper()
	network := fmt.Sprintf("127.78.%d", loopbackNetworks.Add(1))
	d := &weightsDeployment{network: network, store: storetest.New(), served: make(map[int]int)}
	d.storeAddress = serveAt(t, "127.0.0.1:0", d.store, d.store.Close)
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

// startBox starts an engine and its sidecar.
func (d *weightsDeployment) startBox(t *testing.T, ip, store string) {
	t.Helper()
	b := &weightsBox{store: d.store, address: net.JoinHostPort(ip, "8320")}
	b.engine = enginetest.New(weightsModel, b.writeEntry)
	d.boxes = append(d.boxes, b)
	serveAt(t, b.address, http.HandlerFunc(b.serve), func() {})
	b.writeEntry()
	d.daemons = append(d.daemons, startSidecar(t, ip, store, b.address))
}

// serveAt serves at a loopback address, and returns the address with the actual port.
// When the test ends it calls end, then closes the server.
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

// writeEntry writes the engine's entry in the endpoint list, in place of the entry of a
// former process.
func (b *weightsBox) writeEntry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listLags {
		return
	}
	state, id := b.engine.State(), b.id()
	entry, err := json.Marshal(map[string]any{
		"service": "e", "address": b.address, "zone": "z", "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0,
		"sequence": state.Orders, "born": state.StartedMS, "models": b.engine.Models(),
	})
	if err != nil {
		panic(err)
	}
	if b.listed != "" && b.listed != id {
		b.store.Put(storetest.Endpoints, b.listed, "")
	}
	b.listed = id
	b.store.Put(storetest.Endpoints, id, string(entry))
}

// serve handles requests of gateways and of the sidecar. As an engine does, it refuses
// requests for another process than its own.
func (b *weightsBox) serve(w http.ResponseWriter, r *http.Request) {
	if enginetest.IsEngineCall(r) {
		b.engine.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(platform.Headers().RequestID, r.Header.Get(platform.Headers().RequestID))
	if r.Header.Get(platform.Headers().ExpectEndpoint) != b.id() {
		w.Header().Set(platform.Headers().NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
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

// setTargetVersion sets the target version of the model: it writes the record with
// which an operator orders a version to be served.
func (d *weightsDeployment) setTargetVersion(version int) {
	d.store.Put(storetest.Operator, "version/m", fmt.Sprintf(`{"model":"m","version":%d}`, version))
}

// concurrentCallers is the number of callers of sendRequestsFor.
const concurrentCallers = 8

// sendRequestsFor sends requests from concurrentCallers callers for a duration, and
// counts them in served.
func (d *weightsDeployment) sendRequestsFor(duration time.Duration) {
	var group sync.WaitGroup
	for range concurrentCallers {
		group.Go(func() {
			for began := time.Now(); time.Since(began) < duration; time.Sleep(10 * time.Millisecond) {
				version := d.request()
				d.mu.Lock()
				d.served[version]++
				d.mu.Unlock()
			}
		})
	}
	group.Wait()
}

// request sends a request to a random gateway, and returns the version that served it,
// or 0 if none did.
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

// checkVersions checks that no token was computed with wrong weights, and that the
// newest version has served requests.
func (d *weightsDeployment) checkVersions(t *testing.T, newest int) {
	t.Helper()
	var wrong []string
	for _, b := range d.boxes {
		t.Logf("%s: starts %v", b.address, b.engine.Starts())
		wrong = append(wrong, b.engine.WrongTokens()...)
	}
	t.Logf("requests by version (0: not served): %v", d.served)
	if len(wrong) > 0 {
		t.Errorf("%d tokens with wrong weights, the first: %s", len(wrong), wrong[0])
	}
	assert.Assert(t, d.served[newest] > 0, "version %d has served nothing", newest)
}

// Guards against an engine that serves wrong weights after it has restarted together with
// its sidecar: it accepts a command to start a load that was sent to it before, while
// chunks of a newer version are staged, and the new sidecar does not know of it.
func TestStartCarriedOutAfterRestartsIsNotTrusted(t *testing.T) {
	t.Parallel()
	const startDelay = 5 * time.Second
	d := startWeights(t, 1)
	b := d.boxes[0]
	b.engine.StageAndLoad(1)
	d.sendRequestsFor(time.Second)
	var sent time.Time
	var delayedVersion int
	delayed := make(chan struct{})
	var once sync.Once
	b.engine.Change(func(f *enginetest.Faults) {
		f.StartDelay = func(version int) (delay time.Duration) {
			once.Do(func() {
				delay, delayedVersion, sent = startDelay, version, time.Now()
				close(delayed)
			})
			return delay
		}
	})
	b.engine.Restart(false) // its count of accepted commands is 0, as it is after the next restart
	<-delayed
	d.awaitLoaded(t, delayedVersion)
	d.setTargetVersion(delayedVersion + 1)
	d.awaitLoaded(t, delayedVersion+1)
	time.Sleep(time.Until(sent.Add(startDelay - 200*time.Millisecond)))
	closeNow(d.daemons[0])
	b.engine.Restart(false)
	for began := time.Now(); b.engine.State().Version != delayedVersion; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 5*time.Second, "the delayed command has not taken effect")
	}
	host, _, err := net.SplitHostPort(b.address)
	assert.NilError(t, err)
	d.daemons[0] = startSidecar(t, host, d.storeAddress, b.address)
	d.sendRequestsFor(8 * time.Second)
	d.checkVersions(t, delayedVersion+1)
}

// Guards against tokens of wrong weights from an engine that has restarted, while the
// endpoint list and the gateway's last report still show its former process: its sidecar
// is silent, so that only the id of the process in a request tells the two apart.
func TestRequestsForFormerProcessAreNotServed(t *testing.T) {
	t.Parallel()
	d := startWeights(t, 1)
	b := d.boxes[0]
	b.engine.StageAndLoad(1)
	d.sendRequestsFor(time.Second)
	closeNow(d.daemons[0])
	b.mu.Lock()
	b.listLags = true
	b.mu.Unlock()
	b.engine.Restart(false)
	b.stageChunk(t, weightsModel.Chunk(2, 0))
	response, err := http.Post("http://"+b.address+"/order", "application/json", strings.NewReader(`{"operation":"start","version":1}`))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	for began := time.Now(); b.engine.State().Version != 1; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 5*time.Second, "the version is not loaded")
	}
	d.sendRequestsFor(time.Second)
	d.checkVersions(t, 1)
}
