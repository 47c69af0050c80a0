// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Now()

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func kinds(changes []Change) (out []Kind) {
	for _, c := range changes {
		out = append(out, c.Kind)
	}
	return out
}

func TestChangesAreToldOnce(t *testing.T) {
	s := NewTable().Of("e", 1)
	assert.DeepEqual(t, kinds(s.Observe(Signal{Limit: Limited(2)}, at(0), at(0.1))), []Kind{LimitNamed})
	assert.DeepEqual(t, kinds(s.Observe(Signal{Limit: Limited(2)}, at(0), at(0.2))), []Kind(nil))
	assert.DeepEqual(t, kinds(s.Observe(Signal{Draining: true, Limit: Limited(2)}, at(0.3), at(0.4))), []Kind{DrainingSeen})
	assert.DeepEqual(t, kinds(s.Observe(Signal{Draining: true, Backoff: 3 * time.Second}, at(0.5), at(0.6))), []Kind{BackoffAsked, LimitEnded})
	assert.DeepEqual(t, kinds(s.Observe(Signal{Backoff: 3 * time.Second}, at(0.6), at(0.7))), []Kind(nil))
	bad := Signal{Limit: Limit{Kept: true}, Unreadable: []string{"A: x"}}
	assert.DeepEqual(t, kinds(s.Observe(bad, at(0.8), at(0.9))), []Kind{ValueUnreadable})
	assert.DeepEqual(t, kinds(s.Observe(bad, at(0.8), at(0.9))), []Kind(nil))
}

// Answers overtake each other: one that was asked for before the limit was heard
// neither raises nor ends it.
func TestOvertakenAnswersDoNotLoosenALimit(t *testing.T) {
	s := NewTable().Of("e", 1)
	s.Observe(Signal{Limit: Limited(2)}, at(1), at(1.1))
	for _, old := range []Signal{{}, {Limit: Limited(5)}} {
		s.Observe(old, at(0.9), at(1.2))
		assert.Equal(t, s.limit, Limited(2))
	}
	s.Observe(Signal{Limit: Limited(1)}, at(0.9), at(1.3))
	assert.Equal(t, s.limit, Limited(1), "what allows less counts at once")
	s.Observe(Signal{Limit: Limited(5)}, at(1.4), at(1.5))
	assert.Equal(t, s.limit, Limited(5))
	s.Observe(Signal{}, at(1.6), at(1.7))
	assert.Equal(t, s.limit, Limit{})
}

// A new life has said nothing; one whose birth is learned later is the same.
func TestLives(t *testing.T) {
	table := NewTable()
	s := table.Of("e", 0)
	s.Observe(Signal{Draining: true}, at(0), at(0))
	assert.Assert(t, table.Of("e", 7).draining)
	assert.Assert(t, table.Of("e", 7).draining)
	assert.Assert(t, table.Of("e", 0).draining, "an entry without birth")
	assert.Assert(t, !table.Of("e", 8).draining)
}

// A backoff is never shortened, and has an end.
func TestRestIsNotShortened(t *testing.T) {
	s := NewTable().Of("e", 1)
	s.Observe(Signal{Backoff: 3 * time.Second}, at(0), at(0))
	s.Observe(Signal{Backoff: time.Second}, at(0), at(0.1))
	s.Observe(Signal{}, at(0), at(0.2))
	assert.Assert(t, s.backoffTill.Equal(at(3)))
	s.Observe(Signal{Backoff: 1e9 * time.Second}, at(0), at(1))
	assert.Assert(t, s.backoffTill.Equal(at(1).Add(maxBackoff)))
}

// After a backoff one request tries whether it has ended; the others follow once it was
// taken.
func TestOneRequestTriesAfterARest(t *testing.T) {
	s := NewTable().Of("e", 1)
	s.Observe(Signal{Backoff: 3 * time.Second}, at(0), at(0))
	assert.Assert(t, s.Closed(at(2.9)) && s.BackingOff(at(2.9)))
	assert.Assert(t, !s.Closed(at(3)))
	s.Take(at(3))
	assert.Assert(t, s.Closed(at(3.1)) && !s.BackingOff(at(3.1)))
	s.Observe(Signal{}, at(0), at(3.1))
	assert.Assert(t, s.Closed(at(3.2)), "an answer to a request of before")
	assert.Assert(t, !s.Closed(at(4)), "it is tried again if nothing comes")
	s.Observe(Signal{}, at(3), at(4))
	s.Take(at(4.1))
	assert.Assert(t, !s.Closed(at(4.1)))
}

// What is remembered is bounded, and none of it is lost while the endpoint is
// missing from the list for a moment.
func TestMemoryIsBounded(t *testing.T) {
	table := NewTable()
	const lives = 10000
	for n := range lives {
		table.Of(fmt.Sprint("e", n), 1).Observe(Signal{Draining: true}, at(float64(n)/100), at(float64(n)/100))
	}
	unlisted := func(string) bool { return false }
	table.Forget(unlisted, at(lives/100))
	assert.Equal(t, len(table.states), maxKept)
	assert.Assert(t, table.Of(fmt.Sprint("e", lives-1), 1).draining, "the last to speak")
	table.Forget(func(id string) bool { return id == "e9000" }, at(lives/100).Add(keptFor+time.Second))
	assert.Equal(t, len(table.states), 1)
	assert.Assert(t, table.Of("e9000", 1).draining, "it is on the list")
}

// A table is quiet while nothing that was said holds.
func TestQuiet(t *testing.T) {
	listed := func(string) bool { return true }
	for _, signal := range []Signal{{Draining: true}, {Backoff: time.Second}, {Limit: Limited(2)}} {
		table := NewTable()
		s := table.Of("e", 1)
		assert.Assert(t, table.Quiet())
		s.Observe(signal, at(0), at(0))
		assert.Assert(t, !table.Quiet())
		table.Forget(listed, at(2))
		assert.Assert(t, !table.Quiet(), "%+v holds", signal)
		s.Observe(Signal{}, at(3), at(3))
		table.Forget(listed, at(4))
		assert.Equal(t, table.Quiet(), !signal.Draining, "%+v", signal)
	}
}

// What one process tells another counts by age: an older signal changes nothing, and
// neither does that of a life before.
func TestWordsOfOtherProcesses(t *testing.T) {
	here, there := NewTable(), NewTable()
	there.Of("e", 5).Observe(Signal{Limit: Limited(2)}, at(0), at(1))
	r := there.Of("e", 5).record(at(2))
	assert.DeepEqual(t, kinds(here.Merge(r, at(2.01))), []Kind{LimitNamed})
	here.Of("e", 5).Observe(Signal{}, at(3), at(3.1))
	assert.DeepEqual(t, kinds(here.Merge(there.Of("e", 5).record(at(4)), at(4.01))), []Kind(nil)) // heard before the end of the limit
	assert.Equal(t, here.Of("e", 5).limit, Limit{})
	r.Born = 4
	assert.DeepEqual(t, kinds(here.Merge(r, at(5))), []Kind(nil)) // of the life before
	assert.Equal(t, here.Of("e", 5).limit, Limit{})
}
