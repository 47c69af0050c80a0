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

func TestHighestFirstWithFloor(t *testing.T) {
	q := Queue{Slots: 1, Waiting: 100}
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
	assert.Assert(t, low > 0 && low <= floorEvery, "the lowest waited for %d slots", low)
}

func TestFullTurnsTheLowestAway(t *testing.T) {
	q := Queue{Slots: 1, Waiting: 1}
	q.Admit(Waiter{ID: 1, Priority: 5})
	_, queued, _ := q.Admit(Waiter{ID: 2, Priority: 5})
	assert.Assert(t, queued)
	granted, queued, out := q.Admit(Waiter{ID: 3, Priority: 5})
	assert.Assert(t, !granted && !queued && out == nil, "an equal does not push out")
	_, queued, out = q.Admit(Waiter{ID: 4, Priority: 9})
	assert.Assert(t, queued)
	assert.Equal(t, out.ID, uint64(2))
}

// TestNoPlaceToWait was found by TestQueueBounds: a queue of no length
// looked for the lowest among no waiters.
func TestNoPlaceToWait(t *testing.T) {
	q := Queue{Slots: 1}
	q.Admit(Waiter{ID: 1})
	granted, queued, out := q.Admit(Waiter{ID: 2})
	assert.Assert(t, !granted && !queued && out == nil)
}

// TestFloodLeavesSlots floods with one class: the others find slots free,
// and the flood goes on as its own end.
func TestFloodLeavesSlots(t *testing.T) {
	q := Queue{Slots: 8, Waiting: 20, ClassSlots: 7}
	for i := range 15 {
		q.Admit(Waiter{ID: uint64(i), Priority: 9, Class: "flood"})
	}
	assert.Equal(t, q.Active(), 7)
	granted, _, _ := q.Admit(Waiter{ID: 100, Priority: 1, Class: "quiet"})
	assert.Assert(t, granted, "a quiet class found no slot")
	w, ok := q.Release("quiet")
	assert.Assert(t, !ok, "%d of the flood took the free slot", w.ID)
	w, ok = q.Release("flood")
	assert.Assert(t, ok && w.Class == "flood")
	assert.Equal(t, q.Active(), 7)
}

// TestQueueBounds draws work and checks that no slot is lost or doubled.
func TestQueueBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Waiting: rapid.IntRange(0, 3).Draw(t, "waiting")}
		running, waiting := 0, map[uint64]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch {
			case rapid.IntRange(0, 2).Draw(t, "step") > 0 || running == 0:
				granted, queued, out := q.Admit(Waiter{ID: uint64(i), Priority: rapid.IntRange(1, 4).Draw(t, "priority")})
				if granted {
					running++
				}
				if queued {
					waiting[uint64(i)] = true
				}
				if out != nil {
					delete(waiting, out.ID)
				}
			default:
				running--
				if w, ok := q.Release(""); ok {
					if !waiting[w.ID] {
						t.Fatalf("%d was granted and did not wait", w.ID)
					}
					delete(waiting, w.ID)
					running++
				}
			}
			if running != q.Active() || len(waiting) != q.Queued() || running > q.Slots || len(waiting) > q.Waiting {
				t.Fatalf("running %d, queue says %d; waiting %d, queue says %d", running, q.Active(), len(waiting), q.Queued())
			}
			if len(waiting) > 0 && running < q.Slots {
				t.Fatalf("%d wait while a slot is free", len(waiting))
			}
		}
	})
}

func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Queue{Slots: 1, Waiting: 2})
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
