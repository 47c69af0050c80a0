// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"fmt"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/transfer"
)

const testDeadline = 8 * time.Second

// newLoadedInstaller is an installer that holds version 1 of the engine and copies of
// the versions given.
func newLoadedInstaller(targets []target, whole ...int) *Installer {
	i := New(Settings{Box: "box0"}, nil, nil, nil, logr.Discard(), telemetry.NewMetrics())
	i.params = Params{Model: testModel, Chunks: testChunks, Deadline: testDeadline}
	i.engineState = EngineState{Model: testModel, Version: 1}
	i.engineStateAt = time.Now()
	i.targets = targets
	for _, version := range whole {
		r := newReplica(manifestOf(version), "box0")
		for n := range testChunks {
			r.held.Set(uint(n))
		}
		i.replicas = append(i.replicas, r)
	}
	return i
}

func nextVersion(i *Installer, now time.Time) int {
	s, _ := i.nextUpdate(now)
	if s == nil {
		return 0
	}
	return s.replica.manifest.Version
}

func TestOlderVersionFirstWhenItsDeadlineComesFirst(t *testing.T) {
	now := time.Now()
	far := []target{{version: 2, namedAt: now}, {version: 3, namedAt: now.Add(4 * time.Second)}}
	assert.Equal(t, nextVersion(newLoadedInstaller(far, 2), now), 2, "version 3 comes too late for 2's deadline")
	assert.Equal(t, nextVersion(newLoadedInstaller(far, 2, 3), now), 3, "both are here")
	near := []target{{version: 2, namedAt: now}, {version: 3, namedAt: now.Add(time.Second)}}
	assert.Equal(t, nextVersion(newLoadedInstaller(near, 2), now), 0, "version 3 will be here in time")
	assert.Equal(t, nextVersion(newLoadedInstaller(far), now), 0, "nothing is here")
	busy := newLoadedInstaller(far, 2)
	busy.engineState.Busy = true
	assert.Equal(t, nextVersion(busy, now), 0, "an order is under way")
}

// Turns are spread, and all engines stop to start requests on the older
// version, which is when their drains begin, turnMargin before its deadline.
// Engines whose turns come after gateways leave older versions promise them.
func TestTurnsAreSpread(t *testing.T) {
	now := time.Now()
	var first, latest time.Time
	for k := range 20 {
		i := newLoadedInstaller([]target{{version: 2, namedAt: now}}, 2)
		i.settings.Box = fmt.Sprint("box", k)
		for n := range 20 {
			i.peerList = append(i.peerList, Peer{Box: fmt.Sprint("box", n)})
		}
		s, _ := i.nextUpdate(now)
		i.recordSchedule(s)
		assert.Assert(t, i.Promised())
		late, _ := i.nextUpdate(s.startAt)
		assert.Equal(t, late.drainLimit, s.drainLimit, "what is promised is drained")
		if first.IsZero() || s.startAt.Before(first) {
			first = s.startAt
		}
		if s.startAt.After(latest) {
			latest = s.startAt
		}
	}
	assert.Assert(t, latest.Sub(first) > 4*time.Second, "spread over %s", latest.Sub(first))
	assert.Assert(t, !latest.After(now.Add(testDeadline-lastSlotMargin)))
	assert.Assert(t, latest.Add(drainTimeout).Before(now.Add(testDeadline)), "the order comes before the deadline")
}

// A copy that is whole only after gateways have left the older version comes
// without a promise, and so does the first version of an empty engine.
func TestNoPromiseTooLate(t *testing.T) {
	now := time.Now()
	i := newLoadedInstaller([]target{{version: 2, namedAt: now.Add(routingCutoffMargin - testDeadline)}}, 2)
	i.replicas[0].completedAt = now
	s, _ := i.nextUpdate(now)
	i.recordSchedule(s)
	assert.Assert(t, !i.Promised())
	i = newLoadedInstaller([]target{{version: 2, namedAt: now}}, 2)
	i.engineState = EngineState{}
	s, _ = i.nextUpdate(now)
	i.recordSchedule(s)
	assert.Assert(t, !i.Promised())
	i.recordSchedule(nil)
	assert.Assert(t, !i.Promised())
}

