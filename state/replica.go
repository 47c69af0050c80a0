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

// maxRelayRecords is the number of records that a Replica retains for relaying. It
// temporarily holds up to twice as many.
const maxRelayRecords = 2048

// ErrBadCheckpoint means that a checkpoint does not match its digest or cannot be
// decoded.
const ErrBadCheckpoint = errors.ConstError("invalid checkpoint")

// Checkpoint is the encoded state at an offset of the log.
type Checkpoint struct {
	// Era is the era of the log; see eventlog.Page.
	Era    int64 `json:"era,omitempty"`
	Offset int64 `json:"offset"`
	// Digest is the digest of the bytes of State.
	Digest weights.Digest  `json:"digest"`
	State  json.RawMessage `json:"state"`
}

// Replica is a process's copy of the state, safe for concurrent use. Its lock is a
// leaf: no other lock is acquired while it is held. Use NewReplica.
type Replica struct {
	mu    sync.RWMutex
	state *State
	// records holds the last applied records, for Page.
	records []eventlog.Entry
	// changed is closed and replaced whenever the state's offset increases.
	changed chan struct{}
	// contact is the time of the last contact with the log; see Contact.
	contact time.Time
	// era is the era of the log from which the state was built.
	era int64
}

// NewReplica returns a replica at offset 0, with an empty state.
func NewReplica() *Replica {
	return &Replica{state: New(), changed: make(chan struct{})}
}

// View calls f with the state while it holds a read lock; f must neither retain nor
// change the state.
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

// MatchesEra reports whether era is the era of the applied records. The log's era changes
// when the log is restored from an older copy. A replica at offset 0 adopts the given era.
func (r *Replica) MatchesEra(era int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Offset == 0 {
		r.era = era
	}
	return r.era == era
}

// Applied implements eventlog.AppliedChecker.
func (r *Replica) Applied(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Applied(id)
}

// Changed returns a channel that is closed when the state's offset next increases.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Contact returns the time of the last contact with the log: of the last successful read
// by this process or by the relay that it reads from. It is in terms of the local clock;
// zero means that there was no contact.
func (r *Replica) Contact() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.contact
}

// MarkContact records a successful read that returned the content of the log as of the
// given time. It has no effect if a later contact is recorded already.
func (r *Replica) MarkContact(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.contact) {
		r.contact = at
	}
}

// Apply applies entries in order. It skips entries below the replica's offset and
// returns ErrOutOfOrder for an entry above it; the entries before that one remain
// applied.
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
		if err := r.state.Apply(decodeRecord(e)); err != nil {
			return err
		}
		r.keepForRelay(e)
	}
	return nil
}

// decodeRecord decodes an entry. For an entry that is not a valid record it returns a
// record without a kind, which only advances the offset when it is applied.
func decodeRecord(e eventlog.Entry) eventlog.Record {
	var rec eventlog.Record
	if err := json.Unmarshal(e.Data, &rec); err != nil || rec.ID == "" {
		rec = eventlog.Record{ID: "not-a-record"}
	}
	rec.Offset = e.Offset
	return rec
}

// keepForRelay adds an entry to r.records; r.mu must be held.
func (r *Replica) keepForRelay(e eventlog.Entry) {
	r.records = append(r.records, e)
	if len(r.records) > 2*maxRelayRecords {
		r.records = append([]eventlog.Entry(nil), r.records[len(r.records)-maxRelayRecords:]...)
	}
}

// Page returns the response to a relayed read: the retained records at offset from and
// above, at most limit. If from is below the first retained offset, which the page
// contains as First, the page contains no records.
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

// Checkpoint returns a checkpoint of the current state.
func (r *Replica) Checkpoint() Checkpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	b, err := json.Marshal(r.state)
	if err != nil {
		panic("state: cannot be encoded as JSON: " + err.Error()) // has only plain fields
	}
	return Checkpoint{Era: r.era, Offset: r.state.Offset, Digest: weights.Sum(b), State: b}
}

// Restore replaces the state by that of the checkpoint. It has no effect if the
// checkpoint's offset is not higher than the replica's. It also has no effect if the
// eras differ and the replica has applied records. For an invalid checkpoint it returns
// ErrBadCheckpoint.
func (r *Replica) Restore(c Checkpoint) error {
	if weights.Sum(c.State) != c.Digest {
		return errors.WithType(errors.Errorf("checkpoint at offset %d does not match its digest", c.Offset), ErrBadCheckpoint)
	}
	s := New()
	if err := json.Unmarshal(c.State, s); err != nil || s.Offset != c.Offset {
		return errors.WithType(errors.Errorf("checkpoint at offset %d cannot be decoded", c.Offset), ErrBadCheckpoint)
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
