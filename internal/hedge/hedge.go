// SPDX-License-Identifier: Apache-2.0

// Package hedge sends hedged calls: while a call is unanswered, it starts further
// calls in parallel and returns the first response. Starting a further call does not
// cancel the earlier calls, since they may only be slow.
package hedge

import (
	"context"
	"sync/atomic"
	"time"
)

// Plan configures when Do starts further calls.
type Plan struct {
	// Delay is the time from the start of Do to the first further call. If it is 0,
	// only Trigger starts further calls.
	Delay time.Duration
	// Interval is the time from one further call to the next, after Delay.
	Interval time.Duration
	// MaxInFlight is the maximum number of calls in flight, the first included.
	MaxInFlight int
	// Trigger starts a further call at once for each value received; it may be nil.
	Trigger <-chan struct{}
	// IsFinal reports whether Do must return this error at once, even while other
	// calls are in flight. If IsFinal is nil, no error is final.
	IsFinal func(error) bool
	// OnHedge, if not nil, is called before each further call with its number,
	// counted from 1.
	OnHedge func(call int)
	// OnFailure, if not nil, is called with the error of each call that fails while
	// others are in flight, unless the error is final.
	OnFailure func(err error)
}

// Call makes the n-th call, counted from 0. It must call firstByte when the first byte
// of its response arrives, because Do starts no further call while a response is being
// received.
type Call[T any] func(ctx context.Context, n int, firstByte func()) (T, error)

// result is the outcome of one call.
type result[T any] struct {
	value T
	err   error
}

// Do makes calls as configured by p. It returns the first response or the first final
// error. If a call fails while no other is in flight, it returns that call's error, and
// if ctx is done first, the error of ctx. It cancels the context of the remaining calls
// when it returns.
func Do[T any](ctx context.Context, p Plan, call Call[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		results   = make(chan result[T])
		receiving atomic.Int32 // calls whose first byte has arrived
		next      int
		inFlight  int
	)
	start := func() {
		n := next
		next++
		inFlight++
		go func() {
			var started atomic.Bool
			value, err := call(ctx, n, func() {
				if started.CompareAndSwap(false, true) {
					receiving.Add(1)
				}
			})
			if started.Load() {
				receiving.Add(-1)
			}
			select {
			case results <- result[T]{value, err}:
			case <-ctx.Done():
			}
		}()
	}
	hedge := func() {
		if inFlight >= p.MaxInFlight || receiving.Load() > 0 {
			return
		}
		if p.OnHedge != nil {
			p.OnHedge(next)
		}
		start()
	}
	var due <-chan time.Time
	if p.Delay > 0 {
		timer := time.NewTimer(p.Delay)
		defer timer.Stop()
		due = timer.C
	}
	start()
	for {
		select {
		case r := <-results:
			inFlight--
			if r.err == nil || inFlight == 0 || p.IsFinal != nil && p.IsFinal(r.err) {
				return r.value, r.err
			}
			if p.OnFailure != nil {
				p.OnFailure(r.err)
			}
		case <-due:
			hedge()
			due = time.After(p.Interval)
		case <-p.Trigger:
			hedge()
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		}
	}
}
