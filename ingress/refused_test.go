// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/routing"
)

// respondAfterRunning responds with a status after the request has run, without saying
// that it has not.
func respondAfterRunning(status int, seal bool) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		if seal {
			w.Header().Set(testHeaders.Seal, "seal")
		}
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(status)
	}
}

// A request that must run at most once may be refused as "not run" only if it has not run:
// wherever an attempt ends, the status must not promise that otherwise.
func TestRefusalIsTrueWhereverAnAttemptEnds(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testHeaders.Seal, "seal")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	}
	for _, test := range []struct {
		name string
		h    handler
		ran  bool
		want []int
	}{
		{"the endpoint says not run", respondNotRun, false, []int{503}},
		{"another endpoint has the address", respondStatus(http.StatusMisdirectedRequest), false, []int{503}},
		{"connection lost after the request", abortConnection, true, []int{502}},
		{"response cut short", truncate, true, []int{502}},
		{"no response until the deadline", hang, true, []int{502, 504}},
		{"success without a seal", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }, true, []int{502}},
		{"encoded success", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testHeaders.Seal, "seal")
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "x")
		}, true, []int{502}},
		{"503 that does not say not run", respondAfterRunning(503, true), true, []int{502}},
		{"503 without a seal", respondAfterRunning(503, false), true, []int{502}},
		{"429 that does not say not run", respondAfterRunning(429, true), true, []int{502}},
		{"408 that does not say not run", respondAfterRunning(408, true), true, []int{502}},
		{"500", respondAfterRunning(500, true), true, []int{500}},
		{"504", respondAfterRunning(504, true), true, []int{504}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			once := route(routing.Streaming, "/once/", "engine", 3)
			once.Resumable = false
			for _, path := range []string{"/unsafe/x", "/unsafe3/x", "/once/x"} {
				g := newTestGateway(t)
				g.configure(1, route(routing.Unsafe, "/unsafe3/", "plain", 3), once)
				g.startEndpoint("a", "plain", test.h)
				g.startEndpoint("b", "engine", test.h)
				response, body := g.do("POST", path, "x", withHeader(testHeaders.Deadline, "600"))
				assert.Check(t, contains(test.want, response.StatusCode), "%s: %d %s", path, response.StatusCode, body)
				assert.Check(t, !test.ran || !promisesNotRun(response.StatusCode), "%s: %d", path, response.StatusCode)
				if response.StatusCode == http.StatusBadGateway {
					assert.Check(t, response.Header.Get(testHeaders.Seal) == "", "the seal is of another response")
				}
			}
		})
	}
}

// contains reports whether list contains status.
func contains(list []int, status int) bool {
	for _, s := range list {
		if s == status {
			return true
		}
	}
	return false
}

// A request that reached no endpoint has not run, and its caller must be told so.
func TestUnreachableEndpointIsNotRun(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	g.server.PutEndpoint(fleet.Record{ID: "gone", Service: "plain", Address: l.Addr().String(), Zone: "z"})
	response, body := g.do("POST", "/unsafe/x", "x")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, body)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
}

// A body that does not arrive in time has reached no endpoint: 408 is true.
func TestIncompleteBodyIsNotRun(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "plain", respondOK("a"))
	c, err := net.Dial("tcp4", strings.TrimPrefix(g.address, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\nContent-Length: 10\r\n\r\nhalf", testKey)
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(bodyReadTimeout+2*time.Second)))
	head := make([]byte, 12)
	_, err = io.ReadFull(c, head)
	assert.NilError(t, err)
	assert.Equal(t, string(head), "HTTP/1.1 408")
	assert.Equal(t, len(g.requests()), 0)
}
