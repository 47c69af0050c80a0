// SPDX-License-Identifier: Apache-2.0

// Package clock provides a clock and timers for ages, deadlines and leases that
// include the time during which the machine is suspended.
//
// Package time measures durations with CLOCK_MONOTONIC, which does not advance
// while the machine is suspended. After a resume, ages would be too small and
// deadlines too far away by the length of the suspension. Now includes suspensions,
// as CLOCK_BOOTTIME does, and is not affected by changes of the wall clock. Times of
// this package must not be compared with times of package time, nor be used as a
// time of day.
//
// Timers of package time do not advance during a suspension either. Timers of this
// package that expired during a suspension fire after the resume, if Watch runs.
// Short waits, compared with the deadlines that they are part of, may use package
// time.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the minimum time between two reads of the system clocks. Now
	// may exclude a suspension for up to this long after the resume.
	checkInterval = 2 * time.Millisecond
	// maxReadDuration bounds the duration of a read of the system clocks, which takes
	// three system calls. A read that took longer is discarded as inexact.
	maxReadDuration = time.Millisecond
	// initialAttempts is the maximum number of reads at process start; the first that
	// completes within maxReadDuration is used.
	initialAttempts = 10
	// minSuspension is the shortest suspension that is detected. It must exceed
	// maxReadDuration, the error of a read.
	minSuspension = 10 * time.Millisecond
)

// suspensionTracker measures how long the machine has been suspended since the
// process started. It is safe for concurrent use.
type suspensionTracker struct {
	total atomic.Int64 // total length of all suspensions in ns
	// checkedNS is the time of the last read of the clocks, in ns since start.
	checkedNS atomic.Int64
	start     time.Time
	// startOffset is CLOCK_BOOTTIME minus CLOCK_MONOTONIC at process start.
	startOffset time.Duration
}

// tracker measures how long the machine has been suspended since process start. Now
// adds this duration to time.Now().
var tracker = newSuspensionTracker()

// newSuspensionTracker returns a tracker that counts suspensions from this call on.
func newSuspensionTracker() *suspensionTracker {
	s := &suspensionTracker{start: time.Now()}
	for range initialAttempts {
		var ok bool
		if s.startOffset, ok = bootOffset(); ok {
			break
		}
	}
	return s
}

// bootOffset returns CLOCK_BOOTTIME minus CLOCK_MONOTONIC. ok is false if the
// system has no CLOCK_BOOTTIME or the read took maxReadDuration or longer.
func bootOffset() (offset time.Duration, ok bool) {
	before, boot, after := readClock(unix.CLOCK_MONOTONIC), readClock(unix.CLOCK_BOOTTIME), readClock(unix.CLOCK_MONOTONIC)
	return boot - before, boot != 0 && after-before < maxReadDuration
}

