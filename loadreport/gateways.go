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

// Readers is how many gateways of a region read the list of endpoints from
// the store: one that dies or stands still leaves another.
const ReadersPerRegion = 2

// FirstReaders returns the first of the gateways, given by IP number, in the
// order that all compute alike; it reorders gateways.
func SelectReaders(gateways []string) []string {
	slices.SortFunc(gateways, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	gateways = slices.Compact(gateways)
	return gateways[:min(ReadersPerRegion, len(gateways))]
}

// readersLocked returns the first gateways of a region that subscribed
// lately. Publisher.mu is held.
func (p *Publisher) readersLocked(region string) []string {
	near, _ := p.gatewaysLocked(region, clock.Now())
	return SelectReaders(near)
}

// gatewaysLocked returns the IP numbers of the gateways that subscribed
// lately, those of the region apart. Publisher.mu is held.
func (p *Publisher) gatewaysLocked(region string, now time.Time) (near, far []string) {
	for from, s := range p.subs {
		switch {
		case now.Sub(s.subscribedAt) > subscriptionTTL:
		case s.region == region:
			near = append(near, from.Addr().String())
		default:
			far = append(far, from.Addr().String())
		}
	}
	return near, far
}

// knowsMostLocked returns the most that a gateway knows which subscribed lately,
// and its IP number. Publisher.mu is held.
func (p *Publisher) maxVersionSumLocked(now time.Time) (knowledge int64, knower string) {
	for from, s := range p.subs {
		if now.Sub(s.subscribedAt) <= subscriptionTTL && s.versionSum > knowledge {
			knowledge, knower = s.versionSum, from.Addr().String()
		}
	}
	return knowledge, knower
}

// Gateways returns the IP numbers of up to n gateways that subscribed lately, drawn
// at random, those of the region first.
func (p *Publisher) Gateways(region string, n int, now time.Time) []string {
	p.mu.Lock()
	near, far := p.gatewaysLocked(region, now)
	p.mu.Unlock()
	shuffle(near)
	shuffle(far)
	all := append(near, far...)
	return all[:min(n, len(all))]
}

func shuffle(s []string) { rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] }) }
