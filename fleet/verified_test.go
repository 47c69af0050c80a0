// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against engines that are loaded again after a restart of their sidecars because
// the first report of the new sidecar, which does not know, replaces what a gateway knows.
func TestVerifiedLoadOutlivesUnverifiedReports(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(Record{ID: "a", Service: "s", Address: "a:1"})
	r := report("a", 3, 0, 0)
	r.Orders, r.Unverified = 2, true
	f.ApplyReport(r, -1, start)
	_, known := f.VerifiedLoad("a:1")
	assert.Assert(t, !known)
	r.Unverified = false
	f.ApplyReport(r, -1, start.Add(time.Second))
	r.Unverified = true
	f.ApplyReport(r, -1, start.Add(5*time.Second))
	load, known := f.VerifiedLoad("a:1")
	assert.Assert(t, known)
	assert.Equal(t, load, VerifiedLoad{Orders: 2, Version: 3, ReportedMS: 1000})
}

// Guards against a load of an engine's former process that is taken for one of the current
// process: the new process has another id, or another start time.
func TestVerifiedLoadIsOfOneProcess(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(Record{ID: "a", Service: "s", Address: "a:1"})
	r := report("a", 3, 0, 0)
	r.Orders = 2
	f.ApplyReport(r, -1, start)
	f.Put(Record{ID: "b", Service: "s", Address: "a:1"})
	_, known := f.VerifiedLoad("a:1")
	assert.Assert(t, !known, "another id")
	r.StartedMS = 1000
	f.ApplyReport(r, -1, start)
	f.ApplyReport(Report{Address: "a:1", StartedMS: 2000}, -1, start)
	_, known = f.VerifiedLoad("a:1")
	assert.Assert(t, !known, "another start time")
}

// Guards against requests to an engine that is being updated or has restarted: a sidecar
// whose read of the engine's state hangs repeats its last report, which must not count as
// new.
func TestReportCountsFromWhenItWasRead(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(Record{ID: "a", Service: "s", Address: "a:1"})
	r := report("a", 1, 0, 0)
	r.UpdateScheduled = true
	r.AgeMS = recentReport.Milliseconds()
	e, _ := f.ApplyReport(r, -1, start)
	assert.Equal(t, e.ReportAge(start), recentReport)
	assert.Assert(t, !e.MayServe(1, 2, 1, start))
	r.AgeMS = 0
	f.ApplyReport(r, -1, start)
	assert.Assert(t, e.MayServe(1, 2, 1, start))
	r.AgeMS = reportTTL.Milliseconds()
	f.ApplyReport(r, -1, start)
	assert.Assert(t, !e.fresh(start))
}
