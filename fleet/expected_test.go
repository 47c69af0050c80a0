// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newExpectingFleet returns a fleet with the given number of engines. Engine n of the first
// known ones expects to serve after (n+1) x 100 ms.
func newExpectingFleet(engines, known int, now time.Time) *Fleet {
	f := New(Place{Zone: "z"})
	for n := range engines {
		address := fmt.Sprintf("10.0.0.%d:1", n)
		f.Put(Record{ID: fmt.Sprint("e", n), Service: "engine", Address: address, Zone: "z"})
		r := Report{Address: address, Model: "m"}
		if n < known {
			r.ServesInMS = int64(n+1) * 100
		}
		f.ApplyReport(r, -1, now)
	}
	return f
}

// Load: all engines without a permitted version. Guards against callers that are told to
// return for the first engine, which cannot take all of them, and against an instant that
// rests on too few or on old expectations.
func TestExpectedIsWhenATenthServes(t *testing.T) {
	now := time.Now()
	q := Query{Service: "engine", Model: "m"}
	for _, c := range []struct{ engines, known, enough int }{
		{34, 34, 4}, {34, 4, 4}, {34, 3, 0}, {10, 10, 1}, {11, 11, 2}, {1, 1, 1}, {1, 0, 0}, {0, 0, 0},
	} {
		f := newExpectingFleet(c.engines, c.known, now)
		got, ok := f.Expected(q, now)
		assert.Equal(t, ok, c.enough > 0, "%v", c)
		if ok {
			assert.Equal(t, got.First.Sub(now), 100*time.Millisecond, "%v", c)
			assert.Equal(t, got.Enough.Sub(now), time.Duration(c.enough)*100*time.Millisecond, "%v", c)
		}
		_, ok = f.Expected(q, now.Add(reportTTL))
		assert.Assert(t, !ok, "old: %v", c)
	}
	f := newExpectingFleet(10, 10, now)
	f.ApplyReport(Report{Address: "10.0.0.0:1", Model: "m"}, -1, now)
	got, ok := f.Expected(q, now)
	assert.Assert(t, ok)
	assert.Equal(t, got.First.Sub(now), 200*time.Millisecond, "a later report without one replaces it")
	f = newExpectingFleet(1, 0, now)
	f.ApplyReport(Report{Address: "10.0.0.0:1", Model: "m", ServesInMS: 1 << 62}, -1, now)
	got, _ = f.Expected(q, now)
	assert.Equal(t, got.First.Sub(now), maxServesIn)
}
