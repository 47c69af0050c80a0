// SPDX-License-Identifier: Apache-2.0

package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Minimum sizes for Subset.
const (
	// SubsetMin is the minimum number of endpoints that a gateway uses of a group.
	SubsetMin = 8
	// subsetCover is the minimum number of gateways that use each endpoint.
	subsetCover = 3
)

// Subset returns the endpoints of a group that a gateway uses. If there are at most
// SubsetMin endpoints or at most subsetCover gateways, it returns all endpoints.
// Otherwise it selects by rendezvous hashing: each endpoint is assigned to the
// subsetCover gateways with the highest weights, so that no endpoint is left without
// requests, and each gateway also uses the SubsetMin endpoints with the highest weights.
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

// pairWeight returns the weight by which Subset ranks a gateway and an endpoint: a
// hash of both names.
func pairWeight(gateway, endpoint string) uint64 {
	return xxhash.Sum64String(gateway + "\x00" + endpoint)
}
