// SPDX-License-Identifier: Apache-2.0

package slotgrant

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Parameters of the Ledger.
const (
	// arrivalTime bounds the time from a grant until its request is at the engine: the
	// way to the gateway, the grant's validity and the way to the engine. A reading of
	// the engine's state that begins later includes the request.
	arrivalTime = Validity + 10*time.Millisecond
	// quietTime is the time without grants after the start of the sidecar or the engine.
	// The requests of earlier grants reach the engine within it.
	quietTime = 60 * time.Millisecond
	// wishTTL is the time after which a gateway's wishes expire. It exceeds two repeat
	// intervals, so that one lost repetition does not end a wish.
	wishTTL = 250 * time.Millisecond
	// gatewayTTL is the time after which a gateway without requests is forgotten.
	gatewayTTL = time.Second
	// observationTTL is the age from which a reading of the engine's state is not used:
	// an engine that does not answer may not begin requests either.
	observationTTL = 150 * time.Millisecond
	// extraSlots is the number of requests that may wait in the engine's queue. The
	// engine begins one when a slot ends, so no slot is idle until the next reading.
	// They are granted only if a slot is expected to be free within extraLead, which
	// covers two readings; else they would wait in the queue while another engine, or a
	// more urgent request here, could use the time. If the expectation is unknown, they
	// are granted.
	extraSlots = 1
	extraLead  = 100 * time.Millisecond
	// usualArrivalTime is the usual time from a grant until its request is at the engine.
	usualArrivalTime = 5 * time.Millisecond
)

// Observation is a reading of an engine's state.
type Observation struct {
	// StartedMS is when the engine's process started, in Unix milliseconds, or 0 if
	// unknown.
	StartedMS       int64
	Running, Queued int
	// Pace is how many times slower than normal the engine works; values below 1 count
	// as 1. A slow engine counts as full with fewer requests, as in package fleet.
	Pace float64
	// Closed is set while the engine must get no new requests.
	Closed bool
}

// GatewayGrant is a grant and the gateway that receives it. Grant.Address is not set.
type GatewayGrant struct {
	Gateway netip.AddrPort
	Grant
}

// Counts holds the events since the start of a Ledger.
type Counts struct {
	// Wishes counts those received, without repetitions. Granted and Returned count
	// slots. Expired counts the wishes that ended because their gateway fell silent.
	Wishes, Granted, Expired, Returned int
}

// Ledger grants the slots of one engine to gateways. It is the sidecar's part.
//
// The engine gets at most its slots plus extraSlots requests, if gateways send none
// without a grant: a grant counts against the slots until a reading of the engine's state
// includes its request.
type Ledger struct {
	slots      int
	engine     Observation
	readAt     time.Time // when the reading of engine began; zero if there is none
	quietSince time.Time // see quietTime
	gateways   map[netip.AddrPort]*gateway
	// granted holds the slots that count against the engine's slots.
	granted    []grantedSlot
	forecast   forecast
	lastNumber int64 // Grant.Number
	counts     Counts
}

// gateway is what a Ledger holds of a gateway.
type gateway struct {
	number    int64 // of the last request
	seenAt    time.Time
	wishes    []wish // the most urgent first
	grantedAt time.Time
}

// grantedSlot is a slot granted to a gateway.
type grantedSlot struct {
	gateway netip.AddrPort
	number  int64 // Grant.Number
	at      time.Time
	// arrived is set once the request is taken to be at the engine.
	arrived bool
}

// NewLedger returns the ledger of a sidecar that starts now.
func NewLedger(now time.Time) *Ledger {
	// Grant numbers begin at the time of the start, so that a slot of an earlier process
	// that is returned late does not count as one of this process.
	return &Ledger{quietSince: now, gateways: make(map[netip.AddrPort]*gateway), lastNumber: now.UnixMilli()}
}

// Observe records the engine's state as of a reading that began at the time began.
func (l *Ledger) Observe(o Observation, began, now time.Time) {
	if l.engine.StartedMS != 0 && o.StartedMS != 0 && l.engine.StartedMS != o.StartedMS {
		l.granted, l.quietSince, l.forecast = nil, now, forecast{}
		for _, g := range l.gateways {
			g.wishes = nil
		}
	}
	if o.StartedMS == 0 {
		o.StartedMS = l.engine.StartedMS // this answer lacks it
	}
	l.engine, l.readAt = o, began
	l.forecast.observe(o.Running, o.Queued, l.takeArrived(), began)
	l.expire(now)
}

// takeArrived returns the number of granted requests that have arrived since the last
// call, as of the last reading of the engine's state.
func (l *Ledger) takeArrived() (n int) {
	for i := range l.granted {
		s := &l.granted[i]
		if !s.arrived && l.readAt.Sub(s.at) >= usualArrivalTime {
			s.arrived = true
			n++
		}
	}
	return n
}

