// SPDX-License-Identifier: Apache-2.0

package fetchplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// deployment has the figures of a deployment that a plan depends on.
type deployment struct {
	name           string
	chunks         int
	originInterval time.Duration // of a chunk
	boxInterval    time.Duration // at 0.88 of the box's link
	deadline       time.Duration // from a version's announcement
}

// cutoffMargin is the time from a version's cutoff to its deadline.
const cutoffMargin = 850 * time.Millisecond

// deployments are those of docs/contended-fleets.md.
var deployments = []deployment{
	{"larger copies", 96, 44900 * time.Microsecond, 30600 * time.Microsecond, 13400 * time.Millisecond},
	{"smaller copies", 64, 44100 * time.Microsecond, 39200 * time.Microsecond, 10300 * time.Millisecond},
}

// epoch is the time at which version 2 is announced.
var epoch = time.Unix(1000, 0)

// input returns the state at the given time after the announcement of version 2,
// without versions, of an engine that serves version 1.
func (d deployment) input(at time.Duration) Input {
	return Input{
		Now: epoch.Add(at), Serving: 1, Chunks: d.chunks, OriginInterval: d.originInterval, BoxInterval: d.boxInterval,
		Spread: 400 * time.Millisecond, Drain: 500 * time.Millisecond, Load: 400 * time.Millisecond,
	}
}

// version returns a version that is announced at the given time, and of which all
// boxes hold the same chunks.
func (d deployment) version(number int, announced time.Duration, held int) Version {
	return Version{Number: number, Cutoff: epoch.Add(announced + d.deadline - cutoffMargin), FromOrigin: d.chunks - held, Missing: d.chunks - held}
}

// At the origin's return, a version of which most is held must be completed if it
// bridges more time than its chunks delay the newer version, and must not delay it
// otherwise. A partly held version must be kept in either case. Guards against a plan
// that abandons nearly complete versions, or that holds none for longer than necessary.
func TestPartlyHeldVersionAfterOutage(t *testing.T) {
	older, newer := []int{2, 3}, []int{3}
	// want has a row for each share that is held. Its columns are a return of the origin
	// 1, 3 and 5 s before the deadline of version 2.
	want := map[string]map[float64][][]int{
		"larger copies": {
			0.3: {newer, newer, newer},
			0.6: {newer, newer, older},
			0.9: {older, older, older},
		},
		"smaller copies": {
			0.3: {newer, newer, older},
			0.6: {newer, older, older},
			0.9: {older, older, older},
		},
	}
	for _, d := range deployments {
		for share, row := range want[d.name] {
			for at, fetch := range row {
				before := time.Duration(2*at+1) * time.Second
				t.Run(fmt.Sprintf("%s, %.1f held, back %s before its deadline", d.name, share, before), func(t *testing.T) {
					held := int(share * float64(d.chunks))
					in := d.input(d.deadline - before)
					in.Versions = []Version{d.version(2, 0, held), d.version(3, 2*time.Second, 0)}
					p := Choose(in)
					t.Logf("fetch %v keep %v gap %s slack %s", p.Fetch, p.Keep, p.Gap, p.Slack)
					assert.DeepEqual(t, p.Fetch, fetch)
					assert.Equal(t, len(p.Drop), 0)
					in.OriginDown = 4 * time.Second
					assert.DeepEqual(t, Choose(in).Fetch, fetch)
				})
			}
		}
	}
}

// Load: at 26.5 s the origin returns, 13 of 64 chunks of
// version 2 are missing and version 3 has none. Guards against the abandonment of
// version 2, which is served sooner and does not delay the newer one beyond its use.
func TestHeaviestDay(t *testing.T) {
	d := deployments[1]
	in := d.input(8500 * time.Millisecond)
	in.Versions = []Version{d.version(2, 0, 51), d.version(3, 2*time.Second, 0)}
	p := Choose(in)
	assert.DeepEqual(t, p.Fetch, []int{2, 3})
	assert.Assert(t, p.Gap < 1800*time.Millisecond, "%s", p.Gap)
	assert.Assert(t, in.evaluate(in.Versions[1:]).Gap > p.Gap+800*time.Millisecond)
}

// A third version that is announced meanwhile must not evict a version that still
// bridges a gap. A version must be dropped only after its last use.
func TestThirdVersion(t *testing.T) {
	for _, d := range deployments {
		in := d.input(d.deadline - 3*time.Second)
		in.Versions = []Version{d.version(2, 0, d.chunks-4), d.version(3, 2*time.Second, 0), d.version(4, 6*time.Second, 0)}
		p := Choose(in)
		assert.DeepEqual(t, p.Fetch, []int{2, 4})
		assert.DeepEqual(t, p.Keep, []int{3})
		in.Now = in.Versions[1].Cutoff
		p = Choose(in)
		assert.DeepEqual(t, p.Drop, []int{2})
	}
}

