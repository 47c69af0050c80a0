// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/evacuation"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/installer"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/storetest"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/storerelay"
	"github.com/mintlift/mintlift/telemetry"
)

// discardOperator is a platform.OperatorHandler that ignores the operator's records.
type discardOperator struct{}

func (discardOperator) HandleConfiguration(*routing.Configuration)       {}
func (discardOperator) HandleTargetVersion(platform.TargetVersion, bool) {}
func (discardOperator) HandleEvacuation(evacuation.Change)               {}

// discardReports is a loadreport.Handler that ignores the sidecars' messages.
type discardReports struct{}

func (discardReports) HandleReport(fleet.Report, *loadreport.Echo) {}
func (discardReports) HandleGrant(backpressure.Grant)              {}
func (discardReports) HandleEndpoints([]backpressure.Record)       {}
func (discardReports) HandleSuspects([]quarantine.Record)          {}

// Checks that a sidecar reads nothing from the store while a gateway sends notices.
// Without notices it must read all newest records once, and then only new records.
func TestSidecarReadsStoreOnlyWithoutGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var newest, reads atomic.Int32
		defer time.Sleep(time.Second) // virtual, until the closed connections have been noticed
		memory := newMemoryNetwork()
		storeBox, sidecarBox, gatewayBox := memory.Box(memoryStoreIP, "r"), memory.Box("10.78.1.100", "r"), memory.Box("10.78.1.1", "r")
		storeAddress, sidecarAddress := memoryStoreIP+":8007", "10.78.1.100:17701"
		listener, err := storeBox.Listen(t.Context(), "tcp4", storeAddress, 0)
		assert.NilError(t, err)
		store := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/log-newest" {
				if r.URL.Query().Get("topic") == storetest.Operator {
					newest.Add(1)
				}
				_, _ = io.WriteString(w, `{"items":[],"more":false,"end":0}`)
				return
			}
			reads.Add(1)
			_, _ = w.Write(make([]byte, 16))
		})}
		go func() { _ = store.Serve(listener) }()
		defer store.Close()
		publisher, err := loadreport.NewPublisher(sidecarBox, sidecarAddress)
		assert.NilError(t, err)
		go publisher.Run(func(loadreport.Notice) {})
		defer publisher.Close()
		subscriber, err := loadreport.NewSubscriber(gatewayBox, "10.78.1.1:0")
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		subscribing, stopNotices := context.WithCancel(ctx)
		group := loadreport.SubscriptionGroup{Sidecars: []string{sidecarAddress}}
		go subscriber.Run(subscribing, func() []loadreport.SubscriptionGroup { return []loadreport.SubscriptionGroup{group} }, nil, discardReports{})
		for publisher.LastSubscribed().IsZero() {
			time.Sleep(5 * time.Millisecond)
		}
		p := &platformProcess{
			settings: &platform.Settings{},
			log:      logr.Discard(),
			watcher:  platform.NewWatcher(platform.NewStore(sidecarBox, storeAddress), logr.Discard(), telemetry.NewMetrics()),
		}
		go newFallback(p, discardOperator{}, func(loadreport.Notice) {}, newSidecarGateways(p, publisher), storerelay.NewClient(sidecarBox)).run(ctx)
		time.Sleep(gatewayTimeout + gatewayTimeoutJitter + time.Second)
		assert.Equal(t, newest.Load()+reads.Load(), int32(0))
		stopNotices()
		for began := time.Now(); reads.Load() < 2; time.Sleep(20 * time.Millisecond) {
			assert.Assert(t, time.Since(began) < 20*time.Second, "the sidecar does not read the store")
		}
		assert.Equal(t, newest.Load(), int32(1))
	})
}

// Checks that a sidecar gets the weights configuration and the target versions from a
// gateway's notices, and that the gateway omits the configuration once the sidecar has
// reported its checksum.
func TestSidecarConfiguredByGateway(t *testing.T) {
	settings := &platform.Settings{IP: "127.0.0.1", Service: "s", InternalPorts: [2]int{17710, 17720}}
	c := routing.New(5, nil, []*routing.Service{
		{Name: "s", Engine: &routing.Engine{Model: "m", Chunks: 4, ChunkBytes: 64, Layers: 2, Slots: 3}},
		{Name: "weights", Origin: "127.0.0.1:1", Zone: "z", OriginRate: 1e6},
		{Name: "plain"},
	}, nil, routing.Limits{})
	server := ingress.New(ingress.Settings{VersionDeadline: 8 * time.Second}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	server.Apply(c)
	server.SetEndpoints([]fleet.Record{{ID: "e", Service: "s", Address: "127.0.0.1:9"}, {ID: "p", Service: "plain", Address: "127.0.0.1:8"}})
	now := time.Now()
	server.SetTargetVersion("m", 2, true, now)
	server.SetTargetVersion("m", 3, false, now.Add(-2*time.Second))
	select {
	case <-server.NoticeDue():
	default:
		t.Fatal("no notice is due after a target version was set")
	}

	watcher := platform.NewWatcher(platform.NewStore(network.System{}, "127.0.0.1:1"), logr.Discard(), telemetry.NewMetrics())
	notice := func() loadreport.Notice {
		for _, g := range newNotices(settings, server, watcher).groups(now) {
			if len(g.Sidecars) > 0 {
				assert.DeepEqual(t, g.Sidecars, []string{"127.0.0.1:17711"})
				return g.Notice
			}
		}
		t.Fatal("no sidecar gets a notice")
		return loadreport.Notice{}
	}
	state := &sidecarState{settings: settings}
	state.installer = installer.New(installer.Settings{Box: "127.0.0.1"}, nil, nil, nil, logr.Discard(), telemetry.NewMetrics())
	first := notice()
	assert.DeepEqual(t, first.TargetVersions, []loadreport.TargetVersion{{Version: 2, AgeMS: loadreport.UnknownAge}, {Version: 3, AgeMS: 2000}})
	state.handleNotice(first)
	want, _ := c.Weights("s")
	assert.DeepEqual(t, state.weightsConfig(), want)
	assert.Equal(t, state.layers("s"), 2)
	assert.Equal(t, state.layers("plain"), 0)

	server.HandleReport(fleet.Report{Address: "127.0.0.1:9", WeightsChecksum: state.weightsChecksum()}, -1)
	assert.Assert(t, notice().Weights == nil, "the sidecar has the weights configuration")
	newer := routing.New(6, nil, []*routing.Service{{Name: "s", Engine: &routing.Engine{Model: "m", Chunks: 8, ChunkBytes: 64, Layers: 2}}}, nil, routing.Limits{})
	server.Apply(newer)
	assert.Equal(t, notice().Weights.Chunks, 8, "the weights configuration has changed")
	state.handleNotice(notice())
	state.handleNotice(first)
	assert.Equal(t, state.weightsConfig().Chunks, 8, "a notice with an older configuration does not replace a newer one")
}
