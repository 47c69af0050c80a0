// SPDX-License-Identifier: Apache-2.0

package transfer

import (
	"math/rand/v2"

	"github.com/bits-and-blooms/bitset"
)

// Picker chooses which chunk to send to a box that pulls: the one that this
// box has sent the fewest times, so that what is rare spreads first. It is
// not safe for concurrent use.
type Picker struct {
	sent []int32
	rng  *rand.Rand
}

// NewPicker returns a picker for a version of n chunks.
func NewPicker(n int, seed uint64) *Picker {
	return &Picker{sent: make([]int32, n), rng: rand.New(rand.NewPCG(seed, uint64(n)))}
}

// Pick returns a chunk of held that is not in has, or -1, and counts it as
// sent.
func (p *Picker) Pick(held, has *bitset.BitSet) int {
	useful := held.Difference(has)
	best, ties := -1, 0
	for c, ok := useful.NextSet(0); ok; c, ok = useful.NextSet(c + 1) {
		switch {
		case best < 0 || p.sent[c] < p.sent[best]:
			best, ties = int(c), 1
		case p.sent[c] == p.sent[best]:
			ties++
			if p.rng.IntN(ties) == 0 {
				best = int(c)
			}
		}
	}
	if best >= 0 {
		p.sent[best]++
	}
	return best
}
