// SPDX-License-Identifier: Apache-2.0

// Package storewatch follows topics of the platform's store, directly or through
// another process, and delivers changed records.
//
// It starts with the newest record of each key and continues from there. It starts
// over after a gap and after the store was restored from an older copy, which
// begins a new era. It does not interpret the records' values.
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
	// read is the next position of the operator's topic, and confirmed the time as
	// of which there were no records beyond it.
	read      history.Position
	confirmed time.Time
	// stale is set once the records are older than the bound of changes.
	stale bool
	// peerPosition is the furthest position that another process has reported, and
	// wokenAt the time of the last read made because of it.
	peerPosition history.Position
	wokenAt      time.Time
	// newest holds the operator's record of the highest version for each key.
	// advanced is closed and replaced when read changes.
	newest   map[string]versionedRecord
	advanced chan struct{}
	// peerVersionSum is the version sum last reported for another process, and
	// peerVersionSumAt when; see VersionSum.
	peerVersionSum   int64
	peerVersionSumAt time.Time
}

// peerVersionSumTTL is how long a reported version sum counts. Running processes
// report theirs twice a second.
const peerVersionSumTTL = 4 * time.Second

// versionedRecord is a record that the operator wrote.
type versionedRecord struct {
	Record
	// era is the era of the offset. version is the version of the content; it rises
	// with each record that the operator writes for a key.
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
	// Read is the position of the next record.
	Read history.Position
	// Confirmed is the time as of which there were no further records; zero if none
	// have been read.
	Confirmed time.Time
	// Behind is set if another process has read further.
	Behind bool
	// Incomplete is set if another process holds newer versions: the store may have
	// been restored from a copy without them.
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

// VersionSum returns the sum of the versions of the operator's records held here.
// Held versions never decrease, so a process with a higher sum than another one
// holds a newer version of some record.
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

// ObserveVersionSum records the highest version sum reported for other processes,
// and reports whether it is above the one here. It returns false before the first
// read.
func (w *Watcher) ObserveVersionSum(sum int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peerVersionSum, w.peerVersionSumAt = sum, clock.Now()
	return w.read.Known() && w.incompleteLocked()
}

// advance records a successful read of the operator's topic: the next position,
// and the time as of which there were no further records.
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

// checkAge logs that the operator's records are older than the bound of changes,
// once until they are confirmed again.
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

// Keep stores an operator's record of the store's current era, to be returned by
// Since. It returns false, and keeps the record held, if that has a higher version,
// as it may after the store was restored from an older copy.
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

// Since returns the newest operator's record of each key from a position on, by
// offset, the progress, and a channel that is closed when that advances. For an
// unknown position or one of another era it returns all records, including those
// that the store has lost, which have offset -1. It returns false before the first
// read.
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

// MinWakeInterval is the minimum time between two reads made because another
// process has read further: the store may return less than it has returned to
// others.
const MinWakeInterval = 300 * time.Millisecond

// ObservePosition records that another process has read the operator's records up
// to a position. If that is further than here, it makes another read beside the
// one that waits, at most once every MinWakeInterval: the store's response to the
// waiting read may have been lost.
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

// WatchAge logs, until ctx ends, when the operator's records become older than the
// bound of changes.
func (w *Watcher) WatchAge(ctx context.Context, budget freshness.Budget) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, budget.Interval())
		w.checkAge(budget, clock.Now())
	}
}

// Wakeups returns the channel for Source.Wake of the operator's topic: each value
// requests a read at once.
func (w *Watcher) Wakeups() <-chan struct{} { return w.wake }

// wakeOperatorReader requests a read, unless one is requested already.
func (w *Watcher) wakeOperatorReader() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
