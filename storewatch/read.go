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

// countRead counts a read by its outcome.
func (w *Watcher) countRead(topic string, err error) {
	outcome := readAnswered
	switch {
	case err == nil:
	case errors.Is(err, ErrGone):
		outcome = readGone
	case errors.Is(err, ErrNewEra), errors.Is(err, ErrPastEra):
		outcome = readOtherEra
	case errors.Is(err, stall.ErrStalled):
		outcome = readStalled
	default:
		outcome = readFailed
	}
	w.metrics.Counter("mintlift_store_reads_total", "topic", topic, "outcome", outcome).Inc()
}

// Outcomes of a read of the store: values of a metric label.
const (
	readAnswered = "answered"
	readGone     = "gone"   // the records are no longer retained
	readStalled  = "silent" // no byte was received within the stall timeout
	readFailed   = "failed" // refused, or the connection broke
	// readOtherEra means that the store was restored from an older copy after the
	// position was read, or after the response was sent.
	readOtherEra = "other era"
)

// step reads a topic once, from the position next on. If that position is unknown, it
// reads the newest records of the topic instead. It applies the records and returns the
// position to read from next. It returns ErrNewEra if next is from before the store was
// restored from an older copy.
func (w *Watcher) step(ctx context.Context, s *Source, next history.Position) (history.Position, error) {
	if next.Known() && next.Era < w.store.Era() {
		return next, ErrNewEra
	}
	if !next.Known() {
		return w.stepFromNewest(ctx, s)
	}
	w.applyPendingCorrections(ctx, s)
	if s.recheckDue(clock.Now()) {
		newest, err := w.readNewest(ctx, s.Topic)
		if err == nil && newest.Era != next.Era {
			err = ErrNewEra
		}
		if err != nil {
			return next, err
		}
		s.reconcile(newest.Records, clock.Now())
	}
	got, err := w.readFrom(ctx, s, next)
	if err != nil {
		return next, err
	}
	s.confirmed = got.confirmed
	s.applyNew(got.records)
	return got.nextPosition, nil
}

// stepFromNewest reads and applies the newest records of a topic.
func (w *Watcher) stepFromNewest(ctx context.Context, s *Source) (history.Position, error) {
	began := clock.Now()
	newest, err := w.readSnapshot(ctx, s)
	if err != nil {
		return history.Unread, err
	}
	s.confirmed = began
	return s.reset(newest, clock.Now()), nil
}

// readNewest reads the newest records of a topic, and counts the read.
func (w *Watcher) readNewest(ctx context.Context, topic string) (*Newest, error) {
	newest, err := w.store.Newest(ctx, topic)
	w.countRead(topic, err)
	return newest, err
}

// readResult is the result of a read of the store.
type readResult struct {
	records []Record
	// nextPosition is the position to read from next. confirmed is the time at which
	// the store had no records beyond it.
	nextPosition history.Position
	confirmed    time.Time
}

// maxConcurrentReads bounds the number of reads of a topic in flight. With the usual
// budget, a stalled read is cancelled by the time that a fourth one would start.
const maxConcurrentReads = 3

// readFrom reads a topic from a position on. If there is no response within the
// budget, it makes a hedged read, which does not wait for new records. Hedging is
// needed because the store may never respond to a read that it accepted during an
// outage, although the connection stays open.
func (w *Watcher) readFrom(ctx context.Context, s *Source, next history.Position) (readResult, error) {
	wait := s.readWait(clock.Now())
	plan := hedge.Plan{
		MaxInFlight: maxConcurrentReads,
		Trigger:     s.Wake,
		OnHedge: func(call int) {
			w.log.Info("store read hedged", "topic", s.Topic, "offset", next.Offset, "call", call, "age_ms", clock.Since(s.confirmed).Milliseconds())
		},
		IsFinal: func(err error) bool { return errors.Is(err, ErrGone) || errors.Is(err, ErrNewEra) },
		OnFailure: func(err error) {
			w.log.Info("store read failed, others in flight", "topic", s.Topic, "offset", next.Offset, "error", err.Error())
		},
	}
	if s.Budget != nil {
		plan.Delay, plan.Interval = wait+s.Budget.HedgeDelay(), s.Budget.Interval()
	}
	return hedge.Do(ctx, plan, func(ctx context.Context, n int, firstByte func()) (readResult, error) {
		if n > 0 {
			return w.readOnce(ctx, s.Topic, next, 0, firstByte)
		}
		return w.readOnce(ctx, s.Topic, next, wait, firstByte)
	})
}

// readOnce makes one call to the store and calls firstByte at its first response byte.
func (w *Watcher) readOnce(ctx context.Context, topic string, next history.Position, wait time.Duration, firstByte func()) (readResult, error) {
	began := clock.Now()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: firstByte})
	records, position, err := w.store.Read(ctx, topic, next, wait)
	if ctx.Err() == nil { // otherwise another read was answered first
		w.countRead(topic, err)
	}
	// The response may have been in transit for a while. It is only certain that there
	// were no further records at the end of the wait or, without a wait, when the read
	// began.
	return readResult{records, position, began.Add(min(clock.Since(began), wait))}, err
}

// readWait returns how long a read that begins now may wait for new records.
func (s *Source) readWait(now time.Time) time.Duration {
	if s.Budget == nil {
		return 0
	}
	wait := s.Budget.Wait(now.Sub(s.confirmed))
	if now.Before(s.recheckUntil) {
		wait = min(wait, RecheckInterval)
	}
	return wait
}
