// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
)

// recorder is a Handler that stores the arguments of its calls.
type recorder struct {
	mu      sync.Mutex
	reports []fleet.Report
	echoes  int
	read    int64
	echo    Echo
	// suspects are the suspect requests received, by ID.
	suspects  map[quarantine.ID]quarantine.Record
	grants    []backpressure.Grant
	endpoints []backpressure.Record
}

// HandleSuspects implements Handler.
func (h *recorder) HandleSuspects(suspects []quarantine.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspects == nil {
		h.suspects = make(map[quarantine.ID]quarantine.Record)
	}
	for _, r := range suspects {
		h.suspects[r.ID] = r
	}
}

// HandleGrant implements Handler.
func (h *recorder) HandleGrant(g backpressure.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grants = append(h.grants, g)
}

// HandleEndpoints implements Handler.
func (h *recorder) HandleEndpoints(records []backpressure.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endpoints = append(h.endpoints, records...)
}

// HandleReport implements Handler.
func (h *recorder) HandleReport(r fleet.Report, e *Echo) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, r)
	if e != nil {
		h.echoes++
		h.read = max(h.read, e.Read.Offset)
		h.echo = *e
	}
}

// await waits until ok returns true, and fails the test with the message what after 10 s.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second, what)
	}
}

// newPair returns a running publisher that passes notices to onNotice, and a
// subscriber that is not running.
func newPair(t *testing.T, onNotice func(Notice)) (*Publisher, *Subscriber) {
	t.Helper()
	publisher, err := NewPublisher(network.System{}, "127.0.0.1:0")
	assert.NilError(t, err)
	go publisher.Run(onNotice)
	t.Cleanup(func() { _ = publisher.Close() })
	subscriber, err := NewSubscriber(network.System{}, "127.0.0.1:0")
	assert.NilError(t, err)
	return publisher, subscriber
}

