// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/mintlift/mintlift/slotgrant"
)

// grantSlots records a gateway's request for slots of the engine, and sends the slots that
// are free now. A request with wishes is always answered, because gateways do not wait for
// the grants of a sidecar that is silent.
func (p *Publisher) grantSlots(request slotgrant.Request, from netip.AddrPort, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots.Request(from, request, now)
	if !p.sendSlotGrantsLocked(from, now) && len(request.Wishes) > 0 {
		p.sendSlotGrantLocked(p.slots.Confirmation(now), from)
	}
}

// ObserveEngine records the engine's state as of a reading that began at the time began,
// and sends the slots that are free now to the gateways that have requested them.
func (p *Publisher) ObserveEngine(o slotgrant.Observation, began, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots.Observe(o, began, now)
	p.sendSlotGrantsLocked(netip.AddrPort{}, now)
}

// sendSlotGrantsLocked sends the slots that are free now to the gateways that have
// requested them. It reports whether the given gateway gets any. Publisher.mu must be held.
func (p *Publisher) sendSlotGrantsLocked(gateway netip.AddrPort, now time.Time) (granted bool) {
	for _, g := range p.slots.Grants(now) {
		granted = granted || g.Gateway == gateway
		p.sendSlotGrantLocked(g.Grant, g.Gateway)
	}
	return granted
}

// sendSlotGrantLocked sends a grant. Publisher.mu must be held.
func (p *Publisher) sendSlotGrantLocked(g slotgrant.Grant, to netip.AddrPort) {
	if g.Address = p.last.Address; g.Address != "" {
		p.send(sidecarDatagram{SlotGrant: &g}, to)
	}
}

// SlotCounts returns the sums of slot requests and grants since the publisher was created.
func (p *Publisher) SlotCounts() slotgrant.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots.Counts()
}

// RequestSlots sends a request for slots of an engine to the sidecar whose Publisher has
// the address sidecar, IP:PORT. Grants are passed to Handler.HandleSlotGrant.
func (s *Subscriber) RequestSlots(request slotgrant.Request, sidecar string) {
	text, err := json.Marshal(gatewayDatagram{SlotRequest: &request})
	if err != nil {
		panic("loadreport: encode slot request: " + err.Error())
	}
	if to, err := netip.ParseAddrPort(sidecar); err == nil {
		_, _ = s.conn.WriteToUDPAddrPort(text, to) // requests are repeated while requests wait
	}
}
