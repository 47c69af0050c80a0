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

// Turns of a rollout: not all engines change at once, so that the others serve
// meanwhile. The first turn is when this box's copy is whole, but not before
// firstTurn, a share of the version's deadline; the last is turnMargin, or
// turnMarginShare of a short deadline, before it. A drain begins there, after
// which the engine starts no request on its old version.
//
// A box whose copy is whole in time promises in its reports that it will take
// its turn, and gateways go on with its older version until then. Other engines
// with an older version they leave dueMargin before the deadline, which is
// 0.7 s sooner: so much longer is a rollout in which fewer engines are out at a
// time.
const (
	firstTurn       = 0.3
	turnMargin      = 1200 * time.Millisecond
	turnMarginShare = 0.15
)

// lastTurn is how long after its naming a version's last turn is.
func lastTurn(deadline time.Duration) time.Duration {
	return deadline - min(turnMargin, time.Duration(turnMarginShare*float64(deadline)))
}

// Times of a change of version.
const (
	// drainTime is how long an engine works on without new requests before
	// it takes another version. What runs longer is broken off, and goes on
	// elsewhere where it may.
	drainTime = 1000 * time.Millisecond
	// firstDrain is that of the first of a rollout, in firstPart of the
	// turns: the sooner some serve the version, the sooner others have
	// somewhere to go on.
	firstDrain = 500 * time.Millisecond
	firstPart  = 0.15
	// drainTold is how long it may take until all gateways know of a drain.
	drainTold = 200 * time.Millisecond
	// changeTime is a drain with the taking of the version.
	changeTime = drainTime + 400*time.Millisecond
	// dueMargin is how long before a version's deadline gateways send nothing
	// more to engines with older ones that promise no turn, and dueShare its
	// largest part of the deadline.
	dueMargin = 1900 * time.Millisecond
	dueShare  = 0.25
)

// step is a start that can be made.
type step struct {
	params Params
	copy   *replica
	named  time.Time
	at     time.Time
	drain  time.Duration
	// empty says that the engine holds nothing whole that is vouched for.
	empty bool
}

// starts brings the engine to what has been fetched until ctx ends.
func (i *Installer) starts(ctx context.Context) {
	for ctx.Err() == nil {
		s, change := i.nextStart(clock.Now())
		i.promise(s)
		wait := keepEvery
		if s != nil {
			wait = clock.Until(s.at)
		}
		if s == nil || wait > 0 {
			due, stop := clock.After(clock.Now().Add(wait))
			select {
			case <-change:
			case <-due:
			case <-ctx.Done():
			}
			stop()
			continue
		}
		i.carryOut(ctx, s)
	}
}

// nextStart chooses the version to start next, and when.
func (i *Installer) nextStart(now time.Time) (*step, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params.Chunks == 0 || i.heard.IsZero() || i.state.Busy {
		return nil, i.change
	}
	share := i.shareLocked()
	targets := i.targets
	if len(targets) == 0 {
		targets = []target{i.newest()}
	}
	for at, t := range targets {
		r := i.copyOf(t.version)
		if t.version <= i.holds() || t.version == i.state.Version || r == nil || !r.whole() {
			continue
		}
		if at+1 < len(targets) && i.skips(t, targets[at+1], share, now) {
			continue
		}
		return i.stepTo(t, r, share, now), i.change
	}
	if r := i.other(); r != nil && i.doubted() {
		return i.stepTo(target{version: r.manifest.Version}, r, share, now), i.change
	}
	return nil, i.change
}

// stepTo plans the change of the engine to t, whose copy r is whole.
// Installer.mu is held.
func (i *Installer) stepTo(t target, r *replica, share float64, now time.Time) *step {
	s := &step{params: i.params, copy: r, named: t.named, at: now, drain: drainTime, empty: i.holds() == 0}
	if share < firstPart {
		s.drain = firstDrain
	}
	overdue := i.overdue()
	if due := i.due(overdue); !due.IsZero() && !now.Before(due) && !r.wholeAt.Before(due) {
		s.drain = 0 // no turn was promised, and gateways have sent nothing since
		return s
	}
	if !s.empty && !overdue.named.IsZero() {
		s.at = i.turnOf(r, overdue.named, share)
	}
	return s
}

// overdue is the oldest named version that is newer than the engine's: its
// deadline is the first that the engine must meet. Installer.mu is held.
func (i *Installer) overdue() target {
	for _, t := range i.targets {
		if t.version > i.holds() {
			return t
		}
	}
	return i.newest()
}

