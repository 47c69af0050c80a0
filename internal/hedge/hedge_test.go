// SPDX-License-Identifier: Apache-2.0

package hedge

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Errors that calls return in the tests. Only errFinal is final: it ends Do without
// further calls.
const (
	errFirst = errors.ConstError("first")
	errFinal = errors.ConstError("final")
)

// blockUntilDone returns once ctx is done.
func blockUntilDone(ctx context.Context) (int, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// plan returns a plan with at most three calls in flight, the first further call after
// 1 s.
func plan() Plan { return Plan{Delay: time.Second, Interval: 500 * time.Millisecond, MaxInFlight: 3} }

// An unanswered call must be hedged after the delay, and no more than MaxInFlight
// calls may be in flight.
func TestUnansweredCallIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var peak, inFlight atomic.Int32
		got, err := Do(context.Background(), plan(), func(ctx context.Context, n int, _ func()) (int, error) {
			if n == 1 {
				return 7, nil
			}
			return blockUntilDone(ctx)
		})
		assert.NilError(t, err)
		assert.Equal(t, got, 7)
		assert.Equal(t, time.Since(start), time.Second)

		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, err = Do(ctx, plan(), func(ctx context.Context, _ int, _ func()) (int, error) {
			peak.Store(max(peak.Load(), inFlight.Add(1)))
			defer inFlight.Add(-1)
			return blockUntilDone(ctx)
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, peak.Load(), int32(3))
	})
}

// The response of a slow first call must be returned although further calls were
// started. No call may be started while the response is being received.
func TestSlowResponseIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		trigger := make(chan struct{}, 1)
		trigger <- struct{}{}
		p := plan()
		p.Trigger = trigger
		got, err := Do(context.Background(), p, func(ctx context.Context, n int, firstByte func()) (int, error) {
			calls.Add(1)
			if n > 0 {
				return blockUntilDone(ctx)
			}
			time.Sleep(1200 * time.Millisecond)
			firstByte()
			time.Sleep(10 * time.Second)
			return 5, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, got, 5)
		assert.Equal(t, calls.Load(), int32(3), "want one hedge by the trigger and one after the delay")
	})
}

// Do must return a final error at once, and any other error only if no call is in
// flight any more.
func TestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failed []error
		p := plan()
		p.OnFailure = func(err error) { failed = append(failed, err) }
		p.IsFinal = func(err error) bool { return errors.Is(err, errFinal) }
		_, err := Do(context.Background(), p, func(context.Context, int, func()) (int, error) { return 0, errFirst })
		assert.ErrorIs(t, err, errFirst)
		assert.Equal(t, len(failed), 0)

		got, err := Do(context.Background(), p, func(_ context.Context, n int, _ func()) (int, error) {
			if n == 0 {
				time.Sleep(1200 * time.Millisecond)
				return 0, errFirst
			}
			time.Sleep(400 * time.Millisecond)
			return n, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, got, 1)
		assert.DeepEqual(t, len(failed), 1)

		_, err = Do(context.Background(), p, func(ctx context.Context, n int, _ func()) (int, error) {
			if n == 0 {
				return blockUntilDone(ctx)
			}
			return 0, errFinal
		})
		assert.ErrorIs(t, err, errFinal)
	})
}
