// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Requirements on how a limit is kept. In any window at most factor times the limit
// plus slack requests are sent, and on average at least minUsage of the limit is used.
const (
	window   = 4 * time.Second
	factor   = 1.5
	slack    = 5
	minUsage = 0.8
)

// strategy is how gateways share a limit.
type strategy int

const (
	// byPermits has one sidecar grant permits.
	byPermits strategy = iota
	// equalShares divides the limit equally; each gateway uses its share in slots.
	equalShares
	// sharesByDemand divides the limit in proportion to the gateways' demand, as
	// reported at intervals.
	sharesByDemand
)

func (s strategy) String() string {
	return [...]string{"permits dealt out", "equal parts", "parts by demand"}[s]
}

// simulation describes a run in which gateways send requests to one endpoint with a
// limit. The limit ends at limitEnd.
type simulation struct {
	strategy strategy
	gateways int
	rate     float64
	// busy is the number of gateways with demand. They have equal demand, in total
	// demand requests per second.
	busy   int
	demand float64
	// cutOff is the fraction of gateways that cannot reach the sidecar.
	cutOff float64
	// stopped makes the first gateway stop at disturbAt; suspended makes it pause then
	// for the time suspension.
	stopped, suspended bool
}

// Times of a simulation. Those that are points in time count from its start.
const (
	// step is the time between two steps of the simulation.
	step = 5 * time.Millisecond
	// settleTime is the time after the start from which the limit must be kept.
	settleTime = 3 * time.Second
	// limitEnd is when the endpoint stops sending a limit.
	limitEnd = 64 * time.Second
	// length is the length of a simulation.
	length = 100 * time.Second
	// maxWait is how long a request waits for a permit.
	maxWait = 100 * time.Millisecond
	// disturbAt is when a gateway stops or is suspended, and suspension is how long it
	// is suspended.
	disturbAt  = 20 * time.Second
	suspension = 5 * time.Second
	// graceTime is how long a gateway may exceed the limit after its first response
	// with the limit.
	graceTime = 500 * time.Millisecond
	// reportInterval is the time between updates of the shares by demand.
	reportInterval = 300 * time.Millisecond
)

// gateway is one gateway of a simulation.
type gateway struct {
	table *Table
	state *State
	// waiting holds the arrival times of queued requests.
	waiting []time.Time
	cutOff  bool
	// grant, records and responses are delivered in the next step. responses holds the
	// times at which the requests were sent.
	grant     *Grant
	records   []Record
	responses []time.Time
	// share is this gateway's share of the demand, and recent is its decaying number
	// of requests. slot is the start of the next period in which it may send a request.
	// Only sharesByDemand uses them.
	share, recent float64
	slot          time.Time
	// limitedAt is when the first response with the limit was received.
	limitedAt time.Time
}

// outcome is what a simulation measures.
type outcome struct {
	// sent holds the send times of all requests. counted holds those that must keep
	// the limit, since their gateways have had it for graceTime.
	sent, counted []time.Duration
	// known is the time from the start until all busy gateways have the limit. ended is
	// the time from limitEnd until no gateway has it. Both are negative if this never
	// happens.
	known, ended time.Duration
}

// run runs the simulation.
func (sim simulation) run(seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	quotas := NewQuotas()
	all := make([]*gateway, sim.gateways)
	for n := range all {
		table := NewTable()
		table.SetGateways(sim.gateways)
		all[n] = &gateway{table: table, state: table.State("e", 1), cutOff: float64(n) < sim.cutOff*float64(sim.gateways), share: 1 / float64(sim.gateways)}
	}
	out := outcome{known: -1, ended: -1}
	perStep := sim.demand / float64(max(sim.busy, 1)) * step.Seconds()
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		if at%reportInterval == 0 {
			updateShares(all)
		}
		for n, g := range all {
			if n == 0 && at >= disturbAt && (sim.stopped || sim.suspended && at < disturbAt+suspension) {
				continue
			}
			sim.deliver(g, at, now)
			if n < sim.busy && rng.Float64() < perStep {
				g.waiting = append(g.waiting, now)
				g.recent++
			}
			g.waiting = slices.DeleteFunc(g.waiting, func(arrived time.Time) bool { return now.Sub(arrived) > maxWait })
			for len(g.waiting) > 0 && sim.admit(g, now) {
				g.waiting = g.waiting[1:]
				g.responses = append(g.responses, now)
				out.sent = append(out.sent, at)
				if !g.limitedAt.IsZero() && now.Sub(g.limitedAt) >= graceTime {
					out.counted = append(out.counted, at)
				}
			}
			sim.requestPermits(g, all, quotas, now)
		}
		sim.observe(all, at, &out)
	}
	return out
}