// Request records a request of a gateway. It is ignored if it is older than the last one.
func (l *Ledger) Request(from netip.AddrPort, r Request, now time.Time) {
	l.expire(now)
	g := l.gateways[from]
	if g == nil {
		g = &gateway{}
		l.gateways[from] = g
	}
	if r.Number <= g.number {
		return // delayed or duplicated
	}
	l.slots = r.Slots
	g.number, g.seenAt = r.Number, now
	for _, number := range r.Returned {
		at := slices.IndexFunc(l.granted, func(s grantedSlot) bool { return s.gateway == from && s.number == number })
		if at >= 0 {
			l.granted = slices.Delete(l.granted, at, at+1)
			l.counts.Returned++
		}
	}
	before := len(g.wishes)
	g.wishes = nil
	if r.StartedMS != 0 && l.engine.StartedMS != 0 && r.StartedMS != l.engine.StartedMS {
		return // meant for another incarnation of the engine
	}
	for _, w := range r.Wishes[:min(len(r.Wishes), MaxWishes)] {
		g.wishes = append(g.wishes, wish{w.Priority, now.Add(time.Duration(w.DueMS) * time.Millisecond)})
	}
	slices.SortStableFunc(g.wishes, compareWishes)
	l.counts.Wishes += max(0, len(g.wishes)-before)
}

// Grants returns the slots that gateways get now, at most one entry for each gateway.
// They count as granted.
func (l *Ledger) Grants(now time.Time) []GatewayGrant {
	l.expire(now)
	if !l.mayGrant(now) {
		return nil
	}
	slots := l.usableSlots()
	free := slots - l.engine.Running - l.engine.Queued - len(l.granted)
	if freeIn, known := l.forecast.freeIn(slots, now); !known || freeIn <= extraLead {
		free += extraSlots
	}
	var out []GatewayGrant
	for ; free > 0; free-- {
		to, g := l.next()
		if g == nil {
			break
		}
		g.wishes, g.grantedAt = g.wishes[1:], now
		at := slices.IndexFunc(out, func(known GatewayGrant) bool { return known.Gateway == to })
		if at < 0 {
			l.lastNumber++
			at = len(out)
			out = append(out, GatewayGrant{to, Grant{Number: l.lastNumber, FreeInMS: l.freeInMS(now)}})
		}
		out[at].Slots++
		l.granted = append(l.granted, grantedSlot{gateway: to, number: out[at].Number, at: now})
		l.counts.Granted++
	}
	return out
}

// mayGrant reports whether enough is known of the engine to grant its slots.
func (l *Ledger) mayGrant(now time.Time) bool {
	switch {
	case l.readAt.IsZero(), now.Sub(l.readAt) > observationTTL:
		return false
	case now.Sub(l.quietSince) < quietTime, l.readAt.Sub(l.quietSince) < arrivalTime:
		return false
	default:
		return !l.engine.Closed && l.slots > 0
	}
}

// next returns the gateway with the most urgent wish, or a nil gateway if there is none.
// Of several with equal wishes it is the one whose last grant is the oldest, so that none
// is starved.
func (l *Ledger) next() (best netip.AddrPort, found *gateway) {
	for address, g := range l.gateways {
		if len(g.wishes) == 0 {
			continue
		}
		if found == nil || cmp.Or(compareWishes(g.wishes[0], found.wishes[0]), g.grantedAt.Compare(found.grantedAt), address.Compare(best)) < 0 {
			best, found = address, g
		}
	}
	return best, found
}

// Confirmation returns a Grant without slots, which tells a gateway that its request has
// arrived.
func (l *Ledger) Confirmation(now time.Time) Grant {
	l.lastNumber++
	return Grant{Number: l.lastNumber, FreeInMS: l.freeInMS(now)}
}

// usableSlots returns the number of requests with which the engine counts as full.
func (l *Ledger) usableSlots() int {
	return int(math.Max(1, float64(l.slots)/math.Max(1, l.engine.Pace)))
}

// freeInMS returns the Grant.FreeInMS of a grant that is sent now.
func (l *Ledger) freeInMS(now time.Time) int64 {
	freeIn, _ := l.forecast.freeIn(l.usableSlots(), now)
	return freeIn.Milliseconds()
}

// Counts returns the events since the start of the ledger.
func (l *Ledger) Counts() Counts { return l.counts }

// expire removes the slots whose requests the engine's state includes, and the wishes of
// gateways that have fallen silent.
func (l *Ledger) expire(now time.Time) {
	l.granted = slices.DeleteFunc(l.granted, func(s grantedSlot) bool { return l.readAt.Sub(s.at) >= arrivalTime })
	for address, g := range l.gateways {
		silent := now.Sub(g.seenAt)
		if silent >= wishTTL {
			l.counts.Expired += len(g.wishes)
			g.wishes = nil
		}
		if silent >= gatewayTTL {
			delete(l.gateways, address)
		}
	}
}
