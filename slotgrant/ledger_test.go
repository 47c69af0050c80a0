// SPDX-License-Identifier: Apache-2.0

package slotgrant

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// start is the time at which the tests start.
var start = time.Unix(1000, 0)

// at returns the time a number of milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// gatewayAddress returns the address of a gateway.
func gatewayAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1)
}

// observe records a reading of the engine's state that takes no time.
func (l *Ledger) observe(running, queued, ms int) {
	l.Observe(Observation{StartedMS: 1, Running: running, Queued: queued}, at(ms), at(ms))
}

// newLedger returns a ledger of an idle engine that may grant slots from 100 ms on.
func newLedger() *Ledger {
	l := NewLedger(start)
	l.observe(0, 0, 100)
	return l
}

// wishes returns n wishes of equal priority that are due within some milliseconds.
func wishes(n int, dueMS int64) (out []Wish) {
	for range n {
		out = append(out, Wish{Priority: 1, DueMS: dueMS})
	}
	return out
}

// slotsByGateway returns the slots of each gateway's grant.
func slotsByGateway(grants []GatewayGrant) map[netip.AddrPort]int {
	out := make(map[netip.AddrPort]int)
	for _, g := range grants {
		out[g.Gateway] += g.Slots
	}
	return out
}

// Guards against more grants than the free slots and one, and against wishes that are
// forgotten when they cannot be granted at once.
func TestGrantsAreBoundedBySlots(t *testing.T) {
	l := newLedger()
	l.observe(10, 0, 110)
	l.Request(gatewayAddress(1), Request{Number: 1, Slots: 12, Wishes: wishes(5, 100)}, at(110))
	assert.DeepEqual(t, slotsByGateway(l.Grants(at(110))), map[netip.AddrPort]int{gatewayAddress(1): 3})
	assert.Equal(t, len(l.Grants(at(115))), 0)
	l.observe(10, 0, 120) // the granted requests are still on their way
	assert.Equal(t, len(l.Grants(at(120))), 0)
	l.observe(11, 0, 150)
	assert.DeepEqual(t, slotsByGateway(l.Grants(at(150))), map[netip.AddrPort]int{gatewayAddress(1): 2})
}

// Guards against grants to the less urgent wish, or to the one that is due later.
func TestGrantsFollowUrgency(t *testing.T) {
	l := newLedger()
	l.observe(12, 0, 110)
	for n, w := range []Wish{{2, 50}, {1, 500}, {1, 300}, {3, -100}} {
		l.Request(gatewayAddress(n), Request{Number: 1, Slots: 12, Wishes: []Wish{w}}, at(110))
	}
	for n, want := range []int{2, 1, 0, 3} {
		ms := 150 + 50*n
		for gateway := range 4 { // still waiting
			l.gateways[gatewayAddress(gateway)].seenAt = at(ms)
		}
		l.observe(12, 0, ms)
		grants := l.Grants(at(ms))
		assert.Equal(t, len(grants), 1)
		assert.Equal(t, grants[0].Gateway, gatewayAddress(want))
	}
}

// Guards against a gateway that gets no slot while others with equal wishes get many.
func TestEqualWishesShareSlots(t *testing.T) {
	l := newLedger()
	got := make(map[netip.AddrPort]int)
	for round := range 80 {
		ms := 110 + 50*round
		l.observe(12, 0, ms)
		for gateway := range 8 {
			l.Request(gatewayAddress(gateway), Request{Number: int64(round + 1), Slots: 12, Wishes: wishes(3, 100)}, at(ms))
		}
		for gateway, slots := range slotsByGateway(l.Grants(at(ms))) {
			got[gateway] += slots
		}
	}
	for gateway := range 8 {
		assert.Equal(t, got[gatewayAddress(gateway)], 10)
	}
}

// Guards against a slot that stays reserved for a gateway that does not use it.
func TestReturnedGrantIsGrantedAgain(t *testing.T) {
	l := newLedger()
	l.observe(12, 0, 110)
	l.Request(gatewayAddress(1), Request{Number: 1, Slots: 12, Wishes: wishes(1, 100)}, at(110))
	l.Request(gatewayAddress(2), Request{Number: 1, Slots: 12, Wishes: wishes(1, 200)}, at(110))
	grants := l.Grants(at(110))
	assert.Equal(t, grants[0].Gateway, gatewayAddress(1))
	returned := Request{Number: 2, Slots: 12, Returned: []int64{grants[0].Number}}
	l.Request(gatewayAddress(2), returned, at(112))
	assert.Equal(t, len(l.Grants(at(112))), 0, "another gateway's grant is not its to return")
	l.Request(gatewayAddress(2), Request{Number: 3, Slots: 12, Wishes: wishes(1, 200)}, at(112))
	l.Request(gatewayAddress(1), returned, at(113))
	grants = l.Grants(at(113))
	assert.Equal(t, grants[0].Gateway, gatewayAddress(2))
	l.Request(gatewayAddress(1), Request{Number: 3, Slots: 12, Returned: returned.Returned}, at(114))
	assert.Equal(t, l.Counts().Returned, 1, "returned twice")
}

