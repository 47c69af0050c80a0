// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/transfer"
)

// testDeadline is the time within which all engines must serve a target version.
const testDeadline = 8 * time.Second

// newLoadedInstaller returns an installer whose engine has version 1 loaded, with
// complete replicas of the given versions.
func newLoadedInstaller(targets []target, complete ...int) *Installer {
	i := New(Settings{Box: "box0"}, nil, nil, nil, logr.Discard(), telemetry.NewMetrics())
	i.params = Params{Model: testModel, Chunks: testChunks, Deadline: testDeadline}
	i.engineState = EngineState{Model: testModel, Version: 1}
	i.engineStateAt = time.Now()
	i.targets = targets
	for _, version := range complete {
		r := newReplica(manifestOf(version), "box0")
		for n := range testChunks {
			r.held.Set(uint(n))
		}
		i.replicas = append(i.replicas, r)
	}
	return i
}

// nextVersion returns the version of the next update, or 0 if there is none.
func nextVersion(i *Installer, now time.Time) int {
	s, _ := i.nextUpdate(now)
	if s == nil {
		return 0
	}
	return s.replica.manifest.Version
}

// An older version must be loaded if the newer one will not be served before the
// deadline of the older.
func TestOlderVersionIsLoadedIfNewerIsLate(t *testing.T) {
	now := time.Now()
	newerLate := []target{{version: 2, setAt: now}, {version: 3, setAt: now.Add(4 * time.Second)}}
	assert.Equal(t, nextVersion(newLoadedInstaller(newerLate, 2), now), 2, "version 3 is too late for the deadline of version 2")
	assert.Equal(t, nextVersion(newLoadedInstaller(newerLate, 2, 3), now), 3, "both are complete")
	newerInTime := []target{{version: 2, setAt: now}, {version: 3, setAt: now.Add(time.Second)}}
	assert.Equal(t, nextVersion(newLoadedInstaller(newerInTime, 2), now), 0, "version 3 will be served in time")
	assert.Equal(t, nextVersion(newLoadedInstaller(newerLate), now), 0, "no replica")
	busy := newLoadedInstaller(newerLate, 2)
	busy.engineState.Busy = true
	assert.Equal(t, nextVersion(busy, now), 0, "the engine executes an order")
}

// Guards against an engine that serves nothing, such as after its restart, until a newer
// version is complete, although an older one is.
func TestEmptyEngineLoadsCompleteOlderVersion(t *testing.T) {
	now := time.Now()
	targets := []target{{version: 2, setAt: now}, {version: 3, setAt: now.Add(time.Second)}}
	i := newLoadedInstaller(targets, 2)
	assert.Equal(t, nextVersion(i, now), 0, "version 3 will be served in time, version 1 meanwhile")
	i.engineState = EngineState{}
	assert.Equal(t, nextVersion(i, now), 2)
	assert.Equal(t, nextVersion(i, now.Add(testDeadline+time.Second)), 0, "its last use has passed")
	i = newLoadedInstaller(targets, 2, 3)
	i.engineState = EngineState{}
	assert.Equal(t, nextVersion(i, now), 3, "both are complete")
}

// The slots of the engines must be spread between the first slot and the last.
// Updates with slots after the routing cutoff must be reported as scheduled, too.
func TestSlotsAreSpread(t *testing.T) {
	now := time.Now()
	var first, latest time.Time
	for k := range 20 {
		i := newLoadedInstaller([]target{{version: 2, setAt: now}}, 2)
		i.settings.Box = fmt.Sprint("box", k)
		for n := range 20 {
			i.peerList = append(i.peerList, Peer{Box: fmt.Sprint("box", n)})
		}
		s, _ := i.nextUpdate(now)
		i.recordSchedule(s)
		assert.Assert(t, i.UpdateScheduled())
		late, _ := i.nextUpdate(s.startAt)
		assert.Equal(t, late.drainLimit, s.drainLimit, "a scheduled update is drained, however late its slot")
		if first.IsZero() || s.startAt.Before(first) {
			first = s.startAt
		}
		if s.startAt.After(latest) {
			latest = s.startAt
		}
	}
	assert.Assert(t, latest.Sub(first) > 4*time.Second, "spread over %s", latest.Sub(first))
	assert.Assert(t, !latest.After(now.Add(testDeadline-lastSlotMargin)))
	assert.Assert(t, latest.Add(drainTimeout).Before(now.Add(testDeadline)), "the start order is sent before the deadline")
}

