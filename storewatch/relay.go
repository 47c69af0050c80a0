// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"
	"time"

	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
)

// Relayed are operator's records that another process has read.
type Relayed struct {
	Records []Record
	// Next and Confirmed are the Read and Confirmed of that process's Progress.
	Next      history.Position
	Confirmed time.Time
}

// Relay asks another process for the operator's records from a position on, or
// all if it is of another era, and waits there for one for as long as the age of
// what is known allows. It returns nil if the store must be read instead.
type Relay func(ctx context.Context, from history.Position, age time.Duration) *Relayed

// Relayed takes the operator's records from another process, and returns from
// where to go on; false if the store must be read. One that is behind others
// reads the store, whatever the relay says.
func (w *Watcher) Relayed(ctx context.Context, s *Source, relay Relay, next history.Position) (history.Position, bool) {
	if w.Progress().Behind {
		return next, false
	}
	got := relay(ctx, next, w.Progress().Age(clock.Now()))
	if got == nil || got.Next.Before(next) {
		return next, false
	}
	s.confirmed = got.Confirmed
	if !next.Known() || got.Next.Era != next.Era {
		w.store.Learn(got.Next.Era)
		s.begin(&Newest{Records: got.Records, Era: got.Next.Era, End: got.Next.Offset, Pages: 1}, clock.Now())
	} else {
		s.takeNew(got.Records)
	}
	w.advance(got.Next, got.Confirmed)
	return got.Next, true
}
