// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// The deadline sent to an endpoint must be reduced by the time for which the machine was
// suspended.
func TestDeadlineIncludesSuspension(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	first := true
	h := func(rw http.ResponseWriter, r *http.Request) {
		if first {
			first = false
			clock.SuspendForTest(t, 1200*time.Millisecond)
			abortConnection(rw, r)
		}
		respondOK("body")(rw, r)
	}
	g.startEndpoint("a", "plain", h)
	g.startEndpoint("b", "plain", h)
	r, _ := g.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusOK)
	left, err := strconv.Atoi(g.requests()[1].header.Get(testHeaders.Deadline))
	assert.NilError(t, err)
	assert.Assert(t, left <= 800, "%d ms", left)
}

// A request whose deadline passes while the machine is suspended must time out as soon as
// the machine resumes.
func TestRequestTimesOutOnResume(t *testing.T) {
	g := newTestGateway(t)
	go clock.Watch(t.Context(), nil)
	g.configure(1)
	g.startEndpoint("a", "plain", func(_ http.ResponseWriter, r *http.Request) {
		clock.SuspendForTest(t, 3*time.Second)
		<-r.Context().Done()
	})
	began := time.Now()
	r, _ := g.do("POST", "/unsafe/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < time.Second, "%s", time.Since(began))
}

// If the cutoff of a target version passes while the machine is suspended, engines with
// older versions must get no requests after it resumes.
func TestVersionCutoffWhileSuspended(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "engine", respondEvents(3, 3))
	g.server.SetTargetVersion(testModel, 2, false, clock.Now())
	r, _ := g.do("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusOK)
	clock.SuspendForTest(t, g.server.settings.VersionDeadline)
	r, _ = g.do("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(g.requests()), 1)
}

// A load report that was received before the machine was suspended must not be used after
// it resumes.
func TestReportsExpireWhileSuspended(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "engine", respondEvents(3, 3))
	g.server.HandleReport(fleet.Report{Address: g.records["a"].Address, Model: testModel, Version: 1, Busy: true}, -1)
	r, _ := g.do("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable, "the engine is busy")
	clock.SuspendForTest(t, 5*time.Second)
	r, _ = g.do("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusOK)
}
