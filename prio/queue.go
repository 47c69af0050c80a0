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
}

// Queue shares slots by priority. The zero value has no slots and refuses
// everything; it is not safe for concurrent use.
type Queue struct {
	// Slots is how much may be under way at once, Waiting how much may wait.
	Slots   int
	Waiting int

	active  int
	granted int
	waiting []Waiter
}

// Admit takes work. It returns granted when a slot is free, queued when
// the work waits for one, and neither when the queue is full of work of at
// least its priority; otherwise the lowest that waits is pushed out and
// returned.
func (q *Queue) Admit(w Waiter) (granted, queued bool, out *Waiter) {
	if q.active < q.Slots && len(q.waiting) == 0 {
		q.active++
		q.granted++
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

// Release frees a slot and returns the waiter that gets it, if any.
func (q *Queue) Release() (Waiter, bool) {
	q.active--
	if len(q.waiting) == 0 {
		return Waiter{}, false
	}
	q.active++
	q.granted++
	if q.granted%floorEvery == 0 {
		return q.take(q.oldestLowest()), true
	}
	return q.take(q.highest()), true
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

// highest is the first waiter of the highest priority.
func (q *Queue) highest() int {
	at := 0
	for i, w := range q.waiting {
		if w.Priority > q.waiting[at].Priority {
			at = i
		}
	}
	return at
}

// oldestLowest is the first waiter of the lowest priority: the one that the
// floor serves.
func (q *Queue) oldestLowest() int {
	at := 0
	for i, w := range q.waiting {
		if w.Priority < q.waiting[at].Priority {
			at = i
		}
	}
	return at
}

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
