// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/residency"
	"github.com/mintlift/mintlift/routing"
)

// threeRegions is the place of a gateway in a deployment with three regions.
var threeRegions = fleet.Place{Zone: "west-1", Regions: map[string]string{"west-1": "west", "east-1": "east", "north-1": "north"}}

// regionalConfig returns a configuration with the routes /free/ and /kept/ to the plain
// service, and /stream/ to the engines. /kept/ and the requests with keptKey are allowed
// in the given regions only; testKey allows all.
func regionalConfig(version int64, regions ...string) *routing.Configuration {
	kept := route(routing.Safe, "/kept/", "plain", 3)
	kept.Regions = residency.Of(regions...)
	return routing.New(version, []*routing.Route{route(routing.Safe, "/free/", "plain", 3), kept, route(routing.Streaming, "/stream/", "engine", 3)},
		[]*routing.Service{
			{Name: "plain"},
			{Name: "engine", Engine: &routing.Engine{Slots: 4, Model: testModel, PrefillRate: 20000, MeanPromptTokens: 1000}},
		},
		[]*routing.Workspace{{Name: "w", Keys: []string{testKey}, Priority: 1}, {Name: "v", Keys: []string{keptKey}, Priority: 1, Regions: residency.Of(regions...)}},
		routing.Limits{BodyBytes: 1 << 20})
}

// keptKey is the key of a workspace whose requests are allowed in some regions only.
const keptKey = "key-2"

// unreliable responds well, not at all, that the request was not run, or with half a
// stream, at random.
func unreliable(seed uint64) handler {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0))
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n := rng.IntN(4)
		mu.Unlock()
		switch {
		case n == 0:
			abortConnection(w, r)
		case n == 1:
			respondNotRun(w, r)
		case strings.HasPrefix(r.URL.Path, "/stream/"):
			respondEvents(4+4*(n-2), 8)(w, r)
		default:
			respondOK("ok")(w, r)
		}
	}
}

// No attempt may leave the regions of its route and workspace: not the first, no retry,
// no resumed stream, no probe of an endpoint after failures, and no trial of a suspected
// request. Endpoints fail in many ways, so that all of these occur.
func TestRequestsStayInTheirRegions(t *testing.T) {
	zones := []string{"west-1", "east-1", "north-1"}
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 1))
			allowed := []string{"east", "north", "west"}[rng.IntN(3)]
			g := newTestGatewayAt(t, threeRegions)
			g.server.Apply(regionalConfig(1, allowed))
			region := make(map[string]string)
			for n := range 12 {
				id, zone := fmt.Sprint("e", n), zones[rng.IntN(3)]
				region[id] = threeRegions.Regions[zone]
				g.startEndpointIn(zone, id, []string{"plain", "engine"}[n%2], unreliable(seed*100+uint64(n)))
			}
			var wait sync.WaitGroup
			for n := range 90 {
				path := []string{"/free/", "/kept/", "/stream/"}[n%3] + fmt.Sprint(n)
				key := []string{testKey, keptKey}[n/3%2]
				wait.Go(func() {
					response, err := g.send(context.Background(), "POST", path, "x", withHeader("Authorization", "Bearer "+key))
					if err == nil {
						_, _ = io.Copy(io.Discard, response.Body) // broken streams are expected
						_ = response.Body.Close()
					}
				})
			}
			wait.Wait()
			outside := 0
			for _, r := range g.requests() {
				if region[r.endpoint] == allowed {
					continue
				}
				outside++
				assert.Check(t, !strings.HasPrefix(r.uri, "/kept/"), "%s in %s", r.uri, region[r.endpoint])
				assert.Check(t, r.header.Get(testHeaders.Workspace) == "w", "%s in %s", r.uri, region[r.endpoint])
			}
			assert.Assert(t, outside > 0, "unrestricted requests use all regions")
		})
	}
}

// A request that no region may serve must be refused at once as not run; one whose
// regions have endpoints that are all busy must wait for them like any other.
func TestImpossibleRegionIsRefusedAtOnce(t *testing.T) {
	g := newTestGatewayAt(t, threeRegions)
	g.server.Apply(regionalConfig(1, "south"))
	g.startEndpointIn("west-1", "a", "plain", respondOK("a"))
	began := clock.Now()
	response, _ := g.do("POST", "/kept/1", "x")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Assert(t, clock.Since(began) < 200*time.Millisecond)
	assert.Equal(t, len(g.requests()), 0)
	response, _ = g.do("POST", "/free/1", "x")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// A request that waits while a new configuration narrows its regions must obey the new
// configuration.
func TestWaitingRequestObeysNewRegions(t *testing.T) {
	g := newTestGatewayAt(t, threeRegions)
	g.server.Apply(regionalConfig(1, "west"))
	release := make(chan struct{})
	g.startEndpointIn("west-1", "a", "engine", func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondEvents(2, 2)(w, r)
	})
	var wait sync.WaitGroup
	send := func(path string) {
		wait.Go(func() {
			response, err := g.send(context.Background(), "POST", path, "x", withHeader("Authorization", "Bearer "+keptKey))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
	for n := range 4 {
		send(fmt.Sprint("/stream/", n))
	}
	for len(g.requests()) < 4 {
		time.Sleep(time.Millisecond)
	}
	send("/stream/late")
	time.Sleep(50 * time.Millisecond)
	g.server.Apply(regionalConfig(2, "east"))
	close(release)
	wait.Wait()
	for _, r := range g.requests() {
		assert.Check(t, r.uri != "/stream/late", "sent to %s", r.endpoint)
	}
}

// An evacuated zone must get no new request until it is taken back; a stream that runs
// there must end there.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	g := newTestGatewayAt(t, threeRegions)
	g.server.Apply(regionalConfig(1))
	began, release := make(chan struct{}), make(chan struct{})
	g.startEndpointIn("west-1", "a", "engine", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testHeaders.Seal, "seal")
		_, _ = io.WriteString(w, "id: 1\ndata: token 1\n\n")
		w.(http.Flusher).Flush()
		close(began)
		<-release
		_, _ = io.WriteString(w, "id: 2\ndata: token 2\n\n")
	})
	g.startEndpointIn("west-1", "p", "plain", respondOK("p"))
	g.startEndpointIn("east-1", "q", "plain", respondOK("q"))
	done := make(chan string)
	go func() {
		_, body := g.do("POST", "/stream/1", "x")
		done <- body
	}()
	<-began
	g.server.SetEvacuated("west-1", true, clock.Now())
	for n := range 20 {
		_, body := g.do("POST", fmt.Sprint("/free/", n), "x")
		assert.Equal(t, body, "q")
	}
	refused, _ := g.do("POST", "/stream/2", "x")
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	close(release)
	assert.Equal(t, <-done, eventsText(2))
	g.server.SetEvacuated("west-1", false, clock.Now())
	_, body := g.do("POST", "/free/back", "x")
	assert.Equal(t, body, "p")
}
