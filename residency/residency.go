// SPDX-License-Identifier: Apache-2.0

// Package residency decides in which regions a request may be served: those that
// both its route and its workspace allow. The operator uses this to keep requests, which
// contain customers' data, within regions.
//
// The package does no I/O.
package residency

import (
	"slices"
	"strings"
)

// Regions is a set of regions in which a request may be served. The zero value allows
// all regions. A Regions is immutable.
type Regions struct {
	restricted bool
	names      []string // sorted; used only if restricted
}

// Of returns the set of the given regions. Without any, it allows all regions, as a route
// or workspace does that names none.
func Of(names ...string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	names = slices.Clone(names)
	slices.Sort(names)
	return Regions{restricted: true, names: slices.Compact(names)}
}

// Intersect returns the regions that both sets allow. These may be none.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.restricted:
		return other
	case !other.restricted:
		return r
	}
	return Regions{restricted: true, names: slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return !other.Allows(name) })}
}

// Allows reports whether a request may be served in a region.
func (r Regions) Allows(region string) bool {
	if !r.restricted {
		return true
	}
	_, found := slices.BinarySearch(r.names, region)
	return found
}

// Restricted reports whether any region is excluded.
func (r Regions) Restricted() bool { return r.restricted }

// AllowsAny reports whether the set contains at least one of the given regions.
func (r Regions) AllowsAny(regions []string) bool { return slices.ContainsFunc(regions, r.Allows) }

// String returns the regions separated by commas; "any" for all regions, and "none" for
// the empty set.
func (r Regions) String() string {
	switch {
	case !r.restricted:
		return "any"
	case len(r.names) == 0:
		return "none"
	default:
		return strings.Join(r.names, ",")
	}
}
