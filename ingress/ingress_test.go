// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/routing"
)

// A gateway without a configuration must be unready, and must refuse requests so that
// callers retry them.
func TestRefusedWithoutConfiguration(t *testing.T) {
	g := newTestGateway(t)
	r, _ := g.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, r.Header.Get("Retry-After") != "")
	assert.Assert(t, !g.server.Ready())
}

// A request must be denied if no route matches its path, or if its route is not public
// and it has no known API key. Each response must carry the request's ID.
func TestRouteAndKeyMatching(t *testing.T) {
	g := newTestGateway(t)
	public := route(routing.Safe, "/public/", "plain", 1)
	public.Public = true
	g.configure(1, public)
	g.startEndpoint("a", "plain", respondOK("body"))
	for _, test := range []struct {
		path   string
		option requestOption
		want   int
	}{
		{"/none/", withHeader("X", "y"), http.StatusNotFound},
		{"/safe/1", withHeader("Authorization", "Bearer other"), http.StatusUnauthorized},
		{"/safe/1", withHeader("Authorization", ""), http.StatusUnauthorized},
		{"/safe/1", withHeader("X", "y"), http.StatusOK},
		{"/public/1", withHeader("Authorization", ""), http.StatusOK},
	} {
		r, _ := g.do("GET", test.path, "", test.option)
		assert.Equal(t, r.StatusCode, test.want, test.path)
		assert.Equal(t, r.Header.Get(testHeaders.RequestID), "id-"+test.path)
	}
}

// While the configuration may be outdated, a request for a route or key that it lacks
// must get a retryable refusal, since a newer configuration may contain it.
func TestStaleConfigurationRefusesInsteadOfDenying(t *testing.T) {
	g := newTestGateway(t)
	current := false
	g.server.settings.Current = func() bool { return current }
	g.configure(1)
	g.startEndpoint("a", "plain", respondOK("body"))
	r, _ := g.do("GET", "/none/", "")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, r.Header.Get("Retry-After") != "")
	r, _ = g.do("GET", "/safe/1", "", withHeader("Authorization", "Bearer other"))
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	r, _ = g.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusOK, "configured requests are served")
	current = true
	r, _ = g.do("GET", "/none/", "")
	assert.Equal(t, r.StatusCode, http.StatusNotFound)
}

// An older configuration that arrives late must be ignored, and a key that a newer one
// lacks must be rejected.
func TestOnlyNewerConfigurationsApply(t *testing.T) {
	g := newTestGateway(t)
	g.configure(5, route(routing.Safe, "/new/", "plain", 1))
	g.startEndpoint("a", "plain", respondOK("body"))
	g.configure(4)
	r, _ := g.do("GET", "/new/1", "")
	assert.Equal(t, r.StatusCode, http.StatusOK)
	g.server.Apply(routing.New(6, []*routing.Route{route(routing.Safe, "/new/", "plain", 1)}, nil, []*routing.Workspace{{Name: "x", Keys: []string{"k"}}}, routing.Limits{}))
	r, _ = g.do("GET", "/new/1", "")
	assert.Equal(t, r.StatusCode, http.StatusUnauthorized)
}

// The target, body and other headers of a request must reach the endpoint unchanged. The
// caller's API key, hop-by-hop headers, and headers that only gateways may set must not.
func TestRequestIsForwardedUnaltered(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "plain", respondOK("body"))
	r, body := g.do("POST", "/unsafe//%2Fx?a=b&&c", "text",
		withHeader("X-Other", "kept"), withHeader(testHeaders.Workspace, "forged"), withHeader(testHeaders.ExpectEndpoint, "forged"), withHeader("Connection", "X-Hop"), withHeader("X-Hop", "gone"))
	assert.Equal(t, r.StatusCode, http.StatusOK)
	assert.Equal(t, body, "body")
	assert.Equal(t, r.Header.Get(testHeaders.Seal), "seal")
	got := g.requests()[0]
	assert.Equal(t, got.method+" "+got.uri+" "+got.body, "POST /unsafe//%2Fx?a=b&&c text")
	assert.Equal(t, got.header.Get("X-Other"), "kept")
	assert.Equal(t, got.header.Get(testHeaders.Workspace), "w")
	assert.Equal(t, got.header.Get(testHeaders.ExpectEndpoint), "a")
	assert.Equal(t, got.header.Get("Authorization"), "")
	assert.Equal(t, got.header.Get("X-Hop"), "")
	left, err := strconv.Atoi(got.header.Get(testHeaders.Deadline))
	assert.NilError(t, err)
	assert.Assert(t, left > 1500 && left <= 2000, "deadline %d", left)
}

