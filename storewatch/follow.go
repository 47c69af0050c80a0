// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/stall"
)

// Bounds of the delay before a failed read is retried; see retryDelay.
const (
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 900 * time.Millisecond
)

// Source is a topic to follow, and the callbacks that receive its records.
type Source struct {
	Topic string
	// Budget, if not nil, bounds the age of the records. It limits how long a read
	// waits for new records, and determines when a hedged read is made in addition.
	// Without a Budget reads do not wait, and are hedged only on Wake.
	Budget *freshness.Budget
	// Pause is the delay between a successful read and the next one. It gives a
	// gateway time to find another gateway to follow, so that gateways that start
	// together do not all keep reading the store.
	Pause time.Duration
	// OnSnapshot receives the newest record of each key and their era. They replace
	// all records received before.
	OnSnapshot func(records []Record, era int64)
	// OnRecord receives each later record.
	OnRecord func(Record)
	// Wake requests, with each value, a hedged read at once: a second one beside the
	// read in flight. It is set for the operator's topic and nil for others.
	Wake <-chan struct{}
	// FromRelay, if not nil, is called before each read with the next position. It
	// returns true and the position to continue from if another process has
	// delivered the records, so that the store need not be read.
	FromRelay func(ctx context.Context, next history.Position) (history.Position, bool)
	// Gate, if not nil, decides when the store may be read after FromRelay has returned
	// false.
	Gate Gate
	// OnConfirmed, if not nil, is called after each successful read. The records
	// received are complete as of the time confirmed.
	OnConfirmed func(confirmed time.Time)
	// Repairs, if not nil, corrects snapshots in which the newest record of a key has not
	// the highest version. The versions are those passed to Watcher.Keep.
	Repairs *Repairs
	// OnRepair receives the corrections that arrive later than the snapshot. Their content
	// was written at an unknown time before it. It must be set with Repairs.
	OnRepair func(Record)

	// confirmed is the time as of which the received records are complete.
	confirmed time.Time
	// appliedOffsets holds the offset of the last applied record of each key.
	// Deleted keys are absent.
	appliedOffsets map[string]int64
	// listedEnd is the end of the topic as reported with the newest records.
	listedEnd int64
	// checkedAt is the time of the last recheck, or of the event that made rechecks
	// necessary. recheckUntil is when rechecks end; zero means that there are none.
	checkedAt, recheckUntil time.Time
	// snapshotEnd is the end of the topic as of the last snapshot, and historyLength the
	// number of records before it that may correct it. pendingCorrections receives the
	// corrections that were not read in time; it is nil if there are none. historyRead is
	// set once the records before the snapshot have been read.
	snapshotEnd        history.Position
	historyLength      int64
	historyRead        bool
	pendingCorrections <-chan corrections
	// unrepaired holds records of the history that corrected the last snapshot, and that
	// have not been written as repairs yet.
	unrepaired []versionedRecord
}

// Gate decides whether a process may read a topic from the store, or must get its records
// from another process.
type Gate interface {
	// MayRead reports whether the store may be read now.
	MayRead() bool
	// ReadDone records whether a read of the store succeeded.
	ReadDone(ok bool)
}

// gatePause is the time between two attempts to get the records while neither another
// process supplies them nor the store may be read. It delays the start of a process.
const gatePause = 20 * time.Millisecond

// Timing of rechecks. The newest records that the store returns may lag behind the
// position from which reading continues; the records in between would be missed. The
// newest records are therefore read again every RecheckInterval for recheckDuration.
const (
	RecheckInterval = 1200 * time.Millisecond
	recheckDuration = 8 * time.Second
)

// reset replaces all records applied before by the newest records, and returns the
// position to read from next.
func (s *Source) reset(n *Newest, now time.Time) history.Position {
	s.appliedOffsets = make(map[string]int64, len(n.Records))
	for _, r := range n.Records {
		s.appliedOffsets[r.Key] = r.Offset
	}
	s.listedEnd = n.End
	s.recheckUntil = time.Time{}
	if n.Pages > 1 {
		s.scheduleRechecks(now)
	}
	s.OnSnapshot(n.Records, n.Era)
	return n.NextPosition()
}

// scheduleRechecks has the newest records read again every RecheckInterval, from now
// until recheckDuration has passed. This finds records that the store's first response
// did not contain yet.
func (s *Source) scheduleRechecks(now time.Time) {
	s.checkedAt, s.recheckUntil = now, now.Add(recheckDuration)
}

// apply records r's offset and passes r to OnRecord.
func (s *Source) apply(r Record) {
	if r.Value == nil {
		delete(s.appliedOffsets, r.Key)
	} else {
		s.appliedOffsets[r.Key] = r.Offset
	}
	s.OnRecord(r)
}

// applyNew applies the records that are newer than the last applied record of the same
// key.
func (s *Source) applyNew(records []Record) {
	for _, r := range records {
		if offset, known := s.appliedOffsets[r.Key]; known && r.Offset <= offset {
			continue // already applied by a recheck
		}
		s.apply(r)
	}
}

// recheckDue reports whether the newest records should be read again now.
func (s *Source) recheckDue(now time.Time) bool {
	return now.Before(s.recheckUntil) && now.Sub(s.checkedAt) >= RecheckInterval
}

