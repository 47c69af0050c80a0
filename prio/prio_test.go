// SPDX-License-Identifier: Apache-2.0

package prio

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A waiter of low priority must get a slot although waiters of higher priority are
// queued.
func TestHighestFirstWithoutStarvation(t *testing.T) {
	q := Queue{Slots: 1, MaxWaiting: 100}
	granted, _, _ := q.Admit(Waiter{ID: 0, Priority: 1})
	assert.Assert(t, granted)
	for i := range 20 {
		q.Admit(Waiter{ID: uint64(100 + i), Priority: 90})
	}
	q.Admit(Waiter{ID: 1, Priority: 10})
	low := 0
	for i := range 20 {
		w, ok := q.Release("")
		assert.Assert(t, ok)
		if w.ID == 1 {
			low = i + 1
		}
	}
	assert.Assert(t, low > 0 && low <= lowestPriorityInterval, "the lowest priority got slot %d", low)
}

func TestFullQueueEvictsLowest(t *testing.T) {
	q := Queue{Slots: 1, MaxWaiting: 1}
	q.Admit(Waiter{ID: 1, Priority: 5})
	_, queued, _ := q.Admit(Waiter{ID: 2, Priority: 5})
	assert.Assert(t, queued)
	granted, queued, evicted := q.Admit(Waiter{ID: 3, Priority: 5})
	assert.Assert(t, !granted && !queued && evicted == nil, "evicted a waiter of equal priority")
	_, queued, evicted = q.Admit(Waiter{ID: 4, Priority: 9})
	assert.Assert(t, queued)
	assert.Equal(t, evicted.ID, uint64(2))
}

// A queue without places for waiters must reject work instead of searching for a
// waiter to evict.
func TestZeroLengthQueue(t *testing.T) {
	q := Queue{Slots: 1}
	q.Admit(Waiter{ID: 1})
	granted, queued, evicted := q.Admit(Waiter{ID: 2})
	assert.Assert(t, !granted && !queued && evicted == nil)
}

// A class that has reached ClassSlots must leave the other slots free, and its
// waiters must get the slots that it releases.
func TestClassSlots(t *testing.T) {
	q := Queue{Slots: 8, MaxWaiting: 20, ClassSlots: 7}
	for i := range 15 {
		q.Admit(Waiter{ID: uint64(i), Priority: 9, Class: "flood"})
	}
	assert.Equal(t, q.Active(), 7)
	granted, _, _ := q.Admit(Waiter{ID: 100, Priority: 1, Class: "other"})
	assert.Assert(t, granted, "another class got no slot")
	w, ok := q.Release("other")
	assert.Assert(t, !ok, "waiter %d exceeded ClassSlots", w.ID)
	w, ok = q.Release("flood")
	assert.Assert(t, ok && w.Class == "flood")
	assert.Equal(t, q.Active(), 7)
}

// No sequence of admissions and releases may lose a slot or grant it twice.
func TestQueueBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), MaxWaiting: rapid.IntRange(0, 3).Draw(t, "waiting")}
		running, waiting := 0, map[uint64]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch {
			case rapid.IntRange(0, 2).Draw(t, "step") > 0 || running == 0:
				granted, queued, evicted := q.Admit(Waiter{ID: uint64(i), Priority: rapid.IntRange(1, 4).Draw(t, "priority")})
				if granted {
					running++
				}
				if queued {
					waiting[uint64(i)] = true
				}
				if evicted != nil {
					delete(waiting, evicted.ID)
				}
			default:
				running--
				if w, ok := q.Release(""); ok {
					if !waiting[w.ID] {
						t.Fatalf("%d was granted but was not waiting", w.ID)
					}
					delete(waiting, w.ID)
					running++
				}
			}
			if running != q.Active() || len(waiting) != q.Queued() || running > q.Slots || len(waiting) > q.MaxWaiting {
				t.Fatalf("running %d, queue reports %d; waiting %d, queue reports %d", running, q.Active(), len(waiting), q.Queued())
			}
			if len(waiting) > 0 && running < q.Slots {
				t.Fatalf("%d waiters while a slot is free", len(waiting))
			}
		}
	})
}

// Acquire must end with its context, fail if the queue is full, and otherwise get a slot by
// priority.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Queue{Slots: 1, MaxWaiting: 2})
		ctx := context.Background()
		assert.NilError(t, g.Acquire(ctx, 1, ""))
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		assert.Assert(t, errors.Is(g.Acquire(short, 1, ""), context.DeadlineExceeded))
		order := make(chan int, 2)
		for _, p := range []int{1, 9} {
			go func() {
				if g.Acquire(ctx, p, "") == nil {
					order <- p
					g.Release("")
				}
			}()
			synctest.Wait()
		}
		assert.Assert(t, errors.Is(g.Acquire(ctx, 1, ""), ErrFull), "the queue is full")
		g.Release("")
		assert.Equal(t, <-order, 9)
		assert.Equal(t, <-order, 1)
		synctest.Wait()
		active, waiting := g.Load()
		assert.Equal(t, active+waiting, 0)
	})
}
