// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintlift/mintlift/fetchplan"
	"github.com/mintlift/mintlift/internal/clock"
)

// A slot is the time in a rollout at which the update of one engine starts with its
// drain. The slots of the engines are spread over the deadline of the version, so
// that only some engines are out of service at a time.
//
// A sidecar whose replica is complete before the routing cutoff reports that its
// update is scheduled. Gateways then keep routing to its engine until the slot. The
// routing cutoff is the time, routingCutoffMargin before the deadline, from which
// gateways do not route to any other engine with an older version. It is later where
// gateways withdraw requests that have not begun; see Params.CutoffMargin. As the slots of
// scheduled updates extend beyond the cutoff, a rollout takes longer and fewer engines
// are out of service at a time.
const (
	// firstSlotShare is the time of the first slot, as a share of the deadline. The
	// first slot is later if the replica is complete only later.
	firstSlotShare = 0.3
	// lastSlotMargin is the duration from the last slot to the deadline. It covers a
	// drain, after which the engine starts no request on its old version. It is at most
	// lastSlotMarginShare of the deadline.
	lastSlotMargin      = 1200 * time.Millisecond
	lastSlotMarginShare = 0.15
)

// lastSlot returns the delay from when the operator sets a target version until the
// last engine's update starts.
func lastSlot(deadline time.Duration) time.Duration {
	return deadline - min(lastSlotMargin, time.Duration(lastSlotMarginShare*float64(deadline)))
}

// Timing of an update of the engine.
const (
	// drainTimeout bounds a drain: the time in which an engine gets no new requests
	// before it is updated. Requests that still run at its end are aborted, and
	// resumed on other engines where that is possible.
	drainTimeout = 1000 * time.Millisecond
	// earlyDrainTimeout replaces drainTimeout for the first earlySlotShare of the
	// slots. These engines soon serve the new version, so that they can resume the
	// requests that later updates abort.
	earlyDrainTimeout = 500 * time.Millisecond
	earlySlotShare    = 0.15
	// drainPropagation is the maximum time until all gateways have received the report
	// of a drain.
	drainPropagation = 200 * time.Millisecond
	// updateTime is the estimated duration of a drain and a load.
	updateTime = drainTimeout + 400*time.Millisecond
	// routingCutoffMargin is the duration from the routing cutoff to the deadline. It is at
	// most routingCutoffShare of the deadline.
	routingCutoffMargin = 1900 * time.Millisecond
	routingCutoffShare  = 0.25
)

