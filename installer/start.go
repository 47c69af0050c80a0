// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintlift/mintlift/internal/clock"
)

// Slots of a rollout: every engine is updated in a slot of its own, so that the
// others serve meanwhile. The first slot is when this box's replica is complete,
// but not before firstSlotShare of the version's deadline; the last is
// lastSlotMargin before the deadline, or lastSlotMarginShare of a short one. The
// drain starts with the slot; after it the engine starts no request on its old
// version.
//
// A box whose replica is complete in time reports that its update is scheduled,
// and gateways keep routing requests for its older version to it until its slot.
// To other engines with an older version they stop routing routingCutoffMargin
// before the deadline, which is 0.7 s earlier than the last slot. The later last
// slot lengthens the rollout, so that fewer engines are out of service at a time.
const (
	firstSlotShare      = 0.3
	lastSlotMargin      = 1200 * time.Millisecond
	lastSlotMarginShare = 0.15
)

// lastSlot returns how long after its naming a version's last slot is.
func lastSlot(deadline time.Duration) time.Duration {
	return deadline - min(lastSlotMargin, time.Duration(lastSlotMarginShare*float64(deadline)))
}

// Timing of an update of the engine.
const (
	// drainTimeout is how long an engine continues without new requests before it
	// is updated. Requests that still run then are aborted, and resumed on other
	// engines where that is possible.
	drainTimeout = 1000 * time.Millisecond
	// earlyDrainTimeout replaces drainTimeout for the engines in the first
	// earlySlotShare of the slots, so that the first engines soon serve the new
	// version and can resume the requests that others abort.
	earlyDrainTimeout = 500 * time.Millisecond
	earlySlotShare    = 0.15
	// drainPropagation is how long it may take until all gateways have received
	// the report of a drain.
	drainPropagation = 200 * time.Millisecond
	// updateTime is the estimated duration of a drain and a load.
	updateTime = drainTimeout + 400*time.Millisecond
	// routingCutoffMargin is how long before a version's deadline gateways stop
	// routing to engines with older versions whose update is not scheduled. It is at
	// most routingCutoffShare of the deadline.
	routingCutoffMargin = 1900 * time.Millisecond
	routingCutoffShare  = 0.25
)

// updateStep is a planned update of the engine.
type updateStep struct {
	params      Params
	replica     *replica
	targetSetAt time.Time // zero if unknown
	startAt     time.Time // when the drain starts
	// drainLimit bounds the drain; 0 means that there is none.
	drainLimit time.Duration
	// engineEmpty is set if the engine has no verified version.
	engineEmpty bool
}

// runUpdates updates the engine to fetched versions until ctx ends.
func (i *Installer) runUpdates(ctx context.Context) {
	for ctx.Err() == nil {
		s, changed := i.nextUpdate(clock.Now())
		i.recordSchedule(s)
		wait := idleInterval
		if s != nil {
			wait = clock.Until(s.startAt)
		}
		if s == nil || wait > 0 {
			due, stop := clock.After(clock.Now().Add(wait))
			select {
			case <-changed:
			case <-due:
			case <-ctx.Done():
			}
			stop()
			continue
		}
		i.execute(ctx, s)
	}
}

// nextUpdate returns the next update of the engine, or nil if there is none, and
// a channel that is closed when the state changes.
func (i *Installer) nextUpdate(now time.Time) (*updateStep, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params.Chunks == 0 || i.engineStateAt.IsZero() || i.engineState.Busy {
		return nil, i.changed
	}
	position := i.slotPositionLocked()
	targets := i.targets
	if len(targets) == 0 {
		targets = []target{i.newestTarget()}
	}
	for at, t := range targets {
		r := i.replicaLocked(t.version)
		if t.version <= i.verifiedVersion() || t.version == i.engineState.Version || r == nil || !r.complete() {
			continue
		}
		if at+1 < len(targets) && i.canSkip(t, targets[at+1], position, now) {
			continue
		}
		return i.planUpdate(t, r, position, now), i.changed
	}
	if r := i.otherReplica(); r != nil && i.unverified() {
		return i.planUpdate(target{version: r.manifest.Version}, r, position, now), i.changed
	}
	return nil, i.changed
}

// planUpdate plans the update of the engine to t, whose replica r is complete.
// Installer.mu is held.
func (i *Installer) planUpdate(t target, r *replica, position float64, now time.Time) *updateStep {
	s := &updateStep{params: i.params, replica: r, targetSetAt: t.setAt, startAt: now, drainLimit: drainTimeout, engineEmpty: i.verifiedVersion() == 0}
	if position < earlySlotShare {
		s.drainLimit = earlyDrainTimeout
	}
	pending := i.oldestPending()
	if cutoff := i.routingCutoff(pending); !cutoff.IsZero() && !now.Before(cutoff) && !r.completedAt.Before(cutoff) {
		s.drainLimit = 0 // no update was scheduled, so gateways have stopped routing to this engine
		return s
	}
	if !s.engineEmpty && !pending.setAt.IsZero() {
		s.startAt = i.slotTime(r, pending.setAt, position)
	}
	return s
}

// oldestPending returns the oldest named version that is newer than the engine's
// verified version: its deadline is the first that the engine must meet. Without
// one it returns the newest. Installer.mu is held.
func (i *Installer) oldestPending() target {
	for _, t := range i.targets {
		if t.version > i.verifiedVersion() {
			return t
		}
	}
	return i.newestTarget()
}

