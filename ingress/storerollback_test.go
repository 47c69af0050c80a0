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

func newListedServer(records ...fleet.Record) *Server {
	s := New(Settings{}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	s.SetEndpoints(records)
	return s
}

func testRecord(id string, born int64) fleet.Record {
	return fleet.Record{ID: id, Service: "s", Address: id + ":1", Born: born}
}

// knownTo returns whether each endpoint is draining, by id.
func drainingByID(s *Server) map[string]bool {
	out := make(map[string]bool)
	for _, e := range s.fleet.All() {
		out[e.ID] = e.Draining
	}
	return out
}

// An endpoint that the copy lacks is no word that it has left: it counts until it
// had time to write again, and is gone then if it has not.
func TestRollbackKeepsMissingEndpoints(t *testing.T) {
	s := newListedServer(testRecord("old", 1), testRecord("writes", 2), testRecord("silent", 3))
	assert.Assert(t, s.SetEra(1))
	s.SetEndpoints([]fleet.Record{testRecord("old", 1)})
	assert.DeepEqual(t, drainingByID(s), map[string]bool{"old": false, "writes": false, "silent": false})
	s.PutEndpoint(testRecord("writes", 2))
	s.SetEndpoints([]fleet.Record{testRecord("old", 1), testRecord("writes", 2)})
	assert.Equal(t, len(drainingByID(s)), 3, "the same list again")
	s.Maintain(s.rollback.startedAt.Add(rewriteTimeout - time.Millisecond))
	assert.Equal(t, len(drainingByID(s)), 3)
	s.Maintain(s.rollback.startedAt.Add(rewriteTimeout))
	assert.DeepEqual(t, drainingByID(s), map[string]bool{"old": false, "writes": false})
}

// Endpoints that have left, or began anew, do not come back by the copy; one that
// drains goes on draining. Each counts with its next entry.
func TestRollbackDoesNotRestoreRemovedEndpoints(t *testing.T) {
	s := newListedServer(testRecord("left", 1), testRecord("again", 1), testRecord("drains", 1), testRecord("moved", 1))
	s.RemoveEndpoint("left")
	s.PutEndpoint(testRecord("again", 2))
	draining := testRecord("drains", 1)
	draining.Draining = true
	s.PutEndpoint(draining)
	successor := testRecord("successor", 1)
	successor.Address = "moved:1"
	s.PutEndpoint(successor)
	s.RemoveEndpoint("moved")

	assert.Assert(t, s.SetEra(1))
	staleCopy := []fleet.Record{testRecord("left", 1), testRecord("again", 1), testRecord("drains", 1), testRecord("moved", 1)}
	s.SetEndpoints(staleCopy)
	want := map[string]bool{"again": false, "drains": true, "successor": false}
	assert.DeepEqual(t, drainingByID(s), want)
	assert.Equal(t, s.fleet.ByID("again").Born, int64(2))
	s.SetEndpoints(staleCopy)
	assert.DeepEqual(t, drainingByID(s), want) // the list of a gateway that has just started

	s.PutEndpoint(testRecord("left", 1))
	assert.Assert(t, s.fleet.Has("left"), "it writes itself")
}

// The list of an era that has passed is not taken, and the first list of a process
// is taken as it is, whatever its era.
func TestEraOfTheFirstList(t *testing.T) {
	s := New(Settings{}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	assert.Assert(t, s.SetEra(4))
	s.SetEndpoints([]fleet.Record{testRecord("a", 1), testRecord("b", 1)})
	s.SetEndpoints([]fleet.Record{testRecord("a", 1)})
	assert.DeepEqual(t, drainingByID(s), map[string]bool{"a": false})
	assert.Assert(t, !s.SetEra(3))
	assert.Assert(t, s.SetEra(4))
}
