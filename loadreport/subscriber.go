// SPDX-License-Identifier: Apache-2.0

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
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/slotgrant"
)

// Subscriber subscribes a gateway to sidecars, and receives their reports.
type Subscriber struct {
	conn    network.DatagramConn
	started time.Time
}

// stamp returns the time since the subscriber started, in microseconds. Sidecars return
// it in their responses, which gives the round-trip time.
func (s *Subscriber) stamp() int64 { return clock.Since(s.started).Microseconds() }

// Echo is a sidecar's response to a subscription, beside its report.
type Echo struct {
	// RoundTrip is the time from the subscription to the response.
	RoundTrip time.Duration
	// Read is the furthest position in the operator's records that any gateway has
	// reported to the sidecar.
	Read history.Position
	// VersionSum is the highest Notice.VersionSum of the sidecar's current
	// subscribers. VersionSumGateway is the IP address of the gateway that sent it;
	// gateways with a lower sum can fetch newer records of the operator from it.
	VersionSum        int64
	VersionSumGateway string
	// TargetVersions are the target versions of the subscription that had an unknown age
	// in it, or a lower one with a late cutoff, with the ages that other gateways have
	// reported to the sidecar. TargetModel is their model.
	TargetModel    string
	TargetVersions []TargetVersion
}

// Handler handles the datagrams of sidecars. Its methods are not called concurrently.
type Handler interface {
	// HandleReport receives a report. e is nil unless the report is part of a response
	// to a subscription.
	HandleReport(r fleet.Report, e *Echo)
	// HandleSuspects receives the requests during which endpoints crashed, as reported
	// by gateways.
	HandleSuspects(suspects []quarantine.Record)
	// HandleGrant receives the response to Subscriber.RequestPermits.
	HandleGrant(g backpressure.Grant)
	// HandleSlotGrant receives slots of an engine, or the confirmation of a request for
	// them; see Subscriber.RequestSlots.
	HandleSlotGrant(g slotgrant.Grant)
	// HandleEndpoints receives the backpressure signals of endpoints, as reported by
	// gateways.
	HandleEndpoints(records []backpressure.Record)
}

// NewSubscriber listens for reports at address, IP:PORT. Run receives them.
func NewSubscriber(n network.Network, address string) (*Subscriber, error) {
	conn, err := n.ListenDatagrams(address)
	if err != nil {
		return nil, err
	}
	return &Subscriber{conn: conn, started: clock.Now()}, nil
}

// Run subscribes to the sidecars that groups returns, every SubscribeInterval, and
// passes what they send to h, until ctx ends. Each value of wake starts a round of
// subscriptions early, at least minRoundInterval after the last one; wake may be nil.
func (s *Subscriber) Run(ctx context.Context, groups func() []SubscriptionGroup, wake <-chan struct{}, h Handler) {
	var receiving sync.WaitGroup
	receiving.Go(func() { s.receive(h) })
	defer receiving.Wait()
	defer func() { _ = s.conn.Close() }()
	ticker := time.NewTicker(SubscribeInterval)
	defer ticker.Stop()
	for {
		for _, group := range groups() {
			s.subscribe(group)
		}
		clock.Sleep(ctx, minRoundInterval)
		select {
		case <-ticker.C:
		case <-wake:
		case <-ctx.Done():
			return
		}
	}
}

// subscribe sends a subscription to each sidecar of a group. It skips invalid addresses.
func (s *Subscriber) subscribe(group SubscriptionGroup) {
	text, err := json.Marshal(gatewayDatagram{Notice: group.Notice, Stamp: s.stamp()})
	if err != nil {
		panic("loadreport: encode subscription: " + err.Error())
	}
	for _, address := range group.Sidecars {
		if to, err := netip.ParseAddrPort(address); err == nil {
			_, _ = s.conn.WriteToUDPAddrPort(text, to) // subscriptions are renewed
		}
	}
}

// RequestPermits sends a permit request to the sidecar whose Publisher has the address
// sidecar, IP:PORT. The response is passed to Handler.HandleGrant.
func (s *Subscriber) RequestPermits(request backpressure.PermitRequest, sidecar string) {
	text, err := json.Marshal(gatewayDatagram{PermitRequest: &request})
	if err != nil {
		panic("loadreport: encode permit request: " + err.Error())
	}
	if to, err := netip.ParseAddrPort(sidecar); err == nil {
		_, _ = s.conn.WriteToUDPAddrPort(text, to) // requests are repeated while permits are needed
	}
}

// receive passes received datagrams to h until the socket is closed. It skips invalid
// datagrams.
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
			h.HandleSuspects(m.Suspects)
		}
		if len(m.Endpoints) > 0 {
			h.HandleEndpoints(m.Endpoints)
		}
		if m.Grant != nil {
			h.HandleGrant(*m.Grant)
		}
		if m.SlotGrant != nil {
			h.HandleSlotGrant(*m.SlotGrant)
		}
		switch {
		case m.Address == "":
		case m.Echo <= 0:
			h.HandleReport(m.Report, nil)
		default:
			h.HandleReport(m.Report, &Echo{
				RoundTrip: time.Duration(s.stamp()-m.Echo) * time.Microsecond,
				Read:      history.Position{Era: m.Era, Offset: m.Read}, VersionSum: m.VersionSum, VersionSumGateway: m.VersionSumGateway, TargetModel: m.TargetModel, TargetVersions: m.TargetVersions,
			})
		}
	}
}
