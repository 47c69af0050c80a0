// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Requirements on the requests to a cold endpoint. In any coldWindow at most coldFactor
// times its rate plus coldSlack requests arrive, and on average at least minColdUsage of
// the rate is used.
const (
	coldWindow   = time.Second
	coldFactor   = 1.5
	coldSlack    = 5
	minColdUsage = 0.7
)

// coldLength is how long the endpoint of coldPlay is cold, and coldDemand the requests that
// all gateways together receive, as a multiple of its rate.
const (
	coldLength = 30 * time.Second
	coldDemand = 3
)

// coldPlay lets gateways send more requests than a cold endpoint takes, with or without a
// sidecar that grants permits, and returns the send times.
func coldPlay(gateways int, rate float64, cutOff float64) []time.Duration {
	sim := simulation{strategy: byPermits, gateways: gateways, rate: rate}
	rng := rand.New(rand.NewPCG(1, uint64(gateways)))
	quotas := NewQuotas()
	all := make([]*gateway, gateways)
	for n := range all {
		table := NewTable()
		table.SetGateways(gateways)
		all[n] = &gateway{table: table, state: table.State("e", 1), cutOff: float64(n) < cutOff*float64(gateways)}
		all[n].state.ObserveCold(Cold{Remaining: coldLength, Rate: rate, Listed: true}, start, start)
	}
	var sent []time.Duration
	for at := time.Duration(0); at < coldLength; at += step {
		now := start.Add(at)
		for _, g := range all {
			for _, r := range g.records {
				g.table.Merge(r, now)
			}
			if g.grant != nil {
				g.table.ApplyGrant(*g.grant, now)
			}
			g.records, g.grant = nil, nil
			if rng.Float64() < coldDemand*rate/float64(gateways)*step.Seconds() {
				g.waiting = append(g.waiting, now)
			}
			g.waiting = slices.DeleteFunc(g.waiting, func(arrived time.Time) bool { return now.Sub(arrived) > maxWait })
			for len(g.waiting) > 0 && sim.admit(g, now) {
				g.waiting = g.waiting[1:]
				sent = append(sent, at)
			}
			sim.requestPermits(g, all, quotas, now)
		}
	}
	return sent
}

// mostIn returns the highest number of send times within any window.
func mostIn(sent []time.Duration, window time.Duration) (most int) {
	from := 0
	for n, at := range sent {
		for at-sent[from] >= window {
			from++
		}
		most = max(most, n-from+1)
	}
	return most
}

// The gateways together must neither send a cold endpoint more than it takes in any
// second, nor leave much of that unused, whatever their number.
func TestColdRateIsKeptAndUsed(t *testing.T) {
	for _, gateways := range []int{6, 20, 50} {
		for _, rate := range []float64{2, 10, 26, 100} {
			t.Run(fmt.Sprintf("%d gateways, %g a second", gateways, rate), func(t *testing.T) {
				sent := coldPlay(gateways, rate, 0)
				most, used := mostIn(sent, coldWindow), float64(len(sent))/(rate*coldLength.Seconds())
				allowed := int(coldFactor*rate) + coldSlack
				t.Logf("at most %d, allowed %d; %.2f used", most, allowed, used)
				assert.Check(t, most <= allowed, "%d in a second, allowed %d", most, allowed)
				assert.Check(t, used >= minColdUsage, "%.2f used", used)
			})
		}
	}
}

// The rate must also be kept while some or all gateways cannot reach the sidecar that
// grants permits.
func TestColdRateIsKeptWithoutTheSidecar(t *testing.T) {
	for _, gateways := range []int{6, 20, 50} {
		for _, rate := range []float64{2, 26} {
			for _, cutOff := range []float64{0.5, 1} {
				most := mostIn(coldPlay(gateways, rate, cutOff), coldWindow)
				allowed := int(coldFactor*rate) + coldSlack
				t.Logf("%d gateways, %g a second, %g cut off: at most %d, allowed %d", gateways, rate, cutOff, most, allowed)
				assert.Check(t, most <= allowed, "%d in a second, allowed %d", most, allowed)
			}
		}
	}
}

