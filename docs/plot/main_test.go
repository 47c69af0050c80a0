// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDraw checks that a plot is written, that windows without worth are left out,
// and that invalid reports are errors.
func TestDraw(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	before := file("before.json", `{"windows":[{"name":"0","worth":0.5},{"name":"2","worth":null},{"name":"4","worth":1}]}`)
	points, err := read(before)
	assert.NilError(t, err)
	assert.Equal(t, len(points), 2, "a window with null worth must be left out")
	out := filepath.Join(dir, "out.svg")
	assert.NilError(t, draw("a day", out, before, before))
	svg, err := os.ReadFile(out)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(svg), "a day"))
	for _, bad := range []string{"{", `{"windows":[]}`, `{"windows":[{"name":"x"}]}`} {
		_, err := read(file("bad.json", bad))
		assert.Assert(t, err != nil, bad)
	}
}
