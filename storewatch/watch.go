// SPDX-License-Identifier: Apache-2.0

// Package storewatch follows topics of the platform's store, directly or through
// another process, and delivers changed records.
//
// It starts with the newest record of each key and then reads the records that follow.
// It starts over if the store no longer retains the next records. It also starts over
// after the store was restored from an older copy; each restore begins a new era of
// the store. The package does not interpret the records' values.
//
// Processes exchange the positions up to which they have read the operator's topic,
// which holds the records that the operator writes, and their version sums. A version
// sum is the sum of the versions of all operator's records that a process holds.
// Versions only increase, so a process with a higher sum holds newer records.
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

// Watcher follows topics of a store, and holds the operator's records and the
// progress of reading them. It is safe for concurrent use.
type Watcher struct {
	store   Store
	log     logr.Logger
	metrics *telemetry.Metrics
	// wake makes the reader of the operator's topic read at once: after an outage,
	// or when another process has read further.
	wake chan struct{}

	mu sync.Mutex
	// read is the position to read the operator's topic from next. confirmed is the
	// time at which the store had no records beyond it.
	read      history.Position
	confirmed time.Time
	// stale is set while the operator's records are older than the bound within which
	// a change must take effect.
	stale bool
	// peerPosition is the furthest position that another process has reported. wokenAt
	// is the time of the last read made because of it.
	peerPosition history.Position
	wokenAt      time.Time
	// newest holds the operator's record of the highest version for each key.
	newest map[string]versionedRecord
	// advanced is closed and replaced when read changes.
	advanced chan struct{}
	// peerVersionSum is the version sum last reported for another process, and
	// peerVersionSumAt the time of the report.
	peerVersionSum   int64
	peerVersionSumAt time.Time
}

// peerVersionSumTTL is the age above which a version sum reported for another process is
// ignored; see Watcher.VersionSum. It covers several messages of a running process.
const peerVersionSumTTL = 4 * time.Second

// versionedRecord is a record that the operator wrote.
type versionedRecord struct {
	Record
	// era is the era of Record.Offset. version is the version of the record's
	// content; it increases with each record that the operator writes for a key.
	era, version int64
}

// New returns a watcher of a store, and registers its gauges with m.
func New(store Store, log logr.Logger, m *telemetry.Metrics) *Watcher {
	w := &Watcher{
		store: store, log: log, metrics: m, wake: make(chan struct{}, 1), read: history.Unread, peerPosition: history.Unread,
		newest: make(map[string]versionedRecord), advanced: make(chan struct{}),
	}
	m.Gauge("mintlift_store_era", func() float64 { return float64(store.Era()) })
	m.Gauge("mintlift_operator_records_age_seconds", func() float64 { return w.Progress().Age(clock.Now()).Seconds() })
	return w
}

// Progress describes how far the operator's records have been read.
type Progress struct {
	// Read is the position to read from next.
	Read history.Position
	// Confirmed is the time at which the store had no records beyond Read. It is zero
	// if nothing has been read.
	Confirmed time.Time
	// Behind is set if another process has read further.
	Behind bool
	// Incomplete is set if another process holds newer versions of records. The store
	// may have been restored from a copy without them.
	Incomplete bool
}

// Age returns the time since Confirmed, or zero if nothing has been read.
func (p Progress) Age(now time.Time) time.Duration {
	if p.Confirmed.IsZero() {
		return 0
	}
	return now.Sub(p.Confirmed)
}

// Progress returns the progress of reading the operator's records.
func (w *Watcher) Progress() Progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progressLocked()
}

// progressLocked implements Progress. Watcher.mu must be held.
func (w *Watcher) progressLocked() Progress {
	return Progress{Read: w.read, Confirmed: w.confirmed, Behind: w.read.Known() && w.read.Before(w.peerPosition), Incomplete: w.incompleteLocked()}
}

// incompleteLocked returns Progress.Incomplete. Watcher.mu must be held.
func (w *Watcher) incompleteLocked() bool {
	return w.peerVersionSum > w.versionSumLocked() && clock.Since(w.peerVersionSumAt) < peerVersionSumTTL
}

// VersionSum returns the sum of the versions of all operator's records held here. The
// version held for a key never decreases. A process with a higher sum therefore holds a
// newer version of at least one record.
func (w *Watcher) VersionSum() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.versionSumLocked()
}

