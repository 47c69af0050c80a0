// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// incarnation returns the record of endpoint a's incarnation started at startedMS.
func incarnation(startedMS int64) Record {
	return Record{ID: "a", Service: "s", Address: "a:1", Zone: "z", Models: map[string]int{model: 1}, StartedMS: startedMS}
}

// A restarted endpoint must not inherit the state of its earlier incarnation. Results
// of attempts sent to the earlier incarnation must not count against it.
func TestNewIncarnationStartsWithoutState(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(incarnation(1000))
	e := f.Choose(query(), start)
	f.RecordFirstByte(e, 50, -1, start)
	f.End(e, Broken, start)
	assert.Equal(t, chosen(f, query(), start), "", "the endpoint must be ejected")
	earlier := f.byID["a"]
	earlier.inFlight = 3

	assert.Assert(t, f.Put(incarnation(2000)), "a new incarnation is a change")
	assert.Equal(t, f.Len(), 1)
	assert.Equal(t, f.byID["a"].InFlight(), 0)
	assert.Equal(t, chosen(f, query(), start), "a")
	f.End(earlier, Broken, start)
	assert.Equal(t, f.byID["a"].InFlight(), 1, "a late result belongs to the earlier incarnation")
	assert.Equal(t, f.byID["a"].brokenInRow, 0)
}

// A delayed record of an earlier incarnation must not replace the current one.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(incarnation(2000))
	old := incarnation(1000)
	old.Draining = true
	assert.Assert(t, !f.Put(old))
	assert.Assert(t, !f.byID["a"].Draining)
	assert.Equal(t, f.byID["a"].StartedMS, int64(2000))
}

// A start time that becomes known later must not be taken for a restart.
func TestStartTimeIsAdopted(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(incarnation(0))
	e := f.Choose(query(), start)
	f.Put(incarnation(1000))
	assert.Equal(t, f.byID["a"], e)
	assert.Equal(t, e.StartedMS, int64(1000))
	f.Put(incarnation(0))
	assert.Equal(t, e.StartedMS, int64(1000))
}

// A report of a restarted engine must take effect before the list includes the new
// incarnation. Delayed reports of the earlier incarnation must be ignored.
func TestReportOfNewIncarnation(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(incarnation(1000))
	old := report("a", 1, 2, 0)
	old.StartedMS = 1000
	f.ApplyReport(old, -1, start)
	fresh := Report{Address: "a:1", StartedMS: 2000}
	e, changed := f.ApplyReport(fresh, -1, start.Add(time.Millisecond))
	assert.Assert(t, e != nil && changed)
	assert.Equal(t, e.HeldVersion(model, start.Add(2*time.Millisecond)), 0)
	assert.Equal(t, e.HeldVersion(model, start.Add(time.Minute)), 0, "the list still has the earlier incarnation after the report has expired")
	late, _ := f.ApplyReport(old, -1, start.Add(2*time.Millisecond))
	assert.Assert(t, late == nil)
	assert.Equal(t, chosen(f, query(), start.Add(3*time.Millisecond)), "")
	f.Put(incarnation(1000))
	assert.Equal(t, e.HeldVersion(model, start.Add(time.Minute)), 0)
	f.Put(incarnation(2000))
	assert.Equal(t, f.byID["a"].HeldVersion(model, start.Add(time.Minute)), 1, "the list has the new incarnation")
}
