// SPDX-License-Identifier: Apache-2.0

package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/weights"
)

// The time at which the tests start, and the versions that their endpoints serve.
var (
	epoch = time.Unix(1000, 0)
	v1    = weights.Ref{Model: "m", Version: "v1"}
	v2    = weights.Ref{Model: "m", Version: "v2"}
)

// table returns a table of n usable endpoints on boxes b0, b1 and so on.
func table(n int, serving ...weights.Ref) *Table {
	t := new(Table)
	var eps []Endpoint
	for i := range n {
		eps = append(eps, Endpoint{Box: fmt.Sprintf("b%d", i), Incarnation: "1", Serving: serving, Usable: true, Slots: 8})
	}
	t.Update(eps)
	return t
}

// Choose must return only endpoints that are usable, serve the version and are not
// excluded.
func TestChooseMatchesOnly(t *testing.T) {
	tb := table(3, v1)
	_, ok := tb.Choose(Criteria{Version: v2}, epoch)
	assert.Assert(t, !ok, "an endpoint of another version was chosen")
	tb.MarkDraining("b0")
	seen := map[string]bool{}
	for range 100 {
		e, ok := tb.Choose(Criteria{Version: v1, Exclude: []string{"b1"}}, epoch)
		assert.Assert(t, ok)
		seen[e.Box] = true
	}
	assert.DeepEqual(t, seen, map[string]bool{"b2": true})
}

// An endpoint must be ejected after consecutive failures, for a bounded time, and only
// while there is another.
func TestEjection(t *testing.T) {
	tb := table(2, v1)
	for range ejectAfter {
		_, _ = tb.Take("b0", epoch)
		tb.Done("b0", false, epoch)
	}
	for range 50 {
		e, _ := tb.Choose(Criteria{Version: v1}, epoch)
		assert.Equal(t, e.Box, "b1")
		tb.Done(e.Box, true, epoch)
	}
	seen := map[string]bool{}
	for range 100 {
		e, _ := tb.Choose(Criteria{Version: v1}, epoch.Add(2*ejectMin))
		seen[e.Box] = true
		tb.Done(e.Box, true, epoch)
	}
	assert.Equal(t, len(seen), 2, "an endpoint must be used again after its ejection")
	e, ok := tb.Choose(Criteria{Version: v1, Exclude: []string{"b1"}}, epoch)
	assert.Assert(t, ok && e.Box == "b0", "an ejected endpoint must be used if there is no other")
}

// Requests with the same prefix must prefer one endpoint, but must not overload it.
func TestPrefixAffinityIsBounded(t *testing.T) {
	tb := table(8, v1)
	count := map[string]int{}
	for range 80 {
		e, _ := tb.Choose(Criteria{Version: v1, Prefix: "the same start"}, epoch)
		count[e.Box]++
	}
	most := slices.Max([]int{count["b0"], count["b1"], count["b2"], count["b3"], count["b4"], count["b5"], count["b6"], count["b7"]})
	assert.Assert(t, most >= 80/8, "the prefix has no preferred endpoint")
	assert.Assert(t, most <= 80/8+affinitySlack+8, "one endpoint got %d of 80 requests with the same prefix", most)
}

// Retries must be limited to BudgetShare of the requests plus BudgetBurst.
func TestBudgetBoundsRetries(t *testing.T) {
	var b Budget
	retries := 0
	for range 1000 {
		b.AddRequest()
		for range 3 {
			if b.TakeRetry() {
				retries++
			}
		}
	}
	assert.Assert(t, float64(retries) <= 1000*BudgetShare+BudgetBurst+1, "%d retries for 1000 requests", retries)
	assert.Assert(t, retries > 50)
}

// A workspace at its limit must not affect another workspace.
func TestLimits(t *testing.T) {
	var l Limits
	assert.Assert(t, l.Acquire("a", 2))
	assert.Assert(t, l.Acquire("a", 2))
	assert.Assert(t, !l.Acquire("a", 2))
	assert.Assert(t, l.Acquire("b", 2), "another workspace must not be limited")
	l.Release("a")
	assert.Assert(t, l.Acquire("a", 2))
}

// Each endpoint of a large group must be used by several gateways, and each gateway
// must use a bounded share.
func TestSubset(t *testing.T) {
	var endpoints, gateways []string
	for i := range 410 {
		endpoints = append(endpoints, fmt.Sprintf("box-%03d", i))
	}
	for i := range 10 {
		gateways = append(gateways, fmt.Sprintf("gw-%d", i))
	}
	users := map[string]int{}
	for _, g := range gateways {
		s := Subset(g, endpoints, gateways)
		assert.Assert(t, len(s) >= SubsetMin && len(s) < 410/2, "%s uses %d of 410", g, len(s))
		for _, e := range s {
			users[e]++
		}
	}
	for _, e := range endpoints {
		assert.Assert(t, users[e] >= subsetCover, "%s is used by %d gateways", e, users[e])
	}
	assert.DeepEqual(t, Subset("g", endpoints[:6], gateways), endpoints[:6])
	assert.Assert(t, len(Subset("gw-3", endpoints[:12], gateways)) >= SubsetMin)
}
