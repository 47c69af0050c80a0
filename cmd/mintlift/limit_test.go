// SPDX-License-Identifier: Apache-2.0

package main

import (
	"cmp"
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

	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/enginetest"
	"github.com/mintlift/mintlift/platform/storetest"
)

// Tolerance for an endpoint's rate limit. Once propagationTimeout has passed since the
// limit was set, all gateways together may send the endpoint at most
// limitFactor * rate * limitWindow + limitSlack requests within any limitWindow.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// Guards against gateways that ignore the rate limit in an engine's responses, or that
// each send requests up to the whole limit instead of sharing it.
func TestLimitIsSharedByAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, engines := startSignalingEngines(t, 3, 3)
		checkLimit(t, d, engines[0], enginePath, 2)
	})
}

// Checks other rates, among them 0, which allows no requests.
func TestLimitIsSharedAtOtherRates(t *testing.T) {
	for _, rate := range []float64{0, 0.4, 20} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d, engines := startSignalingEngines(t, 5, 2)
				checkLimit(t, d, engines[0], enginePath, rate)
			})
		})
	}
}

// Checks that gateways share the rate limit of an endpoint that has no sidecar of its
// own. The sidecar of some engine then allocates the endpoint's permits, which divide
// the limit among the gateways.
func TestLimitOfPlainEndpointIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := startSignalingEngines(t, 3, 2)
		limited := startPlainEndpoint(t, d)
		startPlainEndpoint(t, d)
		checkLimit(t, d, limited, plainPath, 2)
	})
}

// Paths of requests for engines, and for endpoints without a sidecar.
const (
	enginePath = "/s/x"
	plainPath  = "/p/x"
)

// checkLimit makes an endpoint signal a limit of rate requests per second, sends more
// than that, and checks that the limit is neither exceeded nor left unused.
func checkLimit(t *testing.T, d *engineDeployment, limited *signalingEndpoint, path string, rate float64) {
	t.Helper()
	limitSet := time.Now()
	limited.signals.Limit(rate)
	sent := d.sendLoad(path, propagationTimeout+2*limitWindow, 25*time.Millisecond)
	most := maxInWindow(limited.arrivals(), limitSet.Add(propagationTimeout), limitWindow)
	allowed := int(limitFactor*rate*limitWindow.Seconds()) + limitSlack
	demand := maxInWindow(sent.requests, limitSet.Add(propagationTimeout), limitWindow)
	t.Logf("at most %d of %d in %s, allowed %d; %d served", most, demand, limitWindow, allowed, sent.served)
	assert.Assert(t, most <= allowed, "%d in %s, allowed %d", most, limitWindow, allowed)
	// Gateways must also use the limit. The bound depends on the demand, because a
	// slow test process sends few requests.
	least := min(0.5*rate*limitWindow.Seconds(), 0.1*float64(demand))
	assert.Assert(t, float64(most) >= least, "%d of %d in %s", most, demand, limitWindow)
}

