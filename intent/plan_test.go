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

var (
	v1 = weights.Ref{Model: "m", Version: "v1"}
	v2 = weights.Ref{Model: "m", Version: "v2"}
)

const size = 1000

func manifest(ref weights.Ref) *weights.Manifest {
	m := &weights.Manifest{Ref: ref, Bytes: size, ChunkBytes: 100}
	for range 10 {
		m.Chunks = append(m.Chunks, weights.Sum(nil))
	}
	return m
}

// world has n boxes in two regions that serve v1 to workspace a.
func world(n int, memory int64, floor int) World {
	w := World{
		Base:       7,
		Now:        time.Unix(1000, 0),
		Workspaces: map[string]workspace.Workspace{"a": {Name: "a", Priority: 30, Floor: floor}, "b": {Name: "b", Priority: 60}},
		Links:      Links{Origin: 200, Box: 100},
		Weighing:   TimeToReplicas,
		TTL:        time.Minute,
	}
	for i := range n {
		zone := membership.AvailabilityZone{Region: "r" + string(rune('1'+i%2)), Zone: fmt.Sprintf("z%d", i%2)}
		w.Boxes = append(w.Boxes, Candidate{
			Box:         membership.Box{ID: fmt.Sprintf("b%02d", i), Zone: zone, Role: membership.Endpoint},
			MemoryBytes: memory,
			Loaded:      []LoadedVersion{{Ref: v1, Bytes: size, Workspaces: []string{"a"}}},
		})
	}
	return w
}

func TestWeighingChangesThePlan(t *testing.T) {
	in := Intent{Ref: v2, Workspaces: []string{"a", "b"}}
	fast, err := Make(in, manifest(v2), world(12, 0, 0))
	assert.NilError(t, err)
	in.Weighing = OriginBytes
	cheap, err := Make(in, manifest(v2), world(12, 0, 0))
	assert.NilError(t, err)
	assert.Equal(t, fast.ExtraCopies, 1.0)
	assert.Equal(t, cheap.ExtraCopies, 0.0)
	assert.DeepEqual(t, fast.Forecasts, cheap.Forecasts) // both plans show both prices
	assert.Assert(t, fast.Forecasts[0].TimeToReplicas < fast.Forecasts[1].TimeToReplicas)
	assert.Assert(t, fast.Forecasts[0].OriginBytes > fast.Forecasts[1].OriginBytes)
	assert.Equal(t, fast.Priority, 60, "the highest price of its workspaces")
	floor := time.Duration(float64(size) / 100 * float64(time.Second))
	assert.Assert(t, cheap.Forecasts[1].TimeToReplicas >= floor)
	assert.Equal(t, fast.Base, int64(7))
}

func TestOneRegionReadsFromTheOrigin(t *testing.T) {
	p, err := Make(Intent{Ref: v2, Workspaces: []string{"a"}}, manifest(v2), world(4, 0, 0))
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

func TestReplicasSpreadOverZones(t *testing.T) {
	p, err := Make(Intent{Ref: v2, Workspaces: []string{"a"}, Replicas: 4}, manifest(v2), world(12, 0, 0))
	assert.NilError(t, err)
	zones := map[string]int{}
	for _, s := range p.Steps {
		zones[s.Zone.Zone]++
	}
	assert.DeepEqual(t, zones, map[string]int{"z0": 2, "z1": 2})
}

func TestMemoryDecidesEvictionsAndWaves(t *testing.T) {
	in := Intent{Ref: v2, Workspaces: []string{"a"}}
	roomy, err := Make(in, manifest(v2), world(6, 2*size, 2))
	assert.NilError(t, err)
	assert.Equal(t, roomy.Waves(), 1, "two versions fit: nobody stops serving")
	tight, err := Make(in, manifest(v2), world(6, size*3/2, 2))
	assert.NilError(t, err)
	assert.Equal(t, tight.Waves(), 2, "6 boxes, floor 2: 4 and 2")
	assert.DeepEqual(t, tight.Steps[0].Evicts, []weights.Ref{v1})
	assert.Equal(t, tight.Capacities[0].Lowest, 2)
	_, err = Make(in, manifest(v2), world(6, size/2, 2))
	assert.Assert(t, errors.Is(err, ErrNoMemory))
	_, err = Make(in, manifest(v2), world(2, size*3/2, 2))
	assert.Assert(t, errors.Is(err, ErrFloor))
}

// TestWavesKeepTheFloor draws sizes and floors: in no wave do more boxes
// stop than the floor allows, and every box is in some wave.
func TestWavesKeepTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "boxes")
		floor := rapid.IntRange(0, n).Draw(t, "floor")
		w := world(n, size*3/2, floor)
		p, err := Make(Intent{Ref: v2, Workspaces: []string{"a"}}, manifest(v2), w)
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

// TestNextWaveWaitsForTheFloor takes boxes away between two waves.
func TestNextWaveWaitsForTheFloor(t *testing.T) {
	w := world(6, size*3/2, 2)
	p, err := Make(Intent{Ref: v2, Workspaces: []string{"a"}}, manifest(v2), w)
	assert.NilError(t, err)
	assert.Assert(t, NextWaveKeepsFloor(p, w.Boxes, w.Workspaces))
	assert.Assert(t, !NextWaveKeepsFloor(p, w.Boxes[3:], w.Workspaces), "3 boxes are left, 2 would stop, floor 2")
}

func TestIntentsThatCannotBe(t *testing.T) {
	for name, in := range map[string]Intent{
		"no version":   {Workspaces: []string{"a"}},
		"no workspace": {Ref: v1},
		"priority":     {Ref: v1, Workspaces: []string{"a"}, Priority: 101},
		"replicas":     {Ref: v1, Workspaces: []string{"a"}, Replicas: -1},
		"weighing":     {Ref: v1, Workspaces: []string{"a"}, Weighing: "cheapest"},
	} {
		assert.Assert(t, errors.Is(in.Validate(), errors.NotValid), name)
	}
	_, err := Make(Intent{Ref: v1, Workspaces: []string{"c"}}, manifest(v1), world(2, 0, 0))
	assert.Assert(t, errors.Is(err, ErrUnknownWorkspace))
	_, err = Make(Intent{Ref: v1, Workspaces: []string{"a"}, Zones: []string{"z9"}}, manifest(v1), world(2, 0, 0))
	assert.Assert(t, errors.Is(err, ErrNoBoxes))
}
