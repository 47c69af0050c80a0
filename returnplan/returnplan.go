// SPDX-License-Identifier: Apache-2.0

// Package returnplan decides when the callers that a gateway refuses should try again.
//
// A caller that is refused twice costs more than one that is refused once. A Plan divides
// the near future into slices and promises places in them to refused callers, at most as
// many as the gateway can serve beside new requests. Callers mostly return to other
// gateways, so a promise is not tied to a caller: each gateway serves as many returns
// before new requests as it has promised itself. Over all gateways the rates are equal.
//
// A Plan does no I/O and is not safe for concurrent use.
package returnplan

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// sliceLength is the length of a slice.
	sliceLength = 100 * time.Millisecond
	// horizonSlices is the number of slices for which places are promised, the current
	// one included: 2 s.
	horizonSlices = 20
	// carrySlices is the number of past slices whose unused places may still be promised.
	// A gateway often has less than one place per slice.
	carrySlices = 20
	// graceSlices is the number of slices after its own in which a promise may be
	// redeemed.
	graceSlices = 3
	// rateDecay is the time constant of the measured rates, and the time for which a new
	// Plan only measures.
	rateDecay = 1500 * time.Millisecond
	// returnShare is the share of the served requests that is kept for returns even if
	// new requests could use all places. Each such return displaces a new request that
	// would be in time. A larger share costs more of them than it
	// serves returns; see docs/design/returns.md.
	returnShare = 0.02
	// spreadAfterLatest is the length of the period after the earliest instant over which
	// returns are spread if the earliest instant is not before the latest.
	spreadAfterLatest = 500 * time.Millisecond
)

// Plan holds the promises of one gateway for one service.
type Plan struct {
	start time.Time
	// served and fresh count served requests and new requests; both decay with rateDecay.
	served, fresh float64
	updatedAt     time.Time
	slices        [carrySlices + horizonSlices]slice // by number modulo the length
}

// slice holds the promises of one slice.
type slice struct {
	number   int64 // since the start of the Plan
	promised int   // promises made
	open     int   // promises not redeemed yet
}

// New returns a Plan without promises.
func New(now time.Time) *Plan { return &Plan{start: now, updatedAt: now} }

// RecordNew counts a new request, whether it is served or not.
func (p *Plan) RecordNew(now time.Time) {
	p.decay(now)
	p.fresh++
}

// RecordServed counts a request that is served, new or returned.
func (p *Plan) RecordServed(now time.Time) {
	p.decay(now)
	p.served++
}

// RecordUnserved takes back a request that was counted as served.
func (p *Plan) RecordUnserved(now time.Time) {
	p.decay(now)
	p.served = max(p.served-1, 0)
}

// decay applies the decay of the counts since the last update.
func (p *Plan) decay(now time.Time) {
	keep := math.Exp(-float64(max(now.Sub(p.updatedAt), 0)) / float64(rateDecay))
	p.served *= keep
	p.fresh *= keep
	p.updatedAt = now
}

// Ready reports whether the Plan has measured for long enough to promise places.
func (p *Plan) Ready(now time.Time) bool { return now.Sub(p.start) >= rateDecay }

// places returns the number of places for returns in each slice; it may be a fraction.
func (p *Plan) places(now time.Time) float64 {
	p.decay(now)
	return max(p.served-p.fresh, returnShare*p.served) * float64(sliceLength) / float64(rateDecay)
}

// Promise returns the time after which a refused caller should return. If a slice between
// earliest and latest has a free place, the time is a random instant in the first such
// slice, and kept is true. Else it is in the last slice before latest, or up to
// spreadAfterLatest after earliest if no slice is between the two. earliest, latest and
// after are measured from now.
func (p *Plan) Promise(earliest, latest time.Duration, now time.Time) (after time.Duration, kept bool) {
	since := now.Sub(p.start)
	first := int64((since + earliest + sliceLength - 1) / sliceLength)
	last := min(int64((since+latest)/sliceLength), p.number(now)+horizonSlices) - 1
	if last < first {
		return earliest + rand.N(spreadAfterLatest), false
	}
	if n := p.firstFree(first, last, now); n <= last {
		s := p.at(n)
		s.promised++
		s.open++
		return randomInstant(n) - since, true
	}
	return randomInstant(last) - since, false
}

// Redeem reports whether a return at the time now has a place: a promise of the current
// slice, or of one of the graceSlices before it, is open. It uses up the oldest.
func (p *Plan) Redeem(now time.Time) bool {
	current := p.number(now)
	for n := max(current-graceSlices, 0); n <= current; n++ {
		if s := p.at(n); s.open > 0 {
			s.open--
			return true
		}
	}
	return false
}

// firstFree returns the first slice from first to last with a free place, or a number
// greater than last. A place is free if with it, up to that slice and up to each later
// one, no more is promised than the places of these slices and of the carrySlices before
// the current one. A single slice gets at most its own places, rounded up.
func (p *Plan) firstFree(first, last int64, now time.Time) int64 {
	places := p.places(now)
	current := p.number(now)
	begin := max(current-carrySlices+1, 0)
	free, total := last+1, 0
	for n := begin; n < current+horizonSlices; n++ {
		s := p.at(n)
		total += s.promised
		switch {
		case float64(total+1) > places*float64(n-begin+1):
			free = last + 1 // a place in this slice or an earlier one would exceed the places
		case n >= first && n < free && float64(s.promised) < math.Ceil(places):
			free = n
		}
	}
	return free
}

// at returns the slice with a number, which must be at most carrySlices-1 before the
// current slice and less than horizonSlices after it.
func (p *Plan) at(n int64) *slice {
	s := &p.slices[n%int64(len(p.slices))]
	if s.number != n {
		*s = slice{number: n}
	}
	return s
}

// number returns the number of the slice that contains now.
func (p *Plan) number(now time.Time) int64 { return int64(max(now.Sub(p.start), 0) / sliceLength) }

// randomInstant returns a random instant in a slice, measured from the start of the Plan.
func randomInstant(n int64) time.Duration {
	return time.Duration(n)*sliceLength + rand.N(sliceLength)
}
