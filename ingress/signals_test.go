// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/routing"
)

// Headers with which the test endpoints send signals.
const (
	drainingHeader = "Test-Draining"
	backoffHeader  = "Test-Backoff" // seconds
	limitHeader    = "Test-Limit"   // requests a second
)

// decodeSignals makes the gateway decode the signals of the test endpoints.
func (g *testGateway) decodeSignals() {
	g.server.settings.DecodeSignal = func(_ int, h http.Header) backpressure.Signal {
		signal := backpressure.Signal{Draining: h.Get(drainingHeader) != ""}
		if s, err := strconv.ParseFloat(h.Get(backoffHeader), 64); err == nil {
			signal.Backoff = time.Duration(s * float64(time.Second))
		}
		if rate, err := strconv.ParseFloat(h.Get(limitHeader), 64); err == nil {
			signal.Limit = backpressure.Limited(rate)
		}
		return signal
	}
}

// addHeader responds as h does, with an additional header.
func addHeader(name, value string, h handler) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		h(w, r)
	}
}

// requestsTo counts the requests that an endpoint received.
func (g *testGateway) requestsTo(id string) int {
	count := 0
	for _, s := range g.requests() {
		if s.endpoint == id {
			count++
		}
	}
	return count
}

// Signals, such as draining, in a 421 response must be ignored, since they may come from
// another endpoint that has taken over the address.
func TestMisdirectedResponseSignalsAreIgnored(t *testing.T) {
	g := newTestGateway(t)
	g.decodeSignals()
	g.configure(1)
	misdirected := true
	g.startEndpoint("a", "plain", func(rw http.ResponseWriter, r *http.Request) {
		if misdirected {
			addHeader(drainingHeader, "1", respondStatus(http.StatusMisdirectedRequest))(rw, r)
			return
		}
		respondOK("body")(rw, r)
	})
	g.do("GET", "/safe/1", "")
	misdirected = false
	r := g.records["a"]
	r.Slots++
	r.Models = map[string]int{"other": 1} // the changed entry makes the endpoint eligible again
	g.server.PutEndpoint(r)
	got, _ := g.do("GET", "/safe/1", "")
	assert.Equal(t, got.StatusCode, http.StatusOK)
}

// While all endpoints of a service are draining or have asked for backoff, requests must
// be refused at once, and Retry-After must cover the time until an endpoint may accept
// requests again.
func TestClosedServicesRefuseAtOnce(t *testing.T) {
	const backoff = 30.0
	for _, test := range []struct {
		signal, value                string
		h                            handler
		cause                        string
		minRetryAfter, maxRetryAfter float64 // of Retry-After
	}{
		{drainingHeader, "1", respondOK("body"), "are draining", 0.1, 3},
		{backoffHeader, fmt.Sprint(backoff), respondNotRun, "want backoff", maxRetryAfterClosed.Seconds(), maxRetryAfterClosed.Seconds() + 3},
		{backoffHeader, "1.5", respondNotRun, "want backoff", 1.2, 4},
	} {
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/"} {
			t.Run(test.signal+test.value+path, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					g := newVirtualGateway(t, fleet.Place{Zone: "z"})
					g.decodeSignals()
					g.configure(1)
					for n := range 2 {
						g.startEndpoint(fmt.Sprint("p", n), "plain", addHeader(test.signal, test.value, test.h))
						g.startEndpoint(fmt.Sprint("e", n), "engine", addHeader(test.signal, test.value, test.h))
					}
					for n := range 4 { // until both endpoints have sent the signal
						g.do("POST", path+strconv.Itoa(n), "")
					}
					before := len(g.requests())
					for _, deadline := range []string{"2000", "900"} {
						// A caller that is refused and tries again has less time left, so the
						// gateway takes the request with the shorter deadline for a retry.
						began := time.Now()
						r, body := g.do("POST", path+"x", "", withHeader(testHeaders.Deadline, deadline))
						took := time.Since(began)
						assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
						assert.Assert(t, len(body) > 0 && strings.HasPrefix(body, "all endpoints "+test.cause+": "), body)
						assert.Equal(t, took, time.Duration(0))
						after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
						assert.NilError(t, err)
						assert.Assert(t, after >= test.minRetryAfter && after <= test.maxRetryAfter, "%f s", after)
					}
					assert.Equal(t, len(g.requests()), before)
				})
			})
		}
	}
}

