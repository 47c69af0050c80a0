// SPDX-License-Identifier: Apache-2.0

// Package drain counts a process's requests in progress, so that a planned
// stop can refuse new ones and wait for the rest.
package drain

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// Tracker counts requests. The zero value is ready for use; its lock is a
// leaf.
type Tracker struct {
	mu       sync.Mutex
	active   int
	draining bool
	idle     chan struct{} // closed when draining and nothing is active
}

// Enter counts a request. The caller calls Leave at its end, whatever Enter
// returned; draining says that the request must be refused.
func (t *Tracker) Enter() (draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
	return t.draining
}

// Leave ends what Enter counted.
func (t *Tracker) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.active == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Draining reports whether Drain has been called.
func (t *Tracker) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// Drain refuses new requests from now on and waits until none is left, or
// until ctx ends.
func (t *Tracker) Drain(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	if t.active == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "requests in progress were cut")
	}
}
