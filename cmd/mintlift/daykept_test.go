// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// keptDays are drawn days that have broken a rule, as they were printed.
var keptDays = []day{
	// Streams and plain requests were cut at endpoints that stood still one after another.
	{Seed: 4, Zones: 2, Gateways: 2, Engines: 2, Plain: 1, Slots: 11, Load: 0.6535527250468668, Ratio: 0.19998963322848884, Slack: 14, Length: 7503 * time.Millisecond, Troubles: []trouble{
		{At: 3303 * time.Millisecond, Kind: nameVersion, N: 0, For: 0 * time.Millisecond},
		{At: 4415 * time.Millisecond, Kind: silentEndpoint, N: 2, For: 1678 * time.Millisecond},
		{At: 4951 * time.Millisecond, Kind: silentEndpoint, N: 0, For: 1799 * time.Millisecond},
		{At: 5487 * time.Millisecond, Kind: silentEndpoint, N: 1, For: 1710 * time.Millisecond},
	}},
}

func TestKeptDaysOnVirtualTime(t *testing.T) {
	for _, d := range keptDays {
		t.Run(fmt.Sprint("seed-", d.Seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playDay(t, d, &dayTotals{}) })
		})
	}
}
