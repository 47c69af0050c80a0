// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"net/http"
	"sync"
	"time"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/peer"
)

// lifeTry is how long after an endpoint said that it drains one request finds out
// whether another life has begun, which says nothing of the kind: endpoints tell
// their birth nowhere here.
const drainProbeDelay = 10 * time.Second

// signals is what the endpoint of this box says of itself. All requests for it come
// through its sidecar, which so holds it to its limit alone. It is safe for
// concurrent use; its lock is a leaf.
type endpointState struct {
	mu   sync.Mutex
	backpressure *backpressure.State
	// drainedAt is when the endpoint last said that it drains.
	drainedAt time.Time
}

func newEndpointState() *endpointState {
	w := &endpointState{}
	w.reset()
	return w
}

// begin begins what a life says; signals.mu is held, or nobody else knows it.
func (w *endpointState) reset() {
	w.backpressure = backpressure.NewTable().Of("endpoint", 0)
	w.backpressure.Alone(clock.Now()) // nobody else sends to the endpoint
}

// draining reports whether the endpoint takes nothing new any more.
func (w *endpointState) draining(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.backpressure.Draining() && now.Sub(w.drainedAt) < drainProbeDelay
}

// admit counts a request that goes to the endpoint, or returns why it does not.
func (w *endpointState) admit(now time.Time) *refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.backpressure.Draining() {
		if now.Sub(w.drainedAt) < drainProbeDelay {
			return newRefusal(http.StatusServiceUnavailable, peer.ReasonDraining, "the endpoint is draining")
		}
		w.drainedAt = now
	}
	if from := w.backpressure.From(now); from.After(now) {
		no := newRefusal(http.StatusTooManyRequests, peer.ReasonClosed, "the endpoint takes no more requests now")
		no.retryAfter = from.Sub(now)
		return no
	}
	w.backpressure.Take(now)
	return nil
}

// observe takes what an answer says; sent is when its request was sent.
func (w *endpointState) observe(resp *http.Response, sent, now time.Time) []backpressure.Change {
	signal := engine.Signal(resp.StatusCode, resp.Header)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case signal.Draining:
		w.drainedAt = now
	case w.backpressure.Draining() && !sent.Before(w.drainedAt):
		w.reset()
	}
	return w.backpressure.Observe(signal, sent, now)
}
