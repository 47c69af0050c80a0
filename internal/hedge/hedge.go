// SPDX-License-Identifier: Apache-2.0

// Package hedge makes a call once more beside one whose answer is missing,
// and takes the answer that comes first. The silent call goes on: it may only
// be slow, and ending it would throw away what is on its way.
package hedge

import (
	"context"
	"sync/atomic"
	"time"
)

// Plan says when further calls are made.
type Plan struct {
	// After is how long the first call may be silent; 0 stands for ever.
	After time.Duration
	// Interval is the time between two further calls.
	Interval time.Duration
	// Most is how many calls may be in progress.
	Most int
	// Now makes a further call at once for each value; it may be nil.
	Now <-chan struct{}
	// Final says that an error is an answer; it may be nil.
	Final func(error) bool
	// Hedged, if not nil, is told of each further call: its number, counted from 1.
	Hedged func(call int)
	// Failed, if not nil, is told of each call that fails while others go on.
	Failed func(err error)
}

// Call makes the n-th call, counted from 0. It calls begun when the first byte
// of its answer has come: no further call is made while an answer is coming.
type Call[T any] func(ctx context.Context, n int, begun func()) (T, error)

type result[T any] struct {
	value T
	err   error
}

// Do returns the first answer, or the last error once no call is in progress.
// The context of the other calls ends as it returns.
func Do[T any](ctx context.Context, p Plan, call Call[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		results  = make(chan result[T])
		coming   atomic.Int32 // answers that have begun
		next     int
		progress int
	)
	start := func() {
		n := next
		next++
		progress++
		go func() {
			var begun atomic.Bool
			value, err := call(ctx, n, func() {
				if begun.CompareAndSwap(false, true) {
					coming.Add(1)
				}
			})
			if begun.Load() {
				coming.Add(-1)
			}
			select {
			case results <- result[T]{value, err}:
			case <-ctx.Done():
			}
		}()
	}
	further := func() {
		if progress >= p.Most || coming.Load() > 0 {
			return
		}
		if p.Hedged != nil {
			p.Hedged(next)
		}
		start()
	}
	var silent <-chan time.Time
	if p.After > 0 {
		timer := time.NewTimer(p.After)
		defer timer.Stop()
		silent = timer.C
	}
	start()
	for {
		select {
		case r := <-results:
			progress--
			if r.err == nil || progress == 0 || p.Final != nil && p.Final(r.err) {
				return r.value, r.err
			}
			if p.Failed != nil {
				p.Failed(r.err)
			}
		case <-silent:
			further()
			silent = time.After(p.Interval)
		case <-p.Now:
			further()
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		}
	}
}
