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
const lifeTry = 10 * time.Second

// signals is what the endpoint of this box says of itself. All requests for it come
// through its sidecar, which so holds it to its limit alone. It is safe for
// concurrent use; its lock is a leaf.
type signals struct {
	mu   sync.Mutex
	said *backpressure.State
	// drainedAt is when the endpoint last said that it drains.
	drainedAt time.Time
}

func newSignals() *signals {
	w := &signals{}
	w.begin()
	return w
}

// begin begins what a life says; signals.mu is held, or nobody else knows it.
func (w *signals) begin() {
	w.said = backpressure.NewTable().Of("endpoint", 0)
	w.said.Alone(clock.Now()) // nobody else sends to the endpoint
}

// draining reports whether the endpoint takes nothing new any more.
func (w *signals) draining(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.said.Draining() && now.Sub(w.drainedAt) < lifeTry
}

// admit counts a request that goes to the endpoint, or returns why it does not.
func (w *signals) admit(now time.Time) *refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.said.Draining() {
		if now.Sub(w.drainedAt) < lifeTry {
			return refuse(http.StatusServiceUnavailable, peer.ReasonDraining, "the endpoint is draining")
		}
		w.drainedAt = now
	}
	if from := w.said.From(now); from.After(now) {
		no := refuse(http.StatusTooManyRequests, peer.ReasonClosed, "the endpoint takes no more requests now")
		no.retry = from.Sub(now)
		return no
	}
	w.said.Take(now)
	return nil
}

// observe takes what an answer says; sent is when its request was sent.
func (w *signals) observe(resp *http.Response, sent, now time.Time) []backpressure.Change {
	signal := engine.Signal(resp.StatusCode, resp.Header)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case signal.Draining:
		w.drainedAt = now
	case w.said.Draining() && !sent.Before(w.drainedAt):
		w.begin()
	}
	return w.said.Observe(signal, sent, now)
}
