// SPDX-License-Identifier: Apache-2.0

// Package loadreport carries engines' load from the sidecars beside them to
// the gateways, by datagrams.
//
// A gateway subscribes at each sidecar now and then; a sidecar sends its
// report to those that did so lately, when it changes and now and then
// otherwise. A lost datagram costs one report's age, a restart on either
// side SubscribeEvery.
//
// A subscription carries a Notice: what a sidecar needs to know of the
// operator's records, so that it need not read them from the store.
package loadreport

import (
	"context"
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
	"github.com/mintlift/mintlift/routing"
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
	eagerEvery = 80 * time.Millisecond
	// soonPause is the least time between two rounds of subscriptions.
	soonPause   = 100 * time.Millisecond
	maxDatagram = 2048
)

// Notice is what a gateway tells the sidecars of a service.
type Notice struct {
	Model string `json:"model,omitempty"`
	// Region is where the gateway is.
	Region string `json:"region,omitempty"`
	// Named are the newest named versions of the model, the newest last.
	Named []Named `json:"named,omitempty"`
	// Read is the offset up to which the gateway has read the operator's records,
	// or -1, and Era the era of that offset.
	Read int64 `json:"read"`
	Era  int64 `json:"era,omitempty"`
	// Knowledge is how much the gateway knows of what the operator wrote, as
	// platform.Watcher counts it.
	Knowledge int64 `json:"known,omitempty"`
	// Demand is how many requests a second for the service the gateway got
	// lately.
	Demand float64 `json:"demand"`
	// Weights are left out for sidecars whose reports show that they know
	// them.
	Weights *routing.Weights `json:"weights,omitempty"`
	// Suspects are requests under which endpoints crashed. They are told to
	// the sidecars that all gateways watch, which pass them on.
	Suspects []quarantine.Record `json:"suspects,omitempty"`
}

// Named is a version that the operator named.
type Named struct {
	Version int `json:"version"`
	// AgeMS is how long ago the gateway learned of it, in milliseconds, or
	// UnknownAge if it was named before the gateway started.
	AgeMS int64 `json:"age_ms"`
	// Overdue says that the gateway sends nothing to older versions any more.
	Overdue bool `json:"overdue,omitempty"`
}

// UnknownAge is the age of a version that was named at an unknown time.
const UnknownAge = -1

// Since returns when the version was named, seen from now; zero if that is
// not known.
func (n Named) Since(now time.Time) time.Time {
	if n.AgeMS < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(n.AgeMS) * time.Millisecond)
}

// Audience are sidecars of one service and what they are told.
type Audience struct {
	Sidecars []string // IP:PORT of their publishers
	Notice   Notice
}

// subscribe is the datagram of a subscription.
type subscribe struct {
	Notice
	// Stamp is the sender's own time, in microseconds; the answer echoes it.
	Stamp int64 `json:"stamp"`
	// Ask is a wish for permits. It comes alone: such a datagram is no
	// subscription.
	Ask *backpressure.Ask `json:"ask,omitempty"`
}

// message is the datagram of a report.
type message struct {
	fleet.Report
	// Echo is the stamp of the subscription that is answered, or 0.
	Echo int64 `json:"e,omitempty"`
	// Read and Readers are, in such an answer, those of an Echo.
	Read    int64    `json:"o,omitempty"`
	Era     int64    `json:"h,omitempty"`
	Readers []string `json:"l,omitempty"`
	// Knowledge and Knower are those of an Echo.
	Knowledge int64  `json:"k,omitempty"`
	Knower    string `json:"i,omitempty"`
	// Suspects are what gateways told. They come in such an answer, and alone
	// when there is news.
	Suspects []quarantine.Record `json:"x,omitempty"`
	// Grant answers an Ask. It comes alone.
	Grant *backpressure.Grant `json:"grant,omitempty"`
	// Endpoints is what gateways heard of endpoints. It comes as Suspects do.
	Endpoints []backpressure.Record `json:"endpoints,omitempty"`
}

// Publisher sends reports from a sidecar.
type Publisher struct {
	conn *net.UDPConn
	mu   sync.Mutex
	// askedAt is when the last subscription came.
	askedAt time.Time
	// read is how far any gateway has read the operator's records.
	read history.Position
	subs map[netip.AddrPort]subscriber
	// suspects is what gateways told of requests.
	suspects *quarantine.Table
	// toldAt is when all subscribers were last told of suspects.
	toldAt time.Time
	// quotas deals out the limits of endpoints.
	quotas *backpressure.Quotas
	last   fleet.Report
	sent   time.Time
}

// NewPublisher listens for subscriptions at address; Run takes them.
func NewPublisher(address string) (*Publisher, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Publisher{conn: conn, read: history.Unread, subs: make(map[netip.AddrPort]subscriber), suspects: quarantine.NewRelayed(), quotas: backpressure.NewQuotas()}, nil
}

func listen(address string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp4", at)
	return conn, errors.Trace(err)
}

// Run takes subscriptions until Close; told takes what each gateway tells.
func (p *Publisher) Run(told func(Notice)) {
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
		now := clock.Now()
		if asked.Ask != nil {
			p.deal(*asked.Ask, from, now)
			continue
		}
		told(asked.Notice)
		if p.suspects.Merge(asked.Suspects, now) {
			p.tellSuspects(now)
		}
		p.mu.Lock()
		p.askedAt = now
		p.subs[from] = subscriber{since: p.askedAt, region: asked.Region, demand: asked.Demand, knowledge: asked.Knowledge}
		p.read = history.Later(p.read, history.Position{Era: asked.Era, Offset: asked.Read})
		answer := message{
			Report: withTurn(p.last, p.turnsLocked()[from]), Echo: asked.Stamp, Read: p.read.Offset, Era: p.read.Era,
			Readers: p.readersLocked(asked.Region), Suspects: p.suspects.Tell(now), Endpoints: p.quotas.Tell(now),
		}
		answer.Knowledge, answer.Knower = p.knowsMostLocked(now)
		p.mu.Unlock()
		if answer.Address != "" {
			p.send(answer, from)
		}
	}
}

