// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
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
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/memnet"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/enginetest"
	"github.com/mintlift/mintlift/platform/storetest"
)

// Guards against an engine that loads wrong weights because it accepts the command to
// start a load late, after chunks of a newer version have been staged.
func TestDelayedStartOrderDoesNotLoadWrongChunks(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
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
	})
}

// Guards against requests being served with a chunk that was corrupted after its
// verification and before the load.
func TestChunkCorruptedAfterVerification(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := startWeights(t, 2)
		d.onFirstStart(2, func(b *weightsBox) { b.engine.Corrupt(3, enginetest.CorruptionGrace+time.Second) })
		d.setTargetVersion(2)
		d.sendRequestsFor(2 * time.Second)
		d.setTargetVersion(3)
		d.sendRequestsFor(9 * time.Second)
		d.checkVersions(t, 3)
	})
}

// Guards against corrupted weights of the newest target version, the version that the
// operator has set to be served last: the engine reports the
// version as loaded, and can only load it again after it has loaded another version.
func TestCorruptNewestVersionIsReloaded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := startWeights(t, 2)
		for _, b := range d.boxes {
			b.engine.StageAndLoad(1)
		}
		d.onFirstStart(2, func(b *weightsBox) { b.engine.Corrupt(3, enginetest.CorruptionGrace+time.Second) })
		d.setTargetVersion(2)
		d.sendRequestsFor(12 * time.Second)
		d.checkVersions(t, 2)
	})
}

// Guards against an engine that restarts after the verification of its staged chunks
// and loses them: the restarted engine would accept the command to load them.
func TestEngineRestartBeforeStartOrder(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := startWeights(t, 2)
		d.onFirstStart(2, func(b *weightsBox) { b.engine.Restart(true) })
		d.setTargetVersion(2)
		d.sendRequestsFor(9 * time.Second)
		d.checkVersions(t, 2)
	})
}

// Guards against wrong weights when the write of a chunk of version 2 is delayed until
// version 3 is being verified or loaded. The delay differs among the engines, and every
// second engine loads its chunks one by one, the others all at once.
func TestDelayedChunkWriteOfOlderVersion(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
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
	})
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

// weightsDeployment is a set of gateways and of engines with sidecars, for tests of the
// rollout of weights.
type weightsDeployment struct {
	network string // the first three numbers of all addresses
	// at returns the network as the box with an IP address uses it.
	at     func(ip string) network.Network
	client *http.Client // of the callers
	store  *storetest.Store
	// storeAddress is the IP:PORT of the store. config is the first configuration in it.
	storeAddress, config string
	boxes                []*weightsBox
	daemons              []*taskGroup
	gateways             []string // IP:PORT of the gateways' listeners for callers
	// originLost is set while the origin breaks off all connections.
	originLost atomic.Bool

	mu sync.Mutex
	// served counts requests by the version that served them; 0 counts the others.
	served map[int]int
}

// weightsBox is an engine with its sidecar.
type weightsBox struct {
	client  *http.Client // for calls of the engine by the test
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

// inVirtualTime runs a test in a bubble of testing/synctest. Its time advances only while
// the whole deployment waits, so that the verdict does not depend on how fast the machine
// is. Such a test uses the processors without pauses, so it does not run in parallel with
// those in real time.
func inVirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}

// startWeights starts a deployment of one gateway and count engines without weights, on
// a network in memory. It must be called in virtual time.
func startWeights(t *testing.T, count int) *weightsDeployment {
	t.Helper()
	memory := memnet.New(memnet.Config{Delay: 300 * time.Microsecond})
	boxes := make(map[string]*memnet.Box)
	return startWeightsOn(t, count, "10.0.0", func(ip string) network.Network {
		if boxes[ip] == nil {
			boxes[ip] = memory.Box(ip, "r")
		}
		return boxes[ip]
	})
}

// startWeightsOnLoopback is like startWeights, on a loopback network of its own and in
// real time.
func startWeightsOnLoopback(t *testing.T, count int) *weightsDeployment {
	t.Helper()
	return startWeightsOn(t, count, fmt.Sprintf("127.78.%d", loopbackNetworks.Add(1)), func(string) network.Network { return network.System{} })
}

// maxStandInTail is longer than anything that the stand-ins still do after their servers
// have been closed, such as a load.
const maxStandInTail = 2 * time.Second

