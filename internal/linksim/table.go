// SPDX-License-Identifier: Apache-2.0

package linksim

import (
	"fmt"
	"io"
	"math"
	"sync"
	"time"
)

// Row is one row of the transfer benchmark: the table of simulated transfers
// that docs/transfer.json and docs/TRANSFER.md hold.
type Row struct {
	Name   string `json:"name"`
	Boxes  int    `json:"boxes"`
	Chunks int    `json:"chunks"`
	// Times until 50%, 95% and all of the boxes that did not crash have all
	// chunks, as multiples of T*.
	P50 float64 `json:"half"`
	P95 float64 `json:"most"`
	Max float64 `json:"all"`
	// Bytes sent by the origin and between regions, as multiples of the
	// version's size.
	OriginCopies float64 `json:"origin_copies"`
	CrossCopies  float64 `json:"cross_copies"`
	ControlBytes float64 `json:"control_bytes_a_box"`
	Unfinished   int     `json:"unfinished"` // boxes
}

// Case is a row's name and the configuration that it is simulated with.
type Case struct {
	Name   string
	Config Config
}

// Configuration common to all rows of the transfer table (see Row).
const (
	tableChunks = 1024 // chunks of the version
	// tableWindow sets the link rates (see Config.Window): a box's link carries two
	// copies of the version in this time, the origin's link four.
	tableWindow = 4 * time.Minute
	tableSeed   = 1 // seed of the random number generator
)

// baseConfig returns the configuration of a swarm of n boxes without faults.
func baseConfig(n int) Config {
	return Config{
		Boxes:         n,
		Chunks:        tableChunks,
		Regions:       2,
		Zones:         4,
		Window:        tableWindow,
		OriginRegions: 1,
		InZone:        250 * time.Microsecond,
		InRegion:      500 * time.Microsecond,
		CrossRegion:   time.Millisecond,
		Seed:          tableSeed,
	}
}

// Cases returns the cases of the transfer table for n boxes.
func Cases(n int) []Case {
	with := func(name string, change func(*Config)) Case {
		c := baseConfig(n)
		change(&c)
		return Case{Name: name, Config: c}
	}
	return []Case{
		with("origin only", func(c *Config) { c.Strategy = OriginOnly }),
		with("one chain", func(c *Config) { c.Strategy = Chain }),
		with("one tree", func(c *Config) { c.Strategy = Tree }),
		with("swarm", func(*Config) {}),
		with("swarm, one extra copy", func(c *Config) { c.ExtraCopies = 1 }),
		with("swarm, a tenth die", func(c *Config) { c.CrashShare = 0.1 }),
		with("swarm, a tenth of links stall", func(c *Config) { c.StallShare = 0.1 }),
		with("swarm, one chunk in 100 corrupt", func(c *Config) { c.CorruptShare = 0.01 }),
		with("swarm, all three faults", func(c *Config) { c.CrashShare, c.StallShare, c.CorruptShare = 0.1, 0.1, 0.01 }),
		with("swarm, all three faults, one extra copy", func(c *Config) {
			c.CrashShare, c.StallShare, c.CorruptShare, c.ExtraCopies = 0.1, 0.1, 0.01, 1
		}),
	}
}

// Sizes are the numbers of boxes for which the committed transfer table has
// rows.
var Sizes = []int{12, 16, 64, 256, 410, 1024}

// RunCase simulates one case.
func RunCase(c Case) Row {
	r := Run(c.Config)
	return Row{
		Name:         c.Name,
		Boxes:        c.Config.Boxes,
		Chunks:       c.Config.Chunks,
		P50:          roundToThousandth(r.P50),
		P95:          roundToThousandth(r.P95),
		Max:          roundToThousandth(r.Max),
		OriginCopies: roundToThousandth(r.OriginCopies),
		CrossCopies:  roundToThousandth(r.CrossCopies),
		ControlBytes: math.Round(r.ControlBytesPerBox),
		Unfinished:   r.Unfinished,
	}
}

func roundToThousandth(v float64) float64 { return math.Round(v*1000) / 1000 }

// Table simulates all cases of the given sizes, a few of them concurrently.
func Table(sizes []int) []Row {
	const concurrency = 4
	var cases []Case
	for _, n := range sizes {
		cases = append(cases, Cases(n)...)
	}
	rows := make([]Row, len(cases))
	slots := make(chan struct{}, concurrency)
	var wg sync.WaitGroup
	for i, c := range cases {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			rows[i] = RunCase(c)
			<-slots
		}()
	}
	wg.Wait()
	return rows
}

// Markdown prints rows as the table of docs/TRANSFER.md.
func Markdown(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| boxes | way | to 50% | to 95% | to all | origin copies | cross-region copies | control KB a box |")
	fmt.Fprintln(w, "|---:|---|---:|---:|---:|---:|---:|---:|")
	for _, r := range rows {
		times := fmt.Sprintf("%.3f | %.3f | %.3f", r.P50, r.P95, r.Max)
		if r.Unfinished > 0 {
			times = fmt.Sprintf("> %d | > %d | > %d (%d not done)", stopAfter, stopAfter, stopAfter, r.Unfinished)
		}
		fmt.Fprintf(w, "| %d | %s | %s | %.3f | %.3f | %.0f |\n", r.Boxes, r.Name, times, r.OriginCopies, r.CrossCopies, r.ControlBytes/1000)
	}
}
