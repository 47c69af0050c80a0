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

// TestPageMatchesData guards against a table in docs/CAPACITY.md that is older
// than docs/capacity.json or docs/transfer.json.
func TestPageMatchesData(t *testing.T) {
	rows, err := RowsFromJSON(docs.Capacity, docs.Transfer)
	assert.NilError(t, err)
	var want strings.Builder
	Markdown(&want, rows)
	b, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(b), want.String()), "docs/CAPACITY.md is not what `go run ./cmd/mintlift capacity` prints:\n%s", want.String())
}

// TestPageMatchesSweeps guards against tables in docs/CAPACITY.md that are older
// than the reports in docs/sweeps.
func TestPageMatchesSweeps(t *testing.T) {
	sweeps, err := Sweeps(docs.Sweeps)
	assert.NilError(t, err)
	assert.Assert(t, len(sweeps) > 0)
	b, err := os.ReadFile(page)
	assert.NilError(t, err)
	for _, s := range sweeps {
		var want strings.Builder
		s.Markdown(&want)
		assert.Assert(t, strings.Contains(string(b), want.String()), "docs/CAPACITY.md is not what `go run ./cmd/mintlift capacity` prints:\n%s", want.String())
	}
}

// TestParseSweep checks the parsed fields of a benchmark report, a report
// without a target size, and the error for a report that lacks a day.
func TestParseSweep(t *testing.T) {
	const report = `
day                  own/srv  score  worth served refused failed  weakest part
sweep-30              31/301   0.79  0.786  0.994   0.000  0.002  worst class 0.95; prices 0.198
sweep-100           102/1002   0.00  0.401  0.984   0.000  0.004  worst class 0.98  BROKEN: GONE 1 (else 0.4)

middle / busiest or longest, by own machines
                                        30             100  power  at 345
gateway: processor %             3.3 / 4.0       3.9 / 6.0   -0.0  6.0
config acked, ms                 128 / 129       141 / 141   0.05  150
power: the busiest grows as machines to this power
`
	s, err := ParseSweep("site", report)
	assert.NilError(t, err)
	assert.DeepEqual(t, s, Sweep{
		Site: "site", Sizes: []int{30, 100}, Target: 345,
		Days: []SweepDay{{Name: "sweep-30", Worth: 0.786, Served: 0.994}, {Name: "sweep-100", Worth: 0.401, Served: 0.984, Broken: "GONE 1 (else 0.4)"}},
		Rows: []SweepRow{
			{Name: "gateway: processor %", Busiest: []string{"4.0", "6.0"}, Power: "-0.0", AtTarget: "6.0"},
			{Name: "config acked, ms", Busiest: []string{"129", "141"}, Power: "0.05", AtTarget: "150"},
		},
	})
	s, err = ParseSweep("site", strings.Replace(report, "at 345", "at null", 1))
	assert.NilError(t, err)
	assert.Equal(t, s.Target, 0)
	_, err = ParseSweep("site", strings.Replace(report, "sweep-100 ", "other-100 ", 1))
	assert.ErrorContains(t, err, "1 days")
}

// TestStateSlopes guards against checkpoint sizes in docs/capacity.json that
// differ from those of the current code. The sizes are deterministic.
func TestStateSlopes(t *testing.T) {
	d, err := Parse(docs.Capacity)
	assert.NilError(t, err)
	assert.DeepEqual(t, StateCases(), d.State)
}

// TestFit checks the fit of points on a line, that points off a line are
// described as such, and the verdicts on a row.
func TestFit(t *testing.T) {
	l := Fit([]float64{1, 2, 4}, []float64{12, 14, 18})
	assert.Assert(t, abs(l.Intercept-10) < 1e-9 && abs(l.Slope-2) < 1e-9 && l.MaxRelativeError < 1e-9)
	curved := Fit([]float64{1, 2, 4}, []float64{1, 4, 16})
	assert.Assert(t, strings.HasPrefix(curved.Summary(), "not straight"), curved.Summary())
	assert.Equal(t, Row{Value: 2, Bound: 1}.Verdict(), "**over**")
	assert.Equal(t, Row{Value: 1, Bound: 1}.Verdict(), "within")
}