// readClock returns the value of a system clock, or zero if it cannot be read.
func readClock(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// totalAt returns the total suspension at the time now of package time. It
// reads the system clocks at most once per checkInterval.
func (s *suspensionTracker) totalAt(now time.Time) time.Duration {
	since := int64(now.Sub(s.start))
	last := s.checkedNS.Load()
	if d := since - last; d >= 0 && d < int64(checkInterval) || !s.checkedNS.CompareAndSwap(last, since) {
		return time.Duration(s.total.Load())
	}
	if offset, ok := bootOffset(); ok {
		s.advance(offset - s.startOffset)
	}
	return time.Duration(s.total.Load())
}

// advance sets s.total to total if that raises it by at least minSuspension; else it
// has no effect.
func (s *suspensionTracker) advance(total time.Duration) {
	for {
		old := s.total.Load()
		if total < time.Duration(old)+minSuspension || s.total.CompareAndSwap(old, int64(total)) {
			return
		}
	}
}

// Now returns the current time, including the time during which the machine was
// suspended since the process started.
func Now() time.Time {
	now := time.Now()
	return now.Add(tracker.totalAt(now))
}

// Since returns the time elapsed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// ToMonotonic converts t, a time of this package, to a time of package time, for
// example for the deadline of a connection.
func ToMonotonic(t time.Time) time.Time { return time.Now().Add(Until(t)) }

// SuspendForTest advances the clock of this package by d until the end of a test,
// as if the machine had been suspended. The test must not run in parallel with
// others.
func SuspendForTest(t interface{ Cleanup(func()) }, d time.Duration) {
	tracker.total.Add(int64(d))
	t.Cleanup(func() { tracker.total.Add(int64(-d)) })
}

// Sleep waits for d or until ctx is done, whichever comes first. It uses a timer
// of package time, which does not advance during a suspension.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Timer calls a function once Now has reached a given time.
type Timer struct {
	at    time.Time
	timer *time.Timer
	call  func()
	// done is set once the timer has fired or was stopped.
	done atomic.Bool
}

// pendingTimers holds the timers that have neither fired nor been stopped, for
// Watch.
var pendingTimers = struct {
	sync.Mutex
	all map[*Timer]struct{}
}{all: make(map[*Timer]struct{})}

// AfterFunc calls f in its own goroutine once Now has reached at.
func AfterFunc(at time.Time, f func()) *Timer {
	t := &Timer{at: at, call: f}
	pendingTimers.Lock()
	defer pendingTimers.Unlock()
	pendingTimers.all[t] = struct{}{}
	t.timer = time.AfterFunc(Until(at), t.fire)
	return t
}

// fire calls the timer's function unless the timer has fired or was stopped.
func (t *Timer) fire() {
	t.unregister()
	if t.done.CompareAndSwap(false, true) {
		t.call()
	}
}

// unregister removes the timer from pendingTimers.
func (t *Timer) unregister() {
	pendingTimers.Lock()
	defer pendingTimers.Unlock()
	delete(pendingTimers.all, t)
}

// Stop prevents the timer from firing. It has no effect if the timer has fired.
func (t *Timer) Stop() {
	t.unregister()
	t.timer.Stop()
	t.done.Store(true)
}

// WithDeadline returns a copy of parent that is cancelled once Now has reached at,
// with context.DeadlineExceeded as its cause. Its Err is context.Canceled. The
// caller must call the returned function to release the timer.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := AfterFunc(at, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// After returns a channel that is closed once Now has reached at. After a call of stop
// the channel is not closed any more.
func After(at time.Time) (due <-chan struct{}, stop func()) {
	c := make(chan struct{})
	timer := AfterFunc(at, func() { close(c) })
	return c, timer.Stop
}

// watchInterval is the interval at which Watch checks for a suspension. Timers that
// expired during a suspension fire at most this long after the resume.
const watchInterval = 50 * time.Millisecond

// Watch runs until ctx is done. After each suspension of the machine it calls onResume,
// if not nil, with the length of the suspension, and then fires the timers that have
// expired.
func Watch(ctx context.Context, onResume func(time.Duration)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := tracker.totalAt(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		total := tracker.totalAt(time.Now())
		if total == last {
			continue
		}
		if onResume != nil {
			onResume(total - last)
		}
		last = total
		fireDue()
	}
}

// fireDue fires the timers whose time has been reached, each in its own goroutine.
func fireDue() {
	now := Now()
	pendingTimers.Lock()
	var due []*Timer
	for t := range pendingTimers.all {
		if !now.Before(t.at) {
			due = append(due, t)
		}
	}
	pendingTimers.Unlock()
	for _, t := range due {
		go t.fire()
	}
}

// SinceUnixMilli returns the time since a time of day, in Unix milliseconds, that another
// machine has reported. It is as inexact as the difference of the machines' clocks, and
// negative for a time in the future.
func SinceUnixMilli(ms int64) time.Duration { return time.Since(time.UnixMilli(ms)) }

// UnixMilli returns the time of day in Unix milliseconds, for other machines to compare
// with SinceUnixMilli.
func UnixMilli() int64 { return time.Now().UnixMilli() }
