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

// relay gives what another gateway has read to a watcher.
func relay(f *storerelay.RecordFollower) storewatch.Relay {
	return func(ctx context.Context, from history.Position, age time.Duration) *storewatch.RelayedRecords {
		got, ok := f.Since(ctx, from, age)
		if !ok {
			return nil
		}
		out := &storewatch.RelayedRecords{Next: got.Next, Confirmed: got.Confirmed}
		for _, r := range got.Newest {
			out.Records = append(out.Records, storewatch.Record(r))
		}
		return out
	}
}

// learnEvery is the least time between two questions for what another gateway
// knows and this one does not; a change that is on its way comes sooner.
const learnEvery = time.Second

// learner asks other gateways for operator's records that the store has lost.
type learner struct {
	watcher  *platform.Watcher
	operator platform.OperatorHandler
	readers  *storerelay.Readers
	log      logr.Logger

	mu sync.Mutex
	// lacks is since when another gateway has known more, or zero, and asked when
	// one was asked last.
	lacks, asked time.Time
}

// heard takes what a sidecar tells of the gateway that knows most.
func (l *learner) heard(ctx context.Context, e *loadreport.Echo, now time.Time) {
	lacks := l.watcher.ObserveVersionSum(e.VersionSum)
	if !l.due(lacks, now) {
		return
	}
	l.log.Info("another gateway knows more of what the operator wrote", "gateway", e.VersionSumGateway, "theirs", e.VersionSum, "own", l.watcher.VersionSum())
	go func() {
		records, ok := l.readers.FetchRecords(ctx, e.VersionSumGateway)
		if !ok {
			return // it is logged
		}
		known := make([]storewatch.Record, len(records))
		for n, r := range records {
			known[n] = storewatch.Record(r)
		}
		l.watcher.ApplyRecords(l.operator, known)
	}()
}

// due reports whether a gateway should be asked now.
func (l *learner) due(lacks bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !lacks {
		l.lacks = time.Time{}
		return false
	}
	if l.lacks.IsZero() {
		l.lacks = now
	}
	if now.Sub(l.lacks) < learnEvery || now.Sub(l.asked) < learnEvery {
		return false
	}
	l.asked = now
	return true
}
