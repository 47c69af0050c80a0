// SPDX-License-Identifier: Apache-2.0

package ingress

import "context"

// A sound endpoint may be silent for a while. So an attempt that is silent is not canceled:
// a standby, which is a further attempt at another endpoint, is begun beside it. The
// first of the two that delivers continues, and the other one is canceled. If no standby
// can be made, or it fails, the silent attempt goes on.

// standby is an attempt that is made beside a silent one.
type standby struct {
	watch  *watch // of the silent attempt
	ctx    context.Context
	cancel context.CancelFunc
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
	ctx, cancel := context.WithCancel(w.parent)
	return &standby{watch: w, ctx: ctx, cancel: cancel, acquired: make(chan struct{}), done: make(chan struct{})}
}

// start waits for an endpoint and makes the attempt until it delivers.
func (s *standby) start() {
	defer close(s.done)
	x := s.watch.exchange
	s.attempt = x.nextAttempt(s.ctx)
	close(s.acquired)
	if s.attempt == nil {
		s.finish(standbyNoPlace)
		return
	}
	s.opening = s.watch.protocol.open(s.attempt)
	if s.opening.verdict == verdictOK {
		s.deliver()
		return
	}
	s.finish(standbyFailed)
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
// has delivered.
func (s *standby) deliver() {
	w := s.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.canceled {
		s.opening.abandon(s.attempt)
		return
	}
	s.won = true
	w.attempt.cancel(errStalled)
	w.exchange.countStandby(standbyWon)
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
	s.cancel()
	s.collect()
}

// collect applies the result of a standby that is not adopted to the exchange.
func (s *standby) collect() {
	x := s.watch.exchange
	if s.attempt == nil || s.opening.unsent {
		x.refundRetry()
	}
	if s.attempt != nil {
		x.collect(s.attempt, s.opening.result)
	}
}

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
