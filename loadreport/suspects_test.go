// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
)

// newSuspectTable returns a table with one suspect: a request that has crashed enough
// endpoints to be quarantined, and the request's ID.
func newSuspectTable(now time.Time) (*quarantine.Table, quarantine.ID) {
	table := quarantine.New()
	id := quarantine.Identify(quarantine.Request{Target: "/x"})
	for n := range quarantine.Threshold {
		sent := now.Add(time.Duration(n-quarantine.Threshold) * time.Second)
		table.RecordCrash(quarantine.Traits{Identity: id}, quarantine.Observation{Endpoint: fmt.Sprint("e", n), Sent: sent, At: sent.Add(50 * time.Millisecond)})
	}
	return table, id
}

// A sidecar sends the suspects (requests during which endpoints crashed) that one gateway
// reports to all its subscribers: to current ones at once, and to a new one in the first
// response.
func TestSuspectsReachAllSubscribers(t *testing.T) {
	publisher, reporting := newPair(t, func(Notice) {})
	publisher.Publish(fleet.Report{Address: "a:1"}, false, time.Now())
	ctx := t.Context()
	table, id := newSuspectTable(time.Now())
	groups := func(suspects func() []quarantine.Record) func() []SubscriptionGroup {
		return func() []SubscriptionGroup {
			return []SubscriptionGroup{{Sidecars: []string{publisher.conn.LocalAddr().String()}, Notice: Notice{Suspects: suspects()}}}
		}
	}
	none := func() []quarantine.Record { return nil }
	subscribe := func() *recorder {
		s, err := NewSubscriber(network.System{}, "127.0.0.1:0")
		assert.NilError(t, err)
		got := &recorder{}
		go s.Run(ctx, groups(none), nil, got)
		return got
	}
	hasSuspect := func(h *recorder) func() bool {
		return func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.suspects[id].Crashes) >= quarantine.Threshold
		}
	}
	subscribed := subscribe()
	await(t, "a subscription", func() bool {
		subscribed.mu.Lock()
		defer subscribed.mu.Unlock()
		return subscribed.echoes > 0
	})
	go reporting.Run(ctx, groups(func() []quarantine.Record { return table.Records(time.Now()) }), nil, &recorder{})
	await(t, "suspects at the gateway that has subscribed", hasSuspect(subscribed))
	await(t, "suspects at a new gateway", hasSuspect(subscribe()))
}

// Guards against suspects that reach another gateway too late. The delay must be below
// the limit even if a datagram is lost on the way to the sidecar and another one on the
// way to the gateway.
func TestSuspectPropagationIsWithinLimit(t *testing.T) {
	const limit = 3 * time.Second
	toSidecar := minRoundInterval + SubscribeInterval // one subscription is lost
	toGateway := 2 * SubscribeInterval                // the unsolicited datagram and a response are lost
	assert.Assert(t, toSidecar+toGateway < limit, "%s", toSidecar+toGateway)
}

// The largest subscription and the largest response fit into a datagram.
func TestLargestDatagramsFit(t *testing.T) {
	now := time.Now()
	table := quarantine.New()
	for n := range 100 {
		traits := quarantine.Traits{
			Identity: quarantine.Identify(quarantine.Request{Target: string(rune('a' + n))}),
			Parts:    quarantine.Parts("m", fmt.Sprintf("%x:1,%x:1,", 2*n, 2*n+1)),
		}
		for crash := range 4 * quarantine.Threshold {
			sent := now.Add(time.Duration(10*crash-500) * time.Second)
			table.RecordCrash(traits, quarantine.Observation{Endpoint: fmt.Sprint("e", n, "/", crash), Sent: sent, At: sent.Add(9999 * time.Millisecond)})
		}
		if s := table.Status(traits, now); s.Quarantined {
			table.RecordRejection(s.Trait, now.Add(-time.Hour))
		}
	}
	subscription, err := json.Marshal(gatewayDatagram{
		Notice: Notice{
			Model: "a-model-with-a-long-name", Region: "a-region", TargetVersions: []TargetVersion{{1 << 20, 1 << 30, true}, {1 << 20, 1 << 30, true}}, Read: 1 << 40, Demand: 1e6,
			Weights:  &routing.WeightsConfig{Version: 1 << 40, Model: "a-model-with-a-long-name", Layers: 1000, Chunks: 1 << 20, ChunkBytes: 1 << 30, Origin: "255.255.255.255:65535", OriginZone: "an-availability-zone", OriginRate: 1e9},
			Suspects: table.Records(now),
		},
		Stamp: 1 << 50,
	})
	assert.NilError(t, err)
	assert.Assert(t, len(subscription) < maxDatagram, "%d bytes", len(subscription))
	response, err := json.Marshal(sidecarDatagram{
		Report:     fleet.Report{Address: "255.255.255.255:65535", Model: "a-model-with-a-long-name", Version: 1 << 20, Busy: true, UpdateScheduled: true, Running: 9999, Queued: 9999, Pace: 12.345678, WeightsChecksum: 1<<32 - 1, Gateways: 9999, GatewaysAhead: 9999, DemandAhead: 99.99, DemandShare: 0.99, StartedMS: 1 << 42, Orders: 1 << 30, AgeMS: 1 << 30, Draining: true, Limited: true, Limit: 123.456789, ServesInMS: 1 << 40},
		Epoch:      1 << 42,
		Number:     1 << 40,
		Echo:       1 << 50,
		Read:       1 << 40,
		VersionSum: 1 << 50, VersionSumGateway: "255.255.255.255",
		TargetModel: "a-model-with-a-long-name", TargetVersions: []TargetVersion{{1 << 20, 1 << 30, true}, {1 << 20, 1 << 30, true}, {1 << 20, 1 << 30, true}},
		Suspects:  table.Records(now),
		Endpoints: maxEndpointRecords(now),
	})
	assert.NilError(t, err)
	assert.Assert(t, len(response) < maxDatagram, "%d bytes", len(response))
}

// maxEndpointRecords returns the largest set of endpoint records that a sidecar sends.
func maxEndpointRecords(now time.Time) []backpressure.Record {
	quotas := backpressure.NewQuotas()
	for n := range 100 {
		quotas.Allocate(backpressure.PermitRequest{Record: backpressure.Record{ID: fmt.Sprintf("i-%022d", n), StartedMS: 1 << 42, Draining: true, Limited: true, Rate: 123.456789, LimitAgeMS: 1e6, Cold: &backpressure.ColdRecord{RemainingMS: 1e7, Rate: 123.456789, AgeMS: 1e7}}}, now)
	}
	return quotas.Records(now)
}

// A sidecar no longer suspects a request quarantine.CrashTTL after its last crash, if
// the gateways have stopped reporting it.
func TestSuspectsExpireAtSidecar(t *testing.T) {
	publisher, reporting := newPair(t, func(Notice) {})
	ctx, cancel := context.WithCancel(t.Context())
	table, id := newSuspectTable(time.Now())
	go reporting.Run(ctx, func() []SubscriptionGroup {
		return []SubscriptionGroup{{Sidecars: []string{publisher.conn.LocalAddr().String()}, Notice: Notice{Suspects: table.Records(time.Now())}}}
	}, nil, &recorder{})
	await(t, "suspects at the sidecar", func() bool { return publisher.suspects.Status(quarantine.Traits{Identity: id}, time.Now()).Quarantined })
	cancel()
	assert.Assert(t, !publisher.suspects.Status(quarantine.Traits{Identity: id}, time.Now().Add(quarantine.CrashTTL)).Suspected())
}
