// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// large is a service of n engines in five regions, seen from a gateway.
func large(gateway string, region, n int) *Fleet {
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

// Reports must not grow with the product of gateways and engines; still every
// engine has watchers, nearly all of them in several regions, and all gateways
// share some.
func TestEachEngineHasEnoughWatchers(t *testing.T) {
	const gateways = 53
	for _, n := range []int{20, 48, 120, 204, 610} {
		watchers := make(map[string]int)
		foreign := make(map[string]map[int]bool)
		for g := range gateways {
			f := large(fmt.Sprint("g", g), g%5, n)
			list := f.watched("s")
			assert.Assert(t, len(list) <= max(watchedEngines, n/5+1+watchedFar)+census, "%d of %d", len(list), n)
			for _, e := range list {
				watchers[e.ID]++
				if foreign[e.ID] == nil {
					foreign[e.ID] = make(map[int]bool)
				}
				foreign[e.ID][g%5] = true
			}
		}
		assert.Equal(t, len(watchers), n, "each engine is watched")
		common, shared := 0, 0
		for id, count := range watchers {
			if count == gateways {
				common++
			}
			if n <= 204 {
				assert.Assert(t, count >= 6, "%s of %d has %d watchers", id, n, count)
			}
			if len(foreign[id]) >= 2 {
				shared++
			}
		}
		if n <= 204 {
			assert.Assert(t, shared >= n*9/10, "%d of %d engines serve another region, too", shared, n)
		}
		assert.Assert(t, common >= census, "%d engines of %d tell how many gateways there are", common, n)
	}
}

// Requests go to engines that are watched; when none of these could take any,
// the others do.
func TestOthersAreTheLastResort(t *testing.T) {
	const n = 120
	f := large("g0", 0, n)
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
	assert.Assert(t, f.Choose(query(), start) == nil, "those that are watched are full, not gone")
	for id := range watched {
		leaving := f.byID[id].Record
		leaving.Draining = true
		f.Put(leaving)
	}
	e := f.Choose(query(), start)
	assert.Assert(t, e != nil && !watched[e.ID])
}

// An engine that joins, leaves or drains is taken into account at once.
func TestWatchingFollowsTheList(t *testing.T) {
	f := large("g0", 0, 120)
	gone := f.watched("s")[0]
	f.Remove(gone.ID)
	for _, e := range f.watched("s") {
		assert.Assert(t, e != gone)
	}
	added := Record{ID: "new", Service: "s", Address: "new:1", Zone: "z0", Models: map[string]int{model: 1}}
	f.Put(added)
	found := false
	for _, e := range f.watched("s") {
		found = found || e.ID == "new"
	}
	assert.Assert(t, found, "an engine of the own region")
}

// BenchmarkChoose shows that a choice does not cost more the more engines
// there are.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 120, 610} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := large("g0", 0, n)
			now := time.Unix(2000, 0)
			for i := range n {
				f.Heard(Report{Address: fmt.Sprintf("e%d:1", i), Model: model, Version: 1, Running: i % 4, Gateways: 53, Share: 0.02}, time.Millisecond, now)
			}
			for b.Loop() {
				if e := f.Choose(query(), now); e != nil {
					f.Begun(e, 50, 0, now)
					f.End(e, Answered, now)
				}
			}
		})
	}
}

// Gateways tell each other by sidecars that are heard; who is dead or stands
// still passes nothing on. All choose alike from what all watch.
func TestRelaysAreHeard(t *testing.T) {
	for _, n := range []int{1, 3, 12, 120} {
		f := New(Place{Box: "g", Zone: "z"})
		for i := range n {
			id := fmt.Sprint("e", i)
			f.Put(Record{ID: id, Service: "s", Address: id + ":1", Zone: fmt.Sprint("z", i%5)})
		}
		all := f.Relays("s", start)
		assert.Equal(t, len(all), min(n, census), "nobody is heard yet")
		for i := range n {
			f.Heard(Report{Address: fmt.Sprint("e", i, ":1")}, -1, start)
		}
		assert.DeepEqual(t, f.Relays("s", start), all)
		if n <= census {
			continue
		}
		later := start.Add(2 * reportLife)
		for i := range n {
			if address := fmt.Sprint("e", i, ":1"); address != all[0] && address != all[1] {
				f.Heard(Report{Address: address}, -1, later)
			}
		}
		heard := f.Relays("s", later)
		assert.Assert(t, !slices.Contains(heard, all[0]) && !slices.Contains(heard, all[1]))
		assert.Equal(t, heard[0], all[2])
		want := census
		if n > watchedEngines {
			want -= 2 // not all gateways watch another one
		}
		assert.Equal(t, len(heard), want)
	}
}