// routingCutoff returns when gateways stop routing to engines with versions older
// than t whose update is not scheduled, or zero if the age of t is unknown.
// Installer.mu is held.
func (i *Installer) routingCutoff(t target) time.Time {
	if t.setAt.IsZero() {
		return time.Time{}
	}
	d := i.params.Deadline
	return t.setAt.Add(d - min(routingCutoffMargin, time.Duration(routingCutoffShare*float64(d))))
}

// slotPositionLocked returns this engine's position among all slots, in [0, 1).
// It is 0 for a box that is not listed. Installer.mu is held.
func (i *Installer) slotPositionLocked() float64 {
	order := slices.Clone(i.peerList)
	slices.SortFunc(order, func(a, b Peer) int { return cmp.Compare(xxhash.Sum64String(a.Box), xxhash.Sum64String(b.Box)) })
	at := slices.IndexFunc(order, func(p Peer) bool { return p.Box == i.settings.Box })
	if at < 0 {
		return 0
	}
	return float64(at) / float64(len(order))
}

// slotTime returns when the engine's update to the version of r starts; setAt is
// when the version was named whose deadline must be met. Installer.mu is held.
func (i *Installer) slotTime(r *replica, setAt time.Time, position float64) time.Time {
	first := setAt.Add(time.Duration(firstSlotShare * float64(i.params.Deadline)))
	last := setAt.Add(lastSlot(i.params.Deadline))
	if r.completedAt.After(first) {
		first = r.completedAt
	}
	if last.Before(first) {
		return first
	}
	return first.Add(time.Duration(position * float64(last.Sub(first))))
}

// canSkip reports whether the engine need not be updated to t because it will
// serve next, the version named after t, before t's routing cutoff.
// Installer.mu is held.
func (i *Installer) canSkip(t, next target, position float64, now time.Time) bool {
	if r := i.replicaLocked(next.version); r != nil && r.complete() {
		return true
	}
	if !i.progressing(next, now) {
		return false
	}
	if t.setAt.IsZero() || next.setAt.IsZero() {
		return true
	}
	first := time.Duration(firstSlotShare * float64(i.params.Deadline))
	expected := next.setAt.Add(first + time.Duration(position*float64(lastSlot(i.params.Deadline)-first)))
	return expected.Add(updateTime).Before(i.routingCutoff(t))
}

// Expected progress of a fetch.
const (
	// firstChunksGrace is how long after its naming a version's first chunks may
	// take to arrive.
	firstChunksGrace = 800 * time.Millisecond
	// fetchTimeFactor is the expected duration of a fetch, in multiples of the time
	// that the box's link needs for the model.
	fetchTimeFactor = 2
)

// progressing reports whether the fetch of a version is at least as fast as
// expected. It is not while the origin is unavailable. If the version's age or the
// link's rate is unknown, it counts as progressing. Installer.mu is held.
func (i *Installer) progressing(t target, now time.Time) bool {
	if t.setAt.IsZero() || i.settings.LinkRate <= 0 {
		return true
	}
	elapsed := now.Sub(t.setAt) - firstChunksGrace
	if elapsed < 0 {
		return true
	}
	r := i.replicaLocked(t.version)
	if r == nil {
		return false
	}
	expected := fetchTimeFactor * float64(i.params.Chunks) * float64(i.params.ChunkBytes) / i.settings.LinkRate
	return float64(r.reachable()) >= float64(len(r.chunks))*elapsed.Seconds()/expected
}

// execute drains the engine and loads the version of s.
func (i *Installer) execute(ctx context.Context, s *updateStep) {
	if !s.engineEmpty && s.drainLimit > 0 {
		i.drain(ctx, s.drainLimit)
		defer i.setDraining(false)
	}
	if !i.load(ctx, s) {
		clock.Sleep(ctx, retryDelay)
	}
}

// recordSchedule records whether s is an update that gateways must know of in
// advance: one of an engine that serves a version and is drained first. s may be
// nil.
func (i *Installer) recordSchedule(s *updateStep) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.updateScheduled = s != nil && !s.engineEmpty && s.drainLimit > 0
}

// UpdateScheduled reports whether the engine has a slot in which it will be
// drained and updated, and the drain has not started.
func (i *Installer) UpdateScheduled() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.updateScheduled && !i.draining
}

// Draining reports whether the engine should get no new requests because it is
// about to be updated.
func (i *Installer) Draining() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.draining
}

func (i *Installer) setDraining(draining bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.draining = draining
}

// drain waits without new requests until the engine has none left or limit has
// passed. The caller ends the drain with setDraining.
func (i *Installer) drain(ctx context.Context, limit time.Duration) {
	i.setDraining(true)
	state, _ := i.State()
	i.log.Info("drain started", "running", state.Running, "queued", state.Queued, "version", state.Version)
	const pollInterval = 50 * time.Millisecond
	began := clock.Now()
	for ctx.Err() == nil && clock.Since(began) < limit {
		state, _ = i.State()
		if state.Running+state.Queued == 0 && clock.Since(began) > drainPropagation {
			return
		}
		clock.Sleep(ctx, pollInterval)
	}
}
