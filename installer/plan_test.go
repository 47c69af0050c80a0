// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fetchplan"
	"github.com/mintlift/mintlift/transfer"
)

// replicaVersions returns the versions of the replicas of i, in the order of opening.
func replicaVersions(i *Installer) []int {
	var out []int
	for _, r := range i.replicas {
		out = append(out, r.manifest.Version)
	}
	return out
}

// A third version in force must not evict a nearly complete older one that may still
// be served. Otherwise the replica that nothing needs must be evicted first, and never
// the one that has just been opened.
func TestLeastUsefulReplicaIsEvicted(t *testing.T) {
	for _, c := range []struct {
		name               string
		held               []int // versions of the replicas, the last of which has just been opened
		fetch, keep, drop  []int
		serving, remaining []int
	}{
		{"two in force", []int{1, 2, 3}, []int{2, 3}, nil, nil, []int{1}, []int{2, 3}},
		{"three in force", []int{1, 2, 3, 4}, []int{2, 4}, []int{3}, nil, []int{1}, []int{2, 3, 4}},
		{"last use has passed", []int{2, 3, 4}, []int{4}, []int{3}, []int{2}, []int{1}, []int{3, 4}},
		{"out of order", []int{3, 2, 4}, []int{2, 4}, nil, []int{3}, []int{1}, []int{2, 4}},
		{"the engine's version before others", []int{2, 1, 3}, []int{3}, nil, nil, []int{2}, []int{2, 3}},
		{"just opened", []int{3, 4, 1}, []int{4}, nil, nil, []int{1}, []int{4, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := newLoadedInstaller(nil, c.held...)
			i.engineState.Version = c.serving[0]
			i.evictReplicas(i.replicas[len(c.held)-1], fetchplan.Plan{Fetch: c.fetch, Keep: c.keep, Drop: c.drop})
			assert.DeepEqual(t, replicaVersions(i), c.remaining)
		})
	}
}

// The plan must be logged with its inputs when it changes, and not each time that it is
// computed.
func TestPlanIsLoggedOnChange(t *testing.T) {
	var lines []string
	now := time.Now()
	i := newPartialInstaller(now.Add(-2*time.Second), now, testChunks/2, 50*time.Millisecond)
	i.log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	for k := range 20 {
		i.refreshPlan(now.Add(time.Duration(k) * 10 * time.Millisecond))
	}
	assert.Equal(t, len(lines), 1)
	assert.Assert(t, strings.Contains(lines[0], `"from_origin"=[8 16]`), lines[0])
	i.engineState.Version = 3
	i.refreshPlan(now)
	assert.Equal(t, len(lines), 2)
}

// An unavailable origin must be known from a failed read since the last chunk, also to
// the log and the pulls of another version. A pause without a failure must not count.
func TestOriginDownTime(t *testing.T) {
	now := time.Now()
	i := newPartialInstaller(now.Add(-2*time.Second), now, testChunks/2, 50*time.Millisecond)
	assert.Equal(t, i.originDownTime(now), time.Duration(0))
	params := transfer.Params{Chunks: testChunks, Peers: []transfer.Peer{{Box: "box0", Region: "r"}}, OriginRegions: []string{"r"}}
	s := transfer.NewSwarm(params, transfer.NewOrder(params), "box0", i.replicas[0].held, now)
	i.replicas[0].swarm = s
	later := now.Add(time.Second)
	assert.Equal(t, i.originDownTime(later), time.Duration(0), "no read has failed")
	s.ConnectionFailed(s.Next(later), later)
	assert.Equal(t, i.originDownTime(later.Add(time.Second)), 2*time.Second)
	read := s.Next(later.Add(time.Second))
	assert.Equal(t, read.Kind, transfer.FromOrigin)
	s.Arrived(read, transfer.Availability{}, time.Millisecond, later.Add(time.Second))
	assert.Equal(t, i.originDownTime(later.Add(time.Second)), time.Duration(0))
}

