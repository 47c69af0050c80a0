// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/telemetry"
)

// A sidecar that restarts during a fetch must continue with the staged chunks.
func TestStagedChunksSurviveRestart(t *testing.T) {
	c := newCluster(t, 1, 1, 20*time.Second, engineLoadedWith(1))
	c.origin.delay = 2 * time.Millisecond
	c.addTarget(2)
	staged := func() int {
		c.engines[0].mu.Lock()
		defer c.engines[0].mu.Unlock()
		n := 0
		for at, data := range c.engines[0].stage {
			if manifestOf(2).ChunkMatches(at, data) {
				n++
			}
		}
		return n
	}
	for began := time.Now(); staged() < testChunks/2; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second, "%d chunks staged", staged())
	}
	c.cancels[0]()
	restarted := New(Settings{Box: "box0"}, c.engines[0], nil, nil, logr.Discard(), telemetry.NewMetrics())
	r := newReplica(manifestOf(2), "box0")
	restarted.readStage(context.Background(), r)
	assert.Assert(t, int(r.held.Count()) >= testChunks/2, "%d chunks found", r.held.Count())
}

// The staged chunks of a version must not be replaced by those of a newer version of
// which fewer chunks are held.
func TestFullestReplicaIsStaged(t *testing.T) {
	now := time.Now()
	i := newLoadedInstaller([]target{{version: 2, setAt: now}, {version: 3, setAt: now}}, 2)
	newer := newReplica(manifestOf(3), "box0")
	newer.held.Set(0)
	i.replicas = append(i.replicas, newer)
	assert.Assert(t, i.shouldStage(i.replicas[0]))
	assert.Assert(t, !i.shouldStage(newer))
	i.engineState.Version = 2
	assert.Assert(t, !i.shouldStage(i.replicas[0]), "the engine has it loaded")
	assert.Assert(t, i.shouldStage(newer))
}

// A sidecar that restarts while two versions are in force must find the staged chunks
// of the older one and, if the plan has it, complete it. Here the origin sends no
// chunk, and another box holds a part of the version.
func TestStagedOlderVersionSurvivesRestart(t *testing.T) {
	c := newCluster(t, 2, 1, 20*time.Second, func(_ int, e *fakeEngine) {
		e.load(1)
		for n := range testChunks / 2 {
			e.stage[n] = chunkOf(2, n)
		}
	})
	c.origin.noChunks.Store(true)
	for _, i := range c.installers {
		i.AddTarget(testModel, 2, time.Now().Add(-2*time.Second))
		i.AddTarget(testModel, 3, time.Now())
	}
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		r := c.installers[0].replica(2)
		if r != nil {
			c.installers[0].mu.Lock()
			held, known := int(r.held.Count()), !r.askPartners
			c.installers[0].mu.Unlock()
			if held == testChunks/2 && known {
				break
			}
		}
		assert.Assert(t, time.Since(began) < 10*time.Second, "version 2 is not opened")
	}
}
