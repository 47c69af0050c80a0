// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/backpressure"
)

var start = time.Unix(1000, 0)

const model = "m"

func engines(n int) *Fleet {
	f := New(Place{Zone: "z"})
	for i := range n {
		id := string(rune('a' + i))
		f.Put(Record{ID: id, Service: "s", Address: id + ":1", Zone: "z", Models: map[string]int{model: 1}})
	}
	return f
}

func query() Query {
	return Query{Service: "s", Model: model, Slots: 4, Limit: 5, Work: 50, UsualWork: 50}
}

func report(id string, version, running, queued int) Report {
	return Report{Address: id + ":1", Model: model, Version: version, Running: running, Queued: queued}
}

func chosen(f *Fleet, q Query, now time.Time) string {
	e := f.Choose(q, now)
	if e == nil {
		return ""
	}
	return e.ID
}

func TestChooseSpreadsUnreadPrompts(t *testing.T) {
	f := engines(3)
	seen := map[string]int{}
	for range 6 {
		seen[chosen(f, query(), start)]++
	}
	assert.DeepEqual(t, seen, map[string]int{"a": 2, "b": 2, "c": 2})
}

func TestChooseHeedsOthersBacklog(t *testing.T) {
	f := engines(2)
	f.Heard(report("a", 1, 0, 3), 0, start)
	f.Heard(report("b", 1, 2, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "b")
}

func TestChooseStopsAtLimit(t *testing.T) {
	f := engines(1)
	f.Heard(report("a", 1, 5, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "")
	f.Heard(report("a", 1, 4, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "a")
	assert.Equal(t, chosen(f, query(), start), "", "own attempts count at once")
}

func TestDrainingAndGoneGetNothing(t *testing.T) {
	f := engines(2)
	f.Put(Record{ID: "a", Service: "s", Address: "a:1", Draining: true, Models: map[string]int{model: 1}})
	f.Remove("b")
	assert.Equal(t, chosen(f, query(), start), "")
}

// What an endpoint said in an answer outlasts its entry, and what a list says of it
// that is older; a new life has said nothing.
func TestWordsOutlastTheList(t *testing.T) {
	f := New(Place{Zone: "z"})
	r := Record{ID: "a", Service: "s", Address: "a:1", Born: 5, Models: map[string]int{model: 1}}
	for _, lose := range []func(){
		func() {},
		func() { f.Remove("a") },
		func() { f.Replace(nil) },
		func() { f.Put(Record{ID: "other", Service: "s", Address: "a:1"}) },
		func() { f.Forget(start) },
	} {
		f.Put(r)
		f.ByID("a").Signals.Observe(backpressure.Signal{Draining: true}, start, start)
		lose()
		f.Put(r)
		assert.Equal(t, chosen(f, query(), start), "")
	}
	r.Born = 6
	f.Put(r)
	assert.Equal(t, chosen(f, query(), start), "a")
}

// An engine says to its sidecar what it says to others.
func TestWordsInReports(t *testing.T) {
	f := engines(2)
	r := report("a", 1, 0, 0)
	r.Draining = true
	f.Heard(r, 0, start)
	f.Heard(report("a", 1, 0, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "b")
	r = report("b", 1, 0, 0)
	r.Limited, r.Limit = true, 1
	f.Heard(r, 0, start)
	assert.Equal(t, chosen(f, query(), start), "", "it has no permit")
	f.Heard(report("b", 1, 0, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "b", "the limit has ended")
}

func TestBusyEngineGetsNothing(t *testing.T) {
	f := engines(1)
	r := report("a", 1, 0, 0)
	r.Busy = true
	f.Heard(r, 0, start)
	assert.Equal(t, chosen(f, query(), start), "")
}

func TestEmptyEngineGetsNothing(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(Record{ID: "a", Service: "s", Address: "a:1"})
	assert.Equal(t, chosen(f, query(), start), "")
	f.Heard(report("a", 1, 0, 0), 0, start)
	assert.Equal(t, chosen(f, query(), start), "a")
}

func TestVersionThatIsDue(t *testing.T) {
	f := engines(2)
	f.Heard(report("b", 2, 4, 0), 0, start)
	q := query()
	q.MinVersion = 2
	assert.Equal(t, chosen(f, q, start), "b")
	assert.Equal(t, chosen(f, q, start), "", "b is full, and a holds version 1")
}

// Near a deadline an older engine gets only what it can begin at once.
func TestVersionThatIsDueSoon(t *testing.T) {
	q := query()
	q.SoonVersion = 2
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
		f.Heard(test.report, test.roundTrip, start)
		assert.Equal(t, chosen(f, q, start), test.want, test.name)
	}
	f := engines(1)
	f.Heard(report("a", 1, 0, 0), time.Millisecond, start)
	large := q
	large.Slots, large.Limit = 16, 16
	assert.Equal(t, chosen(f, large, start), "a")
	assert.Equal(t, chosen(f, large, start), "", "a prompt is to be read there")

	f = engines(1)
	assert.Equal(t, chosen(f, q, start), "", "an engine that was never heard")
	f.Heard(report("a", 1, 0, 0), time.Millisecond, start)
	assert.Equal(t, chosen(f, q, start.Add(justNow)), "", "an engine that was not heard just now")
	f.Heard(report("a", 1, 0, 0), time.Millisecond, start)
	e := f.Choose(q, start)
	f.Begun(e, q.Work, time.Second, start)
	f.End(e, Answered, start)
	assert.Equal(t, chosen(f, q, start), "", "its last first bytes came late")
}

// Past the time of its version an engine gets only what it begins at once, and
// only while its sidecar says that it will change in time.
func TestPromiseExtendsAnOlderVersion(t *testing.T) {
	q := query()
	q.SoonVersion, q.MinVersion, q.PromisedVersion = 2, 2, 1
	promised := func(running, queued int, busy bool) Report {
		r := report("a", 1, running, queued)
		r.Promised, r.Busy = true, busy
		return r
	}
	for _, test := range []struct {
		name   string
		report Report
		after  time.Duration
		want   string
	}{
		{"promised", promised(0, 0, false), 0, "a"},
		{"not promised", report("a", 1, 0, 0), 0, ""},
		{"the drain has begun", promised(0, 0, true), 0, ""},
		{"a queue there", promised(0, 1, false), 0, ""},
		{"not heard just now", promised(0, 0, false), justNow, ""},
	} {
		f := engines(1)
		f.Heard(test.report, time.Millisecond, start)
		assert.Equal(t, chosen(f, q, start.Add(test.after)), test.want, test.name)
	}
	q.PromisedVersion = 2
	f := engines(1)
	f.Heard(promised(0, 0, false), time.Millisecond, start)
	assert.Equal(t, chosen(f, q, start), "", "the gateway's own bound")
}

func TestBrokenEndpointIsLeftAloneThenTried(t *testing.T) {
	f := engines(1)
	e := f.Choose(query(), start)
	f.Begun(e, 50, -1, start)
	f.End(e, Broken, start)
	assert.Equal(t, chosen(f, query(), start.Add(openMin/2)), "")
	later := start.Add(openMin + time.Millisecond)
	e = f.Choose(query(), later)
	assert.Assert(t, e != nil, "one request tries it")
	assert.Equal(t, chosen(f, query(), later), "", "and only one")
	f.Begun(e, 50, 0, later)
	f.End(e, Answered, later)
	assert.Equal(t, chosen(f, query(), later), "a")
}

func TestFailingEndpointIsAvoided(t *testing.T) {
	f := engines(2)
	for range 10 {
		e := f.byID["a"]
		e.own++
		f.End(e, Failed, start)
	}
	for range 3 {
		assert.Equal(t, chosen(f, query(), start), "b")
	}
}

// An endpoint that says it is another gets nothing more, until the list
// tells something new of it.
func TestMisdirected(t *testing.T) {
	f := engines(1)
	e := f.Choose(query(), start)
	f.Begun(e, 50, -1, start)
	f.End(e, Misdirected, start)
	assert.Equal(t, chosen(f, query(), start.Add(time.Minute)), "")
	f.Put(Record{ID: "a", Service: "s", Address: "a:1", Zone: "z", Models: map[string]int{model: 1}})
	assert.Equal(t, chosen(f, query(), start), "", "a heartbeat is nothing new")
	f.Put(Record{ID: "a", Service: "s", Address: "a:1", Zone: "z", Models: map[string]int{model: 2}})
	assert.Equal(t, chosen(f, query(), start), "a")
}

func TestAddressReuse(t *testing.T) {
	f := engines(1)
	f.Put(Record{ID: "new", Service: "other", Address: "a:1"})
	assert.Equal(t, chosen(f, query(), start), "")
	assert.Equal(t, len(f.Endpoints("s")), 0)
	f.Remove("a") // the old one's removal comes late
	e, _ := f.Heard(report("a", 1, 0, 0), 0, start)
	assert.Equal(t, e.ID, "new")
}

func TestSlowLinkIsAvoided(t *testing.T) {
	f := engines(2)
	f.Heard(report("a", 1, 0, 0), 300*time.Millisecond, start)
	f.Heard(report("b", 1, 2, 0), time.Millisecond, start)
	assert.Equal(t, chosen(f, query(), start), "b")
	assert.Assert(t, f.byID["b"].Delay(start.Add(2*time.Second)) >= 400*time.Millisecond, "answers that stay away")
}

func TestConnectionsAreBounded(t *testing.T) {
	f := engines(2)
	q := query()
	q.Limit, q.Connections = 0, 2
	for range 4 {
		assert.Assert(t, f.Choose(q, start) != nil)
	}
	assert.Equal(t, chosen(f, q, start), "")
}

func TestReplace(t *testing.T) {
	f := engines(2)
	e := f.Choose(Query{Service: "s", Model: model, Exclude: map[string]bool{"b": true}}, start)
	f.Replace([]Record{{ID: "a", Service: "s", Address: "a:1", Models: map[string]int{model: 1}}, {ID: "c", Service: "s", Address: "c:1"}})
	assert.Equal(t, f.Len(), 2)
	assert.Equal(t, f.byID["a"].Own(), 1, "what is known of an endpoint stays")
	f.Remove("a")
	f.End(e, Answered, start) // an attempt may end after its endpoint is gone
}

// Gateways that see the same room take it in the order of their turns: many
// that each send one request at once fill an engine's queue.
func TestGatewaysTakeTurns(t *testing.T) {
	const gateways, slots = 20, 12
	now := time.Now()
	sends := 0
	for turn := range gateways {
		f := New(Place{Zone: "z"})
		f.Put(Record{ID: "e", Service: "s", Address: "a:1", Zone: "z", Models: map[string]int{"m": 1}})
		f.Heard(Report{Address: "a:1", Model: "m", Version: 1, Running: slots - 2, Gateways: gateways, Turn: float64(turn)}, -1, now)
		q := Query{Service: "s", Model: "m", MinVersion: 1, Slots: slots, Limit: slots}
		if f.Choose(q, now.Add(time.Millisecond)) != nil {
			sends++
		}
		if f.Choose(q, now.Add(time.Millisecond)) != nil {
			sends++
		}
		if turn == gateways-1 {
			assert.Assert(t, f.Choose(q, now.Add(takenFor)) != nil, "an unchanged report shows that nobody took the room")
		}
	}
	assert.Assert(t, sends >= 2 && sends <= 5, "%d requests for 2 places", sends)
}

// A report does not count what was sent while it was on its way.
func TestReportMissesWhatIsOnItsWay(t *testing.T) {
	now := time.Now()
	f := New(Place{Zone: "z"})
	f.Put(Record{ID: "e", Service: "s", Address: "a:1", Zone: "z", Models: map[string]int{"m": 1}})
	f.Heard(Report{Address: "a:1", Model: "m", Version: 1, Running: 5}, -1, now)
	e := f.Choose(Query{Service: "s", Model: "m", MinVersion: 1}, now)
	assert.Assert(t, e != nil)
	later := now.Add(unsettled / 2)
	f.Heard(Report{Address: "a:1", Model: "m", Version: 1, Running: 5}, -1, later)
	assert.Equal(t, e.Load(later), 6.0)
	later = now.Add(2 * unsettled)
	f.Heard(Report{Address: "a:1", Model: "m", Version: 1, Running: 6}, -1, later)
	assert.Equal(t, e.Load(later), 6.0)
}

// A request with a bound on what the engine has to read waits for less.
func TestBacklogIsBounded(t *testing.T) {
	f := engines(1)
	f.Heard(report("a", 1, 0, 2), 0, start)
	q := query()
	q.Backlog = q.UsualWork
	assert.Equal(t, chosen(f, q, start), "")
	f.Heard(report("a", 1, 2, 0), 0, start)
	assert.Equal(t, chosen(f, q, start), "a")
}

// An engine whose reports stay away is the last choice, since its box may
// stand still, but it is one: its sidecar alone may be gone.
func TestSilentBoxIsTheLastChoice(t *testing.T) {
	f := engines(2)
	f.Heard(report("a", 1, 0, 0), 0, start)
	f.Heard(report("b", 1, 3, 0), 0, start)
	later := start.Add(reportOverdue + 200*time.Millisecond)
	f.Heard(report("b", 1, 3, 0), 0, later)
	assert.Equal(t, chosen(f, query(), later), "b")
	f.Heard(report("b", 1, 4, 4), 0, later)
	assert.Equal(t, chosen(f, query(), later), "a")
}
