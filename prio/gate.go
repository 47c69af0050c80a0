// SPDX-License-Identifier: Apache-2.0

package prio

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// ErrFull reports that the work got no slot: either the queue was full, or the work
// was evicted from the queue.
const ErrFull = errors.ConstError("no slot is free")

// Gate is a Queue that blocks goroutines until they get a slot. It is safe for
// concurrent use and acquires no other lock while it holds its own. Use NewGate.
type Gate struct {
	mu      sync.Mutex
	queue   Queue
	lastID  uint64               // ID of the last waiter
	waiting map[uint64]chan bool // by waiter ID: receives true for a grant, false for an eviction
}

// NewGate returns a Gate with the limits of q, a queue that has not been used.
func NewGate(q Queue) *Gate {
	return &Gate{queue: q, waiting: make(map[uint64]chan bool)}
}

// Acquire takes a slot of the class and waits for it in the queue if necessary. It
// returns ErrFull at once if the queue is full, or later if work of a higher priority
// evicts the caller from the queue. It returns ctx's error if ctx is done first. A
// caller that got a slot must call Release.
func (g *Gate) Acquire(ctx context.Context, priority int, class string) error {
	g.mu.Lock()
	g.lastID++
	id := g.lastID
	granted, queued, evicted := g.queue.Admit(Waiter{ID: id, Priority: priority, Class: class})
	if evicted != nil {
		g.notify(evicted.ID, false)
	}
	if granted || !queued {
		g.mu.Unlock()
		if granted {
			return nil
		}
		return ErrFull
	}
	ready := make(chan bool, 1)
	g.waiting[id] = ready
	g.mu.Unlock()
	return g.wait(ctx, id, class, ready)
}

// wait waits for the result of a queued admission, or cancels it once ctx is done.
func (g *Gate) wait(ctx context.Context, id uint64, class string, ready chan bool) error {
	select {
	case ok := <-ready:
		if ok {
			return nil
		}
		return ErrFull
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	if !g.queue.Cancel(id) && <-ready {
		g.release(class) // the slot was granted concurrently
	}
	return ctx.Err()
}

// Release frees a slot of the class and grants it to the next waiter, if any.
func (g *Gate) Release(class string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(class)
}

// release frees a slot of the class. The caller holds mu.
func (g *Gate) release(class string) {
	if w, ok := g.queue.Release(class); ok {
		g.notify(w.ID, true)
	}
}

// notify sends a waiter the result of its admission: true if it was granted a slot,
// false if it was evicted. The caller holds mu.
func (g *Gate) notify(id uint64, granted bool) {
	if ready, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		ready <- granted
	}
}

// Load returns the number of slots in use and the number of waiters.
func (g *Gate) Load() (active, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Active(), g.queue.Queued()
}
