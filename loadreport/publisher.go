// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/slotgrant"
)

// Publisher sends a sidecar's reports to the gateways that subscribe to it, and relays
// state between them. It is safe for concurrent use.
type Publisher struct {
	conn network.DatagramConn
	mu   sync.Mutex
	// lastSubscribed is when the last subscription was received; zero if none was.
	lastSubscribed time.Time
	// read is the furthest position that a gateway has reached in reading the
	// operator's records.
	read history.Position
	// versionTimes holds when the target versions were set, for gateways that do not know.
	versionTimes versionTimes
	// subs holds the subscribers by the address that their datagrams came from.
	subs map[netip.AddrPort]subscriber
	// suspects holds the requests during which endpoints crashed, as reported by
	// gateways.
	suspects *quarantine.Table
	// suspectsSentAt is when suspects were last sent to all subscribers.
	suspectsSentAt time.Time
	// quotas allocates permits under the endpoints' rate limits.
	quotas *backpressure.Quotas
	// slots grants the slots of the engine.
	slots *slotgrant.Ledger
	// last is the last report sent, and lastSent when it was sent.
	last     fleet.Report
	lastSent time.Time
	// expected is the engine's expectation, in place of last.ServesInMS, which is 0.
	expected expectation
	// lastRead is when the state in last was last read from the engine. number is the
	// number of last, which begins anew at each epoch, the start of the process.
	lastRead      time.Time
	epoch, number int64
}

// NewPublisher listens for subscriptions at address, IP:PORT. Run handles them.
func NewPublisher(n network.Network, address string) (*Publisher, error) {
	conn, err := n.ListenDatagrams(address)
	if err != nil {
		return nil, err
	}
	return &Publisher{conn: conn, epoch: clock.Now().UnixMilli(), read: history.Unread, subs: make(map[netip.AddrPort]subscriber), suspects: quarantine.NewRelayed(), quotas: backpressure.NewQuotas(), slots: slotgrant.NewLedger(clock.Now())}, nil
}

// Run handles subscriptions, permit requests and slot requests until Close. It calls onNotice with
// the notice of each subscription.
func (p *Publisher) Run(onNotice func(Notice)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var datagram gatewayDatagram
		if err != nil || json.Unmarshal(buffer[:n], &datagram) != nil {
			continue
		}
		now := clock.Now()
		if datagram.PermitRequest != nil {
			p.allocatePermits(*datagram.PermitRequest, from, now)
			continue
		}
		if datagram.SlotRequest != nil {
			p.grantSlots(*datagram.SlotRequest, from, now)
			continue
		}
		onNotice(datagram.Notice)
		if p.suspects.Merge(datagram.Suspects, now) {
			p.sendSuspects(now)
		}
		p.mu.Lock()
		p.lastSubscribed = now
		p.subs[from] = subscriber{subscribedAt: p.lastSubscribed, region: datagram.Region, demand: datagram.Demand, versionSum: datagram.VersionSum, unwatched: datagram.Unwatched, cutoffMargin: time.Duration(datagram.CutoffMarginMS) * time.Millisecond}
		p.read = history.Later(p.read, history.Position{Era: datagram.Era, Offset: datagram.Read})
		p.versionTimes.merge(datagram.Notice, now)
		response := sidecarDatagram{
			Report: p.reportFor(p.demandPositionsLocked()[from], now), Epoch: p.epoch, Number: p.number, Echo: datagram.Stamp, Read: p.read.Offset, Era: p.read.Era,
			Suspects: p.suspects.Records(now), Endpoints: p.quotas.Records(now),
		}
		if response.TargetVersions = p.versionTimes.missing(datagram.Notice, now); response.TargetVersions != nil {
			response.TargetModel = p.versionTimes.model
		}
		response.VersionSum, response.VersionSumGateway = p.maxVersionSumLocked(now)
		p.mu.Unlock()
		if response.Address != "" {
			p.send(response, from)
		}
	}
}

// minSuspectInterval is the minimum time between two rounds in which suspects, the traits
// of requests during which endpoints crashed, are sent to all subscribers. Later changes are
// sent with the responses to subscriptions.
const minSuspectInterval = 50 * time.Millisecond

// sendSuspects sends the suspects that have changed to all subscribers at once, unless it did
// so less than minSuspectInterval ago. If they were sent only in responses to subscriptions,
// requests could crash further endpoints before they arrive. Less urgent ones are sent only
// there, since each round takes a datagram for each gateway.
func (p *Publisher) sendSuspects(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.suspectsSentAt) < minSuspectInterval {
		return
	}
	datagram := sidecarDatagram{Suspects: p.suspects.UrgentRecords(p.suspectsSentAt, now)}
	if len(datagram.Suspects) == 0 {
		return
	}
	p.suspectsSentAt = now
	for to := range p.subs {
		p.send(datagram, to)
	}
}

// allocatePermits responds to a permit request. If the request contains a new
// backpressure signal of the endpoint, allocatePermits sends the signal to all
// subscribers at once, so that they respect the new limit.
func (p *Publisher) allocatePermits(request backpressure.PermitRequest, from netip.AddrPort, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	grant, changed := p.quotas.Allocate(request, now)
	p.send(sidecarDatagram{Grant: &grant}, from)
	if !changed {
		return
	}
	for to := range p.subs {
		p.send(sidecarDatagram{Endpoints: []backpressure.Record{grant.Record}}, to)
	}
}

// Publish sends r to the subscribers if it differs from the last report sent, or if that
// was sent longer ago than the repeat interval. A ServesInMS that decreases with the time
// does not count as a difference. now is when the sidecar began to read the
// engine's state. updating selects updateRepeatInterval instead of repeatInterval.
func (p *Publisher) Publish(r fleet.Report, updating bool, now time.Time) {
	interval := repeatInterval
	if updating {
		interval = updateRepeatInterval
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Gateways = len(p.subs)
	p.lastRead = now
	moved := p.expected.observe(r.ServesInMS, now)
	r.ServesInMS = 0
	if r == p.last && !moved && now.Sub(p.lastSent) < interval {
		return
	}
	p.last = r
	p.lastSent = now
	p.expected.sent = p.expected.current
	p.number++
	for to, s := range p.subs {
		if now.Sub(s.subscribedAt) > subscriptionTTL {
			delete(p.subs, to)
		}
	}
	for to, position := range p.demandPositionsLocked() {
		p.send(sidecarDatagram{Report: p.reportFor(position, clock.Now()), Epoch: p.epoch, Number: p.number}, to)
	}
}

// reportFor returns the last report for a subscriber with the given demand position, with
// its age. Publisher.mu must be held.
func (p *Publisher) reportFor(position demandPosition, now time.Time) fleet.Report {
	r := withDemandPosition(p.last, position)
	r.ServesInMS = p.expected.remainingMS(now)
	if age := now.Sub(p.lastRead); age >= minReportAge {
		r.AgeMS = age.Milliseconds()
	}
	return r
}

// send sends a datagram to a gateway. Write errors are ignored.
func (p *Publisher) send(m sidecarDatagram, to netip.AddrPort) {
	data, err := json.Marshal(m)
	if err != nil {
		panic("loadreport: encode datagram: " + err.Error())
	}
	_, _ = p.conn.WriteToUDPAddrPort(data, to) // reports are repeated
}

// LastSubscribed returns when the last subscription was received; zero if none was.
func (p *Publisher) LastSubscribed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSubscribed
}

// Close closes the socket, which ends Run.
func (p *Publisher) Close() error { return p.conn.Close() }
