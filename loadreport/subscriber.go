// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/quarantine"
)

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
	ticker := time.NewTicker(SubscribeInterval)
	defer ticker.Stop()
	for {
		for _, a := range audiences() {
			s.subscribe(a)
		}
		clock.Sleep(ctx, minRoundInterval)
		select {
		case <-ticker.C:
		case <-soon:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Subscriber) subscribe(a Audience) {
	text, err := json.Marshal(gatewayDatagram{Notice: a.Notice, Stamp: s.stamp()})
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
	text, err := json.Marshal(gatewayDatagram{PermitRequest: &a})
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
		var m sidecarDatagram
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
				Read:      history.Position{Era: m.Era, Offset: m.Read}, Readers: m.Readers, Knowledge: m.VersionSum, Knower: m.VersionSumGateway,
			})
		}
	}
}