// The remaining time that is sent to an endpoint must not exceed the route's timeout,
// even if the caller would wait longer.
func TestDeadlineIsCappedByRouteTimeout(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "plain", respondOK("body"))
	g.do("GET", "/safe/1", "", withHeader(testHeaders.Deadline, "60000"))
	left, err := strconv.Atoi(g.requests()[0].header.Get(testHeaders.Deadline))
	assert.NilError(t, err)
	assert.Assert(t, left <= 2000, "deadline %d", left)
}

// An unsafe request must be sent only once, whatever the response. The refusal must be
// retryable only if the request has certainly not run.
func TestUnsafeIsSentOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		h    handler
		want int
	}{
		{"breaks", abortConnection, http.StatusBadGateway},
		{"fails", respondStatus(500), 500},
		{"without seal", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }, http.StatusBadGateway},
		{"encoded", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			respondOK("x")(w, r)
		}, http.StatusBadGateway},
		{"foreign", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testHeaders.RequestID, "other")
			respondOK("x")(w, r)
		}, http.StatusGatewayTimeout}, // the response to this request may still arrive
		{"short", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			respondOK("x")(w, r)
		}, http.StatusBadGateway},
		{"rejects", respondNotRun, http.StatusServiceUnavailable},
		{"misdirected", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, http.StatusServiceUnavailable},
		{"slow", func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, http.StatusGatewayTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t)
			g.configure(1)
			g.startEndpoint("a", "plain", test.h)
			g.startEndpoint("b", "plain", test.h)
			r, _ := g.do("POST", "/unsafe/1", "x")
			assert.Equal(t, r.StatusCode, test.want)
			assert.Equal(t, len(g.requests()), 1)
			assert.Equal(t, r.Header.Get("Retry-After") != "", test.want == http.StatusServiceUnavailable)
			assert.Equal(t, r.Header.Get(testHeaders.Seal) != "", test.want == 500)
		})
	}
}

// Even if the route allows more attempts, an unsafe request must not be retried unless
// it has certainly not run.
func TestUnsafeIsRetriedOnlyIfNotRun(t *testing.T) {
	const attempts = 3
	for _, test := range []struct {
		name string
		path string
		h    handler
		want int // requests that endpoints received
	}{
		{"breaks", "/several/1", abortConnection, 1},
		{"fails", "/several/1", respondStatus(500), 1},
		{"short", "/several/1", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			respondOK("x")(w, r)
		}, 1},
		{"rejects", "/several/1", respondNotRun, 2},
		{"stream breaks before its first event", "/once/1", abortConnection, 1},
		{"stream fails", "/once/1", respondStatus(500), 1},
		{"stream is rejected", "/once/1", respondNotRun, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t)
			once := route(routing.Streaming, "/once/", "engine", attempts)
			once.Resumable = false
			g.configure(1, route(routing.Unsafe, "/several/", "plain", attempts), once)
			for _, id := range []string{"a", "b"} {
				g.startEndpoint(id, "plain", test.h)
				g.startEndpoint(id+"-engine", "engine", test.h)
			}
			_, _ = g.do("POST", test.path, "x")
			assert.Equal(t, len(g.requests()), test.want)
		})
	}
}

// A request with a prefill time longer than the target latency must be served late
// instead of refused.
func TestLargePromptIsServedLate(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "engine", respondEvents(3, 3))
	large := withHeader(testHeaders.TokenUsage, "60000,10") // prefill takes 3 s
	r, body := g.do("POST", "/stream/1", "x", large)
	assert.Equal(t, r.StatusCode, http.StatusOK)
	assert.Equal(t, body, eventsText(3))
}

// A safe request must be retried at another endpoint if the first one closes the
// connection, responds with an error or does not run it.
func TestSafeIsRetriedElsewhere(t *testing.T) {
	for name, h := range map[string]handler{"breaks": abortConnection, "fails": respondStatus(500), "rejects": respondNotRun} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.configure(1)
			g.startEndpoint("a", "plain", h)
			g.startEndpoint("b", "plain", respondOK("body"))
			for range 6 {
				r, body := g.do("GET", "/safe/1", "")
				assert.Equal(t, r.StatusCode, http.StatusOK)
				assert.Equal(t, body, "body")
			}
		})
	}
}

