// SPDX-License-Identifier: Apache-2.0

// Package storewatch follows topics of the platform's store, or what another
// process tells of them, and hands on what changes.
//
// A reader begins with the newest record of each key, reads on from there, and
// begins anew after a gap or once the store has come back from an older copy.
// What the records say is not looked at here.
package storewatch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/telemetry"
)

// Watcher reads the store and tells what changes.
type Watcher struct {
	store   Log
	log     logr.Logger
	metrics *telemetry.Metrics
	// wake makes the operator's reader read at once: after an outage, or when
	// somebody has read further.
	wake chan struct{}

	mu sync.Mutex
	// read is how far the operator's topic has been read, and confirmed when
	// that was last known to be all there is.
	read      history.Position
	confirmed time.Time
	// late says that what was read has grown older than its bound.
	late bool
	// ahead is how far others have read it, and wokenAt when that last led to
	// a read.
	ahead   history.Position
	wokenAt time.Time
	// newest are the operator's records of the highest version, by key, and
	// changed is closed, and made anew, when read grows.
	newest  map[string]versioned
	changed chan struct{}
	// others is the most that another process told that it knows, and othersAt
	// when.
	others   int64
	othersAt time.Time
}

// othersLife is how long another process's word of what it knows counts: those
// that live are heard of twice a second.
const othersLife = 4 * time.Second

// versioned is a record that the operator wrote.
type versioned struct {
	Record
	// era is that of its offset, and version that of what it says: it rises with
	// each record of a key that the operator writes.
	era, version int64
}

// New returns a watcher of a store.
func New(store Log, log logr.Logger, m *telemetry.Metrics) *Watcher {
	w := &Watcher{
		store: store, log: log, metrics: m, wake: make(chan struct{}, 1), read: history.Unread, ahead: history.Unread,
		newest: make(map[string]versioned), changed: make(chan struct{}),
	}
	m.Gauge("mintlift_store_era", func() float64 { return float64(store.Era()) })
	m.Gauge("mintlift_operator_records_age_seconds", func() float64 { return w.Progress().Age(clock.Now()).Seconds() })
	return w
}

// Progress is how far the operator's records have been read.
type Progress struct {
	// Read is the position of the next record.
	Read history.Position
	// Confirmed is when the store last said that there are no more.
	Confirmed time.Time
	// Behind says that another process has read further.
	Behind bool
	// Lacks says that another process knows more, though it has read no further:
	// the store came back from a copy that lacks it.
	Lacks bool
}

// Age is how long ago the store last said that there are no more; zero if it
// has never been read.
func (p Progress) Age(now time.Time) time.Duration {
	if p.Confirmed.IsZero() {
		return 0
	}
	return now.Sub(p.Confirmed)
}

// Progress returns how far the operator's records have been read.
func (w *Watcher) Progress() Progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progressLocked()
}

func (w *Watcher) progressLocked() Progress {
	return Progress{Read: w.read, Confirmed: w.confirmed, Behind: w.read.Known() && w.read.Before(w.ahead), Lacks: w.lacksLocked()}
}

func (w *Watcher) lacksLocked() bool {
	return w.others > w.knowledgeLocked() && clock.Since(w.othersAt) < othersLife
}

// Knowledge is the sum of the versions of all that is known of what the operator
// wrote. No version that is known goes down: who knows more than another one has
// something newer.
func (w *Watcher) Knowledge() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.knowledgeLocked()
}

func (w *Watcher) knowledgeLocked() int64 {
	sum := int64(0)
	for _, r := range w.newest {
		sum += r.version
	}
	return sum
}

// OthersKnow notes the most that another process tells that it knows, and
// reports whether that is more than is known here.
func (w *Watcher) OthersKnow(knowledge int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.others, w.othersAt = knowledge, clock.Now()
	return w.read.Known() && w.lacksLocked()
}

// advance notes a successful read of the operator's topic, and when the store
// confirmed that there was no more.
func (w *Watcher) advance(next history.Position, confirmed time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = false
	if next != w.read {
		close(w.changed)
		w.changed = make(chan struct{})
	}
	w.read = next
	w.confirmed = confirmed
}

// checkAge logs, once until they are confirmed, that the operator's records
// have grown older than the bound of changes.
func (w *Watcher) checkAge(budget freshness.Budget, now time.Time) {
	w.mu.Lock()
	age := w.progressLocked().Age(now)
	first := !w.late && !budget.Current(age)
	w.late = w.late || first
	w.mu.Unlock()
	if first {
		w.log.Info("operator records too old", "age_ms", age.Milliseconds(), "bound_ms", budget.Bound().Milliseconds())
	}
}

// Keep notes an operator's record, of the store's era, for those who ask for it.
// One that is older than what is held, as from an older copy of the store, is
// left out; it returns false then.
func (w *Watcher) Keep(r Record, version int64) bool {
	era := w.store.Era()
	w.mu.Lock()
	defer w.mu.Unlock()
	if held, known := w.newest[r.Key]; known && held.version > version {
		return false
	}
	w.newest[r.Key] = versioned{r, era, version}
	return true
}

// Since returns the newest operator's records of each key from a position on,
// by offset, and a channel that is closed once there are more. From a position
// of another era these are all, also those that the store has lost. It returns
// false before the first read.
func (w *Watcher) Since(from history.Position) ([]Record, Progress, <-chan struct{}, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	anew := !from.Known() || from.Era != w.read.Era
	var out []Record
	for _, r := range w.newest {
		if r.era != w.read.Era {
			r.Offset = -1 // it has none in this era
		}
		if anew || r.era == w.read.Era && r.Offset >= from.Offset && r.Offset < w.read.Offset {
			out = append(out, r.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out, w.progressLocked(), w.changed, w.read.Known()
}

// WakeEvery is the least time between two reads that are made because another
// process has read further: a store may answer with less than it has told
// others.
const WakeEvery = 300 * time.Millisecond

// OthersRead notes that another process has read the operator's records up
// to a position. Beside a read that waits although there are newer records
// another one is made: the store's notice of them has been lost.
func (w *Watcher) OthersRead(position history.Position, now time.Time) {
	w.mu.Lock()
	w.ahead = history.Later(w.ahead, position)
	due := w.progressLocked().Behind && now.Sub(w.wokenAt) >= WakeEvery
	if due {
		w.wokenAt = now
	}
	read, ahead := w.read, w.ahead
	w.mu.Unlock()
	if !due {
		return
	}
	w.log.Info("operator records read anew", "era", read.Era, "offset", read.Offset, "others_era", ahead.Era, "others", ahead.Offset)
	w.wakeReader()
}

// WatchAge logs when the operator's records have grown older than the bound of
// changes, until ctx ends.
func (w *Watcher) WatchAge(ctx context.Context, budget freshness.Budget) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, budget.Interval())
		w.checkAge(budget, clock.Now())
	}
}

// Woken makes a read of the operator's records at once for each value.
func (w *Watcher) Woken() <-chan struct{} { return w.wake }

func (w *Watcher) wakeReader() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