// updateStep is a planned update of the engine.
type updateStep struct {
	params      Params
	replica     *replica
	targetSetAt time.Time // when the operator set the target version; zero if unknown
	startAt     time.Time // when the drain starts, or the load if there is no drain
	// drainLimit bounds the drain; 0 means that there is no drain.
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
	if i.params.Chunks == 0 || i.engineStateAt.IsZero() || i.engineState.Busy || i.reloadHeld() {
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
		if i.canSkip(t, targets[at+1:], position, now) {
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
		s.drainLimit = 0 // not reported as scheduled, so gateways have stopped routing to this engine
		return s
	}
	if s.engineEmpty || pending.setAt.IsZero() {
		return s
	}
	late := i.late(r, pending, now)
	if late {
		s.drainLimit = earlyDrainTimeout
	}
	s.startAt = i.slotTime(r, pending, position, late)
	if i.params.CutoffMargin > 0 {
		s.drainLimit = boundDrain(s.drainLimit, later(s.startAt, now), pending.setAt, i.params.Deadline)
	}
	return s
}

// boundDrain returns the limit of a drain that begins at start. A replica may be complete
// after the last slot and before the routing cutoff. Its drain is shorter, so that the
// load begins as long before the deadline as after a drain in the last slot: the load
// also drops requests that a gateway could not withdraw. A drain lasts at least
// drainPropagation.
func boundDrain(limit time.Duration, start, setAt time.Time, deadline time.Duration) time.Duration {
	left := setAt.Add(lastSlot(deadline) + drainTimeout).Sub(start)
	return min(limit, max(left, drainPropagation))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lateMargin is the time before the routing cutoff from which a version that is
// complete only then counts as late.
const lateMargin = time.Second

// late reports whether r was completed less than lateMargin before the routing cutoff
// of pending. All engines are then drained by the cutoff instead of at slots spread until
// the last, since an engine with an older version is of little use from the cutoff on.
// It is false unless two or more versions are in force. Installer.mu is held.
func (i *Installer) late(r *replica, pending target, now time.Time) bool {
	inForce := 0
	for _, t := range i.targets {
		if t.setAt.IsZero() || now.Before(t.setAt.Add(i.params.Deadline)) {
			inForce++
		}
	}
	return inForce > 1 && r.completedAt.After(i.routingCutoff(pending).Add(-lateMargin))
}

// oldestPending returns the oldest target that is newer than the engine's verified
// version, and so has the first deadline that the engine must meet. If there is
// none, it returns the newest target. Installer.mu is held.
func (i *Installer) oldestPending() target {
	for _, t := range i.targets {
		if t.version > i.verifiedVersion() {
			return t
		}
	}
	return i.newestTarget()
}

// routingCutoff returns the time from which gateways do not route to engines with
// versions older than t, unless their update is scheduled. It is zero if it is
// unknown when t was set. Installer.mu is held.
func (i *Installer) routingCutoff(t target) time.Time {
	if t.setAt.IsZero() {
		return time.Time{}
	}
	d := i.params.Deadline
	margin := min(routingCutoffMargin, time.Duration(routingCutoffShare*float64(d)))
	if i.params.CutoffMargin > 0 {
		margin = min(margin, i.params.CutoffMargin)
	}
	return t.setAt.Add(d - margin)
}

// slotPositionLocked returns the position of this engine's slot, the time at which
// its update starts, between the first slot (0) and the last (1, excluded). It is 0 for a box that is not in peerList.
// Installer.mu is held.
func (i *Installer) slotPositionLocked() float64 {
	order := slices.Clone(i.peerList)
	slices.SortFunc(order, func(a, b Peer) int { return cmp.Compare(xxhash.Sum64String(a.Box), xxhash.Sum64String(b.Box)) })
	at := slices.IndexFunc(order, func(p Peer) bool { return p.Box == i.settings.Box })
	if at < 0 {
		return 0
	}
	return float64(at) / float64(len(order))
}

// slotTime returns the engine's slot: when its update to the version of r starts.
// pending is the target whose deadline the engine must meet. position is the result of
// slotPositionLocked. If late is set, the last slot is the last in which an engine
// can be drained before the routing cutoff. Installer.mu is held.
func (i *Installer) slotTime(r *replica, pending target, position float64, late bool) time.Time {
	first := pending.setAt.Add(time.Duration(firstSlotShare * float64(i.params.Deadline)))
	last := pending.setAt.Add(lastSlot(i.params.Deadline))
	if drained := i.routingCutoff(pending).Add(-earlyDrainTimeout); late && drained.Before(last) {
		last = drained
	}
	if r.completedAt.After(first) {
		first = r.completedAt
	}
	if last.Before(first) {
		return first
	}
	return first.Add(time.Duration(position * float64(last.Sub(first))))
}

// canSkip reports whether the engine need not be updated to t, of which newer are the
// newer targets. It need not if a newer version is complete, if t would hardly be served
// before its last use or the next version, or if the next target is expected to be served
// before gateways stop routing to engines with versions older than t. The last does not
// apply to an engine without a verified version, if the plan includes t.
// Installer.mu is held.
func (i *Installer) canSkip(t target, newer []target, position float64, now time.Time) bool {
	if len(newer) == 0 {
		return false
	}
	for _, n := range newer {
		if r := i.replicaLocked(n.version); r != nil && r.complete() {
			return true
		}
	}
	plan := i.refreshPlan(now)
	if slices.Contains(plan.Drop, t.version) {
		return true
	}
	if i.verifiedVersion() == 0 && slices.Contains(plan.Fetch, t.version) {
		return false
	}
	if i.servedInTime(t, newer[0], position, plan, now) {
		return true
	}
	// During an outage the plan counts on the origin's return. The engine must not.
	return !slices.Contains(plan.Fetch, t.version) && i.originDownTime(now) == 0
}

// servedInTime reports whether next, the target after t, is expected to be served
// before the routing cutoff of t, both by the engine's slot and by the fetch.
// Installer.mu is held.
func (i *Installer) servedInTime(t, next target, position float64, plan fetchplan.Plan, now time.Time) bool {
	if !i.progressing(next, now) {
		return false
	}
	if t.setAt.IsZero() || next.setAt.IsZero() {
		return true
	}
	cutoff := i.routingCutoff(t)
	if served, planned := plan.ServedAt(next.version); planned && !served.Before(cutoff) {
		return false
	}
	first := time.Duration(firstSlotShare * float64(i.params.Deadline))
	expected := next.setAt.Add(first + time.Duration(position*float64(lastSlot(i.params.Deadline)-first)))
	return expected.Add(updateTime).Before(cutoff)
}

// Expected progress of a fetch.
const (
	// firstChunksGrace is how long after the operator set a target version its first
	// chunks may arrive without the fetch counting as slow.
	firstChunksGrace = 800 * time.Millisecond
	// fetchTimeFactor is the expected duration of a fetch, in multiples of the time
	// that the box's link needs to receive the model.
	fetchTimeFactor = 2
)

// progressing reports whether the fetch of t is at least as fast as expected, which
// it is not if the origin is unavailable. It returns true if it is unknown when t was
// set or what the link's rate is. Installer.mu is held.
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

// execute carries out the update s: it drains the engine, if s provides for that, and
// loads the version of s.
func (i *Installer) execute(ctx context.Context, s *updateStep) {
	i.setUpdating(s, clock.Now())
	defer func() { i.setUpdating(nil, clock.Now()) }()
	if !s.engineEmpty && s.drainLimit > 0 {
		i.drain(ctx, s.drainLimit)
		defer i.setDraining(false)
	}
	if !i.load(ctx, s) {
		clock.Sleep(ctx, retryDelay)
	}
}

// recordSchedule sets updateScheduled: whether s is an update of an engine that has a
// verified version and is drained first. s is nil if no update is planned.
func (i *Installer) recordSchedule(s *updateStep) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.updateScheduled = s != nil && !s.engineEmpty && s.drainLimit > 0
}

// UpdateScheduled reports whether a time is set at which the engine will be drained
// and updated, and the drain has not started yet.
func (i *Installer) UpdateScheduled() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.updateScheduled && !i.draining
}

