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
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
)

// suspect returns a table with one request under which endpoints crashed.
func newSuspectTable(now time.Time) (*quarantine.Table, quarantine.ID) {
	table := quarantine.New()
	id := quarantine.Identify(quarantine.Request{Target: "/x"})
	for n := range quarantine.Threshold {
		sent := now.Add(time.Duration(n-quarantine.Threshold) * time.Second)
		table.Crashed(id, sent, sent.Add(50*time.Millisecond))
	}
	return table, id
}

// What one gateway tells a sidecar is heard by all that subscribe there, at once
// by those that have subscribed, and with its first answer by one that starts.
func TestSuspectsReachAllSubscribers(t *testing.T) {
	publisher, telling := newPair(t, func(Notice) {})
	publisher.Publish(fleet.Report{Address: "a:1"}, false, time.Now())
	ctx := t.Context()
	table, id := newSuspectTable(time.Now())
	audience := func(suspects func() []quarantine.Record) func() []Audience {
		return func() []Audience {
			return []Audience{{Sidecars: []string{publisher.conn.LocalAddr().String()}, Notice: Notice{Suspects: suspects()}}}
		}
	}
	none := func() []quarantine.Record { return nil }
	listen := func() *recorder {
		s, err := NewSubscriber("127.0.0.1:0")
		assert.NilError(t, err)
		got := &recorder{}
		go s.Run(ctx, audience(none), nil, got)
		return got
	}
	knows := func(h *recorder) func() bool {
		return func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.suspects[id].Crashes) >= quarantine.Threshold
		}
	}
	listening := listen()
	await(t, "a subscription", func() bool {
		listening.mu.Lock()
		defer listening.mu.Unlock()
		return listening.echoes > 0
	})
	go telling.Run(ctx, audience(func() []quarantine.Record { return table.Tell(time.Now()) }), nil, &recorder{})
	await(t, "those that have subscribed", knows(listening))
	await(t, "one that starts", knows(listen()))
}

// The longest way of a crash from one gateway to another, with one datagram lost
// on each half of it, is within the time in which all must know.
func TestSuspectPropagationIsWithinContactTime(t *testing.T) {
	const contact = 3 * time.Second
	told := minRoundInterval + SubscribeInterval // the first subscription is lost
	heard := 2 * SubscribeInterval        // the news and an answer are lost
	assert.Assert(t, told+heard < contact, "%s", told+heard)
}

// The largest subscription, and the largest answer, fit a datagram.
func TestLargestDatagramsFit(t *testing.T) {
	now := time.Now()
	table := quarantine.New()
	for n := range 100 {
		id := quarantine.Identify(quarantine.Request{Target: string(rune('a' + n))})
		for crash := range quarantine.Threshold + 2 {
			sent := now.Add(time.Duration(10*crash-500) * time.Second)
			table.Crashed(id, sent, sent.Add(9999*time.Millisecond))
		}
	}
	subscription, err := json.Marshal(gatewayDatagram{
		Notice: Notice{
			Model: "a-model-with-a-long-name", Region: "a-region", Named: []Named{{1 << 20, 1 << 30, true}, {1 << 20, 1 << 30, true}}, Read: 1 << 40, Demand: 1e6,
			Weights:  &routing.Weights{Version: 1 << 40, Model: "a-model-with-a-long-name", Layers: 1000, Chunks: 1 << 20, ChunkBytes: 1 << 30, Origin: "255.255.255.255:65535", OriginZone: "an-availability-zone", OriginRate: 1e9},
			Suspects: table.Tell(now),
		},
		Stamp: 1 << 50,
	})
	assert.NilError(t, err)
	assert.Assert(t, len(subscription) < maxDatagram, "%d bytes", len(subscription))
	answer, err := json.Marshal(sidecarDatagram{
		Report:    fleet.Report{Address: "255.255.255.255:65535", Model: "a-model-with-a-long-name", Version: 1 << 20, Busy: true, Promised: true, Running: 9999, Queued: 9999, Pace: 12.345678, Weights: 1<<32 - 1, Gateways: 9999, Turn: 99.99, Share: 0.99, Born: 1 << 42, Draining: true, Limited: true, Limit: 123.456789},
		Echo:      1 << 50,
		Read:      1 << 40,
		Readers:   []string{"255.255.255.255", "255.255.255.255"},
		Suspects:  table.Tell(now),
		Endpoints: maxEndpointRecords(now),
	})
	assert.NilError(t, err)
	assert.Assert(t, len(answer) < maxDatagram, "%d bytes", len(answer))
}

// toldEndpoints are as many and as long records of endpoints as a sidecar tells.
func maxEndpointRecords(now time.Time) []backpressure.Record {
	quotas := backpressure.NewQuotas()
	for n := range 100 {
		quotas.Ask(backpressure.Ask{Record: backpressure.Record{ID: fmt.Sprintf("i-%022d", n), Born: 1 << 42, Draining: true, Limited: true, Rate: 123.456789, LimitAgeMS: 1e6}}, now)
	}
	return quotas.Tell(now)
}

// A relay that stops hearing of a request forgets it.
func TestSuspectsExpireAtSidecar(t *testing.T) {
	publisher, telling := newPair(t, func(Notice) {})
	ctx, cancel := context.WithCancel(t.Context())
	table, id := newSuspectTable(time.Now())
	go telling.Run(ctx, func() []Audience {
		return []Audience{{Sidecars: []string{publisher.conn.LocalAddr().String()}, Notice: Notice{Suspects: table.Tell(time.Now())}}}
	}, nil, &recorder{})
	await(t, "suspects at the sidecar", func() bool { return publisher.suspects.Standing(id, time.Now()).Quarantined() })
	cancel()
	assert.Assert(t, !publisher.suspects.Standing(id, time.Now().Add(quarantine.Life)).Suspected())
}
