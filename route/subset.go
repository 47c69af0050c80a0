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
	// subsetCover is how many gateways work on each endpoint on average.
	subsetCover = 3
)

// Subset returns the endpoints of a group that one of several gateways
// works on: the first by rendezvous, so that gateways share a large group
// and all of a small one.
func Subset(gateway string, endpoints []string, gateways int) []string {
	size := max(SubsetMin, (subsetCover*len(endpoints)+gateways-1)/max(gateways, 1))
	if size >= len(endpoints) {
		return endpoints
	}
	ranked := slices.Clone(endpoints)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(gateway+"\x00"+b), xxhash.Sum64String(gateway+"\x00"+a))
	})
	return ranked[:size]
}
