// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lifeOf is endpoint a's record in the life that began at born.
func lifeOf(born int64) Record {
	return Record{ID: "a", Service: "s", Address: "a:1", Zone: "z", Models: map[string]int{model: 1}, Born: born}
}

// An endpoint that starts again under its id is another one: what was believed
// of its life before, and what was sent to that, says nothing of it.
func TestANewLifeBeginsAtNothing(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(lifeOf(1000))
	e := f.Choose(query(), start)
	f.Begun(e, 50, -1, start)
	f.End(e, Broken, start)
	assert.Equal(t, chosen(f, query(), start), "", "it is left alone")
	inFlight := f.byID["a"]
	inFlight.own = 3

	assert.Assert(t, f.Put(lifeOf(2000)), "it has changed")
	assert.Equal(t, f.Len(), 1)
	assert.Equal(t, f.byID["a"].Own(), 0)
	assert.Equal(t, chosen(f, query(), start), "a")
	f.End(inFlight, Broken, start)
	assert.Equal(t, f.byID["a"].Own(), 1, "what ends late was of the life before")
	assert.Equal(t, f.byID["a"].strikes, 0)
}

// An entry of the life before, read late or relayed by who reads late, does not
// bring it back.
func TestAnOlderLifeDoesNotComeBack(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(lifeOf(2000))
	old := lifeOf(1000)
	old.Draining = true
	assert.Assert(t, !f.Put(old))
	assert.Assert(t, !f.byID["a"].Draining)
	assert.Equal(t, f.byID["a"].Born, int64(2000))
}

// An endpoint whose birth was not known before is the same.
func TestABirthIsLearnt(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(lifeOf(0))
	e := f.Choose(query(), start)
	f.Put(lifeOf(1000))
	assert.Equal(t, f.byID["a"], e)
	assert.Equal(t, e.Born, int64(1000))
	f.Put(lifeOf(0))
	assert.Equal(t, e.Born, int64(1000))
}

// The engine's own word of a new life goes before the list, which is seconds
// late; a datagram of the life before is passed over.
func TestAReportTellsANewLife(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(lifeOf(1000))
	old := report("a", 1, 2, 0)
	old.Born = 1000
	f.Heard(old, -1, start)
	fresh := Report{Address: "a:1", Born: 2000}
	e, changed := f.Heard(fresh, -1, start.Add(time.Millisecond))
	assert.Assert(t, e != nil && changed)
	assert.Equal(t, e.Holds(model, start.Add(2*time.Millisecond)), 0)
	assert.Equal(t, e.Holds(model, start.Add(time.Minute)), 0, "also when the report is old: the list tells of the life before")
	late, _ := f.Heard(old, -1, start.Add(2*time.Millisecond))
	assert.Assert(t, late == nil)
	assert.Equal(t, chosen(f, query(), start.Add(3*time.Millisecond)), "")
	f.Put(lifeOf(1000))
	assert.Equal(t, e.Holds(model, start.Add(time.Minute)), 0)
	f.Put(lifeOf(2000))
	assert.Equal(t, f.byID["a"].Holds(model, start.Add(time.Minute)), 1, "the list has caught up")
}
