// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// Load: all engines without a permitted version for 2.5 s. Guards against a message at each
// reading of the engine, every 40 ms, because the time until it serves decreases or varies
// by a few chunks, and against one that is not sent although it has moved.
func TestExpectationCountsDownWithoutMessages(t *testing.T) {
	publisher, _ := newPair(t, func(Notice) {})
	begin := clock.Now()
	at := begin
	publish := func(servesIn time.Duration) int64 {
		publisher.Publish(fleet.Report{Address: "a:1", ServesInMS: servesIn.Milliseconds()}, false, at)
		return publisher.number
	}
	publish(0)
	first := publish(2500 * time.Millisecond)
	assert.Equal(t, first, int64(2), "an expectation is sent at once")
	messages := int64(0)
	for at.Sub(begin) < 2400*time.Millisecond {
		at = at.Add(40 * time.Millisecond)
		vary := time.Duration(at.Sub(begin).Milliseconds()/40%3-1) * 90 * time.Millisecond
		messages = publish(2500*time.Millisecond-at.Sub(begin)+vary) - first
	}
	assert.Assert(t, messages <= int64(at.Sub(begin)/repeatInterval), "%d messages", messages)

	// The time that the engine needs longer than expected is no difference either.
	before := publish(time.Millisecond)
	at = at.Add(100 * time.Millisecond)
	assert.Equal(t, publish(time.Millisecond), before)
	assert.Equal(t, publish(400*time.Millisecond), before+1, "it has moved")
	assert.Equal(t, publish(0), before+2, "the engine serves")
}

// Guards against a time that is not rounded, or that is as old as the last report in the
// response to a subscription, and against the removal of an overdue expectation.
func TestReportedExpectationIsRounded(t *testing.T) {
	now := clock.Now()
	var e expectation
	assert.Equal(t, e.remainingMS(now), int64(0))
	assert.Assert(t, e.observe(1234, now))
	assert.Equal(t, e.remainingMS(now), int64(1200))
	assert.Equal(t, e.remainingMS(now.Add(700*time.Millisecond)), int64(500))
	assert.Equal(t, e.remainingMS(now.Add(time.Minute)), int64(100))
}

// Guards against a key of the report that the datagram uses for something else: the
// encoding then leaves the report's field out.
func TestExpectationIsInDatagram(t *testing.T) {
	text, err := json.Marshal(sidecarDatagram{Report: fleet.Report{ServesInMS: 700}, Number: 5, Epoch: 6})
	assert.NilError(t, err)
	var got sidecarDatagram
	assert.NilError(t, json.Unmarshal(text, &got))
	assert.Equal(t, got.ServesInMS, int64(700))
	assert.Equal(t, got.Number, int64(5))
}
