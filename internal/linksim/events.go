// SPDX-License-Identifier: Apache-2.0

package linksim

import (
	"cmp"
	"slices"
	"time"
)

// event is a function to run at a virtual time. It is scheduled once at a time.
type event struct {
	run   func()
	index int // in eventQueue, or unscheduled
}

// unscheduled is the index of an event that is not in a queue.
const unscheduled = -1

// queuedEvent is an event in a queue with its key. The key is held beside the
// pointer because comparisons take most of the time of a large simulation.
type queuedEvent struct {
	at  time.Duration
	seq int // determines the order of events of the same time
	*event
}

func (e queuedEvent) before(o queuedEvent) bool {
	return e.at < o.at || e.at == o.at && e.seq < o.seq
}

// eventQueue is a 4-ary heap of events in the order of before. An event's key can
// be changed in place: rates change so often that outdated events would otherwise
// make up most of the queue.
type eventQueue []queuedEvent

// arity is the number of children of a node.
const arity = 4

// set adds an event, or changes its key if it is in the queue.
func (q *eventQueue) set(e *event, at time.Duration, seq int) {
	x := queuedEvent{at, seq, e}
	if e.index == unscheduled {
		*q = append(*q, x)
		q.up(len(*q)-1, x)
		return
	}
	q.fix(e.index, x)
}

// remove removes an event, if it is in the queue.
func (q *eventQueue) remove(e *event) {
	if e.index == unscheduled {
		return
	}
	old := *q
	n := len(old) - 1
	last, i := old[n], e.index
	old[n] = queuedEvent{}
	*q = old[:n]
	if i < n {
		q.fix(i, last)
	}
	e.index = unscheduled
}

// pop removes the first event and returns its time and function.
func (q *eventQueue) pop() (time.Duration, func()) {
	first := (*q)[0]
	q.remove(first.event)
	return first.at, first.run
}

// fix puts x at node i, and moves it to where its key belongs.
func (q eventQueue) fix(i int, x queuedEvent) {
	if i > 0 && x.before(q[(i-1)/arity]) {
		q.up(i, x)
		return
	}
	q.down(i, x)
}

// up puts x at node i or one of its ancestors.
func (q eventQueue) up(i int, x queuedEvent) {
	for i > 0 {
		parent := (i - 1) / arity
		if !x.before(q[parent]) {
			break
		}
		q.put(i, q[parent])
		i = parent
	}
	q.put(i, x)
}

// down puts x at node i or one of its descendants.
func (q eventQueue) down(i int, x queuedEvent) {
	for {
		first := i*arity + 1
		if first >= len(q) {
			break
		}
		least := first
		for c := first + 1; c < min(first+arity, len(q)); c++ {
			if q[c].before(q[least]) {
				least = c
			}
		}
		if !q[least].before(x) {
			break
		}
		q.put(i, q[least])
		i = least
	}
	q.put(i, x)
}

// put sets node i.
func (q eventQueue) put(i int, x queuedEvent) {
	q[i] = x
	x.index = i
}

// transferSet is a set of transfers, ordered by receiver, then by chunk, so that
// runs are reproducible.
type transferSet []*chunkTransfer

// compareTransfers orders transfers by receiver, then by chunk.
func compareTransfers(a, b *chunkTransfer) int {
	return cmp.Or(a.to.id-b.to.id, a.chunk-b.chunk)
}

// add adds a transfer that is not in the set.
func (s *transferSet) add(t *chunkTransfer) {
	i, _ := slices.BinarySearchFunc(*s, t, compareTransfers)
	*s = slices.Insert(*s, i, t)
}

// remove removes a transfer, if it is in the set.
func (s *transferSet) remove(t *chunkTransfer) {
	if i := slices.Index(*s, t); i >= 0 {
		*s = slices.Delete(*s, i, i+1)
	}
}
