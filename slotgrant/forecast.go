// SPDX-License-Identifier: Apache-2.0

package slotgrant

import "time"

// Parameters of the forecast.
const (
	// durationWeight is the weight of the newest request in the moving average of the
	// durations, from 0 to 1.
	durationWeight = 0.1
	// minDurations is the number of requests from which the average is used.
	minDurations = 12
)

// forecast estimates when the next slot of a full engine will be free: when the request
// that began first has taken as long as requests take on average. The engine reports only
// how many requests it runs, so beginnings and ends are inferred from the differences
// between readings and the number of requests that have arrived by grants.
type forecast struct {
	// begun holds when the running requests began, in ascending order. load is the number
	// of running and queued requests. Both are as of the last reading.
	begun []time.Time
	load  int
	// early is the number of requests that the last reading included although their
	// arrival by a grant had not been counted yet.
	early int
	// duration is the moving average of the durations of ended requests, and durations
	// their number.
	duration  time.Duration
	durations int
}

// observe records a reading of the engine's state at the time at. arrived is the number of
// requests that have arrived by grants since the last reading.
func (f *forecast) observe(running, queued, arrived int, at time.Time) {
	load := running + queued
	ended := arrived - (load - f.load)
	early := max(0, -ended)
	for range min(ended-f.early, len(f.begun)) {
		f.addDuration(at.Sub(f.begun[0]))
		f.begun = f.begun[1:]
	}
	f.load, f.early = load, early
	f.begun = f.begun[max(0, len(f.begun)-running):]
	for len(f.begun) < running {
		f.begun = append(f.begun, at)
	}
}

// addDuration adds the duration of a request that has ended.
func (f *forecast) addDuration(d time.Duration) {
	f.durations++
	if f.durations == 1 {
		f.duration = d
		return
	}
	f.duration += time.Duration(durationWeight * float64(d-f.duration))
}

// freeIn returns the expected time until a slot of an engine with some slots is free. ok is
// false if it is unknown.
func (f *forecast) freeIn(slots int, now time.Time) (d time.Duration, ok bool) {
	switch {
	case len(f.begun) < slots:
		return 0, true
	case f.durations < minDurations:
		return 0, false
	default:
		return max(0, f.duration-now.Sub(f.begun[0])), true
	}
}
