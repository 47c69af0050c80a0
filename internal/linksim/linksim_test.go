// SPDX-License-Identifier: Apache-2.0

package linksim

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// committedFile is the transfer table in JSON: an array of Row.
const committedFile = "../../docs/transfer.json"

// committedRows reads the transfer table from docs/transfer.json.
func committedRows(t *testing.T) []Row {
	t.Helper()
	b, err := os.ReadFile(committedFile)
	assert.NilError(t, err)
	var out []Row
	assert.NilError(t, json.Unmarshal(b, &out))
	return out
}

// findRow returns the row with the given name and number of boxes, or fails the test.
func findRow(t *testing.T, all []Row, name string, boxes int) Row {
	t.Helper()
	for _, r := range all {
		if r.Name == name && r.Boxes == boxes {
			return r
		}
	}
	t.Fatalf("no row %q for %d boxes", name, boxes)
	return Row{}
}

// TestTransferBounds checks that the rows of docs/transfer.json stay within the
// bounds on transfer time and on copies read from the origin.
func TestTransferBounds(t *testing.T) {
	all := committedRows(t)
	assert.Equal(t, len(all), len(Sizes)*len(Cases(1)))
	for _, n := range Sizes {
		plain := findRow(t, all, "swarm", n)
		assert.Assert(t, plain.Max <= 1.15, "%d boxes: %.3f T*", n, plain.Max)
		assert.Assert(t, plain.OriginCopies <= 1.05, "%d boxes: %.3f copies", n, plain.OriginCopies)
		faults := findRow(t, all, "swarm, all three faults", n)
		assert.Assert(t, faults.Max <= 1.5, "%d boxes with faults: %.3f T*", n, faults.Max)
		assert.Assert(t, faults.OriginCopies <= 1.3, "%d boxes with faults: %.3f copies", n, faults.OriginCopies)
		assert.Equal(t, plain.Unfinished+faults.Unfinished, 0)
	}
	growth := findRow(t, all, "swarm", 1024).Max / findRow(t, all, "swarm", 64).Max
	assert.Assert(t, growth < 1.25, "from 64 to 1,024 boxes the time grows %.3f times", growth)
}

// TestPageAgrees checks that docs/TRANSFER.md contains the table generated from
// docs/transfer.json.
func TestPageAgrees(t *testing.T) {
	var want strings.Builder
	Markdown(&want, committedRows(t))
	b, err := os.ReadFile("../../docs/TRANSFER.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(b), want.String()))
}

// TestTransferRows checks that the simulation reproduces the rows of
// docs/transfer.json: all rows of up to 64 boxes, and two rows of 410 boxes.
func TestTransferRows(t *testing.T) {
	all := committedRows(t)
	cases := append(append(Cases(12), Cases(16)...), Cases(64)...)
	for _, c := range Cases(410) {
		if c.Name == "swarm" || c.Name == "swarm, all three faults" {
			cases = append(cases, c)
		}
	}
	for _, c := range cases {
		t.Run(strings.ReplaceAll(c.Name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			assert.DeepEqual(t, RunCase(c), findRow(t, all, c.Name, c.Config.Boxes))
		})
	}
}

// TestTransferBoundsOtherSeeds checks the bounds of TestTransferBounds with all
// faults and with other seeds than docs/transfer.json uses.
func TestTransferBoundsOtherSeeds(t *testing.T) {
	for seed := range uint64(8) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			c := baseConfig(48)
			c.Seed = 100 + seed
			c.CrashShare, c.StallShare, c.CorruptShare = 0.1, 0.1, 0.01
			r := Run(c)
			assert.Equal(t, r.Unfinished, 0)
			assert.Assert(t, r.Max <= 1.5, "%.3f T*", r.Max)
			assert.Assert(t, r.OriginCopies <= 1.3, "%.3f copies", r.OriginCopies)
		})
	}
}

// TestManyBoxesInFiveRegions checks the bounds on time, origin copies and
// cross-region copies for a version of few chunks, five regions and boxes that
// send only three chunks at a time.
func TestManyBoxesInFiveRegions(t *testing.T) {
	const regions, concurrency = 5, 3
	for _, n := range []int{120, 288} {
		r := Run(Config{
			Boxes: n, Chunks: 64, Regions: regions, Zones: regions, Window: 5 * time.Second, OriginRegions: 1,
			InZone: time.Millisecond, InRegion: time.Millisecond, CrossRegion: 2 * time.Millisecond,
			Downloads: concurrency, Slots: concurrency, QueueLength: concurrency, Seed: 1,
		})
		assert.Assert(t, r.P50 <= 1.55, "%d boxes: half after %.2f T*", n, r.P50)
		assert.Assert(t, r.Max <= 1.7, "%d boxes: all after %.2f T*", n, r.Max)
		assert.Assert(t, r.OriginCopies <= 1.1, "%d boxes: %.2f copies", n, r.OriginCopies)
		assert.Assert(t, r.CrossCopies <= 1.05*(regions-1), "%d boxes: %.2f copies between regions", n, r.CrossCopies)
	}
}