func TestEmptyEngineStartsAtOnce(t *testing.T) {
	now := time.Now()
	i := newLoadedInstaller([]target{{version: 2, namedAt: now}}, 2)
	i.engineState = EngineState{}
	s, _ := i.nextUpdate(now)
	assert.Assert(t, s.engineEmpty)
	assert.Assert(t, !s.startAt.After(now))
}

// fetchedVersions are the versions that i fetches.
func fetchedVersions(i *Installer) []int {
	var out []int
	wants, _ := i.fetchTasks()
	for _, w := range wants {
		out = append(out, w.version)
	}
	return out
}

// newPartialInstaller returns an installer amid two versions, of which it holds so many
// chunks of the older and the origin sends one a turn.
func newPartialInstaller(named2, named3 time.Time, held int, turn time.Duration) *Installer {
	i := newLoadedInstaller([]target{{version: 2, namedAt: named2}, {version: 3, namedAt: named3}}, 2)
	i.params.ChunkBytes = testBytes
	i.params.OriginRate = testBytes / turn.Seconds()
	i.replicas[0].held.ClearAll()
	for n := range held {
		i.replicas[0].held.Set(uint(n))
	}
	return i
}

// An older version is fetched to its end ahead of the newer one where that
// leaves more time, and dropped where the newer one would come too late for it.
func TestOlderVersionIsCompletedForItsTime(t *testing.T) {
	const turn = 50 * time.Millisecond // testChunks take so many turns
	copyTime := testChunks * turn
	due := testDeadline - routingCutoffMargin
	now := time.Now()
	for _, c := range []struct {
		name      string
		ago2      time.Duration
		ago3      time.Duration
		held      int
		completes bool
	}{
		{"both come in time, and the older leaves more", 2 * time.Second, 0, testChunks / 2, true},
		{"hardly begun, but the newer is named much later", 3 * time.Second, 0, 2, true},
		{"named together: the newer alone comes sooner", 0, 0, 2, false},
		{"origin was away: the older bridges the time to the newer", due - serveDelay, due - serveDelay - 3*time.Second, testChunks - 2, true},
		{"origin was away: the older would be served for an instant", due + 500*time.Millisecond, due - serveDelay - 200*time.Millisecond, testChunks / 2, false},
		{"past its time", testDeadline + 3*time.Second, testDeadline, testChunks - 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, copyTime < due)
			i := newPartialInstaller(now.Add(-c.ago2), now.Add(-c.ago3), c.held, turn)
			want := []int{3}
			if c.completes {
				want = []int{2, 3}
			}
			assert.DeepEqual(t, fetchedVersions(i), want)
		})
	}
}

// While the origin sends the rest of an older version, the newer one gets no
// pulls, and few until the older has come.
func TestOlderVersionHasTheOriginToItself(t *testing.T) {
	now := time.Now()
	i := newPartialInstaller(now.Add(-2*time.Second), now, testChunks/2, 50*time.Millisecond)
	part := i.replicas[0]
	assert.Equal(t, i.pullLimit(part, fetchTask{version: 3}, now), 0)
	assert.Equal(t, i.pullLimit(part, fetchTask{version: 2}, now), maxPulls)
	addPeerHolding(part, now, bitset.New(testChunks).Complement())
	assert.DeepEqual(t, fetchedVersions(i), []int{2, 3})
	assert.Equal(t, i.pullLimit(part, fetchTask{version: 3}, now), 1)
}

// addPeerHolding begins a swarm of r in which another box holds theirs.
func addPeerHolding(r *replica, now time.Time, theirs *bitset.BitSet) {
	params := transfer.Params{Chunks: testChunks, Peers: []transfer.Peer{{Box: "box0", Region: "r"}, {Box: "box1", Region: "far"}}, OriginRegions: []string{"far"}}
	r.swarm = transfer.NewSwarm(params, transfer.NewOrder(params), "box0", r.held, now)
	r.swarm.Known("box1", transfer.Knowledge{Held: theirs})
}

// What other sidecars hold counts, too: it can be had while the origin is
// away. Where the versions' ages are not known it decides alone.
func TestChunksWithinReachAreFetched(t *testing.T) {
	i := newPartialInstaller(time.Time{}, time.Time{}, 1, 50*time.Millisecond)
	assert.DeepEqual(t, fetchedVersions(i), []int{3})
	addPeerHolding(i.replicas[0], time.Now(), bitset.New(testChunks).Complement())
	assert.DeepEqual(t, fetchedVersions(i), []int{2, 3})
}

