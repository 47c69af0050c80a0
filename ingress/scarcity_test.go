// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/retrybudget"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/slotgrant"
	"github.com/mintlift/mintlift/telemetry"
)

// Parameters of a contended fleet, half as large as the larger one of (docs/contended-fleets.md).
const (
	simGateways = 13
	simEngines  = 17
	simSlots    = 12
	// simHold is how long a request holds its slot: an engine serves 8.7 requests per second.
	simHold = simSlots * 115 * time.Millisecond
	// simCapacity is the number of requests per second that all engines serve.
	simCapacity = simEngines * 8.7
	// simTimeout is how long a caller waits in all.
	simTimeout = 6 * time.Second
	// simWay is the time that a message between a gateway and a sidecar takes.
	simWay = time.Millisecond
)

// simRoute is a streaming route with its share of the load.
type simRoute struct {
	share    float64
	tokens   int
	target   time.Duration
	priority int
}

// simEngine is an engine that begins queued requests in the order of their arrival, with
// the ledger of its sidecar.
type simEngine struct {
	mu        sync.Mutex // guards all fields
	ledger    *slotgrant.Ledger
	running   int
	queue     []*simRequest
	readUntil time.Time // when all prompts of running requests have been read
}

// simRequest is a request at an engine. begun is closed at its first event, ended at its last.
type simRequest struct {
	prefill, hold time.Duration
	begun, ended  chan struct{}
}

// submit adds a request and begins what fits into the slots.
func (e *simEngine) submit(r *simRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = append(e.queue, r)
	e.begin()
}

// begin begins queued requests while there are free slots. simEngine.mu must be held.
func (e *simEngine) begin() {
	for ; e.running < simSlots && len(e.queue) > 0; e.queue = e.queue[1:] {
		r := e.queue[0]
		e.running++
		now := time.Now()
		if e.readUntil.Before(now) {
			e.readUntil = now
		}
		e.readUntil = e.readUntil.Add(r.prefill)
		time.AfterFunc(e.readUntil.Sub(now)+50*time.Millisecond, func() { close(r.begun) })
		time.AfterFunc(max(r.hold, e.readUntil.Sub(now)+60*time.Millisecond), func() {
			close(r.ended)
			e.mu.Lock()
			defer e.mu.Unlock()
			e.running--
			e.begin()
		})
	}
}

// simResult is what became of a caller's request.
type simResult struct {
	route int
	// workspace is the index in simFleet.workspaces.
	workspace int
	size      float64       // of the prompt, as a multiple of the route's mean
	at        time.Duration // of the first try
	latency   time.Duration // until the first event, from the first try; 0 if refused
}

// simFleet is a fleet of gateways and engines in virtual time, without network.
type simFleet struct {
	servers []*Server
	engines []*simEngine
	routes  []simRoute
	// workspaces are the shares of the load by workspace; without any, there is one.
	workspaces []float64
	// commonWorkspace is set if the gateways do not tell workspaces apart.
	commonWorkspace bool
	start           time.Time
	mu              sync.Mutex
	results         []simResult
}

// newSimFleet returns a fleet whose engines have queued requests each, besides those that
// hold all slots.
func newSimFleet(routes []simRoute, queued int) *simFleet {
	f := &simFleet{routes: routes, start: time.Now()}
	var list []*routing.Route
	for i, r := range routes {
		list = append(list, &routing.Route{Name: strconv.Itoa(i), Host: "h", PathPrefix: "/" + strconv.Itoa(i), Kind: routing.Streaming, Timeout: simTimeout,
			TargetLatency: r.target, TargetGap: 400 * time.Millisecond, Priority: r.priority, Shares: []routing.Share{{Service: "engine", Weight: 1}}, MaxAttempts: 2, Resumable: true})
	}
	c := routing.New(1, list, []*routing.Service{{Name: "engine", Engine: &routing.Engine{Slots: simSlots, Model: testModel, Step: 8870 * time.Microsecond,
		PrefillRate: 19100, MeanPromptTokens: 950, MeanAnswerTokens: 110}}}, []*routing.Workspace{{Name: "w", Keys: []string{testKey}, Priority: 1}}, routing.Limits{})
	var records []fleet.Record
	for i := range simEngines {
		records = append(records, fleet.Record{ID: fmt.Sprint("e", i), Service: "engine", Address: fmt.Sprint("e", i), Zone: "z", Models: map[string]int{testModel: 1}})
		e := &simEngine{ledger: slotgrant.NewLedger(time.Now())}
		for n := range simSlots + queued {
			hold := simHold
			if n < simSlots {
				hold = simHold * time.Duration(n+1) / simSlots
			}
			e.submit(&simRequest{prefill: time.Millisecond, hold: hold, begun: make(chan struct{}), ended: make(chan struct{})})
		}
		f.engines = append(f.engines, e)
	}
	for range simGateways {
		s := New(Settings{Place: fleet.Place{Zone: "z"}, Budget: retrybudget.Params{Ratio: 0.2, Slack: 200, Window: 10 * time.Second, Gateways: simGateways}},
			logr.Discard(), logr.Discard(), telemetry.NewMetrics())
		s.Apply(c)
		s.SetEndpoints(records)
		f.servers = append(f.servers, s)
	}
	return f
}

