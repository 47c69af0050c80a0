// SPDX-License-Identifier: Apache-2.0

package drain

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// TestDrain checks that Drain waits for requests in flight, that it ends with its context,
// and that Enter reports draining meanwhile.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker Tracker
		assert.Assert(t, !tracker.Enter())
		go func() {
			time.Sleep(5 * time.Second)
			assert.Assert(t, tracker.Enter(), "a request was admitted while draining")
			tracker.Leave()
			tracker.Leave()
		}()
		shortCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.Assert(t, errors.Is(tracker.Drain(shortCtx), context.DeadlineExceeded))
		start := time.Now()
		assert.NilError(t, tracker.Drain(context.Background()))
		assert.Equal(t, time.Since(start), 4*time.Second)
		assert.NilError(t, tracker.Drain(context.Background()))
	})
}
