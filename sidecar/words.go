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

// lifeTry is how long after an endpoint said that it leaves one request finds out
// whether another life has begun, which says nothing of the kind: endpoints tell
// their birth nowhere here.
const lifeTry = 10 * time.Second

// words is what the endpoint of this box says of itself. All requests for it come
// through its sidecar, which so holds it to its limit alone. It is safe for
// concurrent use; its lock is a leaf.
type words struct {
	mu   sync.Mutex
	said *backpressure.State
	// leftAt is when the endpoint last said that it leaves.
	leftAt time.Time
}

func newWords() *words {
	w := &words{}
	w.begin()
	return w
}

// begin begins what a life says; words.mu is held, or nobody else knows it.
func (w *words) begin() {
	w.said = backpressure.NewTable().Of("endpoint", 0)
	w.said.Alone(clock.Now()) // nobody else sends to the endpoint
}

// leaving reports whether the endpoint takes nothing new any more.
func (w *words) leaving(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.said.Leaving() && now.Sub(w.leftAt) < lifeTry
}

// admit counts a request that goes to the endpoint, or returns why it does not.
func (w *words) admit(now time.Time) *refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.said.Leaving() {
		if now.Sub(w.leftAt) < lifeTry {
			return refuse(http.StatusServiceUnavailable, peer.ReasonDraining, "the endpoint is leaving")
		}
		w.leftAt = now
	}
	if from := w.said.From(now); from.After(now) {
		no := refuse(http.StatusTooManyRequests, peer.ReasonClosed, "the endpoint takes no more requests now")
		no.retry = from.Sub(now)
		return no
	}
	w.said.Take(now)
	return nil
}

// hear takes what an answer says; sent is when its request was sent.
func (w *words) hear(resp *http.Response, sent, now time.Time) []backpressure.Change {
	word := engine.Said(resp.StatusCode, resp.Header)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case word.Leaving:
		w.leftAt = now
	case w.said.Leaving() && !sent.Before(w.leftAt):
		w.begin()
	}
	return w.said.Hear(word, sent, now)
}
