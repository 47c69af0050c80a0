// SPDX-License-Identifier: Apache-2.0

package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a subset.
const (
	// SubsetMin is the minimum number of endpoints that a gateway uses of a group.
	SubsetMin = 8
	// subsetCover is the minimum number of gateways that use each endpoint.
	subsetCover = 3
)

// Subset returns the endpoints of a group that a gateway uses. Of a small group, or
// with few gateways, these are all. Otherwise they are chosen by rendezvous hashing:
// the endpoints that rank the gateway among their first subsetCover, so that each
// endpoint is used, and the first SubsetMin in the gateway's own ranking.
func Subset(gateway string, endpoints, gateways []string) []string {
	if len(endpoints) <= SubsetMin || len(gateways) <= subsetCover {
		return endpoints
	}
	own := highestWeight(endpoints, SubsetMin, func(e string) uint64 { return pairWeight(gateway, e) })
	return slices.DeleteFunc(slices.Clone(endpoints), func(e string) bool {
		ranked := highestWeight(gateways, subsetCover, func(g string) uint64 { return pairWeight(g, e) })
		return !slices.Contains(own, e) && !slices.Contains(ranked, gateway)
	})
}

// highestWeight returns the n names with the highest weights; names must hold at
// least n.
func highestWeight(names []string, n int, weight func(string) uint64) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return ranked[:n]
}

// pairWeight returns the rendezvous weight of a gateway and an endpoint.
func pairWeight(gateway, endpoint string) uint64 {
	return xxhash.Sum64String(gateway + "\x00" + endpoint)
}
