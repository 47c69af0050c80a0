// SPDX-License-Identifier: Apache-2.0

package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The slowest propagation of a change stays within the bound: a read that is never
// answered, and then the response to the hedged one.
func TestLongestWayIsUnderTheBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 7 * time.Second} {
		b := New(bound)
		hedged := b.Wait(0) + b.HedgeDelay() + b.ResponseTime()
		assert.Assert(t, hedged < bound, "hedged read: %s of %s", hedged, bound)
		afterOutage := b.Interval() + b.ResponseTime()
		assert.Assert(t, afterOutage < bound, "after an outage: %s of %s", afterOutage, bound)
		// A follower with data of any age that asks a reader which does not respond.
		for age := time.Duration(0); b.Hold(age) > 0; age += bound / 50 {
			viaReader := age + b.Hold(age) + b.RelayTimeout() + b.ResponseTime()
			assert.Assert(t, viaReader < bound, "follower of age %s: %s of %s", age, viaReader, bound)
		}
		assert.Assert(t, b.Hold(b.StaleAfter()) <= 0)
		assert.Assert(t, b.Current(bound-1) && !b.Current(bound))
	}
}

// The data of a reader is confirmed before the requests of its followers time out,
// also with a slow response of the store.
func TestReaderIsConfirmedBeforeFollowersTimeOut(t *testing.T) {
	b := New(2 * time.Second)
	const slowResponse = 240 * time.Millisecond
	assert.Assert(t, b.Wait(0)+slowResponse < b.Hold(0)-b.RelayTimeout())
	assert.Equal(t, b.Wait(b.StaleAfter()), time.Duration(0), "no long poll with old data")
}
