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

// newListedServer returns a server with an endpoint list.
func newListedServer(records ...fleet.Record) *Server {
	s := New(Settings{}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	s.SetEndpoints(records)
	return s
}

// testRecord returns the entry of an endpoint whose process started at startedMS.
func testRecord(id string, startedMS int64) fleet.Record {
	return fleet.Record{ID: id, Service: "s", Address: id + ":1", StartedMS: startedMS}
}

// drainingByID returns the endpoints of a server by ID, and whether each is
// draining.
func drainingByID(s *Server) map[string]bool {
	out := make(map[string]bool)
	for _, e := range s.fleet.All() {
		out[e.ID] = e.Draining
	}
	return out
}

// After a store rollback, an endpoint that the list lacks must be kept for
// rewriteTimeout, and be removed if it has not rewritten its entry by then.
func TestRollbackKeepsMissingEndpoints(t *testing.T) {
	s := newListedServer(testRecord("old", 1), testRecord("writes", 2), testRecord("silent", 3))
	assert.Assert(t, s.SetEra(1))
	s.SetEndpoints([]fleet.Record{testRecord("old", 1)})
	assert.DeepEqual(t, drainingByID(s), map[string]bool{"old": false, "writes": false, "silent": false})
	s.PutEndpoint(testRecord("writes", 2))
	s.SetEndpoints([]fleet.Record{testRecord("old", 1), testRecord("writes", 2)})
	assert.Equal(t, len(drainingByID(s)), 3, "the list again without one endpoint")
	s.Maintain(s.rollback.startedAt.Add(rewriteTimeout - time.Millisecond))
	assert.Equal(t, len(drainingByID(s)), 3)
	s.Maintain(s.rollback.startedAt.Add(rewriteTimeout))
	assert.DeepEqual(t, drainingByID(s), map[string]bool{"old": false, "writes": false})
}

// A store rollback must not restore removed endpoints or old incarnations, nor end
// draining. A removed endpoint that writes a new entry must be added again.
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
	assert.Equal(t, s.fleet.ByID("again").StartedMS, int64(2))
	s.SetEndpoints(staleCopy)
	assert.DeepEqual(t, drainingByID(s), want) // the same list, as from a gateway that has just started

	s.PutEndpoint(testRecord("left", 1))
	assert.Assert(t, s.fleet.Has("left"), "a new entry counts")
}

// A list of an older era of the store must be rejected. The first list of a process must
// be accepted in any era, without the corrections that follow a rollback.
func TestEraOfTheFirstList(t *testing.T) {
	s := New(Settings{}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	assert.Assert(t, s.SetEra(4))
	s.SetEndpoints([]fleet.Record{testRecord("a", 1), testRecord("b", 1)})
	s.SetEndpoints([]fleet.Record{testRecord("a", 1)})
	assert.DeepEqual(t, drainingByID(s), map[string]bool{"a": false})
	assert.Assert(t, !s.SetEra(3))
	assert.Assert(t, s.SetEra(4))
}
