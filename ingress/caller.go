// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"net"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/tcpconn"
)

// connContextKey is the context key of the caller's connection.
type connContextKey struct{}

// ConnContext stores the caller's connection in the context of its requests, for
// callerLeft. It must be set as http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// callerLeft reports whether the caller has closed its connection. It checks the socket
// in addition to the request's context, because net/http cancels the context in another
// goroutine, which may be too late to keep the request from being sent.
func (x *exchange) callerLeft() bool {
	ctx := x.request.Context()
	if ctx.Err() != nil {
		return true
	}
	c, _ := ctx.Value(connContextKey{}).(net.Conn)
	return c != nil && tcpconn.Closed(c)
}

// finished reports whether no further attempt may be made because the time is up or
// the caller has disconnected.
func (x *exchange) finished(ctx context.Context) bool { return ctx.Err() != nil || x.callerLeft() }

// abandoned reports whether the caller has left or its time is up. What the kernel has not
// delivered of an attempt must then be dropped: an engine whose box was frozen would receive
// it long afterwards.
func (x *exchange) abandoned() bool {
	return x.request.Context().Err() != nil || !clock.Now().Before(x.expiresAt)
}
