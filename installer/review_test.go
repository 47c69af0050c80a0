// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/loadtrust"
	"github.com/mintlift/mintlift/telemetry"
)

// inheritedState is the state of an engine that a sidecar finds when it starts.
var inheritedState = EngineState{Model: testModel, Version: 1, Orders: 1, StartedMS: 1000}

// startOnInheritedLoad starts an installer whose engine has inheritedState, and the chunks
// of version staged. Gateways remember what memories returns.
func startOnInheritedLoad(t *testing.T, version int, memories func(context.Context) []loadtrust.Memory) (*Installer, *fakeEngine) {
	t.Helper()
	return startOnInheritedLoadOf(t, version, Settings{Box: "box0", Region: "r", LoadMemories: memories}, &fakeOrigin{})
}

// startOnInheritedLoadOf is like startOnInheritedLoad, with the given settings and origin. If
// the settings have an archive, the engine has the staged version loaded.
func startOnInheritedLoadOf(t *testing.T, version int, s Settings, origin *fakeOrigin) (*Installer, *fakeEngine) {
	t.Helper()
	e := &fakeEngine{}
	e.load(version)
	e.state = inheritedState
	if s.Archive != nil {
		e.state.Version = version
	}
	i := New(s, e, origin, func(context.Context) ([]Peer, error) { return nil, nil }, logr.Discard(), telemetry.NewMetrics())
	i.Configure(Params{Model: testModel, Chunks: testChunks, ChunkBytes: testBytes, OriginRate: 1 << 20, OriginRegion: "r", Deadline: testDeadline})
	i.AddTarget(testModel, 2, time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	state, _ := e.State(ctx)
	i.UpdateEngineState(state)
	assert.Assert(t, i.Undecided())
	go i.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			s, _ := e.State(ctx)
			i.UpdateEngineState(s)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return i, e
}

// awaitDecision waits until the load is no longer undecided, and returns how long it was.
func awaitDecision(t *testing.T, i *Installer) time.Duration {
	t.Helper()
	began := time.Now()
	for ; i.Undecided(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second, "the load is not decided")
	}
	return time.Since(began)
}

// Guards against engines of a whole fleet that are loaded again after a restart of their
// sidecars, although the staged chunks show what they have loaded.
func TestLoadOfStagedVersionIsTrusted(t *testing.T) {
	i, _ := startOnInheritedLoad(t, 1, nil)
	assert.Assert(t, awaitDecision(t, i) < loadtrust.DecisionTime)
	assert.Assert(t, !i.Unverified())
}

// Guards against engines of a whole fleet that are loaded again after a restart of their
// sidecars during a rollout: chunks of the next version are staged, but gateways know.
func TestLoadKnownToGatewayIsTrusted(t *testing.T) {
	known := []loadtrust.Memory{{Load: loadtrust.Load{StartedMS: 1000, Orders: 1, Version: 1}}}
	i, e := startOnInheritedLoad(t, 2, func(context.Context) []loadtrust.Memory { return known })
	assert.Assert(t, awaitDecision(t, i) < loadtrust.DecisionTime)
	assert.Assert(t, !i.Unverified())
	assert.Equal(t, len(e.started), 0)
}

// Guards against wrong weights: the engine has accepted a delayed order for version 1 while
// chunks of version 2 were staged, and no gateway knows the load. It must count as empty
// within DecisionTime, and be loaded with version 2.
func TestUnknownLoadIsReplaced(t *testing.T) {
	i, e := startOnInheritedLoad(t, 2, nil)
	took := awaitDecision(t, i)
	assert.Assert(t, took < loadtrust.DecisionTime+500*time.Millisecond, "%s", took)
	assert.Assert(t, i.Unverified() || i.verifiedVersionForTest() == 2)
	for began := time.Now(); i.verifiedVersionForTest() != 2; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second, "version 2 is not loaded")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.DeepEqual(t, e.started, []int{2})
	assert.Assert(t, !e.mixed)
}

// verifiedVersionForTest is verifiedVersion for callers that do not hold Installer.mu.
func (i *Installer) verifiedVersionForTest() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.verifiedVersion()
}

