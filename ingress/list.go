// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/mintlift/mintlift/fleet"
)

// listState says which state of the list of endpoints a gateway has.
type listState struct {
	// life tells the states of one process from those of another.
	instance   uint64
	generation int64
	// era is that of the store that the list was told of.
	era int64
	// changed is closed, and made anew, when the list changes.
	changed chan struct{}
	// confirmed is when the store was read last, by this gateway or by the
	// one from which it has the list.
	confirmedAt time.Time
}

func newListState() listState {
	return listState{instance: rand.Uint64(), changed: make(chan struct{})}
}

// change notes that the list has changed; Server.mu is held.
func (l *listState) markChanged() {
	l.generation++
	close(l.changed)
	l.changed = make(chan struct{})
}

// List is the list of endpoints as a gateway knows it.
type List struct {
	// State differs from that of any other list, also of another gateway.
	State string
	// Era of the store that it was read in.
	Era       int64
	Records   []fleet.Record
	Confirmed time.Time
	// Changed is closed when the gateway knows another list.
	Changed <-chan struct{}
}

// Listed notes that the list was read at now.
func (s *Server) Listed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.confirmedAt = now
}

// List returns the list of endpoints, and whether it has been read.
func (s *Server) List() (List, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := List{
		State:     strconv.FormatUint(s.list.instance, 16) + "." + strconv.FormatInt(s.list.generation, 10),
		Era:       s.list.era,
		Confirmed: s.list.confirmedAt,
		Changed:   s.list.changed,
	}
	for _, e := range s.fleet.All() {
		l.Records = append(l.Records, e.Record)
	}
	for _, r := range s.unconfigured {
		l.Records = append(l.Records, r)
	}
	return l, s.listKnown
}