// An older version must not be fetched if the newer one, or its cutoff, follows so
// soon that engines would load it for nothing.
func TestBriefUseIsNotWorthItsChunks(t *testing.T) {
	d := deployments[1]
	in := d.input(0)
	in.Serving = 0 // any version shortens the gap
	served := time.Duration(2)*d.originInterval + in.Spread + in.Load
	for _, c := range []struct {
		use   time.Duration
		fetch []int
	}{{minUseful - time.Millisecond, []int{3}}, {minUseful, []int{2, 3}}} {
		in.Versions = []Version{d.version(2, 0, d.chunks-2), d.version(3, 0, 0)}
		in.Versions[1].Cutoff = in.Now.Add(served + c.use)
		assert.DeepEqual(t, Choose(in).Fetch, c.fetch)
	}
}

// A plan must not change for a gain within the error of the estimates. Guards against
// a plan that alternates between two versions and completes neither.
func TestPlanDoesNotAlternate(t *testing.T) {
	d := deployments[1]
	changes := 0
	var current []int
	for k := range 40 {
		in := d.input(d.deadline - 3300*time.Millisecond)
		in.Versions = []Version{d.version(2, 0, 39+k%2), d.version(3, 2*time.Second, 0)}
		in.Current = current
		if p := Choose(in); !slices.Equal(p.Fetch, current) {
			changes++
			current = p.Fetch
		}
	}
	assert.Assert(t, changes <= 2, "%d changes", changes)
}

// A version whose manifest is not held must not be fetched before the newest, as it is
// unknown how much of it must come from the origin. It must be kept to be opened.
func TestUnopenedVersionIsKept(t *testing.T) {
	d := deployments[0]
	in := d.input(d.deadline - 5*time.Second)
	in.Versions = []Version{d.version(2, 0, d.chunks), d.version(3, 2*time.Second, 0)}
	in.Versions[0].Unopened = true
	p := Choose(in)
	assert.DeepEqual(t, p.Fetch, []int{3})
	assert.DeepEqual(t, p.Keep, []int{2})
}

// With unknown cutoffs, an older version must be completed first only if most of it is
// held.
func TestUnknownCutoff(t *testing.T) {
	d := deployments[0]
	for held, fetch := range map[int][]int{d.chunks / 2: {3}, d.chunks * 2 / 3: {2, 3}} {
		in := d.input(0)
		in.Versions = []Version{d.version(2, 0, held), d.version(3, 0, 0)}
		in.Versions[1].Cutoff = time.Time{}
		assert.DeepEqual(t, Choose(in).Fetch, fetch)
	}
}

// The gap of a plan must be the time in which no version may serve, found here by
// sampling. Guards against errors in the sums over versions whose uses overlap, have
// holes between them or end before they begin.
func TestGapBySampling(t *testing.T) {
	const step = 10 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		d := deployments[rapid.IntRange(0, 1).Draw(t, "deployment")]
		in := d.input(rapid.SampledFrom([]time.Duration{0, 4, 8, 12, 16}).Draw(t, "at") * time.Second)
		in.Serving = rapid.IntRange(0, 1).Draw(t, "serving")
		announced := time.Duration(0)
		for n := range rapid.IntRange(1, 3).Draw(t, "versions") {
			in.Versions = append(in.Versions, d.version(n+2, announced, rapid.IntRange(0, d.chunks).Draw(t, "held")))
			announced += time.Duration(rapid.IntRange(0, 4000).Draw(t, "later")) * time.Millisecond
		}
		p := Choose(in)
		gap := time.Duration(0)
		for now := in.Now; now.Before(in.Now.Add(time.Minute)); now = now.Add(step) {
			serving := in.Serving > 0 && now.Before(in.lastUse(in.Serving))
			for at, version := range p.Fetch {
				serving = serving || !now.Before(p.Served[at]) && now.Before(in.lastUse(version))
			}
			if !serving {
				gap += step
			}
		}
		assert.Assert(t, (gap-p.Gap).Abs() <= 4*step, "%s by sampling, %s planned", gap, p.Gap)
	})
}

// At the return of the origin, the boxes of its region see the chunks of version 2 arrive,
// and those of other regions do not yet. Guards against the latter abandoning version 2
// when its cutoff passes meanwhile: the origin would have sent it for a part of the boxes
// only, and version 3 would be late for all.
func TestRegionsAgreeDuringReturnOfOrigin(t *testing.T) {
	d := deployments[1]
	in := d.input(9600 * time.Millisecond) // just after the cutoff of version 1
	in.Versions = []Version{d.version(2, 0, 50), d.version(3, 2*time.Second, 0)}
	in.OriginDown, in.Current = 4300*time.Millisecond, []int{2, 3}
	assert.DeepEqual(t, Choose(in).Fetch, []int{2, 3})
	in.Versions = []Version{d.version(2, 0, 30), d.version(3, 2*time.Second, 0)}
	assert.DeepEqual(t, Choose(in).Fetch, []int{3}) // the gain exceeds the uncertainty
}
