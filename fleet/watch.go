// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A gateway watches a part of a large service's engines: it subscribes to
// their reports and chooses among them. Every gateway watching every engine
// costs reports by the product of both, four fifths of them across regions
// where there are five, and leaves each pair a connection that is used every
// few seconds and closed between. A gateway watches all of its own region, so
// that no engine is without a watcher; the engines elsewhere, which take what
// a region has too much, are divided by rendezvous, so that each has about as
// many watchers as any other.
const (
	// watchedEngines is up to how many a gateway watches engines of other
	// regions; a service of fewer is watched whole.
	watchedEngines = 48
	// watchedFar engines outside the own region are watched in any case, for
	// the day on which that has none left.
	watchedFar = 12
	// census is how many engines all gateways watch, the same ones: their
	// sidecars know how many gateways there are, which share the retry budget,
	// and pass on what gateways tell each other. So many that hardly ever all of
	// them are gone when many boxes go at once.
	census = 5
)

// Place is where a gateway is.
type Place struct {
	// Box is its own name, by which engines are divided among gateways.
	Box  string
	Zone string
	// Regions are the regions of the availability zones; a zone that it does
	// not name is a region of its own.
	Regions map[string]string
}

func (p *Place) region(zone string) string {
	if r, ok := p.Regions[zone]; ok {
		return r
	}
	return zone
}

// watched returns the endpoints of a service that the gateway watches.
func (f *Fleet) watched(service string) []*Endpoint {
	all := f.byService[service]
	if len(all) <= watchedEngines {
		return all
	}
	if list, ok := f.watching[service]; ok {
		return list
	}
	list := f.choosePart(all)
	f.watching[service] = list
	return list
}

// choosePart chooses what to watch of a large service.
func (f *Fleet) choosePart(all []*Endpoint) []*Endpoint {
	var near, far []*Endpoint
	for _, e := range all {
		if f.place.region(e.Zone) == f.place.region(f.place.Zone) {
			near = append(near, e)
			continue
		}
		far = append(far, e)
	}
	own := func(e *Endpoint) uint64 { return xxhash.Sum64String(f.place.Box + "/" + e.ID) }
	far = first(far, max(watchedFar, watchedEngines-len(near)), own)
	out := append(near, far...)
	for _, e := range byAddress(all, census) {
		if !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// byAddress returns the first n endpoints in an order that all gateways compute
// alike. It goes by address, which an endpoint that starts again keeps, and its
// sidecar with it.
func byAddress(all []*Endpoint, n int) []*Endpoint {
	return first(slices.Clone(all), n, func(e *Endpoint) uint64 { return xxhash.Sum64String(e.Address) })
}

// Relays returns the addresses of up to census endpoints of a service that all
// gateways watch: the first whose sidecars are heard, or the first if none is.
func (f *Fleet) Relays(service string, now time.Time) []string {
	all := f.byService[service]
	watched := census
	if len(all) <= watchedEngines {
		watched = len(all)
	}
	common := byAddress(all, watched)
	heard := slices.DeleteFunc(slices.Clone(common), func(e *Endpoint) bool { return !e.fresh(now) })
	if len(heard) == 0 {
		heard = common
	}
	var out []string
	for _, e := range heard[:min(census, len(heard))] {
		out = append(out, e.Address)
	}
	return out
}

// Dealer returns the address of the endpoint, of those whose sidecars all gateways
// watch, whose sidecar deals out the limit of another that has none beside it; all
// gateways choose alike. It is empty if there is none.
func Dealer(relays []string, id string) string {
	weight := func(address string) uint64 { return xxhash.Sum64String(id + "/" + address) }
	best := ""
	for _, address := range relays {
		if best == "" || weight(address) < weight(best) {
			best = address
		}
	}
	return best
}

// first returns the n endpoints of the least weight; it reorders list.
func first(list []*Endpoint, n int, weight func(*Endpoint) uint64) []*Endpoint {
	slices.SortFunc(list, func(a, b *Endpoint) int { return cmp.Compare(weight(a), weight(b)) })
	return list[:min(n, len(list))]
}

// changedService forgets what is watched of a service whose endpoints have
// changed.
func (f *Fleet) changedService(service string) { delete(f.watching, service) }
