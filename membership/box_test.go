// SPDX-License-Identifier: Apache-2.0

package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// epoch is an arbitrary moment, to which the tests add durations.
var epoch = time.Unix(1000, 0)

// A listed box must be usable only while its process reports, is not draining and the
// list does not state that the box is leaving.
func TestReportsOverrideList(t *testing.T) {
	var v View
	v.SetList([]Box{{ID: "a", Role: Endpoint, State: Live}, {ID: "b", Role: Endpoint, State: Live}, {ID: "g", Role: Gateway, State: Live}})
	usable := func(id string, at time.Time) bool {
		m, ok := v.Member(id, at)
		return ok && m.Usable
	}
	assert.Assert(t, !usable("a", epoch), "listed without a report")
	v.ApplyReport(Report{Box: "a", Incarnation: "1", At: epoch})
	assert.Assert(t, usable("a", epoch.Add(time.Second)))
	assert.Assert(t, !usable("a", epoch.Add(2*DefaultReportTimeout)), "report timed out")
	v.ApplyReport(Report{Box: "a", Incarnation: "1", Draining: true, At: epoch.Add(time.Second)})
	assert.Assert(t, !usable("a", epoch.Add(time.Second)), "draining, but listed as live")
	v.ApplyReport(Report{Box: "a", Incarnation: "1", At: epoch}) // an older report that arrives late
	assert.Assert(t, !usable("a", epoch.Add(time.Second)), "an older report replaced a newer one")
	v.ApplyReport(Report{Box: "a", Incarnation: "2", At: epoch.Add(2 * time.Second)})
	assert.Assert(t, usable("a", epoch.Add(2*time.Second)), "a new incarnation on the same box")

	v.SetList([]Box{{ID: "a", Role: Endpoint, State: Leaving}})
	assert.Assert(t, !usable("a", epoch.Add(2*time.Second)))
	_, ok := v.Member("b", epoch)
	assert.Assert(t, !ok)
	assert.Equal(t, len(v.Members(Gateway, epoch)), 0)

	v.ReportTimeout = time.Minute
	v.SetList([]Box{{ID: "a", Role: Endpoint, State: Live}})
	assert.Assert(t, usable("a", epoch.Add(30*time.Second)))
}
