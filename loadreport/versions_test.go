// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
)

// A sidecar tells a gateway the ages of target versions that are unknown in the gateway's
// notice and that another gateway has reported.
func TestEchoCarriesMissingVersionAges(t *testing.T) {
	publisher, started := newPair(t, func(Notice) {})
	knowing, err := NewSubscriber("127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	publisher.Publish(fleet.Report{Address: "a:1"}, false, time.Now())
	run := func(s *Subscriber, age int64, h Handler) {
		group := SubscriptionGroup{Sidecars: []string{publisher.conn.LocalAddr().String()}, Notice: Notice{Model: "m", TargetVersions: []TargetVersion{{Version: 2, AgeMS: UnknownAge}, {Version: 3, AgeMS: age}}}}
		go s.Run(ctx, func() []SubscriptionGroup { return []SubscriptionGroup{group} }, nil, h)
	}
	var got, other recorder
	run(knowing, 7000, &other)
	await(t, "the response to the gateway that knows", func() bool { return lastEcho(&other).RoundTrip > 0 })
	run(started, UnknownAge, &got)
	await(t, "the age that the gateway lacks", func() bool { return len(lastEcho(&got).TargetVersions) == 1 })
	echo := lastEcho(&got)
	assert.Equal(t, echo.TargetModel, "m")
	assert.Equal(t, echo.TargetVersions[0].Version, 3)
	assert.Assert(t, echo.TargetVersions[0].AgeMS >= 7000)
	assert.Equal(t, len(lastEcho(&other).TargetVersions), 0, "version 2 has an unknown age everywhere")
}

// lastEcho returns the last echo that h has received.
func lastEcho(h *recorder) Echo {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.echo
}

// Guards against a version time that is later than the version was set, and against
// memory and messages that grow with the number of versions.
func TestVersionTimesKeepTheEarliest(t *testing.T) {
	now := time.Now()
	var times versionTimes
	report := func(version int, age int64) {
		times.merge(Notice{Model: "m", TargetVersions: []TargetVersion{{Version: version, AgeMS: age}}}, now)
	}
	report(3, 2000)
	report(3, 5000)
	report(3, 1000)
	report(3, UnknownAge)
	unknown := Notice{Model: "m"}
	for version := range 9 {
		unknown.TargetVersions = append(unknown.TargetVersions, TargetVersion{Version: version, AgeMS: UnknownAge})
	}
	assert.DeepEqual(t, times.missing(unknown, now), []TargetVersion{{Version: 3, AgeMS: 5000}})
	for _, version := range []int{8, 7, 2, 6} {
		report(version, 100)
	}
	assert.DeepEqual(t, times.missing(unknown, now), []TargetVersion{{Version: 6, AgeMS: 100}, {Version: 7, AgeMS: 100}, {Version: 8, AgeMS: 100}})
	times.merge(Notice{Model: "other"}, now)
	assert.Equal(t, len(times.missing(unknown, now)), 0)
}