// deliver delivers the records, the grant and the responses to a gateway.
func (sim simulation) deliver(g *gateway, at time.Duration, now time.Time) {
	for _, r := range g.records {
		g.table.Merge(r, now)
	}
	if g.grant != nil {
		g.table.ApplyGrant(*g.grant, now)
	}
	signal := Signal{Limit: Limited(sim.rate)}
	if at >= limitEnd {
		signal = Signal{}
	}
	for _, sent := range g.responses {
		g.state.Observe(signal, sent, now)
		if signal.Limit.Set && g.limitedAt.IsZero() {
			g.limitedAt = now
		}
	}
	g.records, g.grant, g.responses = nil, nil, nil
}

// admit reports whether a gateway may send a request now, and if so uses its permit or
// slot.
func (sim simulation) admit(g *gateway, now time.Time) bool {
	switch {
	case !g.state.Limited(now):
		return true
	case sim.strategy == sharesByDemand:
		if now.Before(g.slot) {
			return false
		}
		g.slot = now.Add(time.Duration(float64(time.Second) / (max(sim.rate, minRate) * max(g.share, 1e-3))))
		return true
	case g.state.AvailableAt(now).After(now):
		return false
	default:
		g.state.Take(now)
		return true
	}
}

// requestPermits sends the permit request of a gateway to the allocator. It queues the
// grant for the gateway, and a changed record for the other gateways.
func (sim simulation) requestPermits(g *gateway, all []*gateway, quotas *Quotas, now time.Time) {
	for range g.waiting {
		g.state.AddDemand(now)
	}
	request, ok := g.state.PermitRequest(now)
	switch {
	case sim.strategy != byPermits:
		g.state.SetNoAllocator(now)
	case ok && !g.cutOff:
		grant, changed := quotas.Allocate(request, now)
		g.grant = &grant
		for _, other := range all {
			if changed && other != g && !other.cutOff {
				other.records = append(other.records, grant.Record)
			}
		}
	}
}

// observe sets out.known once all busy gateways have received the limit, and out.ended
// once no gateway applies it any more.
func (sim simulation) observe(all []*gateway, at time.Duration, out *outcome) {
	limited, running := 0, 0
	for n, g := range all[:sim.busy] {
		if n == 0 && sim.stopped && at >= disturbAt {
			continue
		}
		running++
		if g.state.Limited(start.Add(at)) {
			limited++
		}
	}
	if limited == running && out.known < 0 {
		out.known = at
	}
	if limited == 0 && at >= limitEnd && out.ended < 0 {
		out.ended = at - limitEnd
	}
}

// updateShares sets the share of the demand of each gateway.
func updateShares(all []*gateway) {
	const least = 0.1 // requests
	total := 0.0
	for _, g := range all {
		total += g.recent + least
	}
	for _, g := range all {
		g.share = (g.recent + least) / total
		g.recent *= 0.8
	}
}

// evaluate returns the highest number of counted requests in any window, and the share
// of the limit that was used. Both refer to the time from settleTime to limitEnd.
func (sim simulation) evaluate(o outcome) (most int, used float64) {
	outside := func(at time.Duration) bool { return at < settleTime || at >= limitEnd }
	sent := slices.DeleteFunc(slices.Clone(o.sent), outside)
	counted := slices.DeleteFunc(slices.Clone(o.counted), outside)
	for n, first := range counted {
		count := 0
		for _, at := range counted[n:] {
			if at-first >= window {
				break
			}
			count++
		}
		most = max(most, count)
	}
	return most, float64(len(sent)) / (sim.rate * (limitEnd - settleTime).Seconds())
}

// allowed returns the highest number of requests allowed in a window.
func (sim simulation) allowed() int { return int(factor*sim.rate*window.Seconds()) + slack }

