// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/stall"
)

// A read that failed is made again after retryMin, longer by as much at random
// and doubling up to retryMax: all processes lose the store at once.
const (
	retryMin = 150 * time.Millisecond
	retryMax = 900 * time.Millisecond
)

// Source is one topic and what is done with its records.
type Source struct {
	Topic string
	// Budget, if not nil, bounds how old what is known of the topic may become:
	// reads wait for a record for as long as it allows, and are made again
	// beside one that is silent.
	Budget *freshness.Budget
	// Pause is slept between two reads, from the end of one: behind a read that
	// took long it is the time in which a gateway learns whom to follow instead.
	// Without it 85 gateways that start at once, with 3,000 endpoints, read
	// the list on over full links: callers refused 0.17, 0.02 to 0.06 with it.
	Pause time.Duration
	// All is told the newest records, of an era, and One each further one.
	All func(records []Record, era int64)
	One func(Record)
	// Wake makes a read beside the one in progress; it may be nil.
	Wake <-chan struct{}
	// Others is asked before each read, if it is not nil: it returns true, and
	// from where to read on, if another process has told what the topic holds.
	Others func(ctx context.Context, next history.Position) (history.Position, bool)
	// Done is told of each read that succeeded, and as of when it holds; it may
	// be nil.
	Done func(confirmed time.Time)

	// confirmed is as of when the store last said what the topic holds.
	confirmed time.Time
	// applied are the offsets by which each key was told last; a dropped key
	// has none.
	applied map[string]int64
	// listedEnd is the end of the topic as the newest records told it.
	listedEnd int64
	// newestAt is when the newest records were last read, and checkUntil how
	// long that is done again.
	newestAt, checkUntil time.Time
}

// Newest records that may be older than the end from which the reader goes
// on are read again for a while: what lies between would never be heard of.
const (
	CheckEvery = 1200 * time.Millisecond
	checkFor   = 8 * time.Second
)

// begin takes the newest records in the place of all that was told before,
// and returns from where to read on.
func (s *Source) begin(n *Newest, now time.Time) history.Position {
	s.applied = make(map[string]int64, len(n.Records))
	for _, r := range n.Records {
		s.applied[r.Key] = r.Offset
	}
	s.listedEnd = n.End
	s.checkUntil = time.Time{}
	if n.Pages > 1 {
		s.checkAgain(now)
	}
	s.All(n.Records, n.Era)
	return n.ReadFrom()
}

// checkAgain begins to read the newest records again for a while.
func (s *Source) checkAgain(now time.Time) { s.newestAt, s.checkUntil = now, now.Add(checkFor) }

// take tells one record.
func (s *Source) take(r Record) {
	if r.Value == nil {
		delete(s.applied, r.Key)
	} else {
		s.applied[r.Key] = r.Offset
	}
	s.One(r)
}

// takeNew tells the records that are newer than what was told of their keys.
func (s *Source) takeNew(records []Record) {
	for _, r := range records {
		if told, known := s.applied[r.Key]; known && r.Offset <= told {
			continue // a check was ahead
		}
		s.take(r)
	}
}

// checkDue reports whether the newest records should be read again.
func (s *Source) checkDue(now time.Time) bool {
	return now.Before(s.checkUntil) && now.Sub(s.newestAt) >= CheckEvery
}

// check tells what the newest records have that was not told. Records older
// than those that were told, and a list older than a key, say nothing.
func (s *Source) check(records []Record, now time.Time) {
	s.newestAt = now
	listed := make(map[string]bool, len(records))
	latest := int64(-1)
	for _, r := range records {
		listed[r.Key] = true
		latest = max(latest, r.Offset)
		if told, known := s.applied[r.Key]; !known && r.Offset > s.told() || known && r.Offset > told {
			s.take(r)
		}
	}
	for key, offset := range s.applied {
		if !listed[key] && offset < latest {
			s.take(Record{Key: key})
		}
	}
}

// told is the highest offset that was told.
func (s *Source) told() int64 {
	highest := int64(-1)
	for _, offset := range s.applied {
		highest = max(highest, offset)
	}
	return highest
}

// Follow reads a topic from its newest records on. After an error it tries
// again with pauses; after a gap it begins anew with the newest records.
func (w *Watcher) Follow(ctx context.Context, s *Source) {
	next := history.Unread
	failures := 0
	for ctx.Err() == nil {
		if s.Others != nil {
			from, told := s.Others(ctx, next)
			if told {
				next = from
				continue
			}
		}
		began := clock.Now()
		from, err := w.step(ctx, s, next)
		switch {
		case err == nil:
			if s.Done != nil {
				s.Done(s.confirmed)
			}
			if failures > 0 {
				w.log.Info("store regained", "topic", s.Topic, "failures", failures, "offset", from.Offset)
				w.poke(s)
			}
			failures = 0
			next = from
			if s.Wake != nil {
				w.advance(next, s.confirmed)
			}
			clock.Sleep(ctx, s.Pause)
		case errors.Is(err, ErrNewEra):
			w.log.Info("store came back from an older copy", "topic", s.Topic, "era", next.Era, "new_era", w.store.Era(), "offset", next.Offset)
			next = history.Unread
		case errors.Is(err, ErrGone) && next.Offset < s.listedEnd:
			w.log.Info("store keeps the records no longer", "topic", s.Topic, "offset", next.Offset, "end", s.listedEnd)
			next.Offset = s.listedEnd
			s.checkAgain(clock.Now())
		case errors.Is(err, ErrGone):
			w.log.Info("store keeps the records no longer", "topic", s.Topic, "offset", next.Offset)
			next = history.Unread
		default:
			took := clock.Since(began).Milliseconds()
			if failures == 0 {
				w.log.Info("store lost", "topic", s.Topic, "offset", next.Offset, "ms", took, "error", err.Error())
			} else {
				w.log.Info("store still lost", "topic", s.Topic, "offset", next.Offset, "failures", failures, "ms", took, "error", err.Error())
			}
			failures++
			clock.Sleep(ctx, retryPause(failures, w.partSilent(s.Topic, next, err)))
		}
	}
}

// partSilent reports whether a read failed since its topic alone is silent,
// while the link and the rest of the store do well.
func (w *Watcher) partSilent(topic string, next history.Position, err error) bool {
	return next.Known() && errors.Is(err, stall.Err) && !w.store.OthersLate(topic, clock.Now())
}

// retryPause is how long to wait after a read that failed. One whose topic
// alone is silent has waited long enough: with a pause on top, what is read
// after such an outage would be older than the bound of changes (1.5 s instead
// of 2.4 s and more, with 2 s). On full links the pauses let them empty.
func retryPause(failures int, partSilent bool) time.Duration {
	jitter := time.Duration(rand.Int64N(int64(retryMin)))
	if partSilent {
		return jitter
	}
	return min(retryMin<<min(failures, 3), retryMax) + jitter
}

// poke makes the operator's reader ask anew.
func (w *Watcher) poke(s *Source) {
	if s.Wake == nil {
		w.wakeReader()
	}
}
