// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/storetest"
	"github.com/mintlift/mintlift/readerset"
	"github.com/mintlift/mintlift/storerelay"
	"github.com/mintlift/mintlift/telemetry"
)

// announcementsTopic is the topic of the announcements in the store.
const announcementsTopic = "keyed.mintlift-" + storerelay.AnnouncementsTopic

// newTestMembers returns the members of a region as a gateway with the address ip sees
// them, and its view of who reads the store.
func newTestMembers(address, ip, region string, linkMbps float64) (*regionMembers, *storerelay.Readers) {
	s := &platform.Settings{IP: ip, Region: region, Regions: map[string]string{"z": "r", "y": "r2"}}
	s.Limits.LinkMbps = linkMbps
	s.Store.Parts = 1
	p := &platformProcess{settings: s, log: logr.Discard(), watcher: platform.NewWatcher(platform.NewStore(network.System{}, address), logr.Discard(), telemetry.NewMetrics())}
	server := ingress.New(ingress.Settings{}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	readers := storerelay.NewReaders(ip, func(string) string { return "127.0.0.1:1" }, readerset.StartTimeout, network.System{}, logr.Discard())
	return newRegionMembers(p, server, readers), readers
}

// startStore starts a store and returns it with its address.
func startStore(t *testing.T) (*storetest.Store, string) {
	t.Helper()
	store := storetest.New()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		store.Close()
		server.Close()
	})
	return store, strings.TrimPrefix(server.URL, "http://")
}

// Gateways that start together must agree on two readers a region, those with fast links,
// with two calls of each to the store.
func TestGatewaysAgreeOnReaders(t *testing.T) {
	const gateways = 20
	store, address := startStore(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all []*storerelay.Readers
	for n := range gateways {
		linkMbps := 40.0
		if n%4 == 0 {
			linkMbps = 1000
		}
		m, readers := newTestMembers(address, fmt.Sprint("10.0.0.", n+1), fmt.Sprint("r", n%2), linkMbps)
		all = append(all, readers)
		go m.run(ctx, true)
	}
	reading := func() (out []int) {
		for n, r := range all {
			if r.Reader() {
				out = append(out, n)
			}
		}
		return out
	}
	for began := time.Now(); len(reading()) < 4; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 5*time.Second, "%d readers", len(reading()))
	}
	time.Sleep(announceSettle)
	assert.Equal(t, len(reading()), 4, "two in each of two regions")
	fast := 0
	for _, n := range reading() {
		if n%4 == 0 {
			fast++
		}
	}
	assert.Equal(t, fast, 2, "one region has gateways with fast links")
	assert.Assert(t, store.CallsFor(announcementsTopic) <= 2*gateways, "%d calls", store.CallsFor(announcementsTopic))
}

// A gateway that starts again must know its region from a single read, and must not
// announce itself again while its announcement counts.
func TestRestartedGatewayReadsAnnouncementsOnce(t *testing.T) {
	store, address := startStore(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, ip := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
		m, _ := newTestMembers(address, ip, "r", 40)
		m.announce(ctx)
	}
	before := store.CallsFor(announcementsTopic)
	m, readers := newTestMembers(address, "10.0.0.2", "r", 40)
	began := time.Now()
	go m.run(ctx, false)
	for readers.Members() < 3 {
		assert.Assert(t, time.Since(began) < announceSettle, "it waits")
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * announceSettle)
	assert.Equal(t, store.CallsFor(announcementsTopic)-before, 1)
}

// Gateways whose announcements are old, and those of other regions, do not count. A
// gateway whose announcement was lost must announce itself again.
func TestOldAnnouncementsDoNotCount(t *testing.T) {
	store, address := startStore(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	old := clock.UnixMilli() - announceTTL.Milliseconds() - 1000
	store.Put(announcementsTopic, "10.0.0.7", fmt.Sprintf(`{"region":"r","rate":5e6,"at":%d}`, old))
	store.Put(announcementsTopic, "10.0.0.8", fmt.Sprintf(`{"region":"other","rate":5e6,"at":%d}`, clock.UnixMilli()))
	store.Put(announcementsTopic, "10.0.0.9", `not JSON`)
	m, readers := newTestMembers(address, "10.0.0.1", "r", 40)
	go m.run(ctx, false)
	for began := time.Now(); readers.Members() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 5*time.Second)
	}
	assert.Equal(t, readers.Members(), 1)
	assert.Assert(t, readers.Reader())
}