// tellPause is the least time between two rounds in which all subscribers are
// told of suspects; what comes sooner is told with the answers to
// subscriptions.
const tellPause = 50 * time.Millisecond

// tellSuspects tells all subscribers of suspects at once: told with the answers to
// subscriptions alone, a request would crash more endpoints until all know.
func (p *Publisher) tellSuspects(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.toldAt) < tellPause {
		return
	}
	p.toldAt = now
	news := message{Suspects: p.suspects.Tell(now)}
	for to := range p.subs {
		p.send(news, to)
	}
}

// deal answers a wish for permits, and tells all subscribers at once what an
// endpoint has said anew: whoever did not hear it goes on sending.
func (p *Publisher) deal(a backpressure.Ask, from netip.AddrPort, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	grant, news := p.quotas.Ask(a, now)
	p.send(message{Grant: &grant}, from)
	if !news {
		return
	}
	for to := range p.subs {
		p.send(message{Endpoints: []backpressure.Record{grant.Record}}, to)
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
	for to, s := range p.subs {
		if now.Sub(s.since) > subscription {
			delete(p.subs, to)
		}
	}
	for to, t := range p.turnsLocked() {
		p.send(message{Report: withTurn(r, t)}, to)
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
func (s *Subscriber) stamp() int64 { return clock.Since(s.began).Microseconds() }

// Echo is what a sidecar tells in answer to a subscription.
type Echo struct {
	// RoundTrip is the time from the subscription to the answer.
	RoundTrip time.Duration
	// Read is how far any gateway that subscribed there has read the
	// operator's records.
	Read history.Position
	// Knowledge is the most that a gateway which subscribed there lately knows of
	// what the operator wrote, and Knower that gateway's IP number.
	Knowledge int64
	Knower    string
	// Readers are the IP numbers of the first gateways of the subscriber's
	// region, in an order that all compute alike, of those that subscribed
	// there: they read the list of endpoints for the others.
	Readers []string
}

// Handler takes what sidecars send. Its methods are called one after the other.
type Handler interface {
	// Heard takes a report; e is nil if it answers no subscription.
	Heard(r fleet.Report, e *Echo)
	// HeardSuspects takes what gateways told of requests under which endpoints
	// crashed.
	HeardSuspects(suspects []quarantine.Record)
	// Granted takes the answer to Subscriber.Ask.
	Granted(g backpressure.Grant)
	// HeardEndpoints takes what gateways heard of endpoints.
	HeardEndpoints(records []backpressure.Record)
}

// NewSubscriber listens for reports at address.
func NewSubscriber(address string) (*Subscriber, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Subscriber{conn: conn, began: clock.Now()}, nil
}

// Run subscribes at the sidecars that audiences tells, and hands on each
// report, until ctx ends. soon asks for a round ahead of its time.
func (s *Subscriber) Run(ctx context.Context, audiences func() []Audience, soon <-chan struct{}, h Handler) {
	context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	go s.receive(h)
	ticker := time.NewTicker(SubscribeEvery)
	defer ticker.Stop()
	for {
		for _, a := range audiences() {
			s.subscribe(a)
		}
		clock.Sleep(ctx, soonPause)
		select {
		case <-ticker.C:
		case <-soon:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Subscriber) subscribe(a Audience) {
	text, err := json.Marshal(subscribe{Notice: a.Notice, Stamp: s.stamp()})
	if err != nil {
		panic("loadreport: a subscription does not marshal: " + err.Error())
	}
	for _, address := range a.Sidecars {
		if to, err := netip.ParseAddrPort(address); err == nil {
			_, _ = s.conn.WriteToUDPAddrPort(text, to) // asked again soon
		}
	}
}

// Ask asks the sidecar that publishes at an address for permits; the answer comes to
// the Handler.
func (s *Subscriber) Ask(a backpressure.Ask, sidecar string) {
	text, err := json.Marshal(subscribe{Ask: &a})
	if err != nil {
		panic("loadreport: an ask does not marshal: " + err.Error())
	}
	if to, err := netip.ParseAddrPort(sidecar); err == nil {
		_, _ = s.conn.WriteToUDPAddrPort(text, to) // asked again while it is wanted
	}
}

func (s *Subscriber) receive(h Handler) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var m message
		if err != nil || json.Unmarshal(buffer[:n], &m) != nil {
			continue
		}
		if len(m.Suspects) > 0 {
			h.HeardSuspects(m.Suspects)
		}
		if len(m.Endpoints) > 0 {
			h.HeardEndpoints(m.Endpoints)
		}
		if m.Grant != nil {
			h.Granted(*m.Grant)
		}
		switch {
		case m.Address == "":
		case m.Echo <= 0:
			h.Heard(m.Report, nil)
		default:
			h.Heard(m.Report, &Echo{
				RoundTrip: time.Duration(s.stamp()-m.Echo) * time.Microsecond,
				Read:      history.Position{Era: m.Era, Offset: m.Read}, Readers: m.Readers, Knowledge: m.Knowledge, Knower: m.Knower,
			})
		}
	}
}
