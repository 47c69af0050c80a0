// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/telemetry"
)

func listedServer(records ...fleet.Record) *Server {
	s := New(Settings{}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	s.SetEndpoints(records)
	return s
}

func entry(id string, born int64) fleet.Record {
	return fleet.Record{ID: id, Service: "s", Address: id + ":1", Born: born}
}

// knownTo returns whether each endpoint is draining, by id.
func knownTo(s *Server) map[string]bool {
	out := make(map[string]bool)
	for _, e := range s.fleet.All() {
		out[e.ID] = e.Draining
	}
	return out
}

// An endpoint that the copy lacks is no word that it has left: it counts until it
// had time to write again, and is gone then if it has not.
func TestCopyLacksLivingEndpoints(t *testing.T) {
	s := listedServer(entry("old", 1), entry("writes", 2), entry("silent", 3))
	assert.Assert(t, s.SetEra(1))
	s.SetEndpoints([]fleet.Record{entry("old", 1)})
	assert.DeepEqual(t, knownTo(s), map[string]bool{"old": false, "writes": false, "silent": false})
	s.PutEndpoint(entry("writes", 2))
	s.SetEndpoints([]fleet.Record{entry("old", 1), entry("writes", 2)})
	assert.Equal(t, len(knownTo(s)), 3, "the same list again")
	s.Maintain(s.back.at.Add(returnWait - time.Millisecond))
	assert.Equal(t, len(knownTo(s)), 3)
	s.Maintain(s.back.at.Add(returnWait))
	assert.DeepEqual(t, knownTo(s), map[string]bool{"old": false, "writes": false})
}

// Endpoints that have left, or began anew, do not come back by the copy; one that
// drains goes on draining. Each counts with its next entry.
func TestCopyBringsNobodyBack(t *testing.T) {
	s := listedServer(entry("left", 1), entry("again", 1), entry("drains", 1), entry("moved", 1))
	s.RemoveEndpoint("left")
	s.PutEndpoint(entry("again", 2))
	draining := entry("drains", 1)
	draining.Draining = true
	s.PutEndpoint(draining)
	successor := entry("successor", 1)
	successor.Address = "moved:1"
	s.PutEndpoint(successor)
	s.RemoveEndpoint("moved")

	assert.Assert(t, s.SetEra(1))
	copied := []fleet.Record{entry("left", 1), entry("again", 1), entry("drains", 1), entry("moved", 1)}
	s.SetEndpoints(copied)
	want := map[string]bool{"again": false, "drains": true, "successor": false}
	assert.DeepEqual(t, knownTo(s), want)
	assert.Equal(t, s.fleet.ByID("again").Born, int64(2))
	s.SetEndpoints(copied)
	assert.DeepEqual(t, knownTo(s), want) // the list of a gateway that has just started

	s.PutEndpoint(entry("left", 1))
	assert.Assert(t, s.fleet.Has("left"), "it writes itself")
}

// The list of an era that has passed is not taken, and the first list of a process
// is taken as it is, whatever its era.
func TestEraOfTheFirstList(t *testing.T) {
	s := New(Settings{}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	assert.Assert(t, s.SetEra(4))
	s.SetEndpoints([]fleet.Record{entry("a", 1), entry("b", 1)})
	s.SetEndpoints([]fleet.Record{entry("a", 1)})
	assert.DeepEqual(t, knownTo(s), map[string]bool{"a": false})
	assert.Assert(t, !s.SetEra(3))
	assert.Assert(t, s.SetEra(4))
}
