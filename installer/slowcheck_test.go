// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/telemetry"
)

// slowEngine is a fakeEngine that takes a time for each read of a staged chunk.
type slowEngine struct {
	*fakeEngine
	delay time.Duration
}

// Get implements Engine.
func (e slowEngine) Get(ctx context.Context, model string, chunk int) ([]byte, error) {
	time.Sleep(e.delay)
	return e.fakeEngine.Get(ctx, model, chunk)
}

// Guards against an engine that stays out of service because each check of its staged
// chunks takes longer than maxCheckDuration, so that no order to load them is sent.
func TestSlowCheckDoesNotPreventLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := slowEngine{&fakeEngine{}, 2 * maxCheckDuration / testChunks}
		e.load(1)
		i := New(Settings{Box: "box0"}, e, &fakeOrigin{}, nil, logr.Discard(), telemetry.NewMetrics())
		r := newReplica(manifestOf(2), "box0")
		for n := range testChunks {
			r.chunks[n] = chunkOf(2, n)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.Assert(t, i.load(ctx, &updateStep{replica: r}), "version 2 is not loaded")
		assert.DeepEqual(t, e.started, []int{2})
		assert.Assert(t, !e.mixed)
	})
}
