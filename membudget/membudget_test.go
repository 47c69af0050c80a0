// SPDX-License-Identifier: Apache-2.0

package membudget

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All accounts together must never hold more than the budget, and all must get their turn.
func TestAccountsStayWithinBudget(t *testing.T) {
	b := New(100)
	var held, most atomic.Int64
	var group sync.WaitGroup
	for n := range 200 {
		group.Go(func() {
			a := b.Open()
			defer a.End()
			bytes := int64(1 + n%60)
			assert.Check(t, a.Reserve(t.Context(), bytes))
			now := held.Add(bytes)
			for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
			}
			time.Sleep(time.Millisecond)
			held.Add(-bytes)
		})
	}
	group.Wait()
	assert.Assert(t, most.Load() <= 100, "%d bytes were held", most.Load())
	assert.Equal(t, b.Held(), int64(0))
	assert.Assert(t, b.Waits() > 0)
}

// A reservation that is given up must not keep bytes, and neither may one that is granted after
// its account has ended.
func TestReservationsAreReturned(t *testing.T) {
	b := New(10)
	first := b.Open()
	assert.NilError(t, first.Reserve(t.Context(), 8))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, b.Open().Reserve(ctx, 5), context.DeadlineExceeded)
	late := b.Open()
	result := make(chan error)
	go func() { result <- late.Reserve(t.Context(), 5) }()
	for b.Waits() < 2 {
		time.Sleep(time.Millisecond)
	}
	late.End()
	first.Release(3)
	assert.ErrorIs(t, <-result, ErrEnded)
	assert.Equal(t, b.Held(), int64(5))
	first.End()
	first.Release(5)
	first.End()
	assert.Equal(t, b.Held(), int64(0))
}

// More than the budget is never available, so that such a reservation must take the whole.
func TestReservationOfMoreThanTheBudget(t *testing.T) {
	b := New(10)
	a := b.Open()
	assert.NilError(t, a.TryReserve(20))
	assert.ErrorIs(t, b.Open().TryReserve(1), ErrExhausted)
	assert.Equal(t, b.Failures(), int64(1))
	a.Release(20)
	assert.NilError(t, a.Reserve(t.Context(), 20))
	a.End()
	assert.Equal(t, b.Held(), int64(0))
}
