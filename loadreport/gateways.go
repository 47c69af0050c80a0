// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintlift/mintlift/internal/clock"
)

// ReadersPerRegion is the number of reader gateways in a region: those that read the
// store and relay its records to the region's other gateways. The second one covers
// for a failure of the first.
const ReadersPerRegion = 2

// SelectReaders returns the IP addresses of the reader gateways among the given ones.
// It takes the lowest hashes of the addresses, so that all processes with the same
// gateways select the same readers. It reorders gateways.
func SelectReaders(gateways []string) []string {
	slices.SortFunc(gateways, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	gateways = slices.Compact(gateways)
	return gateways[:min(ReadersPerRegion, len(gateways))]
}

// readersLocked returns the IP addresses of the reader gateways, which read the store for
// the others, among the region's current subscribers. Publisher.mu must be held.
func (p *Publisher) readersLocked(region string) []string {
	local, _ := p.gatewaysLocked(region, clock.Now())
	return SelectReaders(local)
}

// gatewaysLocked returns the IP addresses of the gateways whose subscription has not
// expired, those in the region and those in other regions. Publisher.mu must be held.
func (p *Publisher) gatewaysLocked(region string, now time.Time) (local, remote []string) {
	for from, s := range p.subs {
		switch {
		case now.Sub(s.subscribedAt) > subscriptionTTL:
		case s.region == region:
			local = append(local, from.Addr().String())
		default:
			remote = append(remote, from.Addr().String())
		}
	}
	return local, remote
}

// maxVersionSumLocked returns the highest version sum among the current subscribers, which
// are gateways, and the IP address of the gateway that sent it. A version sum is the sum of
// the versions of all operator's records that a gateway holds. Versions only increase, so
// gateways with a lower sum can fetch newer records from the returned one. Without a
// subscriber the results are 0 and "". Publisher.mu must be held.
func (p *Publisher) maxVersionSumLocked(now time.Time) (versionSum int64, gateway string) {
	for from, s := range p.subs {
		if now.Sub(s.subscribedAt) <= subscriptionTTL && s.versionSum > versionSum {
			versionSum, gateway = s.versionSum, from.Addr().String()
		}
	}
	return versionSum, gateway
}

// Gateways returns the IP addresses of up to n gateways with a current subscription,
// in random order, those of the region first.
func (p *Publisher) Gateways(region string, n int, now time.Time) []string {
	p.mu.Lock()
	local, remote := p.gatewaysLocked(region, now)
	p.mu.Unlock()
	shuffle(local)
	shuffle(remote)
	all := append(local, remote...)
	return all[:min(n, len(all))]
}

// shuffle puts s into a random order.
func shuffle(s []string) { rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] }) }