// With permits, the gateways together must neither exceed the limit nor leave much of it
// unused, and must notice its start and end in time, also if one of them stops or is
// suspended.
func TestLimitIsKeptAndUsed(t *testing.T) {
	for _, sim := range simulations(byPermits) {
		t.Run(sim.String(), func(t *testing.T) {
			o := sim.run(1)
			most, used := sim.evaluate(o)
			assert.Check(t, most <= sim.allowed(), "%d, allowed %d", most, sim.allowed())
			assert.Check(t, sim.rate == 0 || sim.stopped || sim.suspended || used >= minUsage, "%.2f used", used)
			assert.Check(t, o.known >= 0 && o.known <= settleTime, "all gateways have the limit after %s", o.known)
			assert.Check(t, o.ended >= 0, "the end of the limit is not noticed")
		})
	}
}

func (sim simulation) String() string {
	scenario := "even demand"
	switch {
	case sim.stopped:
		scenario = "a gateway lost"
	case sim.suspended:
		scenario = "a gateway suspended"
	case sim.busy < sim.gateways:
		scenario = "demand in one zone"
	}
	return fmt.Sprintf("%d gateways, limit %g, %s", sim.gateways, sim.rate, scenario)
}

// simulations returns the simulations of a strategy, in the same order for each.
func simulations(s strategy) (out []simulation) {
	for _, gateways := range []int{2, 6, 53} {
		for _, rate := range []float64{0, 0.4, 2, 20} {
			sim := simulation{strategy: s, gateways: gateways, rate: rate, busy: gateways, demand: 3 * max(rate, 2)}
			zone := sim
			zone.busy = max(1, gateways/3)
			stopped, suspended := sim, sim
			stopped.stopped, suspended.suspended = true, true
			out = append(out, sim, zone, stopped, suspended)
		}
	}
	return out
}

// Permits must not be worse than the other strategies: each of those either exceeds the
// limit or uses no more of it. With -v, the test prints a table of the results.
func TestPermitsCompareWithOtherStrategies(t *testing.T) {
	const tolerance = 0.05
	t.Logf("%-17s %-42s %s", "", "", "at most in 4 s/allowed, used, limit known after, end known after")
	for n, sim := range simulations(byPermits) {
		best := sim.run(1)
		_, bestUsed := sim.evaluate(best)
		for _, s := range []strategy{byPermits, equalShares, sharesByDemand} {
			sim := simulations(s)[n]
			o := sim.run(1)
			most, used := sim.evaluate(o)
			t.Logf("%-17s %-42s %3d/%3d %s %s %s", s, sim, most, sim.allowed(), formatUsage(used), formatDelay(o.known), formatDelay(o.ended))
			assert.Check(t, most > sim.allowed() || min(used, 1) <= bestUsed+tolerance || sim.rate == 0, "%s, %s: %.2f of the limit used, %.2f by permits", s, sim, used, bestUsed)
		}
	}
}

// formatUsage formats the share of a limit that was used, or "-" for a limit of 0.
func formatUsage(used float64) string {
	if math.IsInf(used, 0) {
		return "    -"
	}
	return fmt.Sprintf("%5.2f", used)
}

// formatDelay formats a delay; a negative one is "never".
func formatDelay(d time.Duration) string {
	if d < 0 {
		return "  never"
	}
	return fmt.Sprintf("%5.2f s", d.Seconds())
}

// The limit must be kept while some or all gateways cannot reach the sidecar that grants
// permits, and instead send one request in each of their own slots.
func TestLimitIsKeptWithoutTheSidecar(t *testing.T) {
	for _, gateways := range []int{2, 6, 53} {
		for _, rate := range []float64{0, 0.4, 2, 20} {
			for _, cutOff := range []float64{1, 0.9, 0.5} {
				sim := simulation{gateways: gateways, rate: rate, busy: gateways, demand: 10 * max(rate, 1), cutOff: cutOff}
				t.Run(fmt.Sprint(sim, ", cut off ", cutOff), func(t *testing.T) {
					most, used := sim.evaluate(sim.run(1))
					t.Logf("at most %d, allowed %d; %.2f used", most, sim.allowed(), used)
					assert.Check(t, most <= sim.allowed(), "%d, allowed %d", most, sim.allowed())
				})
			}
		}
	}
}
