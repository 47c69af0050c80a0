// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/installer"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/telemetry"
)

// discardOperator takes what the operator wrote.
type discardOperator struct{}

func (discardOperator) Configured(*routing.Configuration) {}
func (discardOperator) Named(platform.Naming, bool)       {}

// discardReports takes what sidecars send.
type discardReports struct{}

func (discardReports) Heard(fleet.Report, *loadreport.Echo) {}
func (discardReports) Granted(backpressure.Grant)           {}
func (discardReports) HeardEndpoints([]backpressure.Record) {}
func (discardReports) HeardSuspects([]quarantine.Record)    {}

// A sidecar that gateways speak to reads nothing from the store; one that
// hears none reads on its own, all once and then what is new.
func TestSidecarReadsStoreOnlyWithoutGateways(t *testing.T) {
	var newest, reads atomic.Int32
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/log-newest" {
			newest.Add(1)
			_, _ = io.WriteString(w, `{"items":[],"more":false,"end":0}`)
			return
		}
		reads.Add(1)
		_, _ = w.Write(make([]byte, 16))
	}))
	defer store.Close()
	publisher, err := loadreport.NewPublisher("127.0.0.1:17701")
	assert.NilError(t, err)
	go publisher.Run(func(loadreport.Notice) {})
	defer publisher.Close()
	subscriber, err := loadreport.NewSubscriber("127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	speaking, silence := context.WithCancel(ctx)
	audience := loadreport.Audience{Sidecars: []string{"127.0.0.1:17701"}}
	go subscriber.Run(speaking, func() []loadreport.Audience { return []loadreport.Audience{audience} }, nil, discardReports{})
	for publisher.Asked().IsZero() {
		time.Sleep(5 * time.Millisecond)
	}
	p := &platformProcess{
		log:     logr.Discard(),
		watcher: platform.NewWatcher(platform.NewStore(strings.TrimPrefix(store.URL, "http://")), logr.Discard(), telemetry.NewMetrics()),
	}
	go p.watchOperatorFallback(ctx, discardOperator{}, publisher)
	time.Sleep(gatewayTimeout + gatewayTimeoutJitter + time.Second)
	assert.Equal(t, newest.Load()+reads.Load(), int32(0))
	silence()
	for began := time.Now(); reads.Load() < 2; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 20*time.Second, "it does not read on its own")
	}
	assert.Equal(t, newest.Load(), int32(1))
}

// A sidecar learns from a gateway all that it needs: how weights come, and
// the named versions; its reports show that it need not be told again.
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
	server.NameVersion("m", 2, true, now)
	server.NameVersion("m", 3, false, now.Add(-2*time.Second))
	select {
	case <-server.TellSoon():
	default:
		t.Fatal("a named version is not told at once")
	}

	notice := func() loadreport.Notice {
		for _, a := range subscriptionGroups(settings, server, operatorProgress{position: history.Unread}, now) {
			if len(a.Sidecars) > 0 {
				assert.DeepEqual(t, a.Sidecars, []string{"127.0.0.1:17711"})
				return a.Notice
			}
		}
		t.Fatal("nobody is told")
		return loadreport.Notice{}
	}
	view := &sidecarState{settings: settings}
	view.installer = installer.New(installer.Settings{Box: "127.0.0.1"}, nil, nil, nil, logr.Discard(), telemetry.NewMetrics())
	told := notice()
	assert.DeepEqual(t, told.Named, []loadreport.Named{{Version: 2, AgeMS: loadreport.UnknownAge}, {Version: 3, AgeMS: 2000}})
	view.handleNotice(told)
	want, _ := c.Weights("s")
	assert.DeepEqual(t, view.weightsConfig(), want)
	assert.Equal(t, view.layers("s"), 2)
	assert.Equal(t, view.layers("plain"), 0)

	server.Heard(fleet.Report{Address: "127.0.0.1:9", Weights: view.weightsChecksum()}, -1)
	assert.Assert(t, notice().Weights == nil, "it knows them")
	newer := routing.New(6, nil, []*routing.Service{{Name: "s", Engine: &routing.Engine{Model: "m", Chunks: 8, ChunkBytes: 64, Layers: 2}}}, nil, routing.Limits{})
	server.Apply(newer)
	assert.Equal(t, notice().Weights.Chunks, 8, "they have changed")
	view.handleNotice(notice())
	view.handleNotice(told)
	assert.Equal(t, view.weightsConfig().Chunks, 8, "an older gateway's word takes nothing back")
}