// An update must not be reported as scheduled if its replica was completed after the
// routing cutoff, or if the engine is empty.
func TestUpdateNotScheduled(t *testing.T) {
	now := time.Now()
	i := newLoadedInstaller([]target{{version: 2, setAt: now.Add(routingCutoffMargin - testDeadline)}}, 2)
	i.replicas[0].completedAt = now
	s, _ := i.nextUpdate(now)
	i.recordSchedule(s)
	assert.Assert(t, !i.UpdateScheduled())
	i = newLoadedInstaller([]target{{version: 2, setAt: now}}, 2)
	i.engineState = EngineState{}
	s, _ = i.nextUpdate(now)
	i.recordSchedule(s)
	assert.Assert(t, !i.UpdateScheduled())
	i.recordSchedule(nil)
	assert.Assert(t, !i.UpdateScheduled())
}

// An empty engine must be loaded without waiting for its slot.
func TestEmptyEngineIsLoadedAtOnce(t *testing.T) {
	now := time.Now()
	i := newLoadedInstaller([]target{{version: 2, setAt: now}}, 2)
	i.engineState = EngineState{}
	s, _ := i.nextUpdate(now)
	assert.Assert(t, s.engineEmpty)
	assert.Assert(t, !s.startAt.After(now))
}

// fetchedVersions returns the versions of the fetch tasks of i.
func fetchedVersions(i *Installer) []int {
	var out []int
	tasks, _ := i.fetchTasks()
	for _, task := range tasks {
		out = append(out, task.version)
	}
	return out
}

// newPartialInstaller returns an installer with the targets 2 and 3, set at the given
// times. It holds the given number of chunks of version 2, and the origin sends one
// chunk per interval.
func newPartialInstaller(set2, set3 time.Time, held int, interval time.Duration) *Installer {
	i := newLoadedInstaller([]target{{version: 2, setAt: set2}, {version: 3, setAt: set3}}, 2)
	i.params.ChunkBytes = testBytes
	i.params.OriginRate = testBytes / interval.Seconds()
	i.replicas[0].held.ClearAll()
	for n := range held {
		i.replicas[0].held.Set(uint(n))
	}
	return i
}

// The fetch of an older version must be completed before that of the newer one if that
// shortens the time without a served version or leaves more slack, and abandoned
// otherwise.
func TestOlderVersionIsFinishedIfUseful(t *testing.T) {
	const interval = 50 * time.Millisecond
	copyTime := testChunks * interval
	due := testDeadline - routingCutoffMargin
	now := time.Now()
	for _, c := range []struct {
		name     string
		ago2     time.Duration // since target 2 was set
		ago3     time.Duration // since target 3 was set
		held     int           // chunks held of version 2
		finishes bool          // whether version 2 is fetched, too
	}{
		{"both in time, more slack with the older first", 2 * time.Second, 0, testChunks / 2, true},
		{"hardly started, but the newer is named much later", 3 * time.Second, 0, 2, true},
		{"named together: the newer alone is served sooner", 0, 0, 2, false},
		{"origin was unavailable: the older is served until the newer is", due - serveDelay, due - serveDelay - 3*time.Second, testChunks - 2, true},
		{"origin was unavailable: the older would be served only briefly", due + 500*time.Millisecond, due - serveDelay - 200*time.Millisecond, testChunks / 2, false},
		{"past the routing cutoffs", testDeadline + 3*time.Second, testDeadline, testChunks - 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, copyTime < due)
			i := newPartialInstaller(now.Add(-c.ago2), now.Add(-c.ago3), c.held, interval)
			want := []int{3}
			if c.finishes {
				want = []int{2, 3}
			}
			assert.DeepEqual(t, fetchedVersions(i), want)
		})
	}
}

