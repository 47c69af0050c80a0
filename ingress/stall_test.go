// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
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

// stopBound is how long a request may go on at its endpoint after its caller
// has left.
const maxStopDelay = 500 * time.Millisecond

// muteProxy forwards connections to an endpoint until it is muted: from then
// on open ones bring nothing either way, without being closed, while new ones
// work.
type stallProxy struct {
	address string
	// era counts the mutings; a connection forwards only in its own.
	stalls atomic.Int64
}

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

func (p *stallProxy) forward(to, from net.Conn, stallsAtOpen int64) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if p.stalls.Load() != stallsAtOpen {
			continue // swallowed, also the end
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

func (p *stallProxy) stall() { p.stalls.Add(1) }

// behind puts an endpoint's address behind a proxy.
func (w *testGateway) putBehindProxy(id string) *stallProxy {
	r := w.records[id]
	p := newStallProxy(w.t, r.Address)
	w.server.RemoveEndpoint(id)
	r.Address = p.address
	w.records[id] = r
	w.server.PutEndpoint(r)
	return p
}

// prefer takes all endpoints but one off the list.
func (w *testGateway) listOnly(id string) {
	for other := range w.records {
		if other != id {
			w.server.RemoveEndpoint(other)
		}
	}
}

// A connection that goes silent with a request on it is found, and a request
// that may be repeated is answered by another endpoint in time.
func TestStalledConnectionIsDetected(t *testing.T) {
	for _, kind := range []string{"safe", "stream"} {
		t.Run(kind, func(t *testing.T) {
			w := newTestGateway(t)
			longRoutes := []*routing.Route{route(routing.Safe, "/patient-safe/", "plain", 2), route(routing.Streaming, "/patient-stream/", "engine", 2)}
			for _, r := range longRoutes {
				r.Timeout = 8 * time.Second
			}
			w.configure(1, longRoutes...)
			service, path, method := "plain", "/patient-safe/1", "GET"
			if kind == "stream" {
				service, path, method = "engine", "/patient-stream/1", "POST"
			}
			arrived := make(chan struct{}, 1)
			release := make(chan struct{})
			defer close(release)
			w.startEndpoint("a", service, func(http.ResponseWriter, *http.Request) {
				arrived <- struct{}{}
				<-release
			})
			proxy := w.putBehindProxy("a")
			w.startEndpoint("b", service, respondEvents(lastEvent, lastEvent))
			w.listOnly("a")
			go func() {
				<-arrived
				proxy.stall()
				w.server.PutEndpoint(w.records["b"])
			}()
			response, body := w.do(method, path, "", withHeader(testHeaders.Deadline, "8000"))
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, body, eventsText(lastEvent))
		})
	}
}

// A stream that has brought events and stops goes on elsewhere before its
// caller leaves, also while its endpoint's box is heard.
func TestStalledStreamResumesElsewhere(t *testing.T) {
	w := newTestGateway(t)
	longRoute := route(routing.Streaming, "/patient/", "engine", 2)
	longRoute.Timeout = time.Minute
	w.configure(1, longRoute)
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
	w.startEndpoint("a", "engine", h)
	w.startEndpoint("b", "engine", h)
	reporting := time.NewTicker(50 * time.Millisecond)
	defer reporting.Stop()
	go func() {
		for range reporting.C {
			for _, r := range w.records {
				w.server.Heard(fleet.Report{Address: r.Address, Model: testModel, Version: 1, Running: 1}, -1)
			}
		}
	}()
	_, body := w.do("POST", "/patient/1", "x", withHeader(testHeaders.Deadline, "60000"))
	assert.Equal(t, body, eventsText(lastEvent))
}

// One that has brought events is moved sooner than one that has not, whose
// engine may have no slot yet.
func TestStreamStallTimeouts(t *testing.T) {
	w := newTestGateway(t)
	w.configure(1)
	w.startEndpoint("a", "engine", respondOK(""))
	now := time.Now()
	w.server.Heard(fleet.Report{Address: w.records["a"].Address, Model: testModel, Version: 1}, -1)
	e := w.server.fleet.Endpoints("engine")[0]
	idle := nextEventTimeout + idleCheckInterval
	assert.Assert(t, idle < firstEventTimeout)
	assert.Assert(t, !w.server.streamStalled(e, idle, eventTimeout(false), now))
	assert.Assert(t, w.server.streamStalled(e, idle, eventTimeout(true), now))
	assert.Assert(t, w.server.streamStalled(e, idle, eventTimeout(false), now.Add(2*boxSilenceTimeout)), "the whole box is silent")
}

