// SPDX-License-Identifier: Apache-2.0

package retrybudget

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// second counts what happens in a second.
type second struct{ requests, retries int }

// retriesWithinBound checks the last window of seconds: the retries must be at most Ratio of
// the requests, plus Slack. The requests are those of the window, of the one before it, or of
// the one half a window before it, whichever are the most.
func retriesWithinBound(p Params, seconds []second) error {
	window := int(p.Window / time.Second)
	requests := 0
	for _, before := range []int{0, window / 2, window} {
		from, to := max(len(seconds)-window-before, 0), max(len(seconds)-before, 0)
		n := 0
		for _, s := range seconds[from:to] {
			n += s.requests
		}
		requests = max(requests, n)
	}
	retries := 0
	for _, s := range seconds[max(len(seconds)-window, 0):] {
		retries += s.retries
	}
	if float64(retries) > p.Ratio*float64(requests)+p.Slack {
		return errors.Errorf("%d retries of %d requests in a window that ends at %d s", retries, requests, len(seconds))
	}
	return nil
}

// In any window, all gateways together must stay within the bound, however many of them
// restart, and however the load and the wanted retries change.
func TestAllGatewaysTogetherStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, Gateways: 8}
		now := time.Unix(1000, 0)
		gateways := make([]*Budget, rapid.IntRange(1, p.Gateways).Draw(t, "gateways"))
		for i := range gateways {
			gateways[i] = New(p, now)
		}
		var seconds []second
		for len(seconds) < 60 {
			load := rapid.SampledFrom([]int{0, 0, 5, 20, 100}).Draw(t, "load")
			wanted := rapid.SampledFrom([]int{0, 0, 40, 200}).Draw(t, "wanted")
			for range rapid.IntRange(1, 15).Draw(t, "seconds") {
				var s second
				for i := range gateways {
					if rapid.IntRange(0, 12).Draw(t, "restart") == 0 {
						gateways[i] = New(p, now)
					}
					for range load {
						gateways[i].AddRequest(now)
						s.requests++
					}
					for range wanted {
						if gateways[i].Take(now) {
							s.retries++
						}
					}
				}
				seconds = append(seconds, s)
				now = now.Add(time.Second)
				if err := retriesWithinBound(p, seconds); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// Guards against a gateway that serves many requests but can resume only a few of the
// streams that it loses at once, when an engine ends.
func TestBurstOfRetriesIsAllowedByRequests(t *testing.T) {
	p := Params{Ratio: 0.2, Slack: 106, Window: 10 * time.Second, Gateways: 16}
	now := time.Unix(1000, 0)
	b := New(p, now)
	for range 300 { // 30 requests a second
		b.AddRequest(now)
		now = now.Add(p.Window / 300)
	}
	taken := 0
	for b.Take(now) {
		taken++
	}
	assert.Assert(t, taken >= 15, "taken %d of %v that the requests allow", taken, p.Ratio*300)
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