// While an older version is completed first, the newer one must get no pulls until all
// chunks of the older one are held by some box, and then a single pull.
func TestOlderVersionLimitsPullsOfNewer(t *testing.T) {
	now := time.Now()
	i := newPartialInstaller(now.Add(-2*time.Second), now, testChunks/2, 50*time.Millisecond)
	part := i.replicas[0]
	assert.Equal(t, i.pullLimit(part, fetchTask{version: 3}, now), 0)
	assert.Equal(t, i.pullLimit(part, fetchTask{version: 2}, now), maxPulls)
	addPeerHolding(part, now, bitset.New(testChunks).Complement())
	assert.DeepEqual(t, fetchedVersions(i), []int{2, 3})
	assert.Equal(t, i.pullLimit(part, fetchTask{version: 3}, now), 1)
}

// addPeerHolding starts a swarm of r in which another box holds the given chunks.
func addPeerHolding(r *replica, now time.Time, held *bitset.BitSet) {
	params := transfer.Params{Chunks: testChunks, Peers: []transfer.Peer{{Box: "box0", Region: "r"}, {Box: "box1", Region: "far"}}, OriginRegions: []string{"far"}}
	r.swarm = transfer.NewSwarm(params, transfer.NewOrder(params), "box0", r.held, now)
	r.swarm.AddAvailability("box1", transfer.Availability{Held: held})
}

// If the versions' ages are unknown, an older version must be fetched only if enough
// of its chunks are held here or by other sidecars.
func TestOlderVersionOfUnknownAgeIsFinishedIfReachable(t *testing.T) {
	i := newPartialInstaller(time.Time{}, time.Time{}, 1, 50*time.Millisecond)
	assert.DeepEqual(t, fetchedVersions(i), []int{3})
	addPeerHolding(i.replicas[0], time.Now(), bitset.New(testChunks).Complement())
	assert.DeepEqual(t, fetchedVersions(i), []int{2, 3})
}

// For an empty engine, an older version that can be served first must be fetched first.
func TestEmptyEngineGetsFirstAvailableVersion(t *testing.T) {
	now := time.Now()
	i := newPartialInstaller(now, now, testChunks-1, 50*time.Millisecond)
	assert.DeepEqual(t, fetchedVersions(i), []int{3})
	i.engineState.Version = 0
	assert.DeepEqual(t, fetchedVersions(i), []int{2, 3})
}

// A version of unknown age that a gateway reports as overdue must be loaded after
// overdueGrace without waiting for a slot, unless a gateway has reported its age.
func TestOverdueVersionIsLoadedAtOnce(t *testing.T) {
	now := time.Now()
	for _, known := range []bool{false, true} {
		i := newLoadedInstaller(nil, 2)
		i.replicas[0].completedAt = now
		i.peerList = []Peer{{Box: "other"}, {Box: "box0"}}
		i.AddTargetOfUnknownAge(testModel, 2, true, now)
		if known {
			i.AddTarget(testModel, 2, now.Add(-setTimeTolerance/2))
		}
		s, _ := i.nextUpdate(now)
		assert.Assert(t, s.startAt.After(now), "a gateway may still report the age")
		later := now.Add(overdueGrace)
		i.AddTargetOfUnknownAge(testModel, 2, false, later)
		s, _ = i.nextUpdate(later)
		assert.Assert(t, s.startAt.After(later))
		i.AddTargetOfUnknownAge(testModel, 2, true, later)
		s, _ = i.nextUpdate(later)
		assert.Equal(t, s.startAt.After(later), known)
	}
}

// An older version must not be fetched after the routing cutoff of the newer one.
func TestVersionPastRoutingCutoffIsNotFetched(t *testing.T) {
	now := time.Now()
	i := newLoadedInstaller([]target{{version: 2, setAt: now.Add(-2 * testDeadline)}, {version: 3, setAt: now.Add(-testDeadline)}}, 2)
	part := i.replicas[0]
	part.held.Clear(0)
	assert.DeepEqual(t, fetchedVersions(i), []int{3})
}

