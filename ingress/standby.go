// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/mintlift/mintlift/eventstream"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/upstream"
)

// A sound endpoint may be silent for a while. So an attempt that is silent is not canceled:
// a standby, which is a further attempt at another endpoint, is begun beside it. The
// first of the two that delivers continues, and the other one is canceled. If no standby
// can be made, or it fails, the silent attempt goes on.

// protocol is how a kind of request is sent and its response is forwarded.
type protocol interface {
	// open makes an attempt up to the point from which it is preferred to a silent one. It
	// may run beside another attempt of the same exchange, and changes only a.
	open(a *attempt) opening
	// relay forwards a response that open returned with verdictOK, and ends the attempt.
	relay(o opening, w *watch) result
	// nextCheck returns when to check again whether the attempt is silent.
	nextCheck(a *attempt, now time.Time) time.Duration
	// silent reports whether an attempt has been silent for so long that a standby should
	// be begun. idle is the time that the exchange has waited for it.
	silent(a *attempt, opened bool, idle time.Duration, now time.Time) bool
}

// result is the result of an attempt.
type result struct {
	verdict verdict
	// reply is a complete response: of a plain request with verdictOK, or an error response
	// with verdictFailed.
	reply *reply
	// cause is why the attempt failed. unsent reports that no endpoint received it, and
	// crashed that its endpoint crashed.
	cause           string
	unsent, crashed bool
}

// opening is what an attempt has delivered so far.
type opening struct {
	result
	// Of a stream with verdictOK: the response, whose body events reads, and its first
	// event.
	response *upstream.Response
	events   *eventstream.Reader
	first    eventstream.Event
}

// watch begins a standby while the attempt of an exchange is silent. One goroutine, the
// exchange's own, makes the attempt and calls the methods; the watch has another one.
//
// The fields of the exchange that attempts change belong to the exchange's goroutine,
// except while it waits for the attempt, between await and received or end: then they
// belong to the standby, until that has an endpoint, and to whoever holds mu.
type watch struct {
	exchange *exchange
	protocol protocol
	attempt  *attempt
	parent   context.Context // of the exchange
	done     chan struct{}   // closed by end

	mu sync.Mutex // guards the fields below; taken before Server.mu
	// waiting is set while the exchange waits for the attempt, since waitingSince. paused is
	// the part of this time in which this process did not run: it is no silence of the
	// endpoint.
	waiting      bool
	waitingSince time.Time
	paused       time.Duration
	opened       bool // the attempt has delivered
	denied       bool // the retry budget has allowed no standby
	standby      *standby
}

// startWatch starts the watch of an attempt. The caller must call end.
func (x *exchange) startWatch(ctx context.Context, p protocol, a *attempt) *watch {
	w := &watch{exchange: x, protocol: p, attempt: a, parent: ctx, done: make(chan struct{})}
	if x.canFailOver() {
		go w.checkUntilEnd()
	}
	return w
}

// checkUntilEnd checks the attempt until end is called.
func (w *watch) checkUntilEnd() {
	last := clock.Now()
	delay := w.protocol.nextCheck(w.attempt, last)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-timer.C:
		}
		now := clock.Now()
		w.check(now.Sub(last)-delay, now)
		last, delay = now, w.protocol.nextCheck(w.attempt, now)
		timer.Reset(delay)
	}
}

// check begins a standby if the attempt is silent. late is how late the check is.
func (w *watch) check(late time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting {
		return
	}
	w.paused += max(late, 0)
	x, a, idle := w.exchange, w.attempt, now.Sub(w.waitingSince)-w.paused
	if w.standby != nil && !w.standby.finished || !w.protocol.silent(a, w.opened, idle, now) {
		return
	}
	x.server.pool.CloseIdle(a.endpoint.Address) // these may be silent as well
	if !x.canFailOver() || x.finished(w.parent) || x.crashLimitReached() {
		return
	}
	allowed := x.takeRetry(now)
	if allowed || !w.denied {
		x.server.log.Info("attempt silent", "request", x.id, "attempt", a.number, "endpoint", a.endpoint.ID, "begun", w.opened, "idle_ms", idle.Milliseconds(), "paused_ms", w.paused.Milliseconds(), "ms", now.Sub(a.sentAt).Milliseconds(), "budget", allowed)
	}
	if !allowed {
		w.denied = true
		x.countStandby(standbyNoBudget)
		return
	}
	w.standby = newStandby(w)
	go w.standby.start()
}

// open makes the attempt up to the point from which it is preferred to a silent one. If the
// attempt is a standby that continues, it waits for that.
func (w *watch) open(continued *standby) opening {
	w.await()
	var o opening
	if continued != nil {
		<-continued.done
		o = continued.opening
	} else {
		o = w.protocol.open(w.attempt)
	}
	if o.verdict == verdictOK && !w.received() {
		o.abandon(w.attempt)
		o.result = result{verdict: verdictInvalid, cause: errStalled.Error()}
	}
	return o
}

// await records that the exchange's goroutine begins to wait for the attempt.
func (w *watch) await() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting, w.waitingSince, w.paused = true, clock.Now(), 0
}

// received records that the attempt has delivered. It returns false if a standby has
// delivered before; the attempt has been canceled then. Otherwise a standby that has been
// begun is canceled.
func (w *watch) received() bool {
	w.mu.Lock()
	w.waiting, w.opened = false, true
	s := w.standby
	if s != nil && s.won {
		w.mu.Unlock()
		return false
	}
	w.standby = nil
	if s == nil || s.finished {
		w.mu.Unlock()
		return true
	}
	s.canceled = true
	w.mu.Unlock()
	s.cancel()
	<-s.done
	s.collect()
	w.exchange.countStandby(standbyNotNeeded)
	return true
}

// end ends the watch. It returns a standby that has won, or that continues although the
// attempt has ended, or nil. The standby has an endpoint then, or none was found.
func (w *watch) end() *standby {
	w.mu.Lock()
	close(w.done)
	w.waiting = false
	s := w.standby
	if s == nil || s.finished {
		w.mu.Unlock()
		return nil
	}
	s.adopted = true
	w.mu.Unlock()
	<-s.acquired
	return s
}

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

// abandon ends an attempt that has delivered although it is not needed.
func (o *opening) abandon(a *attempt) {
	if o.response == nil {
		return // a plain response is complete
	}
	a.finish(fleet.Abandoned)
	o.response.Close()
	o.verdict = verdictInvalid
}

// collect applies the result of an attempt to the exchange. It must not be called while
// another goroutine owns the fields that it changes; see watch.
func (x *exchange) collect(a *attempt, o result) {
	if o.cause != "" {
		x.lastCause = o.cause
	}
	if o.unsent {
		x.attempts--
	}
	if a.grantLapsed {
		delete(x.tried, a.endpoint.ID) // the endpoint may be chosen again
	}
	if o.crashed {
		x.crashes++
	}
	if o.verdict == verdictFailed {
		x.failure = o.reply
	}
	x.mayHaveRun = x.mayHaveRun || o.verdict != verdictNotRun
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
