// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/mintlift/mintlift/fleet"
)

// subscriber is a gateway with a subscription.
type subscriber struct {
	subscribedAt time.Time
	region       string
	demand       float64 // requests a second
	// versionSum is the gateway's Notice.VersionSum.
	versionSum int64
}

// weight returns the subscriber's weight in what is shared by demand, at least
// minDemand.
func (s subscriber) weight() float64 { return s.demand + minDemand }

// minDemand is the minimum weight of a gateway, in requests a second.
const minDemand = 1.0

// demandPosition is a gateway's position in the order in which gateways may use the
// free capacity that a report shows.
type demandPosition struct {
	// share is the gateway's fraction of the total demand. ahead is the demand that
	// may be served before its own, in units of the average gateway's demand.
	share, ahead float64
}

// demandPositionsLocked draws a random order of the subscribers for one report, in
// which a gateway with more demand is more likely to be ahead. Publisher.mu must be
// held.
func (p *Publisher) demandPositionsLocked() map[netip.AddrPort]demandPosition {
	type entry struct {
		to     netip.AddrPort
		weight float64
		key    float64
	}
	total := 0.0
	entries := make([]entry, 0, len(p.subs))
	for to, s := range p.subs {
		w := s.weight()
		total += w
		entries = append(entries, entry{to, w, rand.ExpFloat64() / w})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.key, b.key) })
	out := make(map[netip.AddrPort]demandPosition, len(entries))
	ahead := 0.0
	for _, e := range entries {
		share := e.weight / total
		out[e.to] = demandPosition{share: share, ahead: ahead * float64(len(entries))}
		ahead += share
	}
	return out
}

// withDemandPosition returns the report for one gateway.
func withDemandPosition(r fleet.Report, position demandPosition) fleet.Report {
	r.DemandShare, r.DemandAhead = round2(position.share), round2(position.ahead)
	return r
}

// round2 rounds to two decimals, which keeps datagrams short.
func round2(v float64) float64 { return math.Round(v*100) / 100 }
