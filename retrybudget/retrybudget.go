// SPDX-License-Identifier: Apache-2.0

// Package retrybudget limits the rate of retries.
//
// In any window, all gateways together may send a service at most Ratio times its
// requests plus Slack retries. The requests are those of the window or of the one before it,
// whichever has more. For the first part, each gateway counts its own requests. It may save
// a part of what they allow for a burst of failures, such as the end of an engine with many
// streams. The slack is divided by the number of gateways that may be running. A new
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
// allows for requests and retries that fall into different windows. savedMargin is the share
// of Ratio of the requests of the last window that can be saved: together with ratioMargin it
// is less than 1, since a window may see both what was saved before it and what it earns.
const (
	ratioMargin = 0.6
	slackMargin = 0.5
	savedMargin = 0.3
)

// requestSlots is the number of parts of a window in which requests are counted.
const requestSlots = 8

// Budget is the token bucket of one gateway for one service; a token is a retry. It
// is not safe for concurrent use.
type Budget struct {
	params Params
	tokens float64
	last   time.Time
	// requests are the requests by the parts of the last window, a ring. current is the
	// index of the part that began at currentAt.
	requests  [requestSlots]int
	current   int
	currentAt time.Time
}

// New returns the budget of a gateway that has just started. It has half of the
// gateway's share of the slack.
func New(p Params, now time.Time) *Budget {
	b := &Budget{params: p, last: now, currentAt: now}
	b.tokens = b.share() / 2
	return b
}

// SetGateways sets the number of gateways by which the slack is divided.
func (b *Budget) SetGateways(gateways int) { b.params.Gateways = gateways }

// share returns this gateway's share of the slack.
func (b *Budget) share() float64 {
	return slackMargin * b.params.Slack / float64(max(b.params.Gateways, 1))
}

// capacity returns the largest number of tokens that can be saved.
func (b *Budget) capacity() float64 {
	requests := 0
	for _, n := range b.requests {
		requests += n
	}
	return b.share() + savedMargin*b.params.Ratio*float64(requests)
}

// advance drops the requests that are older than a window.
func (b *Budget) advance(now time.Time) {
	length := b.params.Window / requestSlots
	if length <= 0 {
		return
	}
	if now.Sub(b.currentAt) >= b.params.Window {
		b.requests, b.currentAt = [requestSlots]int{}, now
		return
	}
	for now.Sub(b.currentAt) >= length {
		b.current = (b.current + 1) % requestSlots
		b.requests[b.current] = 0
		b.currentAt = b.currentAt.Add(length)
	}
}

// refill adds the tokens earned since the last call, at half of the share per window.
func (b *Budget) refill(now time.Time) {
	b.advance(now)
	elapsed := now.Sub(b.last)
	if elapsed > 0 && b.params.Window > 0 {
		b.tokens += b.share() * float64(elapsed) / float64(b.params.Window) / 2
		b.last = now
	}
	b.tokens = min(b.tokens, b.capacity())
}

// AddRequest counts the first attempt of a request, which earns a part of a token.
func (b *Budget) AddRequest(now time.Time) {
	b.refill(now)
	b.tokens += ratioMargin * b.params.Ratio
	b.requests[b.current]++
}

// Refund takes back the consumption of a token by Take, for a retry that was not sent.
func (b *Budget) Refund() { b.tokens = min(b.tokens+1, b.capacity()) }

// Available reports whether there is a token for a retry.
func (b *Budget) Available(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// Take consumes a token for one retry, and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	if !b.Available(now) {
		return false
	}
	b.tokens--
	return true
}