// startWeightsOn starts a deployment; see weightsDeployment.
func startWeightsOn(t *testing.T, count int, prefix string, at func(ip string) network.Network) *weightsDeployment {
	t.Helper()
	d := &weightsDeployment{network: prefix, at: at, store: storetest.New(), served: make(map[int]int)}
	t.Cleanup(func() { time.Sleep(maxStandInTail) }) // goroutines of a bubble must end with the test
	d.client = &http.Client{Transport: &http.Transport{DialContext: at(prefix+".250").Dialer(time.Second, 0), MaxIdleConnsPerHost: 100}}
	t.Cleanup(d.client.CloseIdleConnections)
	d.storeAddress = prefix + ".251:8007"
	d.serveAt(t, d.storeAddress, d.store, d.store.Close)
	origin := prefix + ".252:8008"
	d.serveAt(t, origin, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.originLost.Load() {
			panic(http.ErrAbortHandler)
		}
		weightsModel.ServeHTTP(w, r)
	}), func() {})
	d.config = fmt.Sprintf(`{"version":1,
		"routes":[{"name":"s","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":3000,"target_latency_ms":800,"target_gap_ms":400,"service":"e","max_attempts":2,"public":true,"resumable":true}],
		"services":[{"name":"weights","origin":%q,"zone":"z","link_mbps":80},
			{"name":"e","max_connections":500,"engine":{"slots":16,"models":[{"name":"m"}],"step_ms":8,"read_per_s":20000,"layers":%d,"chunks":%d,"chunk_bytes":%d,"usual":{"prompt":100,"answer":10}}}],
		"limits":{"max_body_bytes":1048576,"idle_timeout_ms":15000}}`, origin, weightsModel.Layers, weightsModel.Chunks, weightsModel.ChunkBytes)
	d.store.Put(storetest.Operator, "config", d.config)
	for n := range count {
		d.startBox(t, fmt.Sprintf("%s.%d", prefix, 100+n))
	}
	d.startGateway(t)
	return d
}

// startBox starts an engine and its sidecar.
func (d *weightsDeployment) startBox(t *testing.T, ip string) {
	t.Helper()
	b := &weightsBox{client: d.client, store: d.store, address: net.JoinHostPort(ip, "8320")}
	b.engine = enginetest.New(weightsModel, b.writeEntry)
	d.boxes = append(d.boxes, b)
	d.serveAt(t, b.address, http.HandlerFunc(b.serve), func() {})
	b.writeEntry()
	d.daemons = append(d.daemons, d.newSidecar(t, b))
}

// newSidecar starts the sidecar of a box. It is closed when the test ends.
func (d *weightsDeployment) newSidecar(t *testing.T, b *weightsBox) *taskGroup {
	t.Helper()
	ip := hostOf(t, b.address)
	group, err := startPlatformSidecar(context.Background(), d.newProcess(t, ip, fmt.Sprintf(`,"app":%q,"service":"e"`, b.address)))
	assert.NilError(t, err)
	t.Cleanup(func() { closeNow(group) })
	return group
}

// newGateway starts the gateway with index n. It is closed when the test ends.
func (d *weightsDeployment) newGateway(t *testing.T, n int) *taskGroup {
	t.Helper()
	group, err := startPlatformGateway(context.Background(), d.newProcess(t, fmt.Sprintf("%s.%d", d.network, 1+n), ""))
	assert.NilError(t, err)
	t.Cleanup(func() { closeNow(group) })
	return group
}

// newProcess is like newPlatformProcess, for a daemon of the deployment.
func (d *weightsDeployment) newProcess(t *testing.T, ip, extra string) *platformProcess {
	t.Helper()
	return newProcessOn(t, d.at(ip), place{ip, "z", map[string]string{"z": "r"}}, d.storeAddress, extra)
}

// serveAt serves at an address. When the test ends it calls end, then closes the server.
func (d *weightsDeployment) serveAt(t *testing.T, address string, h http.Handler, end func()) {
	t.Helper()
	listener, err := d.at(hostOf(t, address)).Listen(t.Context(), "tcp4", address, 0)
	assert.NilError(t, err)
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: h}}
	server.Start()
	t.Cleanup(func() {
		end()
		server.CloseClientConnections()
		server.Close()
	})
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
	response, err := d.client.Do(r)
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
	inVirtualTime(t, func(t *testing.T) {
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
		d.daemons[0] = d.newSidecar(t, b)
		d.sendRequestsFor(8 * time.Second)
		d.checkVersions(t, delayedVersion+1)
	})
}

// Guards against tokens of wrong weights from an engine that has restarted, while the
// endpoint list and the gateway's last report still show its former process: its sidecar
// is silent, so that only the id of the process in a request tells the two apart.
func TestRequestsForFormerProcessAreNotServed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
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
		response, err := d.client.Post("http://"+b.address+"/order", "application/json", strings.NewReader(`{"operation":"start","version":1}`))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		for began := time.Now(); b.engine.State().Version != 1; time.Sleep(20 * time.Millisecond) {
			assert.Assert(t, time.Since(began) < 5*time.Second, "the version is not loaded")
		}
		d.sendRequestsFor(time.Second)
		d.checkVersions(t, 1)
	})
}
