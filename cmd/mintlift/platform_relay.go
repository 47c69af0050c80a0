// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"time"

	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/storerelay"
)

// operatorRecords gives what a watcher has read to other gateways.
type operatorRecords struct{ watcher *platform.Watcher }

// Since implements storerelay.RecordSource.
func (o operatorRecords) Since(offset int64) (storerelay.Records, bool) {
	records, progress, changed, known := o.watcher.Since(offset)
	out := storerelay.Records{Next: progress.Offset, Confirmed: progress.Confirmed, Behind: progress.Behind, Changed: changed}
	for _, r := range records {
		out.Newest = append(out.Newest, storerelay.Record(r))
	}
	return out, known
}

// relay gives what another gateway has read to a watcher.
func relay(f *storerelay.RecordFollower) platform.Relay {
	return func(ctx context.Context, offset int64, age time.Duration) *platform.Relayed {
		got, ok := f.Since(ctx, offset, age)
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
