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

// Errors of an order to the engine that was not sent. An order makes the engine load or
// unload a version.
const (
	// errStaleFence means that the order has a lower fence than an earlier order, or
	// that no plan requires it any more.
	errStaleFence = errors.ConstError("order carries an older fence than the highest known")
	// errReplaced means that this incarnation of the sidecar is no longer among the
	// homes in the event log (see state.Home).
	errReplaced = errors.ConstError("another sidecar has taken this box over")
	// errPaused means that this process was paused and has not contacted the
	// event log since.
	errPaused = errors.ConstError("process was paused and has not heard the log since")
)

// Timing of orders to the engine and of the detection of pauses.
const (
	// tickInterval is the time between two calls of fencing.recordTick.
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process is assumed
	// to have been paused meanwhile.
	pauseThreshold = time.Second
	// orderTimeout bounds an order, including the claim of the engine.
	orderTimeout = time.Minute
)

// fencing decides whether an order to the engine may be sent. Its purpose is that a
// sidecar that was paused, or replaced, does not send outdated orders: orders need a
// contact with the event log after the last pause, and fences that do not decrease. It
// does no I/O and is not safe for concurrent use. The zero value is ready for use.
type fencing struct {
	epoch        int64     // epoch of this sidecar's claim of the engine
	highestFence int64     // highest fence of the orders sent and of the claims' results
	lastTick     time.Time // time of the last call of recordTick
	resumedAt    time.Time // end of the last pause; zero if there was none
}

// recordTick records that the process is running at the time now. If the last tick is
// longer ago than pauseThreshold, it records a pause that ends now.
func (f *fencing) recordTick(now time.Time) {
	if !f.lastTick.IsZero() && now.Sub(f.lastTick) > pauseThreshold {
		f.resumedAt = now
	}
	f.lastTick = now
}

// applyClaim records the result of a claim, by which this sidecar takes over the control
// of the engine. Later orders to the engine must not have a lower fence than the claim.
func (f *fencing) applyClaim(claim engine.Claim) {
	f.epoch = claim.Epoch
	f.highestFence = max(f.highestFence, claim.Fence)
}

// check returns an error if an order with the given fence must not be sent: a log offset
// that must not be lower than in earlier orders. Otherwise check stores the fence.
// contact is the time of the last contact with the event log.
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

// orders holds the state of the claim of the engine, by which this sidecar takes control
// of it, and of the orders to load and unload versions. mu is held
// while such an order is sent, so that only one is in flight.
type orders struct {
	mu      sync.Mutex
	fencing fencing
	claimed bool // a claim succeeded, and the engine has rejected no order as stale since
}

// detectPauses records a tick every tickInterval until ctx ends.
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

// replaced reports whether the event log has removed this incarnation of the sidecar,
// without adding it again, from the homes, the processes that store what is known of
// idempotency keys. It returns false if the incarnation was never added.
func (d *Daemon) replaced() bool {
	removed := false
	d.Replica.View(func(s *state.State) {
		for _, c := range s.HomeChanges {
			for _, h := range c.Removed {
				if h.Box == d.settings.Node.Box && h.Incarnation == d.Incarnation {
					removed = true
				}
			}
			for _, h := range c.Added {
				if h.Box == d.settings.Node.Box && h.Incarnation == d.Incarnation {
					removed = false
				}
			}
		}
	})
	return removed
}

// sendOrder makes the engine load or unload the version ref, by calling send with an
// order. It does not call send and returns errStaleFence if wanted returns false for the
// current state. The order's fence is the offset of that state. sendOrder claims the
// engine first if necessary. Further errors are errReplaced, errPaused, and those of the
// claim and of send.
func (d *Daemon) sendOrder(ctx context.Context, ref weights.Ref, wanted func(*state.State) bool, send func(context.Context, engine.Order) error) error {
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
	err := send(ctx, engine.Order{Ref: ref, Epoch: d.orders.fencing.epoch, Fence: fence})
	if errors.Is(err, engine.ErrStale) {
		d.orders.claimed = false
		d.Log.Info("orders: engine rejected order, it has a newer claim or fence", "version", ref.String(), "fence", fence)
	}
	return err
}

// claimEngine claims the engine for this sidecar unless it has claimed it already. The
// engine's response contains the epoch of the claim, which orders must have. claimEngine
// returns errReplaced if this sidecar was replaced. The caller holds orders.mu.
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