// An engine to which gateways have stopped routing must be updated without a drain.
func TestNoDrainAfterRoutingCutoff(t *testing.T) {
	now := time.Now()
	s, _ := newLoadedInstaller([]target{{version: 2, setAt: now}}, 2).nextUpdate(now)
	assert.Equal(t, s.drainLimit, earlyDrainTimeout)
	late := newLoadedInstaller([]target{{version: 2, setAt: now.Add(-testDeadline)}}, 2)
	late.replicas[0].completedAt = now
	s, _ = late.nextUpdate(now)
	assert.Equal(t, s.drainLimit, time.Duration(0))
	assert.Assert(t, !s.startAt.After(now))
}

// An engine that skips a version must still be updated before the deadline of that
// version.
func TestSkippedVersionsDeadlineIsMet(t *testing.T) {
	now := time.Now()
	i := newLoadedInstaller([]target{{version: 2, setAt: now.Add(-5 * time.Second)}, {version: 3, setAt: now}}, 2, 3)
	for n := range 4 {
		i.peerList = append(i.peerList, Peer{Box: fmt.Sprint("box", n)})
	}
	for k := range 4 {
		i.settings.Box = fmt.Sprint("box", k)
		s, _ := i.nextUpdate(now)
		assert.Equal(t, s.replica.manifest.Version, 3)
		assert.Assert(t, s.startAt.Before(now.Add(testDeadline-5*time.Second-lastSlotMargin)), "box %d starts after %s", k, s.startAt.Sub(now))
	}
}

// An update whose slot passed while the box was suspended must start on resume.
func TestMissedSlotIsUsedOnResume(t *testing.T) {
	go clock.Watch(t.Context(), nil)
	const deadline = time.Minute
	c := newCluster(t, 1, 1, deadline, engineLoadedWith(1))
	c.installers[0].AddTarget(testModel, 2, clock.Now())
	for began := time.Now(); !c.installers[0].UpdateScheduled(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second, "the update is not scheduled")
	}
	resumed := time.Now()
	clock.SuspendForTest(t, deadline)
	c.awaitVersion(2)
	assert.Assert(t, time.Since(resumed) < 5*time.Second, "%s", time.Since(resumed))
}

// An engine must take a complete older version that bridges the time until the newer
// one, also if the fetch of that progresses, and must not take one that would be served
// only briefly, or not at all as its last use has passed.
func TestBridgingVersionIsTaken(t *testing.T) {
	const interval = 100 * time.Millisecond // of a chunk: a copy takes 1.6 s
	due := testDeadline - routingCutoffMargin
	for _, c := range []struct {
		name       string
		set2, set3 time.Duration // how long ago
		held3      int
		want       int // 0 stands for no update
	}{
		{"the newer comes too late for the cutoff", due - 500*time.Millisecond, 0, 2, 2},
		{"the newer's slot is in time, but not its fetch", due - 2200*time.Millisecond, 2 * time.Second, 2, 2},
		{"after the cutoff, with use left", due + 300*time.Millisecond, due - 4*time.Second, 2, 2},
		{"after the cutoff, with hardly any use left", due + 2500*time.Millisecond, due - 500*time.Millisecond, 2, 0},
		{"last use has passed", due + 3*time.Second, due + 100*time.Millisecond, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			i := newPartialInstaller(now.Add(-c.set2), now.Add(-c.set3), testChunks, interval)
			newer := newReplica(manifestOf(3), "box0")
			for n := range c.held3 {
				newer.held.Set(uint(n))
			}
			i.replicas = append(i.replicas, newer)
			assert.Equal(t, nextVersion(i, now), c.want)
		})
	}
}

