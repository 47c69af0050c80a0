// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"encoding/json"
	"math"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/slotgrant"
)

// HandleSlotGrant implements Handler.
func (h *recorder) HandleSlotGrant(slotgrant.Grant) {}

// slotRecorder is a recorder that also stores the slot grants.
type slotRecorder struct {
	recorder
	grantsMu sync.Mutex
	grants   []slotgrant.Grant
}

// HandleSlotGrant implements Handler.
func (h *slotRecorder) HandleSlotGrant(g slotgrant.Grant) {
	h.grantsMu.Lock()
	defer h.grantsMu.Unlock()
	h.grants = append(h.grants, g)
}

// slots returns the sum of the granted slots, and the number of datagrams with grants.
func (h *slotRecorder) slots() (slots, datagrams int) {
	h.grantsMu.Lock()
	defer h.grantsMu.Unlock()
	for _, g := range h.grants {
		slots += g.Slots
	}
	return slots, len(h.grants)
}

// Guards against a slot request that is taken for a subscription, that gets no answer
// while the engine is full, or that gets no slot once one is free.
func TestSlotRequestIsAnsweredAndGranted(t *testing.T) {
	publisher, subscriber := newPair(t, func(Notice) { t.Error("a slot request is no notice") })
	const address = "a:1"
	publisher.Publish(fleet.Report{Address: address}, false, time.Now())
	var got slotRecorder
	go subscriber.Run(t.Context(), func() []SubscriptionGroup { return nil }, nil, &got)
	observe := func(running int) {
		publisher.ObserveEngine(slotgrant.Observation{Running: running}, time.Now(), time.Now())
	}
	observe(13)
	number := int64(0)
	request := func() {
		number++
		subscriber.RequestSlots(slotgrant.Request{Number: number, Slots: 12, Wishes: []slotgrant.Wish{{Priority: 1, DueMS: 100}}}, publisher.conn.LocalAddr().String())
	}
	await(t, "an answer", func() bool {
		request()
		_, datagrams := got.slots()
		return datagrams > 0
	})
	slots, _ := got.slots()
	assert.Equal(t, slots, 0)
	await(t, "a slot", func() bool {
		request()
		observe(12)
		slots, _ := got.slots()
		return slots > 0
	})
	got.grantsMu.Lock()
	assert.Equal(t, got.grants[0].Address, address)
	got.grantsMu.Unlock()
	assert.Assert(t, publisher.SlotCounts().Granted > 0)
	assert.Assert(t, publisher.LastSubscribed().IsZero())
}

// The largest slot request and the largest grant must fit into a datagram.
func TestLargestSlotDatagramsFit(t *testing.T) {
	request := slotgrant.Request{Number: math.MaxInt64, Slots: 9999, StartedMS: 1 << 42}
	for range slotgrant.MaxWishes {
		request.Wishes = append(request.Wishes, slotgrant.Wish{Priority: 9, DueMS: -1e6})
		request.Returned = append(request.Returned, 1<<42, 1<<42)
	}
	for _, datagram := range []any{
		gatewayDatagram{SlotRequest: &request},
		sidecarDatagram{SlotGrant: &slotgrant.Grant{Number: 1 << 42, Address: "255.255.255.255:65535", Slots: 9999, FreeInMS: 99999}},
	} {
		text, err := json.Marshal(datagram)
		assert.NilError(t, err)
		assert.Assert(t, len(text) < maxDatagram, "%d bytes", len(text))
	}
}
