// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/telemetry"
)

// slowOrigin sends each chunk only after a delay, unless the call is cancelled.
type slowOrigin struct {
	*fakeOrigin
	delay time.Duration
	calls atomic.Int64
}

// Chunk implements Origin.
func (o *slowOrigin) Chunk(ctx context.Context, model string, version, n int) ([]byte, error) {
	o.calls.Add(1)
	select {
	case <-time.After(o.delay):
		return o.fakeOrigin.Chunk(ctx, model, version, n)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// The end of a round must not cancel pulls in flight, whose chunks would be sent again.
// The fetch here takes longer than a round, and each chunk a large part of a round.
func TestEndOfRoundKeepsPullsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origin := &slowOrigin{fakeOrigin: &fakeOrigin{}, delay: 1900 * time.Millisecond}
		i := New(Settings{Box: "box0", Region: "r"}, &fakeEngine{}, origin,
			func(context.Context) ([]Peer, error) { return []Peer{{Box: "box0", Region: "r"}}, nil }, logr.Discard(), telemetry.NewMetrics())
		i.Configure(Params{Model: testModel, Chunks: testChunks, ChunkBytes: testBytes, OriginRate: 1 << 20, Deadline: time.Minute})
		assert.Assert(t, i.obtain(t.Context(), fetchTask{params: i.params, version: 2}))
		assert.Equal(t, origin.calls.Load(), int64(testChunks))
	})
}
