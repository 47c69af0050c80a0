// SPDX-License-Identifier: Apache-2.0

package residency

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestRegionsOfRouteAndWorkspace(t *testing.T) {
	for _, test := range []struct {
		name             string
		route, workspace Regions
		want             string
	}{
		{"neither restricts", Of(), Of(), "any"},
		{"route alone", Of("west"), Of(), "west"},
		{"workspace alone", Of(), Of("west", "east"), "east,west"},
		{"both", Of("west", "north"), Of("west", "east"), "west"},
		{"nothing in common", Of("west"), Of("east"), "none"},
		{"the same twice", Of("west", "west"), Of("west"), "west"},
	} {
		got := test.route.Intersect(test.workspace)
		assert.Equal(t, got.String(), test.want, test.name)
		assert.Equal(t, got.Restricted(), test.want != "any", test.name)
	}
	assert.Assert(t, !Of("west").Intersect(Of("east")).AllowsAny([]string{"west", "east"}))
	assert.Assert(t, Of().AllowsAny([]string{"west"}))
}

// A region must be allowed exactly if all sets of an intersection allow it, in any order
// of the sets.
func TestIntersectAllowsWhatBothAllow(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	set := rapid.SliceOfN(rapid.SampledFrom(all), 0, 3)
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := set.Draw(t, "a"), set.Draw(t, "b"), set.Draw(t, "c")
		got, swapped := Of(a...).Intersect(Of(b...)).Intersect(Of(c...)), Of(c...).Intersect(Of(a...)).Intersect(Of(b...))
		for _, region := range all {
			want := true
			for _, names := range [][]string{a, b, c} {
				want = want && (len(names) == 0 || slices.Contains(names, region))
			}
			assert.Equal(t, got.Allows(region), want)
			assert.Equal(t, swapped.Allows(region), want)
		}
	})
}
