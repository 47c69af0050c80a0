// SPDX-License-Identifier: Apache-2.0

// Package loadreport carries engines' load from the sidecars beside them to
// the gateways, by datagrams.
//
// A gateway subscribes at each sidecar once a second; a sidecar sends its
// report to those that did so lately, when it changes and now and then
// otherwise. A lost datagram costs one report's age, a restart on either
// side one second.
package loadreport

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/fleet"
)

// Timing.
const (
	// SubscribeEvery is how often a gateway subscribes.
	SubscribeEvery = 500 * time.Millisecond
	// subscription is how long one subscription lasts.
	subscription = 3500 * time.Millisecond
	// repeatEvery is how often an unchanged report is sent.
	repeatEvery = 300 * time.Millisecond
	// eagerEvery is the same while a version changes, when a gateway must
	// know at once that an engine stands still.
	eagerEvery  = 80 * time.Millisecond
	maxDatagram = 2048
)

// subscribe is the datagram of a subscription. It tells the newest named
// versions along, for a sidecar that the store does not reach.
type subscribe struct {
	Named map[string]int `json:"named"`
	// Stamp is the sender's own time, in microseconds; the answer echoes it.
	Stamp int64 `json:"stamp"`
}

// message is the datagram of a report.
type message struct {
	fleet.Report
	// Echo is the stamp of the subscription that is answered, or 0.
	Echo int64 `json:"e,omitempty"`
}

// Publisher sends reports from a sidecar.
type Publisher struct {
	conn *net.UDPConn
	mu   sync.Mutex
	// askedAt is when the last subscription came.
	askedAt time.Time
	subs    map[netip.AddrPort]time.Time
	last    fleet.Report
	sent    time.Time
}

// NewPublisher listens for subscriptions at address; named is told of each
// version that a gateway knows.
func NewPublisher(address string, named func(model string, version int)) (*Publisher, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	p := &Publisher{conn: conn, subs: make(map[netip.AddrPort]time.Time)}
	go p.receive(named)
	return p, nil
}

func listen(address string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp4", at)
	return conn, errors.Trace(err)
}

func (p *Publisher) receive(named func(string, int)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var asked subscribe
		if err != nil || json.Unmarshal(buffer[:n], &asked) != nil {
			continue
		}
		for model, version := range asked.Named {
			named(model, version)
		}
		p.mu.Lock()
		p.askedAt = time.Now()
		p.subs[from] = p.askedAt
		last := p.last
		p.mu.Unlock()
		if last.Address != "" {
			p.send(message{Report: last, Echo: asked.Stamp}, from)
		}
	}
}

// Publish sends r to the subscribers if it is due; eager says that a version
// is changing.
func (p *Publisher) Publish(r fleet.Report, eager bool, now time.Time) {
	every := repeatEvery
	if eager {
		every = eagerEvery
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Gateways = len(p.subs)
	if r == p.last && now.Sub(p.sent) < every {
		return
	}
	p.last = r
	p.sent = now
	for to, since := range p.subs {
		if now.Sub(since) > subscription {
			delete(p.subs, to)
			continue
		}
		p.send(message{Report: r}, to)
	}
}

func (p *Publisher) send(m message, to netip.AddrPort) {
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
	return p.askedAt
}

// Close ends the publisher.
func (p *Publisher) Close() error { return p.conn.Close() }

// Subscriber receives reports at a gateway.
type Subscriber struct {
	conn  *net.UDPConn
	began time.Time
}

// stamp is the subscriber's own time, in microseconds.
func (s *Subscriber) stamp() int64 { return time.Since(s.began).Microseconds() }

// Heard takes a report. roundTrip is the time from a subscription to this
// answer, or negative if the report answers none.
type Heard func(r fleet.Report, roundTrip time.Duration)

// NewSubscriber listens for reports at address.
func NewSubscriber(address string) (*Subscriber, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Subscriber{conn: conn, began: time.Now()}, nil
}

// Run subscribes at the sidecars, whose addresses it asks for, tells them
// the named versions, and hands on each report, until ctx ends. soon asks
// for a round ahead of its time.
func (s *Subscriber) Run(ctx context.Context, sidecars func() []string, named func() map[string]int, soon <-chan struct{}, heard Heard) {
	context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	go s.receive(heard)
	ticker := time.NewTicker(SubscribeEvery)
	defer ticker.Stop()
	for {
		text, err := json.Marshal(subscribe{Named: named(), Stamp: s.stamp()})
		if err != nil {
			panic("loadreport: a subscription does not marshal: " + err.Error())
		}
		for _, address := range sidecars() {
			if to, err := netip.ParseAddrPort(address); err == nil {
				_, _ = s.conn.WriteToUDPAddrPort(text, to) // asked again soon
			}
		}
		select {
		case <-ticker.C:
		case <-soon:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Subscriber) receive(heard Heard) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var m message
		if err != nil || json.Unmarshal(buffer[:n], &m) != nil || m.Address == "" {
			continue
		}
		roundTrip := time.Duration(-1)
		if m.Echo > 0 {
			roundTrip = time.Duration(s.stamp()-m.Echo) * time.Microsecond
		}
		heard(m.Report, roundTrip)
	}
}
