// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/backpressure"
)

// start is the time at which the tests start.
var start = time.Unix(1000, 0)

// model is the model that the engines of the tests serve.
const model = "m"

// engines returns a fleet of n engines of service s with ids from "a", which hold
// version 1 of the model.
func engines(n int) *Fleet {
	f := New(Place{Zone: "z"})
	for i := range n {
		id := string(rune('a' + i))
		f.Put(Record{ID: id, Service: "s", Address: id + ":1", Zone: "z", Models: map[string]int{model: 1}})
	}
	return f
}

// query returns the query of an attempt with a short prompt, for engines with 4 slots.
func query() Query {
	return Query{Service: "s", Model: model, Slots: 4, MaxLoad: 5, PrefillMS: 50, MeanPrefillMS: 50}
}

// report returns the load report of the engine with the given id in a fleet of engines.
func report(id string, version, running, queued int) Report {
	return Report{Address: id + ":1", Model: model, Version: version, Running: running, Queued: queued}
}

// chosen returns the id of the endpoint that Choose returns, or "" if there is none.
func chosen(f *Fleet, q Query, now time.Time) string {
	e := f.Choose(q, now)
	if e == nil {
		return ""
	}
	return e.ID
}

// Attempts without a response yet must count as load when the next is chosen.
func TestChooseSpreadsUnansweredPrompts(t *testing.T) {
	f := engines(3)
	seen := map[string]int{}
	for range 6 {
		seen[chosen(f, query(), start)]++
	}
	assert.DeepEqual(t, seen, map[string]int{"a": 2, "b": 2, "c": 2})
}

