// SPDX-License-Identifier: Apache-2.0

package state

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/weights"
)

// keptRecords is how many records a Replica keeps to relay to others.
const keptRecords = 2048

// ErrBadCheckpoint says that a checkpoint does not match its digest.
const ErrBadCheckpoint = errors.ConstError("checkpoint does not match its digest")

// Checkpoint is a state as of an offset, with its digest.
type Checkpoint struct {
	// Era of the log, and the offset.
	Era    int64           `json:"era,omitempty"`
	Offset int64           `json:"offset"`
	Digest weights.Digest  `json:"digest"`
	State  json.RawMessage `json:"state"`
}

// Replica is a process's copy of the state. Its one lock is a leaf: nothing
// else is locked while it is held. Use NewReplica.
type Replica struct {
	mu      sync.RWMutex
	state   *State
	records []eventlog.Entry
	changed chan struct{}
	contact time.Time
	// era is that of the log whose records were applied.
	era int64
}

// NewReplica returns a replica of the state before the first record.
func NewReplica() *Replica {
	return &Replica{state: New(), changed: make(chan struct{})}
}

// View calls f with the state; f must neither keep nor change it.
func (r *Replica) View(f func(*State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Offset returns the offset after the last applied record.
func (r *Replica) Offset() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Offset
}

// InEra reports whether the offsets of an era are those of the records that were
// applied; the first that is asked for is, as long as none was.
func (r *Replica) InEra(era int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Offset == 0 {
		r.era = era
	}
	return r.era == era
}

// Applied implements eventlog.Settler.
func (r *Replica) Applied(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Applied(id)
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Contact returns when the log was last heard, by the local clock.
func (r *Replica) Contact() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.contact
}

// Heard notes that the log, or a relay that vouches for it, answered a
// question asked at the given time.
func (r *Replica) Heard(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.contact) {
		r.contact = at
	}
}

// Apply folds entries in order. Entries below the replica's offset are
// passed over, whatever the log answers; an entry above it is ErrOffset,
// since a gap is never skipped.
func (r *Replica) Apply(entries []eventlog.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.Offset
	defer func() {
		if r.state.Offset != before {
			close(r.changed)
			r.changed = make(chan struct{})
		}
	}()
	for _, e := range entries {
		if e.Offset < r.state.Offset {
			continue
		}
		if err := r.state.Apply(record(e)); err != nil {
			return err
		}
		r.keep(e)
	}
	return nil
}

// record decodes an entry. One that is not a record at all takes its place
// in the order under an id of its own and changes nothing.
func record(e eventlog.Entry) eventlog.Record {
	var rec eventlog.Record
	if err := json.Unmarshal(e.Data, &rec); err != nil || rec.ID == "" {
		rec = eventlog.Record{ID: "not-a-record"}
	}
	rec.Offset = e.Offset
	return rec
}

func (r *Replica) keep(e eventlog.Entry) {
	r.records = append(r.records, e)
	if len(r.records) > 2*keptRecords {
		r.records = append([]eventlog.Entry(nil), r.records[len(r.records)-keptRecords:]...)
	}
}

// Page answers a relayed read: the kept records from offset on.
func (r *Replica) Page(from int64, limit int) eventlog.Page {
	r.mu.RLock()
	defer r.mu.RUnlock()
	p := eventlog.Page{Era: r.era, First: r.state.Offset, Next: r.state.Offset, Records: []eventlog.Entry{}}
	if len(r.records) > 0 {
		p.First = r.records[0].Offset
	}
	if from < p.First {
		return p
	}
	for _, e := range r.records {
		if e.Offset >= from && len(p.Records) < limit {
			p.Records = append(p.Records, e)
		}
	}
	return p
}

// Checkpoint returns the state as of now.
func (r *Replica) Checkpoint() Checkpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	b, err := json.Marshal(r.state)
	if err != nil {
		panic("state: does not marshal: " + err.Error()) // plain fields always marshal
	}
	return Checkpoint{Era: r.era, Offset: r.state.Offset, Digest: weights.Sum(b), State: b}
}

// Restore takes a checkpoint that is ahead of the replica. One that is
// behind, or equal, or of another era of the log changes nothing; one that does not match its digest is
// ErrBadCheckpoint.
func (r *Replica) Restore(c Checkpoint) error {
	if weights.Sum(c.State) != c.Digest {
		return errors.WithType(errors.Errorf("checkpoint at %d", c.Offset), ErrBadCheckpoint)
	}
	s := New()
	if err := json.Unmarshal(c.State, s); err != nil || s.Offset != c.Offset {
		return errors.WithType(errors.Errorf("checkpoint at %d does not decode", c.Offset), ErrBadCheckpoint)
	}
	s.seen = nil
	s.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Offset <= r.state.Offset || r.state.Offset > 0 && c.Era != r.era {
		return nil
	}
	r.state, r.records, r.era = s, nil, c.Era
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}
