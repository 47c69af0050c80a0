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
	"github.com/mintlift/mintlift/quarantine"
)

// Publisher sends reports from a sidecar.
type Publisher struct {
	conn *net.UDPConn
	mu   sync.Mutex
	// askedAt is when the last subscription came.
	subscribedAt time.Time
	// read is how far any gateway has read the operator's records.
	read history.Position
	subs map[netip.AddrPort]subscriber
	// suspects is what gateways told of requests.
	suspects *quarantine.Table
	// toldAt is when all subscribers were last told of suspects.
	suspectsSentAt time.Time
	// quotas deals out the limits of endpoints.
	quotas *backpressure.Quotas
	last   fleet.Report
	lastSent   time.Time
}

// NewPublisher listens for subscriptions at address; Run takes them.
func NewPublisher(address string) (*Publisher, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Publisher{conn: conn, read: history.Unread, subs: make(map[netip.AddrPort]subscriber), suspects: quarantine.NewRelayed(), quotas: backpressure.NewQuotas()}, nil
}

// Run takes subscriptions until Close; told takes what each gateway tells.
func (p *Publisher) Run(told func(Notice)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var asked gatewayDatagram
		if err != nil || json.Unmarshal(buffer[:n], &asked) != nil {
			continue
		}
		now := clock.Now()
		if asked.PermitRequest != nil {
			p.allocatePermits(*asked.PermitRequest, from, now)
			continue
		}
		told(asked.Notice)
		if p.suspects.Merge(asked.Suspects, now) {
			p.sendSuspects(now)
		}
		p.mu.Lock()
		p.subscribedAt = now
		p.subs[from] = subscriber{subscribedAt: p.subscribedAt, region: asked.Region, demand: asked.Demand, versionSum: asked.Knowledge}
		p.read = history.Later(p.read, history.Position{Era: asked.Era, Offset: asked.Read})
		answer := sidecarDatagram{
			Report: withDemandPosition(p.last, p.demandPositionsLocked()[from]), Echo: asked.Stamp, Read: p.read.Offset, Era: p.read.Era,
			Readers: p.readersLocked(asked.Region), Suspects: p.suspects.Tell(now), Endpoints: p.quotas.Tell(now),
		}
		answer.VersionSum, answer.VersionSumGateway = p.maxVersionSumLocked(now)
		p.mu.Unlock()
		if answer.Address != "" {
			p.send(answer, from)
		}
	}
}

// tellPause is the least time between two rounds in which all subscribers are
// told of suspects; what comes sooner is told with the answers to
// subscriptions.
const minSuspectInterval = 50 * time.Millisecond

// tellSuspects tells all subscribers of suspects at once: told with the answers to
// subscriptions alone, a request would crash more endpoints until all know.
func (p *Publisher) sendSuspects(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.suspectsSentAt) < minSuspectInterval {
		return
	}
	p.suspectsSentAt = now
	news := sidecarDatagram{Suspects: p.suspects.Tell(now)}
	for to := range p.subs {
		p.send(news, to)
	}
}

// deal answers a wish for permits, and tells all subscribers at once what an
// endpoint has said anew: whoever did not hear it goes on sending.
func (p *Publisher) allocatePermits(a backpressure.Ask, from netip.AddrPort, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	grant, news := p.quotas.Ask(a, now)
	p.send(sidecarDatagram{Grant: &grant}, from)
	if !news {
		return
	}
	for to := range p.subs {
		p.send(sidecarDatagram{Endpoints: []backpressure.Record{grant.Record}}, to)
	}
}

// Publish sends r to the subscribers if it is due; eager says that a version
// is changing.
func (p *Publisher) Publish(r fleet.Report, eager bool, now time.Time) {
	every := repeatInterval
	if eager {
		every = updateRepeatInterval
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Gateways = len(p.subs)
	if r == p.last && now.Sub(p.lastSent) < every {
		return
	}
	p.last = r
	p.lastSent = now
	for to, s := range p.subs {
		if now.Sub(s.subscribedAt) > subscriptionTTL {
			delete(p.subs, to)
		}
	}
	for to, t := range p.demandPositionsLocked() {
		p.send(sidecarDatagram{Report: withDemandPosition(r, t)}, to)
	}
}

func (p *Publisher) send(m sidecarDatagram, to netip.AddrPort) {
	data, err := json.Marshal(m)
	if err != nil {
		panic("loadreport: a report does not marshal: " + err.Error())
	}
	_, _ = p.conn.WriteToUDPAddrPort(data, to) // a lost report is followed by another
}

// Asked is when a gateway was heard last; zero if none was.
func (p *Publisher) Asked() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subscribedAt
}

// Close ends the publisher.
func (p *Publisher) Close() error { return p.conn.Close() }
