// SPDX-License-Identifier: Apache-2.0

// Package hedge sends hedged calls: while a call is unanswered, it starts further
// ones in parallel and returns the first response. The earlier calls are not
// cancelled meanwhile, since they may only be slow.
package hedge

import (
	"context"
	"sync/atomic"
	"time"
)

// Plan configures when Do starts further calls.
type Plan struct {
	// Delay is the time from the start of Do to the first further call; 0 starts
	// none by time.
	Delay time.Duration
	// Interval is the time between two further calls that are started by time.
	Interval time.Duration
	// MaxInFlight bounds the calls in flight.
	MaxInFlight int
	// Trigger starts a further call at once for each value received; it may be nil.
	Trigger <-chan struct{}
	// IsFinal reports whether an error ends Do although other calls are in flight;
	// nil means that none does.
	IsFinal func(error) bool
	// OnHedge, if not nil, is called before each further call with its number,
	// counted from 1.
	OnHedge func(call int)
	// OnFailure, if not nil, is called with the error of each call that fails while
	// others are in flight, unless the error is final.
	OnFailure func(err error)
}

// Call makes the n-th call, counted from 0. It must call firstByte once the first
// byte of its response has arrived: Do starts no further call while a response is
// being received.
type Call[T any] func(ctx context.Context, n int, firstByte func()) (T, error)

type result[T any] struct {
	value T
	err   error
}

// Do returns the first response, a final error, or the last error once no call is in
// flight, or ctx's error. It cancels the context of the remaining calls when it
// returns.
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
