// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"
	"time"

	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
)

// RelayedRecords are records of the operator that were received from another process,
// which holds them, instead of from the store.
type RelayedRecords struct {
	Records []Record
	// Next is Progress.Read of the other process: the position to read from next.
	// Confirmed is its Progress.Confirmed.
	Next      history.Position
	Confirmed time.Time
}

// Relay requests the operator's records from a position on from another process. If the
// position is of another era than that process's, because the store was restored from an
// older copy in between, it gets all records. age is the age of the records held here; it
// limits how long the other process may wait for new ones. Relay returns nil if the store
// must be read instead.
type Relay func(ctx context.Context, from history.Position, age time.Duration) *RelayedRecords

// ReadRelayed applies the operator's records obtained through relay, and returns the
// position to read from next. It returns false if the relay supplies none, or if this
// process is behind another one, see Progress.Behind, and the relay supplies nothing new.
func (w *Watcher) ReadRelayed(ctx context.Context, s *Source, relay Relay, next history.Position) (history.Position, bool) {
	progress := w.Progress()
	age := progress.Age(clock.Now())
	if progress.Behind && s.Budget != nil {
		age = s.Budget.Bound() // there is something new to read, so the relay need not wait
	}
	got := relay(ctx, next, age)
	if got == nil || got.Next.Before(next) || progress.Behind && got.Next == next {
		return next, false
	}
	s.confirmed = got.Confirmed
	if !next.Known() || got.Next.Era != next.Era {
		w.store.ObserveEra(got.Next.Era)
		s.reset(&Newest{Records: got.Records, Era: got.Next.Era, End: got.Next.Offset, Pages: 1}, clock.Now())
	} else {
		s.applyNew(got.Records)
	}
	w.advance(got.Next, got.Confirmed)
	return got.Next, true
}
