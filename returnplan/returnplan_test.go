// SPDX-License-Identifier: Apache-2.0

package returnplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// measured returns a Plan that has measured the given rates for 10 s, in requests per
// second, and the current time.
func measured(served, fresh int) (*Plan, time.Time) {
	p := New(time.Unix(1000, 0))
	now := p.start.Add(10 * time.Second)
	p.setRates(served, fresh, now)
	return p, now
}

// setRates sets the measured rates.
func (p *Plan) setRates(served, fresh int, now time.Time) {
	p.served, p.fresh = float64(served)*rateDecay.Seconds(), float64(fresh)*rateDecay.Seconds()
	p.updatedAt = now
}

// Guards against more promises than the measured rates leave places for, and against
// instants outside the bounds: each promise beyond the places displaces new requests.
func TestPromisesDoNotExceedPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		served := rapid.IntRange(0, 60).Draw(t, "served")
		fresh := rapid.IntRange(0, 80).Draw(t, "fresh")
		p, now := measured(served, fresh)
		begin, kept := now, 0
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(0, 300).Draw(t, "step ms")) * time.Millisecond
			now = now.Add(step)
			p.setRates(served, fresh, now)
			earliest := time.Duration(rapid.IntRange(0, 3000).Draw(t, "earliest ms")) * time.Millisecond
			latest := time.Duration(rapid.IntRange(0, 5000).Draw(t, "latest ms")) * time.Millisecond
			after, ok := p.Promise(earliest, latest, now)
			assert.Assert(t, after >= earliest, "%v before %v", after, earliest)
			assert.Assert(t, after <= max(latest, earliest+spreadAfterLatest), "%v after %v", after, latest)
			if ok {
				kept++
				assert.Assert(t, after <= latest && after < horizonSlices*sliceLength, "kept %v", after)
			}
		}
		rate := max(float64(served-fresh), returnShare*float64(served))
		window := now.Sub(begin) + (carrySlices+horizonSlices)*sliceLength
		assert.Assert(t, float64(kept) <= rate*window.Seconds()+0.001, "%d of %v per second in %v", kept, rate, window)
	})
}

// Guards against a small guaranteed share that never adds up to a place in a sustained
// overload.
func TestFractionsOfPlacesAreUsed(t *testing.T) {
	p, now := measured(40, 60)
	kept := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		p.setRates(40, 60, now)
		if _, ok := p.Promise(350*time.Millisecond, 1900*time.Millisecond, now); ok {
			kept++
		}
	}
	assert.Assert(t, kept >= 5, "%d places in 10 s, the share is 0.8 per second", kept)
}

// Guards against returns that all come at the same instant: refused callers must get
// different slices, and if there are no places, the last slice that they can wait for.
func TestRefusedCallersAreSpread(t *testing.T) {
	p, now := measured(30, 20) // one place per slice
	var taken [horizonSlices]int
	for range 10 {
		after, ok := p.Promise(350*time.Millisecond, 1900*time.Millisecond, now)
		assert.Assert(t, ok)
		taken[after/sliceLength]++
	}
	for n, count := range taken {
		assert.Check(t, count <= 1, "slice %d has %d", n, count)
	}
	for ok := true; ok; {
		_, ok = p.Promise(350*time.Millisecond, time.Hour, now)
	}
	after, _ := p.Promise(350*time.Millisecond, 1900*time.Millisecond, now)
	assert.Assert(t, after >= 1700*time.Millisecond && after <= 1900*time.Millisecond, "%v", after)
	after, _ = p.Promise(350*time.Millisecond, time.Hour, now)
	assert.Assert(t, after >= 1700*time.Millisecond && after <= horizonSlices*sliceLength, "%v", after)
}

// Guards against a place that is used twice, too early or too late: a caller that comes
// before its time has no place of its own.
func TestPromiseIsRedeemedOnceInItsTime(t *testing.T) {
	for _, test := range []struct {
		name string
		at   time.Duration // from the begin of the promised slice
		want bool
	}{
		{"before", -10 * time.Millisecond, false},
		{"in its slice", 50 * time.Millisecond, true},
		{"within the grace period", 390 * time.Millisecond, true},
		{"after the grace period", 410 * time.Millisecond, false},
	} {
		p, now := measured(30, 20)
		after, ok := p.Promise(350*time.Millisecond, 1900*time.Millisecond, now)
		assert.Assert(t, ok)
		at := p.start.Add(now.Add(after).Sub(p.start).Truncate(sliceLength)).Add(test.at)
		assert.Equal(t, p.Redeem(at), test.want, test.name)
		assert.Equal(t, p.Redeem(at), false, "%s: again", test.name)
	}
}

// Guards against a rate that is not measured in requests per second.
func TestPlacesFollowRates(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		p.RecordServed(now)
		p.RecordServed(now)
		p.RecordNew(now)
	}
	assert.Assert(t, p.places(now) > 9.9 && p.places(now) < 10.1, "%v places per slice of 200 served and 100 new per second", p.places(now))
}

// Guards against promises by a gateway that has measured nothing yet.
func TestNewPlanOnlyMeasures(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now)
	assert.Equal(t, p.Ready(now.Add(rateDecay-time.Millisecond)), false)
	assert.Equal(t, p.Ready(now.Add(rateDecay)), true)
	_, ok := p.Promise(350*time.Millisecond, 1900*time.Millisecond, now.Add(rateDecay))
	assert.Equal(t, ok, false)
}

// Load: requests count as served when they are sent, and are refused without having reached
// an engine. Guards against places that are promised for the rate of these.
func TestUnservedRequestsGiveNoPlaces(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(now.Add(-10 * time.Second))
	for range 300 {
		p.RecordServed(now)
		p.RecordUnserved(now)
	}
	_, kept := p.Promise(time.Second, 2*time.Second, now)
	assert.Assert(t, !kept)
	p.RecordUnserved(now)
	assert.Equal(t, p.served, 0.0)
}
