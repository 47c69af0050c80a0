// SPDX-License-Identifier: Apache-2.0

package layerset

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests to an engine that still runs an older version: a version counts
// as complete only if each layer is of it, also for a sidecar that has just started and does
// not know the number of layers.
func TestVersionIsCompleteWithAllLayers(t *testing.T) {
	for _, c := range []struct {
		name   string
		named  int
		parts  []Part
		layers int
		want   int
	}{
		{"all of one version", 2, []Part{{0, 4, 2}}, 4, 2},
		{"two versions", 2, []Part{{0, 3, 1}, {3, 4, 2}}, 4, 0},
		{"two versions, number unknown", 2, []Part{{0, 3, 1}, {3, 4, 2}}, 0, 0},
		{"another version, number unknown", 2, []Part{{0, 4, 1}}, 0, 1},
		{"one version, number unknown", 2, []Part{{0, 2, 2}, {2, 4, 2}}, 0, 2},
		{"a layer listed twice, another missing", 2, []Part{{0, 3, 2}, {1, 3, 2}}, 4, 0},
		{"both complete", 1, []Part{{0, 4, 1}, {0, 4, 2}}, 4, 1},
		{"both complete, another named", 3, []Part{{0, 4, 1}, {0, 4, 2}, {0, 4, 5}}, 4, 0},
		{"invalid range", 2, []Part{{-5, 1e9, 2}}, 4, 2},
		{"invalid range, number unknown", 2, []Part{{-5, 1e9, 2}}, 0, 2},
		{"empty range", 2, []Part{{4, 0, 2}}, 4, 0},
		{"no layers", 2, nil, 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 20 { // the order of a map varies
				assert.Equal(t, Complete(c.named, c.parts, c.layers), c.want)
			}
		})
	}
}