// A running subscriber receives the publisher's reports and the responses to its
// subscriptions, and the publisher receives its notice.
func TestSubscriberReceivesReports(t *testing.T) {
	var mu sync.Mutex
	var received Notice
	publisher, subscriber := newPair(t, func(n Notice) {
		mu.Lock()
		defer mu.Unlock()
		received = n
	})
	notice := Notice{
		Model:          "m",
		Weights:        &routing.WeightsConfig{Version: 7, Model: "m", Layers: 4, Chunks: 64, ChunkBytes: 4096, Origin: "127.0.0.1:9", OriginZone: "z", OriginRate: 1e6},
		TargetVersions: []TargetVersion{{Version: 2, AgeMS: UnknownAge}, {Version: 3, AgeMS: 1500}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var got recorder
	group := SubscriptionGroup{Sidecars: []string{publisher.conn.LocalAddr().String(), "nonsense"}, Notice: notice}
	go subscriber.Run(ctx, func() []SubscriptionGroup { return []SubscriptionGroup{group} }, nil, &got)
	report := fleet.Report{Address: "a:1", Model: "m", Version: 2, Running: 3}
	await(t, "a report and an echo", func() bool {
		publisher.Publish(report, false, time.Now())
		got.mu.Lock()
		defer got.mu.Unlock()
		return len(got.reports) > 1 && got.echoes > 0
	})
	got.mu.Lock()
	last := got.reports[len(got.reports)-1]
	got.mu.Unlock()
	assert.Equal(t, last.Running, 3)
	assert.Equal(t, last.Gateways, 1)
	mu.Lock()
	assert.DeepEqual(t, received, notice)
	mu.Unlock()
	assert.Assert(t, time.Since(publisher.LastSubscribed()) < 2*time.Second)
}

// A changed report is sent at once, and an unchanged one only after the repeat interval.
func TestUnchangedReportIsRepeated(t *testing.T) {
	publisher, _ := newPair(t, func(Notice) {})
	now := time.Now()
	report := fleet.Report{Address: "a:1"}
	publisher.Publish(report, false, now)
	first := publisher.lastSent
	publisher.Publish(report, false, now.Add(repeatInterval/2))
	assert.Equal(t, publisher.lastSent, first)
	publisher.Publish(report, false, now.Add(repeatInterval))
	assert.Assert(t, publisher.lastSent.After(first))
	publisher.Publish(report, true, now.Add(repeatInterval+updateRepeatInterval))
	assert.Equal(t, publisher.lastSent, now.Add(repeatInterval+updateRepeatInterval), "repeated after the shorter interval during a version update")
	report.Running = 1
	publisher.Publish(report, false, now.Add(repeatInterval+updateRepeatInterval+time.Millisecond))
	assert.Equal(t, publisher.lastSent, now.Add(repeatInterval+updateRepeatInterval+time.Millisecond), "a change is sent at once")
}

// A gateway that has stopped gets no reports after its subscription has expired.
func TestSubscriptionExpires(t *testing.T) {
	publisher, subscriber := newPair(t, func(Notice) {})
	ctx, cancel := context.WithCancel(context.Background())
	group := SubscriptionGroup{Sidecars: []string{publisher.conn.LocalAddr().String()}}
	go subscriber.Run(ctx, func() []SubscriptionGroup { return []SubscriptionGroup{group} }, nil, &recorder{})
	subscribed := func() int {
		publisher.mu.Lock()
		defer publisher.mu.Unlock()
		return len(publisher.subs)
	}
	await(t, "a subscription", func() bool { return subscribed() == 1 })
	cancel()
	publisher.Publish(fleet.Report{Address: "a:1"}, false, time.Now().Add(subscriptionTTL+time.Second))
	assert.Equal(t, subscribed(), 0)
}

// SetAt subtracts the age, and returns the zero time for an unknown age.
func TestTargetVersionSetAt(t *testing.T) {
	now := time.Now()
	assert.Assert(t, TargetVersion{AgeMS: UnknownAge}.SetAt(now).IsZero())
	assert.Equal(t, TargetVersion{AgeMS: 1500}.SetAt(now), now.Add(-1500*time.Millisecond))
}

// A sidecar's response carries the furthest position in the operator's records that any
// of its subscribers has reported.
func TestEchoCarriesFurthestReadPosition(t *testing.T) {
	publisher, behind := newPair(t, func(Notice) {})
	ahead, err := NewSubscriber(network.System{}, "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	publisher.Publish(fleet.Report{Address: "a:1"}, false, time.Now())
	run := func(s *Subscriber, read int64, h Handler) {
		group := SubscriptionGroup{Sidecars: []string{publisher.conn.LocalAddr().String()}, Notice: Notice{Read: read}}
		go s.Run(ctx, func() []SubscriptionGroup { return []SubscriptionGroup{group} }, nil, h)
	}
	var got recorder
	run(behind, 3, &got)
	run(ahead, 7, &recorder{})
	await(t, "the position of the other gateway", func() bool {
		got.mu.Lock()
		defer got.mu.Unlock()
		return got.read == 7
	})
}

// A gateway with more demand comes first more often, and its share is proportional to
// its demand.
func TestDemandPositionsFollowDemand(t *testing.T) {
	publisher, _ := newPair(t, func(Notice) {})
	small, large := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	publisher.subs[small] = subscriber{subscribedAt: time.Now(), demand: 9}
	publisher.subs[large] = subscriber{subscribedAt: time.Now(), demand: 29}
	const rounds = 4000
	ahead := 0
	for range rounds {
		positions := publisher.demandPositionsLocked()
		assert.Equal(t, positions[small].share, 0.25)
		assert.Equal(t, positions[large].share, 0.75)
		assert.Equal(t, positions[small].gatewaysAhead+positions[large].gatewaysAhead, 1, "one of them is first")
		assert.Equal(t, positions[large].gatewaysAhead == 0, positions[large].ahead == 0)
		if positions[large].ahead == 0 {
			ahead++
			assert.Equal(t, positions[small].ahead, 1.5, "three quarters of the demand of two gateways")
		} else {
			assert.Equal(t, positions[small].ahead, 0.0)
			assert.Equal(t, positions[large].ahead, 0.5)
		}
	}
	assert.Assert(t, ahead > rounds*70/100 && ahead < rounds*80/100, "%d of %d", ahead, rounds)
}

// A subscription also expires while the host is suspended.
func TestSubscriptionsExpireDuringSuspension(t *testing.T) {
	publisher, subscriber := newPair(t, func(Notice) {})
	ctx, cancel := context.WithCancel(context.Background())
	group := SubscriptionGroup{Sidecars: []string{publisher.conn.LocalAddr().String()}, Notice: Notice{Region: "r"}}
	go subscriber.Run(ctx, func() []SubscriptionGroup { return []SubscriptionGroup{group} }, nil, &recorder{})
	await(t, "a subscription", func() bool { return len(publisher.Gateways("r", 2, clock.Now())) == 1 })
	cancel()
	time.Sleep(50 * time.Millisecond) // datagrams in flight
	clock.SuspendForTest(t, subscriptionTTL)
	assert.Equal(t, len(publisher.Gateways("r", 2, clock.Now())), 0)
	assert.Assert(t, clock.Since(publisher.LastSubscribed()) >= subscriptionTTL)
}

// Guards against a gateway that cannot start because the one before it in the same place
// still uses its address: when Run returns, the address must be free again.
func TestSubscriberReleasesItsAddress(t *testing.T) {
	const address = "127.79.0.1:29317"
	for range 500 {
		s, err := NewSubscriber(network.System{}, address)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Run(ctx, func() []SubscriptionGroup { return nil }, nil, nil)
		}()
		cancel()
		<-done
	}
}