// Guards against wishes that a delayed datagram restores.
func TestDelayedRequestIsIgnored(t *testing.T) {
	l := newLedger()
	l.Request(gatewayAddress(1), Request{Number: 2, Slots: 12}, at(110))
	l.Request(gatewayAddress(1), Request{Number: 1, Slots: 12, Wishes: wishes(3, 100)}, at(111))
	assert.Equal(t, len(l.Grants(at(111))), 0)
}

// Guards against a sidecar that grants after its restart, when requests with grants of the
// earlier process are still on their way to the engine.
func TestRestartedSidecarWaits(t *testing.T) {
	l := NewLedger(start)
	for _, ms := range []int{0, 25} {
		l.observe(0, 0, ms)
	}
	l.Request(gatewayAddress(1), Request{Number: 1, Slots: 12, Wishes: wishes(1, 100)}, at(10))
	assert.Equal(t, len(l.Grants(at(59))), 0)
	assert.Equal(t, len(l.Grants(at(70))), 0, "the last reading was too early")
	l.observe(0, 0, 80)
	assert.Equal(t, len(l.Grants(at(80))), 1)
}

// Guards against slots and wishes that stay reserved for a gateway that has died.
func TestDeadGatewayLosesGrantsAndWishes(t *testing.T) {
	l := newLedger()
	l.observe(12, 0, 110)
	l.Request(gatewayAddress(1), Request{Number: 1, Slots: 12, Wishes: wishes(8, 100)}, at(110))
	assert.Equal(t, len(l.Grants(at(110))), 1)
	for ms := 150; ms < 1200; ms += 40 {
		l.Request(gatewayAddress(2), Request{Number: int64(ms), Slots: 12, Wishes: wishes(1, 1000)}, at(ms))
		l.observe(12, 0, ms)
		got := slotsByGateway(l.Grants(at(ms)))
		want := gatewayAddress(1)
		if ms >= 110+int(wishTTL.Milliseconds()) {
			want = gatewayAddress(2)
		}
		assert.Equal(t, got[want], 1, "%d ms", ms)
	}
	assert.Equal(t, len(l.gateways), 1)
	assert.Assert(t, l.Counts().Expired > 0)
}

// Guards against grants to an engine that has restarted, while requests with earlier
// grants may reach it.
func TestEngineRestartDropsGrants(t *testing.T) {
	l := newLedger()
	l.Request(gatewayAddress(1), Request{Number: 1, Slots: 12, StartedMS: 1, Wishes: wishes(8, 100)}, at(110))
	assert.Equal(t, len(l.Grants(at(110))), 1)
	l.Observe(Observation{StartedMS: 2}, at(120), at(120))
	l.Request(gatewayAddress(2), Request{Number: 1, Slots: 12, StartedMS: 2, Wishes: wishes(8, 100)}, at(121))
	assert.Equal(t, len(l.Grants(at(121))), 0)
	l.Request(gatewayAddress(1), Request{Number: 2, Slots: 12, StartedMS: 1, Wishes: wishes(8, 100)}, at(180))
	l.Observe(Observation{StartedMS: 2}, at(190), at(190))
	assert.DeepEqual(t, slotsByGateway(l.Grants(at(190))), map[netip.AddrPort]int{gatewayAddress(2): 8})
}

// Guards against grants for an engine that is closed to new requests, that works slowly,
// or whose state cannot be read.
func TestStateOfEngineLimitsGrants(t *testing.T) {
	for _, test := range []struct {
		name string
		o    Observation
		ms   int // from the reading to the grants
		want int
	}{
		{"idle", Observation{}, 0, 8},
		{"closed", Observation{Closed: true}, 0, 0},
		{"slow", Observation{Pace: 3}, 0, 5},
		{"state unknown", Observation{}, 200, 0},
	} {
		l := newLedger()
		l.Observe(test.o, at(110), at(110))
		l.Request(gatewayAddress(1), Request{Number: 1, Slots: 12, Wishes: wishes(8, 100)}, at(110+test.ms))
		assert.Equal(t, slotsByGateway(l.Grants(at(110 + test.ms)))[gatewayAddress(1)], test.want, test.name)
	}
}