// A request must get no more attempts than its route allows.
func TestAttemptsAreBounded(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	for _, id := range []string{"a", "b", "c"} {
		g.startEndpoint(id, "plain", respondStatus(500))
	}
	r, _ := g.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, 500)
	assert.Equal(t, len(g.requests()), 2)
}

// The number of retries must stay within the retry budget if all attempts fail.
func TestRetriesAreBounded(t *testing.T) {
	g := newTestGateway(t)
	g.server.settings.Budget.Slack = 8
	g.configure(1)
	g.startEndpoint("a", "plain", respondStatus(500))
	g.startEndpoint("b", "plain", respondStatus(500))
	const requests = 60
	for range requests {
		g.do("GET", "/safe/1", "")
	}
	retries := len(g.requests()) - requests
	assert.Assert(t, retries > 0 && retries <= requests/5+8, "%d retries", retries)
}

// An endpoint that the list marks as draining must get no requests, even if it is the
// only one left.
func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "plain", respondOK("a"))
	g.startEndpoint("b", "plain", respondOK("b"))
	draining := g.records["a"]
	draining.Draining = true
	g.server.PutEndpoint(draining)
	for range 5 {
		_, body := g.do("GET", "/safe/1", "")
		assert.Equal(t, body, "b")
	}
	g.server.RemoveEndpoint("b")
	r, _ := g.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
}

// A service without endpoints must refuse requests before the caller's deadline.
func TestRefusalIsNotDelayed(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	began := time.Now()
	r, _ := g.do("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0 && after < 3)
	assert.Assert(t, time.Since(began) < 1900*time.Millisecond, "refused after %s", time.Since(began))
}

// A request for which all endpoints are draining must be refused without waiting.
func TestUnservableIsRefusedAtOnce(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "engine", respondEvents(lastEvent, lastEvent))
	draining := g.records["a"]
	draining.Draining = true
	g.server.PutEndpoint(draining)
	maxWait := time.Duration(maxWaitShare * float64(1500*time.Millisecond))
	shortest := time.Hour
	for range 5 { // the shortest of several tries, as the machine may be busy
		began := time.Now()
		r, _ := g.do("POST", "/stream/1", "x")
		assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
		shortest = min(shortest, time.Since(began))
	}
	assert.Assert(t, shortest < maxWait/2, "refused after %s", shortest)
}

// A request whose body exceeds the configured limit must be denied with 413.
func TestBodyTooLarge(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	r, _ := g.do("POST", "/unsafe/1", strings.Repeat("x", 1<<20+1))
	assert.Equal(t, r.StatusCode, http.StatusRequestEntityTooLarge)
}

// If the caller disconnects, the attempt at the endpoint must be canceled.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	for _, path := range []string{"/safe/1", "/stream/1"} {
		g := newTestGateway(t)
		g.configure(1)
		stopped := make(chan struct{})
		h := func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(stopped)
		}
		g.startEndpoint("a", "plain", h)
		g.startEndpoint("b", "engine", h)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := g.send(ctx, "GET", path, "")
		cancel()
		assert.Assert(t, err != nil)
		select {
		case <-stopped:
		case <-time.After(time.Second):
			t.Fatalf("%s: the endpoint still runs the request", path)
		}
	}
}

// A stopping gateway must be unready but serve requests, until it refuses new ones.
func TestStopping(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "plain", respondOK("body"))
	g.server.SetEndpoints([]fleet.Record{g.records["a"]})
	assert.Assert(t, g.server.Ready())
	g.server.StartStopping()
	assert.Assert(t, !g.server.Ready())
	r, _ := g.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusOK, "a stopping gateway still serves")
	assert.Assert(t, r.Close, "it closes the connection")
	g.server.Refuse()
	r, _ = g.do("POST", "/unsafe/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(g.requests()), 1)
}

// After an endpoint has responded with 421, because its list entry is outdated, it must
// get no further requests.
func TestMisdirectedEndpointIsAvoided(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "plain", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusMisdirectedRequest) })
	g.startEndpoint("b", "plain", respondOK("b"))
	for range 8 {
		r, _ := g.do("GET", "/safe/1", "")
		assert.Equal(t, r.StatusCode, http.StatusOK)
	}
	misdirected := 0
	for _, got := range g.requests() {
		if got.endpoint == "a" {
			misdirected++
		}
	}
	assert.Assert(t, misdirected <= 1, "%d attempts at a misdirected endpoint", misdirected)
}
