// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"math/rand/v2"
	"time"
)

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
