// SPDX-License-Identifier: Apache-2.0

package transfer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRanks is the maximum number of boxes that an Order stores for each chunk in each
// region. The rank of a box, from 0, is its position in the region's rendezvous order
// for the chunk. The box of rank 0 fetches the chunk into the region; the next ranks
// replace it if it fails.
const maxRanks = 8

// Order holds, for each region and chunk of a plan, the boxes responsible for fetching
// the chunk into the region (its first fetch), sorted by rendezvous hashing. It depends
// only on the plan, so all boxes compute the same order.
type Order struct {
	// ranking holds box names by region, chunk and rank.
	ranking map[string][][]string
}

// NewOrder computes the order of p. Passive boxes are ranked only in a region
// that has no other boxes.
func NewOrder(p Params) *Order {
	o := &Order{ranking: make(map[string][][]string)}
	byRegion := make(map[string][]string)
	passive := make(map[string][]string)
	for _, peer := range p.Peers {
		if peer.Passive {
			passive[peer.Region] = append(passive[peer.Region], peer.Box)
			continue
		}
		byRegion[peer.Region] = append(byRegion[peer.Region], peer.Box)
	}
	for region, boxes := range passive {
		if len(byRegion[region]) == 0 {
			byRegion[region] = boxes
		}
	}
	for region, boxes := range byRegion {
		o.ranking[region] = make([][]string, p.Chunks)
		for c := range p.Chunks {
			o.ranking[region][c] = topRanked(c, boxes)
		}
	}
	return o
}

// partnerRanks is the number of boxes that are partners for a chunk: those of the
// first ranks, which are responsible for fetching the chunk into their region.
// Partners query each other at the start of a transfer. A partner that does not respond
// is skipped at once instead of after a TakeOverDelay. Even if half of the boxes of a
// region have failed, only for one chunk in eight are all of these among them.
const partnerRanks = 3

// Partners returns the partners of box, which is in region: for each chunk for which
// box is among the first partnerRanks in the rendezvous order, the others of these. Their
// number is bounded independently of the size of the region. In a small region they
// are all other boxes.
func (o *Order) Partners(region, box string) []string {
	seen := map[string]bool{box: true}
	var out []string
	for _, ranked := range o.ranking[region] {
		leading := ranked[:min(partnerRanks, len(ranked))]
		if !slices.Contains(leading, box) {
			continue
		}
		for _, other := range leading {
			if !seen[other] {
				seen[other] = true
				out = append(out, other)
			}
		}
	}
	return out
}

// weightedBox is a box with its rendezvous weight for one chunk.
type weightedBox struct {
	box    string
	weight uint64
}

// topRanked returns the maxRanks boxes of the highest weight for chunk c, in
// descending order.
func topRanked(c int, boxes []string) []string {
	top := make([]weightedBox, 0, maxRanks+1)
	for _, box := range boxes {
		w := weightedBox{box: box, weight: weight(c, box)}
		if len(top) == maxRanks && top[maxRanks-1].weight >= w.weight {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, w, func(a, b weightedBox) int { return cmp.Compare(b.weight, a.weight) })
		top = slices.Insert(top, at, w)
		top = top[:min(len(top), maxRanks)]
	}
	out := make([]string, len(top))
	for i, w := range top {
		out[i] = w.box
	}
	return out
}

// rankAmong returns the position of box, from 0, in the rendezvous order of chunk c
// over box and peers only.
func rankAmong(c int, box string, peers []*peerState) int {
	own := weight(c, box)
	rank := 0
	for _, p := range peers {
		if weight(c, p.Box) > own {
			rank++
		}
	}
	return rank
}

// weight returns the rendezvous weight of box for chunk c, a hash of both. The box of
// the highest weight has rank 0.
func weight(c int, box string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(c))
	_, _ = d.WriteString(box) // never fails
	return d.Sum64()
}
