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
func TestDeadlineCountsASuspension(t *testing.T) {
	w := newWorld(t)
	w.configure(1)
	first := true
	h := func(rw http.ResponseWriter, r *http.Request) {
		if first {
			first = false
			clock.SuspendForTest(t, 1200*time.Millisecond)
			breaks(rw, r)
		}
		ok("body")(rw, r)
	}
	w.endpoint("a", "plain", h)
	w.endpoint("b", "plain", h)
	r, _ := w.get("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusOK)
	left, err := strconv.Atoi(w.requests()[1].header.Get(names.Deadline))
	assert.NilError(t, err)
	assert.Assert(t, left <= 800, "%d ms", left)
}

// A request whose time passes while the machine is suspended ends on the wake.
func TestRequestEndsOnTheWake(t *testing.T) {
	w := newWorld(t)
	go clock.Watch(t.Context(), nil)
	w.configure(1)
	w.endpoint("a", "plain", func(_ http.ResponseWriter, r *http.Request) {
		clock.SuspendForTest(t, 3*time.Second)
		<-r.Context().Done()
	})
	began := time.Now()
	r, _ := w.get("POST", "/unsafe/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < time.Second, "%s", time.Since(began))
}

// A version comes due while the machine is suspended: an engine with an older
// one gets nothing after the wake.
func TestVersionComesDueWhileSuspended(t *testing.T) {
	w := newWorld(t)
	w.configure(1)
	w.endpoint("a", "engine", events(3, 3))
	w.server.NameVersion(model, 2, false, clock.Now())
	r, _ := w.get("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusOK)
	clock.SuspendForTest(t, w.server.settings.VersionDeadline)
	r, _ = w.get("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(w.requests()), 1)
}

// A report from before a suspension says nothing of an engine's load or version.
func TestReportsAgeWhileSuspended(t *testing.T) {
	w := newWorld(t)
	w.configure(1)
	w.endpoint("a", "engine", events(3, 3))
	w.server.Heard(fleet.Report{Address: w.records["a"].Address, Model: model, Version: 1, Busy: true}, -1)
	r, _ := w.get("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable, "it takes nothing")
	clock.SuspendForTest(t, 5*time.Second)
	r, _ = w.get("POST", "/stream/1", "x")
	assert.Equal(t, r.StatusCode, http.StatusOK)
}
