// SPDX-License-Identifier: Apache-2.0

package transfer

import (
	"math/rand/v2"

	"github.com/bits-and-blooms/bitset"
)

// Picker chooses the chunk to send to a box that pulls: the one that this box has sent
// the fewest times. This approximates a rarest-first order. It is not safe for
// concurrent use.
type Picker struct {
	sendCounts []int32 // by chunk
	rng        *rand.Rand
}

// NewPicker returns a picker for a version of n chunks; seed determines how
// ties are broken.
func NewPicker(n int, seed uint64) *Picker {
	return &Picker{sendCounts: make([]int32, n), rng: rand.New(rand.NewPCG(seed, uint64(n)))}
}

// Pick returns the least-sent chunk of held that is not in has and counts it
// as sent. It returns -1 if there is none.
func (p *Picker) Pick(held, has *bitset.BitSet) int {
	candidates := held.Difference(has)
	best, ties := -1, 0
	for c, ok := candidates.NextSet(0); ok; c, ok = candidates.NextSet(c + 1) {
		switch {
		case best < 0 || p.sendCounts[c] < p.sendCounts[best]:
			best, ties = int(c), 1
		case p.sendCounts[c] == p.sendCounts[best]:
			ties++
			if p.rng.IntN(ties) == 0 {
				best = int(c)
			}
		}
	}
	if best >= 0 {
		p.sendCounts[best]++
	}
	return best
}
