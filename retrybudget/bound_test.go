// SPDX-License-Identifier: Apache-2.0

package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All gateways together must keep the bound in every window, with bursts of requests and
// failures, refunds of retries that were not sent, and gateways that start and restart. A
// retry arrives up to 1.3 s after its token was taken.
func TestBoundOfAllGatewaysAtRandom(t *testing.T) {
	const window, length, step = 10 * time.Second, 60 * time.Second, 20 * time.Millisecond
	worst := 0.0
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 1))
		p := Params{Ratio: 0.05 + 0.3*r.Float64(), Slack: float64(5 + r.IntN(60)), Window: window, Gateways: 1 + r.IntN(8)}
		start := time.Unix(1000, 0)
		gateways := make([]*Budget, p.Gateways)
		for i := range gateways {
			gateways[i] = New(p, start)
		}
		var requests, retries []time.Duration
		restarts := make([]time.Duration, p.Gateways)
		type refund struct {
			at time.Duration
			b  *Budget
		}
		var refunds []refund
		rate := 0.0
		failing := false
		for at := time.Duration(0); at < length; at += step {
			now := start.Add(at)
			if r.IntN(100) == 0 {
				rate = float64(r.IntN(8)) * r.Float64()
			}
			if r.IntN(60) == 0 {
				failing = !failing
			}
			if n := r.IntN(p.Gateways); r.IntN(200) == 0 && at-restarts[n] > window {
				gateways[n], restarts[n] = New(p, now), at
			}
			for range int(rate + r.Float64()) {
				gateways[r.IntN(p.Gateways)].AddRequest(now)
				requests = append(requests, at)
			}
			kept := refunds[:0]
			for _, f := range refunds {
				if f.at <= at {
					f.b.Refund()
				} else {
					kept = append(kept, f)
				}
			}
			refunds = kept
			if failing {
				for _, b := range gateways {
					for b.Take(now) {
						d := time.Duration(r.IntN(1300)) * time.Millisecond
						if r.IntN(3) == 0 {
							refunds = append(refunds, refund{at + d, b})
						} else {
							retries = append(retries, at+d)
						}
					}
				}
			}
		}
		count := func(times []time.Duration, from, to time.Duration) (n int) {
			for _, t := range times {
				if from <= t && t < to {
					n++
				}
			}
			return n
		}
		for from := time.Duration(0); from < length-window; from += 250 * time.Millisecond {
			most := max(count(requests, from, from+window), count(requests, from-window, from), count(requests, from-window/2, from+window/2))
			bound := p.Ratio*float64(most) + p.Slack
			got := float64(count(retries, from, from+window))
			worst = max(worst, got/bound)
			assert.Check(t, got <= bound, "seed %d, from %s: %v > %v (%+v)", seed, from, got, bound, p)
		}
	}
	t.Logf("the largest share of the bound: %.2f", worst)
}