// Draining reports whether the engine should get no new requests because it is being
// drained or updated.
func (i *Installer) Draining() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.draining
}

// setDraining sets whether gateways are told to send the engine no new requests.
func (i *Installer) setDraining(draining bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.draining = draining
}

// drain sets the engine draining and waits until it has no requests left, but at least
// until all gateways have received that, or until limit has passed. The caller ends the
// drain with setDraining.
func (i *Installer) drain(ctx context.Context, limit time.Duration) {
	i.setDraining(true)
	state, _ := i.State()
	i.log.Info("drain started", "running", state.Running, "queued", state.Queued, "version", state.Version)
	const pollInterval = 50 * time.Millisecond
	began := clock.Now()
	last := began
	// running is the time without the pauses of this process, in which it sends no reports.
	// notifiedAt is when all gateways had received a report of the drain.
	running, notifiedAt := time.Duration(0), time.Time{}
	for ctx.Err() == nil && (notifiedAt.IsZero() || clock.Since(began) < limit) {
		if state, readAt := i.State(); state.Running+state.Queued == 0 && !notifiedAt.IsZero() && readAt.After(notifiedAt) {
			return
		}
		clock.Sleep(ctx, pollInterval)
		now := clock.Now()
		running += min(now.Sub(last), pollInterval)
		last = now
		if notifiedAt.IsZero() && running >= drainPropagation {
			notifiedAt = now
		}
	}
}