// engineModel is an engine whose requests end when end is called.
type engineModel struct {
	granted, others int // requests with and without a grant
}

// end ends one of the engine's requests.
func (e *engineModel) end(t *rapid.T) {
	if e.others > 0 && rapid.Bool().Draw(t, "other ends") {
		e.others--
	} else {
		e.granted = max(0, e.granted-1)
	}
}

// observation returns the state of an engine with some slots.
func (e *engineModel) observation(slots int) Observation {
	load := e.granted + e.others
	return Observation{Running: min(load, slots), Queued: max(0, load-slots)}
}

// Guards against more requests at the engine than its slots and one, beside those that are
// sent without a grant, in any order of lost, delayed, returned and unused messages, of
// restarts, and of readings that fail.
func TestLedgerNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		l := NewLedger(start)
		var e engineModel
		arrivals := make(map[int]int) // requests with a grant by their time in ms
		number := int64(0)
		for ms := 0; ms < 2000; ms++ {
			e.granted += arrivals[ms]
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0, 1, 2, 3:
				number++
				n := rapid.IntRange(0, MaxWishes).Draw(t, "wishes")
				l.Request(gatewayAddress(rapid.IntRange(0, 5).Draw(t, "gateway")), Request{Number: number, Slots: slots, Wishes: wishes(n, 100)}, at(ms))
			case 4, 5, 6:
				e.end(t)
			case 7:
				e.others++
			case 8:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					l = NewLedger(at(ms))
				}
			case 9, 10, 11:
				l.Observe(e.observation(slots), at(ms), at(ms))
			}
			for _, g := range l.Grants(at(ms)) {
				for range g.Slots {
					switch rapid.IntRange(0, 4).Draw(t, "fate") {
					case 0: // lost
					case 1:
						number++
						l.Request(g.Gateway, Request{Number: number, Slots: slots, Returned: []int64{g.Number}}, at(ms))
					default:
						arrivals[ms+rapid.IntRange(1, int(arrivalTime.Milliseconds())).Draw(t, "delay")]++
					}
				}
			}
			assert.Assert(t, e.granted <= slots+extraSlots, "%d requests with a grant at %d ms, %d slots", e.granted, ms, slots)
		}
	})
}

// Guards against slots that stay idle while wishes wait: a slot that ends must be in use
// again after one reading of the engine's state, a grant's hold time and the way of the
// request.
func TestLedgerGrantsAllSlotsWhileWishesWait(t *testing.T) {
	const interval, way = 40, 5 // ms
	limit := interval + int(holdTime.Milliseconds()) + way
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		l := NewLedger(start)
		var e engineModel
		arrivals := make(map[int]int) // requests by their time in ms
		var ends []int                // times in ms
		waitingSince := 200           // wishes have waited since then, in ms
		for ms := 0; ms < 1500; ms++ {
			e.granted += arrivals[ms]
			if e.granted > 0 && rapid.IntRange(0, 100/slots).Draw(t, "end") == 0 {
				e.end(t)
				ends = append(ends, ms)
			}
			if ms%interval == 0 {
				l.Observe(e.observation(slots), at(ms), at(ms))
			}
			if ms%100 == 0 {
				for gateway := range 2 {
					l.Request(gatewayAddress(gateway), Request{Number: int64(ms + 1), Slots: slots, Wishes: wishes(MaxWishes, 100)}, at(ms))
				}
			}
			for _, g := range l.Grants(at(ms)) {
				arrivals[ms+way] += g.Slots
			}
			if l.wishing() == 0 {
				waitingSince = max(waitingSince, ms)
			}
			if ms-waitingSince <= limit {
				continue
			}
			recent := 0
			for _, end := range ends {
				if end >= ms-limit {
					recent++
				}
			}
			assert.Assert(t, e.granted+recent >= slots, "at %d ms: %d requests, %d ended recently, %d slots", ms, e.granted, recent, slots)
		}
	})
}

// wishing returns the number of wishes that wait.
func (l *Ledger) wishing() (n int) {
	for _, g := range l.gateways {
		n += len(g.wishes)
	}
	return n
}
