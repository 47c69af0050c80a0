// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/docs"
)

const page = "../docs/CAPACITY.md"

// TestPageAgrees fails when the page's table and the data disagree.
func TestPageAgrees(t *testing.T) {
	rows, err := Committed(docs.Capacity, docs.Transfer)
	assert.NilError(t, err)
	var want strings.Builder
	Markdown(&want, rows)
	b, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(b), want.String()), "docs/CAPACITY.md is not what `go run ./cmd/mintlift capacity` prints:\n%s", want.String())
}

// TestStateSlopes measures the state's sizes anew: they are the same every
// run.
func TestStateSlopes(t *testing.T) {
	d, err := Parse(docs.Capacity)
	assert.NilError(t, err)
	assert.DeepEqual(t, StateCases(), d.State)
}

func TestFit(t *testing.T) {
	l := Fit([]float64{1, 2, 4}, []float64{12, 14, 18})
	assert.Assert(t, abs(l.At0-10) < 1e-9 && abs(l.Slope-2) < 1e-9 && l.Worst < 1e-9)
	bent := Fit([]float64{1, 2, 4}, []float64{1, 4, 16})
	assert.Assert(t, strings.HasPrefix(bent.Quality(), "not straight"), bent.Quality())
	assert.Equal(t, Row{Value: 2, Bound: 1}.Verdict(), "**over**")
	assert.Equal(t, Row{Value: 1, Bound: 1}.Verdict(), "within")
}
