// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
)

// acceptFailureHold is how long a gateway reports itself unready after a failed
// accept. It covers the two missed probes after which the platform sends new
// callers elsewhere.
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

// WatchAccepts wraps the listener for callers. If accepting fails, such as when
// file descriptors run out, the gateway closes its idle connections to endpoints
// and becomes unready for acceptFailureHold.
func (s *Server) WatchAccepts(l net.Listener) net.Listener {
	return &watchedListener{Listener: l, server: s}
}

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
