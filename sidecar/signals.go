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

// drainProbeDelay is the time after the last draining signal of an endpoint until one
// request is sent as a probe. A new incarnation of the endpoint responds to it without the
// signal; its start time is not available here.
const drainProbeDelay = 10 * time.Second

// endpointState holds the backpressure signals of the endpoint on this box: rate
// limit, backoff and draining. All requests to the endpoint pass through its sidecar,
// so the sidecar alone enforces the limit. It is safe for concurrent use; no other
// lock is taken while its lock is held.
type endpointState struct {
	mu    sync.Mutex
	state *backpressure.State
	// drainedAt is the time of the last draining signal, or of the last probe after it.
	drainedAt time.Time
}

func newEndpointState() *endpointState {
	s := &endpointState{}
	s.reset()
	return s
}

// reset discards the signals of the previous incarnation of the endpoint. The caller
// holds mu, or no other goroutine has access yet.
func (s *endpointState) reset() {
	s.state = backpressure.NewTable().State("endpoint", 0)
	s.state.SetNoAllocator(clock.Now()) // no permit allocator: this sidecar is the only sender
}

// draining reports whether the endpoint drains and no probe is due yet.
func (s *endpointState) draining(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Draining() && now.Sub(s.drainedAt) < drainProbeDelay
}

// admit counts a request to the endpoint, or returns a refusal.
func (s *endpointState) admit(now time.Time) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Draining() {
		if now.Sub(s.drainedAt) < drainProbeDelay {
			return newRefusal(http.StatusServiceUnavailable, peer.ReasonDraining, "the endpoint is draining")
		}
		s.drainedAt = now
	}
	if allowedAt := s.state.AvailableAt(now); allowedAt.After(now) {
		refused := newRefusal(http.StatusTooManyRequests, peer.ReasonClosed, "the endpoint takes no more requests now")
		refused.retryAfter = allowedAt.Sub(now)
		return refused
	}
	s.state.Take(now)
	return nil
}

// observe records the signals in the headers and status of a response and returns the
// changes; sent is when the request was sent.
func (s *endpointState) observe(resp *http.Response, sent, now time.Time) []backpressure.Change {
	signal := engine.Signal(resp.StatusCode, resp.Header)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case signal.Draining:
		s.drainedAt = now
	case s.state.Draining() && !sent.Before(s.drainedAt):
		s.reset()
	}
	return s.state.Observe(signal, sent, now)
}
