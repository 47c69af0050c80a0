// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"math/rand/v2"
	"time"
)

// A limit applies to all gateways together. One sidecar, which all gateways choose
// alike, is the permit allocator: it grants permits, each for one request. The total
// rate then depends neither on the number of gateways nor on which of them have
// demand. A gateway that cannot reach the allocator uses an equal share of the limit,
// in slots with a random offset.
const (
	// grantTTL is how long a permit is valid. Permits already granted may be used
	// during this time after the limit changes.
	grantTTL = time.Second
	// responseTime is the usual time from a permit request to its grant.
	responseTime = 10 * time.Millisecond
	// requestTimeout is when a permit request without a response counts as lost.
	requestTimeout = 60 * time.Millisecond
	// allocatorTimeout is how long permit requests may go unanswered until the
	// allocator counts as unresponsive.
	allocatorTimeout = 300 * time.Millisecond
	// allocatorRetryInterval is the time between permit requests to an unresponsive
	// allocator.
	allocatorRetryInterval = time.Second
	// maxPermits bounds the permits of one request.
	maxPermits = 8
	// minRate is the total rate, in requests per second, that lower limits are raised
	// to: only a response shows that a limit of zero has ended.
	minRate = 0.25
	// slotWindow is how long a slot is usable with more than burstGateways gateways.
	// Up to burstGateways may use their slots at the same time, which the burst of a
	// limit allows.
	slotWindow    = 300 * time.Millisecond
	burstGateways = 5
	// fallbackShare is the fraction of a limit that gateways use while they cannot
	// reach an allocator that exists, since it may grant the whole limit to others.
	fallbackShare = 0.5
)

// PermitRequest is a gateway's request for permits to send to an endpoint. It also
// carries the state of the endpoint; with Want 0 it does only that.
type PermitRequest struct {
	Record
	Want int `json:"w,omitempty"`
}

// Grant is the response to a PermitRequest.
type Grant struct {
	Record
	Permits int `json:"p,omitempty"`
	// AfterMS is the time until the next permit, in milliseconds, if fewer were
	// granted than wanted.
	AfterMS int64 `json:"n,omitempty"`
}

// permits holds a gateway's permits for an endpoint with a limit.
type permits struct {
	granted      int
	grantedUntil time.Time
	// wanted counts requests that would be sent to the endpoint with a permit.
	wanted int
	// requestedAt is when permits were last requested, and unansweredSince the time of
	// the first request since the last grant; zero if there is none.
	requestedAt, unansweredSince time.Time
	// noAllocator reports that no allocator exists for the endpoint.
	noAllocator bool
	// nextAt is when the allocator has another permit.
	nextAt time.Time
	// slot is the start of the gateway's own slot, or zero if none is chosen.
	slot time.Time
}

// cleared returns the state after a limit has ended: only the state of the allocator
// remains.
func (p *permits) cleared() permits {
	return permits{unansweredSince: p.unansweredSince, noAllocator: p.noAllocator}
}

// unresponsive reports whether no allocator responds.
func (p *permits) unresponsive(now time.Time) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) >= allocatorTimeout
}

// availableAt returns the earliest time at which a request may be sent, or now.
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

// nextSlot returns the start of the gateway's next slot, or now within a slot.
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

// slotPeriod returns the time between requests at the gateway's share of a rate.
func (p *permits) slotPeriod(rate float64, gateways int) time.Duration {
	if !p.noAllocator {
		rate *= fallbackShare
	}
	return time.Duration(float64(max(gateways, 1)) / max(rate, minRate) * float64(time.Second))
}

// take consumes a granted permit, or else the slot.
func (p *permits) take(rate float64, gateways int, now time.Time) {
	if p.granted > 0 && now.Before(p.grantedUntil) {
		p.granted--
		return
	}
	p.slot = later(p.slot, now).Add(p.slotPeriod(rate, gateways))
}

// request returns the number of permits to request now, and resets wanted.
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

// applyGrant adds the permits of a grant.
func (p *permits) applyGrant(g Grant, now time.Time) {
	if !now.Before(p.grantedUntil) {
		p.granted = 0
	}
	p.unansweredSince, p.slot, p.requestedAt, p.noAllocator = time.Time{}, time.Time{}, time.Time{}, false
	p.nextAt = now.Add(time.Duration(g.AfterMS) * time.Millisecond)
	if g.Permits > 0 {
		p.granted += min(g.Permits, maxPermits)
		p.grantedUntil = now.Add(grantTTL)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