// An engine with prompts of other gateways queued must cost more than one that has
// only running requests.
func TestChooseCountsOthersBacklog(t *testing.T) {
	f := engines(2)
	f.ApplyReport(report("a", 1, 0, 3), 0, start)
	f.ApplyReport(report("b", 1, 2, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "b")
}

// An engine whose load has reached Query.MaxLoad must not be chosen.
func TestChooseRespectsMaxLoad(t *testing.T) {
	f := engines(1)
	f.ApplyReport(report("a", 1, 5, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "")
	f.ApplyReport(report("a", 1, 4, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "a")
	assert.Equal(t, chosen(f, query(), start), "", "own attempts must count at once")
}

// An endpoint must not be chosen if the platform's list marks it as draining or does
// not contain it anymore.
func TestDrainingAndRemovedEndpointsAreNotChosen(t *testing.T) {
	f := engines(2)
	f.Put(Record{ID: "a", Service: "s", Address: "a:1", Draining: true, Models: map[string]int{model: 1}})
	f.Remove("b")
	assert.Equal(t, chosen(f, query(), start), "")
}

// An endpoint that signalled a drain must not be chosen after its record was removed
// and added again. A new incarnation starts without signals.
func TestDrainSignalIsKeptAfterRemoval(t *testing.T) {
	f := New(Place{Zone: "z"})
	r := Record{ID: "a", Service: "s", Address: "a:1", StartedMS: 5, Models: map[string]int{model: 1}}
	for _, removeRecord := range []func(){
		func() {},
		func() { f.Remove("a") },
		func() { f.Replace(nil) },
		func() { f.Put(Record{ID: "other", Service: "s", Address: "a:1"}) },
		func() { f.PruneSignals(start) },
	} {
		f.Put(r)
		f.ByID("a").Signals.Observe(backpressure.Signal{Draining: true}, start, start)
		removeRecord()
		f.Put(r)
		assert.Equal(t, chosen(f, query(), start), "")
	}
	r.StartedMS = 6
	f.Put(r)
	assert.Equal(t, chosen(f, query(), start), "a")
}

// Backpressure signals in load reports must have the same effect as in responses.
func TestSignalsInReports(t *testing.T) {
	f := engines(2)
	r := report("a", 1, 0, 0)
	r.Draining = true
	f.ApplyReport(r, 0, start)
	f.ApplyReport(report("a", 1, 0, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "b")
	r = report("b", 1, 0, 0)
	r.Limited, r.Limit = true, 1
	f.ApplyReport(r, 0, start)
	assert.Equal(t, chosen(f, query(), start), "", "a limited endpoint gets nothing without a permit")
	f.ApplyReport(report("b", 1, 0, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "b", "the limit has ended")
}

// An engine must not be chosen while it reports that it loads a version or is drained
// for that.
func TestBusyEngineIsNotChosen(t *testing.T) {
	f := engines(1)
	r := report("a", 1, 0, 0)
	r.Busy = true
	f.ApplyReport(r, 0, start)
	assert.Equal(t, chosen(f, query(), start), "")
}

// An engine must not be chosen before its record or a report lists the model.
func TestEngineWithoutModelIsNotChosen(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(Record{ID: "a", Service: "s", Address: "a:1"})
	assert.Equal(t, chosen(f, query(), start), "")
	f.ApplyReport(report("a", 1, 0, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "a")
}

// An engine with a version below Query.MinVersion must not be chosen.
func TestMinVersion(t *testing.T) {
	f := engines(2)
	f.ApplyReport(report("b", 2, 4, 0), 0, start)
	q := query()
	q.MinVersion = 2
	assert.Equal(t, chosen(f, q, start), "b")
	assert.Equal(t, chosen(f, q, start), "", "b is full, and a holds version 1")
}

// An engine with a version below Query.NextMinVersion must be chosen only if it can
// begin the request at once.
func TestNextMinVersion(t *testing.T) {
	q := query()
	q.NextMinVersion = 2
	for _, test := range []struct {
		name      string
		report    Report
		roundTrip time.Duration
		want      string
	}{
		{"idle", report("a", 1, 0, 0), time.Millisecond, "a"},
		{"queue", report("a", 1, 0, 1), time.Millisecond, ""},
		{"one slot free", report("a", 1, 2, 0), time.Millisecond, ""},
		{"nearly full", report("a", 1, 3, 0), time.Millisecond, ""},
		{"slow link", report("a", 1, 0, 0), 200 * time.Millisecond, ""},
		{"new version", report("a", 2, 3, 1), 200 * time.Millisecond, "a"},
	} {
		f := engines(1)
		f.ApplyReport(test.report, test.roundTrip, start)
		assert.Equal(t, chosen(f, q, start), test.want, test.name)
	}
	f := engines(1)
	f.ApplyReport(report("a", 1, 0, 0), time.Millisecond, start)
	manySlots := q
	manySlots.Slots, manySlots.MaxLoad = 16, 16
	assert.Equal(t, chosen(f, manySlots, start), "a")
	assert.Equal(t, chosen(f, manySlots, start), "", "an unanswered prompt is queued there")

	f = engines(1)
	assert.Equal(t, chosen(f, q, start), "", "an engine without a report")
	f.ApplyReport(report("a", 1, 0, 0), time.Millisecond, start)
	assert.Equal(t, chosen(f, q, start.Add(recentReport)), "", "an engine without a recent report")
	f.ApplyReport(report("a", 1, 0, 0), time.Millisecond, start)
	e := f.Choose(q, start)
	f.RecordFirstByte(e, q.PrefillMS, time.Second, start)
	f.End(e, Responded, start)
	assert.Equal(t, chosen(f, q, start), "", "its last first bytes were late")
}

// Gateways that see the same free slots of an engine with a version below
// Query.NextMinVersion must not all use them at once, however old the report is: the
// engine would not begin these requests at once.
func TestOlderVersionSlotsAreTakenInTurn(t *testing.T) {
	const gateways, slots, free = 26, 12, 4
	q := query()
	q.NextMinVersion, q.Slots, q.MaxLoad = 2, slots, slots
	for age := time.Duration(0); age < recentReport; age += 10 * time.Millisecond {
		sends := 0
		for ahead := range gateways {
			f := engines(1)
			r := report("a", 1, slots-free, 0)
			r.Gateways, r.DemandAhead, r.DemandShare = gateways, float64(ahead), 1.0/gateways
			f.ApplyReport(r, time.Millisecond, start)
			if f.Choose(q, start.Add(age)) != nil {
				sends++
			}
		}
		assert.Assert(t, sends >= 1 && sends <= free, "%d requests for %d free slots, %s after the report", sends, free, age)
	}
}

// An engine with a version below Query.MinVersion must be chosen only if its sidecar
// reports a scheduled update and it can begin the request at once.
func TestScheduledUpdateExtendsOlderVersion(t *testing.T) {
	q := query()
	q.NextMinVersion, q.MinVersion, q.MinVersionBeforeUpdate = 2, 2, 1
	scheduled := func(running, queued int, busy bool) Report {
		r := report("a", 1, running, queued)
		r.UpdateScheduled, r.Busy = true, busy
		return r
	}
	for _, test := range []struct {
		name   string
		report Report
		after  time.Duration
		want   string
	}{
		{"scheduled", scheduled(0, 0, false), 0, "a"},
		{"not scheduled", report("a", 1, 0, 0), 0, ""},
		{"drain begun", scheduled(0, 0, true), 0, ""},
		{"queue", scheduled(0, 1, false), 0, ""},
		{"no recent report", scheduled(0, 0, false), recentReport, ""},
	} {
		f := engines(1)
		f.ApplyReport(test.report, time.Millisecond, start)
		assert.Equal(t, chosen(f, q, start.Add(test.after)), test.want, test.name)
	}
	q.MinVersionBeforeUpdate = 2
	f := engines(1)
	f.ApplyReport(scheduled(0, 0, false), time.Millisecond, start)
	assert.Equal(t, chosen(f, q, start), "", "below MinVersionBeforeUpdate")
}

// After a connection failure an endpoint must be ejected, and then get one probe
// request before it gets others.
func TestBrokenEndpointIsEjectedThenProbed(t *testing.T) {
	f := engines(1)
	e := f.Choose(query(), start)
	f.RecordFirstByte(e, 50, -1, start)
	f.End(e, Broken, start)
	assert.Equal(t, chosen(f, query(), start.Add(ejectMin/2)), "")
	later := start.Add(ejectMin + time.Millisecond)
	e = f.Choose(query(), later)
	assert.Assert(t, e != nil, "one request must probe it")
	assert.Equal(t, chosen(f, query(), later), "", "only one request must probe it")
	f.RecordFirstByte(e, 50, 0, later)
	f.End(e, Responded, later)
	assert.Equal(t, chosen(f, query(), later), "a")
}

// Endpoints without failed attempts must be preferred to one whose attempts failed.
func TestFailingEndpointIsAvoided(t *testing.T) {
	f := engines(2)
	for range 10 {
		e := f.byID["a"]
		e.inFlight++
		f.End(e, Failed, start)
	}
	for range 3 {
		assert.Equal(t, chosen(f, query(), start), "b")
	}
}

// An endpoint that does not hold what its record lists must not be chosen until the
// record changes.
func TestMisdirectedEndpointIsNotChosen(t *testing.T) {
	f := engines(1)
	e := f.Choose(query(), start)
	f.RecordFirstByte(e, 50, -1, start)
	f.End(e, Misdirected, start)
	assert.Equal(t, chosen(f, query(), start.Add(time.Minute)), "")
	f.Put(Record{ID: "a", Service: "s", Address: "a:1", Zone: "z", Models: map[string]int{model: 1}})
	assert.Equal(t, chosen(f, query(), start), "", "an unchanged record must not count as a change")
	f.Put(Record{ID: "a", Service: "s", Address: "a:1", Zone: "z", Models: map[string]int{model: 2}})
	assert.Equal(t, chosen(f, query(), start), "a")
}

// A new endpoint with the address of another must replace it; a delayed removal of
// the replaced endpoint must not affect the new one.
func TestReusedAddressReplacesEndpoint(t *testing.T) {
	f := engines(1)
	f.Put(Record{ID: "new", Service: "other", Address: "a:1"})
	assert.Equal(t, chosen(f, query(), start), "")
	assert.Equal(t, len(f.Endpoints("s")), 0)
	f.Remove("a") // delayed removal of the earlier record
	e, _ := f.ApplyReport(report("a", 1, 0, 0), 0, start)
	assert.Equal(t, e.ID, "new")
}

// An engine behind a slow link must cost more than one with a few running requests.
func TestSlowLinkIsAvoided(t *testing.T) {
	f := engines(2)
	f.ApplyReport(report("a", 1, 0, 0), 300*time.Millisecond, start)
	f.ApplyReport(report("b", 1, 2, 0), time.Millisecond, start)
	assert.Equal(t, chosen(f, query(), start), "b")
	assert.Assert(t, f.byID["b"].Delay(start.Add(2*time.Second)) >= 400*time.Millisecond, "an overdue measurement must count as delay")
}

// An endpoint must get at most Query.MaxConnections attempts of a gateway at a time.
func TestConnectionsAreBounded(t *testing.T) {
	f := engines(2)
	q := query()
	q.MaxLoad, q.MaxConnections = 0, 2
	for range 4 {
		assert.Assert(t, f.Choose(q, start) != nil)
	}
	assert.Equal(t, chosen(f, q, start), "")
}

// Replace must keep the state of endpoints that stay on the list.
func TestReplaceKeepsStateOfListedEndpoints(t *testing.T) {
	f := engines(2)
	e := f.Choose(Query{Service: "s", Model: model, Exclude: map[string]bool{"b": true}}, start)
	f.Replace([]Record{{ID: "a", Service: "s", Address: "a:1", Models: map[string]int{model: 1}}, {ID: "c", Service: "s", Address: "c:1"}})
	assert.Equal(t, f.Len(), 2)
	assert.Equal(t, f.byID["a"].InFlight(), 1, "state of a listed endpoint must be kept")
	f.Remove("a")
	f.End(e, Responded, start) // an attempt may end after its endpoint was removed
}

// Gateways that see the same free slots must not all use them at once, which would
// fill the engine's queue. DemandAhead limits how many of them do.
func TestDemandAheadLimitsUseOfFreeSlots(t *testing.T) {
	const gateways, slots = 20, 12
	now := time.Now()
	sends := 0
	for ahead := range gateways {
		f := New(Place{Zone: "z"})
		f.Put(Record{ID: "e", Service: "s", Address: "a:1", Zone: "z", Models: map[string]int{"m": 1}})
		f.ApplyReport(Report{Address: "a:1", Model: "m", Version: 1, Running: slots - 2, Gateways: gateways, DemandAhead: float64(ahead)}, -1, now)
		q := Query{Service: "s", Model: "m", MinVersion: 1, Slots: slots, MaxLoad: slots}
		if f.Choose(q, now.Add(time.Millisecond)) != nil {
			sends++
		}
		if f.Choose(q, now.Add(time.Millisecond)) != nil {
			sends++
		}
		if ahead == gateways-1 {
			assert.Assert(t, f.Choose(q, now.Add(sentVisibleAfter)) != nil, "an unchanged report shows that the slots are still free")
		}
	}
	assert.Assert(t, sends >= 2 && sends <= 5, "%d requests for 2 free slots", sends)
}

// Attempts sent shortly before a report arrives are not included in it and must be
// added to its load.
func TestAttemptsInTransitAreAddedToReport(t *testing.T) {
	now := time.Now()
	f := New(Place{Zone: "z"})
	f.Put(Record{ID: "e", Service: "s", Address: "a:1", Zone: "z", Models: map[string]int{"m": 1}})
	f.ApplyReport(Report{Address: "a:1", Model: "m", Version: 1, Running: 5}, -1, now)
	e := f.Choose(Query{Service: "s", Model: "m", MinVersion: 1}, now)
	assert.Assert(t, e != nil)
	later := now.Add(reportLag / 2)
	f.ApplyReport(Report{Address: "a:1", Model: "m", Version: 1, Running: 5}, -1, later)
	assert.Equal(t, e.Load(later), 6.0)
	later = now.Add(2 * reportLag)
	f.ApplyReport(Report{Address: "a:1", Model: "m", Version: 1, Running: 6}, -1, later)
	assert.Equal(t, e.Load(later), 6.0)
}

// An engine must not be chosen if the prefill time of its queued requests exceeds
// Query.MaxBacklogMS.
func TestBacklogIsBounded(t *testing.T) {
	f := engines(1)
	f.ApplyReport(report("a", 1, 0, 2), 0, start)
	q := query()
	q.MaxBacklogMS = q.MeanPrefillMS
	assert.Equal(t, chosen(f, q, start), "")
	f.ApplyReport(report("a", 1, 2, 0), 0, start)
	assert.Equal(t, chosen(f, q, start), "a")
}

// An engine whose reports are overdue must be chosen only if the others are full: its
// box may be suspended, or only its sidecar may have failed.
func TestEngineWithOverdueReportsIsTheLastChoice(t *testing.T) {
	f := engines(2)
	f.ApplyReport(report("a", 1, 0, 0), 0, start)
	f.ApplyReport(report("b", 1, 3, 0), 0, start)
	later := start.Add(reportOverdue + 200*time.Millisecond)
	f.ApplyReport(report("b", 1, 3, 0), 0, later)
	assert.Equal(t, chosen(f, query(), later), "b")
	f.ApplyReport(report("b", 1, 4, 4), 0, later)
	assert.Equal(t, chosen(f, query(), later), "a")
}
