// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// ChooseAmong must find an endpoint among the result of Free for a weaker query
// exactly if a choice among all endpoints finds one.
func TestFreeKeepsEndpointsWithRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := engines(6)
		now := start
		for _, e := range f.Endpoints("s") {
			if rapid.Bool().Draw(t, "reports") {
				r := report(e.ID, rapid.IntRange(0, 3).Draw(t, "version"), rapid.IntRange(0, 6).Draw(t, "running"), rapid.IntRange(0, 3).Draw(t, "queued"))
				r.Busy = rapid.Bool().Draw(t, "busy")
				f.ApplyReport(r, -1, now)
			}
			if rapid.IntRange(0, 5).Draw(t, "draining") == 0 {
				e.Signals.SetListedDraining()
			}
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "later")) * time.Millisecond)
		strict := query()
		strict.MinVersion = rapid.IntRange(0, 2).Draw(t, "minVersion")
		weak := strict
		strict.MaxFirstByteMS = rapid.SampledFrom([]float64{0, 100, 250, 400}).Draw(t, "within")
		strict.MaxBacklogMS = rapid.SampledFrom([]float64{0, 50}).Draw(t, "backlog")
		strict.MaxLoad = float64(rapid.IntRange(1, 5).Draw(t, "limit"))
		if rapid.Bool().Draw(t, "tried") {
			strict.Exclude = map[string]bool{"a": true}
		}
		free := f.Free(weak, now)
		direct := f.cheapest(f.Endpoints("s"), &strict, now)
		among := f.ChooseAmong(free, strict, now)
		assert.Equal(t, among != nil, direct != nil)
		if among != nil {
			assert.Equal(t, among.InFlight(), 1)
		}
	})
}