// sendLoad sends a request to each gateway at an interval, for a duration, and waits
// for the responses.
func (d *engineDeployment) sendLoad(path string, duration, interval time.Duration) (sent loadResult) {
	var responses sync.WaitGroup
	var served atomic.Int64
	for began, attempt := time.Now(), 0; time.Since(began) < duration; attempt++ {
		for n := range d.gateways {
			responses.Go(func() {
				if status, _ := d.sendToPath(path, n, fmt.Sprint("text-", attempt)); status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		for range d.gateways {
			sent.requests = append(sent.requests, arrival{at: time.Now()})
		}
		time.Sleep(interval)
	}
	responses.Wait()
	sent.served = int(served.Load())
	return sent
}

// loadResult is the result of sendLoad.
type loadResult struct {
	requests []arrival // time of sending only
	served   int       // responses with status 200
}

// maxInWindow returns the maximum number of arrivals in any window that starts with an
// arrival at from or later. The arrivals are in order of time.
func maxInWindow(arrivals []arrival, from time.Time, window time.Duration) int {
	most := 0
	for n, first := range arrivals {
		if first.at.Before(from) {
			continue
		}
		count := 0
		for _, a := range arrivals[n:] {
			if a.at.Sub(first.at) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// arrival is a request that reached an endpoint.
type arrival struct {
	at time.Time
	// gateway is the number of the gateway that sent the request.
	gateway string
	// status is the status of the response.
	status int
}

// signalingEndpoint is an endpoint that sends signals in its responses: a rate limit,
// draining or backoff.
type signalingEndpoint struct {
	deployment *engineDeployment
	id         string
	service    string
	address    string
	zone       string        // "z" if empty
	cold       time.Duration // how long the endpoint is cold, according to its entry

	signals enginetest.Signals

	mu   sync.Mutex
	seen []arrival
}

// startSignalingEngines starts gateways and engines on a network in memory. It must be
// called within a bubble of testing/synctest, so that the test does not depend on how
// fast the machine is. The engines send no signals until the test sets them.
func startSignalingEngines(t *testing.T, gateways, count int) (*engineDeployment, []*signalingEndpoint) {
	t.Helper()
	var started []*signalingEndpoint
	d := startEnginesWith(t, newMemoryNetwork(), gateways, count, func(d *engineDeployment, t *testing.T, ip, store string) {
		started = append(started, startSignalingEngine(t, d, ip, store))
	})
	return d, started
}

// startSignalingEngine starts an engine, which sends no signals yet, and its sidecar.
func startSignalingEngine(t *testing.T, d *engineDeployment, ip, store string) *signalingEndpoint {
	t.Helper()
	e := serveEndpoint(t, &signalingEndpoint{deployment: d, service: "e", address: net.JoinHostPort(ip, "8320")})
	startSidecarOn(t, d.on(ip), ip, store, e.address)
	return e
}

// startPlainEndpoint starts an endpoint without a sidecar.
func startPlainEndpoint(t *testing.T, d *engineDeployment) *signalingEndpoint {
	t.Helper()
	return serveEndpoint(t, &signalingEndpoint{deployment: d, service: "p", address: d.plainAddress()})
}

// plainAddress returns the address of the next endpoint without a sidecar.
func (d *engineDeployment) plainAddress() string {
	if d.memory == nil {
		return "127.0.0.1:0"
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plain++
	return fmt.Sprintf("10.78.2.%d:8320", d.plain)
}

// serveEndpoint starts an endpoint at its address and adds it to the endpoint list. The
// endpoint sends no signals yet.
func serveEndpoint(t *testing.T, e *signalingEndpoint) *signalingEndpoint {
	t.Helper()
	e.id = e.deployment.newIncarnationID()
	listener, err := e.deployment.listen(e.address)
	assert.NilError(t, err)
	e.address = listener.Addr().String()
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	e.writeEntry("ready")
	return e
}

// writeEntry writes the endpoint's entry in the endpoint list, with the state "ready" or
// "draining".
func (e *signalingEndpoint) writeEntry(state string) {
	models := ""
	if e.service == "e" {
		models = `,"models":[{"name":"m","version":1,"adapters":[]}]`
	}
	zone := cmp.Or(e.zone, "z")
	e.deployment.store.Put(storetest.Endpoints, e.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":16,"state":%q,"cold_remaining_ms":%d%s,"sequence":1}`, e.service, e.address, zone, state, e.cold.Milliseconds(), models))
}

// arrivals returns the requests that have reached the endpoint so far.
func (e *signalingEndpoint) arrivals() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.seen...)
}

// ServeHTTP implements http.Handler. Only responses to callers' requests carry the
// signals; the engine's report does not.
func (e *signalingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		_, _ = io.WriteString(w, `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":0}`)
		return
	}
	body, _ := io.ReadAll(r.Body) // an aborted request ends the response, too
	id := r.Header.Get(platform.Headers().RequestID)
	h := w.Header()
	h.Set(platform.Headers().RequestID, id)
	h.Set("Content-Type", "text/event-stream")
	status := http.StatusOK
	if e.signals.WriteHeader(h).Backoff > 0 {
		status = http.StatusServiceUnavailable
	}
	e.mu.Lock()
	e.seen = append(e.seen, arrival{at: time.Now(), gateway: gatewayFromID(id), status: status})
	e.mu.Unlock()
	if status != http.StatusOK {
		h.Set(platform.Headers().NotRun, "1")
		w.WriteHeader(status)
		return
	}
	h.Set(platform.Headers().Seal, "seal")
	if strings.HasPrefix(string(body), longBody) {
		h.Set(platform.Headers().Seal, "seal of "+e.id)
		writeLongStream(w)
		return
	}
	time.Sleep(5 * time.Millisecond)
	_, _ = io.WriteString(w, "id: 1\ndata: token\n\n")
}

// A request whose body begins with longBody gets a stream of longEvents events at an
// interval of longInterval.
const (
	longBody     = "long"
	longEvents   = 20
	longInterval = 100 * time.Millisecond
)

// writeLongStream writes the events of a long stream.
func writeLongStream(w http.ResponseWriter) {
	for n := range longEvents {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n+1)
		w.(http.Flusher).Flush()
		time.Sleep(longInterval)
	}
}

// gatewayFromID returns the number of the gateway that a request ID contains. The ID
// must come from engineDeployment.sendToPath.
func gatewayFromID(id string) string {
	parts := strings.SplitN(id, "-", 3)
	return parts[1]
}