// deliverGrants sends the grants of an engine's ledger. simEngine.mu must be held.
func (f *simFleet) deliverGrants(engine int) {
	for _, g := range f.engines[engine].ledger.Grants(time.Now()) {
		g.Address = fmt.Sprint("e", engine)
		time.AfterFunc(simWay, func() { f.servers[g.Gateway.Port()].HandleSlotGrant(g.Grant) })
	}
}

// sendSlotRequests sends the slot requests of a gateway to the ledgers, until ctx ends.
func (f *simFleet) sendSlotRequests(ctx context.Context, gateway int) {
	s := f.servers[gateway]
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.SlotRequestsPending():
		}
		for _, r := range s.TakeSlotRequests() {
			time.AfterFunc(simWay, func() {
				var n int
				_, _ = fmt.Sscanf(r.Address, "e%d", &n)
				e := f.engines[n]
				e.mu.Lock()
				defer e.mu.Unlock()
				e.ledger.Request(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(gateway)), r.Request, time.Now())
				f.deliverGrants(n)
				confirmation := e.ledger.Confirmation(time.Now())
				confirmation.Address = r.Address
				time.AfterFunc(simWay, func() { s.HandleSlotGrant(confirmation) })
			})
		}
	}
}

// report sends the load of each engine to all gateways, in a random order of the gateways,
// and grants its slots by the same reading.
func (f *simFleet) report() {
	for i, e := range f.engines {
		e.mu.Lock()
		running, queued := e.running, len(e.queue)
		e.ledger.Observe(slotgrant.Observation{Running: running, Queued: queued}, time.Now(), time.Now())
		f.deliverGrants(i)
		e.mu.Unlock()
		for position, s := range rand.Perm(simGateways) {
			f.servers[s].HandleReport(fleet.Report{Address: fmt.Sprint("e", i), Model: testModel, Version: 1, Running: running, Queued: queued,
				Gateways: simGateways, DemandShare: 1.0 / simGateways, DemandAhead: float64(position)}, time.Millisecond)
		}
	}
}

// try sends a request to a gateway. If it is refused, retryAfter is the time after which the
// caller returns.
func (f *simFleet) try(s *Server, route, workspace int, size float64, expiresAt time.Time, again bool) (first time.Time, retryAfter time.Duration) {
	c, r := s.Configuration(), f.routes[route]
	ctx, cancel := context.WithDeadline(context.Background(), expiresAt)
	defer cancel()
	tokens := int(float64(r.tokens) * size)
	engine := c.Services["engine"].Engine
	x := &exchange{server: s, config: c, regionsConfig: c, route: c.Match("h", "/"+strconv.Itoa(route)), service: "engine", model: testModel, priority: 1,
		workspace: strconv.Itoa(workspace), start: time.Now(), expiresAt: expiresAt, callerRetry: again, prefillMS: prefillMS(engine, tokens), meanPrefillMS: prefillMS(engine, engine.MeanPromptTokens)}
	if f.commonWorkspace {
		x.workspace = ""
	}
	if again {
		x.age = simTimeout - time.Until(expiresAt)
	}
	a := x.nextAttempt(ctx)
	if a == nil {
		_, retryAfter = s.retryAfter(x)
		return first, retryAfter
	}
	request := &simRequest{prefill: time.Duration(x.prefillMS * float64(time.Millisecond)), hold: simHold, begun: make(chan struct{}), ended: make(chan struct{})}
	time.Sleep(2 * time.Millisecond)
	var n int
	_, _ = fmt.Sscanf(a.endpoint.ID, "e%d", &n)
	f.engines[n].submit(request)
	<-request.begun
	first = time.Now()
	a.recordFirstBytes()
	x.recordResponse(true)
	<-request.ended
	a.finish(fleet.Responded)
	return first, 0
}

// call sends a caller's request, and once more if it is refused.
func (f *simFleet) call(route, workspace int) {
	at := time.Now()
	expiresAt := at.Add(simTimeout)
	result := simResult{route: route, workspace: workspace, size: 0.3 + 0.7*rand.ExpFloat64(), at: at.Sub(f.start)}
	first, after := f.try(f.servers[rand.IntN(simGateways)], route, workspace, result.size, expiresAt, false)
	if after > 0 {
		time.Sleep(min(after, time.Until(expiresAt)/3))
		first, _ = f.try(f.servers[rand.IntN(simGateways)], route, workspace, result.size, expiresAt, true)
	}
	if !first.IsZero() {
		result.latency = first.Sub(at)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, result)
}