// reconcile compares the newest records of a recheck with the applied ones. It applies
// those that are newer, and deletes the applied keys that are not among them. It keeps
// keys that were applied at a higher offset than all of records.
func (s *Source) reconcile(records []Record, now time.Time) {
	s.checkedAt = now
	listed := make(map[string]bool, len(records))
	latest := int64(-1)
	for _, r := range records {
		listed[r.Key] = true
		latest = max(latest, r.Offset)
		if offset, known := s.appliedOffsets[r.Key]; !known && r.Offset > s.highestApplied() || known && r.Offset > offset {
			s.apply(r)
		}
	}
	for key, offset := range s.appliedOffsets {
		if !listed[key] && offset < latest {
			s.apply(Record{Key: key})
		}
	}
}

// highestApplied returns the highest applied offset of the present keys, or -1.
func (s *Source) highestApplied() int64 {
	highest := int64(-1)
	for _, offset := range s.appliedOffsets {
		highest = max(highest, offset)
	}
	return highest
}

// Follow reads the newest records of a topic, and then those that follow, until ctx
// ends. It retries failed reads after a delay. It starts over with the newest records
// if the next ones are no longer retained or the store has a new era.
func (w *Watcher) Follow(ctx context.Context, s *Source) {
	next := history.Unread
	failures := 0
	var repairs sync.WaitGroup
	defer repairs.Wait()
	for ctx.Err() == nil {
		if s.FromRelay != nil {
			from, relayed := s.FromRelay(ctx, next)
			if relayed {
				next = from
				continue
			}
		}
		if s.Gate != nil && !s.Gate.MayRead() {
			clock.Sleep(ctx, gatePause)
			continue
		}
		began := clock.Now()
		from, err := w.step(ctx, s, next)
		if s.Gate != nil {
			s.Gate.ReadDone(err == nil)
		}
		switch {
		case err == nil:
			if s.OnConfirmed != nil {
				s.OnConfirmed(s.confirmed)
			}
			if failures > 0 {
				w.log.Info("store available again", "topic", s.Topic, "failures", failures, "offset", from.Offset)
				w.wakeAfterOutage(s)
			}
			failures = 0
			next = from
			w.repair(ctx, s, next.Era, &repairs)
			if s.Wake != nil {
				w.advance(next, s.confirmed)
			}
			clock.Sleep(ctx, s.Pause)
		case errors.Is(err, ErrNewEra):
			w.log.Info("store restored from an older copy", "topic", s.Topic, "era", next.Era, "new_era", w.store.Era(), "offset", next.Offset)
			next = history.Unread
		case errors.Is(err, ErrGone) && next.Offset < s.listedEnd:
			w.log.Info("records no longer retained by the store", "topic", s.Topic, "offset", next.Offset, "end", s.listedEnd)
			next.Offset = s.listedEnd
			s.scheduleRechecks(clock.Now())
		case errors.Is(err, ErrGone):
			w.log.Info("records no longer retained by the store", "topic", s.Topic, "offset", next.Offset)
			next = history.Unread
		default:
			took := clock.Since(began).Milliseconds()
			if failures == 0 {
				w.log.Info("store unavailable", "topic", s.Topic, "offset", next.Offset, "ms", took, "error", err.Error())
			} else {
				w.log.Info("store still unavailable", "topic", s.Topic, "offset", next.Offset, "failures", failures, "ms", took, "error", err.Error())
			}
			failures++
			clock.Sleep(ctx, retryDelay(failures, w.topicUnresponsive(s.Topic, next, err)))
		}
	}
}

// repair writes the records that the store holds replaced by lower versions as repairs, in
// a goroutine of group. era is the era of the last step.
func (w *Watcher) repair(ctx context.Context, s *Source, era int64, group *sync.WaitGroup) {
	if s.Repairs == nil {
		return
	}
	records := s.Repairs.claim(append(s.unrepaired, w.superseded(s, era)...), era)
	s.unrepaired = nil
	if len(records) > 0 {
		w.metrics.Counter("mintlift_operator_repairs_total").Add(len(records))
		group.Go(func() { s.Repairs.write(ctx, records) })
	}
}

// topicUnresponsive reports whether the store does not respond for this topic alone: a
// read from a known position stalled while calls for other topics were answered in
// time.
func (w *Watcher) topicUnresponsive(topic string, next history.Position, err error) bool {
	return next.Known() && errors.Is(err, stall.ErrStalled) && !w.store.OthersLate(topic, clock.Now())
}

// retryDelay returns the delay after the given number of consecutive failed reads. It
// is exponential up to maxRetryDelay, plus jitter, to spread the retries of the
// processes, which all lose the store at once. If only the topic is unresponsive, the
// delay is the jitter alone: the read has already taken the stall timeout, and changes
// would take effect too late after a longer delay. In other cases the links may be
// saturated, and the delays let them recover.
func retryDelay(failures int, topicUnresponsive bool) time.Duration {
	jitter := time.Duration(rand.Int64N(int64(minRetryDelay)))
	if topicUnresponsive {
		return jitter
	}
	return min(minRetryDelay<<min(failures, 3), maxRetryDelay) + jitter
}

// wakeAfterOutage requests a read of the operator's topic when the store responds again
// for another topic, s.
func (w *Watcher) wakeAfterOutage(s *Source) {
	if s.Wake == nil {
		w.wakeOperatorReader()
	}
}
