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

// subscriber is a gateway that gets reports.
type subscriber struct {
	subscribedAt  time.Time
	region string
	demand float64 // requests a second
	// knowledge is how much it knows of what the operator wrote.
	versionSum int64
}

// weight is the subscriber's part of what is shared by demand; one that has
// none yet gets a little.
func (s subscriber) weight() float64 { return s.demand + minDemand }

// minDemand is the least weight of a gateway, in requests a second.
const minDemand = 1.0

// turn is a gateway's place at the room that a report shows.
type demandPosition struct {
	// share is its part of the demand, and ahead how much of the demand goes
	// before it, in average gateways.
	share, ahead float64
}

// turnsLocked draws the turns for one report: who has more demand is more
// often ahead. Publisher.mu is held.
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

// withTurn is the report for one gateway.
func withDemandPosition(r fleet.Report, t demandPosition) fleet.Report {
	r.Share, r.Turn = round2(t.share), round2(t.ahead)
	return r
}

// round2 keeps datagrams short.
func round2(v float64) float64 { return math.Round(v*100) / 100 }