// due is when gateways leave engines with versions older than t; zero if that
// is not known.
func (i *Installer) due(t target) time.Time {
	if t.named.IsZero() {
		return time.Time{}
	}
	d := i.params.Deadline
	return t.named.Add(d - min(dueMargin, time.Duration(dueShare*float64(d))))
}

// shareLocked is this engine's place among all, in [0, 1).
func (i *Installer) shareLocked() float64 {
	order := slices.Clone(i.known)
	slices.SortFunc(order, func(a, b Peer) int { return cmp.Compare(xxhash.Sum64String(a.Box), xxhash.Sum64String(b.Box)) })
	at := slices.IndexFunc(order, func(p Peer) bool { return p.Box == i.settings.Box })
	if at < 0 {
		return 0
	}
	return float64(at) / float64(len(order))
}

// turnOf is when this engine begins to change to the copy r, for a deadline
// that began at named.
func (i *Installer) turnOf(r *replica, named time.Time, share float64) time.Time {
	first := named.Add(time.Duration(firstTurn * float64(i.params.Deadline)))
	last := named.Add(lastTurn(i.params.Deadline))
	if r.wholeAt.After(first) {
		first = r.wholeAt
	}
	if last.Before(first) {
		return first
	}
	return first.Add(time.Duration(share * float64(last.Sub(first))))
}

// skips reports whether a version need not be started because the next one
// will be served before its deadline.
func (i *Installer) skips(t, next target, share float64, now time.Time) bool {
	if r := i.copyOf(next.version); r != nil && r.whole() {
		return true
	}
	if !i.comesAlong(next, now) {
		return false
	}
	if t.named.IsZero() || next.named.IsZero() {
		return true
	}
	first := time.Duration(firstTurn * float64(i.params.Deadline))
	expected := next.named.Add(first + time.Duration(share*float64(lastTurn(i.params.Deadline)-first)))
	return expected.Add(changeTime).Before(i.due(t))
}

// Pace at which a copy is taken to come along.
const (
	// slowStart is how long it may take until the first chunks come.
	slowStart = 800 * time.Millisecond
	// usualCopies is how many times the time of a copy over the box's own
	// link a copy may take.
	usualCopies = 2
)

// comesAlong reports whether a version's chunks come at the pace at which
// they usually do. They don't while the origin is away.
func (i *Installer) comesAlong(t target, now time.Time) bool {
	if t.named.IsZero() || i.settings.LinkRate <= 0 {
		return true
	}
	late := now.Sub(t.named) - slowStart
	if late < 0 {
		return true
	}
	r := i.copyOf(t.version)
	if r == nil {
		return false
	}
	whole := usualCopies * float64(i.params.Chunks) * float64(i.params.ChunkBytes) / i.settings.LinkRate
	return float64(r.reachable()) >= float64(len(r.chunks))*late.Seconds()/whole
}

// carryOut brings the engine to the version of s.
func (i *Installer) carryOut(ctx context.Context, s *step) {
	if !s.empty && s.drain > 0 {
		i.drain(ctx, s.drain)
		defer i.setLeaving(false)
	}
	if !i.load(ctx, s) {
		clock.Sleep(ctx, retryPause)
	}
}

// promise notes that s will be carried out in its turn, or that nothing is
// promised.
func (i *Installer) promise(s *step) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.promised = s != nil && !s.empty && s.drain > 0
}

// Promised reports whether the engine will be drained, and brought to a newer
// version, in time for that version's deadline.
func (i *Installer) Promised() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.promised && !i.leaving
}

// Leaving reports whether nothing new should be sent to the engine, because
// it is about to take another version.
func (i *Installer) Leaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving
}

func (i *Installer) setLeaving(leaving bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = leaving
}

// drain keeps new requests away until the engine is empty or limit has
// passed.
func (i *Installer) drain(ctx context.Context, limit time.Duration) {
	i.setLeaving(true)
	state, _ := i.State()
	i.log.Info("drain begun", "running", state.Running, "queued", state.Queued, "version", state.Version)
	const look = 50 * time.Millisecond
	began := clock.Now()
	for ctx.Err() == nil && clock.Since(began) < limit {
		state, _ = i.State()
		if state.Running+state.Queued == 0 && clock.Since(began) > drainTold {
			return
		}
		clock.Sleep(ctx, look)
	}
}
