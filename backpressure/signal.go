// SPDX-License-Identifier: Apache-2.0

// Package backpressure tracks the signals that endpoints send in their responses: a
// rate limit, draining, a backoff, and a warm-up. It allocates the rate limit of an
// endpoint among the gateways, and the rate that it takes during its warm-up.
//
// It does no I/O, takes the current time as an argument, and is not safe for
// concurrent use.
package backpressure

import (
	"math"
	"strings"
	"time"
)

// Signal is what one response reports about its endpoint.
type Signal struct {
	Limit Limit
	// Draining reports that the endpoint is shutting down and accepts no new requests.
	Draining bool
	// Backoff is how long the gateway that received the response must send no requests
	// to the endpoint; 0 if the endpoint requests no backoff.
	Backoff time.Duration
	// ColdReported is set if the response reports on the endpoint's warm-up, and
	// ColdRemaining is then the time until the endpoint is warm; 0 if it is.
	ColdReported  bool
	ColdRemaining time.Duration
	// Invalid holds the headers whose values cannot be parsed, as NAME: VALUE. They do
	// not change the state of the endpoint.
	Invalid []string
}

// Limit is the rate limit of an endpoint, for all gateways together. The zero value
// means that there is no limit.
type Limit struct {
	// Unchanged reports that the response contains only invalid values, so that the
	// previous limit remains in force.
	Unchanged bool
	// Set reports that there is a limit.
	Set bool
	// Rate is the limit in requests per second.
	Rate float64
}

// Limited returns a limit of rate requests per second.
func Limited(rate float64) Limit { return Limit{Set: true, Rate: rate} }

// tighter reports whether l allows fewer requests per second than other.
func (l Limit) tighter(other Limit) bool { return l.rate() < other.rate() }

// rate returns the limit in requests per second, or infinity if there is none.
func (l Limit) rate() float64 {
	if !l.Set {
		return math.Inf(1)
	}
	return l.Rate
}

// headerName returns the header name of an entry of Signal.Invalid.
func headerName(entry string) string {
	name, _, _ := strings.Cut(entry, ":")
	return name
}
