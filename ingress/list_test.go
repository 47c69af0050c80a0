// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/telemetry"
)

// follow applies the changes of source since a state to target, as a follower does, and
// returns the new state and the number of entries that were sent.
func follow(source, target *Server, state string) (string, int) {
	list, known := source.ListSince(state)
	if !known {
		return state, 0
	}
	if !list.Delta {
		target.SetEndpoints(list.Records)
		return list.State, len(list.Records)
	}
	for _, id := range list.Removed {
		target.RemoveEndpoint(id)
	}
	for _, r := range list.Records {
		target.PutEndpoint(r)
	}
	return list.State, len(list.Records) + len(list.Removed)
}

// entries returns the listed endpoints by ID.
func entries(s *Server) map[string]fleet.Record {
	list, _ := s.List()
	out := make(map[string]fleet.Record)
	for _, r := range list.Records {
		out[r.ID] = r
	}
	return out
}

// A follower that applies the changes must hold the same list as its source, whatever
// changes in whatever order, also if the whole list is replaced or the source restarts.
func TestFollowerOfChangesHoldsTheList(t *testing.T) {
	newServer := func() *Server {
		return New(Settings{}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		record := func() fleet.Record {
			n := rng.IntN(40)
			return fleet.Record{ID: fmt.Sprint("e", n), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", n), Draining: rng.IntN(2) == 0, Models: map[string]int{"m": rng.IntN(3)}}
		}
		source, target, state := newServer(), newServer(), ""
		for range 300 {
			switch n := rng.IntN(100); {
			case n < 50:
				source.PutEndpoint(record())
			case n < 75:
				source.RemoveEndpoint(record().ID)
			case n < 77:
				source.SetEndpoints([]fleet.Record{record()})
			case n < 78:
				source = newServer()
				source.SetEndpoints([]fleet.Record{record()})
			default:
				state, _ = follow(source, target, state)
			}
		}
		follow(source, target, state)
		assert.DeepEqual(t, entries(target), entries(source))
	}
}

// What a follower gets must depend on what has changed, not on the size of the list.
func TestChangesAreSentInsteadOfTheList(t *testing.T) {
	source := New(Settings{}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	target := New(Settings{}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	var all []fleet.Record
	for n := range 3000 {
		all = append(all, fleet.Record{ID: fmt.Sprint("e", n), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", n/250, n%250)})
	}
	source.SetEndpoints(all)
	state, sent := follow(source, target, "")
	assert.Equal(t, sent, len(all))
	for n := range 5 {
		all[n].Draining = true
		source.PutEndpoint(all[n])
	}
	source.RemoveEndpoint("e9")
	state, sent = follow(source, target, state)
	assert.Equal(t, sent, 6)
	for range maxListChanges + 1 { // more changes than are kept
		all[0].Draining = !all[0].Draining
		source.PutEndpoint(all[0])
	}
	_, sent = follow(source, target, state)
	assert.Equal(t, sent, len(all)-1)
	assert.DeepEqual(t, entries(target), entries(source))
	source.ConfirmList(clock.Now())
}
