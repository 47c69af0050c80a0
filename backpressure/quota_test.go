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

// Bounds on a limit: in any window at most factor times what it allows plus slack
// requests, and the share of it that must be used.
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
	// equalShares has each gateway use an equal share, in slots of its own.
	equalShares
	// sharesByDemand has each gateway use its share of the demand, which the sidecar
	// sends with its load reports.
	sharesByDemand
)

func (s strategy) String() string {
	return [...]string{"permits dealt out", "equal parts", "parts by demand"}[s]
}

// simulation is a run of gateways that send to one endpoint with a limit, which ends
// after a while.
type simulation struct {
	strategy strategy
	gateways int
	rate     float64
	// busy gateways have demand, all alike, of so many requests per second together.
	busy   int
	demand float64
	// cutOff is the fraction of gateways that get nothing from the sidecar.
	cutOff float64
	// stopped has a gateway stop, and suspended has it pause, both at disturbAt.
	stopped, suspended bool
}

const (
	step = 5 * time.Millisecond
	// settleTime is the time from which the limit must hold.
	settleTime = 3 * time.Second
	// limitEnd is when the endpoint stops sending a limit.
	limitEnd = 64 * time.Second
	// length is the length of a simulation.
	length = 100 * time.Second
	// maxWait is how long a request waits for a permit.
	maxWait = 100 * time.Millisecond
	// disturbAt is when a gateway stops or is suspended, and suspension how long.
	disturbAt  = 20 * time.Second
	suspension = 5 * time.Second
	// graceTime is how long after its first response with a limit the requests of a
	// gateway start to count against the limit.
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
	// grant, records and responses are delivered in the next step. A response is the
	// time at which its request was sent.
	grant     *Grant
	records   []Record
	responses []time.Time
	// share is this gateway's share of the demand, and recent its decaying number of
	// requests.
	share, recent float64
	slot          time.Time
	// limitedAt is when a response first had the limit.
	limitedAt time.Time
}

// outcome is the outcome of a simulation.
type outcome struct {
	// sent holds the times of all requests, and counted those that gateways sent at
	// least graceTime after their own first response with the limit.
	sent, counted []time.Duration
	// known is the time from the first signal until all busy gateways have the limit,
	// and ended the time from the end of the limit until none has it; negative if
	// never.
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

// admit reports whether a gateway may send a request now, and counts it.
func (sim simulation) admit(g *gateway, now time.Time) bool {
	switch {
	case !g.state.Limited():
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

// requestPermits sends the permit request of a gateway, and the grant and records that
// result.
func (sim simulation) requestPermits(g *gateway, all []*gateway, quotas *Quotas, now time.Time) {
	for range g.waiting {
		g.state.AddDemand()
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

// observe records when all busy gateways have the limit, and when none has it.
func (sim simulation) observe(all []*gateway, at time.Duration, out *outcome) {
	limited, running := 0, 0
	for n, g := range all[:sim.busy] {
		if n == 0 && sim.stopped && at >= disturbAt {
			continue
		}
		running++
		if g.state.Limited() {
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

// evaluate returns the most requests in a window, and the share of the limit that was
// used, both from settleTime to limitEnd.
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

// allowed returns the most requests that a window may have.
func (sim simulation) allowed() int { return int(factor*sim.rate*window.Seconds()) + slack }

// With permits, the limit holds and is used, and its start and end propagate in time,
// for any number of gateways and distribution of demand, also if a gateway stops or is
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

// simulations returns the simulations in which the strategies are compared.
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

// Each other strategy breaks the limit, or uses no more of it than permits do. With -v
// it prints a table of the results.
func TestWaysOfSharing(t *testing.T) {
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

// Gateways that cannot reach the sidecar use their own slots, and the limit still
// holds, whether all or some of them are cut off.
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
