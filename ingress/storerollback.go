// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math"
	"time"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// A store rollback is a restore of the store from a replica that lags by some seconds.
// The restored endpoint list contains endpoints that were removed since then and lacks
// endpoints that were added. Until the running endpoints have rewritten their entries,
// the gateway's own state takes precedence over the list.
const (
	// rewriteTimeout is how long after a rollback an endpoint that is missing from the
	// list is kept. Running endpoints rewrite their entries sooner.
	rewriteTimeout = 2500 * time.Millisecond
	// staleEntryTimeout is how long after a rollback the list may still contain entries
	// of endpoints that were removed before it. Such an entry lapses after three
	// heartbeats; the rest is for the next read of the list.
	staleEntryTimeout = 4600 * time.Millisecond
	// removalRetention is how long the gateway remembers the removal of an endpoint. It
	// exceeds the lag of a replica of the store.
	removalRetention = time.Minute
)

// storeRollback is the state needed to handle a rollback of the store. Server.mu
// guards it.
type storeRollback struct {
	// startedAt is when this gateway detected the last rollback, or zero.
	startedAt time.Time
	// removed holds recent removals by endpoint ID. Entries of these endpoints in a
	// restored list are ignored.
	removed map[string]removal
	// unconfirmed holds the IDs of the endpoints that are kept although the restored
	// list lacks them.
	unconfirmed map[string]bool
}

// removal describes an endpoint whose entry was removed from the list. startedMS is the start time
// of the removed process, in Unix milliseconds, or anyIncarnation.
type removal struct {
	startedMS int64
	removedAt time.Time
}

// anyIncarnation is the value of removal.startedMS for a removal that applies to all
// incarnations of an endpoint, that is, all runs of its process. It is later than the
// start time of each of them.
const anyIncarnation = math.MaxInt64

// newStoreRollback returns the state of a process that has seen no rollback and no
// removal of an endpoint.
func newStoreRollback() storeRollback {
	return storeRollback{removed: make(map[string]removal), unconfirmed: make(map[string]bool)}
}

// SetEra sets the era of the store from which the next list is read. The era is a
// number that increases with each rollback of the store. SetEra returns false if era is
// older than the current one.
func (s *Server) SetEra(era int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era <= s.list.era {
		return era == s.list.era
	}
	s.events.Info("endpoint list restored from an older copy", "era", s.list.era, "new_era", era, "endpoints", s.fleet.Len())
	s.list.era = era
	if s.listKnown {
		s.rollback.startedAt = clock.Now()
		clear(s.rollback.unconfirmed)
	}
	return true
}

// recordRemoval records that an endpoint's entry was removed. Server.mu must be
// held.
func (s *Server) recordRemoval(r fleet.Record, now time.Time) {
	s.rollback.removed[r.ID] = removal{r.StartedMS, now}
	delete(s.rollback.unconfirmed, r.ID)
}

// reconcile corrects a list that was read soon after a store rollback. It drops
// endpoints that were removed before the rollback, keeps endpoints marked as draining,
// and for rewriteTimeout adds the endpoints that the list lacks. Server.mu must be held.
func (s *Server) reconcile(records []fleet.Record, now time.Time) []fleet.Record {
	since := now.Sub(s.rollback.startedAt)
	if s.rollback.startedAt.IsZero() || since >= staleEntryTimeout {
		return records
	}
	out := make([]fleet.Record, 0, len(records))
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.ID] = true
		delete(s.rollback.unconfirmed, r.ID)
		if d, wasRemoved := s.rollback.removed[r.ID]; wasRemoved && d.removedAt.Before(s.rollback.startedAt) && r.StartedMS <= d.startedMS {
			s.events.Info("stale entry of a removed endpoint ignored", "endpoint", r.ID, "born", r.StartedMS)
			continue
		}
		if e := s.fleet.ByID(r.ID); e != nil && e.StartedMS == r.StartedMS {
			r.Draining = r.Draining || e.Draining
		}
		out = append(out, r)
	}
	if since >= rewriteTimeout {
		return out
	}
	for _, e := range s.fleet.All() {
		if !listed[e.ID] {
			s.rollback.unconfirmed[e.ID] = true
			out = append(out, e.Record)
		}
	}
	return out
}

// expireRollback removes the endpoints that have not rewritten their entries within
// rewriteTimeout after a rollback, and deletes removals older than removalRetention.
// Server.mu must be held.
func (s *Server) expireRollback(now time.Time) {
	for id, d := range s.rollback.removed {
		if now.Sub(d.removedAt) > removalRetention {
			delete(s.rollback.removed, id)
		}
	}
	if len(s.rollback.unconfirmed) == 0 || now.Sub(s.rollback.startedAt) < rewriteTimeout {
		return
	}
	for id := range s.rollback.unconfirmed {
		if s.removeLocked(id, now) {
			s.events.Info("endpoint not rewritten after store rollback, removed", "endpoint", id)
		}
	}
	clear(s.rollback.unconfirmed)
}
