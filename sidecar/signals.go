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

// drainProbeDelay is the time from the last draining signal of an endpoint until one
// request is sent as a probe. If the endpoint was restarted, its response has no draining
// signal.
const drainProbeDelay = 10 * time.Second

// endpointState holds the backpressure signals of the endpoint on this box: rate limit,
// backoff and draining. All requests to the endpoint pass through this sidecar, so it can
// enforce the limit without coordination. endpointState is safe for concurrent use; no
// other lock is taken while its lock is held.
type endpointState struct {
	mu    sync.Mutex
	state *backpressure.State
	// drainedAt is the time of the last draining signal, or of the last probe sent
	// after it.
	drainedAt time.Time
}

// newEndpointState returns the state of an endpoint that has sent no signals.
func newEndpointState() *endpointState {
	s := &endpointState{}
	s.reset()
	return s
}

// reset sets the state of an endpoint whose current process has sent no signals yet. The
// caller holds mu, or no other goroutine has access yet.
func (s *endpointState) reset() {
	s.state = backpressure.NewTable().State("endpoint", 0)
	s.state.SetNoAllocator(clock.Now()) // no permit allocator: this sidecar is the only sender
}

// draining reports whether the endpoint is draining and no probe is due yet.
func (s *endpointState) draining(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Draining() && now.Sub(s.drainedAt) < drainProbeDelay
}

// admit returns nil and counts a request if the endpoint's signals permit one now.
// Otherwise it returns a refusal.
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

// observe records the signals in the headers and the status of a response, and returns the
// signals that have changed. sent is the time at which the request was sent.
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
