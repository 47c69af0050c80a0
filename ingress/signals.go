// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net/http"
	"time"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/upstream"
)

// observe takes what an answer of e says of it.
func (x *exchange) recordSignals(e *fleet.Endpoint, r *upstream.Response) {
	s := x.server
	if s.settings.Signal == nil || r.Status == http.StatusMisdirectedRequest {
		return // another endpoint may have the address, and mean itself
	}
	signal := s.settings.Signal(r.Status, r.Header)
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := e.Signals.Observe(signal, x.sentAt, now)
	s.logSignalChanges(e.ID, x.id, changes)
	if len(changes) > 0 {
		s.queuePermitRequests(e.Service, now)
	}
}

// noteSignals logs news of what an endpoint says; request is empty if another process
// told it. Server.mu is held.
func (s *Server) logSignalChanges(endpoint, request string, changes []backpressure.Change) {
	for _, c := range changes {
		s.metrics.Counter("mintlift_ingress_endpoint_signals_total", "signal", c.Kind.String()).Inc()
		s.events.Info("endpoint signal", "endpoint", endpoint, "request", request, "signal", c.Kind.String(), "rate", c.Rate, "backoff_ms", c.Backoff.Milliseconds(), "value", c.Value)
	}
}

// gaugeSignals shows how many endpoints have said what.
func (s *Server) registerSignalGauges(m *telemetry.Metrics) {
	of := func(read func(w fleet.Signals) float64) func() float64 {
		return func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return read(s.fleet.Signals(clock.Now()))
		}
	}
	m.Gauge("mintlift_ingress_endpoints_draining", of(func(w fleet.Signals) float64 { return float64(w.Draining) }))
	m.Gauge("mintlift_ingress_endpoints_backoff", of(func(w fleet.Signals) float64 { return float64(w.BackingOff) }))
	m.Gauge("mintlift_ingress_endpoints_limited", of(func(w fleet.Signals) float64 { return float64(w.Limited) }))
	m.Gauge("mintlift_ingress_limits_allowed", of(func(w fleet.Signals) float64 { return w.Allowed }))
}

// permit reports whether x may be sent to e as far as its limit goes: one that was
// named since e was chosen counts, too. Server.mu is held.
func (x *exchange) takePermit(e *fleet.Endpoint, now time.Time) bool {
	if x.hasPermit || !e.Signals.Limited() {
		return true
	}
	if e.Signals.From(now).After(now) {
		return false
	}
	e.Signals.Take(now)
	x.hasPermit = true
	return true
}

// PermitAsk is what is to be asked of the sidecar beside an endpoint.
type PermitRequest struct {
	backpressure.Ask
	// Address is that of the endpoint beside which the sidecar is.
	Address string
}

// AskSoon tells that Asks has something.
func (s *Server) AskSoon() <-chan struct{} { return s.permitRequestsPending }

// Asks returns what is to be asked of sidecars, once.
func (s *Server) Asks() []PermitRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	asks := s.permitRequests
	s.permitRequests = nil
	return asks
}

// maxAsks bounds the asks that wait to be sent; what is lost is asked again.
const maxPermitRequests = 256

// askPermits notes what is to be asked for the endpoints of a service. Server.mu is
// held.
func (s *Server) queuePermitRequests(service string, now time.Time) {
	s.fleet.Asks(service, now, func(e *fleet.Endpoint, a backpressure.Ask) {
		address := s.permitIssuer(e, now)
		if address == "" {
			e.Signals.Alone(now)
			return
		}
		if len(s.permitRequests) < maxPermitRequests {
			s.permitRequests = append(s.permitRequests, PermitRequest{Ask: a, Address: address})
		}
	})
	if len(s.permitRequests) == 0 {
		return
	}
	select {
	case s.permitRequestsPending <- struct{}{}:
	default:
	}
}

// dealer returns the address of the endpoint whose sidecar deals out the limit of e:
// its own if it has one, else one that all gateways choose alike, or none. Server.mu
// is held.
func (s *Server) permitIssuer(e *fleet.Endpoint, now time.Time) string {
	c := s.routes.Get()
	if c == nil {
		return ""
	}
	if engineConfig(c, e.Service) != nil {
		return e.Address
	}
	var relays []string
	for name, service := range c.Services {
		if service.Engine != nil {
			relays = append(relays, s.fleet.Relays(name, now)...)
		}
	}
	return fleet.Dealer(relays, e.ID)
}

// Granted takes permits that a sidecar dealt out.
func (s *Server) Granted(g backpressure.Grant) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logSignalChanges(g.ID, "", s.fleet.Granted(g, now))
	if e := s.fleet.ByID(g.ID); e != nil {
		s.dispatch(e.Service, now)
	}
}

// HeardEndpoints takes what other gateways heard of endpoints.
func (s *Server) HeardEndpoints(records []backpressure.Record) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		changes := s.fleet.HeardOf(r, now)
		s.logSignalChanges(r.ID, "", changes)
		if e := s.fleet.ByID(r.ID); e != nil && len(changes) > 0 {
			s.dispatch(e.Service, now)
		}
	}
}
