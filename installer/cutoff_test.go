// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a planner that takes an older version for refused while gateways still
// send to it, so that it would load without a drain, and against a load that starts after
// the deadline because its drain began late.
func TestUpdateNearLateCutoff(t *testing.T) {
	const margin = 800 * time.Millisecond
	for _, test := range []struct {
		name   string
		margin time.Duration
		before time.Duration // from when the replica is complete until the deadline
		drain  time.Duration
	}{
		{"usual cutoff, passed", 0, routingCutoffMargin - time.Millisecond, 0},
		{"usual cutoff, not passed", 0, routingCutoffMargin + time.Millisecond, drainTimeout},
		{"late cutoff, before the last slot", margin, lastSlotMargin + 100*time.Millisecond, drainTimeout},
		{"late cutoff, after the last slot", margin, margin + 100*time.Millisecond, margin + 100*time.Millisecond - (lastSlotMargin - drainTimeout)},
		{"late cutoff, passed", margin, margin - time.Millisecond, 0},
	} {
		now := time.Now()
		deadline := now.Add(test.before)
		i := newLoadedInstaller([]target{{version: 2, setAt: deadline.Add(-testDeadline)}}, 2)
		i.params.CutoffMargin = test.margin
		i.replicas[0].completedAt = now
		i.peerList = []Peer{{Box: "a"}, {Box: "b"}, {Box: i.settings.Box}}
		s, _ := i.nextUpdate(now)
		if position := i.slotPositionLocked(); position < earlySlotShare {
			test.drain = min(test.drain, earlyDrainTimeout)
		}
		assert.Equal(t, s.drainLimit, test.drain, test.name)
		assert.Assert(t, s.startAt.Add(s.drainLimit).Before(deadline), "%s: the load must start before the deadline", test.name)
	}
}

// Guards against a margin that makes the routing cutoff earlier than the usual one.
func TestRoutingCutoffMargin(t *testing.T) {
	now := time.Now()
	i := newLoadedInstaller([]target{{version: 2, setAt: now}}, 2)
	for margin, want := range map[time.Duration]time.Duration{0: routingCutoffMargin, 770 * time.Millisecond: 770 * time.Millisecond, time.Minute: routingCutoffMargin} {
		i.params.CutoffMargin = margin
		assert.Equal(t, i.routingCutoff(i.targets[0]), now.Add(testDeadline-want))
	}
}
