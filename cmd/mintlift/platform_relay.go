// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/storerelay"
	"github.com/mintlift/mintlift/storewatch"
)

// operatorRecords supplies the operator's records that a gateway's watcher has read to
// other gateways.
type operatorRecords struct{ watcher *platform.Watcher }

// Since implements storerelay.RecordSource.
func (o operatorRecords) Since(from history.Position) (storerelay.Records, bool) {
	records, progress, changed, ok := o.watcher.Since(from)
	out := storerelay.Records{Next: progress.Read, Confirmed: progress.Confirmed, Behind: progress.Behind, Changed: changed}
	for _, r := range records {
		out.Newest = append(out.Newest, storerelay.Record(r))
	}
	return out, ok
}

// recordRelay returns a relay through which a watcher reads the operator's records from
// another gateway. The relay returns nil if no gateway can supply the records.
func recordRelay(f *storerelay.RecordFollower) storewatch.Relay {
	return func(ctx context.Context, from history.Position, age time.Duration) *storewatch.RelayedRecords {
		fetched, ok := f.Since(ctx, from, age)
		if !ok {
			return nil
		}
		out := &storewatch.RelayedRecords{Next: fetched.Next, Confirmed: fetched.Confirmed}
		for _, r := range fetched.Newest {
			out.Records = append(out.Records, storewatch.Record(r))
		}
		return out
	}
}

// recoveryInterval is how long this gateway's records must have been incomplete before
// they are fetched from another gateway; a change in transit can arrive meanwhile. It
// is also the minimum time between two fetches.
const recoveryInterval = time.Second

// recordRecovery fetches operator records from other gateways that the store has lost
// in a rollback, a restore from an older copy.
type recordRecovery struct {
	watcher  *platform.Watcher
	operator platform.OperatorHandler
	readers  *storerelay.Readers
	log      logr.Logger

	mu sync.Mutex
	// incompleteSince is the moment from which another gateway has had newer records, or
	// zero if none has. lastFetch is the time of the last fetch.
	incompleteSince, lastFetch time.Time
}

// handleEcho handles the echo in a sidecar's report. The echo contains the highest
// version sum of the gateways that subscribe to the sidecar: the sum of the versions of
// all operator records that a gateway has. A higher sum than this gateway's shows that
// its records are incomplete. If they have been incomplete for recoveryInterval,
// handleEcho starts a fetch from the gateway with the highest sum.
func (r *recordRecovery) handleEcho(ctx context.Context, e *loadreport.Echo, now time.Time) {
	incomplete := r.watcher.ObserveVersionSum(e.VersionSum)
	if !r.fetchDue(incomplete, now) {
		return
	}
	r.log.Info("another gateway has newer operator records", "gateway", e.VersionSumGateway, "theirs", e.VersionSum, "own", r.watcher.VersionSum())
	go func() {
		records, ok := r.readers.FetchRecords(ctx, e.VersionSumGateway)
		if !ok {
			return // already logged
		}
		fetched := make([]storewatch.Record, len(records))
		for n, record := range records {
			fetched[n] = storewatch.Record(record)
		}
		r.watcher.ApplyRecords(r.operator, fetched)
	}()
}

// fetchDue reports whether to fetch records now, and if so, sets lastFetch.
func (r *recordRecovery) fetchDue(incomplete bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !incomplete {
		r.incompleteSince = time.Time{}
		return false
	}
	if r.incompleteSince.IsZero() {
		r.incompleteSince = now
	}
	if now.Sub(r.incompleteSince) < recoveryInterval || now.Sub(r.lastFetch) < recoveryInterval {
		return false
	}
	r.lastFetch = now
	return true
}
