// SPDX-License-Identifier: Apache-2.0

// Package retrybudget bounds how often requests are sent again.
//
// All gateways together may send a service no more repeats in a window than
// a ratio of its requests plus a slack. The ratio part needs no agreement:
// each gateway counts its own requests. The slack is divided by the most
// gateways that may be running; it adds up safely however many of them come
// and go, because a gateway that starts anew begins with an empty share and
// earns it over a window.
package retrybudget

import "time"

// Params are the bounds that all gateways share.
type Params struct {
	// Ratio of repeats to requests.
	Ratio float64
	// Slack is how many repeats all gateways may send in a window besides.
	Slack float64
	// Window is the span over which repeats are counted.
	Window time.Duration
	// Gateways is the number that the slack is divided by.
	Gateways int
}

// Margins keep a budget below its bound, for what other gateways and the
// edges of windows add.
const (
	ratioMargin = 0.6
	slackMargin = 0.5
)

// Budget is one gateway's account for one service. It is not safe for
// concurrent use.
type Budget struct {
	params  Params
	balance float64
	last    time.Time
}

// New returns a budget whose share of the slack is half earned.
func New(p Params, now time.Time) *Budget {
	b := &Budget{params: p, last: now}
	b.balance = b.share() / 2
	return b
}

// Share divides the slack by so many gateways from now on.
func (b *Budget) Share(gateways int) { b.params.Gateways = gateways }

// share is this gateway's part of the slack.
func (b *Budget) share() float64 {
	return slackMargin * b.params.Slack / float64(max(b.params.Gateways, 1))
}

func (b *Budget) earn(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed > 0 && b.params.Window > 0 {
		b.balance += b.share() * float64(elapsed) / float64(b.params.Window) / 2
		b.last = now
	}
	b.balance = min(b.balance, b.share())
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.earn(now)
	b.balance += ratioMargin * b.params.Ratio
}

// Take asks for one repeat.
func (b *Budget) Take(now time.Time) bool {
	b.earn(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
