// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// Guards against requests to an engine that is being updated, or runs another version, because
// an older report has overtaken a newer one.
func TestOvertakenReportIsIgnored(t *testing.T) {
	now := time.Now()
	o := newReportOrder()
	accepted := func(sidecar string, epoch, number int64, after time.Duration) bool {
		return o.accept(sidecar, reportNumber{epoch, number}, now.Add(after))
	}
	assert.Assert(t, accepted("a", 100, 2, 0))
	assert.Assert(t, !accepted("a", 100, 1, time.Millisecond), "overtaken")
	assert.Assert(t, accepted("a", 100, 2, time.Millisecond), "repeated in a response")
	assert.Assert(t, accepted("a", 200, 1, time.Millisecond), "the sidecar has restarted")
	assert.Assert(t, !accepted("a", 100, 3, 2*time.Millisecond), "of the former process")
	assert.Assert(t, accepted("b", 100, 1, 2*time.Millisecond), "of another sidecar")
	assert.Assert(t, accepted("a", 0, 0, 2*time.Millisecond), "without a number")
	assert.Assert(t, accepted("a", 50, 1, 2*time.Millisecond+maxDatagramDelay), "the box's clock was set back before the restart")
}

// Guards against memory that grows with the number of sidecars that have ever reported.
func TestReportOrderIsBounded(t *testing.T) {
	now := time.Now()
	o := newReportOrder()
	for n := range 1000 {
		o.accept(string(rune(n)), reportNumber{1, 1}, now.Add(time.Duration(n)*maxDatagramDelay/10))
	}
	assert.Assert(t, len(o.last) < 30, "%d", len(o.last))
}

// Guards against a report that counts as new although the sidecar read the engine's state
// long ago: a response to a subscription repeats the last report while the next read hangs.
func TestResponseTellsAgeOfReport(t *testing.T) {
	publisher, subscriber := newPair(t, func(Notice) {})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var got recorder
	publisher.Publish(fleet.Report{Address: "a:1"}, false, clock.Now().Add(-time.Second))
	group := SubscriptionGroup{Sidecars: []string{publisher.conn.LocalAddr().String()}}
	go subscriber.Run(ctx, func() []SubscriptionGroup { return []SubscriptionGroup{group} }, nil, &got)
	last := func() fleet.Report {
		got.mu.Lock()
		defer got.mu.Unlock()
		if len(got.reports) == 0 {
			return fleet.Report{AgeMS: -1}
		}
		return got.reports[len(got.reports)-1]
	}
	await(t, "a report", func() bool { return last().AgeMS >= 1000 })
	await(t, "a new report", func() bool {
		publisher.Publish(fleet.Report{Address: "a:1"}, false, clock.Now())
		return last().AgeMS == 0
	})
}

// Guards against overtaken reports that reach the handler: the subscriber must compare the
// numbers in the datagrams of a sidecar.
func TestSubscriberDropsOvertakenReport(t *testing.T) {
	_, subscriber := newPair(t, func(Notice) {})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var got recorder
	to := subscriber.conn.LocalAddr().String()
	go subscriber.Run(ctx, func() []SubscriptionGroup { return nil }, nil, &got)
	conn, err := net.Dial("udp4", to)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for _, number := range []int64{2, 1, 3} {
		text, err := json.Marshal(sidecarDatagram{Report: fleet.Report{Address: "a:1", Running: int(number)}, Epoch: 5, Number: number})
		assert.NilError(t, err)
		_, err = conn.Write(text)
		assert.NilError(t, err)
	}
	await(t, "the last report", func() bool {
		got.mu.Lock()
		defer got.mu.Unlock()
		return len(got.reports) > 0 && got.reports[len(got.reports)-1].Running == 3
	})
	assert.Equal(t, len(got.reports), 2)
}
