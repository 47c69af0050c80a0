// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/capacity"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/storetest"
	"github.com/mintlift/mintlift/readerset"
)

// seededStart is the time within which a gateway that the store turns away must serve if
// others that have everything are alive.
const seededStart = time.Second

// hang leaves requests without a response until the test ends.
func hang(t *testing.T) http.Handler {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-ended:
		}
	})
}

// serveTest starts a server and returns its address, IP:PORT.
func serveTest(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// startGatewayWith starts a gateway with further settings; see newPlatformProcess.
func startGatewayWith(t *testing.T, ip, store, extra string) {
	t.Helper()
	group, err := startPlatformGateway(context.Background(), newPlatformProcess(t, ip, store, extra))
	assert.NilError(t, err)
	t.Cleanup(func() { closeNow(group) })
}

// placed returns the settings of a gateway at a loopback address, in a region.
func placed(ip, region string, seeds ...string) string {
	return fmt.Sprintf(`,"region":%q,"zones":{"z":"r","y":"r2"},"listen":{"control":%q},"seeds":["%s"]`,
		region, net.JoinHostPort(ip, "8000"), strings.Join(seeds, `","`))
}

// A gateway that starts while the store turns it away must find the others through the
// seeds in its settings, of which some are down, and serve with what they have.
func TestGatewayStartsFromSeeds(t *testing.T) {
	for n, test := range []struct {
		name  string
		store func(t *testing.T) http.Handler
		// seed is the number of the gateway that is the seed: 1 is in the region of the
		// one that starts, 2 in another.
		seed int
	}{
		{"silent store, seed of the region", hang, 1},
		{"silent store, seed of another region", hang, 2},
		{"refusing store, seed of another region", func(*testing.T) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			network := fmt.Sprint("127.79.", 1+n)
			d, address := newRouteStore(t)
			startGatewayWith(t, network+".1", address, placed(network+".1", "r"))
			startGatewayWith(t, network+".2", address, placed(network+".2", "r2"))
			for n := 1; n <= 2; n++ {
				d.awaitService(t, fmt.Sprint(network, ".", n), 20*time.Second)
			}
			seeds := []string{"127.79.0.1:1", serveTest(t, hang(t)), fmt.Sprint(network, ".", test.seed, ":8000")}
			turnedAway := serveTest(t, test.store(t))
			began := time.Now()
			startGatewayWith(t, network+".3", turnedAway, placed(network+".3", "r", seeds...))
			d.awaitService(t, network+".3", 5*time.Second)
			took := time.Since(began)
			t.Logf("serves after %s", took)
			assert.Assert(t, took < seededStart, "serves after %s", took)
		})
	}
}

// awaitService waits until a request through the gateway at a loopback address is served.
func (d *routeDeployment) awaitService(t *testing.T, ip string, timeout time.Duration) {
	t.Helper()
	at := routeDeployment{front: net.JoinHostPort(ip, "8005")}
	for began := time.Now(); at.request() != "before"; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < timeout, "%s does not serve", ip)
	}
}

// Seeds that know nobody must be asked ever more rarely, and no more often than the formula
// of the control traffic says.
func TestSeedsAreAskedRarely(t *testing.T) {
	t.Parallel()
	const duration = 6 * time.Second
	var asked atomic.Int64
	seed := serveTest(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	m, _ := newTestMembers(serveTest(t, hang(t)), "10.0.0.1", "r", 40)
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	m.askSeeds(ctx, network.System{}, &platform.Settings{IP: "10.0.0.1", Region: "r", Seeds: []string{seed}})
	most := int(capacity.SeedQuestions(1, duration))
	t.Logf("asked %d times in %s, at most %d", asked.Load(), duration, most)
	assert.Assert(t, asked.Load() > 1 && int(asked.Load()) <= most, "asked %d times", asked.Load())
}

// A gateway that the store has told the others must not ask the seeds.
func TestSeedsAreNotAskedWhenStoreResponds(t *testing.T) {
	var asked atomic.Int64
	seed := serveTest(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
	_, address := startStore(t)
	m, _ := newTestMembers(address, "10.0.0.1", "r", 40)
	m.announce(t.Context())
	_, ok := m.refresh(t.Context())
	assert.Assert(t, ok)
	m.askSeeds(t.Context(), network.System{}, &platform.Settings{IP: "10.0.0.1", Region: "r", Seeds: []string{seed}})
	assert.Equal(t, asked.Load(), int64(0))
	m.useSeeded([]readerset.Member{{IP: "10.0.0.9"}})
	assert.Equal(t, len(m.Members(t.Context(), "r")), 1)
	assert.Equal(t, m.Members(t.Context(), "r")[0].IP, "10.0.0.1", "the store counts more than a seed")
}

// However many gateways ask a seed of another region, it must read the store once in a
// while, also when that does not respond; a region that is not there has no read.
func TestSeedReadsOtherRegionsRarely(t *testing.T) {
	store, address := startStore(t)
	other, _ := newTestMembers(address, "10.0.1.1", "r2", 40)
	other.announce(t.Context())
	before := store.CallsFor(announcementsTopic)
	seed, _ := newTestMembers(address, "10.0.0.1", "r", 40)
	ask := func(region string, want int) {
		t.Helper()
		var wait sync.WaitGroup
		for range 50 {
			wait.Go(func() { assert.Check(t, len(seed.Members(t.Context(), region)) == want) })
		}
		wait.Wait()
	}
	ask("r2", 1)
	ask("r3", 0)
	assert.Equal(t, store.CallsFor(announcementsTopic)-before, 1)
	store.Change(func(f *storetest.Faults) { f.Unresponsive = map[string]bool{"": true} })
	time.Sleep(membersMaxAge)
	began := time.Now()
	ask("r2", 1)
	assert.Assert(t, time.Since(began) < 2*otherReadTimeout, "held for %s", time.Since(began))
	assert.Equal(t, store.CallsFor(announcementsTopic)-before, 2)
}
