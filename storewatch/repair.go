// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"
	"sync"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
)

// RepairTopic is a topic that the watchers write.
type RepairTopic interface {
	// Append appends a record to a partition.
	Append(ctx context.Context, part int, key string, value []byte) error
	// Newest returns the newest record of each key of a partition.
	Newest(ctx context.Context, part int) ([]Record, error)
}

// Repairs corrects records of a topic that the store holds in the wrong order. The store
// may carry out a write without a response seconds late, after the write of a higher
// version of the same key. The lower version is then the key's newest record, which is all
// that a process reads when it starts.
//
// A watcher that reads such a record from the store and knows the higher version appends
// that to a topic of repairs. Snapshots are corrected by it, and by the records before them
// that the store retains: a higher version replaces the newest record of its key. A repair
// is thus without effect once the operator has written a higher version. Each reader of the
// store writes a repair once, so that one is written even if others are killed.
type Repairs struct {
	topic RepairTopic
	// version returns the version of a record's content; ok is false if it has none.
	version func(Record) (version int64, ok bool)
	log     logr.Logger

	mu sync.Mutex
	// written holds the last record of each key that this process has written as a repair,
	// or is about to write.
	written map[string]recordID
}

// recordID identifies the content of a record in an era of the store.
type recordID struct{ era, version int64 }

// NewRepairs returns the repairs kept in topic. version returns the version of a record's
// content; ok is false for a record without one.
func NewRepairs(topic RepairTopic, version func(Record) (version int64, ok bool), log logr.Logger) *Repairs {
	return &Repairs{topic: topic, version: version, log: log, written: make(map[string]recordID)}
}

// repairPart is the partition of the topic of repairs that is used.
const repairPart = 0

// corrections are records that may have higher versions than a snapshot's records of the
// same keys.
type corrections struct {
	repairs []Record
	// history holds the records that precede the snapshot in its topic. A higher version
	// among them has no repair yet if nothing ran when the lower one was written.
	history []Record
	// err is set if either could not be read.
	err error
}

