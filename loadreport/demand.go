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

// subscriber is a gateway that subscribes to the reports of this sidecar.
type subscriber struct {
	subscribedAt time.Time
	region       string
	demand       float64 // requests per second that the gateway receives for the service
	// versionSum is the gateway's Notice.VersionSum: a higher sum means newer records.
	versionSum int64
	// unwatched is the gateway's Notice.Unwatched: it gets no reports.
	unwatched bool
	// cutoffMargin is the gateway's Notice.CutoffMarginMS.
	cutoffMargin time.Duration
}

// weight returns the subscriber's weight when the endpoint's free capacity is divided
// among the gateways: its demand plus minDemand, in requests per second.
func (s subscriber) weight() float64 { return s.demand + minDemand }

// minDemand is the weight of a gateway without demand, in requests per second. It lets
// such a gateway use some of the free capacity.
const minDemand = 1.0

// demandPosition is a gateway's position in the order in which the gateways may use
// the free capacity of the endpoint that a report describes.
type demandPosition struct {
	// share is the gateway's fraction of the sum of all weights. ahead is the demand
	// of the gateways that come first, in units of the average gateway's demand.
	share, ahead float64
	// gatewaysAhead is the number of the gateways that come first. Unlike ahead, it counts
	// those with little demand in full.
	gatewaysAhead int
}

// demandPositionsLocked returns the positions of all subscribers that watch the engine, in
// a new random order.
// A gateway with more demand is more likely to come early. Publisher.mu must be held.
func (p *Publisher) demandPositionsLocked() map[netip.AddrPort]demandPosition {
	type entry struct {
		to      netip.AddrPort
		weight  float64
		sortKey float64 // the lowest comes first
	}
	total := 0.0
	entries := make([]entry, 0, len(p.subs))
	for to, s := range p.subs {
		if s.unwatched {
			continue
		}
		w := s.weight()
		total += w
		entries = append(entries, entry{to, w, rand.ExpFloat64() / w})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.sortKey, b.sortKey) })
	out := make(map[netip.AddrPort]demandPosition, len(entries))
	ahead := 0.0
	for n, e := range entries {
		share := e.weight / total
		out[e.to] = demandPosition{share: share, ahead: ahead * float64(len(entries)), gatewaysAhead: n}
		ahead += share
	}
	return out
}

// withDemandPosition returns r with the demand position of the gateway that receives it.
func withDemandPosition(r fleet.Report, position demandPosition) fleet.Report {
	r.DemandShare, r.DemandAhead, r.GatewaysAhead = round2(position.share), round2(position.ahead), position.gatewaysAhead
	return r
}

// round2 rounds to two decimals, which keeps the JSON encoding short.
func round2(v float64) float64 { return math.Round(v*100) / 100 }
