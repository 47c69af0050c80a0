// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/weights"
)

// Errors of orders.
const (
	// errFence says that an order is older than what is known.
	errStaleFence = errors.ConstError("order carries an older fence than the highest known")
	// errReplaced says that another incarnation has taken this box over.
	errReplaced = errors.ConstError("another sidecar has taken this box over")
	// errPaused says that this process was paused and has not heard the log
	// since.
	errPaused = errors.ConstError("process was paused and has not heard the log since")
)

// Timing of the watch over the process's own pauses.
const (
	tickInterval  = 100 * time.Millisecond
	pauseThreshold = time.Second
	orderTimeout = time.Minute
)

// fencing is the aggregate that decides whether an order may be given. It
// does no I/O; the zero value knows of nothing.
type fencing struct {
	epoch   int64
	highestFence int64
	lastTick    time.Time // last time that the process was seen to run
	resumedAt    time.Time // end of the last pause, or zero
}

// ran notes that the process runs at now.
func (f *fencing) recordTick(now time.Time) {
	if !f.lastTick.IsZero() && now.Sub(f.lastTick) > pauseThreshold {
		f.resumedAt = now
	}
	f.lastTick = now
}

// claimed takes a claim's answer: the engine's fence is a lower bound.
func (f *fencing) applyClaim(c engine.Claim) {
	f.epoch = c.Epoch
	f.highestFence = max(f.highestFence, c.Fence)
}

// check decides on an order with the given fence. contact is when the log
// was last heard.
func (f *fencing) check(fence int64, contact, now time.Time) error {
	f.recordTick(now)
	if !f.resumedAt.IsZero() && !contact.After(f.resumedAt) {
		return errPaused
	}
	if fence < f.highestFence {
		return errors.WithType(errors.Errorf("fence %d, highest known %d", fence, f.highestFence), errStaleFence)
	}
	f.highestFence = fence
	return nil
}

// orders gives the engine orders, one at a time.
type orders struct {
	mu      sync.Mutex
	fencing fencing
	claimed bool
}

// watchClock notes that the process runs, so that a pause shows.
func (d *Daemon) detectPauses(ctx context.Context) {
	for ctx.Err() == nil {
		d.orders.mu.Lock()
		d.orders.fencing.recordTick(time.Now())
		d.orders.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(tickInterval):
		}
	}
}

// replaced reports whether the log names another incarnation for this box
// after it had named this one, or names one that came later.
func (d *Daemon) replaced() bool {
	gone := false
	d.Replica.View(func(s *state.State) {
		for _, c := range s.Changes {
			for _, h := range c.Removed {
				if h.Box == d.settings.Node.Box && h.Incarnation == d.Incarnation {
					gone = true
				}
			}
			for _, h := range c.Added {
				if h.Box == d.settings.Node.Box && h.Incarnation == d.Incarnation {
					gone = false
				}
			}
		}
	})
	return gone
}

// order gives one order if the plan still wants it. wanted is asked under
// the same view of the state that the fence is taken from.
func (d *Daemon) sendOrder(ctx context.Context, ref weights.Ref, wanted func(*state.State) bool, give func(context.Context, engine.Order) error) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	d.orders.mu.Lock()
	defer d.orders.mu.Unlock()
	if err := d.claimEngine(ctx); err != nil {
		return err
	}
	fence, ok := int64(0), false
	d.Replica.View(func(s *state.State) {
		fence, ok = s.Offset, wanted(s)
	})
	if !ok {
		return errors.WithType(errors.Errorf("%s is not wanted at offset %d", ref, fence), errStaleFence)
	}
	if d.replaced() {
		return errReplaced
	}
	if err := d.orders.fencing.check(fence, d.Replica.Contact(), time.Now()); err != nil {
		return err
	}
	err := give(ctx, engine.Order{Ref: ref, Epoch: d.orders.fencing.epoch, Fence: fence})
	if errors.Is(err, engine.ErrStale) {
		d.orders.claimed = false
		d.Log.Info("orders: engine knows a newer holder or fence", "version", ref.String(), "fence", fence)
	}
	return err
}

// claim takes hold of the engine once, before the first order. A sidecar
// whose claim was overtaken claims again only while the log has not named
// another for its box.
func (d *Daemon) claimEngine(ctx context.Context) error {
	if d.orders.claimed {
		return nil
	}
	if d.replaced() {
		return errReplaced
	}
	c, err := d.engine.Claim(ctx)
	if err != nil {
		return errors.Annotate(err, "claim of the engine")
	}
	d.orders.fencing.applyClaim(c)
	d.orders.claimed = true
	return nil
}