// After one connection to an endpoint went silent, those that rest are not
// used any more: each would hold up a request as long.
func TestIdleConnectionsAreClosedAfterAStall(t *testing.T) {
	w := newTestGateway(t)
	w.configure(1)
	var stall atomic.Bool
	release := make(chan struct{})
	defer close(release)
	w.startEndpoint("a", "plain", func(rw http.ResponseWriter, r *http.Request) {
		if stall.Load() {
			<-release
			return
		}
		time.Sleep(20 * time.Millisecond)
		respondOK("x")(rw, r)
	})
	proxy := w.putBehindProxy("a")
	w.startEndpoint("b", "plain", respondOK("x"))
	w.listOnly("a")
	answered := make(chan struct{}, 4)
	for n := range cap(answered) { // each on a connection of its own
		go func() {
			w.do("GET", fmt.Sprintf("/safe/%d", n), "")
			answered <- struct{}{}
		}()
	}
	for range cap(answered) {
		<-answered
	}
	stall.Store(true)
	proxy.stall()
	w.server.PutEndpoint(w.records["b"])
	w.listOnly("a")
	w.do("GET", "/safe/silent", "")
	stall.Store(false)
	time.Sleep(failureBackoff)
	response, _ := w.do("GET", "/safe/after", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// openAgain is longer than an endpoint is left alone after one failure.
const failureBackoff = 600 * time.Millisecond

// A caller that closes its connection stops its request at the endpoint. On a
// machine that is busy with other things one of several tries shows it.
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

// closeToStop is the time from a caller's close to the end of its request at
// the endpoint.
func cancelDelay(t *testing.T, path, service string) time.Duration {
	w := newTestGateway(t)
	w.configure(1)
	running := make(chan struct{})
	ended := make(chan time.Time, 1)
	w.startEndpoint("a", service, func(rw http.ResponseWriter, r *http.Request) {
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
	go func() {
		if response, err := w.send(ctx, "POST", path, "x"); err == nil {
			_, _ = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
	}()
	<-running
	closed := time.Now()
	cancel()
	return (<-ended).Sub(closed)
}

// A request that is read after its caller has left reaches no endpoint.
func TestRequestOfDisconnectedCallerIsNotSent(t *testing.T) {
	w := newTestGateway(t)
	w.configure(1)
	w.startEndpoint("a", "plain", respondOK("x"))
	w.startEndpoint("b", "engine", respondEvents(lastEvent, lastEvent))
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
		w.server.ServeHTTP(rw, r)
	})}
	go func() { _ = front.Serve(l) }()
	defer front.Close()
	for range callers {
		<-done
	}
	assert.Equal(t, len(w.requests()), 0)
}

// scarceListener has no descriptors left for a while.
type exhaustibleListener struct {
	net.Listener
	exhausted atomic.Bool
}

func (l *exhaustibleListener) Accept() (net.Conn, error) {
	if l.exhausted.Load() {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A gateway that cannot take connections says that it is not ready, and is
// ready again once it can.
func TestNotReadyWhileAcceptFails(t *testing.T) {
	w := newTestGateway(t)
	w.configure(1)
	w.startEndpoint("a", "plain", respondOK("x"))
	w.server.SetEndpoints([]fleet.Record{w.records["a"]})
	assert.Assert(t, w.server.Ready())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &exhaustibleListener{Listener: l}
	listener.exhausted.Store(true)
	front := &http.Server{ConnContext: ConnContext, Handler: w.server}
	go func() { _ = front.Serve(w.server.Accepting(listener)) }()
	defer front.Close()
	for began := time.Now(); w.server.Ready(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 20*time.Second)
	}
	listener.exhausted.Store(false)
	for began := time.Now(); !w.server.Ready(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 30*time.Second)
	}
}

// While many callers press and all endpoints are taken, a ready gateway takes
// each new connection, and answers what it cannot serve.
func TestConnectionsAreAcceptedUnderLoad(t *testing.T) {
	w := newTestGateway(t)
	w.configure(1)
	release := make(chan struct{})
	defer close(release)
	w.startEndpoint("a", "engine", func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	w.server.SetEndpoints([]fleet.Record{w.records["a"]})
	const callers = 200
	answered := make(chan error, callers)
	for range callers {
		go func() { answered <- w.sendOnce() }()
	}
	for range callers {
		assert.NilError(t, <-answered)
	}
	assert.Assert(t, w.server.Ready())
}

// askOnce asks for a stream on a new connection and reads the first line of
// an answer.
func (w *testGateway) sendOnce() error {
	c, err := net.DialTimeout("tcp4", strings.TrimPrefix(w.address, "http://"), 10*time.Second)
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
