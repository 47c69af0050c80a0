// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// start is the time at which tests and simulations of this package begin.
var start = time.Now()

// at returns the time s seconds after start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// kinds returns the kinds of changes, in the same order.
func kinds(changes []Change) (out []Kind) {
	for _, c := range changes {
		out = append(out, c.Kind)
	}
	return out
}

// Observe must return a change only for the first response that contains it.
func TestChangesAreReportedOnce(t *testing.T) {
	s := NewTable().State("e", 1)
	assert.DeepEqual(t, kinds(s.Observe(Signal{Limit: Limited(2)}, at(0), at(0.1))), []Kind{LimitSet})
	assert.DeepEqual(t, kinds(s.Observe(Signal{Limit: Limited(2)}, at(0), at(0.2))), []Kind(nil))
	assert.DeepEqual(t, kinds(s.Observe(Signal{Draining: true, Limit: Limited(2)}, at(0.3), at(0.4))), []Kind{DrainingStarted})
	assert.DeepEqual(t, kinds(s.Observe(Signal{Draining: true, Backoff: 3 * time.Second}, at(0.5), at(0.6))), []Kind{BackoffRequested, LimitEnded})
	assert.DeepEqual(t, kinds(s.Observe(Signal{Backoff: 3 * time.Second}, at(0.6), at(0.7))), []Kind(nil))
	invalid := Signal{Limit: Limit{Unchanged: true}, Invalid: []string{"A: x"}}
	assert.DeepEqual(t, kinds(s.Observe(invalid, at(0.8), at(0.9))), []Kind{ValueInvalid})
	assert.DeepEqual(t, kinds(s.Observe(invalid, at(0.8), at(0.9))), []Kind(nil))
}

// A response to a request that was sent before the limit was received must neither
// raise nor end the limit.
func TestOvertakenResponsesDoNotLoosenALimit(t *testing.T) {
	s := NewTable().State("e", 1)
	s.Observe(Signal{Limit: Limited(2)}, at(1), at(1.1))
	for _, old := range []Signal{{}, {Limit: Limited(5)}} {
		s.Observe(old, at(0.9), at(1.2))
		assert.Equal(t, s.limit, Limited(2))
	}
	s.Observe(Signal{Limit: Limited(1)}, at(0.9), at(1.3))
	assert.Equal(t, s.limit, Limited(1), "a tighter limit applies at once")
	s.Observe(Signal{Limit: Limited(5)}, at(1.4), at(1.5))
	assert.Equal(t, s.limit, Limited(5))
	s.Observe(Signal{}, at(1.6), at(1.7))
	assert.Equal(t, s.limit, Limit{})
}

// A restarted endpoint must not inherit the signals of its earlier incarnation. If only
// the start time was unknown (0) and becomes known, the signals must be kept.
func TestNewIncarnationHasNoSignals(t *testing.T) {
	table := NewTable()
	s := table.State("e", 0)
	s.Observe(Signal{Draining: true}, at(0), at(0))
	assert.Assert(t, table.State("e", 7).draining) // the start time becomes known
	assert.Assert(t, table.State("e", 7).draining)
	assert.Assert(t, table.State("e", 0).draining, "an entry without start time")
	assert.Assert(t, !table.State("e", 8).draining) // a new incarnation
}

// A backoff is never shortened, and is bounded.
func TestBackoffIsNotShortened(t *testing.T) {
	s := NewTable().State("e", 1)
	s.Observe(Signal{Backoff: 3 * time.Second}, at(0), at(0))
	s.Observe(Signal{Backoff: time.Second}, at(0), at(0.1))
	s.Observe(Signal{}, at(0), at(0.2))
	assert.Assert(t, s.backoffUntil.Equal(at(3)))
	s.Observe(Signal{Backoff: 1e9 * time.Second}, at(0), at(1))
	assert.Assert(t, s.backoffUntil.Equal(at(1).Add(maxBackoff)))
}

// After a backoff only one request is sent. Others must wait until the endpoint has
// accepted it or probeInterval has passed.
func TestOneRequestProbesAfterABackoff(t *testing.T) {
	s := NewTable().State("e", 1)
	s.Observe(Signal{Backoff: 3 * time.Second}, at(0), at(0))
	assert.Assert(t, s.Closed(at(2.9)) && s.BackingOff(at(2.9)))
	assert.Assert(t, !s.Closed(at(3)))
	s.Take(at(3))
	assert.Assert(t, s.Closed(at(3.1)) && !s.BackingOff(at(3.1)))
	s.Observe(Signal{}, at(0), at(3.1))
	assert.Assert(t, s.Closed(at(3.2)), "a response to a request from before the backoff")
	assert.Assert(t, !s.Closed(at(4)), "without a response the probe is repeated")
	s.Observe(Signal{}, at(3), at(4))
	s.Take(at(4.1))
	assert.Assert(t, !s.Closed(at(4.1)))
}

// The number of states of unlisted endpoints is bounded, and the latest and listed ones
// are kept.
func TestUnlistedStatesAreBounded(t *testing.T) {
	table := NewTable()
	const endpoints = 10000
	for n := range endpoints {
		table.State(fmt.Sprint("e", n), 1).Observe(Signal{Draining: true}, at(float64(n)/100), at(float64(n)/100))
	}
	unlisted := func(string) bool { return false }
	table.Evict(unlisted, at(endpoints/100))
	assert.Equal(t, len(table.states), maxUnlisted)
	assert.Assert(t, table.State(fmt.Sprint("e", endpoints-1), 1).draining, "the latest signal is kept")
	table.Evict(func(id string) bool { return id == "e9000" }, at(endpoints/100).Add(unlistedTTL+time.Second))
	assert.Equal(t, len(table.states), 1)
	assert.Assert(t, table.State("e9000", 1).draining, "a listed endpoint is kept")
}

// NoSignals must be false while any signal is in force.
func TestNoSignals(t *testing.T) {
	listed := func(string) bool { return true }
	for _, signal := range []Signal{{Draining: true}, {Backoff: time.Second}, {Limit: Limited(2)}} {
		table := NewTable()
		s := table.State("e", 1)
		assert.Assert(t, table.NoSignals())
		s.Observe(signal, at(0), at(0))
		assert.Assert(t, !table.NoSignals())
		table.Evict(listed, at(2))
		assert.Assert(t, !table.NoSignals(), "%+v applies", signal)
		s.Observe(Signal{}, at(3), at(3))
		table.Evict(listed, at(4))
		assert.Equal(t, table.NoSignals(), !signal.Draining, "%+v", signal)
	}
}

// A record with an older limit, or from an earlier incarnation, must change nothing.
func TestMergeIgnoresOlderRecords(t *testing.T) {
	local, remote := NewTable(), NewTable()
	remote.State("e", 5).Observe(Signal{Limit: Limited(2)}, at(0), at(1))
	r := remote.State("e", 5).record(at(2))
	assert.DeepEqual(t, kinds(local.Merge(r, at(2.01))), []Kind{LimitSet})
	local.State("e", 5).Observe(Signal{}, at(3), at(3.1))
	assert.DeepEqual(t, kinds(local.Merge(remote.State("e", 5).record(at(4)), at(4.01))), []Kind(nil)) // older than the end of the limit
	assert.Equal(t, local.State("e", 5).limit, Limit{})
	r.StartedMS = 4
	assert.DeepEqual(t, kinds(local.Merge(r, at(5))), []Kind(nil)) // an earlier incarnation
	assert.Equal(t, local.State("e", 5).limit, Limit{})
}
