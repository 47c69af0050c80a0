// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"math/rand/v2"
	"time"
)

// A limit applies to all gateways together. One sidecar is the permit allocator of an
// endpoint: it grants permits to gateways, each for one request. All gateways choose
// the same sidecar, so the total rate depends neither on the number of gateways nor on
// which of them have demand.
//
// A gateway that cannot reach the allocator divides the limit by the number of
// gateways and uses its share in slots. A slot is a period in which the gateway may
// send one request. The first slot starts at a random time, so that the gateways do
// not send at the same time.
const (
	// grantTTL is how long a permit is valid. A permit remains valid if the limit
	// changes. A longer time lets gateways exceed a limit by more; see Quotas.
	grantTTL = time.Second
	// responseTime is the usual time from a permit request to its grant.
	responseTime = 10 * time.Millisecond
	// requestTimeout is the time after which a permit request without a response
	// counts as lost.
	requestTimeout = 60 * time.Millisecond
	// allocatorTimeout is how long permit requests may stay unanswered before the
	// allocator counts as unresponsive.
	allocatorTimeout = 300 * time.Millisecond
	// allocatorRetryInterval is the time between permit requests to an unresponsive
	// allocator.
	allocatorRetryInterval = time.Second
	// maxPermits bounds the permits of one permit request and of one grant.
	maxPermits = 8
	// minRate is the lowest rate that is applied, in requests per second for all
	// gateways together. A lower limit is treated as minRate, because the end of a
	// limit is seen only in responses and a limit of 0 would stop all requests.
	minRate = 0.25
	// A gateway without an allocator may send one request per slot, a period that
	// recurs at the gateway's share of the rate. With up to burstGateways gateways, a
	// slot lasts until the next one starts. With more, it lasts slotWindow at most, so
	// that gateways that were idle do not all send a request at once.
	slotWindow    = 300 * time.Millisecond
	burstGateways = 5
	// fallbackShare is the fraction of a limit that gateways divide among themselves
	// while they cannot reach an existing allocator. The allocator may still grant
	// permits to other gateways.
	fallbackShare = 0.5
)

// PermitRequest is a gateway's request for permits to send to an endpoint. Its Record
// reports the endpoint's state to the permit allocator.
type PermitRequest struct {
	Record
	// Want is the number of permits; 0 if only the record is sent.
	Want int `json:"w,omitempty"`
}

// Grant is the response to a PermitRequest.
type Grant struct {
	Record
	Permits int `json:"p,omitempty"`
	// AfterMS is the time until the next permit is available, in milliseconds. It is
	// set if fewer permits were granted than requested.
	AfterMS int64 `json:"n,omitempty"`
}

// permits holds a gateway's permits for an endpoint with a limit.
type permits struct {
	// granted is the number of unused permits, which expire at grantedUntil.
	granted      int
	grantedUntil time.Time
	// wanted counts the requests that need a permit of the endpoint since permits were
	// last requested.
	wanted int
	// requestedAt is when permits were last requested. unansweredSince is the time of
	// the first permit request after the last grant, or zero if there is none.
	requestedAt, unansweredSince time.Time
	// noAllocator reports that no sidecar exists that could allocate permits for the
	// endpoint.
	noAllocator bool
	// nextAt is when the allocator has another permit, according to the last grant.
	nextAt time.Time
	// slot is the start of the gateway's current or next slot, or zero if none is
	// chosen yet.
	slot time.Time
}

// cleared returns the state after a limit has ended. It keeps only whether the
// allocator exists and responds.
func (p *permits) cleared() permits {
	return permits{unansweredSince: p.unansweredSince, noAllocator: p.noAllocator}
}

// unresponsive reports whether the allocator has not responded for allocatorTimeout.
func (p *permits) unresponsive(now time.Time) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) >= allocatorTimeout
}

// availableAt returns the earliest time at which a request may be sent; now if it may
// be sent at once. If a permit must be requested first, this includes responseTime.
func (p *permits) availableAt(rate float64, gateways int, now time.Time) time.Time {
	switch {
	case p.granted > 0 && now.Before(p.grantedUntil):
		return now
	case p.unresponsive(now):
		return p.nextSlot(rate, gateways, now)
	default:
		return later(p.nextAt, now.Add(responseTime))
	}
}

// nextSlot returns the start of the gateway's next slot, or now if a slot has started
// and not ended.
func (p *permits) nextSlot(rate float64, gateways int, now time.Time) time.Time {
	period := p.slotPeriod(rate, gateways)
	if p.slot.IsZero() {
		p.slot = now.Add(time.Duration(rand.Float64() * float64(period)))
	}
	usable := period
	if gateways > burstGateways {
		usable = min(period, slotWindow)
	}
	if past := now.Sub(p.slot); past >= usable {
		p.slot = p.slot.Add((past-usable)/period*period + period)
	}
	return later(p.slot, now)
}

// slotPeriod returns the time from the start of one slot to the next, for this
// gateway's share of the rate.
func (p *permits) slotPeriod(rate float64, gateways int) time.Duration {
	if !p.noAllocator {
		rate *= fallbackShare
	}
	return time.Duration(float64(max(gateways, 1)) / max(rate, minRate) * float64(time.Second))
}

// take consumes a permit if one is valid, or else the gateway's slot.
func (p *permits) take(rate float64, gateways int, now time.Time) {
	if p.granted > 0 && now.Before(p.grantedUntil) {
		p.granted--
		return
	}
	p.slot = later(p.slot, now).Add(p.slotPeriod(rate, gateways))
}

// request returns the number of permits to request now, and resets wanted. It returns 0
// if none are needed, none are available yet, or the last permit request may still be
// answered.
func (p *permits) request(now time.Time) int {
	want := min(p.wanted, maxPermits)
	p.wanted = 0
	pause := requestTimeout
	if p.unresponsive(now) {
		pause = allocatorRetryInterval
	}
	if want == 0 || now.Before(p.nextAt) || now.Sub(p.requestedAt) < pause {
		return 0
	}
	p.requestedAt = now
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	return want
}

// applyGrant adds the permits of a grant, which are valid for ttl, and records that the
// allocator responds.
func (p *permits) applyGrant(g Grant, ttl time.Duration, now time.Time) {
	if !now.Before(p.grantedUntil) {
		p.granted = 0
	}
	p.unansweredSince, p.slot, p.requestedAt, p.noAllocator = time.Time{}, time.Time{}, time.Time{}, false
	p.nextAt = now.Add(time.Duration(g.AfterMS) * time.Millisecond)
	if g.Permits > 0 {
		p.granted += min(g.Permits, maxPermits)
		p.grantedUntil = now.Add(ttl)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
