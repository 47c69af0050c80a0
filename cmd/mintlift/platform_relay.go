// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/storerelay"
)

// gatewayWait is how long one read of the operator's records waits. A record
// whose notice is lost is found after it at the latest, where no other gateway
// has read it. A gateway that others follow waits relayWait: what they have is
// as old as its last read.
const (
	gatewayWait = 4 * time.Second
	relayWait   = time.Second
	// relayMaxAge is how long ago the store may have confirmed the records of a
	// gateway that is followed: a read, and its answer late by half a second.
	relayMaxAge = relayWait + 500*time.Millisecond
	// followedFor is how long a gateway counts as followed that was asked.
	followedFor = 3 * time.Second
)

// operatorRecords gives what a watcher has read to other gateways.
type operatorRecords struct {
	watcher *platform.Watcher
	// asked is when another gateway asked last, in Unix milliseconds.
	asked atomic.Int64
}

// wait is how long a read of the store waits.
func (o *operatorRecords) wait() time.Duration {
	if time.Since(time.UnixMilli(o.asked.Load())) < followedFor {
		return relayWait
	}
	return gatewayWait
}

// Since implements storerelay.RecordSource.
func (o *operatorRecords) Since(offset int64) (storerelay.Records, bool) {
	o.asked.Store(time.Now().UnixMilli())
	records, progress, changed, known := o.watcher.Since(offset)
	out := storerelay.Records{Next: progress.Offset, Confirmed: progress.Confirmed, Behind: progress.Behind, Changed: changed}
	for _, r := range records {
		out.Newest = append(out.Newest, storerelay.Record(r))
	}
	return out, known
}

// relay gives what another gateway has read to a watcher.
func relay(f *storerelay.RecordFollower) platform.Relay {
	return func(ctx context.Context, offset int64) *platform.Relayed {
		got, ok := f.Since(ctx, offset)
		if !ok {
			return nil
		}
		out := &platform.Relayed{Next: got.Next, Confirmed: got.Confirmed}
		for _, r := range got.Newest {
			out.Records = append(out.Records, platform.Record(r))
		}
		return out
	}
}
