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
// gateway, and the gateways that each engine's sidecar reports to. Most watched engines
// are of the gateway's own region, and some of other regions, for overflow. They are
// selected by rendezvous hashing, which spreads the gateways evenly over the engines.
const (
	// watchTarget is the number of engines that a gateway watches. Of a service with at
	// most this many engines it watches all.
	watchTarget = 48
	// watchRemoteMin is the usual minimum number of watched engines in other regions, for
	// the case that all engines of the gateway's region fail.
	watchRemoteMin = 12
	// regionRemoteTotal bounds the engines of other regions that the gateways of a region
	// watch together, each counted once for each gateway. Their reports cross the links
	// between regions, whose bandwidth does not grow with the number of gateways.
	regionRemoteTotal = 480
	// watchRemoteLeast is the number of engines in other regions that a gateway watches
	// even if its region exceeds regionRemoteTotal.
	watchRemoteLeast = 3
	// commonEndpoints is the number of engines whose sidecars all gateways contact. These
	// sidecars count the gateways and relay messages between them. There are enough of
	// them that hardly ever all fail together when many boxes fail at once.
	commonEndpoints = 5
	// minWatchers is the number of gateways of its own region, or all if there are fewer,
	// that watch an engine at least. Few gateways with many engines each watch more than
	// watchTarget.
	minWatchers = 6
	// relayTTL is the maximum age of the last report of a sidecar that relays messages
	// between gateways. It covers two notices of a gateway that does not watch the engine.
	relayTTL = 3500 * time.Millisecond
)

// Place is the location of a gateway.
type Place struct {
	// Box is the name of the gateway's box, which seeds its rendezvous hashes.
	Box  string
	Zone string
	// Regions maps availability zones to regions. A zone without an entry is a
	// region of its own.
	Regions map[string]string
	// StartedAt is when the gateway started. What sidecars reported before that is unknown
	// to it; see Endpoint.HeldVersion. If it is zero, listed versions are used at once.
	StartedAt time.Time
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
	for _, e := range all {
		switch {
		case e.evacuated:
		case f.local(e):
			local = append(local, e)
		default:
			remote = append(remote, e)
		}
	}
	weight := func(e *Endpoint) uint64 { return xxhash.Sum64String(f.place.Box + "/" + e.ID) }
	receiving := len(local)
	local = f.selectLocal(local, weight)
	remote = lowestWeight(remote, f.remoteCount(receiving), weight)
	return append(local, remote...)
}

// remoteCount returns the number of watched engines in other regions, if the own region has
// the given number of engines. That number is low after a start, while the list is read.
func (f *Fleet) remoteCount(local int) int {
	wanted := max(watchRemoteMin, watchTarget-local)
	if len(f.localGateways) == 0 {
		return wanted
	}
	return min(wanted, max(watchRemoteLeast, regionRemoteTotal/len(f.localGateways)))
}

// selectLocal selects the watched ones of the endpoints of the gateway's own region: those
// of the lowest weight, and those that it is one of the minWatchers of. While the
// gateways of the region are unknown, these are all.
func (f *Fleet) selectLocal(local []*Endpoint, weight func(*Endpoint) uint64) []*Endpoint {
	if len(f.localGateways) == 0 {
		return local
	}
	local = lowestWeight(local, len(local), weight)
	n := min(len(local), watchTarget-watchRemoteMin)
	out := local[:n:n]
	own := xxhash.Sum64String(f.place.Box)
	for _, e := range local[n:] {
		if f.covers(own, xxhash.Sum64String(e.ID)) {
			out = append(out, e)
		}
	}
	return out
}

// local reports whether an endpoint is in the gateway's own region.
func (f *Fleet) local(e *Endpoint) bool { return e.region == f.place.region(f.place.Zone) }

// SetLocalGateways sets the IP addresses of the gateways of this gateway's region.
func (f *Fleet) SetLocalGateways(ips []string) {
	f.localGateways = f.localGateways[:0]
	for _, ip := range ips {
		f.localGateways = append(f.localGateways, xxhash.Sum64String(ip))
	}
	clear(f.watchedByService)
}

// Unwatched returns the addresses of the endpoints of a service that the gateway does not
// watch, but whose sidecars it contacts: those common to all gateways.
func (f *Fleet) Unwatched(service string) []string {
	all := f.byService[service]
	if len(all) <= watchTarget {
		return nil
	}
	watched := f.watched(service)
	var out []string
	for _, e := range rankByAddress(all, commonEndpoints) {
		if !slices.Contains(watched, e) {
			out = append(out, e.Address)
		}
	}
	return out
}

// covers reports whether the gateway with the hash own is one of the minWatchers of an
// endpoint with the hash endpoint.
func (f *Fleet) covers(own, endpoint uint64) bool {
	before := 0
	for _, gateway := range f.localGateways {
		if rendezvous(gateway, endpoint) < rendezvous(own, endpoint) {
			before++
		}
	}
	return before < minWatchers
}

// rendezvous returns the rendezvous weight of two hashes.
func rendezvous(gateway, endpoint uint64) uint64 {
	// The finalizer of SplitMix64.
	h := gateway ^ endpoint*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// rankByAddress returns the first n endpoints in an order by the hash of their
// addresses. All gateways compute the same order, and a restart does not change it.
func rankByAddress(all []*Endpoint, n int) []*Endpoint {
	return lowestWeight(slices.Clone(all), n, func(e *Endpoint) uint64 { return xxhash.Sum64String(e.Address) })
}

// Relays returns the addresses of up to commonEndpoints endpoints of a service whose
// sidecars all gateways contact. These relay messages between gateways. Endpoints
// without a recent report are left out, unless none has one.
func (f *Fleet) Relays(service string, now time.Time) []string {
	all := f.byService[service]
	common, ttl := rankByAddress(all, len(all)), reportTTL
	if len(all) > watchTarget {
		common, ttl = common[:commonEndpoints], relayTTL
	}
	reporting := slices.DeleteFunc(slices.Clone(common), func(e *Endpoint) bool { return !e.reportedWithin(ttl, now) })
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

// endpointsChanged discards what is cached of the endpoints of a service.
func (f *Fleet) endpointsChanged(service string) {
	delete(f.watchedByService, service)
	delete(f.openRegions, service)
}
