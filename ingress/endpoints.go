// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"time"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// SetEndpoints replaces the endpoint list by one read from the store. After a store
// rollback the list is corrected first; see reconcile.
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
	for _, r := range configured {
		s.observeListedWarmUp(r, now)
	}
	s.listKnown = true
	s.list.markReplaced()
	s.events.Info("endpoints listed", "count", len(configured), "unnamed", len(s.unconfigured))
	s.requestNoticeLocked()
	s.dispatchAll(now)
}

// PutEndpoint adds or changes an endpoint whose entry was written to the store. A
// written entry also ends the special treatment of the endpoint after a store rollback:
// it no longer counts as removed, nor as missing from the restored list.
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

// putLocked adds or changes an endpoint of a configured service. Server.mu must be
// held.
func (s *Server) putLocked(r fleet.Record) {
	added := !s.fleet.Has(r.ID)
	changed := s.fleet.Put(r)
	turnedCold := s.observeListedWarmUp(r, clock.Now())
	if changed || turnedCold {
		s.list.markChanged(r.ID)
	}
	if !changed {
		return
	}
	if added {
		s.requestNoticeLocked()
	}
	s.events.Info("endpoint changed", "endpoint", r.ID, "address", r.Address, "service", r.Service, "draining", r.Draining, "models", r.Models, "born", r.StartedMS)
	s.dispatch(r.Service, clock.Now())
}

// observeListedWarmUp applies what an endpoint's entry tells of its warm-up: the time that
// is left, and the start of the incarnation, after which it is cold for some time. It
// returns whether the endpoint turned cold. Server.mu must be held.
func (s *Server) observeListedWarmUp(r fleet.Record, now time.Time) bool {
	e, c := s.fleet.ByID(r.ID), s.routes.Get()
	if e == nil || c == nil || c.ColdRate(r.Service) <= 0 {
		return false
	}
	remaining := time.Duration(r.ColdMS) * time.Millisecond
	if r.StartedMS > 0 {
		remaining = max(remaining, c.Services[r.Service].ColdStart-clock.SinceUnixMilli(r.StartedMS))
	}
	if remaining <= 0 {
		return false
	}
	changes := e.Signals.ObserveCold(backpressure.Cold{Remaining: remaining, Rate: c.ColdRate(r.Service), Listed: true}, now, now)
	s.logSignalChanges(r.ID, "", changes)
	return len(changes) > 0
}

// putUnconfigured keeps the entry of an endpoint whose service the configuration lacks.
// The entry is kept separately from the fleet, so that it does not replace an endpoint
// with the same address, and is used if the service is configured later. Server.mu must
// be held.
func (s *Server) putUnconfigured(r fleet.Record) {
	_, known := s.unconfigured[r.ID]
	s.unconfigured[r.ID] = r
	if s.fleet.Remove(r.ID) || !known {
		s.list.markChanged(r.ID)
		s.events.Info("endpoint of unconfigured service", "endpoint", r.ID, "address", r.Address, "service", r.Service)
	}
}

// putConfigured moves the endpoints whose services a new configuration contains to
// the fleet.
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

// SetEvacuated sets whether the operator has evacuated an availability zone. The zone's
// endpoints then get no new requests. Requests that wait for an endpoint, and the next
// attempts of those in progress, go to other zones.
func (s *Server) SetEvacuated(zone string, evacuated bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.SetEvacuated(zone, evacuated)
	s.requestNoticeLocked()
	s.dispatchAll(now)
}

// isConfigured reports whether the configuration in force contains a service. It is
// true for all services if there is no configuration yet.
func (s *Server) isConfigured(service string) bool {
	c := s.routes.Get()
	return c == nil || c.Services[service] != nil
}

// RemoveEndpoint removes an endpoint.
func (s *Server) RemoveEndpoint(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.unconfigured[id]; known {
		delete(s.unconfigured, id)
		s.list.markChanged(id)
	}
	if s.removeLocked(id, clock.Now()) {
		s.events.Info("endpoint removed", "endpoint", id)
	}
}

// removeLocked removes an endpoint from the fleet and records its removal. It
// returns false if the endpoint is not in the fleet. Server.mu must be held.
func (s *Server) removeLocked(id string, now time.Time) bool {
	e := s.fleet.ByID(id)
	if e == nil {
		// Another endpoint may have taken its address, and thereby its place in the
		// fleet.
		s.recordRemoval(fleet.Record{ID: id, StartedMS: anyIncarnation}, now)
		return false
	}
	s.recordRemoval(e.Record, now)
	s.fleet.Remove(id)
	s.list.markChanged(id)
	return true
}