// An empty engine takes the version that it gets first.
func TestEmptyEngineTakesWhatComesFirst(t *testing.T) {
	now := time.Now()
	i := newPartialInstaller(now, now, testChunks-1, 50*time.Millisecond)
	assert.DeepEqual(t, fetchedVersions(i), []int{3})
	i.engineState.Version = 0
	assert.DeepEqual(t, fetchedVersions(i), []int{2, 3})
}

// A version of unknown age that gateways serve alone is taken at once, unless
// a gateway knows its age.
func TestOverdueVersionIsTakenAtOnce(t *testing.T) {
	now := time.Now()
	for _, known := range []bool{false, true} {
		i := newLoadedInstaller(nil, 2)
		i.replicas[0].completedAt = now
		i.peerList = []Peer{{Box: "other"}, {Box: "box0"}}
		i.NameAssumed(testModel, 2, true, now)
		if known {
			i.Name(testModel, 2, now.Add(-namingSkew/2))
		}
		s, _ := i.nextUpdate(now)
		assert.Assert(t, s.startAt.After(now), "a gateway may know the age")
		later := now.Add(overdueGrace)
		i.NameAssumed(testModel, 2, false, later)
		s, _ = i.nextUpdate(later)
		assert.Assert(t, s.startAt.After(later))
		i.NameAssumed(testModel, 2, true, later)
		s, _ = i.nextUpdate(later)
		assert.Equal(t, s.startAt.After(later), known)
	}
}

// A version that gateways send nothing to any more is not fetched.
func TestVersionPastItsTimeIsNotFetched(t *testing.T) {
	now := time.Now()
	i := newLoadedInstaller([]target{{version: 2, namedAt: now.Add(-2 * testDeadline)}, {version: 3, namedAt: now.Add(-testDeadline)}}, 2)
	part := i.replicas[0]
	part.held.Clear(0)
	assert.DeepEqual(t, fetchedVersions(i), []int{3})
}

// An engine whose version gateways have left changes without a drain: it has
// got nothing since.
func TestNoDrainPastTheDeadline(t *testing.T) {
	now := time.Now()
	s, _ := newLoadedInstaller([]target{{version: 2, namedAt: now}}, 2).nextUpdate(now)
	assert.Equal(t, s.drainLimit, earlyDrainTimeout)
	late := newLoadedInstaller([]target{{version: 2, namedAt: now.Add(-testDeadline)}}, 2)
	late.replicas[0].completedAt = now
	s, _ = late.nextUpdate(now)
	assert.Equal(t, s.drainLimit, time.Duration(0))
	assert.Assert(t, !s.startAt.After(now))
}

// The deadline of the oldest version that an engine lacks binds also when it
// takes a newer one.
func TestSkippedVersionsDeadlineBinds(t *testing.T) {
	now := time.Now()
	i := newLoadedInstaller([]target{{version: 2, namedAt: now.Add(-5 * time.Second)}, {version: 3, namedAt: now}}, 2, 3)
	for n := range 4 {
		i.peerList = append(i.peerList, Peer{Box: fmt.Sprint("box", n)})
	}
	for k := range 4 {
		i.settings.Box = fmt.Sprint("box", k)
		s, _ := i.nextUpdate(now)
		assert.Equal(t, s.replica.manifest.Version, 3)
		assert.Assert(t, s.startAt.Before(now.Add(testDeadline-5*time.Second-lastSlotMargin)), "box %d begins after %s", k, s.startAt.Sub(now))
	}
}

// An engine's turn that comes while the machine is suspended is taken on the
// wake.
func TestTurnIsTakenOnTheWake(t *testing.T) {
	go clock.Watch(t.Context(), nil)
	const deadline = time.Minute
	c := newCluster(t, 1, 1, deadline, engineLoadedWith(1))
	c.installers[0].Name(testModel, 2, clock.Now())
	for began := time.Now(); !c.installers[0].Promised(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second, "it promises its turn")
	}
	woken := time.Now()
	clock.SuspendForTest(t, deadline)
	c.awaitVersion(2)
	assert.Assert(t, time.Since(woken) < 5*time.Second, "%s", time.Since(woken))
}
