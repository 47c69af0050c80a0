// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/quarantine"
)

// unframed returns a handler whose responses have neither a length nor chunks. It sends the
// parts of a response, and then crashes the endpoint if that is set.
func unframed(crashes bool, parts ...string) func(http.ResponseWriter, *http.Request, string, func()) {
	return func(rw http.ResponseWriter, _ *http.Request, _ string, crash func()) {
		rw.Header().Set("Transfer-Encoding", "identity")
		for _, part := range parts {
			_, _ = io.WriteString(rw, part)
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(10 * time.Millisecond)
		}
		if crashes {
			crash()
		}
	}
}

// A response that ends with its connection must be complete if its endpoint still runs, and
// broken off if the endpoint has crashed: the crash must then count against the request, and
// the response must not look complete.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for _, test := range []struct {
		path, service string
		crashes       bool
		parts         []string
		status        int
		complete      bool
	}{
		{"/safe/1", "plain", false, []string{"te", "xt"}, http.StatusOK, true},
		{"/safe/1", "plain", true, []string{"te", "xt"}, http.StatusBadGateway, true},
		{"/safe/1", "plain", true, []string{""}, http.StatusBadGateway, true},
		{"/stream/1", "engine", false, []string{event}, http.StatusOK, true},
		{"/stream/1", "engine", true, []string{event}, http.StatusOK, false},
		{"/stream/1", "engine", true, []string{event, "id: 2\nda"}, http.StatusOK, false},
		{"/stream/1", "engine", false, []string{event, "id: 2\nda"}, http.StatusOK, false},
		{"/stream/1", "engine", true, []string{""}, http.StatusBadGateway, true},
	} {
		t.Run(fmt.Sprint(test.path, " crashes ", test.crashes, " ", len(test.parts)), func(t *testing.T) {
			g := newTestGateway(t)
			g.configure(1)
			g.startCrashableEndpoint("e", test.service, unframed(test.crashes, test.parts...))
			r, err := g.send(t.Context(), "POST", test.path, "text")
			assert.NilError(t, err)
			defer func() { _ = r.Body.Close() }()
			_, err = io.ReadAll(r.Body)
			assert.Equal(t, r.StatusCode, test.status)
			assert.Equal(t, err == nil, test.complete, "%v", err)
			s := g.server.suspects.Status(quarantine.Traits{Identity: requestIdentity(test.path, "text")}, time.Now())
			assert.Equal(t, s.Suspected(), test.crashes)
		})
	}
}

// The process of an endpoint that drains may end right after its last response, which is
// complete.
func TestLastResponseOfDrainingEndpointIsComplete(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	drain := func(rw http.ResponseWriter, r *http.Request, body string, crash func()) {
		list, _ := g.server.List()
		record := list.Records[0]
		record.Draining = true
		g.server.PutEndpoint(record)
		unframed(true, "id: 1\ndata: a\n\n")(rw, r, body, crash)
	}
	g.startCrashableEndpoint("e", "engine", drain)
	r, body := g.do("POST", "/stream/1", "text")
	assert.Equal(t, r.StatusCode, http.StatusOK)
	assert.Equal(t, body, "id: 1\ndata: a\n\n")
}
