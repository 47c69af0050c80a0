// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
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

// startNarrowEndpoint starts an endpoint that serves each connection with serve, which may
// leave the request unread. Like those of an Ethernet, its connections do not take a long
// request at once.
func (g *testGateway) startNarrowEndpoint(id, service string, serve func(c *net.TCPConn)) {
	g.t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
		})
	}}
	listener, err := config.Listen(g.t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	r := fleet.Record{ID: id, Service: service, Address: listener.Addr().String(), Zone: "z"}
	if service == "engine" {
		r.Models = map[string]int{testModel: 1}
	}
	g.server.PutEndpoint(r)
}

// startResettingEndpoint starts an endpoint that sends an unframed response while it has not
// read the request, and then resets the connection.
func (g *testGateway) startResettingEndpoint(id, service, response string) {
	g.t.Helper()
	g.startNarrowEndpoint(id, service, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n\r\n%s", testHeaders.RequestID, r.Header.Get(testHeaders.RequestID), testHeaders.Seal, response)
		time.Sleep(100 * time.Millisecond)
		_ = c.SetLinger(0)
	})
}

// Guards against a response without a length that is reset while its request is still being
// sent, and that reaches the caller as a complete one or is not tried again where it may be.
func TestResetDuringRequestIsNoCompleteResponse(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for _, test := range []struct {
		path, service, response string
		status                  int
		whole                   bool // what the caller gets looks complete
	}{
		{"/unsafe/1", "plain", "half", http.StatusBadGateway, true},
		{"/safe/1", "plain", "half", http.StatusBadGateway, true},
		{"/stream/1", "engine", event, http.StatusOK, false},
		{"/stream/1", "engine", "", http.StatusBadGateway, true},
	} {
		t.Run(fmt.Sprint(test.path, " ", len(test.response)), func(t *testing.T) {
			t.Parallel()
			for range 4 { // in some, the read receives the error of the reset
				g := newTestGateway(t)
				g.configure(1)
				g.startResettingEndpoint("e", test.service, test.response)
				r, err := g.send(t.Context(), "POST", test.path, strings.Repeat("x", 1<<20))
				assert.NilError(t, err)
				_, err = io.ReadAll(r.Body)
				_ = r.Body.Close()
				assert.Equal(t, r.StatusCode, test.status)
				assert.Equal(t, err == nil, test.whole, "%v", err)
			}
		})
	}
	t.Run("tried again", func(t *testing.T) {
		t.Parallel()
		for range 4 {
			g := newTestGateway(t)
			g.configure(1)
			g.startResettingEndpoint("e", "plain", "half")
			g.startEndpoint("f", "plain", func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set(testHeaders.Seal, "seal")
				_, _ = io.WriteString(rw, "text")
			})
			r, body := g.do("POST", "/safe/1", strings.Repeat("x", 1<<20))
			assert.Equal(t, r.StatusCode, http.StatusOK)
			assert.Equal(t, body, "text")
		}
	})
}
