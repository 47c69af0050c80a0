// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// A sound endpoint may be silent for a while. So an attempt that is silent is not canceled:
// a standby, which is a further attempt at another endpoint, is begun beside it. The
// first of the two that delivers continues, and the other one is canceled. If no standby
// can be made, or it fails, the silent attempt goes on.

// standby is an attempt that is made beside a silent one.
type standby struct {
	watch  *watch // of the silent attempt
	ctx    context.Context
	cancel context.CancelCauseFunc
	// acquired is closed when attempt has been set, and done when opening has been set.
	acquired, done chan struct{}
	attempt        *attempt // nil if no endpoint was found
	opening        opening

	// watch.mu guards the fields below.
	won      bool // has delivered first
	canceled bool // the silent attempt has delivered first
	adopted  bool // the silent attempt has ended, and the exchange waits for the standby
	finished bool // has ended without delivering
}

// newStandby returns a standby for the attempt of a watch. The caller must call start.
func newStandby(w *watch) *standby {
	ctx, cancel := context.WithCancelCause(w.parent)
	return &standby{watch: w, ctx: ctx, cancel: cancel, acquired: make(chan struct{}), done: make(chan struct{})}
}

// start waits for an endpoint and makes the attempt until it delivers.
func (s *standby) start() {
	defer close(s.done)
	none := s.acquire()
	close(s.acquired)
	if none != "" {
		s.finish(none)
		return
	}
	s.opening = s.watch.protocol.open(s.attempt)
	if s.opening.verdict != verdictOK || !s.deliver() {
		s.finish(standbyFailed)
	}
}

// acquire waits for an endpoint and charges the retry budget. It returns why the standby has
// no attempt, or "".
func (s *standby) acquire() string {
	x := s.watch.exchange
	a := x.nextAttempt(s.ctx)
	if a == nil {
		return standbyNoPlace
	}
	if s.ctx.Err() == nil && x.takeRetry(clock.Now()) {
		s.attempt = a
		return ""
	}
	a.finish(fleet.Abandoned)
	a.cancel(nil)
	x.attempts--
	delete(x.tried, a.endpoint.ID)
	return standbyNoBudget
}

// silent reports whether the standby has been silent for so long that another one should
// take its place.
func (s *standby) silent(now time.Time) bool {
	select {
	case <-s.acquired:
	default:
		return false // waits for an endpoint
	}
	return s.attempt != nil && (s.attempt.unreachable(now) || now.Sub(s.attempt.sentAt) >= firstEventTimeout)
}

// continued returns the attempt of a standby that continues, or nil if s is nil or has found
// no endpoint.
func (s *standby) continued() *attempt {
	if s == nil {
		return nil
	}
	return s.attempt
}

// deliver makes the standby the exchange's attempt and cancels the silent one, unless that
// has delivered. It returns false if the standby has not delivered anything to prefer.
func (s *standby) deliver() bool {
	w := s.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.canceled || s.opening.ended && !s.adopted {
		s.opening.abandon(s.attempt)
		return s.canceled
	}
	s.won = true
	w.attempt.cancel(errStalled)
	w.exchange.countStandby(standbyWon)
	return true
}

// finish records that the standby has ended without delivering, so that the silent attempt
// remains.
func (s *standby) finish(result string) {
	w := s.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.canceled {
		return
	}
	w.exchange.countStandby(result)
	if s.adopted {
		return
	}
	s.finished = true
	s.cancel(nil)
	s.collect()
}

// collect applies the result of a standby that is not adopted to the exchange.
func (s *standby) collect() {
	x := s.watch.exchange
	if s.opening.unsent {
		x.refundRetry()
	}
	if s.attempt != nil {
		x.collect(s.attempt, s.opening.result)
	}
}

// errNotNeeded is the cause with which a standby is canceled when the silent attempt has
// delivered.
const errNotNeeded = errors.ConstError("the silent endpoint has responded")

// Results of a standby, as counted.
const (
	standbyWon       = "won"        // delivered before the silent attempt
	standbyNotNeeded = "not_needed" // the silent attempt delivered first
	standbyFailed    = "failed"     // was refused, or got no valid response
	standbyNoPlace   = "no_place"   // no endpoint had room
	standbyNoBudget  = "no_budget"  // the retry budget was used up
)

// countStandby counts the result of a standby.
func (x *exchange) countStandby(result string) {
	x.server.metrics.Counter("mintlift_ingress_standby_attempts_total", "service", x.service, "result", result).Inc()
}
