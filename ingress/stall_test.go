// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/routing"
)

// maxStopDelay is how long a request may still run at its endpoint after its caller
// has disconnected.
const maxStopDelay = 500 * time.Millisecond

// stallProxy forwards connections to an endpoint. A call of stall makes the existing
// connections transfer nothing more in either direction, but leaves them open. New
// connections are forwarded.
type stallProxy struct {
	address string
	// stalls counts the calls of stall. A connection forwards only while the count
	// is the same as when it was opened.
	stalls atomic.Int64
}

// newStallProxy starts a proxy that forwards connections to the address to.
func newStallProxy(t testing.TB, to string) *stallProxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &stallProxy{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp4", to)
			if err != nil {
				_ = c.Close()
				continue
			}
			stallsAtOpen := p.stalls.Load()
			go p.forward(upstream, c, stallsAtOpen)
			go p.forward(c, upstream, stallsAtOpen)
		}
	}()
	return p
}

// forward copies from one connection to the other until the connection is closed.
func (p *stallProxy) forward(to, from net.Conn, stallsAtOpen int64) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if p.stalls.Load() != stallsAtOpen {
			if err != nil {
				return // the other side stays open
			}
			continue
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// stall makes the existing connections transfer nothing more.
func (p *stallProxy) stall() { p.stalls.Add(1) }

// putBehindProxy replaces an endpoint's address by that of a new stallProxy.
func (g *testGateway) putBehindProxy(id string) *stallProxy {
	r := g.records[id]
	p := newStallProxy(g.t, r.Address)
	g.server.RemoveEndpoint(id)
	r.Address = p.address
	g.records[id] = r
	g.server.PutEndpoint(r)
	return p
}

// listOnly removes all other endpoints from the list.
func (g *testGateway) listOnly(id string) {
	for other := range g.records {
		if other != id {
			g.server.RemoveEndpoint(other)
		}
	}
}

// If a connection to an endpoint stalls, a request that may be retried must be served by
// another endpoint in time.
func TestStalledConnectionIsDetected(t *testing.T) {
	for _, kind := range []string{"safe", "stream"} {
		t.Run(kind, func(t *testing.T) {
			g := newTestGateway(t)
			longRoutes := []*routing.Route{route(routing.Safe, "/patient-safe/", "plain", 2), route(routing.Streaming, "/patient-stream/", "engine", 2)}
			for _, r := range longRoutes {
				r.Timeout = 8 * time.Second
			}
			g.configure(1, longRoutes...)
			service, path, method := "plain", "/patient-safe/1", "GET"
			if kind == "stream" {
				service, path, method = "engine", "/patient-stream/1", "POST"
			}
			arrived := make(chan struct{}, 1)
			release := make(chan struct{})
			defer close(release)
			g.startEndpoint("a", service, func(http.ResponseWriter, *http.Request) {
				arrived <- struct{}{}
				<-release
			})
			proxy := g.putBehindProxy("a")
			g.startEndpoint("b", service, respondEvents(lastEvent, lastEvent))
			g.listOnly("a")
			go func() {
				<-arrived
				proxy.stall()
				g.server.PutEndpoint(g.records["b"])
			}()
			response, body := g.do(method, path, "", withHeader(testHeaders.Deadline, "8000"))
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, body, eventsText(lastEvent))
		})
	}
}

