// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
)

// corrections are records that may have higher versions than a snapshot's records of the
// same keys.
type corrections struct {
	repairs []Record
	// history holds the records that precede the snapshot in its topic. A higher version
	// among them has no repair yet if nothing ran when the lower one was written.
	history []Record
	// historyRead reports that the history has been read, now or before.
	historyRead bool
	// err is set if either could not be read.
	err error
}

// merge replaces records of a snapshot by those with higher versions in c. These get the
// offsets of the records that they replace, and are passed to other processes in their
// place. Records of keys that the snapshot lacks are ignored. merge returns the records of
// the history that were used, which must be written as repairs.
func (p *Repairs) merge(snapshot []Record, c corrections) (unrepaired []versionedRecord) {
	at := make(map[string]int, len(snapshot))
	for n, r := range snapshot {
		at[r.Key] = n
	}
	replace := func(r Record) (version int64, replaced bool) {
		n, found := at[r.Key]
		if !found {
			return 0, false
		}
		version, ok := p.version(r)
		stored, versioned := p.version(snapshot[n])
		if !ok || versioned && stored >= version {
			return 0, false
		}
		p.log.Info("operator record replaced by a higher version", "key", r.Key, "version", version, "stored_version", stored, "offset", snapshot[n].Offset)
		snapshot[n].Value = r.Value
		return version, true
	}
	for _, r := range c.repairs {
		replace(r)
	}
	for _, r := range sinceDeletion(c.history) {
		if version, replaced := replace(r); replaced {
			unrepaired = append(unrepaired, versionedRecord{Record: r, version: version})
		}
	}
	return unrepaired
}

// sinceDeletion returns the records that follow the last deletion of their key.
func sinceDeletion(records []Record) []Record {
	deletedAt := make(map[string]int64)
	for _, r := range records {
		if r.Value == nil {
			deletedAt[r.Key] = r.Offset
		}
	}
	var out []Record
	for _, r := range records {
		if at, deleted := deletedAt[r.Key]; !deleted || r.Offset > at {
			out = append(out, r)
		}
	}
	return out
}

// readSnapshot reads the newest records of the topic of s, and what corrects them. It waits
// for corrections for the Budget's RelayTimeout, or without a Budget until they have been
// read. Corrections that arrive later are applied by later steps.
func (w *Watcher) readSnapshot(ctx context.Context, s *Source) (*Newest, error) {
	s.pendingCorrections, s.unrepaired, s.historyRead = nil, nil, false
	if s.Repairs == nil {
		return w.readNewest(ctx, s.Topic)
	}
	repairs := s.Repairs.beginRead(ctx)
	newest, err := w.readNewest(ctx, s.Topic)
	if err != nil {
		return nil, err
	}
	s.snapshotEnd, s.historyLength = history.Position{Era: newest.Era, Offset: newest.End}, historyLength(newest.Records)
	pending := w.beginCorrections(ctx, s, repairs)
	var timeout <-chan struct{}
	if s.Budget != nil {
		due, stop := clock.After(clock.Now().Add(s.Budget.RelayTimeout()))
		defer stop()
		timeout = due
	}
	select {
	case c := <-pending:
		w.retryCorrections(ctx, s, c)
		s.unrepaired = s.Repairs.merge(newest.Records, c)
	case <-timeout:
		s.pendingCorrections = w.wakeAfter(pending)
	case <-ctx.Done():
	}
	return newest, nil
}

// beginRead reads the repairs in the background. The result is sent on the channel.
func (p *Repairs) beginRead(ctx context.Context) <-chan corrections {
	out := make(chan corrections, 1)
	go func() {
		newest, err := p.topic.Newest(ctx, repairPart)
		if err != nil {
			newest = &Newest{}
		}
		out <- corrections{repairs: newest.Records, err: err}
	}()
	return out
}