// Guards against a load that stays unused although a gateway that answers late knows it.
func TestLoadIsTrustedLater(t *testing.T) {
	var answers atomic.Bool
	known := []loadtrust.Memory{{Load: loadtrust.Load{StartedMS: 1000, Orders: 1, Version: 1}}}
	i, e := startOnInheritedLoad(t, 3, func(context.Context) []loadtrust.Memory {
		if answers.Load() {
			return known
		}
		return nil
	})
	i.origin.(*fakeOrigin).mu.Lock()
	i.origin.(*fakeOrigin).down = true // the engine cannot be loaded again
	i.origin.(*fakeOrigin).mu.Unlock()
	awaitDecision(t, i)
	answers.Store(true)
	for began := time.Now(); i.Unverified(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 5*time.Second, "the load is not trusted")
	}
	assert.Equal(t, len(e.started), 0)
}

// Guards against a sidecar that takes staged chunks for the loaded ones although they were
// staged after the load: neither it nor its successor may find such chunks.
func TestNothingIsStagedWhileLoadIsUnverified(t *testing.T) {
	i := newLoadedInstaller([]target{{version: 2, setAt: time.Now()}}, 2)
	assert.Assert(t, i.shouldStage(i.replicas[0]))
	i.engineStateAt = time.Time{}
	i.UpdateEngineState(inheritedState)
	assert.Assert(t, i.Undecided())
	assert.Assert(t, !i.shouldStage(i.replicas[0]))
	i.inherited = nil
	assert.Assert(t, i.Unverified())
	assert.Assert(t, !i.shouldStage(i.replicas[0]))
	i.verifiedLoad = loadIDOf(inheritedState)
	assert.Assert(t, i.shouldStage(i.replicas[0]))
}

// Guards against chunks that this process has staged since it lost sight of the engine, and
// that then confirm a load of the engine's next process.
func TestChunksStagedSinceTheLoadShowNothing(t *testing.T) {
	e := &fakeEngine{}
	e.load(1)
	i := New(Settings{Box: "box0"}, e, nil, nil, logr.Discard(), telemetry.NewMetrics())
	load := &inheritedLoad{}
	stage, valid := i.compareStage(context.Background(), load, manifestOf(1))
	assert.Assert(t, valid && stage == loadtrust.StageMatches)
	stage, valid = i.compareStage(context.Background(), load, manifestOf(2))
	assert.Assert(t, valid && stage == loadtrust.StageDiffers)
	assert.NilError(t, i.put(context.Background(), manifestOf(1), 0, chunkOf(1, 0)))
	_, valid = i.compareStage(context.Background(), load, manifestOf(1))
	assert.Assert(t, !valid)
}

// Guards against wrong weights after a restart of an engine without a start time: its new
// process has the count of orders of a verified load of the former one, by a delayed order.
func TestVerifiedLoadEndsWithProcessOfUnknownStart(t *testing.T) {
	state := EngineState{Model: testModel, Version: 1, Orders: 1}
	verified := func() *Installer {
		i := newLoadedInstaller(nil)
		i.engine = &fakeEngine{}
		i.engineState, i.verifiedLoad = state, loadIDOf(state)
		i.UpdateEngineState(state)
		assert.Assert(t, !i.Unverified() && !i.Undecided())
		return i
	}
	i := verified()
	i.UpdateEngineState(EngineState{})
	i.UpdateEngineState(state)
	assert.Assert(t, i.Unverified(), "the count of orders began anew")

	i = verified()
	i.engineStateAt = i.engineStateAt.Add(-maxUnobserved)
	i.UpdateEngineState(state)
	assert.Assert(t, i.Undecided(), "a restart may have been missed")

	i = verified()
	i.engineStateAt = i.engineStateAt.Add(-maxUnobserved)
	i.verifiedAt = time.Now()
	i.UpdateEngineState(state)
	assert.Assert(t, !i.Unverified() && !i.Undecided(), "verified since the last report")
}

// Guards against engines without requests where the configuration has no weights: no sidecar
// sends orders there, whatever count of orders the engines report.
func TestLoadWithoutWeightsIsTrusted(t *testing.T) {
	i := New(Settings{Box: "box0"}, &fakeEngine{}, nil, nil, logr.Discard(), telemetry.NewMetrics())
	i.UpdateEngineState(inheritedState)
	assert.Assert(t, i.Undecided(), "the configuration is not known yet")
	i.SetNoWeights(true)
	assert.Assert(t, !i.Undecided() && !i.Unverified())
	i.Configure(Params{Model: testModel, Chunks: testChunks})
	assert.Assert(t, i.Undecided())
}
