// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintlift/mintlift/residency"
)

// Of a large service, a gateway watches only some engines: it subscribes to their
// load reports and chooses among them. This bounds the reports and connections per
// gateway. A gateway watches all engines of its own region, and some of other
// regions for overflow. The latter are selected by rendezvous hashing, which spreads
// the gateways evenly over the engines.
const (
	// watchTarget is the number of engines that a gateway watches, unless its own
	// region has more. Of a service with at most this many engines it watches all.
	watchTarget = 48
	// watchRemoteMin is the minimum number of watched engines in other regions, for
	// the case that all engines of the gateway's region fail.
	watchRemoteMin = 12
	// commonEndpoints is the number of engines that every gateway watches. The
	// sidecars of these engines count the gateways and relay messages between them.
	commonEndpoints = 5
)

// Place is the location of a gateway.
type Place struct {
	// Box is the name of the gateway's box, which seeds its rendezvous hashes.
	Box  string
	Zone string
	// Regions maps availability zones to regions. A zone without an entry is a
	// region of its own.
	Regions map[string]string
}

// region returns the region of an availability zone.
func (p *Place) region(zone string) string {
	if r, ok := p.Regions[zone]; ok {
		return r
	}
	return zone
}

// HasAny reports whether any region of the deployment is among the given ones.
func (p *Place) HasAny(regions residency.Regions) bool {
	if !regions.Restricted() || regions.Allows(p.region(p.Zone)) {
		return true
	}
	return regions.AllowsAny(slices.Collect(maps.Values(p.Regions)))
}

// watched returns the endpoints of a service whose load reports the gateway
// subscribes to, and among which it chooses.
func (f *Fleet) watched(service string) []*Endpoint {
	all := f.byService[service]
	if len(all) <= watchTarget {
		return all
	}
	if list, ok := f.watchedByService[service]; ok {
		return list
	}
	list := f.selectWatched(all)
	f.watchedByService[service] = list
	return list
}

// selectWatched selects the endpoints of a large service to watch. Endpoints of evacuated
// zones do not count: while the gateway's own zone is evacuated, it watches as many in
// other regions as if it had none in its own.
func (f *Fleet) selectWatched(all []*Endpoint) []*Endpoint {
	var local, remote []*Endpoint
	receiving := 0
	for _, e := range all {
		switch {
		case e.region == f.place.region(f.place.Zone):
			local = append(local, e)
			if !e.evacuated {
				receiving++
			}
		case !e.evacuated:
			remote = append(remote, e)
		}
	}
	weight := func(e *Endpoint) uint64 { return xxhash.Sum64String(f.place.Box + "/" + e.ID) }
	remote = lowestWeight(remote, max(watchRemoteMin, watchTarget-receiving), weight)
	out := append(local, remote...)
	for _, e := range rankByAddress(all, commonEndpoints) {
		if !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// rankByAddress returns the first n endpoints in an order by the hash of their
// addresses. All gateways compute the same order, and a restart does not change it.
func rankByAddress(all []*Endpoint, n int) []*Endpoint {
	return lowestWeight(slices.Clone(all), n, func(e *Endpoint) uint64 { return xxhash.Sum64String(e.Address) })
}

// Relays returns the addresses of up to commonEndpoints endpoints of a service that
// all gateways watch. Their sidecars relay messages between gateways. Endpoints
// without a fresh report are left out, unless none has one.
func (f *Fleet) Relays(service string, now time.Time) []string {
	all := f.byService[service]
	watched := commonEndpoints
	if len(all) <= watchTarget {
		watched = len(all)
	}
	common := rankByAddress(all, watched)
	reporting := slices.DeleteFunc(slices.Clone(common), func(e *Endpoint) bool { return !e.fresh(now) })
	if len(reporting) == 0 {
		reporting = common
	}
	var out []string
	for _, e := range reporting[:min(commonEndpoints, len(reporting))] {
		out = append(out, e.Address)
	}
	return out
}

// PermitAllocator returns the address, one of relays, whose sidecar grants gateways
// permits for requests to the endpoint with the given id. It is for endpoints with a
// rate limit and no sidecar of their own. relays is a result of Relays. Gateways with
// the same relays get the same result, which is empty if there are no relays.
func PermitAllocator(relays []string, id string) string {
	weight := func(address string) uint64 { return xxhash.Sum64String(id + "/" + address) }
	best := ""
	for _, address := range relays {
		if best == "" || weight(address) < weight(best) {
			best = address
		}
	}
	return best
}

// lowestWeight sorts list by ascending weight, such as a rendezvous hash, and returns
// its first n endpoints.
func lowestWeight(list []*Endpoint, n int, weight func(*Endpoint) uint64) []*Endpoint {
	slices.SortFunc(list, func(a, b *Endpoint) int { return cmp.Compare(weight(a), weight(b)) })
	return list[:min(n, len(list))]
}

// invalidateWatched discards the cached watched endpoints of a service.
func (f *Fleet) invalidateWatched(service string) { delete(f.watchedByService, service) }
