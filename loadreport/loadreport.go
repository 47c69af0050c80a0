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
	SubscribeEvery = time.Second
	// subscription is how long one subscription lasts.
	subscription = 3500 * time.Millisecond
	// repeatEvery is how often an unchanged report is sent.
	repeatEvery = 300 * time.Millisecond
	maxDatagram = 2048
)

// subscribe is the datagram of a subscription. It tells the newest named
// versions along, for a sidecar that the store does not reach.
type subscribe struct {
	Named map[string]int `json:"named"`
}

// Publisher sends reports from a sidecar.
type Publisher struct {
	conn *net.UDPConn
	mu   sync.Mutex
	subs map[netip.AddrPort]time.Time
	last fleet.Report
	sent time.Time
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
		var message subscribe
		if err != nil || json.Unmarshal(buffer[:n], &message) != nil {
			continue
		}
		for model, version := range message.Named {
			named(model, version)
		}
		p.mu.Lock()
		if _, known := p.subs[from]; !known {
			p.sent = time.Time{}
		}
		p.subs[from] = time.Now()
		p.mu.Unlock()
	}
}

// Publish sends r to the subscribers if it is due.
func (p *Publisher) Publish(r fleet.Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r == p.last && now.Sub(p.sent) < repeatEvery {
		return
	}
	p.last = r
	p.sent = now
	data, err := json.Marshal(r)
	if err != nil {
		panic("loadreport: a report does not marshal: " + err.Error())
	}
	for to, since := range p.subs {
		if now.Sub(since) > subscription {
			delete(p.subs, to)
			continue
		}
		_, _ = p.conn.WriteToUDPAddrPort(data, to) // a lost report is followed by another
	}
}

// Close ends the publisher.
func (p *Publisher) Close() error { return p.conn.Close() }

// Subscriber receives reports at a gateway.
type Subscriber struct{ conn *net.UDPConn }

// NewSubscriber listens for reports at address.
func NewSubscriber(address string) (*Subscriber, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Subscriber{conn: conn}, nil
}

// Run subscribes at the sidecars, whose addresses it asks for, tells them
// the named versions, and hands on each report, until ctx ends.
func (s *Subscriber) Run(ctx context.Context, sidecars func() []string, named func() map[string]int, heard func(fleet.Report)) {
	context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	go s.receive(heard)
	ticker := time.NewTicker(SubscribeEvery)
	defer ticker.Stop()
	for {
		text, err := json.Marshal(subscribe{Named: named()})
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
		case <-ctx.Done():
			return
		}
	}
}

func (s *Subscriber) receive(heard func(fleet.Report)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var r fleet.Report
		if err != nil || json.Unmarshal(buffer[:n], &r) != nil || r.Address == "" {
			continue
		}
		heard(r)
	}
}
