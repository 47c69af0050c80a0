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
	clear(s.unconfigured)
	configured := make([]fleet.Record, 0, len(records))
	for _, r := range records {
		if s.isConfigured(r.Service) {
			configured = append(configured, r)
		} else {
			s.unconfigured[r.ID] = r
		}
	}
	for _, r := range s.fleet.Replace(configured) {
		s.recordRemoval(r, now)
	}
	s.listKnown = true
	s.list.markChanged()
	s.events.Info("endpoints listed", "count", len(configured), "unnamed", len(s.unconfigured))
	s.sendNoticeLocked()
	s.dispatchAll(now)
}

// PutEndpoint adds or changes an endpoint.
func (s *Server) PutEndpoint(r fleet.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rollback.removed, r.ID)
	delete(s.rollback.unconfirmed, r.ID)
	if !s.isConfigured(r.Service) {
		s.putUnconfigured(r)
		return
	}
	delete(s.unconfigured, r.ID)
	s.putLocked(r)
}

// putLocked adds or changes an endpoint of a service that the configuration
// names; Server.mu is held.
func (s *Server) putLocked(r fleet.Record) {
	added := !s.fleet.Has(r.ID)
	if !s.fleet.Put(r) {
		return
	}
	s.list.markChanged()
	if added {
		s.sendNoticeLocked()
	}
	s.events.Info("endpoint changed", "endpoint", r.ID, "address", r.Address, "service", r.Service, "draining", r.Draining, "models", r.Models, "born", r.Born)
	s.dispatch(r.Service, clock.Now())
}

// setAside keeps an entry whose service the configuration does not name: it may
// be named later, and until then it must not take the place of an endpoint that
// has the same address. Server.mu is held.
func (s *Server) putUnconfigured(r fleet.Record) {
	_, known := s.unconfigured[r.ID]
	s.unconfigured[r.ID] = r
	if s.fleet.Remove(r.ID) || !known {
		s.list.markChanged()
		s.events.Info("endpoint unnamed", "endpoint", r.ID, "address", r.Address, "service", r.Service)
	}
}

// putNamed takes the endpoints whose services a new configuration names.
func (s *Server) putConfigured() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.unconfigured {
		if s.isConfigured(r.Service) {
			delete(s.unconfigured, id)
			s.putLocked(r)
		}
	}
}

// names reports whether the configuration in force names a service.
func (s *Server) isConfigured(service string) bool {
	c := s.routes.Get()
	return c == nil || c.Services[service] != nil
}

// RemoveEndpoint forgets an endpoint.
func (s *Server) RemoveEndpoint(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unconfigured, id)
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
		s.recordRemoval(fleet.Record{ID: id, Born: anyIncarnation}, now)
		return false
	}
	s.recordRemoval(e.Record, now)
	s.fleet.Remove(id)
	s.list.markChanged()
	return true
}