// versionSumLocked implements VersionSum. Watcher.mu must be held.
func (w *Watcher) versionSumLocked() int64 {
	sum := int64(0)
	for _, r := range w.newest {
		sum += r.version
	}
	return sum
}

// ObserveVersionSum stores the highest version sum reported for other processes: the sum
// of the versions of all operator's records that one of them holds. It returns true if
// that sum is higher than VersionSum, and false before the first read.
func (w *Watcher) ObserveVersionSum(sum int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peerVersionSum, w.peerVersionSumAt = sum, clock.Now()
	return w.read.Known() && w.incompleteLocked()
}

// advance updates the progress after a successful read of the operator's topic. next is
// the position to read from next, and confirmed the time at which there were no records
// beyond it.
func (w *Watcher) advance(next history.Position, confirmed time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stale = false
	if next != w.read {
		close(w.advanced)
		w.advanced = make(chan struct{})
	}
	w.read = next
	w.confirmed = confirmed
}

// checkAge logs when the operator's records have become older than the budget's bound.
// It logs this only once until the records are confirmed again.
func (w *Watcher) checkAge(budget freshness.Budget, now time.Time) {
	w.mu.Lock()
	age := w.progressLocked().Age(now)
	first := !w.stale && !budget.Current(age)
	w.stale = w.stale || first
	w.mu.Unlock()
	if first {
		w.log.Info("operator records stale", "age_ms", age.Milliseconds(), "bound_ms", budget.Bound().Milliseconds())
	}
}

// Keep stores a record of the operator, for Since to return. The record must be of the
// store's current era: read since the store was last restored from an older copy. If a
// record with a higher version is held for the key, as may be the case after such a
// restore, Keep leaves it in place and returns false.
func (w *Watcher) Keep(r Record, version int64) bool {
	era := w.store.Era()
	w.mu.Lock()
	defer w.mu.Unlock()
	if held, known := w.newest[r.Key]; known && held.version > version {
		return false
	}
	w.newest[r.Key] = versionedRecord{r, era, version}
	return true
}

// Since returns the operator's newest record of each key from a position on, sorted by
// offset. It also returns the progress, and a channel that is closed when the progress
// advances. For an unknown position or one of another era it returns all records.
// Records that were read in an earlier era have the offset -1. Since returns false
// before the first read.
func (w *Watcher) Since(from history.Position) ([]Record, Progress, <-chan struct{}, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := !from.Known() || from.Era != w.read.Era
	var out []Record
	for _, r := range w.newest {
		if r.era != w.read.Era {
			r.Offset = -1 // no offset in this era
		}
		if all || r.era == w.read.Era && r.Offset >= from.Offset && r.Offset < w.read.Offset {
			out = append(out, r.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out, w.progressLocked(), w.advanced, w.read.Known()
}

// MinWakeInterval is the minimum time between two reads made because another process
// has read further. Such reads can be repeated, since the store may return fewer
// records to one process than to another.
const MinWakeInterval = 300 * time.Millisecond

// ObservePosition records that another process has read the operator's records up to a
// position. If this process has read less, the store's response to its waiting read may
// have been lost. ObservePosition then requests an additional read, at most once every
// MinWakeInterval.
func (w *Watcher) ObservePosition(position history.Position, now time.Time) {
	w.mu.Lock()
	w.peerPosition = history.Later(w.peerPosition, position)
	due := w.progressLocked().Behind && now.Sub(w.wokenAt) >= MinWakeInterval
	if due {
		w.wokenAt = now
	}
	read, peerPosition := w.read, w.peerPosition
	w.mu.Unlock()
	if !due {
		return
	}
	w.log.Info("operator records behind another process, read again", "era", read.Era, "offset", read.Offset, "others_era", peerPosition.Era, "others", peerPosition.Offset)
	w.wakeOperatorReader()
}

// WatchAge checks the age of the operator's records until ctx ends. It logs when they
// become older than the budget's bound.
func (w *Watcher) WatchAge(ctx context.Context, budget freshness.Budget) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, budget.Interval())
		w.checkAge(budget, clock.Now())
	}
}

// Wakeups returns the channel for Source.Wake of the operator's topic. Each value in it
// requests a read at once.
func (w *Watcher) Wakeups() <-chan struct{} { return w.wake }

// wakeOperatorReader requests a read, unless one is requested already.
func (w *Watcher) wakeOperatorReader() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
