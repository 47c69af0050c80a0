// SPDX-License-Identifier: Apache-2.0

package stall

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// limit is the time without progress after which the tests' guards cancel the context.
const limit = 60 * time.Millisecond

func TestStallCancelsContext(t *testing.T) {
	ctx, guard := New(context.Background(), limit, time.Hour)
	defer guard.Stop()
	<-ctx.Done()
	assert.Assert(t, errors.Is(Cause(ctx, ctx.Err()), ErrStalled))
}

// A response that makes progress must not be cancelled, however long it takes. The time is
// virtual: on a loaded machine a real pause of a sixth of the limit exceeded the limit.
func TestSlowResponseIsNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, guard := New(context.Background(), limit, limit)
		defer guard.Stop()
		from, to := io.Pipe()
		go func() {
			for range 30 {
				_, _ = to.Write([]byte("x"))
				time.Sleep(limit - time.Nanosecond)
			}
			_ = to.Close()
		}()
		body, err := io.ReadAll(guard.Reader(from))
		assert.NilError(t, err)
		assert.Equal(t, len(body), 30)
		assert.NilError(t, ctx.Err())
	})
}

func TestStopCancelsContext(t *testing.T) {
	ctx, guard := New(context.Background(), time.Hour, time.Hour)
	guard.Stop()
	assert.Assert(t, ctx.Err() != nil)
	assert.Assert(t, !errors.Is(Cause(ctx, ctx.Err()), ErrStalled))
	assert.NilError(t, Cause(ctx, nil))
}
