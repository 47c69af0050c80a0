// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/engine"
)

// epoch is an arbitrary time at which the tests start.
var epoch = time.Unix(1000, 0)

// TestOlderFenceRejected guards against sending the engine an outdated order: one with a
// lower fence than an earlier order, or than the highest that the engine has received.
func TestOlderFenceRejected(t *testing.T) {
	var f fencing
	f.applyClaim(engine.Claim{Epoch: 3, Fence: 10})
	assert.Assert(t, errors.Is(f.check(9, epoch, epoch), errStaleFence), "a new sidecar must respect the fence that the engine reports")
	assert.NilError(t, f.check(12, epoch, epoch))
	assert.Assert(t, errors.Is(f.check(11, epoch, epoch), errStaleFence), "an order with a lower fence than the one before")
	assert.NilError(t, f.check(12, epoch, epoch))
}

// TestNoOrderAfterPauseWithoutContact guards against orders of a process that was paused
// and has not contacted the event log since.
func TestNoOrderAfterPauseWithoutContact(t *testing.T) {
	var f fencing
	f.recordTick(epoch)
	assert.NilError(t, f.check(1, epoch, epoch))
	resumed := epoch.Add(time.Minute)
	assert.Assert(t, errors.Is(f.check(1, epoch, resumed), errPaused), "no order after a pause without contact since")
	assert.Assert(t, errors.Is(f.check(1, epoch, resumed.Add(time.Millisecond)), errPaused))
	contact := resumed.Add(10 * time.Millisecond)
	assert.NilError(t, f.check(1, contact, contact))
}
