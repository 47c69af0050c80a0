// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/upstream"
)

// hear takes what an answer of e says of it.
func (x *exchange) hear(e *fleet.Endpoint, r *upstream.Response) {
	s := x.server
	if s.settings.Said == nil {
		return
	}
	word := s.settings.Said(r.Status, r.Header)
	now := clock.Now()
	s.mu.Lock()
	changes := e.Said.Hear(word, x.sent, now)
	s.mu.Unlock()
	for _, c := range changes {
		s.noteSaid(e.ID, x.id, c)
	}
}

// noteSaid logs news of what an endpoint says.
func (s *Server) noteSaid(endpoint, request string, c backpressure.Change) {
	s.metrics.Counter("mintlift_ingress_endpoint_words_total", "word", c.Kind.String()).Inc()
	s.events.Info("endpoint said", "endpoint", endpoint, "request", request, "word", c.Kind.String(), "rate", c.Rate, "rest_ms", c.Rest.Milliseconds(), "value", c.Value)
}
