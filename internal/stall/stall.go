// SPDX-License-Identifier: Apache-2.0

// Package stall cancels calls whose responses have stalled. A timeout for the whole
// call would also cancel a slow transfer that makes progress; a Guard limits only
// the time without a byte.
package stall

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
)

// ErrStalled is the cause of a context that a Guard has cancelled.
const ErrStalled = errors.ConstError("no byte received within the stall timeout")

// Guard cancels a context when no byte has arrived for longer than a limit. Use New.
type Guard struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// New returns a context and its guard. The guard cancels the context, with ErrStalled as
// the cause, if the first byte takes longer than first, or if the time between two later
// bytes exceeds limit. The caller must call Stop.
func New(ctx context.Context, first, limit time.Duration) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancel(ErrStalled) })
	return ctx, &Guard{limit: limit, timer: timer, cancel: cancel}
}

// Progress records that bytes have arrived. From now on, the limit applies to the time
// until the next call.
func (g *Guard) Progress() { g.timer.Reset(g.limit) }

// Stop stops the guard and cancels its context.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(nil)
}

// Reader returns a reader of source that calls Progress for each read that returns
// bytes.
func (g *Guard) Reader(source io.Reader) io.Reader { return &reader{guard: g, source: source} }

// reader calls Progress of guard for each read that returns bytes.
type reader struct {
	guard  *Guard
	source io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	if n > 0 {
		r.guard.Progress()
	}
	return n, err
}

// Cause returns ErrStalled if err was caused by a Guard, that is, if err is not nil
// and a Guard has cancelled ctx because of a stall. Else it returns err.
func Cause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), ErrStalled) {
		return ErrStalled
	}
	return err
}
