// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
)

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
	silent       bool // the attempt has been silent
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
	s := w.standby
	if running := s != nil && !s.finished; running && !s.silent(now) || !w.protocol.silent(a, w.opened, idle, now) {
		return
	}
	if !w.silent {
		w.silent = true
		x.server.pool.CloseIdle(a.endpoint.Address) // these may be silent as well
	}
	if x.canFailOver() && !x.finished(w.parent) && !x.crashLimitReached() {
		w.beginStandby(idle, now)
	}
}

// beginStandby begins a standby if the retry budget allows one. A standby that is silent as well
// is canceled first, and the next check begins another one. watch.mu is held.
func (w *watch) beginStandby(idle time.Duration, now time.Time) {
	x, a := w.exchange, w.attempt
	allowed := x.retryAvailable(now)
	if allowed || !w.denied {
		x.server.log.Info("attempt silent", "request", x.id, "attempt", a.number, "endpoint", a.endpoint.ID, "begun", w.opened, "idle_ms", idle.Milliseconds(), "paused_ms", w.paused.Milliseconds(), "ms", now.Sub(a.sentAt).Milliseconds(), "budget", allowed)
	}
	if !allowed {
		w.denied = true
		x.countStandby(standbyNoBudget)
		return
	}
	if s := w.standby; s != nil && !s.finished {
		s.cancel(errStalled)
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
	s.cancel(errNotNeeded)
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