// Of reports that disagree, the longest warm-up must count until the endpoint itself
// reports anew; an older response must not change that.
func TestColdReportsThatDisagree(t *testing.T) {
	table := NewTable()
	s := table.State("e", 1)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	changes := s.ObserveCold(Cold{Remaining: 2 * time.Second, Rate: 10, Listed: true}, at(0), at(0))
	assert.DeepEqual(t, changes, []Change{{Kind: TurnedCold, Rate: 10, Remaining: 2 * time.Second}})
	assert.Assert(t, s.Limited(at(0)) && !table.NoSignals())
	s.ObserveCold(Cold{Remaining: 500 * time.Millisecond, Rate: 10, Listed: true}, at(10), at(10))
	assert.Assert(t, s.Cold(at(1900)), "a shorter time of the list does not count")
	s.ObserveCold(Cold{Remaining: 5 * time.Second, Rate: 10}, at(20), at(30))
	assert.Assert(t, s.Cold(at(4900)))
	assert.Equal(t, len(s.ObserveCold(Cold{Rate: 10}, at(25), at(40))), 0, "sent before the last report")
	assert.Assert(t, s.Cold(at(4900)))
	assert.DeepEqual(t, s.ObserveCold(Cold{Rate: 10}, at(50), at(60)), []Change{{Kind: WarmedUp}})
	assert.Assert(t, !s.Limited(at(60)))
	s.ObserveCold(Cold{Remaining: time.Second, Rate: 10}, at(100), at(110))
	assert.Assert(t, s.Cold(at(1000)), "cold again")
	assert.Assert(t, !s.Cold(at(1110)), "ends by itself")
}

// Gateways must hear from each other that an endpoint turned cold, and that it is warm
// before the time that was reported.
func TestColdIsToldToOtherGateways(t *testing.T) {
	quotas, here, there := NewQuotas(), NewTable(), NewTable()
	s := here.State("e", 1)
	tell := func(now time.Time) {
		request, ok := s.PermitRequest(now)
		assert.Assert(t, ok)
		grant, changed := quotas.Allocate(request, now)
		assert.Assert(t, changed)
		there.Merge(grant.Record, now)
	}
	s.ObserveCold(Cold{Remaining: 5 * time.Second, Rate: 10}, start, start)
	tell(start)
	assert.Assert(t, there.State("e", 1).Cold(start))
	later := start.Add(time.Second)
	s.ObserveCold(Cold{Rate: 10}, later, later)
	tell(later)
	assert.Assert(t, !there.State("e", 1).Cold(later))
}

// A limit of the endpoint itself must stay in force if it is tighter than its cold rate.
func TestTighterOfLimitAndColdRateCounts(t *testing.T) {
	s := NewTable().State("e", 1)
	s.ObserveCold(Cold{Remaining: time.Second, Rate: 10, Listed: true}, start, start)
	s.Observe(Signal{Limit: Limited(2)}, start, start)
	assert.Equal(t, s.Rate(start), 2.0)
	s.Observe(Signal{Limit: Limited(50)}, start.Add(1), start.Add(2))
	assert.Equal(t, s.Rate(start.Add(2)), coldShare*10)
	assert.Equal(t, s.Rate(start.Add(2*time.Second)), 50.0)
}

func TestDecodeCold(t *testing.T) {
	fields := Fields{ColdMS: "Cold"}
	for _, test := range []struct {
		values   []string
		reported bool
		want     time.Duration
		invalid  int
	}{
		{nil, false, 0, 0},
		{[]string{"0"}, true, 0, 0},
		{[]string{"1500"}, true, 1500 * time.Millisecond, 0},
		{[]string{"1500.5", "20"}, true, 1500500 * time.Microsecond, 0},
		{[]string{"-1"}, false, 0, 1},
		{[]string{"soon"}, false, 0, 1},
	} {
		got := fields.Decode(200, http.Header{"Cold": test.values})
		assert.Equal(t, got.ColdReported, test.reported, "%q", test.values)
		assert.Equal(t, got.ColdRemaining, test.want, "%q", test.values)
		assert.Equal(t, len(got.Invalid), test.invalid, "%q", test.values)
	}
}
