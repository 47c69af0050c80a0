// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/engine"
)

var epoch = time.Unix(1000, 0)

func TestOlderFenceRejected(t *testing.T) {
	var f fencing
	f.applyClaim(engine.Claim{Epoch: 3, Fence: 10})
	assert.Assert(t, errors.Is(f.check(9, epoch, epoch), errStaleFence), "the engine's own fence binds a sidecar that started empty")
	assert.NilError(t, f.check(12, epoch, epoch))
	assert.Assert(t, errors.Is(f.check(11, epoch, epoch), errStaleFence), "an older order after a newer one")
	assert.NilError(t, f.check(12, epoch, epoch))
}

func TestNoOrderAfterPauseWithoutContact(t *testing.T) {
	var f fencing
	f.recordTick(epoch)
	assert.NilError(t, f.check(1, epoch, epoch))
	woke := epoch.Add(time.Minute)
	assert.Assert(t, errors.Is(f.check(1, epoch, woke), errPaused), "a lease that lapsed in a pause is worth nothing")
	assert.Assert(t, errors.Is(f.check(1, epoch, woke.Add(time.Millisecond)), errPaused))
	heard := woke.Add(10 * time.Millisecond)
	assert.NilError(t, f.check(1, heard, heard))
}