// While an older version waits for an unavailable origin, chunks of the newer one must
// be pulled from other boxes, one at a time, and not from the origin.
func TestNewerVersionIsSpreadDuringOutage(t *testing.T) {
	now := time.Now()
	i := newPartialInstaller(now.Add(-2*time.Second), now, testChunks/2, 50*time.Millisecond)
	newer := newReplica(manifestOf(3), "box0")
	i.replicas = append(i.replicas, newer)
	params := transfer.Params{Chunks: testChunks, Peers: []transfer.Peer{{Box: "box0", Region: "r"}, {Box: "box1", Region: "r"}}, OriginRegions: []string{"r"}}
	order := transfer.NewOrder(params)
	for _, r := range i.replicas {
		r.swarm = transfer.NewSwarm(params, order, "box0", r.held, now)
	}
	later := now.Add(2 * time.Second)
	task := fetchTask{version: 3}
	assert.Equal(t, i.nextPull(newer, task, later).Kind, transfer.None, "the older version's chunks come first")
	i.replicas[0].swarm.ConnectionFailed(i.nextPull(i.replicas[0], fetchTask{version: 2}, later), later)
	assert.Equal(t, i.nextPull(newer, task, later).Kind, transfer.FromPeer)
	assert.Equal(t, i.nextPull(newer, task, later).Kind, transfer.None)
}

// Guards against pulls that are cancelled, and chunks that are sent again, because the
// gateways' cutoff has changed during a fetch.
func TestFetchOutlivesChangeOfCutoff(t *testing.T) {
	now := time.Now()
	i := newPartialInstaller(now.Add(-2*time.Second), now, testChunks/2, 50*time.Millisecond)
	before, _ := i.fetchTasks()
	p := i.params
	p.CutoffMargin = 800 * time.Millisecond
	i.Configure(p)
	after, _ := i.fetchTasks()
	assert.Assert(t, slices.Equal(before, after), "%+v, then %+v", before, after)
}

// Guards against a pause of up to idleInterval in which no chunk is fetched: pulls of the
// newer version stop as soon as the plan includes the older one, whose fetch must start.
func TestChangeOfPlanWakesRun(t *testing.T) {
	now := time.Now()
	i := newPartialInstaller(now.Add(-2*time.Second), now, testChunks/2, 50*time.Millisecond)
	newer := newReplica(manifestOf(3), "box0")
	i.replicas = append(i.replicas, newer)
	i.plan.Fetch = []int{3}
	changed := i.changed
	assert.Equal(t, i.pullLimit(newer, fetchTask{version: 3}, now), 0)
	assert.DeepEqual(t, i.plan.Fetch, []int{2, 3})
	select {
	case <-changed:
	default:
		t.Fatal("Run is not woken")
	}
	changed = i.changed
	i.refreshPlan(now)
	assert.Equal(t, changed, i.changed, "the plan is the same")
}

// Guards against a box that fetches nothing because its plan completes the older version
// first and those of the other boxes do not: nobody sends its chunks, and no read fails.
func TestNewerVersionIsPulledIfOlderMakesNoProgress(t *testing.T) {
	now := time.Now()
	i := newPartialInstaller(now.Add(-2*time.Second), now, testChunks/2, 50*time.Millisecond)
	newer := newReplica(manifestOf(3), "box0")
	i.replicas = append(i.replicas, newer)
	params := transfer.Params{Chunks: testChunks, Peers: []transfer.Peer{{Box: "box0", Region: "r"}, {Box: "box1", Region: "r"}}, OriginRegions: []string{"r"}, IdleTimeout: chunkLostAfter}
	order := transfer.NewOrder(params)
	for _, r := range i.replicas {
		r.swarm = transfer.NewSwarm(params, order, "box0", r.held, now)
	}
	older, task := i.replicas[0].swarm, fetchTask{version: 3}
	query := older.NextFromBoxes(now)
	assert.Equal(t, query.Kind, transfer.FromPeer)
	older.NoUsefulChunk(query, transfer.Availability{}, now.Add(time.Millisecond))
	assert.Equal(t, i.nextPull(newer, task, now.Add(chunkLostAfter)).Kind, transfer.None, "the older version's chunks may be on their way")
	later := now.Add(chunkLostAfter + time.Millisecond)
	assert.Equal(t, i.originDownTime(later), time.Duration(0))
	assert.Equal(t, i.nextPull(newer, task, later).Kind, transfer.FromPeer)
	assert.Equal(t, i.nextPull(newer, task, later).Kind, transfer.None)
}
