// SPDX-License-Identifier: Apache-2.0

// Package prio limits how much work runs at a time and admits work by priority. Work
// that holds one of a fixed number of slots may run; other work waits in a bounded
// queue. The highest priority is served first, but every n-th slot goes to the lowest
// priority in the queue, which prevents starvation. If the queue is full, work of the
// lowest priority is evicted or rejected at once.
//
// Queue makes the decisions without blocking; Gate blocks goroutines accordingly.
// Gateways and sidecars admit requests with this package, and sidecars also uploads.
package prio

// Parameters of a Queue.
const (
	// lowestPriorityInterval is the n in the rule that every n-th slot goes to the
	// lowest priority in the queue.
	lowestPriorityInterval = 8
)

// Waiter is work that waits for a slot, the permission to run. ID must be unique in a
// queue.
type Waiter struct {
	ID       uint64
	Priority int
	// Class groups work for the limit ClassSlots, for example by workspace.
	Class string
}

// Queue grants slots by priority. The zero value has no slots and rejects all work.
// It is not safe for concurrent use.
type Queue struct {
	// Slots is the number of slots, which bounds the work that runs at a time.
	Slots int
	// MaxWaiting is the maximum number of waiters in the queue.
	MaxWaiting int
	// ClassSlots is the maximum number of slots in use by one class, so that a
	// single class cannot use all slots; 0 means no limit.
	ClassSlots int

	active      int            // slots in use
	classActive map[string]int // slots in use by class; unused if ClassSlots is 0
	grants      int            // slots granted so far
	waiting     []Waiter       // the oldest first
}

// Admit grants w a slot if one is free and ClassSlots permits it; else it queues w. If
// the queue is full, Admit compares w with the newest waiter of the lowest priority. If
// w has a higher priority, w replaces that waiter, which is returned as evicted. If
// not, w is rejected: granted and queued are both false.
func (q *Queue) Admit(w Waiter) (granted, queued bool, evicted *Waiter) {
	if q.active < q.Slots && q.eligible(w) {
		q.grant(w)
		return true, false, nil
	}
	if len(q.waiting) < q.MaxWaiting {
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
	removed := q.removeAt(low)
	q.waiting = append(q.waiting, w)
	return false, true, &removed
}

// Release frees a slot of the class and returns the waiter to which it was granted,
// if any.
func (q *Queue) Release(class string) (Waiter, bool) {
	q.active--
	if q.ClassSlots > 0 {
		q.classActive[class]--
		if q.classActive[class] == 0 {
			delete(q.classActive, class)
		}
	}
	i, ok := q.nextEligible()
	if !ok {
		return Waiter{}, false
	}
	w := q.removeAt(i)
	q.grant(w)
	return w, true
}

// grant counts a slot as held by w. The caller has checked that w is eligible for it.
func (q *Queue) grant(w Waiter) {
	q.active++
	q.grants++
	if q.ClassSlots == 0 {
		return
	}
	if q.classActive == nil {
		q.classActive = make(map[string]int)
	}
	q.classActive[w.Class]++
}

// eligible reports whether ClassSlots lets the class of w use one more slot.
func (q *Queue) eligible(w Waiter) bool {
	return q.ClassSlots == 0 || q.classActive[w.Class] < q.ClassSlots
}

// nextEligible returns the index of the waiter to serve next, and false if no waiter is
// eligible. It is the oldest eligible waiter of the highest priority, or for every n-th
// slot, of the lowest priority.
func (q *Queue) nextEligible() (int, bool) {
	low := (q.grants+1)%lowestPriorityInterval == 0
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

// Cancel removes a waiter and reports whether it was in the queue.
func (q *Queue) Cancel(id uint64) bool {
	for i, w := range q.waiting {
		if w.ID == id {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// Active returns the number of slots in use.
func (q *Queue) Active() int { return q.active }

// Queued returns the number of waiters.
func (q *Queue) Queued() int { return len(q.waiting) }

// newestLowest returns the index of the newest waiter of the lowest priority. The
// queue must not be empty.
func (q *Queue) newestLowest() int {
	lowest := 0
	for i, w := range q.waiting {
		if w.Priority <= q.waiting[lowest].Priority {
			lowest = i
		}
	}
	return lowest
}

// removeAt removes and returns the i-th waiter; the others keep their sequence.
func (q *Queue) removeAt(i int) Waiter {
	w := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return w
}
