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

// What is left of the caller's time counts the time in which the machine was
// suspended.
func TestDeadlineIncludesSuspension(t *testing.T) {
	w := newTestGateway(t)
	w.configure(1)
	first := true
	h := func(rw http.ResponseWriter, r *http.Request) {
		if first {
			first = false
			clock.SuspendForTest(t, 1200*time.Millisecond)
			abortConnection(rw, r)
		}
		respondOK("body")(rw, r)
	}
	w.startEndpoint("a", "plain", h)
	w.startEndpoint("b", "plain", h)
	r, _ := w.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusOK)
	left, err := strconv.Atoi(w.requests()[1].header.Get(testHeaders.Deadline))
	assert.NilError(t, err)
	assert.Assert(t, left <= 800, "%d ms", left)
}

// A request whose time passes while the machine is suspended ends on the wake.
func TestRequestTimesOutOnResume(t *testing.T) {
	w := newTestGateway(t)
	go clock.Watch(t.Context(), nil)
	w.configure(1)
	w.startEndpoint("a", "plain", func(_ http.ResponseWriter, r *http.Request) {
		clock.SuspendForTest(t, 3*time.Second)
		<-r.Context().Done()
	})
	began := time.Now()
	r, _ := w.do("POST", "/unsafe/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < time.Second, "%s", time.Since(began))
}

// A version comes due while the machine is suspended: an engine with an older
// one gets nothing after the wake.
func TestVersionCutoffWhileSuspended(t *testing.T) {
	w := newTestGateway(t)
	w.configure(1)
	w.startEndpoint("a", "engine", respondEvents(3, 3))
	w.server.NameVersion(testModel, 2, false, clock.Now())
	r, _ := w.do("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusOK)
	clock.SuspendForTest(t, w.server.settings.VersionDeadline)
	r, _ = w.do("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(w.requests()), 1)
}

// A report from before a suspension says nothing of an engine's load or version.
func TestReportsExpireWhileSuspended(t *testing.T) {
	w := newTestGateway(t)
	w.configure(1)
	w.startEndpoint("a", "engine", respondEvents(3, 3))
	w.server.Heard(fleet.Report{Address: w.records["a"].Address, Model: testModel, Version: 1, Busy: true}, -1)
	r, _ := w.do("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable, "it takes nothing")
	clock.SuspendForTest(t, 5*time.Second)
	r, _ = w.do("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusOK)
}
