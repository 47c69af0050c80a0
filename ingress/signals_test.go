// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
)

// Headers by which endpoints of these tests speak of themselves.
const (
	drainingHeader = "Test-Draining"
	backoffHeader  = "Test-Backoff" // seconds
	limitHeader    = "Test-Limit"   // requests a second
)

// listen lets the gateway understand what endpoints say of themselves.
func (w *testGateway) decodeSignals() {
	w.server.settings.Signal = func(_ int, h http.Header) backpressure.Signal {
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

// says answers as h does, with one more header.
func addHeader(name, value string, h handler) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(name, value)
		h(w, r)
	}
}

// to counts the requests that an endpoint got.
func (w *testGateway) requestsTo(id string) int {
	count := 0
	for _, s := range w.requests() {
		if s.endpoint == id {
			count++
		}
	}
	return count
}

// An endpoint of which another one at its address says something is not meant.
func TestMisdirectedResponseSignalsAreIgnored(t *testing.T) {
	w := newTestGateway(t)
	w.decodeSignals()
	w.configure(1)
	misdirected := true
	w.startEndpoint("a", "plain", func(rw http.ResponseWriter, r *http.Request) {
		if misdirected {
			addHeader(drainingHeader, "1", respondStatus(http.StatusMisdirectedRequest))(rw, r)
			return
		}
		respondOK("body")(rw, r)
	})
	w.do("GET", "/safe/1", "")
	misdirected = false
	r := w.records["a"]
	r.Slots++
	r.Models = map[string]int{"other": 1} // the list tells something new of it
	w.server.PutEndpoint(r)
	got, _ := w.do("GET", "/safe/1", "")
	assert.Equal(t, got.StatusCode, http.StatusOK)
}

// Where all endpoints drain or backoff, callers observe so at once, and when one may take
// requests again; also those that were refused before.
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
				w := newTestGateway(t)
				w.decodeSignals()
				w.configure(1)
				for n := range 2 {
					w.startEndpoint(fmt.Sprint("p", n), "plain", addHeader(test.signal, test.value, test.h))
					w.startEndpoint(fmt.Sprint("e", n), "engine", addHeader(test.signal, test.value, test.h))
				}
				for n := range 4 { // until both have said it
					w.do("POST", path+strconv.Itoa(n), "")
				}
				before := len(w.requests())
				for _, deadline := range []string{"2000", "900"} { // the second has come back
					began := time.Now()
					r, body := w.do("POST", path+"x", "", withHeader(testHeaders.Deadline, deadline))
					assert.Assert(t, time.Since(began) < 50*time.Millisecond, "after %s", time.Since(began))
					assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
					assert.Assert(t, len(body) > 0 && strings.HasPrefix(body, "all endpoints "+test.cause+": "), body)
					after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
					assert.NilError(t, err)
					assert.Assert(t, after >= test.minRetryAfter && after <= test.maxRetryAfter, "%f s", after)
				}
				assert.Equal(t, len(w.requests()), before)
			})
		}
	}
}

// The time for which an endpoint wants backoff of this gateway is not told to a caller
// who gets that endpoint's answer: another endpoint may serve the next try.
func TestEndpointBackoffIsNotPassedToCallers(t *testing.T) {
	w := newTestGateway(t)
	w.decodeSignals()
	w.configure(1)
	failing := addHeader("Retry-After", "600", addHeader(backoffHeader, "600", respondStatus(http.StatusServiceUnavailable)))
	w.startEndpoint("a", "plain", failing)
	r, _ := w.do("POST", "/unsafe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, r.Header.Get(testHeaders.Seal), "seal")
	w.startEndpoint("b", "plain", respondOK("body"))
	w.startEndpoint("c", "plain", failing)
	for n := 0; w.requestsTo("c") == 0; n++ {
		r, _ = w.do("POST", fmt.Sprint("/unsafe/x", n), "")
	}
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after < 5, "%f s", after)
}

// A request that waits when the last endpoint closes is refused then.
func TestWaitersAreRefusedWhenAllClose(t *testing.T) {
	w := newTestGateway(t)
	w.decodeSignals()
	w.configure(1)
	w.startEndpoint("e", "engine", respondOK("body"))
	w.server.Heard(fleet.Report{Address: w.records["e"].Address, Model: testModel, Version: 1, Running: 100}, 0)
	const closeDelay = 60 * time.Millisecond
	time.AfterFunc(closeDelay, func() {
		w.server.HeardEndpoints([]backpressure.Record{{ID: "e", Draining: true, LimitAgeMS: -1}})
	})
	began := time.Now()
	r, body := w.do("POST", "/stream/1", "")
	took := time.Since(began)
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, body, "all endpoints are draining: for example e\n")
	assert.Assert(t, took > closeDelay && took < closeDelay+50*time.Millisecond, "after %s", took)
}

// A backoff that ends while a request waits lets it through.
func TestWaiterIsServedWhenBackoffEnds(t *testing.T) {
	w := newTestGateway(t)
	w.decodeSignals()
	w.configure(1)
	backingOff := true
	w.startEndpoint("a", "plain", func(rw http.ResponseWriter, r *http.Request) {
		if backingOff {
			backingOff = false
			addHeader(backoffHeader, "0.15", respondNotRun)(rw, r)
			return
		}
		respondOK("body")(rw, r)
	})
	w.do("GET", "/unsafe/1", "")
	began := time.Now()
	r, _ := w.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusOK)
	assert.Assert(t, time.Since(began) > 50*time.Millisecond && time.Since(began) < time.Second, "after %s", time.Since(began))
	assert.Equal(t, w.requestsTo("a"), 2)
}

// While a request waits for its connection its endpoint may say that it drains or
// backoffs: it is not sent there then.
func TestSignalsAreCheckedBeforeWriting(t *testing.T) {
	for _, signal := range []backpressure.Signal{{Draining: true}, {Backoff: time.Minute}, {Limit: backpressure.Limited(0)}} {
		w := newTestGateway(t)
		w.decodeSignals()
		w.configure(1)
		w.startEndpoint("a", "plain", respondOK("body"))
		e := w.server.fleet.ByID("a")
		x := &exchange{server: w.server}
		assert.Assert(t, w.server.stillEligible(x, e))
		now := time.Now()
		e.Signals.Observe(signal, now, now)
		assert.Assert(t, !w.server.stillEligible(x, e), "%+v", signal)
	}
}
