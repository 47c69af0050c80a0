// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/slotgrant"
	"github.com/mintlift/mintlift/telemetry"
)

// contendedSlots is the number of slots of an engine in a contended service.
const contendedSlots = 12

// newContendedServer returns a server with engines of the service "engine", whose route
// has a target latency of 500 ms. Engines have the addresses a:1, b:1 and so on.
func newContendedServer(engines int) *Server {
	s := New(Settings{Place: fleet.Place{Zone: "z"}, Headers: testHeaders, VersionDeadline: 8 * time.Second}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	r := route(routing.Streaming, "/stream/", "engine", 2)
	r.TargetLatency = 500 * time.Millisecond
	s.Apply(routing.New(1, []*routing.Route{r},
		[]*routing.Service{{Name: "engine", Engine: &routing.Engine{Slots: contendedSlots, Model: testModel, PrefillRate: 20000, MeanPromptTokens: 1000, MeanAnswerTokens: 110, Step: 9 * time.Millisecond}}},
		nil, routing.Limits{}))
	var records []fleet.Record
	for n := range engines {
		id := string(rune('a' + n))
		records = append(records, fleet.Record{ID: id, Service: "engine", Address: id + ":1", Zone: "z", StartedMS: 1, Models: map[string]int{testModel: 1}})
	}
	s.SetEndpoints(records)
	return s
}

// newContendedExchange returns a request to a server of newContendedServer.
func newContendedExchange(s *Server) *exchange {
	c, now := s.Configuration(), time.Now()
	return &exchange{server: s, config: c, service: "engine", model: testModel, start: now, expiresAt: now.Add(6 * time.Second), route: c.Match("h.example", "/stream/1"), prefillMS: 50, meanPrefillMS: 50}
}

// queuedEngine is an engine that runs contendedSlots requests and queues others.
type queuedEngine struct {
	mu      sync.Mutex
	running int
	waiting []chan struct{}
	queued  []time.Duration // time in the queue of each request
}

// run runs a request for the given time, after it has waited for a slot.
func (e *queuedEngine) run(d time.Duration, begun func()) {
	arrived := time.Now()
	e.mu.Lock()
	if e.running < contendedSlots {
		e.running++
		e.mu.Unlock()
	} else {
		turn := make(chan struct{})
		e.waiting = append(e.waiting, turn)
		e.mu.Unlock()
		<-turn // the slot of the request that has ended
	}
	e.mu.Lock()
	e.queued = append(e.queued, time.Since(arrived))
	e.mu.Unlock()
	begun()
	time.Sleep(d)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	close(e.waiting[0])
	e.waiting = e.waiting[1:]
}

// load returns the numbers of running and queued requests.
func (e *queuedEngine) load() (running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, len(e.waiting)
}

// playContention sends requests with random intervals to random gateways, which send
// them to one engine, and returns the times in the engine's queue in ascending order. With
// grants, the engine's sidecar grants its slots. Else the gateways have only its reports.
func playContention(gateways int, rate float64, service, length time.Duration, grants bool) []time.Duration {
	const interval, way = 40 * time.Millisecond, time.Millisecond // of reports; of messages
	var e queuedEngine
	var servers []*Server
	for range gateways {
		servers = append(servers, newContendedServer(1))
	}
	var mu sync.Mutex // guards ledger
	ledger := slotgrant.NewLedger(time.Now())
	deliver := func() {
		for _, g := range ledger.Grants(time.Now()) {
			g.Address = "a:1"
			time.AfterFunc(way, func() { servers[g.Gateway.Port()].HandleSlotGrant(g.Grant) })
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks, requests sync.WaitGroup
	tasks.Go(func() {
		for ctx.Err() == nil {
			running, queued := e.load()
			for n, position := range rand.Perm(gateways) {
				r := fleet.Report{Address: "a:1", Model: testModel, Version: 1, StartedMS: 1, Running: running, Queued: queued, DemandAhead: float64(position), DemandShare: 1 / float64(gateways)}
				if grants {
					r.Gateways = gateways
				}
				servers[n].HandleReport(r, 0)
			}
			mu.Lock()
			ledger.Observe(slotgrant.Observation{StartedMS: 1, Running: running, Queued: queued}, time.Now(), time.Now())
			deliver()
			mu.Unlock()
			time.Sleep(interval)
		}
	})
	for n, s := range servers {
		tasks.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-s.SlotRequestsPending():
				}
				for _, r := range s.TakeSlotRequests() {
					time.AfterFunc(way, func() {
						mu.Lock()
						defer mu.Unlock()
						from := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n))
						ledger.Request(from, r.Request, time.Now())
						deliver()
						time.AfterFunc(way, func() { s.HandleSlotGrant(slotgrant.Grant{Address: "a:1"}) })
					})
				}
			}
		})
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))) {
		requests.Go(func() {
			x := newContendedExchange(servers[rand.N(gateways)])
			a := x.server.acquireEndpoint(ctx, x)
			if a == nil {
				return
			}
			a.begin()
			time.Sleep(way)
			e.run(service, func() { a.recordFirstBytes() })
			a.finish(fleet.Responded)
		})
	}
	requests.Wait()
	cancel()
	tasks.Wait()
	slices.Sort(e.queued)
	return e.queued
}

// Guards against requests that wait in an engine's queue because many gateways send to the
// same free slots. The engine must be in use for three quarters of the time at least.
func TestTwentySixGatewaysShareOneEngine(t *testing.T) {
	percentile := func(queued []time.Duration, p float64) time.Duration {
		return queued[int(p*float64(len(queued)-1))]
	}
	for _, grants := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const rate, service, length = 9.5, 1300 * time.Millisecond, 100 * time.Second
			queued := playContention(26, rate, service, length, grants)
			t.Logf("grants %t: %d served of %.0f; in the engine's queue: 90th percentile %s, 99th %s, longest %s", grants, len(queued), rate*length.Seconds(), percentile(queued, 0.9), percentile(queued, 0.99), percentile(queued, 1))
			if grants {
				assert.Assert(t, percentile(queued, 0.99) < 300*time.Millisecond)
				assert.Assert(t, float64(len(queued)) > 0.75*contendedSlots/service.Seconds()*length.Seconds())
			}
		})
	}
}
