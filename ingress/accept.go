// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
)

// acceptFailureHold is how long a gateway reports itself unready after it failed to
// accept a connection. Within this time the platform's readiness probes fail twice,
// after which it sends new callers to other gateways.
const acceptFailureHold = 2500 * time.Millisecond

// acceptState records whether callers' connections can be accepted.
type acceptState struct {
	// lastFailure is the time of the last failed accept, in Unix nanoseconds.
	lastFailure atomic.Int64
}

// recentlyFailed reports whether an accept failed within acceptFailureHold.
func (a *acceptState) recentlyFailed(now time.Time) bool {
	return now.UnixNano()-a.lastFailure.Load() < int64(acceptFailureHold)
}

// WatchAccepts wraps the listener for callers' connections. If the gateway cannot accept
// a connection, for example because it has no file descriptors left, it closes its idle
// connections to endpoints and is unready for acceptFailureHold.
func (s *Server) WatchAccepts(l net.Listener) net.Listener {
	return &watchedListener{Listener: l, server: s}
}

// watchedListener is a listener that reports failed accepts to the server, which then
// frees connections and becomes unready for a while.
type watchedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.server.acceptState.lastFailure.Store(clock.Now().UnixNano())
		l.server.pool.CloseAllIdle()
		l.server.events.Error(err, "cannot accept connection")
	}
	return c, err
}
