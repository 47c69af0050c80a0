// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request to an older version close to a deadline on a box that may be
// frozen: such a box begins what it has queued when it resumes. An engine with a recent
// report may still queue requests then.
func TestOlderVersionNeedsRecentReport(t *testing.T) {
	q := query()
	q.ReportedMinVersion = 2
	for _, test := range []struct {
		name   string
		report Report
		after  time.Duration
		want   string
	}{
		{"recent report", report("a", 1, 1, 1), recentReport - time.Millisecond, "a"},
		{"older report", report("a", 1, 0, 0), recentReport, ""},
		{"new version", report("a", 2, 0, 0), recentReport, "a"},
	} {
		f := engines(1)
		f.ApplyReport(test.report, time.Millisecond, start)
		assert.Equal(t, chosen(f, q, start.Add(test.after)), test.want, test.name)
	}
	assert.Equal(t, chosen(engines(1), q, start), "", "no report")
}
