// SPDX-License-Identifier: Apache-2.0

package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// In any window, all gateways together must send at most ratio x requests + slack
// retries, however many of them restart.
func TestAllGatewaysTogetherStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, Gateways: 8}
		now := time.Unix(1000, 0)
		gateways := make([]*Budget, rapid.IntRange(1, p.Gateways).Draw(t, "gateways"))
		for i := range gateways {
			gateways[i] = New(p, now)
		}
		type second struct{ requests, retries int }
		var seconds []second
		for range 25 {
			var s second
			for i := range gateways {
				if rapid.IntRange(0, 12).Draw(t, "restart") == 0 {
					gateways[i] = New(p, now)
				}
				for range rapid.IntRange(0, 20).Draw(t, "requests") {
					gateways[i].AddRequest(now)
					s.requests++
				}
				for range rapid.IntRange(0, 40).Draw(t, "wanted") {
					if gateways[i].Take(now) {
						s.retries++
					}
				}
			}
			seconds = append(seconds, s)
			now = now.Add(time.Second)
			requests, retries := 0, 0
			for _, old := range seconds[max(0, len(seconds)-10):] {
				requests += old.requests
				retries += old.retries
			}
			if float64(retries) > p.Ratio*float64(requests)+p.Slack {
				t.Fatalf("%d retries of %d requests in a window", retries, requests)
			}
		}
	})
}

// A new budget must allow some retries, at most its share of the slack, and then none
// until time has passed.
func TestBudgetIsExhaustedAndRefilled(t *testing.T) {
	p := Params{Ratio: 0.2, Slack: 80, Window: 10 * time.Second, Gateways: 8}
	now := time.Unix(1000, 0)
	b := New(p, now)
	taken := 0
	for b.Take(now) {
		taken++
	}
	assert.Assert(t, taken > 0 && taken <= 10, "taken %d", taken)
	assert.Assert(t, b.Take(now.Add(10*time.Second)))
}
