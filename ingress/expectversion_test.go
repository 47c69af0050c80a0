// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// versionedEngine refuses requests that name another version than the one it runs.
func versionedEngine(version string) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get(testHeaders.ExpectVersion); expected != "" && expected != version {
			w.Header().Set(testHeaders.NotRun, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		respondEvents(lastEvent, lastEvent)(w, r)
	}
}

// Guards against a request that begins on an older version after the deadline of a newer
// one because its gateway believed too early that the engine holds the newer one.
func TestEngineBelievedTooEarlyRefusesRequest(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t)
	g.configure(1, patientRoutes()...)
	g.startEndpoint("early", "engine", versionedEngine("1"))
	g.server.SetTargetVersion(testModel, 2, false, time.Now().Add(-g.server.settings.VersionDeadline))
	g.reportIdle("early", 2)
	time.AfterFunc(200*time.Millisecond, func() {
		g.startEndpoint("new", "engine", versionedEngine("2"))
		g.reportIdle("new", 2)
	})
	r, _ := g.do("POST", "/resumable/1", "x", withHeader(testHeaders.Deadline, "6000"))
	assert.Equal(t, r.StatusCode, http.StatusOK)
	got := g.requests()
	assert.Equal(t, got[len(got)-1].endpoint, "new")
	for _, request := range got {
		assert.Equal(t, request.header.Get(testHeaders.ExpectVersion), "2")
	}
}

// Requests need not name a version before the cutoff of a target version, nor long after
// its deadline: an engine that is updated in the meantime would refuse them for nothing.
func TestVersionIsNamedOnlyNearDeadline(t *testing.T) {
	t.Parallel()
	for name, age := range map[string]time.Duration{"before the cutoff": 0, "long after the deadline": time.Hour} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.configure(1, patientRoutes()...)
			g.startEndpoint("a", "engine", versionedEngine("2"))
			g.server.SetTargetVersion(testModel, 2, false, time.Now().Add(-age))
			g.reportIdle("a", 2)
			r, _ := g.do("POST", "/resumable/1", "x", withHeader(testHeaders.Deadline, "6000"))
			assert.Equal(t, r.StatusCode, http.StatusOK)
			assert.Equal(t, g.requests()[0].header.Get(testHeaders.ExpectVersion), "")
		})
	}
}