// A stream that stalls after its first event must be resumed at another endpoint, even
// while its endpoint's box still sends load reports.
func TestStalledStreamResumesElsewhere(t *testing.T) {
	g := newTestGateway(t)
	longRoute := route(routing.Streaming, "/patient/", "engine", 2)
	longRoute.Timeout = time.Minute
	g.configure(1, longRoute)
	release := make(chan struct{})
	defer close(release)
	var first atomic.Value
	h := func(rw http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(nil, r.Header.Get(testHeaders.ExpectEndpoint)) {
			rw.Header().Set(testHeaders.Seal, "s")
			_, _ = io.WriteString(rw, "id: 1\ndata: token 1\n\n")
			rw.(http.Flusher).Flush()
			<-release
			return
		}
		respondEvents(lastEvent, lastEvent)(rw, r)
	}
	g.startEndpoint("a", "engine", h)
	g.startEndpoint("b", "engine", h)
	reporting := time.NewTicker(50 * time.Millisecond)
	defer reporting.Stop()
	go func() {
		for range reporting.C {
			for _, r := range g.records {
				g.server.HandleReport(fleet.Report{Address: r.Address, Model: testModel, Version: 1, Running: 1}, -1)
			}
		}
	}()
	_, body := g.do("POST", "/patient/1", "x", withHeader(testHeaders.Deadline, "60000"))
	assert.Equal(t, body, eventsText(lastEvent))
}

// A stream must count as stalled sooner after its first event than before it, and sooner
// if nothing arrives from the endpoint's box.
func TestStreamStallTimeouts(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "engine", respondOK(""))
	now := time.Now()
	g.server.HandleReport(fleet.Report{Address: g.records["a"].Address, Model: testModel, Version: 1}, -1)
	e := g.server.fleet.Endpoints("engine")[0]
	idle := nextEventTimeout + idleCheckInterval
	assert.Assert(t, idle < firstEventTimeout)
	assert.Assert(t, !g.server.streamStalled(e, idle, eventTimeout(false), now))
	assert.Assert(t, g.server.streamStalled(e, idle, eventTimeout(true), now))
	assert.Assert(t, g.server.streamStalled(e, idle, eventTimeout(false), now.Add(2*boxStallTimeout)), "nothing arrives from the whole box")
}

// When a connection to an endpoint stalls, the idle connections to it must not be reused,
// since they may be stalled as well.
func TestIdleConnectionsAreClosedAfterAStall(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	var stall atomic.Bool
	release := make(chan struct{})
	defer close(release)
	g.startEndpoint("a", "plain", func(rw http.ResponseWriter, r *http.Request) {
		if stall.Load() {
			<-release
			return
		}
		time.Sleep(20 * time.Millisecond)
		respondOK("x")(rw, r)
	})
	proxy := g.putBehindProxy("a")
	g.startEndpoint("b", "plain", respondOK("x"))
	g.listOnly("a")
	answered := make(chan struct{}, 4)
	for n := range cap(answered) { // concurrent, so each opens its own connection
		go func() {
			g.do("GET", fmt.Sprintf("/safe/%d", n), "")
			answered <- struct{}{}
		}()
	}
	for range cap(answered) {
		<-answered
	}
	stall.Store(true)
	proxy.stall()
	g.server.PutEndpoint(g.records["b"])
	g.listOnly("a")
	g.do("GET", "/safe/silent", "")
	stall.Store(false)
	time.Sleep(failureBackoff)
	response, _ := g.do("GET", "/safe/after", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// failureBackoff is longer than the period for which an endpoint gets no requests after a
// failed attempt.
const failureBackoff = 600 * time.Millisecond

// If the caller closes its connection, the request must stop at the endpoint within
// maxStopDelay. The shortest of several delays counts, since the machine may be busy.
func TestCallerCloseStopsEndpoint(t *testing.T) {
	for path, service := range map[string]string{"/safe/1": "plain", "/unsafe/1": "plain", "/stream/1": "engine"} {
		t.Run(path, func(t *testing.T) {
			const tries = 5
			shortest := time.Hour
			for range tries {
				shortest = min(shortest, cancelDelay(t, path, service))
			}
			assert.Assert(t, shortest < maxStopDelay, "stopped after %v", shortest)
		})
	}
}

// cancelDelay returns the time from the caller's close to the end of its request at
// the endpoint.
func cancelDelay(t *testing.T, path, service string) time.Duration {
	g := newTestGateway(t)
	g.configure(1)
	running := make(chan struct{})
	ended := make(chan time.Time, 1)
	g.startEndpoint("a", service, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testHeaders.Seal, "s")
		if service == "engine" {
			_, _ = io.WriteString(rw, "id: 1\ndata: x\n\n")
			rw.(http.Flusher).Flush()
		}
		close(running)
		<-r.Context().Done()
		ended <- time.Now()
	})
	ctx, cancel := context.WithCancel(context.Background())
	answered := make(chan string, 1)
	go func() {
		response, err := g.send(ctx, "POST", path, "x")
		if err == nil {
			_, _ = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		answered <- fmt.Sprint(response, err)
	}()
	select {
	case <-running:
	case text := <-answered:
		t.Fatalf("the request did not run: %s", text)
	}
	closed := time.Now()
	cancel()
	return (<-ended).Sub(closed)
}

// A request that is read after its caller has disconnected must not be sent to an
// endpoint.
func TestRequestOfDisconnectedCallerIsNotSent(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "plain", respondOK("x"))
	g.startEndpoint("b", "engine", respondEvents(lastEvent, lastEvent))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	const callers = 40
	for n := range callers {
		c, err := net.Dial("tcp4", l.Addr().String())
		assert.NilError(t, err)
		line, path := "GET", "/safe/1"
		if n%2 == 0 {
			line, path = "POST", "/stream/1"
		}
		_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n%s: id-%d\r\nContent-Length: 0\r\n\r\n", line, path, testKey, testHeaders.RequestID, n)
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
	done := make(chan struct{}, callers)
	front := &http.Server{ConnContext: ConnContext, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		defer func() {
			done <- struct{}{}
			if p := recover(); p != nil {
				panic(p)
			}
		}()
		g.server.ServeHTTP(rw, r)
	})}
	go func() { _ = front.Serve(l) }()
	defer front.Close()
	for range callers {
		<-done
	}
	assert.Equal(t, len(g.requests()), 0)
}

