// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// largeFleet returns the fleet of a gateway, for a service of n engines in five
// regions.
func largeFleet(gateway string, region, n int) *Fleet {
	regions := make(map[string]string)
	for r := range 5 {
		regions[fmt.Sprint("z", r)] = fmt.Sprint("r", r)
	}
	f := New(Place{Box: gateway, Zone: fmt.Sprint("z", region), Regions: regions})
	for i := range n {
		id := fmt.Sprint("e", i)
		f.Put(Record{ID: id, Service: "s", Address: id + ":1", Zone: fmt.Sprint("z", i%5), Models: map[string]int{model: 1}})
	}
	return f
}

// A gateway must watch a bounded number of engines. Each engine must be watched by
// several gateways, nearly all engines by gateways of several regions, and the sidecars of
// some engines must be contacted by all gateways.
func TestEachEngineHasEnoughWatchers(t *testing.T) {
	const gateways = 53
	for _, n := range []int{20, 48, 120, 204, 610} {
		watchers, contacts := make(map[string]int), make(map[string]int)
		regions := make(map[string]map[int]bool)
		for g := range gateways {
			f := largeFleet(fmt.Sprint("g", g), g%5, n)
			var local []string
			for other := g % 5; other < gateways; other += 5 {
				local = append(local, fmt.Sprint("g", other))
			}
			f.SetLocalGateways(local)
			list := f.watched("s")
			assert.Assert(t, len(list) <= max(watchTarget, 2*minWatchers*(n/5+1)/len(local)+watchRemoteMin), "%d of %d", len(list), n)
			for _, address := range f.Unwatched("s") {
				contacts[strings.TrimSuffix(address, ":1")]++
			}
			for _, e := range list {
				contacts[e.ID]++
				watchers[e.ID]++
				if regions[e.ID] == nil {
					regions[e.ID] = make(map[int]bool)
				}
				regions[e.ID][g%5] = true
			}
		}
		assert.Equal(t, len(watchers), n, "each engine must be watched")
		common, multiRegion := 0, 0
		for id, count := range watchers {
			if contacts[id] == gateways {
				common++
			}
			assert.Assert(t, count >= minWatchers, "%s of %d has %d watchers", id, n, count)
			if len(regions[id]) >= 2 {
				multiRegion++
			}
		}
		if n <= 204 {
			assert.Assert(t, multiRegion >= n*9/10, "%d of %d engines are watched from several regions", multiRegion, n)
		}
		assert.Assert(t, common >= commonEndpoints, "the sidecars of %d of %d engines are contacted by all gateways", common, n)
	}
}

// The reports that cross the links between regions must not grow with the number of gateways
// of a region, also while the list is known in part and has engines of one region only.
func TestReportsBetweenRegionsAreBounded(t *testing.T) {
	for _, gateways := range []int{2, 10, 61, 120} { // of a region
		for _, known := range []string{"all engines", "engines of another region"} {
			total := 0
			for g := range gateways {
				f := largeFleet(fmt.Sprint("g", g), 0, 685)
				var local []string
				for other := range gateways {
					local = append(local, fmt.Sprint("g", other))
				}
				f.SetLocalGateways(local)
				if known != "all engines" {
					for _, e := range f.All() {
						if e.Zone != "z1" {
							f.Remove(e.ID)
						}
					}
				}
				for _, e := range f.watched("s") {
					if !f.local(e) {
						total++
					}
				}
			}
			t.Logf("%d gateways, %s: %d subscriptions to other regions", gateways, known, total)
			assert.Check(t, total <= regionRemoteTotal, "%d gateways, %s: %d", gateways, known, total)
		}
	}
}

// Engines that are not watched must be chosen only if every watched engine is
// unusable, for example draining. A full engine counts as usable.
func TestUnwatchedEnginesAreTheLastResort(t *testing.T) {
	const n = 120
	f := largeFleet("g0", 0, n)
	watched := make(map[string]bool)
	for _, e := range f.watched("s") {
		watched[e.ID] = true
	}
	for range n * 5 {
		e := f.Choose(query(), start)
		if e == nil {
			break
		}
		assert.Assert(t, watched[e.ID], e.ID)
	}
	assert.Assert(t, f.Choose(query(), start) == nil, "full watched engines must not cause a fallback")
	for id := range watched {
		draining := f.byID[id].Record
		draining.Draining = true
		f.Put(draining)
	}
	e := f.Choose(query(), start)
	assert.Assert(t, e != nil && !watched[e.ID])
}

// The watched endpoints must be selected again when engines are added or removed.
func TestWatchedIsUpdatedWithTheList(t *testing.T) {
	f := largeFleet("g0", 0, 120)
	removed := f.watched("s")[0]
	f.Remove(removed.ID)
	for _, e := range f.watched("s") {
		assert.Assert(t, e != removed)
	}
	added := Record{ID: "new", Service: "s", Address: "new:1", Zone: "z0", Models: map[string]int{model: 1}}
	f.Put(added)
	found := false
	for _, e := range f.watched("s") {
		found = found || e.ID == "new"
	}
	assert.Assert(t, found, "an engine of the own region must be watched")
}

// BenchmarkChoose measures how the cost of a choice depends on the number of
// engines.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 120, 610} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := largeFleet("g0", 0, n)
			now := time.Unix(2000, 0)
			for i := range n {
				f.ApplyReport(Report{Address: fmt.Sprintf("e%d:1", i), Model: model, Version: 1, Running: i % 4, Gateways: 53, DemandShare: 0.02}, time.Millisecond, now)
			}
			for b.Loop() {
				if e := f.Choose(query(), now); e != nil {
					f.RecordFirstByte(e, 50, 0, now)
					f.End(e, Responded, now)
				}
			}
		})
	}
}

// Relays must leave out sidecars that have stopped reporting, and must return only
// endpoints that all gateways watch.
func TestRelaysAreReporting(t *testing.T) {
	for _, n := range []int{1, 3, 12, 120} {
		f := New(Place{Box: "g", Zone: "z"})
		for i := range n {
			id := fmt.Sprint("e", i)
			f.Put(Record{ID: id, Service: "s", Address: id + ":1", Zone: fmt.Sprint("z", i%5)})
		}
		all := f.Relays("s", start)
		assert.Equal(t, len(all), min(n, commonEndpoints), "no sidecar has reported yet")
		for i := range n {
			f.ApplyReport(Report{Address: fmt.Sprint("e", i, ":1")}, -1, start)
		}
		assert.DeepEqual(t, f.Relays("s", start), all)
		if n <= commonEndpoints {
			continue
		}
		later := start.Add(2 * relayTTL)
		for i := range n {
			if address := fmt.Sprint("e", i, ":1"); address != all[0] && address != all[1] {
				f.ApplyReport(Report{Address: address}, -1, later)
			}
		}
		relays := f.Relays("s", later)
		assert.Assert(t, !slices.Contains(relays, all[0]) && !slices.Contains(relays, all[1]))
		assert.Equal(t, relays[0], all[2])
		want := commonEndpoints
		if n > watchTarget {
			want -= 2 // no further engine is watched by all gateways
		}
		assert.Equal(t, len(relays), want)
	}
}
