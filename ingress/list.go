// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math/rand/v2"
	"strconv"
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
	// confirmedAt is when the list was last known to be current.
	confirmedAt time.Time
}

// newListState returns the state of a process that has not read the endpoint list yet.
func newListState() listState {
	return listState{instance: rand.Uint64(), changed: make(chan struct{})}
}

// markChanged records that the list has changed. Server.mu must be held.
func (l *listState) markChanged() {
	l.generation++
	close(l.changed)
	l.changed = make(chan struct{})
}

// List is a snapshot of a gateway's endpoint list.
type List struct {
	// State identifies this snapshot. Snapshots of different gateways have different
	// states.
	State string
	// Era is the store's era in which the list was read; see Server.SetEra.
	Era     int64
	Records []fleet.Record
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
func (s *Server) List() (List, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := List{
		State:     strconv.FormatUint(s.list.instance, 16) + "." + strconv.FormatInt(s.list.generation, 10),
		Era:       s.list.era,
		Confirmed: s.list.confirmedAt,
		Changed:   s.list.changed,
	}
	now := clock.Now()
	for _, e := range s.fleet.All() {
		r := e.Record
		r.ColdMS = e.Signals.ColdRemaining(now).Milliseconds()
		l.Records = append(l.Records, r)
	}
	for _, r := range s.unconfigured {
		l.Records = append(l.Records, r)
	}
	return l, s.listKnown
}
