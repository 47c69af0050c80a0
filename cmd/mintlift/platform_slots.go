// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/slotgrant"
)

// slotCountInterval is the minimum time between two log lines about slots.
const slotCountInterval = time.Second

// logSlotCounts logs and counts the slots that a sidecar has granted, until ctx ends. It
// logs nothing while no gateway requests any.
func logSlotCounts(ctx context.Context, p *platformProcess, publisher *loadreport.Publisher) {
	var last slotgrant.Counts
	for {
		clock.Sleep(ctx, slotCountInterval)
		if ctx.Err() != nil {
			return
		}
		c := publisher.SlotCounts()
		if c == last {
			continue
		}
		p.log.Info("slots granted", "wishes", c.Wishes-last.Wishes, "granted", c.Granted-last.Granted, "expired", c.Expired-last.Expired, "returned", c.Returned-last.Returned)
		p.metrics.Counter("mintlift_slotgrant_wishes_total").Add(c.Wishes - last.Wishes)
		p.metrics.Counter("mintlift_slotgrant_granted_total").Add(c.Granted - last.Granted)
		p.metrics.Counter("mintlift_slotgrant_expired_total").Add(c.Expired - last.Expired)
		last = c
	}
}
