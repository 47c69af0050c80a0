// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/loadtrust"
	"github.com/mintlift/mintlift/telemetry"
)

// Guards against an engine that counts as empty after a restart of all processes, although
// its staged chunks show that it has the newest version loaded.
func TestLoadOfNewestStagedVersionIsTrusted(t *testing.T) {
	for _, age := range []time.Duration{0, testDeadline / 2, 2 * testDeadline} {
		e := &fakeEngine{}
		e.load(1)
		e.state = inheritedState
		i := New(Settings{Box: "box0", Region: "r"}, e, &fakeOrigin{}, func(context.Context) ([]Peer, error) { return nil, nil }, logr.Discard(), telemetry.NewMetrics())
		i.Configure(Params{Model: testModel, Chunks: testChunks, ChunkBytes: testBytes, OriginRate: 1 << 20, OriginRegion: "r", Deadline: testDeadline})
		i.AddTarget(testModel, 1, time.Now().Add(-age))
		i.UpdateEngineState(inheritedState)
		assert.Assert(t, i.Undecided())
		go i.Run(t.Context())
		assert.Assert(t, awaitDecision(t, i) < loadtrust.DecisionTime)
		assert.Assert(t, !i.Unverified())
		assert.Equal(t, len(e.started), 0)
	}
}
