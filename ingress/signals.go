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

// recordSignals records the signals in a response of the endpoint.
func (a *attempt) recordSignals(r *upstream.Response) {
	x, e := a.exchange, a.endpoint
	s := x.server
	if s.settings.DecodeSignal == nil || r.Status == http.StatusMisdirectedRequest {
		return // a 421 may come from another endpoint at the same address
	}
	signal := s.settings.DecodeSignal(r.Status, r.Header)
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := e.Signals.Observe(signal, a.sentAt, now)
	if signal.ColdReported {
		cold := backpressure.Cold{Remaining: signal.ColdRemaining, Rate: x.config.ColdRate(e.Service)}
		changes = append(changes, e.Signals.ObserveCold(cold, a.sentAt, now)...)
	}
	s.logSignalChanges(e.ID, x.id, changes)
	if len(changes) > 0 {
		s.queuePermitRequests(e.Service, now)
	}
}

// logSignalChanges logs and counts changes of an endpoint's signals. request is the ID
// of the request in whose response they were received; it is empty if another process
// reported them. Server.mu must be held.
func (s *Server) logSignalChanges(endpoint, request string, changes []backpressure.Change) {
	for _, c := range changes {
		s.metrics.Counter("mintlift_ingress_endpoint_signals_total", "signal", c.Kind.String()).Inc()
		s.events.Info("endpoint signal", "endpoint", endpoint, "request", request, "signal", c.Kind.String(), "rate", c.Rate, "backoff_ms", c.Backoff.Milliseconds(), "cold_ms", c.Remaining.Milliseconds(), "value", c.Value)
	}
}

// registerSignalGauges registers the gauges that count the endpoints with each signal.
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
	m.Gauge("mintlift_ingress_endpoints_cold", of(func(w fleet.Signals) float64 { return float64(w.Cold) }))
	m.Gauge("mintlift_ingress_limits_allowed", of(func(w fleet.Signals) float64 { return w.Allowed }))
}

// takePermit reports whether the rate limit of the endpoint, if any, allows the attempt. If
// the attempt has no permit, because the limit was set after the endpoint was chosen, it
// takes one. Server.mu must be held.
func (a *attempt) takePermit(now time.Time) bool {
	e := a.endpoint
	if a.hasPermit || !e.Signals.Limited(now) {
		return true
	}
	if e.Signals.AvailableAt(now).After(now) {
		return false
	}
	e.Signals.Take(now)
	a.hasPermit = true
	return true
}

// PermitRequest is a message in which the gateway asks for permits, each of which allows
// one request to an endpoint with a rate limit. It goes to the sidecar that grants them.
type PermitRequest struct {
	backpressure.PermitRequest
	// Address is the address of the sidecar's endpoint.
	Address string
}

// PermitRequestsPending returns a channel that receives when TakePermitRequests has
// something to return.
func (s *Server) PermitRequestsPending() <-chan struct{} { return s.permitRequestsPending }

// TakePermitRequests returns the permit requests to send to sidecars now, and removes
// them from the server.
func (s *Server) TakePermitRequests() []PermitRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := s.permitRequests
	s.permitRequests = nil
	return requests
}

// maxPermitRequests limits the permit requests that wait to be sent. Further ones are
// dropped and made again later.
const maxPermitRequests = 256

// queuePermitRequests queues the permit requests that are due for the endpoints of
// a service. Server.mu must be held.
func (s *Server) queuePermitRequests(service string, now time.Time) {
	s.fleet.EachPermitRequest(service, now, func(e *fleet.Endpoint, r backpressure.PermitRequest) {
		address := s.permitAllocator(e, now)
		if address == "" {
			e.Signals.SetNoAllocator(now)
			return
		}
		if len(s.permitRequests) < maxPermitRequests {
			s.permitRequests = append(s.permitRequests, PermitRequest{PermitRequest: r, Address: address})
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

// permitAllocator returns the address of the endpoint whose sidecar grants gateways the
// permits to send requests to e. An engine has its own sidecar. For a plain endpoint, all
// gateways choose the same sidecar of an engine. The address is empty if there is none.
// Server.mu must be held.
func (s *Server) permitAllocator(e *fleet.Endpoint, now time.Time) string {
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
	return fleet.PermitAllocator(relays, e.ID)
}

// HandleGrant records the permits that a sidecar granted, and sends waiting requests that
// they allow.
func (s *Server) HandleGrant(g backpressure.Grant) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logSignalChanges(g.ID, "", s.fleet.ApplyGrant(g, now))
	if e := s.fleet.ByID(g.ID); e != nil {
		s.dispatch(e.Service, now)
	}
}

// MergeEndpointSignals applies the signals of endpoints, such as draining or a rate limit,
// that other gateways received and sent to this one.
func (s *Server) MergeEndpointSignals(records []backpressure.Record) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		changes := s.fleet.MergeSignals(r, now)
		s.logSignalChanges(r.ID, "", changes)
		if e := s.fleet.ByID(r.ID); e != nil && len(changes) > 0 {
			s.dispatch(e.Service, now)
		}
	}
}