// run offers load times the capacity for a time and waits for the end of all requests.
func (f *simFleet) run(load float64, length time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var group, messages sync.WaitGroup
	for n := range f.servers {
		messages.Go(func() { f.sendSlotRequests(ctx, n) })
	}
	next := time.Now()
	for at := time.Duration(0); at < length; at += 5 * time.Millisecond {
		if at%(40*time.Millisecond) == 0 {
			f.report()
		}
		for ; next.Before(time.Now()); next = next.Add(time.Duration(rand.ExpFloat64() / (load * simCapacity) * float64(time.Second))) {
			draw, route := rand.Float64(), 0
			for ; route < len(f.routes)-1 && draw >= f.routes[route].share; route++ {
				draw -= f.routes[route].share
			}
			draw, workspace := rand.Float64(), 0
			for ; workspace < len(f.workspaces)-1 && draw >= f.workspaces[workspace]; workspace++ {
				draw -= f.workspaces[workspace]
			}
			group.Go(func() { f.call(route, workspace) })
		}
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
	cancel()
	messages.Wait()
}

// largest returns the share of the largest tenth of a route's requests that was answered.
func (f *simFleet) largest(route int, from, to time.Duration) float64 {
	var list []simResult
	for _, r := range f.results {
		if r.route == route && r.at >= from && r.at < to {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b simResult) int { return cmp.Compare(b.size, a.size) })
	list = list[:len(list)/10]
	answered := 0.0
	for _, r := range list {
		if r.latency > 0 {
			answered++
		}
	}
	return answered / float64(max(len(list), 1))
}

// share returns the shares of the requests of a route, or of all for -1, first tried
// within a period that were answered in time and that were answered.
func (f *simFleet) share(route int, from, to time.Duration) (inTime, answered, count float64) {
	for _, r := range f.results {
		if route >= 0 && r.route != route || r.at < from || r.at >= to {
			continue
		}
		count++
		if r.latency > 0 {
			answered++
			if r.latency <= f.routes[r.route].target {
				inTime++
			}
		}
	}
	return inTime / max(count, 1), answered / max(count, 1), count
}

// equalRoutes have one priority, and mixedRoutes three (docs/contended-fleets.md).
var (
	equalRoutes = []simRoute{{0.41, 1290, 500 * time.Millisecond, 1}, {0.30, 787, 400 * time.Millisecond, 1}, {0.29, 607, 400 * time.Millisecond, 1}}
	mixedRoutes = []simRoute{{0.43, 787, 400 * time.Millisecond, 0}, {0.23, 607, 400 * time.Millisecond, 1}, {0.34, 1290, time.Second, 2}}
)

// Load: 1.1 times the capacity with routes of one priority, and engine queues of 2 s at the start.
// Guards against late requests that keep the slots from those that can still be in time.
// At most 1/1.1 of the requests can be in time. Service in time is back if nine tenths of
// that, 0.82, are in time from the fourth second on, and 0.75 at each second.
func TestServiceInTimeReturnsAfterBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(equalRoutes, 17)
		f.run(1.1, 9*time.Second)
		for from := 3 * time.Second; from < 8*time.Second; from += time.Second {
			inTime, answered, _ := f.share(-1, from, from+time.Second)
			assert.Check(t, inTime >= 0.75, "from %v: in time %.2f, answered %.2f", from, inTime, answered)
		}
		inTime, answered, _ := f.share(-1, 3*time.Second, 8*time.Second)
		t.Logf("in time %.3f, answered %.3f", inTime, answered)
		assert.Check(t, inTime >= 0.9/1.1, "in time %.3f", inTime)
	})
}

// Load: 1.1 and 1.5 times the capacity with routes of three priorities, whose least urgent requests
// have the longest target. Guards against the most urgent route being served less often than
// others, as without urgency and reserve, and against other routes or large requests that
// starve.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	for _, load := range []float64{1.1, 1.5} {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(mixedRoutes, 0)
			f.run(load, 9*time.Second)
			for route := range 3 {
				_, answered, _ := f.share(route, 3*time.Second, 8*time.Second)
				largest := f.largest(route, 3*time.Second, 8*time.Second)
				assert.Check(t, largest > answered/2, "load %v, route %d: %.2f, largest tenth %.2f", load, route, answered, largest)
			}
			urgentInTime, urgent, _ := f.share(0, 3*time.Second, 8*time.Second)
			for route := 1; route < 3; route++ {
				inTime, answered, _ := f.share(route, 3*time.Second, 8*time.Second)
				assert.Check(t, urgentInTime > inTime+0.05 && urgent > answered+0.02, "load %v, route %d: %.2f, urgent %.2f in time", load, route, inTime, urgentInTime)
				assert.Check(t, answered > urgent/2, "load %v, route %d: %.2f, urgent %.2f answered", load, route, answered, urgent)
			}
		})
	}
}
