// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
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

// Bounds of a limit that an endpoint names: from contact after it first did so, it
// gets in any limitWindow at most limitFactor times what it allows, and limitSlack
// more, from all gateways together.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// Seen: two engines of a zone named a limit of 2 requests a second, and went on
// getting 3 to 9 a second, 22 in 4 s where 17 were allowed. They turned nothing
// away.
//
// How it came about: an engine in need names its limit in its answers, on each of
// them. Gateways passed the answers on, and chose by the list of endpoints, the
// sidecars' reports and what they had in flight.
//
// Cause: no part of a gateway read the signal. Shown by the flow, which does not
// change when the signal comes, at no gateway, and by this test.
func TestLimitIsSharedByAllGateways(t *testing.T) {
	t.Parallel()
	d, talkers := startSignalingEngines(t, 3, 3)
	checkLimit(t, d, talkers[0], enginePath, 2)
}

// The same at other limits, one of which lets nothing through.
func TestLimitIsSharedAtOtherRates(t *testing.T) {
	for _, rate := range []float64{0, 0.4, 20} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			d, talkers := startSignalingEngines(t, 5, 2)
			checkLimit(t, d, talkers[0], enginePath, rate)
		})
	}
}

// The same at an endpoint beside which no sidecar is: that of an engine deals its
// limit out.
func TestLimitOfPlainEndpointIsShared(t *testing.T) {
	t.Parallel()
	d, _ := startSignalingEngines(t, 3, 2)
	limited := startPlainEndpoint(t, d)
	startPlainEndpoint(t, d)
	checkLimit(t, d, limited, plainPath, 2)
}

// Paths of requests for engines, and for endpoints beside which no sidecar is.
const (
	enginePath = "/s/x"
	plainPath  = "/p/x"
)

// checkLimit lets an endpoint name a limit under more demand than that, and checks
// that it is kept, and used.
func checkLimit(t *testing.T, d *engineDeployment, limited *signalingEndpoint, path string, rate float64) {
	t.Helper()
	named := time.Now()
	limited.signals.Limit(rate)
	asked := d.sendLoad(path, propagationTimeout+2*limitWindow, 25*time.Millisecond)
	most := maxInWindow(limited.arrivals(), named.Add(propagationTimeout), limitWindow)
	allowed := int(limitFactor*rate*limitWindow.Seconds()) + limitSlack
	demand := maxInWindow(asked.requests, named.Add(propagationTimeout), limitWindow)
	t.Logf("at most %d of %d in %s, allowed %d; %d served", most, demand, limitWindow, allowed, asked.served)
	assert.Assert(t, most <= allowed, "%d in %s, allowed %d", most, limitWindow, allowed)
	// It is not left alone either: the limit is what it takes of all that is asked, if
	// so much is asked; a process that stands still asks nothing.
	least := min(0.5*rate*limitWindow.Seconds(), 0.1*float64(demand))
	assert.Assert(t, float64(most) >= least, "%d of %d in %s", most, demand, limitWindow)
}

// sendLoad sends a request to each gateway each time that every has passed, for so
// long, and waits for the answers.
// It returns what it sent, and how much of it was served.
func (d *engineDeployment) sendLoad(path string, long, every time.Duration) (asked loadResult) {
	var answers sync.WaitGroup
	var served atomic.Int64
	for began, try := time.Now(), 0; time.Since(began) < long; try++ {
		for n := range d.gateways {
			answers.Go(func() {
				if status, _ := d.sendToPath(path, n, fmt.Sprint("text-", try)); status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		for range d.gateways {
			asked.requests = append(asked.requests, arrival{at: time.Now()})
		}
		time.Sleep(every)
	}
	answers.Wait()
	asked.served = int(served.Load())
	return asked
}

// loadResult is what press sent, and how much of it was served.
type loadResult struct {
	requests []arrival
	served   int
}

// maxInWindow returns the most arrivals in any window that begins at from or later.
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
	// gateway sent it.
	gateway string
	// status is what it was answered.
	status int
}

// signalingEndpoint is an endpoint that says something of itself in its answers.
type signalingEndpoint struct {
	deployment *engineDeployment
	id         string
	service    string
	address    string

	signals enginetest.Signals

	mu   sync.Mutex
	seen []arrival
}

// startSignalingEngines starts gateways and engines that say nothing yet.
func startSignalingEngines(t *testing.T, gateways, count int) (*engineDeployment, []*signalingEndpoint) {
	t.Helper()
	var talkers []*signalingEndpoint
	d := startEnginesWith(t, gateways, count, func(d *engineDeployment, t *testing.T, ip, store string) {
		talkers = append(talkers, startSignalingEngine(t, d, ip, store))
	})
	return d, talkers
}

func startSignalingEngine(t *testing.T, d *engineDeployment, ip, store string) *signalingEndpoint {
	t.Helper()
	e := serveEndpoint(t, &signalingEndpoint{deployment: d, service: "e", address: net.JoinHostPort(ip, "8320")})
	startSidecar(t, ip, store, e.address)
	return e
}

// startPlainEndpoint starts an endpoint beside which no sidecar is.
func startPlainEndpoint(t *testing.T, d *engineDeployment) *signalingEndpoint {
	t.Helper()
	return serveEndpoint(t, &signalingEndpoint{deployment: d, service: "p", address: "127.0.0.1:0"})
}

// serveEndpoint starts a talker that says nothing yet, and lists it.
func serveEndpoint(t *testing.T, e *signalingEndpoint) *signalingEndpoint {
	t.Helper()
	e.id = e.deployment.newIncarnationID()
	listener, err := net.Listen("tcp4", e.address)
	assert.NilError(t, err)
	e.address = listener.Addr().String()
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	e.writeEntry("ready")
	return e
}

// writeEntry writes the endpoint's entry into the list.
func (e *signalingEndpoint) writeEntry(state string) {
	models := ""
	if e.service == "e" {
		models = `,"models":[{"name":"m","version":1,"adapters":[]}]`
	}
	e.deployment.store.Put(storetest.Endpoints, e.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":16,"state":%q,"cold_remaining_ms":0%s,"sequence":1}`, e.service, e.address, state, models))
}

func (e *signalingEndpoint) arrivals() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.seen...)
}

// ServeHTTP implements http.Handler. What the engine says stands in answers to
// callers' requests alone, not in its report.
func (e *signalingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		_, _ = io.WriteString(w, `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":0}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a caller that leaves ends the answer too
	id := r.Header.Get(platform.Headers().RequestID)
	h := w.Header()
	h.Set(platform.Headers().RequestID, id)
	h.Set("Content-Type", "text/event-stream")
	status := http.StatusOK
	if e.signals.Say(h).Backoff > 0 {
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
	time.Sleep(5 * time.Millisecond)
	_, _ = io.WriteString(w, "id: 1\ndata: token\n\n")
}

// gatewayFromID returns the gateway to which engines.try sent the request of an id.
func gatewayFromID(id string) string {
	parts := strings.SplitN(id, "-", 3)
	return parts[1]
}
