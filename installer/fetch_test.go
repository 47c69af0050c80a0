// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/transfer"
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

// What a peer says of its region must count before the bytes of its chunk have arrived,
// which takes a few hundred milliseconds on a busy link. Until then the box might read
// chunks from the origin that its region has, or defer others.
func TestAvailabilityCountsBeforeChunk(t *testing.T) {
	stop := make(chan struct{})
	sender := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := bitset.New(testChunks).Set(0).Set(1).Set(2)
		peer.SetAvailability(w.Header(), transfer.Availability{Held: held, Exists: held})
		w.Header().Set(peer.HeaderChunk, "2")
		_, _ = w.Write(chunkOf(2, 2)[:8])
		_ = http.NewResponseController(w).Flush()
		select {
		case <-stop:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(sender.Close)
	t.Cleanup(func() { close(stop) })
	i := New(Settings{Box: "box0"}, &fakeEngine{}, &fakeOrigin{}, nil, logr.Discard(), telemetry.NewMetrics())
	r := newReplica(manifestOf(2), "box0")
	params := transfer.Params{Chunks: testChunks, Peers: []transfer.Peer{{Box: "box0", Region: "r"}, {Box: "box1", Region: "r"}}, OriginRegions: []string{"r"}}
	r.swarm = transfer.NewSwarm(params, transfer.NewOrder(params), "box0", r.held, time.Now())
	r.addresses = map[string]string{"box1": strings.TrimPrefix(sender.URL, "http://")}
	go i.pull(t.Context(), r, transfer.Pull{Kind: transfer.FromPeer, Chunk: -1, Peer: "box1"}, r.held.Clone())
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		i.mu.Lock()
		available := r.swarm.AvailableChunks()
		i.mu.Unlock()
		if available == 3 {
			break
		}
		assert.Assert(t, time.Since(began) < 5*time.Second, "%d chunks are known", available)
	}
}
