// SPDX-License-Identifier: Apache-2.0

package prio

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// ErrFull says that there is no slot and no place to wait for one.
const ErrFull = errors.ConstError("no slot is free")

// Gate is a Queue for goroutines. Its lock is a leaf. Use NewGate.
type Gate struct {
	mu      sync.Mutex
	queue   Queue
	next    uint64
	waiting map[uint64]chan bool
}

// NewGate returns a gate with the bounds of q.
func NewGate(q Queue) *Gate {
	return &Gate{queue: q, waiting: make(map[uint64]chan bool)}
}

// Acquire takes a slot, waiting for one if the queue lets it. It returns
// ErrFull at once, or as soon as something of a higher priority needs the
// place, and ctx's error when ctx ends first.
func (g *Gate) Acquire(ctx context.Context, priority int, class string) error {
	g.mu.Lock()
	g.next++
	id := g.next
	granted, queued, out := g.queue.Admit(Waiter{ID: id, Priority: priority, Class: class})
	if out != nil {
		g.wake(out.ID, false)
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
		g.release(class) // the slot was handed over as ctx ended
	}
	return ctx.Err()
}

// Release gives a slot of the class back.
func (g *Gate) Release(class string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(class)
}

func (g *Gate) release(class string) {
	if w, ok := g.queue.Release(class); ok {
		g.wake(w.ID, true)
	}
}

func (g *Gate) wake(id uint64, granted bool) {
	if ready, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		ready <- granted
	}
}

// Load returns the slots in use and the number of waiters.
func (g *Gate) Load() (active, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Active(), g.queue.Queued()
}
