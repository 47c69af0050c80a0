// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load: late requests wait while the gateway sends 10 requests per second. Guards against
// late requests that are refused although they can be served within their wait, and against
// a rate of late ones that is taken from a single one.
func TestLateRequestsWaitAsLongAsTheirRateServesThem(t *testing.T) {
	for _, test := range []struct {
		late   int // of 15 requests sent at once
		left   time.Duration
		before int // most requests before one that may wait
	}{
		{0, 1200 * time.Millisecond, 11},
		{1, 1200 * time.Millisecond, 11},
		{6, 1200 * time.Millisecond, 3},
		{6, 600 * time.Millisecond, 1},
		{0, 50 * time.Millisecond, -1},
	} {
		var c Controller
		now := time.Unix(1000, 0)
		for range 15 {
			c.RecordSent(Urgency{}, now)
		}
		for range test.late {
			c.RecordLateSent(now)
		}
		assert.Equal(t, c.LateMayWait(max(test.before, 0), test.left, now), test.before >= 0, "%+v", test)
		assert.Assert(t, !c.LateMayWait(test.before+1, test.left, now), "%+v", test)
	}
}

// Guards against a rate that lasts after slots are no longer given to late requests.
func TestLateRateDecays(t *testing.T) {
	var c Controller
	now := time.Unix(1000, 0)
	for range 6 {
		c.RecordLateSent(now)
	}
	assert.Equal(t, c.LateRate(now), 4.0)
	assert.Assert(t, c.LateRate(now.Add(countDecay)) < 1.5)
	assert.Equal(t, c.LateRate(now.Add(5*countDecay)), 0.0, "too few are counted, and none was sent")
}
