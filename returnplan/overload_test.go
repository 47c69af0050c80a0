// SPDX-License-Identifier: Apache-2.0

package returnplan

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The model of a contended service: gateways share the slots of all engines, and a request
// holds a slot for a second. The waits and the random Retry-After are those of package
// ingress for a target latency of 400 ms and callers that wait for 6 s.
const (
	tick        = 5 * time.Millisecond
	gateways    = 14
	slots       = 500
	newWait     = 88 * time.Millisecond
	returnWait  = newWait + 1200*time.Millisecond
	freeForLate = slots / 5 // free slots above which engines accept late requests
	minAfter    = 350 * time.Millisecond
	maxAfter    = (6*time.Second - newWait) / 3
)

// caller is a request of the model. stage is its place in a gateway's queue: promised
// returns, new requests, other returns.
type caller struct {
	stage           int
	returned        bool
	arrived, leaves time.Duration
}

// totals counts the requests of a run by their ends.
type totals struct{ inTime, late, refusedAgain float64 }

// again returns the share of the returns that were refused.
func (r totals) again() float64 { return r.refusedAgain / (r.refusedAgain + r.late) }

// run returns the totals of an overload that begins after 3 s, and of the 6 s after it.
// Before and after it the load is 0.9. If planned is not set, callers get the random
// Retry-After of gateways without a plan.
func run(seed uint64, planned bool, overload float64, length time.Duration) (sum totals) {
	rnd := rand.New(rand.NewPCG(seed, 0))
	start := time.Unix(1000, 0)
	var plans [gateways]*Plan
	var queues [gateways][]*caller
	for g := range plans {
		plans[g] = New(start)
	}
	arrivals, ended := map[time.Duration][]*caller{}, map[time.Duration]int{}
	free, requests, refused := slots, 0.0, 0.0
	refuse := func(c *caller, plan *Plan, t time.Duration) {
		if c.returned {
			sum.refusedAgain++
			return
		}
		requests++
		refused++
		after := min(maxAfter, minAfter+time.Duration(rnd.Float64()*(0.5+1.3*refused/requests)*float64(time.Second)))
		if planned {
			after, _ = plan.Promise(minAfter, maxAfter, start.Add(t))
		}
		at := (t + after).Truncate(tick) + tick
		arrivals[at] = append(arrivals[at], &caller{stage: 2, returned: true, arrived: at, leaves: at + returnWait})
	}
	for t := time.Duration(0); t < 9*time.Second+length; t += tick {
		now, load := start.Add(t), 0.9
		if t >= 3*time.Second && t < 3*time.Second+length {
			load = overload
		}
		for n := rnd.ExpFloat64(); n < load*slots*tick.Seconds(); n += rnd.ExpFloat64() {
			arrivals[t] = append(arrivals[t], &caller{stage: 1, arrived: t, leaves: t + newWait})
		}
		for _, c := range arrivals[t] {
			g := rnd.IntN(gateways)
			if !c.returned {
				plans[g].RecordNew(now)
			} else if planned && plans[g].Redeem(now) {
				c.stage = 0
			}
			queues[g] = append(queues[g], c)
		}
		delete(arrivals, t)
		requests, refused = requests*math.Exp(-tick.Seconds()/1.5), refused*math.Exp(-tick.Seconds()/1.5)
		free += ended[t]
		for g := range queues {
			queues[g] = slices.DeleteFunc(queues[g], func(c *caller) bool {
				if t > c.leaves {
					refuse(c, plans[g], t)
				}
				return t > c.leaves
			})
			slices.SortStableFunc(queues[g], func(a, b *caller) int { return a.stage - b.stage })
		}
		mayServe := func(c *caller) bool { return free > freeForLate || free > 0 && t <= c.arrived+newWait }
		for found := true; found; {
			found = false
			for _, g := range rnd.Perm(gateways) {
				i := slices.IndexFunc(queues[g], mayServe)
				if i < 0 {
					continue
				}
				if queues[g][i].returned {
					sum.late++
				} else {
					sum.inTime++
					requests++
				}
				queues[g] = slices.Delete(queues[g], i, i+1)
				plans[g].RecordServed(now)
				free--
				ended[t+time.Second]++
				found = true
				break
			}
		}
	}
	return sum
}

// Load: 1.3 times the capacity for 6 s, then 0.9. Guards against a Plan with which more
// callers are refused twice than with random returns, or that pays for it with new
// requests that would have been in time.
func TestPlanAgainstRandomReturns(t *testing.T) {
	for _, test := range []struct {
		load   float64
		length time.Duration
	}{{1.3, 6 * time.Second}, {1.05, 6 * time.Second}, {1.3, 20 * time.Second}} {
		var random, plan totals
		for seed := range uint64(20) {
			for planned, sum := range map[bool]*totals{false: &random, true: &plan} {
				r := run(seed, planned, test.load, test.length)
				sum.inTime, sum.late, sum.refusedAgain = sum.inTime+r.inTime, sum.late+r.late, sum.refusedAgain+r.refusedAgain
			}
		}
		t.Logf("load %.2f for %v: refused again random %.3f, plan %.3f; in time random %.0f, plan %.0f (%+.1f%%); late random %.0f, plan %.0f", test.load, test.length,
			random.again(), plan.again(), random.inTime, plan.inTime, 100*(plan.inTime/random.inTime-1), random.late, plan.late)
		assert.Check(t, plan.again() < random.again(), "load %v for %v", test.load, test.length)
		assert.Check(t, plan.inTime > 0.98*random.inTime, "load %v for %v", test.load, test.length)
	}
}
