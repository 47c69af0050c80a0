// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
)

// acceptPause is how long a gateway calls itself unready after it could not
// take a connection: as long as the platform needs for its two misses, so that
// new callers go elsewhere until there are descriptors again.
const acceptFailureHold = 2500 * time.Millisecond

// accepts is whether callers' connections can be taken.
type acceptState struct {
	// failed is when one could not be taken last, in Unix nanoseconds.
	lastFailure atomic.Int64
}

func (a *acceptState) recentlyFailed(now time.Time) bool {
	return now.UnixNano()-a.lastFailure.Load() < int64(acceptFailureHold)
}

// Accepting watches the listener for callers: a gateway that cannot take a
// connection, for want of descriptors, gives up the connections to endpoints
// that rest, and calls itself unready.
func (s *Server) Accepting(l net.Listener) net.Listener {
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
		l.server.pool.ForgetAll()
		l.server.events.Error(err, "connection of a caller not taken")
	}
	return c, err
}
