// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newExpectingInstaller returns an Installer whose engine serves version 1, past the cutoff
// of version 2, of which half of the chunks are missing; version 3 is not past its cutoff.
func newExpectingInstaller(now time.Time) *Installer {
	i := newPartialInstaller(now.Add(-testDeadline), now, testChunks/2, 50*time.Millisecond)
	i.targets = i.targets[:1]
	return i
}

// Guards against an expectation while the engine serves, which would make gateways send
// callers away, and against none after the cutoff.
func TestExpectationBeginsWithTheCutoff(t *testing.T) {
	now := time.Now()
	i := newExpectingInstaller(now)
	cutoff := i.routingCutoff(i.targets[0])
	_, ok := i.ServesIn(cutoff.Add(-time.Millisecond))
	assert.Assert(t, !ok, "before the cutoff")
	in, ok := i.ServesIn(cutoff)
	assert.Assert(t, ok, "from the cutoff on")
	// The engine drains only as long as its version may serve.
	assert.Equal(t, in, testChunks/2*50*time.Millisecond+fetchSpread+loadTime)
	i.updateScheduled = true
	_, ok = i.ServesIn(cutoff)
	assert.Assert(t, !ok, "the engine serves until its slot")
	i.draining = true
	_, ok = i.ServesIn(cutoff)
	assert.Assert(t, ok, "the engine is drained")
	i.draining, i.engineState.Version = false, 2
	_, ok = i.ServesIn(cutoff)
	assert.Assert(t, !ok, "version 2 serves")
}

// Guards against a fetch plan at each report, every 40 ms.
func TestExpectationIsReused(t *testing.T) {
	now := time.Now()
	i := newExpectingInstaller(now)
	first, ok := i.ServesIn(now)
	assert.Assert(t, ok)
	for n := range testChunks {
		i.replicas[0].held.Set(uint(n))
	}
	i.replicas[0].completedAt = now
	second, _ := i.ServesIn(now.Add(99 * time.Millisecond))
	assert.Equal(t, second, first-99*time.Millisecond, "counts down")
	third, _ := i.ServesIn(now.Add(expectationInterval))
	assert.Assert(t, third <= loadTime, "a complete replica: %v", third)
}

// Guards against the expectation of a version that may not serve any more when it is loaded.
func TestExpectationIsOfPermittedVersion(t *testing.T) {
	now := time.Now()
	// The chunks of version 2 take 400 ms; version 3 has none and is past its cutoff.
	i := newPartialInstaller(now.Add(-testDeadline-time.Second), now.Add(-testDeadline), testChunks/2, 50*time.Millisecond)
	in, ok := i.ServesIn(now)
	assert.Assert(t, ok)
	assert.Equal(t, in, testChunks*50*time.Millisecond+fetchSpread+loadTime)
	i.targets, i.expected = i.targets[:1], expectation{}
	in, ok = i.ServesIn(now)
	assert.Assert(t, ok)
	assert.Equal(t, in, testChunks/2*50*time.Millisecond+fetchSpread+loadTime)
}

// Guards against an expectation that jumps while the engine is drained and loaded, or that
// remains after the update.
func TestExpectationDuringUpdate(t *testing.T) {
	now := time.Now()
	i := newLoadedInstaller([]target{{version: 2, setAt: now}}, 2)
	step := &updateStep{replica: i.replicas[0], startAt: now, drainLimit: drainTimeout}
	i.setUpdating(step, now)
	i.draining = true
	in, ok := i.ServesIn(now.Add(600 * time.Millisecond))
	assert.Assert(t, ok)
	assert.Equal(t, in, drainTimeout+loadTime-600*time.Millisecond)
	i.engineState.Busy = true
	in, ok = i.ServesIn(now.Add(time.Minute))
	assert.Assert(t, ok, "overdue")
	assert.Equal(t, in, time.Millisecond)
	i.setUpdating(nil, now)
	i.draining, i.engineState = false, EngineState{Model: testModel, Version: 2}
	_, ok = i.ServesIn(now)
	assert.Assert(t, !ok)
}
