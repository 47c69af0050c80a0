// SPDX-License-Identifier: Apache-2.0

// Package stall ends calls whose answers stop coming. A call over a narrow
// link may take long and yet come through; one that brings nothing for a
// while will not, and a bound on the whole of it would throw away what has
// arrived.
package stall

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
)

// Err is the cause of a context that a Guard ended.
const Err = errors.ConstError("no byte came for too long")

// Guard ends a context when nothing has come for a limit.
type Guard struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// New returns a context that ends, with Err as its cause, when first has
// passed without a byte, or limit between two. Stop must follow.
func New(ctx context.Context, first, limit time.Duration) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancel(Err) })
	return ctx, &Guard{limit: limit, timer: timer, cancel: cancel}
}

// Alive notes that something came.
func (g *Guard) Alive() { g.timer.Reset(g.limit) }

// Stop ends the guard and its context.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(nil)
}

// Reader returns a reader of from whose every byte shows that the call is
// alive.
func (g *Guard) Reader(from io.Reader) io.Reader { return &reader{guard: g, from: from} }

type reader struct {
	guard *Guard
	from  io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if n > 0 {
		r.guard.Alive()
	}
	return n, err
}

// Cause returns Err in the place of err if a Guard ended ctx.
func Cause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), Err) {
		return Err
	}
	return err
}
