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

func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tr Tracker
		assert.Assert(t, !tr.Enter())
		go func() {
			time.Sleep(5 * time.Second)
			assert.Assert(t, tr.Enter(), "a request got in while draining")
			tr.Leave()
			tr.Leave()
		}()
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.Assert(t, errors.Is(tr.Drain(short), context.DeadlineExceeded))
		began := time.Now()
		assert.NilError(t, tr.Drain(context.Background()))
		assert.Equal(t, time.Since(began), 4*time.Second)
		assert.NilError(t, tr.Drain(context.Background()))
	})
}
