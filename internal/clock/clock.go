// SPDX-License-Identifier: Apache-2.0

// Package clock tells the time by which ages, deadlines and leases are counted,
// and waits.
//
// Go's own time counts by CLOCK_MONOTONIC, which stands still while the machine
// is suspended: after the wake all that was known seems too young by that time,
// and each deadline too far away. Now goes on meanwhile, as CLOCK_BOOTTIME does,
// and unlike the time of day it is never set. Times of package clock must not be
// compared with those of package time, nor read as a time of day.
//
// Timers of package time stand still too. Those of this package fire on the
// wake, if Watch runs; waits that are short beside what must be kept in time
// need not be of this package.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lookEvery is the least time between two looks at the system's clocks, each
	// of which takes three system calls: for so long after a wake the time may
	// still lack the suspension. Now takes 0.1 us (BenchmarkNow).
	lookEvery = 2 * time.Millisecond
	// steadyLook bounds how long a look may take: one that was interrupted
	// between its readings says nothing.
	steadyLook = time.Millisecond
	// firstLooks is how often the clocks are looked at when the process begins,
	// until a look was not interrupted.
	firstLooks = 10
	// shortest is the shortest suspension that is noticed; readings differ by
	// up to steadyLook without one.
	shortest = 10 * time.Millisecond
)

// suspension is how long the machine has been suspended since the process began.
type suspension struct {
	total atomic.Int64 // ns
	// looked is when the clocks were looked at last, in ns since began.
	looked atomic.Int64
	began  time.Time
	// lead is by how much CLOCK_BOOTTIME was ahead when the process began.
	lead time.Duration
}

var suspended = newSuspension()

func newSuspension() *suspension {
	s := &suspension{began: time.Now()}
	for range firstLooks {
		var ok bool
		if s.lead, ok = lead(); ok {
			break
		}
	}
	return s
}

// lead reads by how much CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC; ok is false
// if the readings were too far apart.
func lead() (ahead time.Duration, ok bool) {
	before, boot, after := read(unix.CLOCK_MONOTONIC), read(unix.CLOCK_BOOTTIME), read(unix.CLOCK_MONOTONIC)
	return boot - before, boot != 0 && after-before < steadyLook
}

// read returns a clock of the system; zero if it has none of the kind.
func read(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// at returns the suspension as of the steady time now.
func (s *suspension) at(now time.Time) time.Duration {
	since := int64(now.Sub(s.began))
	last := s.looked.Load()
	if d := since - last; d >= 0 && d < int64(lookEvery) || !s.looked.CompareAndSwap(last, since) {
		return time.Duration(s.total.Load())
	}
	if ahead, ok := lead(); ok {
		s.raise(ahead - s.lead)
	}
	return time.Duration(s.total.Load())
}

// raise takes a longer suspension.
func (s *suspension) raise(total time.Duration) {
	for {
		old := s.total.Load()
		if total < time.Duration(old)+shortest || s.total.CompareAndSwap(old, int64(total)) {
			return
		}
	}
}

// Now returns the time. It goes on while the machine is suspended.
func Now() time.Time {
	now := time.Now()
	return now.Add(suspended.at(now))
}

// Since is Now less t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is t less Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Steady returns t as a time of package time, for deadlines of connections.
func Steady(t time.Time) time.Time { return time.Now().Add(Until(t)) }

// SuspendForTest lets the clock of this package go forward by d until the end of
// a test, as if the machine had been suspended. No other test may run beside it.
func SuspendForTest(t interface{ Cleanup(func()) }, d time.Duration) {
	suspended.total.Add(int64(d))
	t.Cleanup(func() { suspended.total.Add(int64(-d)) })
}

// Sleep waits for d, or until ctx ends if that is sooner.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Timer calls a function at a time of this package.
type Timer struct {
	at    time.Time
	timer *time.Timer
	call  func()
	// done says that it has fired, or was stopped.
	done atomic.Bool
}

// timers are those that have not fired, for Watch.
var timers = struct {
	sync.Mutex
	all map[*Timer]struct{}
}{all: make(map[*Timer]struct{})}

// AfterFunc calls f in a goroutine of its own once Now has reached at.
func AfterFunc(at time.Time, f func()) *Timer {
	t := &Timer{at: at, call: f}
	timers.Lock()
	defer timers.Unlock()
	timers.all[t] = struct{}{}
	t.timer = time.AfterFunc(Until(at), t.fire)
	return t
}

func (t *Timer) fire() {
	t.forget()
	if t.done.CompareAndSwap(false, true) {
		t.call()
	}
}

func (t *Timer) forget() {
	timers.Lock()
	defer timers.Unlock()
	delete(timers.all, t)
}

// Stop keeps the timer from firing, unless it has.
func (t *Timer) Stop() {
	t.forget()
	t.timer.Stop()
	t.done.Store(true)
}

// WithDeadline returns a context that ends with context.DeadlineExceeded as its
// cause once Now has reached at.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := AfterFunc(at, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// After returns a channel that is closed once Now has reached at, and a function
// that gives it up.
func After(at time.Time) (due <-chan struct{}, stop func()) {
	c := make(chan struct{})
	timer := AfterFunc(at, func() { close(c) })
	return c, timer.Stop
}

// watchEvery is how soon after a wake timers fire that were due meanwhile.
const watchEvery = 50 * time.Millisecond

// Watch fires timers that were due while the machine was suspended, until ctx
// ends. woken is called after each suspension with its length; it may be nil.
func Watch(ctx context.Context, woken func(time.Duration)) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	last := suspended.at(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		total := suspended.at(time.Now())
		if total == last {
			continue
		}
		if woken != nil {
			woken(total - last)
		}
		last = total
		fireDue()
	}
}

// fireDue fires the timers that are due.
func fireDue() {
	now := Now()
	timers.Lock()
	var due []*Timer
	for t := range timers.all {
		if !now.Before(t.at) {
			due = append(due, t)
		}
	}
	timers.Unlock()
	for _, t := range due {
		go t.fire()
	}
}
