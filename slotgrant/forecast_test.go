// SPDX-License-Identifier: Apache-2.0

package slotgrant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is queued at an engine long before a slot is free, and
// against state that grows when some requests arrive without a grant, which the forecast
// cannot tell from ends that it misses.
func TestForecastOfConstantDurations(t *testing.T) {
	const slots, duration, interval = 12, 1300, 40 // ms
	for _, test := range []struct {
		others int // every so many requests, one comes without a grant
		limit  time.Duration
	}{{1000, 2 * interval * time.Millisecond}, {7, duration * time.Millisecond}} {
		var f forecast
		var ends []int // of the running requests, in ms, in ascending order
		arrived := 0
		for ms := 0; ms < 20_000; ms++ {
			if len(ends) > 0 && ends[0] == ms {
				ends = ends[1:]
			}
			if len(ends) < slots && ms%53 == 0 {
				ends = append(ends, ms+duration)
				if ms/53%test.others > 0 {
					arrived++
				}
			}
			if ms%interval != 0 {
				continue
			}
			f.observe(len(ends), 0, arrived, at(ms))
			arrived = 0
			assert.Equal(t, len(f.begun), len(ends))
			if ms < 3*duration || len(ends) < slots {
				continue
			}
			freeIn, known := f.freeIn(slots, at(ms))
			assert.Assert(t, known)
			wrong := freeIn - time.Duration(ends[0]-ms)*time.Millisecond
			assert.Assert(t, wrong.Abs() <= test.limit, "at %d ms: %s, want %d ms", ms, freeIn, ends[0]-ms)
		}
	}
}

// Guards against a slot that is left idle because nothing is known of the durations.
func TestExtraSlotIsGrantedIfExpectationUnknown(t *testing.T) {
	for _, test := range []struct {
		durations int
		want      int
	}{{0, 1}, {minDurations, 0}} {
		l := newLedger()
		l.observe(12, 0, 110)
		l.forecast.duration, l.forecast.durations = time.Second, test.durations
		l.Request(gatewayAddress(1), Request{Number: 1, Slots: 12, Wishes: wishes(1, 100)}, at(110))
		assert.Equal(t, len(l.Grants(at(110))), test.want)
		l.observe(12, 0, 1050)
		l.Request(gatewayAddress(1), Request{Number: 2, Slots: 12, Wishes: wishes(1, 100)}, at(1050))
		assert.Equal(t, len(l.Grants(at(1050))), 1, "a slot is about to be free")
	}
}
