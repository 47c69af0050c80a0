// SPDX-License-Identifier: Apache-2.0

// Package retrybudget limits the rate of retries.
//
// In any window, all gateways together may send a service no more retries than a
// ratio of its requests plus a slack. For the ratio, each gateway counts its own
// requests. The slack is divided by the highest number of gateways that may be
// running. The sum stays within the bound however many of them restart, because a
// new gateway starts with half of its share and earns the rest over a window.
package retrybudget

import "time"

// Params holds the bounds that all gateways share.
type Params struct {
	// Ratio of retries to requests.
	Ratio float64
	// Slack is how many retries all gateways together may send in a window in
	// addition.
	Slack float64
	// Window is the time over which retries are counted.
	Window time.Duration
	// Gateways is the number by which the slack is divided.
	Gateways int
}

// Margins keep a budget below its bound, to allow for retries of other gateways and
// at the edges of windows.
const (
	ratioMargin = 0.6
	slackMargin = 0.5
)

// Budget is the token bucket of one gateway for one service; a token is a retry. It
// is not safe for concurrent use.
type Budget struct {
	params Params
	tokens float64
	last   time.Time
}

// New returns a budget with half of its share of the slack.
func New(p Params, now time.Time) *Budget {
	b := &Budget{params: p, last: now}
	b.tokens = b.share() / 2
	return b
}

// SetGateways sets the number of gateways by which the slack is divided.
func (b *Budget) SetGateways(gateways int) { b.params.Gateways = gateways }

// share returns this gateway's share of the slack, which is the capacity of the
// bucket.
func (b *Budget) share() float64 {
	return slackMargin * b.params.Slack / float64(max(b.params.Gateways, 1))
}

// refill adds the tokens earned since the last call; half of the share per window.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed > 0 && b.params.Window > 0 {
		b.tokens += b.share() * float64(elapsed) / float64(b.params.Window) / 2
		b.last = now
	}
	b.tokens = min(b.tokens, b.share())
}

// AddRequest counts the first attempt of a request.
func (b *Budget) AddRequest(now time.Time) {
	b.refill(now)
	b.tokens += ratioMargin * b.params.Ratio
}

// Take consumes a token for one retry, and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
