// SPDX-License-Identifier: Apache-2.0

// Package retrybudget limits the rate of retries.
//
// In any window, all gateways together may send a service at most Ratio times its
// requests plus Slack retries. For the first part, each gateway counts its own
// requests. The slack is divided by the number of gateways that may be running. A new
// budget starts with half of its share of the slack and earns the rest over a window,
// so that restarts of gateways do not exceed the bound.
package retrybudget

import "time"

// Params holds the limits on retries, which are the same at all gateways.
type Params struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries that all gateways together may send in a window
	// in addition to those that Ratio allows.
	Slack float64
	// Window is the length of the period in which retries and requests are counted.
	Window time.Duration
	// Gateways is the number by which the slack is divided.
	Gateways int
}

// ratioMargin and slackMargin are the shares of Ratio and Slack that are used. The rest
// allows for requests and retries that fall into different windows.
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

// New returns the budget of a gateway that has just started. It has half of the
// gateway's share of the slack.
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

// refill adds the tokens earned since the last call, at half of the share per window.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed > 0 && b.params.Window > 0 {
		b.tokens += b.share() * float64(elapsed) / float64(b.params.Window) / 2
		b.last = now
	}
	b.tokens = min(b.tokens, b.share())
}

// AddRequest counts the first attempt of a request, which earns a part of a token.
func (b *Budget) AddRequest(now time.Time) {
	b.refill(now)
	b.tokens += ratioMargin * b.params.Ratio
}

// Refund takes back the consumption of a token by Take, for a retry that was not sent.
func (b *Budget) Refund() { b.tokens = min(b.tokens+1, b.share()) }

// Take consumes a token for one retry, and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
