// SPDX-License-Identifier: Apache-2.0

package daycheck

import (
	"fmt"
	"slices"
	"time"
)

// Budget bounds the repeats at a service: in each window at most Ratio times its requests,
// plus Slack.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Check returns what is wrong with the repeats: the arrivals beyond the first of each
// request, also those that are refused. The requests are counted in the window, in the
// window before it, or half a window earlier, whichever has the most.
func (b Budget) Check(requests []*Request, runs []*Run) []string {
	sent := make(map[string][]time.Time) // by service
	for _, q := range requests {
		sent[q.Service] = append(sent[q.Service], q.Sent)
	}
	byArrival := slices.SortedFunc(slices.Values(runs), func(a, b *Run) int { return a.At.Compare(b.At) })
	arrived := make(map[string]bool)
	repeats := make(map[string][]time.Time) // by service
	for _, r := range byArrival {
		if arrived[r.Request] {
			repeats[r.Service] = append(repeats[r.Service], r.At)
		}
		arrived[r.Request] = true
	}
	var out []string
	for service, times := range repeats {
		for _, end := range times {
			from := end.Add(-b.Window)
			got := between(times, from, end)
			base := max(between(sent[service], from, end), between(sent[service], from.Add(-b.Window), from), between(sent[service], from.Add(-b.Window/2), end.Add(-b.Window/2)))
			if allowed := b.Ratio*float64(base) + b.Slack; float64(got) > allowed {
				out = append(out, fmt.Sprintf("%d repeats at %s in %s, allowed %.1f for %d requests", got, service, b.Window, allowed, base))
				break
			}
		}
	}
	return out
}

// between counts the times after from, up to and including end.
func between(times []time.Time, from, end time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(end) {
			n++
		}
	}
	return n
}
