// SPDX-License-Identifier: Apache-2.0

package intent

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/weights"
	"github.com/mintlift/mintlift/workspace"
)

// v1 and v2 are two versions of one model.
var (
	v1 = weights.Ref{Model: "m", Version: "v1"}
	v2 = weights.Ref{Model: "m", Version: "v2"}
)

// size is the size of a version in bytes.
const size = 1000

// manifest returns a manifest of 10 chunks for a version.
func manifest(ref weights.Ref) *weights.Manifest {
	m := &weights.Manifest{Ref: ref, Bytes: size, ChunkBytes: 100}
	for range 10 {
		m.Chunks = append(m.Chunks, weights.Sum(nil))
	}
	return m
}

// testSnapshot returns a snapshot of n boxes in two regions that serve v1 to
// workspace a. floor is the floor of a, and memory the size of each engine's memory in
// bytes; 0 means no limit.
func testSnapshot(n int, memory int64, floor int) Snapshot {
	snap := Snapshot{
		Base:       7,
		Now:        time.Unix(1000, 0),
		Workspaces: map[string]workspace.Workspace{"a": {Name: "a", Priority: 30, Floor: floor}, "b": {Name: "b", Priority: 60}},
		Links:      Links{Origin: 200, Box: 100},
		Weighing:   TimeToReplicas,
		TTL:        time.Minute,
	}
	for i := range n {
		zone := membership.AvailabilityZone{Region: "r" + string(rune('1'+i%2)), Zone: fmt.Sprintf("z%d", i%2)}
		snap.Boxes = append(snap.Boxes, Candidate{
			Box:         membership.Box{ID: fmt.Sprintf("b%02d", i), Zone: zone, Role: membership.Endpoint},
			MemoryBytes: memory,
			Loaded:      []LoadedVersion{{Ref: v1, Bytes: size, Workspaces: []string{"a"}}},
		})
	}
	return snap
}

// TestWeighingSelectsExtraCopies checks that only a plan that minimizes the rollout time
// reads extra copies of the weights from the origin.
func TestWeighingSelectsExtraCopies(t *testing.T) {
	in := Intent{Ref: v2, Workspaces: []string{"a", "b"}}
	fastest, err := NewPlan(in, manifest(v2), testSnapshot(12, 0, 0))
	assert.NilError(t, err)
	in.Weighing = OriginBytes
	cheapest, err := NewPlan(in, manifest(v2), testSnapshot(12, 0, 0))
	assert.NilError(t, err)
	assert.Equal(t, fastest.ExtraCopies, 1.0)
	assert.Equal(t, cheapest.ExtraCopies, 0.0)
	assert.DeepEqual(t, fastest.Forecasts, cheapest.Forecasts) // each plan has the forecasts for both costs
	assert.Assert(t, fastest.Forecasts[0].TimeToReplicas < fastest.Forecasts[1].TimeToReplicas)
	assert.Assert(t, fastest.Forecasts[0].OriginBytes > fastest.Forecasts[1].OriginBytes)
	assert.Equal(t, fastest.Priority, 60, "the highest priority of its workspaces")
	lowerBound := time.Duration(float64(size) / 100 * float64(time.Second))
	assert.Assert(t, cheapest.Forecasts[1].TimeToReplicas >= lowerBound)
	assert.Equal(t, fastest.Base, int64(7))
}

// TestOneRegionReadsFromTheOrigin checks that the other regions read their first copy of
// the weights from the region that reads it from the origin.
func TestOneRegionReadsFromTheOrigin(t *testing.T) {
	p, err := NewPlan(Intent{Ref: v2, Workspaces: []string{"a"}}, manifest(v2), testSnapshot(4, 0, 0))
	assert.NilError(t, err)
	assert.DeepEqual(t, p.OriginRegions(), []string{"r1"})
	for _, s := range p.Steps {
		want := FromOrigin
		if s.Zone.Region == "r2" {
			want = "r1"
		}
		assert.Equal(t, s.Source, want)
	}
}

// TestReplicasSpreadOverZones guards against putting most replicas in one zone.
func TestReplicasSpreadOverZones(t *testing.T) {
	p, err := NewPlan(Intent{Ref: v2, Workspaces: []string{"a"}, Replicas: 4}, manifest(v2), testSnapshot(12, 0, 0))
	assert.NilError(t, err)
	zones := map[string]int{}
	for _, s := range p.Steps {
		zones[s.Zone.Zone]++
	}
	assert.DeepEqual(t, zones, map[string]int{"z0": 2, "z1": 2})
}

