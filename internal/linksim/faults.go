// SPDX-License-Identifier: Apache-2.0

package linksim

import (
	"slices"
	"time"

	"github.com/mintlift/mintlift/transfer"
)

// scheduleFaults draws the deaths, spread evenly over the floor on time,
// and the stalls, from random moments.
func (s *sim) scheduleFaults() {
	order := s.rng.Perm(s.Boxes)
	deaths := int(s.DeathShare * float64(s.Boxes))
	for i, id := range order[:deaths] {
		b := s.boxes[id]
		s.after(time.Duration(float64(s.floor)*(float64(i)+0.5)/float64(deaths)), func() { s.die(b) })
	}
	stalls := int(s.StallShare * float64(s.Boxes))
	for _, id := range order[deaths : deaths+stalls] {
		b := s.boxes[id]
		from := time.Duration(s.rng.Float64() * float64(s.floor))
		s.after(from, func() { s.stall(b, true) })
		s.after(from+s.floor/5, func() { s.stall(b, false) })
	}
}

func (s *sim) die(b *box) {
	if b.done {
		s.finished--
	}
	b.dead = true
	s.living--
	s.res.Deaths++
	for _, f := range s.ordered(b.active) {
		s.land(f, false)
	}
	for _, id := range sortedIDs(b.waiting) {
		r := b.waiting[id]
		s.after(s.latency(r.from, b), func() { s.failed(r.from, r.pull) })
	}
	clear(b.waiting)
}

func sortedIDs(m map[uint64]*request) []uint64 {
	var out []uint64
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (s *sim) stall(b *box, on bool) {
	b.stalled = on
	s.reshare(b)
}

func quantile(times []time.Duration, q float64, floor time.Duration) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	at := min(int(q*float64(len(times))), len(times)-1)
	return times[at].Seconds() / floor.Seconds()
}

// planned builds the baselines: each box gets its chunks in order from one
// parent that was planned ahead.
func (s *sim) planned() {
	for i, b := range s.boxes {
		b.next = make(map[int]int)
		switch s.Strategy {
		case Chain:
			if i+1 < len(s.boxes) {
				b.children = []int{i + 1}
			}
		case Tree:
			for _, c := range []int{2*i + 1, 2*i + 2} {
				if c < len(s.boxes) {
					b.children = append(b.children, c)
				}
			}
		}
		if s.Strategy == OriginOnly || i == 0 {
			s.after(0, func() { s.originNext(b) })
		}
	}
}

// originNext sends the box its next chunk from the origin.
func (s *sim) originNext(b *box) {
	if c := int(b.held.Count()); c < s.Chunks && !b.dead {
		s.pulls++
		s.launch(&flight{to: b, chunk: c, pull: transfer.Pull{Kind: transfer.FromOrigin, Chunk: c}})
	}
}

func (s *sim) plannedLanded(f *flight) {
	b := f.to
	b.held.Set(uint(f.chunk))
	if int(b.held.Count()) == s.Chunks {
		s.finish(b)
	}
	if f.from == nil {
		s.originNext(b)
	} else {
		s.pass(f.from, b.id)
	}
	for _, c := range b.children {
		if n := b.next[c]; n == f.chunk {
			s.pass(b, c)
		}
	}
}

// pass sends a child its next chunk, if the parent holds it already.
func (s *sim) pass(b *box, child int) {
	c := b.next[child]
	if c >= s.Chunks || !b.held.Test(uint(c)) {
		return
	}
	for f := range b.active {
		if f.from == b && f.to.id == child {
			return
		}
	}
	b.next[child] = c + 1
	s.pulls++
	s.launch(&flight{from: b, to: s.boxes[child], chunk: c})
}
