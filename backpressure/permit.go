// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"math/rand/v2"
	"time"
)

// A limit holds for all gateways together. One sidecar, the same for all of them,
// deals it out as permits, each for one request: what is sent then depends neither
// on how many gateways there are, nor on which of them have the demand. A gateway
// that hears nothing of that sidecar keeps to an equal part, in slots that lie
// apart from those of other gateways by chance.
const (
	// grantLife is how long a permit counts: what was dealt out may still be sent
	// for so long, and that must fit what a limit allows at most.
	grantLife = time.Second
	// askTakes is how long the answer to an ask usually takes, askAgain when one
	// without an answer is taken for lost, and askPatience when nobody is taken to
	// deal permits out; askAlone is how often that is tried again.
	askTakes    = 10 * time.Millisecond
	askAgain    = 60 * time.Millisecond
	askPatience = 300 * time.Millisecond
	askAlone    = time.Second
	// maxWant bounds the permits that are asked for at once.
	maxWant = 8
	// probeRate is the least rate at which all gateways together send requests, a
	// second, however low the limit: that it has ended shows only in an answer.
	probeRate = 0.25
	// slotLife is how long a slot may be used, of more gateways than standing; so
	// few may each use theirs at the same time, which a limit's burst allows.
	slotLife = 300 * time.Millisecond
	standing = 5
	// aloneShare is the part of a limit that gateways keep to by themselves while
	// there is a dealer that they do not observe: it may deal out all of the limit to
	// others meanwhile.
	aloneShare = 0.5
)

// Ask is a gateway's wish for permits for an endpoint. One that wants none tells
// what the endpoint said.
type Ask struct {
	Record
	Want int `json:"w,omitempty"`
}

// Grant is the answer to an Ask.
type Grant struct {
	Record
	Permits int `json:"p,omitempty"`
	// AfterMS is in how many milliseconds there is another permit, if fewer were
	// granted than wanted.
	AfterMS int64 `json:"n,omitempty"`
}

// permits are a gateway's permits to send requests to an endpoint with a limit.
type permits struct {
	granted     int
	grantedTill time.Time
	// wanted counts requests that would go to the endpoint if there were permits.
	wanted int
	// askedAt is when permits were asked for last, and unanswered since when
	// nobody has answered, or zero.
	askedAt, unanswered time.Time
	// undealt says that there is nobody to be asked.
	undealt bool
	// next is when there is another permit to be asked for.
	next time.Time
	// slot is the beginning of the gateway's own slot, or zero while none is drawn.
	slot time.Time
}

// cleared is what is left when a limit ends: whether there is somebody to be asked.
func (p *permits) cleared() permits { return permits{unanswered: p.unanswered, undealt: p.undealt} }

// alone reports whether nobody deals permits out.
func (p *permits) alone(now time.Time) bool {
	return !p.unanswered.IsZero() && now.Sub(p.unanswered) >= askPatience
}

// from returns when a request may be sent at the earliest: now, if one may be.
func (p *permits) from(rate float64, gateways int, now time.Time) time.Time {
	switch {
	case p.granted > 0 && now.Before(p.grantedTill):
		return now
	case p.alone(now):
		return p.slotFrom(rate, gateways, now)
	default:
		return later(p.next, now.Add(askTakes))
	}
}

// slotFrom returns when the gateway's own slot is next: now, within it.
func (p *permits) slotFrom(rate float64, gateways int, now time.Time) time.Time {
	every := p.period(rate, gateways)
	if p.slot.IsZero() {
		p.slot = now.Add(time.Duration(rand.Float64() * float64(every)))
	}
	life := every
	if gateways > standing {
		life = min(every, slotLife)
	}
	if past := now.Sub(p.slot); past >= life {
		p.slot = p.slot.Add((past-life)/every*every + every)
	}
	return later(p.slot, now)
}

// period is how often the gateway's own part of a rate allows a request.
func (p *permits) period(rate float64, gateways int) time.Duration {
	if !p.undealt {
		rate *= aloneShare
	}
	return time.Duration(float64(max(gateways, 1)) / max(rate, probeRate) * float64(time.Second))
}

// take uses the permit that from found.
func (p *permits) take(rate float64, gateways int, now time.Time) {
	if p.granted > 0 && now.Before(p.grantedTill) {
		p.granted--
		return
	}
	p.slot = later(p.slot, now).Add(p.period(rate, gateways))
}

// ask returns how many permits are to be asked for now, and forgets what was wanted.
func (p *permits) ask(now time.Time) int {
	want := min(p.wanted, maxWant)
	p.wanted = 0
	pause := askAgain
	if p.alone(now) {
		pause = askAlone
	}
	if want == 0 || now.Before(p.next) || now.Sub(p.askedAt) < pause {
		return 0
	}
	p.askedAt = now
	if p.unanswered.IsZero() {
		p.unanswered = now
	}
	return want
}

// grant takes the answer to an ask.
func (p *permits) grant(g Grant, now time.Time) {
	if !now.Before(p.grantedTill) {
		p.granted = 0
	}
	p.unanswered, p.slot, p.askedAt, p.undealt = time.Time{}, time.Time{}, time.Time{}, false
	p.next = now.Add(time.Duration(g.AfterMS) * time.Millisecond)
	if g.Permits > 0 {
		p.granted += min(g.Permits, maxWant)
		p.grantedTill = now.Add(grantLife)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
