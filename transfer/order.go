// SPDX-License-Identifier: Apache-2.0

package transfer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// orderRanks is how many boxes of each chunk's rendezvous order an Order
// keeps.
const orderRanks = 8

// Order is the rendezvous order of a plan: for each region and chunk, the
// boxes that fetch the chunk first, by rank. It follows from the plan
// alone, so all boxes hold the same one.
type Order struct {
	first map[string][][]string
}

// NewOrder computes the order of p.
func NewOrder(p Params) *Order {
	o := &Order{first: make(map[string][][]string)}
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
			byRegion[region] = boxes // there is nobody else
		}
	}
	for region, boxes := range byRegion {
		o.first[region] = make([][]string, p.Chunks)
		for c := range p.Chunks {
			o.first[region][c] = ranked(c, boxes)
		}
	}
	return o
}

// closePartners is how many places of a chunk's order watch each other: who
// stands there learns at once when a box ahead does not answer, instead of
// waiting a TakeOver for it. Three dead boxes in a row are rare even where
// half of a region is gone (one chunk in eight).
const closePartners = 3

// Partners returns the boxes that share the first places of a chunk's order
// with box, which is in region. They are at most 2*closePartners for each of
// the box's chunks, whatever the size of the region, and all of a small one.
func (o *Order) Partners(region, box string) []string {
	seen := map[string]bool{box: true}
	var out []string
	for _, ranked := range o.first[region] {
		near := ranked[:min(closePartners, len(ranked))]
		if !slices.Contains(near, box) {
			continue
		}
		for _, other := range near {
			if !seen[other] {
				seen[other] = true
				out = append(out, other)
			}
		}
	}
	return out
}

type weighted struct {
	box    string
	weight uint64
}

// ranked returns the first boxes of chunk c's order.
func ranked(c int, boxes []string) []string {
	top := make([]weighted, 0, orderRanks+1)
	for _, box := range boxes {
		w := weighted{box: box, weight: weight(c, box)}
		if len(top) == orderRanks && top[orderRanks-1].weight >= w.weight {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, w, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
		top = slices.Insert(top, at, w)
		top = top[:min(len(top), orderRanks)]
	}
	out := make([]string, len(top))
	for i, w := range top {
		out[i] = w.box
	}
	return out
}

// rankAmong is the place of box in chunk c's order among itself and peers.
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

// weight is the rendezvous weight of a box for a chunk.
func weight(c int, box string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(c))
	_, _ = d.WriteString(box) // never fails
	return d.Sum64()
}