// If a third version is complete, an engine must not take an older one because the
// version between them is late.
func TestNewestCompleteVersionIsTaken(t *testing.T) {
	now := time.Now()
	targets := []target{{version: 2, setAt: now.Add(-5 * time.Second)}, {version: 3, setAt: now.Add(-4 * time.Second)}, {version: 4, setAt: now.Add(-3 * time.Second)}}
	i := newLoadedInstaller(targets, 2, 4)
	i.settings.LinkRate = testChunks * testBytes
	assert.Equal(t, nextVersion(i, now), 4)
}

// A version that is complete less than a second before the cutoff must be loaded by all
// engines by then, and not at slots that are spread until the last. Guards against
// engines that get no requests while they wait for their slots. With a single version in
// force, the slots stay as they were.
func TestLateVersionIsLoadedByCutoff(t *testing.T) {
	due := testDeadline - routingCutoffMargin
	for _, left := range []time.Duration{900 * time.Millisecond, 300 * time.Millisecond} {
		now := time.Now()
		latest := time.Time{}
		for k := range 20 {
			i := newLoadedInstaller([]target{{version: 2, setAt: now.Add(left - due)}, {version: 3, setAt: now}}, 2)
			i.replicas[0].completedAt = now
			i.settings.Box = fmt.Sprint("box", k)
			for n := range 20 {
				i.peerList = append(i.peerList, Peer{Box: fmt.Sprint("box", n)})
			}
			s, _ := i.nextUpdate(now)
			assert.Equal(t, s.drainLimit, earlyDrainTimeout)
			if s.startAt.After(latest) {
				latest = s.startAt
			}
		}
		bound := now.Add(max(left-earlyDrainTimeout, 0))
		single := newLoadedInstaller([]target{{version: 2, setAt: now.Add(left - due)}}, 2)
		single.replicas[0].completedAt = now
		single.peerList = []Peer{{Box: "box1"}, {Box: "box0"}}
		s, _ := single.nextUpdate(now)
		assert.Equal(t, s.drainLimit, drainTimeout)
		assert.Assert(t, !latest.After(bound), "the last drain starts %s after the version is complete, %s before the cutoff", latest.Sub(now), left)
	}
}

// Guards against a sidecar that uses a whole core, and calls its engine all the time, while
// the engine's reports lag behind: the engine has loaded the version, but the next update is
// planned with its last report.
func TestNoBusyLoopWhileReportsLag(t *testing.T) {
	i := newLoadedInstaller([]target{{version: 2, setAt: time.Now().Add(-testDeadline)}}, 2)
	i.replicas[0].completedAt = time.Now()
	e := &countingEngine{}
	e.load(2)
	i.engine = e
	ctx, cancel := context.WithTimeout(t.Context(), 3*reportTimeout)
	defer cancel()
	i.runUpdates(ctx)
	assert.Assert(t, e.states.Load() > 0 && e.states.Load() < 10, "%d reads of the engine's state", e.states.Load())
}

// countingEngine counts the reads of the engine's state.
type countingEngine struct {
	fakeEngine
	states atomic.Int64
}

// State implements Engine.
func (e *countingEngine) State(ctx context.Context) (EngineState, error) {
	e.states.Add(1)
	return e.fakeEngine.State(ctx)
}

// Guards against requests to the origin by tasks that have been cancelled: no ancestor
// answers them, so each box would ask the origin when a newer version is named.
func TestCancelledTaskDoesNotReachOrigin(t *testing.T) {
	origin := &limitedOrigin{fakeOrigin: &fakeOrigin{}, connections: 1}
	peers := []Peer{{Box: "a", Region: "r"}, {Box: "b", Region: "r"}}
	for _, p := range peers {
		i := New(Settings{Box: p.Box, Region: "r"}, &fakeEngine{}, origin, func(context.Context) ([]Peer, error) { return peers, nil }, logr.Discard(), telemetry.NewMetrics())
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Assert(t, i.openReplica(ctx, fetchTask{params: Params{Model: testModel, Chunks: testChunks}, version: 1}) == nil)
	}
	assert.Equal(t, origin.manifests.Load(), int64(0))
}
