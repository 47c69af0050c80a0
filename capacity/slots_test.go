// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/slotgrant"
)

// Parameters of the counted messages: an engine with 12 slots that ends 8.7 requests per
// second gets 1.1 times as many, which wait for 110 ms at most.
const (
	countedSlots = 12
	countedRate  = 8.7
	countedLoad  = 1.1
	countedWait  = 110 * time.Millisecond
	// envelopeBytes is the size of what surrounds a slotgrant.Request or slotgrant.Grant in
	// a datagram, with headers.
	envelopeBytes = 110
)

// slotCounter counts the messages and bytes between gateways and sidecars.
type slotCounter struct {
	engines                   []*slotgrant.Ledger
	running                   []int
	pairs                     map[slotPair]*slotgrant.Requester
	waiting                   map[slotPair][]time.Time // when the requests give up
	number                    int64
	fromGateways, fromSidecar int
	bytes                     int
}

// slotPair is a gateway and an engine.
type slotPair struct{ gateway, engine int }

// address returns the address of the gateway.
func (p slotPair) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(p.gateway >> 8), byte(p.gateway), 1}), 1)
}

// messageBytes returns the size of a message in a datagram.
func messageBytes(m any) int {
	text, _ := json.Marshal(m)
	return len(text) + envelopeBytes
}

// exchange sends what is due between a gateway and an engine's sidecar.
func (s *slotCounter) exchange(p slotPair, now time.Time) {
	r := s.pairs[p]
	wishes := make([]slotgrant.Wish, min(len(s.waiting[p]), slotgrant.MaxWishes))
	for i := range wishes {
		wishes[i] = slotgrant.Wish{Priority: 1, DueMS: s.waiting[p][i].Sub(now).Milliseconds()}
	}
	r.Want(wishes, now)
	s.number++
	m, ok := r.Message(s.number, now)
	if !ok {
		return
	}
	m.Slots = countedSlots
	s.fromGateways++
	s.bytes += messageBytes(m) + len(`"i":1000000000000,`)
	s.engines[p.engine].Request(p.address(), m, now)
	if !s.grant(p.engine, now) && len(m.Wishes) > 0 {
		s.receive(p, s.engines[p.engine].Confirmation(now), now)
	}
}

// grant sends the slots that an engine's sidecar grants now, and reports whether there are
// any.
func (s *slotCounter) grant(engine int, now time.Time) bool {
	grants := s.engines[engine].Grants(now)
	for _, g := range grants {
		a := g.Gateway.Addr().As4()
		s.receive(slotPair{int(a[1])<<8 + int(a[2]), engine}, g.Grant, now)
	}
	return len(grants) > 0
}

// receive processes a grant at a gateway. The slots go to the requests that have waited
// longest.
func (s *slotCounter) receive(p slotPair, g slotgrant.Grant, now time.Time) {
	g.Address = "255.255.255.255:65535"
	s.fromSidecar++
	s.bytes += messageBytes(g)
	r := s.pairs[p]
	r.Apply(g, now)
	for len(s.waiting[p]) > 0 && r.Take(now) {
		s.waiting[p] = s.waiting[p][1:]
		s.running[p.engine]++
	}
	r.ReturnUnused()
}

// countSlotMessages plays some seconds of the load and returns the counter.
func countSlotMessages(c Control, length time.Duration) *slotCounter {
	s := &slotCounter{pairs: make(map[slotPair]*slotgrant.Requester), waiting: make(map[slotPair][]time.Time), running: make([]int, c.Engines)}
	start := time.Unix(1000, 0)
	for range c.Engines {
		s.engines = append(s.engines, slotgrant.NewLedger(start))
	}
	const step, interval = 10 * time.Millisecond, 40 * time.Millisecond
	arriving := 0.0
	for now := start; now.Sub(start) < length; now = now.Add(step) {
		for arriving += countedLoad * countedRate * float64(c.Engines) * step.Seconds(); arriving >= 1; arriving-- {
			gateway := rand.N(c.Gateways)
			for range slotTargets {
				p := slotPair{gateway, rand.N(c.Engines)}
				if s.pairs[p] == nil {
					s.pairs[p] = &slotgrant.Requester{}
				}
				s.waiting[p] = append(s.waiting[p], now.Add(countedWait))
			}
		}
		for p := range s.pairs {
			for len(s.waiting[p]) > 0 && !now.Before(s.waiting[p][0]) {
				s.waiting[p] = s.waiting[p][1:]
			}
			s.exchange(p, now)
		}
		if now.Sub(start)%interval == 0 {
			for n, l := range s.engines {
				for range s.running[n] {
					if rand.Float64() < countedRate/countedSlots*interval.Seconds() {
						s.running[n]--
					}
				}
				l.Observe(slotgrant.Observation{Running: min(s.running[n], countedSlots), Queued: max(0, s.running[n]-countedSlots)}, now, now)
				s.grant(n, now)
			}
		}
	}
	return s
}

// What package slotgrant sends must stay within the formulas of the page, at each size.
func TestControlOfSlotsStaysWithinFormulas(t *testing.T) {
	const length = 2 * time.Second
	for _, c := range controlSizes() {
		t.Run(fmt.Sprint(c.Gateways, " gateways"), func(t *testing.T) {
			requests := countedLoad * countedRate * float64(c.Engines)
			s := countSlotMessages(c, length)
			perSecond := func(n int) float64 { return float64(n) / length.Seconds() }
			fromGateways, fromSidecars := c.SlotMessages(requests, countedWait)
			gatewayBytes, sidecarBytes := c.SlotBytes(requests, countedWait)
			assert.Check(t, perSecond(s.fromGateways) <= fromGateways)
			assert.Check(t, perSecond(s.fromSidecar) <= fromSidecars)
			assert.Check(t, perSecond(s.bytes) <= gatewayBytes*float64(c.Gateways))
			t.Logf("%.0f requests/s: %.0f messages/s from gateways (%.0f), %.0f from sidecars (%.0f); %.0f B/s a gateway (%.0f), %.0f a sidecar (%.0f)",
				requests, perSecond(s.fromGateways), fromGateways, perSecond(s.fromSidecar), fromSidecars,
				perSecond(s.bytes)/float64(c.Gateways), gatewayBytes, perSecond(s.bytes)/float64(c.Engines), sidecarBytes)
		})
	}
}

// The messages about slots must take less than a thirtieth of an engine's link of 7.3
// Mbit/s, at twice the size of the largest deployment.
func TestControlOfSlotsFitsLinkOfEngine(t *testing.T) {
	const linkBytes = 7.3e6 / 8
	c := controlSizes()[3]
	_, sidecar := c.SlotBytes(countedLoad*countedRate*float64(c.Engines), countedWait)
	assert.Assert(t, sidecar < linkBytes/30, "%.0f bytes a second", sidecar)
}
