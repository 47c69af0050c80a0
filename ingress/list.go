// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// listState identifies the version of the endpoint list that a gateway holds.
type listState struct {
	// instance is a random number that identifies the process. generation counts
	// the changes of the list within it.
	instance   uint64
	generation int64
	// era is the store's era in which the list was read; see SetEra.
	era int64
	// changed is closed and replaced when the list changes.
	changed chan struct{}
	// changes are the last changes of single endpoints, oldest first. Those of the
	// generations after loggedFrom are all there.
	changes    []listChange
	loggedFrom int64
	// confirmedAt is when the list was last known to be current.
	confirmedAt time.Time
}

// newListState returns the state of a process that has not read the endpoint list yet.
func newListState() listState {
	return listState{instance: rand.Uint64(), changed: make(chan struct{})}
}

// listChange is a change of an endpoint's entry, or its removal.
type listChange struct {
	generation int64
	id         string
}

// maxListChanges bounds the changes that are kept for followers. One that has missed more
// gets the whole list.
const maxListChanges = 2048

// markChanged records that an endpoint was added, changed or removed. Server.mu must be
// held.
func (l *listState) markChanged(id string) {
	l.advance()
	l.changes = append(l.changes, listChange{l.generation, id})
	if n := len(l.changes) - maxListChanges; n > 0 {
		l.loggedFrom = l.changes[n-1].generation
		l.changes = append(l.changes[:0], l.changes[n:]...)
	}
}

// markReplaced records that the whole list was replaced. Server.mu must be held.
func (l *listState) markReplaced() {
	l.advance()
	l.changes, l.loggedFrom = l.changes[:0], l.generation
}

// advance begins a new generation and wakes those that wait for it.
func (l *listState) advance() {
	l.generation++
	close(l.changed)
	l.changed = make(chan struct{})
}

// state returns the text that identifies the list's content.
func (l *listState) state() string {
	return strconv.FormatUint(l.instance, 16) + "." + strconv.FormatInt(l.generation, 10)
}

// changedSince returns the endpoints that have changed since a state; ok is false if they
// are not known.
func (l *listState) changedSince(state string) (ids []string, ok bool) {
	instance, text, _ := strings.Cut(state, ".")
	generation, err := strconv.ParseInt(text, 10, 64)
	if err != nil || instance != strconv.FormatUint(l.instance, 16) || generation < l.loggedFrom || generation > l.generation {
		return nil, false
	}
	from, _ := slices.BinarySearchFunc(l.changes, generation, func(c listChange, g int64) int { return cmp.Compare(c.generation, g+1) })
	for _, c := range l.changes[from:] {
		if !slices.Contains(ids, c.id) {
			ids = append(ids, c.id)
		}
	}
	return ids, true
}

// List is a snapshot of a gateway's endpoint list.
type List struct {
	// State identifies this snapshot. Snapshots of different gateways have different
	// states.
	State string
	// Era is the store's era in which the list was read; see Server.SetEra.
	Era     int64
	Records []fleet.Record
	// Delta is set if Records are only the endpoints that were added or changed since
	// the state that was asked for, and Removed the IDs of those that were removed.
	Delta   bool
	Removed []string
	// Confirmed is when the list was last known to be current.
	Confirmed time.Time
	// Changed is closed when the gateway's list changes.
	Changed <-chan struct{}
}

// ConfirmList records that the list was current at now.
func (s *Server) ConfirmList(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.confirmedAt = now
}

// List returns a snapshot of the endpoint list. The second result reports whether the
// list has been read at least once.
func (s *Server) List() (List, bool) { return s.ListSince("") }

// VerifiedLoad returns the last load of the engine at an address that was reported as
// verified, and when the store last confirmed that the engine's id is listed there. It
// returns false if there is none.
func (s *Server) VerifiedLoad(address string) (load fleet.VerifiedLoad, listConfirmed time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load, ok = s.fleet.VerifiedLoad(address)
	return load, s.list.confirmedAt, ok
}

// ListState returns the state of the list, and a channel that is closed when it changes.
// The last result reports whether the list has been read at least once.
func (s *Server) ListState() (state string, changed <-chan struct{}, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.state(), s.list.changed, s.listKnown
}

// ListSince returns the changes of the list since a state, or a snapshot of the list if
// they are not known. The second result reports whether the list has been read at least
// once.
func (s *Server) ListSince(state string) (List, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := List{State: s.list.state(), Era: s.list.era, Confirmed: s.list.confirmedAt, Changed: s.list.changed}
	now := clock.Now()
	if ids, ok := s.list.changedSince(state); ok {
		l.Delta = true
		for _, id := range ids {
			if r, listed := s.listedRecord(id, now); listed {
				l.Records = append(l.Records, r)
			} else {
				l.Removed = append(l.Removed, id)
			}
		}
		return l, s.listKnown
	}
	for _, e := range s.fleet.All() {
		l.Records = append(l.Records, recordOf(e, now))
	}
	for _, r := range s.unconfigured {
		l.Records = append(l.Records, r)
	}
	return l, s.listKnown
}

// listedRecord returns the entry of an endpoint; ok is false if it is not listed.
// Server.mu must be held.
func (s *Server) listedRecord(id string, now time.Time) (r fleet.Record, ok bool) {
	if e := s.fleet.ByID(id); e != nil {
		return recordOf(e, now), true
	}
	r, ok = s.unconfigured[id]
	return r, ok
}

// recordOf returns the entry of an endpoint, with the time that is left of its warm-up.
func recordOf(e *fleet.Endpoint, now time.Time) fleet.Record {
	r := e.Record
	r.ColdMS = e.Signals.ColdRemaining(now).Milliseconds()
	return r
}
