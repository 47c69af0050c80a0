// SPDX-License-Identifier: Apache-2.0

// Package prio shares a bounded number of slots by priority: the price that
// a workspace pays. The highest goes first, one slot in floorEvery goes to
// the lowest that waits so that nobody starves, and when the queue is full
// the lowest is turned away at once.
//
// Queue is the decision alone; Gate puts goroutines behind it. Sidecars
// share their upload slots with it, gateways and sidecars their requests.
package prio

// Bounds of a Queue.
const (
	// floorEvery: one slot in so many goes to the lowest priority that
	// waits, so that nobody starves.
	floorEvery = 8
)

// Waiter is a piece of work that waits for a slot.
type Waiter struct {
	ID       uint64
	Priority int
	// Class is what ClassSlots bounds: the workspace.
	Class string
}

// Queue shares slots by priority. The zero value has no slots and refuses
// everything; it is not safe for concurrent use.
type Queue struct {
	// Slots is how much may be under way at once, Waiting how much may wait.
	Slots   int
	Waiting int
	// ClassSlots bounds the slots of one class, so that a flood of one
	// leaves some free for the others; 0 does not.
	ClassSlots int

	active  int
	classes map[string]int // slots in use, where ClassSlots bounds them
	granted int
	waiting []Waiter
}

// Admit takes work. It returns granted when a slot is free, queued when
// the work waits for one, and neither when the queue is full of work of at
// least its priority; otherwise the lowest that waits is pushed out and
// returned.
func (q *Queue) Admit(w Waiter) (granted, queued bool, out *Waiter) {
	if q.active < q.Slots && q.eligible(w) {
		q.grant(w)
		return true, false, nil
	}
	if len(q.waiting) < q.Waiting {
		q.waiting = append(q.waiting, w)
		return false, true, nil
	}
	if len(q.waiting) == 0 {
		return false, false, nil
	}
	low := q.newestLowest()
	if q.waiting[low].Priority >= w.Priority {
		return false, false, nil
	}
	pushed := q.take(low)
	q.waiting = append(q.waiting, w)
	return false, true, &pushed
}

// Release frees a slot that the class had and returns the waiter that gets
// it, if any.
func (q *Queue) Release(class string) (Waiter, bool) {
	q.active--
	if q.ClassSlots > 0 {
		q.classes[class]--
		if q.classes[class] == 0 {
			delete(q.classes, class)
		}
	}
	at, ok := q.next()
	if !ok {
		return Waiter{}, false
	}
	w := q.take(at)
	q.grant(w)
	return w, true
}

func (q *Queue) grant(w Waiter) {
	q.active++
	q.granted++
	if q.ClassSlots == 0 {
		return
	}
	if q.classes == nil {
		q.classes = make(map[string]int)
	}
	q.classes[w.Class]++
}

// eligible reports whether the class may have one more slot.
func (q *Queue) eligible(w Waiter) bool {
	return q.ClassSlots == 0 || q.classes[w.Class] < q.ClassSlots
}

// next is the waiter to be served: the highest priority, or in its turn the
// lowest, among those whose class may have a slot.
func (q *Queue) next() (int, bool) {
	low := (q.granted+1)%floorEvery == 0
	best := -1
	for i, w := range q.waiting {
		if !q.eligible(w) {
			continue
		}
		if best < 0 || low && w.Priority < q.waiting[best].Priority || !low && w.Priority > q.waiting[best].Priority {
			best = i
		}
	}
	return best, best >= 0
}

// Cancel removes a waiter and reports whether it still waited.
func (q *Queue) Cancel(id uint64) bool {
	for i, w := range q.waiting {
		if w.ID == id {
			q.take(i)
			return true
		}
	}
	return false
}

// Active returns the number of slots in use.
func (q *Queue) Active() int { return q.active }

// Queued returns the number of waiters.
func (q *Queue) Queued() int { return len(q.waiting) }

// newestLowest is the last waiter of the lowest priority: the one that is
// pushed out.
func (q *Queue) newestLowest() int {
	at := 0
	for i, w := range q.waiting {
		if w.Priority <= q.waiting[at].Priority {
			at = i
		}
	}
	return at
}

func (q *Queue) take(i int) Waiter {
	w := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return w
}