// beginCorrections reads the records before the last snapshot of s in the background, unless
// they have been read, and adds them to what repairs receives. The result is sent on the
// channel.
func (w *Watcher) beginCorrections(ctx context.Context, s *Source, repairs <-chan corrections) <-chan corrections {
	out := make(chan corrections, 1)
	topic, end, length, historyRead := s.Topic, s.snapshotEnd, s.historyLength, s.historyRead
	go func() {
		var records []Record
		var err error
		if !historyRead {
			records, err = w.readHistory(ctx, topic, end, length)
		}
		c := <-repairs
		c.history, c.historyRead = records, err == nil
		if c.err == nil {
			c.err = err
		}
		out <- c
	}()
	return out
}

// wakeAfter passes on what pending receives, and requests a read of the operator's topic, so
// that the next step applies it at once.
func (w *Watcher) wakeAfter(pending <-chan corrections) <-chan corrections {
	out := make(chan corrections, 1)
	go func() {
		out <- <-pending
		w.wakeOperatorReader()
	}()
	return out
}

// retryCorrections reads again what could not be read of the corrections of the last
// snapshot. The history is large, so it is not read again while only the repairs fail. The
// corrections are applied by the next step, whose wait keeps the retries apart.
func (w *Watcher) retryCorrections(ctx context.Context, s *Source, c corrections) {
	s.historyRead = c.historyRead
	if c.err == nil || ctx.Err() != nil {
		return
	}
	w.log.Info("corrections of operator records not read", "error", c.err.Error())
	s.pendingCorrections = w.beginCorrections(ctx, s, s.Repairs.beginRead(ctx))
}

// applyPendingCorrections applies corrections that arrived after the snapshot.
func (w *Watcher) applyPendingCorrections(ctx context.Context, s *Source) {
	var c corrections
	select {
	case c = <-s.pendingCorrections:
	default:
		return
	}
	s.pendingCorrections = nil
	w.retryCorrections(ctx, s, c)
	apply := func(r Record) (version int64, applied bool) {
		offset, known := s.appliedOffsets[r.Key]
		version, ok := s.Repairs.version(r)
		if !known || !ok || w.heldVersion(r.Key) >= version {
			return 0, false
		}
		w.log.Info("operator record replaced by a higher version", "key", r.Key, "version", version, "offset", offset)
		s.OnRepair(Record{Key: r.Key, Value: r.Value, Offset: offset})
		return version, true
	}
	for _, r := range c.repairs {
		apply(r)
	}
	for _, r := range sinceDeletion(c.history) {
		if version, applied := apply(r); applied {
			s.unrepaired = append(s.unrepaired, versionedRecord{Record: r, version: version})
		}
	}
}

// Bounds of the records before a snapshot that are read to correct it. The operator writes
// fewer in the seconds by which a write can be late. Their size is bounded because all
// processes read them when they start at the same time.
const (
	maxHistoryRecords = 256
	minHistoryRecords = 8
	historyBytes      = 512 << 10
)

// historyLength returns how many records before a snapshot to read. The largest record of
// the snapshot is taken as their size.
func historyLength(snapshot []Record) int64 {
	size := 1
	for _, r := range snapshot {
		size = max(size, len(r.Value))
	}
	return int64(min(max(historyBytes/size, minHistoryRecords), maxHistoryRecords))
}

// readHistory reads the last records of a topic before end: length of them, or those that
// the store retains.
func (w *Watcher) readHistory(ctx context.Context, topic string, end history.Position, length int64) ([]Record, error) {
	from := history.Position{Era: end.Era, Offset: max(0, end.Offset-length)}
	records, first, err := w.readBetween(ctx, topic, from, end)
	if errors.Is(err, ErrGone) && from.Before(first) {
		records, _, err = w.readBetween(ctx, topic, first, end)
	}
	if errors.Is(err, ErrGone) {
		return nil, nil // nothing before end is retained
	}
	return records, err
}

// readBetween reads the records of a topic from a position to end. With ErrGone it returns
// the first position that is retained.
func (w *Watcher) readBetween(ctx context.Context, topic string, from, end history.Position) (out []Record, first history.Position, err error) {
	for next := from; next.Before(end); {
		records, after, err := w.store.Read(ctx, topic, next, 0)
		w.countRead(topic, err)
		if err != nil {
			return nil, after, err
		}
		if len(records) == 0 {
			break
		}
		out, next = append(out, records...), after
	}
	return out, from, nil
}
