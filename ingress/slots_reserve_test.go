// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/slotgrant"
)

// Load: requests of the urgent class are refused while a less urgent one has wished for a
// slot. Guards against a slot that the reserve keeps free and that the less urgent request
// gets because it was granted, and against one that is not given back to the sidecar.
func TestGrantDoesNotOverrideReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newContendedServer(1)
		reportLoad(s, "a", 11, 26)
		less := startWaiting(t, s, 2)
		requests := s.TakeSlotRequests()
		assert.Equal(t, len(requests), 1)
		assert.Equal(t, len(requests[0].Wishes), 1)
		for range 5 {
			x := newContendedExchange(s)
			x.priority, x.refusal = 1, refusalNoSlot
			s.recordDecision(x, false)
		}
		s.recordDecision(less.exchange, true) // the class exists
		time.Sleep(110 * time.Millisecond)    // the reserve is more than a slot, and targets end
		s.HandleSlotGrant(slotgrant.Grant{Number: 1, Address: "a:1", Slots: 1})
		assert.Equal(t, less.endpoint(), "waits")
		requests = s.TakeSlotRequests()
		assert.Equal(t, len(requests), 1)
		assert.DeepEqual(t, requests[0].Returned, []int64{1})
		assert.Equal(t, len(requests[0].Wishes), 0)
		urgent := startWaiting(t, s, 1)
		assert.Equal(t, len(s.TakeSlotRequests()[0].Wishes), 1)
		s.HandleSlotGrant(slotgrant.Grant{Number: 2, Address: "a:1", Slots: 1})
		assert.Equal(t, urgent.endpoint(), "a")
		assert.Equal(t, less.endpoint(), "waits")
	})
}

// Guards against a slot that is granted to the gateway that wished first while a more urgent
// request waits at another one, or to a late request while one in time waits.
func TestLedgerServesMoreUrgentGatewayFirst(t *testing.T) {
	for name, test := range map[string]struct {
		firstPriority int
		firstIsLate   bool
	}{"less urgent": {2, false}, "late": {0, true}} {
		synctest.Test(t, func(t *testing.T) {
			ledger := slotgrant.NewLedger(time.Now())
			time.Sleep(100 * time.Millisecond)
			wish := func(gateway byte, priority int, late bool) {
				s := newContendedServer(1)
				// Late requests wish only while less than 0.8 of the slots are in use; the
				// request of the gateway before it counts for whether a grant is needed.
				s.HandleReport(fleet.Report{Address: "a:1", Model: testModel, Version: 1, StartedMS: 1, Running: 9, Gateways: 26, DemandShare: 1.0 / 26, DemandAhead: 1}, 0)
				time.Sleep(50 * time.Millisecond)
				x := newContendedExchange(s)
				x.priority, x.acceptsLate = priority, late
				go s.waitForEndpoint(t.Context(), x, 400*time.Millisecond)
				synctest.Wait()
				requests := s.TakeSlotRequests()
				assert.Equal(t, len(requests), 1, name)
				assert.Equal(t, len(requests[0].Wishes), 1, name)
				ledger.Request(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, gateway}), 1), requests[0].Request, time.Now())
			}
			wish(1, test.firstPriority, test.firstIsLate)
			wish(2, 1, false)
			assert.Equal(t, len(ledger.Grants(time.Now())), 0, name)
			for n, want := range []byte{2, 1} {
				// The full engine gets one request for its queue, then one for a free slot.
				ledger.Observe(slotgrant.Observation{StartedMS: 1, Running: contendedSlots - n}, time.Now(), time.Now())
				grants := ledger.Grants(time.Now())
				assert.Equal(t, len(grants), 1, name)
				assert.Equal(t, grants[0].Slots, 1, name)
				assert.Equal(t, grants[0].Gateway.Addr().As4()[3], want, name)
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
}
