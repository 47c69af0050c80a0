// SPDX-License-Identifier: Apache-2.0

// Package membudget bounds the memory that all users of a process take together, such as
// buffered responses. Each has a bound of its own, but hundreds at once would exceed the memory
// of the box.
package membudget

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"
)

// Errors of reservations.
const (
	// ErrEnded is returned by Account.Reserve after Account.End.
	ErrEnded = errors.ConstError("the account of the memory budget has ended")
	// ErrExhausted is returned by Account.TryReserve while the budget is used up.
	ErrExhausted = errors.ConstError("the memory budget is used up")
)

// Budget is a number of bytes for all accounts. It is safe for concurrent use.
type Budget struct {
	bytes *semaphore.Weighted
	limit int64
	held  atomic.Int64
	waits atomic.Int64
	fails atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{bytes: semaphore.NewWeighted(limit), limit: limit} }

// Limit returns the number of bytes of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the number of bytes that are reserved.
func (b *Budget) Held() int64 { return b.held.Load() }

// Waits returns how many reservations have had to wait.
func (b *Budget) Waits() int64 { return b.waits.Load() }

// Failures returns how many reservations that may not wait have failed.
func (b *Budget) Failures() int64 { return b.fails.Load() }

// reserve reserves n bytes. It waits until they are available, in the order of the calls, or
// until ctx ends.
func (b *Budget) reserve(ctx context.Context, n int64) error {
	if !b.bytes.TryAcquire(n) {
		b.waits.Add(1)
		if err := b.bytes.Acquire(ctx, n); err != nil {
			return errors.Trace(err)
		}
	}
	b.held.Add(n)
	return nil
}

// release returns n reserved bytes.
func (b *Budget) release(n int64) {
	b.held.Add(-n)
	b.bytes.Release(n)
}

// Account holds the reservations of one user, such as a request, and returns them together. It
// is safe for concurrent use.
type Account struct {
	budget *Budget
	mu     sync.Mutex
	held   int64
	ended  bool
}

// Open returns an account without reservations. The caller must call End.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// Reserve reserves n bytes, at most the whole budget. It waits until they are available or ctx
// ends.
func (a *Account) Reserve(ctx context.Context, n int64) error {
	n = min(n, a.budget.limit)
	if err := a.budget.reserve(ctx, n); err != nil {
		return err
	}
	return a.add(n)
}

// TryReserve is like Reserve, but returns ErrExhausted if the bytes are not available now.
func (a *Account) TryReserve(n int64) error {
	n = min(n, a.budget.limit)
	if !a.budget.bytes.TryAcquire(n) {
		a.budget.fails.Add(1)
		return ErrExhausted
	}
	a.budget.held.Add(n)
	return a.add(n)
}

// add adds n bytes, which the budget has reserved, to the account.
func (a *Account) add(n int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		a.budget.release(n)
		return ErrEnded
	}
	a.held += n
	return nil
}

// Release returns a reservation of n bytes. It has no effect after End.
func (a *Account) Release(n int64) {
	n = min(n, a.budget.limit)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.held -= n
	a.budget.release(n)
}

// End returns all bytes that the account has reserved.
func (a *Account) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.budget.release(a.held)
}
