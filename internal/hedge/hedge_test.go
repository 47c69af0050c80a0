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

const (
	errFirst = errors.ConstError("first")
	errFinal = errors.ConstError("final")
)

// never waits until its context ends.
func never(ctx context.Context) (int, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func plan() Plan { return Plan{After: time.Second, Interval: 500 * time.Millisecond, Most: 3} }

// A call that is never answered costs the time until the next one, and no
// more than Most are in progress.
func TestSilentCallIsMadeAgainBeside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var most, now atomic.Int32
		got, err := Do(context.Background(), plan(), func(ctx context.Context, n int, _ func()) (int, error) {
			if n == 1 {
				return 7, nil
			}
			return never(ctx)
		})
		assert.NilError(t, err)
		assert.Equal(t, got, 7)
		assert.Equal(t, time.Since(began), time.Second)

		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, err = Do(ctx, plan(), func(ctx context.Context, _ int, _ func()) (int, error) {
			most.Store(max(most.Load(), now.Add(1)))
			defer now.Add(-1)
			return never(ctx)
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, most.Load(), int32(3))
	})
}

// A slow answer is had though others were asked for, and none is asked for
// while it comes.
func TestSlowAnswerIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		wake := make(chan struct{}, 1)
		wake <- struct{}{}
		p := plan()
		p.Now = wake
		got, err := Do(context.Background(), p, func(ctx context.Context, n int, begun func()) (int, error) {
			calls.Add(1)
			if n > 0 {
				return never(ctx)
			}
			time.Sleep(1200 * time.Millisecond)
			begun()
			time.Sleep(10 * time.Second)
			return 5, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, got, 5)
		assert.Equal(t, calls.Load(), int32(3), "one at once, one after a second of silence")
	})
}

// An error counts once no other call is in progress, unless it is final.
func TestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failed []error
		p := plan()
		p.Failed = func(err error) { failed = append(failed, err) }
		p.Final = func(err error) bool { return errors.Is(err, errFinal) }
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
				return never(ctx)
			}
			return 0, errFinal
		})
		assert.ErrorIs(t, err, errFinal)
	})
}
