// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math"
	"time"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// The store may come back from a copy that is some seconds old, with entries of
// endpoints that have left since, and without those of endpoints that came.
// Until they have written again, what this gateway knew goes before the copy.
const (
	// returnWait is how long after the return an endpoint counts that the copy
	// lacks: one that lives has written again within about two seconds.
	rewriteTimeout = 2500 * time.Millisecond
	// lapseWait is how long after the return an entry may stand whose endpoint
	// has left: three heartbeats of 1.2 s, and a look at the list.
	staleEntryTimeout = 4600 * time.Millisecond
	// departedKept is how long it is remembered that an endpoint has left: longer
	// than a copy is old.
	removalRetention = time.Minute
)

// storeReturn is what a gateway remembers for when the store comes back from an
// older copy.
type storeRollback struct {
	// at is when this gateway heard of the return, or zero.
	startedAt time.Time
	// departed are endpoints that have left, by id.
	removed map[string]removal
	// awaited are endpoints that the copy lacks.
	unconfirmed map[string]bool
}

// departure is the end of an endpoint's entry; born is that of the life that
// ended, or anyLife.
type removal struct {
	startedMS int64
	removedAt time.Time
}

// anyLife is later than all births.
const anyIncarnation = math.MaxInt64

func newStoreRollback() storeRollback {
	return storeRollback{removed: make(map[string]removal), unconfirmed: make(map[string]bool)}
}

// SetEra says of which era of the store the list is that is told next. It
// returns false for one that has passed.
func (s *Server) SetEra(era int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era <= s.list.era {
		return era == s.list.era
	}
	s.events.Info("list comes from an older copy", "era", s.list.era, "new_era", era, "endpoints", s.fleet.Len())
	s.list.era = era
	if s.listKnown {
		s.rollback.startedAt = clock.Now()
		clear(s.rollback.unconfirmed)
	}
	return true
}

// leftBefore notes that an endpoint's entry has ended. Server.mu is held.
func (s *Server) recordRemoval(r fleet.Record, now time.Time) {
	s.rollback.removed[r.ID] = removal{r.Born, now}
	delete(s.rollback.unconfirmed, r.ID)
}

// reconcile puts what is known in the place of what a list says that may come from
// an older copy. Server.mu is held.
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
		if d, wasRemoved := s.rollback.removed[r.ID]; wasRemoved && d.removedAt.Before(s.rollback.startedAt) && r.Born <= d.startedMS {
			s.events.Info("entry of an endpoint that has left", "endpoint", r.ID, "born", r.Born)
			continue
		}
		if e := s.fleet.ByID(r.ID); e != nil && e.Born == r.Born {
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

// endReturn forgets endpoints that have not written again since the store came
// back, and departures of long ago. Server.mu is held.
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
			s.events.Info("endpoint has not written again", "endpoint", id)
		}
	}
	clear(s.rollback.unconfirmed)
}
