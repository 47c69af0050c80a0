// SPDX-License-Identifier: Apache-2.0

package linksim

import (
	"slices"
	"time"

	"github.com/mintlift/mintlift/transfer"
)

// scheduleFaults schedules crashes of random boxes, evenly spread over T* (see
// the package comment), and stalls of other boxes' links at random times.
func (s *sim) scheduleFaults() {
	order := s.rng.Perm(s.Boxes)
	crashes := int(s.CrashShare * float64(s.Boxes))
	for i, id := range order[:crashes] {
		b := s.boxes[id]
		s.schedule(time.Duration(float64(s.minTime)*(float64(i)+0.5)/float64(crashes)), func() { s.crash(b) })
	}
	stalls := int(s.StallShare * float64(s.Boxes))
	for _, id := range order[crashes : crashes+stalls] {
		b := s.boxes[id]
		start := time.Duration(s.rng.Float64() * float64(s.minTime))
		s.schedule(start, func() { s.setStalled(b, true) })
		s.schedule(start+s.minTime/5, func() { s.setStalled(b, false) })
	}
}

// crash ends all transfers of a box and fails the pulls queued at it.
func (s *sim) crash(b *box) {
	if b.done {
		s.finished--
	}
	b.crashed = true
	s.running--
	s.res.Crashes++
	for _, t := range slices.Clone(b.transfers) {
		s.endTransfer(t, false)
	}
	for _, id := range sortedIDs(b.queued) {
		r := b.queued[id]
		s.schedule(s.latency(r.from, b), func() { s.pullFailed(r.from, r.pull) })
	}
	clear(b.queued)
}

// sortedIDs returns the keys of m in ascending order, so that runs are
// reproducible.
func sortedIDs(m map[uint64]*pullRequest) []uint64 {
	var out []uint64
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// setStalled starts or ends a stall of a box's link.
func (s *sim) setStalled(b *box, stalled bool) {
	b.stalled = stalled
	s.updateRates(b)
}

// relativeQuantile sorts times and returns their q-quantile as a multiple of
// unit, or 0 if there are none.
func relativeQuantile(times []time.Duration, q float64, unit time.Duration) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	at := min(int(q*float64(len(times))), len(times)-1)
	return times[at].Seconds() / unit.Seconds()
}

// startPlanned starts a baseline strategy. Each box receives its chunks in
// order from a fixed parent; a box without a parent receives them from the
// origin.
func (s *sim) startPlanned() {
	for i, b := range s.boxes {
		b.nextChunk = make(map[int]int)
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
			s.schedule(0, func() { s.sendNextFromOrigin(b) })
		}
	}
}

// sendNextFromOrigin starts the transfer of a box's next chunk from the origin.
func (s *sim) sendNextFromOrigin(b *box) {
	if c := int(b.held.Count()); c < s.Chunks && !b.crashed {
		s.pulls++
		s.startTransfer(&chunkTransfer{to: b, chunk: c, pull: transfer.Pull{Kind: transfer.FromOrigin, Chunk: c}})
	}
}

// handlePlannedEnd records a chunk that arrived under a baseline strategy. It
// starts the sender's next transfer to the receiver, and the transfers of this
// chunk to the receiver's children.
func (s *sim) handlePlannedEnd(t *chunkTransfer) {
	b := t.to
	b.held.Set(uint(t.chunk))
	if int(b.held.Count()) == s.Chunks {
		s.finish(b)
	}
	if t.from == nil {
		s.sendNextFromOrigin(b)
	} else {
		s.sendNextToChild(t.from, b.id)
	}
	for _, c := range b.children {
		if n := b.nextChunk[c]; n == t.chunk {
			s.sendNextToChild(b, c)
		}
	}
}

// sendNextToChild starts the transfer of a child's next chunk, if b holds that
// chunk and is not already sending to the child.
func (s *sim) sendNextToChild(b *box, child int) {
	c := b.nextChunk[child]
	if c >= s.Chunks || !b.held.Test(uint(c)) {
		return
	}
	for _, t := range b.transfers {
		if t.from == b && t.to.id == child {
			return
		}
	}
	b.nextChunk[child] = c + 1
	s.pulls++
	s.startTransfer(&chunkTransfer{from: b, to: s.boxes[child], chunk: c})
}