// merge replaces records of a snapshot by those with higher versions in c. These get the
// offsets of the records that they replace, and are passed to other processes in their
// place. Records of keys that the snapshot lacks are ignored. merge returns the records
// that must be written as repairs.
func (p *Repairs) merge(snapshot []Record, c corrections) (unrepaired []versionedRecord) {
	at := make(map[string]int, len(snapshot))
	for n, r := range snapshot {
		at[r.Key] = n
	}
	replace := func(r Record) (version int64, replaced bool) {
		n, found := at[r.Key]
		if !found || r.Value == nil {
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
	for _, r := range c.history {
		if version, replaced := replace(r); replaced {
			unrepaired = append(unrepaired, versionedRecord{Record: r, version: version})
		}
	}
	return unrepaired
}

// claim returns the records that this process has not written as repairs yet, and records
// that it is about to write them.
func (p *Repairs) claim(records []versionedRecord, era int64) []versionedRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []versionedRecord
	for _, r := range records {
		id := recordID{era, r.version}
		if p.written[r.Key] != id {
			p.written[r.Key] = id
			out = append(out, r)
		}
	}
	return out
}

// write appends records as repairs. It retries failed calls until ctx ends.
func (p *Repairs) write(ctx context.Context, records []versionedRecord) {
	for _, r := range records {
		for failures := 1; ctx.Err() == nil; failures++ {
			err := p.topic.Append(ctx, repairPart, r.Key, r.Value)
			if err == nil {
				p.log.Info("operator record repaired", "key", r.Key, "version", r.version, "failures", failures-1)
				break
			}
			if failures == 1 {
				p.log.Info("operator record not repaired", "key", r.Key, "version", r.version, "error", err.Error())
			}
			clock.Sleep(ctx, retryDelay(failures, false))
		}
	}
}

// readSnapshot reads the newest records of the topic of s, and what corrects them. It waits
// for corrections for the Budget's RelayTimeout, or without a Budget until they have been
// read. Corrections that arrive later are applied by later steps.
func (w *Watcher) readSnapshot(ctx context.Context, s *Source) (newest *Newest, unrepaired []versionedRecord, err error) {
	s.pendingCorrections = nil
	if s.Repairs == nil {
		newest, err = w.readNewest(ctx, s.Topic)
		return newest, nil, err
	}
	repairs := s.Repairs.beginRead(ctx)
	if newest, err = w.readNewest(ctx, s.Topic); err != nil {
		return nil, nil, err
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
		w.retryCorrections(ctx, s, c.err)
		unrepaired = s.Repairs.merge(newest.Records, c)
	case <-timeout:
		s.pendingCorrections = pending
	case <-ctx.Done():
	}
	return newest, unrepaired, nil
}

// beginRead reads the repairs in the background. The result is sent on the channel.
func (p *Repairs) beginRead(ctx context.Context) <-chan corrections {
	out := make(chan corrections, 1)
	go func() {
		records, err := p.topic.Newest(ctx, repairPart)
		out <- corrections{repairs: records, err: err}
	}()
	return out
}

// beginCorrections reads the records before the last snapshot of s in the background, and
// adds them to what repairs receives. The result is sent on the channel.
func (w *Watcher) beginCorrections(ctx context.Context, s *Source, repairs <-chan corrections) <-chan corrections {
	out := make(chan corrections, 1)
	topic, end, length := s.Topic, s.snapshotEnd, s.historyLength
	go func() {
		records, err := w.readHistory(ctx, topic, end, length)
		c := <-repairs
		c.history = records
		if c.err == nil {
			c.err = err
		}
		out <- c
	}()
	return out
}

// retryCorrections reads the corrections of the last snapshot again after an error.
func (w *Watcher) retryCorrections(ctx context.Context, s *Source, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	w.log.Info("corrections of operator records not read", "error", err.Error())
	s.pendingCorrections = w.beginCorrections(ctx, s, s.Repairs.beginRead(ctx))
}

// applyPendingCorrections applies corrections that arrived after the snapshot. It returns
// the records that must be written as repairs.
func (w *Watcher) applyPendingCorrections(ctx context.Context, s *Source) (unrepaired []versionedRecord) {
	var c corrections
	select {
	case c = <-s.pendingCorrections:
	default:
		return nil
	}
	s.pendingCorrections = nil
	w.retryCorrections(ctx, s, c.err)
	apply := func(r Record) (version int64, applied bool) {
		offset, known := s.appliedOffsets[r.Key]
		version, ok := s.Repairs.version(r)
		if !known || !ok || w.heldVersion(r.Key) >= version {
			return 0, false
		}
		w.log.Info("operator record replaced by a higher version", "key", r.Key, "version", version, "offset", offset)
		s.OnRecord(Record{Key: r.Key, Value: r.Value, Offset: offset})
		return version, true
	}
	for _, r := range c.repairs {
		apply(r)
	}
	for _, r := range c.history {
		if version, applied := apply(r); applied {
			unrepaired = append(unrepaired, versionedRecord{Record: r, version: version})
		}
	}
	return unrepaired
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

// heldVersion returns the version of the operator's record that is held for a key, or -1 if
// there is none.
func (w *Watcher) heldVersion(key string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if held, known := w.newest[key]; known {
		return held.version
	}
	return -1
}

// supersededBy returns the records held here that have higher versions than records read
// from the store at higher offsets, or in a later era.
func (w *Watcher) supersededBy(read []Record, era int64) []versionedRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []versionedRecord
	for _, r := range read {
		held, known := w.newest[r.Key]
		if known && r.Value != nil && (history.Position{Era: held.era, Offset: held.Offset}).Before(history.Position{Era: era, Offset: r.Offset}) {
			out = append(out, held)
		}
	}
	return out
}