// TestEvictionsAndWavesDependOnMemory checks that a plan has evictions and several waves
// only if the engines cannot hold both versions, and the errors if there is no plan.
func TestEvictionsAndWavesDependOnMemory(t *testing.T) {
	in := Intent{Ref: v2, Workspaces: []string{"a"}}
	large, err := NewPlan(in, manifest(v2), testSnapshot(6, 2*size, 2))
	assert.NilError(t, err)
	assert.Equal(t, large.Waves(), 1, "both versions fit: no box stops serving")
	small, err := NewPlan(in, manifest(v2), testSnapshot(6, size*3/2, 2))
	assert.NilError(t, err)
	assert.Equal(t, small.Waves(), 2, "6 boxes, floor 2: waves of 4 and 2 boxes")
	assert.DeepEqual(t, small.Steps[0].Evicts, []weights.Ref{v1})
	assert.Equal(t, small.Capacities[0].Lowest, 2)
	_, err = NewPlan(in, manifest(v2), testSnapshot(6, size/2, 2))
	assert.Assert(t, errors.Is(err, ErrNoMemory))
	_, err = NewPlan(in, manifest(v2), testSnapshot(2, size*3/2, 2))
	assert.Assert(t, errors.Is(err, ErrFloor))
}

// TestWavesKeepTheFloor guards against a wave that takes a workspace below its floor
// and against boxes without a step, with random numbers of boxes and floors.
func TestWavesKeepTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "boxes")
		floor := rapid.IntRange(0, n).Draw(t, "floor")
		snap := testSnapshot(n, size*3/2, floor)
		p, err := NewPlan(Intent{Ref: v2, Workspaces: []string{"a"}}, manifest(v2), snap)
		if floor >= n {
			if !errors.Is(err, ErrFloor) {
				t.Fatalf("%d boxes, floor %d: %v", n, floor, err)
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		stopping := map[int]int{}
		for _, s := range p.Steps {
			stopping[s.Wave]++
		}
		for wave, k := range stopping {
			if n-k < floor {
				t.Fatalf("wave %d stops %d of %d boxes, floor %d", wave, k, n, floor)
			}
		}
		if len(p.Steps) != n {
			t.Fatalf("%d steps for %d boxes", len(p.Steps), n)
		}
	})
}

// TestNextWaveKeepsFloor guards against starting a wave after boxes have become
// unavailable, if a workspace would fall below its floor.
func TestNextWaveKeepsFloor(t *testing.T) {
	snap := testSnapshot(6, size*3/2, 2)
	p, err := NewPlan(Intent{Ref: v2, Workspaces: []string{"a"}}, manifest(v2), snap)
	assert.NilError(t, err)
	assert.Assert(t, NextWaveKeepsFloor(p, snap.Boxes, snap.Workspaces))
	assert.Assert(t, !NextWaveKeepsFloor(p, snap.Boxes[3:], snap.Workspaces), "3 boxes are available, 2 would stop, floor 2")
}

// TestInvalidIntents checks the errors for invalid intents, and for valid ones that the
// cluster cannot satisfy.
func TestInvalidIntents(t *testing.T) {
	for name, in := range map[string]Intent{
		"no version":   {Workspaces: []string{"a"}},
		"no workspace": {Ref: v1},
		"priority":     {Ref: v1, Workspaces: []string{"a"}, Priority: 101},
		"replicas":     {Ref: v1, Workspaces: []string{"a"}, Replicas: -1},
		"weighing":     {Ref: v1, Workspaces: []string{"a"}, Weighing: "cheapest"},
	} {
		assert.Assert(t, errors.Is(in.Validate(), errors.NotValid), name)
	}
	_, err := NewPlan(Intent{Ref: v1, Workspaces: []string{"c"}}, manifest(v1), testSnapshot(2, 0, 0))
	assert.Assert(t, errors.Is(err, ErrUnknownWorkspace))
	_, err = NewPlan(Intent{Ref: v1, Workspaces: []string{"a"}, Zones: []string{"z9"}}, manifest(v1), testSnapshot(2, 0, 0))
	assert.Assert(t, errors.Is(err, ErrNoBoxes))
}
