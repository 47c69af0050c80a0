// SPDX-License-Identifier: Apache-2.0

package admin

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/state"
)

// Boxes whose engine state is unknown must not be candidates of a plan, since their
// memory would count as unbounded. Unresponsive, draining and leaving boxes must not be
// candidates either.
func TestCandidatesRequireKnownEngine(t *testing.T) {
	box := func(id string, s membership.ListState) membership.Box {
		return membership.Box{ID: id, Role: membership.Endpoint, State: s}
	}
	got := Candidates(state.New(), []BoxStatus{
		{Box: box("new", membership.Live), Reached: true},
		{Box: box("known", membership.Live), Reached: true, Status: peer.Status{EngineKnown: true, MemoryBytes: 7}},
		{Box: box("unresponsive", membership.Live), Status: peer.Status{EngineKnown: true}},
		{Box: box("draining", membership.Live), Reached: true, Status: peer.Status{EngineKnown: true, Draining: true}},
		{Box: box("leaving", membership.Leaving), Reached: true, Status: peer.Status{EngineKnown: true}},
	})
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].ID, "known")
	assert.Equal(t, got[0].MemoryBytes, int64(7))
}
