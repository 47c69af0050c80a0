// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/hedge"
	"github.com/mintlift/mintlift/internal/stall"
)

// count counts a read by how it ended.
func (w *Watcher) count(topic string, err error) {
	outcome := readAnswered
	switch {
	case err == nil:
	case errors.Is(err, ErrGone):
		outcome = readGone
	case errors.Is(err, ErrNewEra), errors.Is(err, ErrPastEra):
		outcome = readOtherEra
	case errors.Is(err, stall.Err):
		outcome = readSilent
	default:
		outcome = readFailed
	}
	w.metrics.Counter("mintlift_store_reads_total", "topic", topic, "outcome", outcome).Inc()
}

// Outcomes of a read of the store, for metrics.
const (
	readAnswered = "answered"
	readGone     = "gone"   // the records are kept no longer
	readSilent   = "silent" // no byte came for too long
	readFailed   = "failed" // refused, or the connection broke
	// readOtherEra: the store came back from an older copy since the offset was
	// had, or since the answer was given.
	readOtherEra = "other era"
)

// step reads a topic once, the newest records if nothing has been read of the
// store's era.
func (w *Watcher) step(ctx context.Context, s *Source, next history.Position) (history.Position, error) {
	if next.Known() && next.Era < w.store.Era() {
		return next, ErrNewEra
	}
	if !next.Known() {
		return w.stepNewest(ctx, s)
	}
	if s.checkDue(clock.Now()) {
		newest, err := w.newestOf(ctx, s.Topic)
		if err == nil && newest.Era != next.Era {
			err = ErrNewEra
		}
		if err != nil {
			return next, err
		}
		s.check(newest.Records, clock.Now())
	}
	got, err := w.readFrom(ctx, s, next)
	if err != nil {
		return next, err
	}
	s.confirmed = got.confirmed
	s.takeNew(got.records)
	return got.end, nil
}

func (w *Watcher) stepNewest(ctx context.Context, s *Source) (history.Position, error) {
	began := clock.Now()
	newest, err := w.newestOf(ctx, s.Topic)
	if err != nil {
		return history.Unread, err
	}
	s.confirmed = began
	return s.begin(newest, clock.Now()), nil
}

func (w *Watcher) newestOf(ctx context.Context, topic string) (*Newest, error) {
	newest, err := w.store.Newest(ctx, topic)
	w.count(topic, err)
	return newest, err
}

// reading is what a read of the store brought.
type reading struct {
	records []Record
	// end is from where to read on, and confirmed as of when there is no more.
	end       history.Position
	confirmed time.Time
}

// readsAtOnce bounds the reads of a topic in progress: a silent one is given
// up storeStall after its wait, two intervals of the usual budget later.
const readsAtOnce = 3

// readFrom reads a topic from an offset on. If the answer is missing for longer
// than the budget allows, the read is made again beside it, without a wait:
// one that the store took during an outage is never answered, and its
// connection shows nothing.
func (w *Watcher) readFrom(ctx context.Context, s *Source, next history.Position) (reading, error) {
	wait := s.waitNow(clock.Now())
	plan := hedge.Plan{
		Most: readsAtOnce,
		Now:  s.Wake,
		Hedged: func(call int) {
			w.log.Info("store read again", "topic", s.Topic, "offset", next.Offset, "call", call, "age_ms", clock.Since(s.confirmed).Milliseconds())
		},
		Final: func(err error) bool { return errors.Is(err, ErrGone) || errors.Is(err, ErrNewEra) },
		Failed: func(err error) {
			w.log.Info("store read given up", "topic", s.Topic, "offset", next.Offset, "error", err.Error())
		},
	}
	if s.Budget != nil {
		plan.After, plan.Interval = wait+s.Budget.Silence(), s.Budget.Interval()
	}
	return hedge.Do(ctx, plan, func(ctx context.Context, n int, begun func()) (reading, error) {
		if n > 0 {
			return w.readOnce(ctx, s.Topic, next, 0, begun)
		}
		return w.readOnce(ctx, s.Topic, next, wait, begun)
	})
}

func (w *Watcher) readOnce(ctx context.Context, topic string, next history.Position, wait time.Duration, begun func()) (reading, error) {
	began := clock.Now()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: begun})
	records, end, err := w.store.Read(ctx, topic, next, wait)
	if ctx.Err() == nil { // else another read was answered
		w.count(topic, err)
	}
	// The answer may have been under way for a while: the store knew of no
	// more when the wait ended, or, without a wait, when it was asked.
	return reading{records, end, began.Add(min(clock.Since(began), wait))}, err
}

// waitNow is how long a read that begins now may wait.
func (s *Source) waitNow(now time.Time) time.Duration {
	if s.Budget == nil {
		return 0
	}
	wait := s.Budget.Wait(now.Sub(s.confirmed))
	if now.Before(s.checkUntil) {
		wait = min(wait, CheckEvery)
	}
	return wait
}