// exhaustibleListener simulates a process without free file descriptors: while
// exhausted is set, Accept fails with EMFILE.
type exhaustibleListener struct {
	net.Listener
	exhausted atomic.Bool
}

// Accept implements net.Listener.
func (l *exhaustibleListener) Accept() (net.Conn, error) {
	if l.exhausted.Load() {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A gateway must be unready while it cannot accept connections, and become ready again
// afterwards.
func TestNotReadyWhileAcceptFails(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "plain", respondOK("x"))
	g.server.SetEndpoints([]fleet.Record{g.records["a"]})
	assert.Assert(t, g.server.Ready())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &exhaustibleListener{Listener: l}
	listener.exhausted.Store(true)
	// The simulated error must not look like a real one in the log of a passing run.
	simulated := log.New(t.Output(), "simulated: ", 0)
	front := &http.Server{ConnContext: ConnContext, Handler: g.server, ErrorLog: simulated}
	go func() { _ = front.Serve(g.server.WatchAccepts(listener)) }()
	defer front.Close()
	for began := time.Now(); g.server.Ready(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 20*time.Second)
	}
	listener.exhausted.Store(false)
	for began := time.Now(); !g.server.Ready(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 30*time.Second)
	}
}

// With the only endpoint at capacity and many callers, a gateway must still accept and
// answer each request.
func TestConnectionsAreAcceptedUnderLoad(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	release := make(chan struct{})
	defer close(release)
	g.startEndpoint("a", "engine", func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	g.server.SetEndpoints([]fleet.Record{g.records["a"]})
	const callers = 200
	answered := make(chan error, callers)
	for range callers {
		go func() { answered <- g.sendOnce() }()
	}
	for range callers {
		assert.NilError(t, <-answered)
	}
	assert.Assert(t, g.server.Ready())
}

// sendOnce sends a streaming request on a new connection and reads the first line
// of the response.
func (g *testGateway) sendOnce() error {
	c, err := net.DialTimeout("tcp4", strings.TrimPrefix(g.address, "http://"), 10*time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST /stream/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n%s: x\r\nContent-Length: 0\r\n\r\n", testKey, testHeaders.RequestID); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return err
	}
	if !strings.HasPrefix(line, "HTTP/1.1 ") {
		return errors.Errorf("answered %q", line)
	}
	return nil
}
