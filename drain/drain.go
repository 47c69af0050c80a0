// SPDX-License-Identifier: Apache-2.0

// Package drain counts the in-flight requests of a process, so that a planned
// stop can refuse new requests and wait for the others to end.
package drain

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// Tracker counts in-flight requests. The zero value is ready for use. It is safe
// for concurrent use; no other lock is taken while its lock is held.
type Tracker struct {
	mu       sync.Mutex
	active   int
	draining bool
	idle     chan struct{} // closed when active falls to 0; nil unless Drain waits
}

// Enter counts a request. If draining is true, the caller must refuse the request. In
// both cases the caller must call Leave when the request ends.
func (t *Tracker) Enter() (draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
	return t.draining
}

// Leave removes a request that Enter counted.
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

// Drain makes Enter report draining from now on, and waits until no request is in
// flight. If ctx ends first, it returns an error that wraps ctx's error. It may be
// called again.
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
		return errors.Annotate(ctx.Err(), "drain stopped with requests in flight")
	}
}
