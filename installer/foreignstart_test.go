// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/telemetry"
)

// foreignStartEngine carries out an order of the sidecar's former process when the second
// chunk is staged, and refuses later orders without a response.
type foreignStartEngine struct {
	*fakeEngine
	puts int
}

// Put implements Engine.
func (e *foreignStartEngine) Put(ctx context.Context, model string, chunk int, data []byte) error {
	if e.puts++; e.puts == 2 {
		_, _ = e.fakeEngine.Start(ctx, Start{Model: testModel, Version: 1})
	}
	return e.fakeEngine.Put(ctx, model, chunk, data)
}

// Start implements Engine.
func (e *foreignStartEngine) Start(ctx context.Context, s Start) (Outcome, error) {
	if outcome, _ := e.fakeEngine.Start(ctx, s); outcome == Accepted {
		return Accepted, nil
	}
	return Unknown, errors.Errorf("no response")
}

// Guards against wrong weights: the engine accepts a delayed order for version 1 while the
// sidecar replaces chunks of version 2 by those of version 1. The sidecar must not take
// that load for the one by its own order, whose refusal is lost.
func TestOrderCarriedOutDuringStagingIsNotVerified(t *testing.T) {
	e := &foreignStartEngine{fakeEngine: &fakeEngine{}}
	e.load(2)
	e.state = EngineState{StartedMS: 1000}
	i := New(Settings{Box: "box0"}, e, nil, nil, logr.Discard(), telemetry.NewMetrics())
	i.params = Params{Model: testModel, Chunks: testChunks, Deadline: testDeadline}
	i.UpdateEngineState(e.state)
	r := newReplica(manifestOf(1), "box0")
	for n := range testChunks {
		r.chunks[n] = chunkOf(1, n)
		r.held.Set(uint(n))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	i.load(ctx, &updateStep{params: i.params, replica: r, engineEmpty: true})
	state, err := e.State(ctx)
	assert.NilError(t, err)
	i.UpdateEngineState(state)
	assert.Assert(t, e.mixed && state.Version == 1)
	assert.Assert(t, i.Unverified())
}
