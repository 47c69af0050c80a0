// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"net"

	"github.com/mintlift/mintlift/internal/tcpconn"
)

// connKey is the key of a caller's connection in its requests' contexts.
type connContextKey struct{}

// ConnContext lets a request look at the connection on which it came; it is
// an http.Server's ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// callerLeft reports whether the caller has closed its connection. net/http
// ends a request's context once it has noticed that, in a goroutine of its own:
// a request that is read late, its caller's close right behind it, would reach
// an endpoint first.
func (x *exchange) callerLeft() bool {
	ctx := x.request.Context()
	if ctx.Err() != nil {
		return true
	}
	c, _ := ctx.Value(connContextKey{}).(net.Conn)
	return c != nil && tcpconn.Closed(c)
}

// over reports whether no further attempt is to be made: the time is up, or
// the caller has left.
func (x *exchange) finished(ctx context.Context) bool { return ctx.Err() != nil || x.callerLeft() }
