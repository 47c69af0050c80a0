// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/history"
)

// retainedRecords is the number of records before the end of a snapshot that are compared
// with it. A write is carried out seconds late at most, and the operator writes less than
// that meanwhile.
//
// They matter if no process ran when the store carried out the write of a lower version, so
// that there is no repair. Repairs matter if the store retains only the newest records.
const retainedRecords = 16

// retainedRead is the result of reading retained records.
type retainedRead struct {
	records []Record
	err     error
}

// beginRetained reads the retained records in the background if they are due. It wakes the
// reader if one of them has a higher version than the record held.
func (w *Watcher) beginRetained(ctx context.Context, s *Source) {
	if !s.retainedDue {
		return
	}
	s.retainedDue = false
	out := make(chan retainedRead, 1)
	s.pendingRetained = out
	topic, before, repairs := s.Topic, s.retainedBefore, s.Repairs
	go func() {
		records, err := w.readRetained(ctx, topic, before)
		if err != nil && ctx.Err() == nil {
			w.log.Info("retained operator records not read", "error", err.Error())
		}
		out <- retainedRead{records, err}
		for _, r := range records {
			if version, ok := repairs.version(r); ok && version > w.heldVersion(r.Key) {
				w.wakeOperatorReader()
			}
		}
	}()
}

// readRetained returns the last retainedRecords before a position that the store still
// retains.
func (w *Watcher) readRetained(ctx context.Context, topic string, before history.Position) ([]Record, error) {
	var out []Record
	for from := (history.Position{Era: before.Era, Offset: max(0, before.Offset-retainedRecords)}); from.Before(before); {
		records, next, err := w.store.Read(ctx, topic, from, 0)
		switch {
		case errors.Is(err, ErrGone) && from.Before(next):
			from = next
			continue
		case err != nil:
			return nil, err
		case next == from:
			return out, nil
		}
		out, from = append(out, records...), next
	}
	return out, nil
}

// applyPendingRetained applies the retained records if they have arrived. If they could not
// be read, it has them read again after the next read of the store that succeeds.
func (w *Watcher) applyPendingRetained(s *Source) {
	select {
	case got := <-s.pendingRetained:
		s.pendingRetained = nil
		// With ErrGone nothing is retained, and after ErrNewEra a new snapshot follows.
		s.retainedDue = got.err != nil && !errors.Is(got.err, ErrGone) && !errors.Is(got.err, ErrNewEra)
		w.applyRetained(s, got.records)
	default:
	}
}

// applyRetained applies retained records with higher versions than the ones held. They keep
// their offsets, which shows that the store holds them in the wrong order. Records that
// the operator has deleted since are left out.
func (w *Watcher) applyRetained(s *Source, records []Record) {
	highest := make(map[string]Record)
	for _, r := range records {
		version, ok := s.Repairs.version(r)
		offset, present := s.appliedOffsets[r.Key]
		switch {
		case r.Value == nil:
			delete(highest, r.Key)
		case present && r.Offset < offset && ok && version > w.heldVersion(r.Key):
			if known, found := highest[r.Key]; found {
				if knownVersion, _ := s.Repairs.version(known); knownVersion >= version {
					continue
				}
			}
			highest[r.Key] = r
		}
	}
	for _, r := range highest {
		w.log.Info("operator record replaced by retained record", "key", r.Key, "offset", r.Offset, "stored_offset", s.appliedOffsets[r.Key])
		s.OnRepair(r)
	}
}