// An endpoint's Retry-After must not be forwarded to the caller, since another endpoint
// may serve the caller's retry sooner.
func TestEndpointBackoffIsNotPassedToCallers(t *testing.T) {
	g := newTestGateway(t)
	g.decodeSignals()
	g.configure(1, route(routing.Safe, "/safe1/", "plain", 1))
	failing := addHeader("Retry-After", "600", addHeader(backoffHeader, "600", respondStatus(http.StatusServiceUnavailable)))
	g.startEndpoint("a", "plain", failing)
	r, _ := g.do("POST", "/safe1/1", "")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, r.Header.Get(testHeaders.Seal), "seal")
	g.startEndpoint("b", "plain", respondOK("body"))
	g.startEndpoint("c", "plain", failing)
	for n := 0; g.requestsTo("c") == 0; n++ {
		r, _ = g.do("POST", fmt.Sprint("/safe1/x", n), "")
	}
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after < 5, "%f s", after)
}

// A waiting request must be refused as soon as all endpoints are draining.
func TestWaitersAreRefusedWhenAllClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVirtualGateway(t, fleet.Place{Zone: "z"})
		g.decodeSignals()
		g.configure(1)
		g.startEndpoint("e", "engine", respondOK("body"))
		g.server.HandleReport(fleet.Report{Address: g.records["e"].Address, Model: testModel, Version: 1, Running: 100}, 0)
		const closeDelay = 60 * time.Millisecond
		time.AfterFunc(closeDelay, func() {
			g.server.MergeEndpointSignals([]backpressure.Record{{ID: "e", Draining: true, LimitAgeMS: -1}})
		})
		began := time.Now()
		r, body := g.do("POST", "/stream/1", "")
		took := time.Since(began)
		assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, body, "all endpoints are draining: e is one\n")
		assert.Equal(t, took, closeDelay)
	})
}

// A waiting request must be served when an endpoint's backoff ends.
func TestWaiterIsServedWhenBackoffEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVirtualGateway(t, fleet.Place{Zone: "z"})
		g.decodeSignals()
		g.configure(1)
		backingOff := true
		g.startEndpoint("a", "plain", func(rw http.ResponseWriter, r *http.Request) {
			if backingOff {
				backingOff = false
				addHeader(backoffHeader, "0.15", respondNotRun)(rw, r)
				return
			}
			respondOK("body")(rw, r)
		})
		g.do("GET", "/unsafe/1", "")
		began := time.Now()
		r, _ := g.do("GET", "/safe/1", "")
		assert.Equal(t, r.StatusCode, http.StatusOK)
		assert.Equal(t, time.Since(began), 150*time.Millisecond)
		assert.Equal(t, g.requestsTo("a"), 2)
	})
}

// A request must not be written to an endpoint that has started to drain, requested a
// backoff or set a limit of 0 after it was chosen.
func TestSignalsAreCheckedBeforeWriting(t *testing.T) {
	for _, signal := range []backpressure.Signal{{Draining: true}, {Backoff: time.Minute}, {Limit: backpressure.Limited(0)}} {
		g := newTestGateway(t)
		g.decodeSignals()
		g.configure(1)
		g.startEndpoint("a", "plain", respondOK("body"))
		e := g.server.fleet.ByID("a")
		a := &attempt{exchange: &exchange{server: g.server}, endpoint: e}
		assert.Assert(t, g.server.stillEligible(a))
		now := time.Now()
		e.Signals.Observe(signal, now, now)
		assert.Assert(t, !g.server.stillEligible(a), "%+v", signal)
	}
}
