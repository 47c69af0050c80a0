// SPDX-License-Identifier: Apache-2.0

// Package backpressure holds what endpoints say of themselves in their answers:
// a limit on requests, that they drain, and that they want backoff.
//
// It does no I/O, takes time as a value, and is not safe for concurrent use.
package backpressure

import (
	"math"
	"strings"
	"time"
)

// Signal is what one answer says of its endpoint.
type Signal struct {
	Limit Limit
	// Draining says that the endpoint is about to end and takes no new requests.
	Draining bool
	// Backoff is for how long the endpoint wants nothing from the gateway that it
	// turned away; 0 is none.
	Backoff time.Duration
	// Unreadable are the fields whose values cannot be read, as NAME: VALUE. They
	// change nothing of what the endpoint said before.
	Unreadable []string
}

// Limit is how many requests a second an endpoint takes from all gateways
// together.
type Limit struct {
	// Kept says that the answer tells nothing that can be read: what was said
	// before holds.
	Kept bool
	// Named says that there is a limit, which is Rate.
	Named bool
	Rate  float64
}

// Limited is a limit of rate requests a second.
func Limited(rate float64) Limit { return Limit{Named: true, Rate: rate} }

// tighter reports whether l allows less than other.
func (l Limit) tighter(other Limit) bool { return l.rate() < other.rate() }

func (l Limit) rate() float64 {
	if !l.Named {
		return math.Inf(1)
	}
	return l.Rate
}

// fieldOf returns the name of the field of an unreadable value.
func fieldOf(value string) string {
	name, _, _ := strings.Cut(value, ":")
	return name
}
