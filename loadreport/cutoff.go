// SPDX-License-Identifier: Apache-2.0

package loadreport

import "time"

// CutoffMargin returns the shortest time from the routing cutoff of a target version to its
// deadline that a current subscriber, which is a gateway, has sent, or 0 if all use the
// usual time. Until then a gateway may send requests to older versions.
func (p *Publisher) CutoffMargin(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	shortest := time.Duration(0)
	for _, s := range p.subs {
		if s.cutoffMargin > 0 && now.Sub(s.subscribedAt) <= subscriptionTTL && (shortest == 0 || s.cutoffMargin < shortest) {
			shortest = s.cutoffMargin
		}
	}
	return shortest
}
