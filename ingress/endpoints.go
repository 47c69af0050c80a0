// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"time"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// SetEndpoints replaces the list of endpoints.
func (s *Server) SetEndpoints(records []fleet.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	records = s.reconcile(records, now)
	clear(s.unnamed)
	named := make([]fleet.Record, 0, len(records))
	for _, r := range records {
		if s.names(r.Service) {
			named = append(named, r)
		} else {
			s.unnamed[r.ID] = r
		}
	}
	for _, r := range s.fleet.Replace(named) {
		s.leftBefore(r, now)
	}
	s.listed = true
	s.list.change()
	s.events.Info("endpoints listed", "count", len(named), "unnamed", len(s.unnamed))
	s.tellSoonLocked()
	s.dispatchAll(now)
}

// PutEndpoint adds or changes an endpoint.
func (s *Server) PutEndpoint(r fleet.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.back.departed, r.ID)
	delete(s.back.awaited, r.ID)
	if !s.names(r.Service) {
		s.setAside(r)
		return
	}
	delete(s.unnamed, r.ID)
	s.putLocked(r)
}

// putLocked adds or changes an endpoint of a service that the configuration
// names; Server.mu is held.
func (s *Server) putLocked(r fleet.Record) {
	added := !s.fleet.Has(r.ID)
	if !s.fleet.Put(r) {
		return
	}
	s.list.change()
	if added {
		s.tellSoonLocked()
	}
	s.events.Info("endpoint changed", "endpoint", r.ID, "address", r.Address, "service", r.Service, "draining", r.Draining, "models", r.Models, "born", r.Born)
	s.dispatch(r.Service, clock.Now())
}

// setAside keeps an entry whose service the configuration does not name: it may
// be named later, and until then it must not take the place of an endpoint that
// has the same address. Server.mu is held.
func (s *Server) setAside(r fleet.Record) {
	_, known := s.unnamed[r.ID]
	s.unnamed[r.ID] = r
	if s.fleet.Remove(r.ID) || !known {
		s.list.change()
		s.events.Info("endpoint unnamed", "endpoint", r.ID, "address", r.Address, "service", r.Service)
	}
}

// putNamed takes the endpoints whose services a new configuration names.
func (s *Server) putNamed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.unnamed {
		if s.names(r.Service) {
			delete(s.unnamed, id)
			s.putLocked(r)
		}
	}
}

// names reports whether the configuration in force names a service.
func (s *Server) names(service string) bool {
	c := s.routes.Get()
	return c == nil || c.Services[service] != nil
}

// RemoveEndpoint forgets an endpoint.
func (s *Server) RemoveEndpoint(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unnamed, id)
	if s.removeLocked(id, clock.Now()) {
		s.events.Info("endpoint gone", "endpoint", id)
	}
}

// removeLocked forgets an endpoint; it returns false for one that is not known.
// Server.mu is held.
func (s *Server) removeLocked(id string, now time.Time) bool {
	e := s.fleet.ByID(id)
	if e == nil {
		// Another endpoint may have taken its address before its entry ended.
		s.leftBefore(fleet.Record{ID: id, Born: anyLife}, now)
		return false
	}
	s.leftBefore(e.Record, now)
	s.fleet.Remove(id)
	s.list.change()
	return true
}
