// SPDX-License-Identifier: Apache-2.0

package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a subset.
const (
	// SubsetMin is how many endpoints of a group a gateway works on at least.
	SubsetMin = 8
	// subsetCover is how many gateways work on each endpoint at least.
	subsetCover = 3
)

// Subset returns the endpoints of a group that one of several gateways
// works on: all of a small group; of a large one those that have the
// gateway among the first in their rendezvous order, so that no endpoint is
// left without work, and the first in the gateway's own order.
func Subset(gateway string, endpoints, gateways []string) []string {
	if len(endpoints) <= SubsetMin || len(gateways) <= subsetCover {
		return endpoints
	}
	own := first(endpoints, SubsetMin, func(e string) uint64 { return pairWeight(gateway, e) })
	return slices.DeleteFunc(slices.Clone(endpoints), func(e string) bool {
		theirs := first(gateways, subsetCover, func(g string) uint64 { return pairWeight(g, e) })
		return !slices.Contains(own, e) && !slices.Contains(theirs, gateway)
	})
}

// first returns the n names of the highest weight.
func first(names []string, n int, weight func(string) uint64) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return ranked[:n]
}

func pairWeight(gateway, endpoint string) uint64 {
	return xxhash.Sum64String(gateway + "\x00" + endpoint)
}
