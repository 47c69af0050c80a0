// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/routing"
)

// startFrozenEndpoint adds the plain endpoint "frozen", whose requests stay in the kernel until
// thaw is closed. ended receives the error of reading the request, nil at its end.
func (g *testGateway) startFrozenEndpoint() (thaw chan<- struct{}, ended <-chan error) {
	g.t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		_ = c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		return err
	}}
	l, err := config.Listen(g.t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(g.t, err)
	g.t.Cleanup(func() { _ = l.Close() })
	thawed, result := make(chan struct{}), make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			defer c.Close()
			<-thawed
			_, err = io.Copy(io.Discard, c)
		}
		result <- err
	}()
	g.server.PutEndpoint(fleet.Record{ID: "frozen", Service: "plain", Address: l.Addr().String(), Zone: "z"})
	return thawed, result
}

// Guards against a request that the kernel still delivers after its caller has left or its
// time is up: an endpoint that was frozen for 5 s received requests 2 s after that.
func TestUndeliveredRequestIsDroppedWhenCallerLeaves(t *testing.T) {
	// The request has been sent by then, also on a busy machine.
	const short = 2 * time.Second
	for _, test := range []struct {
		name            string
		caller, timeout time.Duration // how long the caller waits, and the route's timeout
	}{{"caller leaves", short, time.Minute}, {"time is up", time.Minute, short}} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t)
			r := route(routing.Safe, "/frozen/", "plain", 1)
			r.Timeout, r.TargetLatency = test.timeout, test.timeout
			g.configure(1, r)
			thaw, ended := g.startFrozenEndpoint()
			ctx, cancel := context.WithTimeout(t.Context(), test.caller)
			defer cancel()
			_, err := g.send(ctx, "POST", "/frozen/1", strings.Repeat("x", 1<<20))
			assert.Equal(t, err != nil, test.caller == short, "%v", err)
			for inFlight := 1; inFlight > 0; time.Sleep(time.Millisecond) {
				g.server.mu.Lock()
				inFlight = g.server.fleet.ByID("frozen").InFlight()
				g.server.mu.Unlock()
			}
			close(thaw)
			err = <-ended
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		})
	}
}
