// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"
	"sync"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
)

// Repairs corrects records of a topic that the store holds in the wrong order. The store
// may carry out a write without a response seconds late, after the write of a higher
// version of the same key. The lower version is then the key's newest record, which is all
// that a process reads when it starts.
//
// A watcher that reads such a record from the store and knows the higher version appends
// that to a topic of repairs. Snapshots are corrected by it, and by the records before them
// that the store retains: a higher version replaces the newest record of its key. A repair
// is thus without effect once the operator has written a higher version. Each reader of the
// store makes sure once that the repair is written, so that it is even if others are killed.
//
// A write of a repair may itself be carried out late. It is therefore conditional on the end
// of the topic as read before, which shows no higher version.
type Repairs struct {
	topic Topic
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
func NewRepairs(topic Topic, version func(Record) (version int64, ok bool), log logr.Logger) *Repairs {
	return &Repairs{topic: topic, version: version, log: log, written: make(map[string]recordID)}
}

// repairPart is the partition of the topic of repairs that is used.
const repairPart = 0

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
			present, err := p.writeOnce(ctx, r)
			if err == nil {
				p.log.Info("operator record repaired", "key", r.Key, "version", r.version, "failures", failures-1, "present", present)
				break
			}
			if failures == 1 {
				p.log.Info("operator record not repaired", "key", r.Key, "version", r.version, "error", err.Error())
			}
			clock.Sleep(ctx, retryDelay(failures, false))
		}
	}
}

// writeOnce appends a record as a repair, unless a repair of its key with this version or a
// higher one is present.
func (p *Repairs) writeOnce(ctx context.Context, r versionedRecord) (present bool, err error) {
	newest, err := p.topic.Newest(ctx, repairPart)
	if err != nil {
		return false, err
	}
	for _, repair := range newest.Records {
		if version, ok := p.version(repair); repair.Key == r.Key && ok && version >= r.version {
			return true, nil
		}
	}
	return false, p.topic.Append(ctx, repairPart, newest.NextPosition().Offset, r.Key, r.Value)
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

// superseded returns the records held here that have higher versions than the last records
// of their keys in the store, which are at other offsets. Besides records read in the wrong
// order these are records that the store had lost or replaced before this process read it,
// and that another process has supplied. era is the era of s.appliedOffsets.
func (w *Watcher) superseded(s *Source, era int64) []versionedRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []versionedRecord
	for key, offset := range s.appliedOffsets {
		held, known := w.newest[key]
		if known && (history.Position{Era: held.era, Offset: held.Offset}).Before(history.Position{Era: era, Offset: offset}) {
			out = append(out, held)
		}
	}
	return out
}
