// SPDX-License-Identifier: Apache-2.0

package admission

import "time"

// lateMin is the decaying number of late requests sent below which their rate is not known.
const lateMin = 2.0

// RecordLateSent counts a late request that got a slot.
func (c *Controller) RecordLateSent(now time.Time) {
	c.update(now)
	c.lateSent++
}

// LateRate returns the recent rate at which late requests got slots, per second, or the
// rate of all first attempts while too few late ones were counted.
func (c *Controller) LateRate(now time.Time) float64 {
	rate := c.SendRate(now)
	if c.lateSent >= lateMin {
		rate = c.lateSent / countDecay.Seconds()
	}
	return rate
}

// LateMayWait reports whether a late request with a number of others before it can be
// expected to get a slot within left.
func (c *Controller) LateMayWait(before int, left time.Duration, now time.Time) bool {
	return float64(before+1) <= c.LateRate(now)*left.Seconds()
}
