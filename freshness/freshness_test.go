// SPDX-License-Identifier: Apache-2.0

package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A change must be in force within the bound even if a read, or a follower's query, is
// never answered and the next read answers only just in time.
func TestSlowestPropagationIsWithinTheBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 7 * time.Second} {
		b := New(bound)
		hedged := b.Wait(0) + b.HedgeDelay() + b.ResponseTime()
		assert.Assert(t, hedged < bound, "hedged read: %s of %s", hedged, bound)
		afterOutage := b.Interval() + b.ResponseTime()
		assert.Assert(t, afterOutage < bound, "after an outage: %s of %s", afterOutage, bound)
		// A follower with data of any age queries a reader that does not respond.
		for age := time.Duration(0); b.Hold(age) > 0; age += bound / 50 {
			viaReader := age + b.Hold(age) + b.RelayTimeout() + b.ResponseTime()
			assert.Assert(t, viaReader < bound, "follower of age %s: %s of %s", age, viaReader, bound)
		}
		assert.Assert(t, b.Hold(b.StaleAfter()) <= 0)
		assert.Assert(t, b.Current(bound-1) && !b.Current(bound))
	}
}

// Even if the store responds slowly, a reader's data must be confirmed before the
// requests of its followers time out.
func TestReaderIsConfirmedBeforeFollowersTimeOut(t *testing.T) {
	b := New(2 * time.Second)
	const slowResponse = 240 * time.Millisecond
	assert.Assert(t, b.Wait(0)+slowResponse < b.Hold(0)-b.RelayTimeout())
	assert.Equal(t, b.Wait(b.StaleAfter()), time.Duration(0), "no long poll with old data")
}
