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

// operatorRecords gives what a watcher has read to other gateways.
type operatorRecords struct{ watcher *platform.Watcher }

// Since implements storerelay.RecordSource.
func (o operatorRecords) Since(from history.Position) (storerelay.Records, bool) {
	records, progress, changed, known := o.watcher.Since(from)
	out := storerelay.Records{Next: progress.Read, Confirmed: progress.Confirmed, Behind: progress.Behind, Changed: changed}
	for _, r := range records {
		out.Newest = append(out.Newest, storerelay.Record(r))
	}
	return out, known
}

// recordRelay gives what another gateway has read to a watcher.
func recordRelay(f *storerelay.RecordFollower) storewatch.Relay {
	return func(ctx context.Context, from history.Position, age time.Duration) *storewatch.Relayed {
		got, ok := f.Since(ctx, from, age)
		if !ok {
			return nil
		}
		out := &storewatch.Relayed{Next: got.Next, Confirmed: got.Confirmed}
		for _, r := range got.Newest {
			out.Records = append(out.Records, storewatch.Record(r))
		}
		return out
	}
}

// recoveryInterval is the least time between two questions for what another gateway
// knows and this one does not; a change that is on its way comes sooner.
const recoveryInterval = time.Second

// recordRecovery asks other gateways for operator's records that the store has lost.
type recordRecovery struct {
	watcher  *platform.Watcher
	operator platform.Operator
	readers  *storerelay.Readers
	log      logr.Logger

	mu sync.Mutex
	// incompleteSince is since when another gateway has known more, or zero, and asked when
	// one was asked last.
	incompleteSince, lastFetch time.Time
}

// handleEcho takes what a sidecar tells of the gateway that knows most.
func (l *recordRecovery) handleEcho(ctx context.Context, e *loadreport.Echo, now time.Time) {
	lacks := l.watcher.OthersKnow(e.Knowledge)
	if !l.fetchDue(lacks, now) {
		return
	}
	l.log.Info("another gateway knows more of what the operator wrote", "gateway", e.Knower, "theirs", e.Knowledge, "own", l.watcher.Knowledge())
	go func() {
		records, ok := l.readers.All(ctx, e.Knower)
		if !ok {
			return // it is logged
		}
		known := make([]storewatch.Record, len(records))
		for n, r := range records {
			known[n] = storewatch.Record(r)
		}
		l.watcher.Learn(l.operator, known)
	}()
}

// fetchDue reports whether a gateway should be asked now.
func (l *recordRecovery) fetchDue(lacks bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !lacks {
		l.incompleteSince = time.Time{}
		return false
	}
	if l.incompleteSince.IsZero() {
		l.incompleteSince = now
	}
	if now.Sub(l.incompleteSince) < recoveryInterval || now.Sub(l.lastFetch) < recoveryInterval {
		return false
	}
	l.lastFetch = now
	return true
}
