// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A gateway watches a part of a large service's engines: it subscribes to their
// reports and chooses among them. Otherwise the number of reports, most of them
// across regions, and of mostly idle connections would grow with the product of
// gateways and engines. A gateway watches all engines of its own region, so that
// each engine has a watcher, and some of other regions for overflow, chosen by
// rendezvous hashing so that each has about as many watchers.
const (
	// watchTarget is how many engines a gateway watches if its own region has
	// fewer; all engines of a service of up to this size are watched.
	watchTarget = 48
	// watchRemoteMin is how many engines of other regions are watched at least,
	// in case the own region has none left.
	watchRemoteMin = 12
	// commonEndpoints is how many engines are watched by all gateways. Their
	// sidecars count the gateways, which share the retry budget, and relay
	// messages between gateways. There are enough of them that a loss of many
	// boxes rarely includes all.
	commonEndpoints = 5
)

// Place is the location of a gateway.
type Place struct {
	// Box is the name of the gateway's box, which seeds its rendezvous hashes.
	Box  string
	Zone string
	// Regions maps availability zones to regions; a zone that is missing is a
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

// watched returns the endpoints of a service that the gateway watches.
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

// selectWatched selects the endpoints of a large service to watch.
func (f *Fleet) selectWatched(all []*Endpoint) []*Endpoint {
	var local, remote []*Endpoint
	for _, e := range all {
		if f.place.region(e.Zone) == f.place.region(f.place.Zone) {
			local = append(local, e)
			continue
		}
		remote = append(remote, e)
	}
	weight := func(e *Endpoint) uint64 { return xxhash.Sum64String(f.place.Box + "/" + e.ID) }
	remote = lowestWeight(remote, max(watchRemoteMin, watchTarget-len(local)), weight)
	out := append(local, remote...)
	for _, e := range rankByAddress(all, commonEndpoints) {
		if !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// rankByAddress returns the first n endpoints in a rendezvous order that is the same
// on all gateways. It hashes the address, which an endpoint and its sidecar keep
// across a restart.
func rankByAddress(all []*Endpoint, n int) []*Endpoint {
	return lowestWeight(slices.Clone(all), n, func(e *Endpoint) uint64 { return xxhash.Sum64String(e.Address) })
}

// Relays returns the addresses of up to commonEndpoints endpoints of a service
// that all gateways watch: those with a fresh report, or all of them if none has.
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

// PermitAllocator returns the address of the relay whose sidecar grants permits for the
// rate limit of the endpoint with the given id, which has no sidecar of its own.
// Gateways with the same relays get the same result. It is empty without relays.
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

// lowestWeight returns the n endpoints with the lowest weights, in order; it
// reorders list.
func lowestWeight(list []*Endpoint, n int, weight func(*Endpoint) uint64) []*Endpoint {
	slices.SortFunc(list, func(a, b *Endpoint) int { return cmp.Compare(weight(a), weight(b)) })
	return list[:min(n, len(list))]
}

// invalidateWatched discards the cached watched endpoints of a service.
func (f *Fleet) invalidateWatched(service string) { delete(f.watchedByService, service) }
