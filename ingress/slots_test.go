// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/admission"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/slotgrant"
)

// reportLoad processes a report of the engine with an id; gateways is the number of
// gateways that subscribe to it.
func reportLoad(s *Server, id string, running, gateways int) {
	s.HandleReport(fleet.Report{Address: id + ":1", Model: testModel, Version: 1, StartedMS: 1, Running: running, Gateways: gateways, DemandShare: 1}, 0)
}

// waitingRequest is a request that waits for an endpoint.
type waitingRequest struct {
	*exchange
	assigned chan *attempt
}

// startWaiting makes a request wait for at most 400 ms. It returns once it waits or has an
// endpoint.
func startWaiting(t *testing.T, s *Server, priority int) waitingRequest {
	w := waitingRequest{newContendedExchange(s), make(chan *attempt, 1)}
	w.priority = priority
	go func() { w.assigned <- s.waitForEndpoint(t.Context(), w.exchange, 400*time.Millisecond) }()
	synctest.Wait()
	return w
}

// endpoint returns the id of the endpoint of the request, "none" if it was refused, or
// "waits".
func (w waitingRequest) endpoint() string {
	synctest.Wait()
	select {
	case a := <-w.assigned:
		w.assigned <- a // endpoint and finish may be called again
		if a == nil {
			return "none"
		}
		return a.endpoint.ID
	default:
		return "waits"
	}
}

// Guards against grants for an idle fleet, which would cost messages and time, and against
// any change for a service with a slot for each gateway.
func TestNoSlotRequestsWhereSlotsAreNotScarce(t *testing.T) {
	for name, test := range map[string]struct {
		running, gateways int
		want              string
	}{
		"idle":                        {9, 26, "a"},
		"not contended":               {11, contendedSlots, "a"},
		"not contended, and all full": {12, contendedSlots, "waits"},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newContendedServer(1)
			reportLoad(s, "a", test.running, test.gateways)
			w := startWaiting(t, s, 1)
			assert.Equal(t, w.endpoint(), test.want, name)
			assert.Equal(t, len(s.TakeSlotRequests()), 0, name)
		})
	}
}

// Guards against a granted slot that goes to another request than the most urgent one, and
// against unused slots that the sidecar does not get back at once.
func TestGrantGoesToTheMostUrgentWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newContendedServer(1)
		reportLoad(s, "a", 12, 26)
		less := startWaiting(t, s, 2)
		most := startWaiting(t, s, 1)
		requests := s.TakeSlotRequests()
		assert.Equal(t, len(requests), 1)
		assert.Equal(t, requests[0].Address, "a:1")
		assert.Equal(t, requests[0].Slots, contendedSlots)
		assert.Equal(t, requests[0].StartedMS, int64(1))
		wishes := requests[0].Wishes
		assert.Equal(t, len(wishes), 2)
		assert.Equal(t, wishes[0].Priority, rank{urgency: most.urgency()}.wishPriority())
		assert.Equal(t, wishes[1].Priority, rank{urgency: less.urgency()}.wishPriority())
		assert.Assert(t, wishes[0].Priority < wishes[1].Priority)
		for _, w := range wishes {
			assert.Equal(t, w.DueMS, int64(500))
		}
		s.HandleSlotGrant(slotgrant.Grant{Number: 1, Address: "a:1", Slots: 1})
		assert.Equal(t, most.endpoint(), "a")
		assert.Assert(t, (<-most.assigned).granted)
		assert.Equal(t, less.endpoint(), "waits")
		assert.Equal(t, len(s.TakeSlotRequests()), 0, "the sidecar knows the wishes")
		s.HandleSlotGrant(slotgrant.Grant{Number: 2, Address: "a:1", Slots: 2})
		assert.Equal(t, less.endpoint(), "a")
		requests = s.TakeSlotRequests()
		assert.Equal(t, len(requests), 1)
		assert.DeepEqual(t, requests[0].Returned, []int64{2})
		assert.Equal(t, len(requests[0].Wishes), 0)
	})
}

// Guards against a sidecar that grants slots in another order than that of the gateway's
// queue: lateness first, then the workspace's priority, then the route's.
func TestWishPriorityOrder(t *testing.T) {
	last := -1
	for _, r := range []rank{
		{urgency: admission.Urgency{Priority: 0, RoutePriority: 0}},
		{urgency: admission.Urgency{Priority: 0, RoutePriority: maxPriority}},
		{urgency: admission.Urgency{Priority: 1, RoutePriority: 0}},
		{urgency: admission.Urgency{Priority: maxPriority, RoutePriority: maxPriority}},
		{late: true, urgency: admission.Urgency{Priority: 0, RoutePriority: 0}},
		{late: true, urgency: admission.Urgency{Priority: 0, RoutePriority: 1}},
		{late: true, urgency: admission.Urgency{Priority: 1, RoutePriority: 0}},
	} {
		assert.Assert(t, r.wishPriority() > last, "%+v", r)
		last = r.wishPriority()
	}
}

// Guards against wishes of requests that no longer wait.
func TestWishEndsWithTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newContendedServer(1)
		reportLoad(s, "a", 12, 26)
		w := startWaiting(t, s, 1)
		assert.Equal(t, len(s.TakeSlotRequests()), 1)
		s.HandleSlotGrant(slotgrant.Grant{Number: 1, Address: "a:1"})
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, w.endpoint(), "none")
		requests := s.TakeSlotRequests()
		assert.Equal(t, len(requests), 1)
		assert.Equal(t, len(requests[0].Wishes), 0)
		assert.Equal(t, len(s.queues["engine"].wishing), 0)
	})
}

// Guards against a request that waits for one lost message: the wish must be repeated, so
// that it gets a slot soon after 100 ms.
func TestLostSlotMessageDelaysBriefly(t *testing.T) {
	for _, lost := range []string{"wish", "grant"} {
		synctest.Test(t, func(t *testing.T) {
			s := newContendedServer(1)
			reportLoad(s, "a", 11, 26)
			ledger := slotgrant.NewLedger(time.Now())
			time.Sleep(100 * time.Millisecond)
			deliver := func() {
				for _, g := range ledger.Grants(time.Now()) {
					if lost == "grant" {
						lost = ""
						continue
					}
					g.Address = "a:1"
					s.HandleSlotGrant(g.Grant)
				}
			}
			w := startWaiting(t, s, 1)
			began := time.Now()
			for time.Since(began) < 200*time.Millisecond && len(w.assigned) == 0 {
				ledger.Observe(slotgrant.Observation{Running: 11}, time.Now(), time.Now())
				deliver()
				for _, r := range s.TakeSlotRequests() {
					if lost == "wish" {
						lost = ""
						continue
					}
					ledger.Request(netip.MustParseAddrPort("10.0.0.1:1"), r.Request, time.Now())
					deliver()
				}
				time.Sleep(10 * time.Millisecond)
			}
			assert.Equal(t, w.endpoint(), "a")
			assert.Assert(t, time.Since(began) <= 120*time.Millisecond, "after %s", time.Since(began))
		})
	}
}

// finish ends the attempt of a request that has an endpoint.
func (w waitingRequest) finish() {
	a := <-w.assigned
	a.begin()
	a.recordFirstBytes()
	a.finish(fleet.Responded)
}

// Guards against requests that get no endpoint while a sidecar is silent, suspended or cut
// off: after 150 ms the engine must be used by its last report, for 1 s.
func TestSilentSidecarIsUsedByReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newContendedServer(1)
		report := func() { reportLoad(s, "a", 10, 26) }
		report()
		w := startWaiting(t, s, 1)
		began := time.Now()
		for time.Since(began) < 150*time.Millisecond {
			assert.Equal(t, w.endpoint(), "waits")
			s.TakeSlotRequests()
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, w.endpoint(), "a")
		w.finish()
		for time.Since(began) < 1050*time.Millisecond {
			time.Sleep(90 * time.Millisecond)
			report()
			w = startWaiting(t, s, 1)
			assert.Equal(t, w.endpoint(), "a", "after %s", time.Since(began))
			w.finish()
		}
		time.Sleep(1160*time.Millisecond - time.Since(began))
		report()
		w = startWaiting(t, s, 1)
		assert.Equal(t, w.endpoint(), "waits", "the sidecar is asked again")
		assert.Equal(t, len(s.TakeSlotRequests()), 1)
		s.HandleSlotGrant(slotgrant.Grant{Number: 1, Address: "a:1", Slots: 1})
		assert.Equal(t, w.endpoint(), "a")
	})
}

// Guards against a grant for an engine's earlier process that sends a request to the new
// one, and against a message about the earlier process that replaces the new wishes.
func TestRestartedEngineGetsNothingByOldGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newContendedServer(1)
		reportLoad(s, "a", 12, 26)
		w := startWaiting(t, s, 1)
		assert.Equal(t, len(s.TakeSlotRequests()), 1)
		s.HandleReport(fleet.Report{Address: "a:1", Model: testModel, Version: 1, StartedMS: 2, Running: 12, Gateways: 26, DemandShare: 1}, 0)
		s.HandleSlotGrant(slotgrant.Grant{Number: 1, Address: "a:1", Slots: 1})
		assert.Equal(t, w.endpoint(), "waits")
		requests := s.TakeSlotRequests()
		assert.Equal(t, len(requests), 1, "one for the earlier process could replace the wish")
		assert.Equal(t, requests[0].StartedMS, int64(2))
	})
}

// Guards against a request that is written long after its grant, when the sidecar has
// granted the slot again. While the engine has a slot free, it must be sent.
func TestLateGrantIsVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			running int
			after   time.Duration
			want    bool
		}{{12, slotgrant.Validity, true}, {12, slotgrant.Validity + time.Millisecond, false}, {10, slotgrant.Validity + time.Millisecond, true}} {
			s := newContendedServer(1)
			reportLoad(s, "a", test.running, 26)
			w := startWaiting(t, s, 1)
			s.TakeSlotRequests()
			s.HandleSlotGrant(slotgrant.Grant{Number: 1, Address: "a:1", Slots: 1})
			assert.Equal(t, w.endpoint(), "a")
			time.Sleep(test.after)
			assert.Equal(t, s.stillEligible(<-w.assigned), test.want, "%+v", test)
		}
	})
}

// Guards against a request that is refused, or takes from the retry budget, because a
// gateway with little processor time used its first grant too late: nothing was sent.
func TestVoidGrantCostsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newContendedServer(1)
		reportLoad(s, "a", 12, 26)
		x := newContendedExchange(s)
		x.request = httptest.NewRequest(http.MethodPost, "/stream/1", nil)
		for now := time.Now(); s.budget("engine", now).Take(now); { // no retries are left
		}
		sent := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			x.runAttempts(t.Context(), openFunc(func(a *attempt) opening {
				if sent == 0 {
					time.Sleep(slotgrant.Validity + time.Millisecond)
				}
				sent++
				assert.Equal(t, s.stillEligible(a), sent > 1)
				a.finish(fleet.Abandoned)
				return opening{result: result{verdict: verdictNotRun, unsent: true}}
			}))
		}()
		for number := range int64(2) {
			synctest.Wait()
			s.TakeSlotRequests()
			s.HandleSlotGrant(slotgrant.Grant{Number: number + 1, Address: "a:1", Slots: 1})
			time.Sleep(slotgrant.Validity + 2*time.Millisecond)
		}
		<-done
		assert.Equal(t, sent, 2)
	})
}

// openFunc is a protocol whose attempts end with open.
type openFunc func(a *attempt) opening

func (f openFunc) open(a *attempt) opening                     { return f(a) }
func (f openFunc) relay(o opening, _ *watch) result            { return o.result }
func (f openFunc) nextCheck(*attempt, time.Time) time.Duration { return time.Hour }
func (f openFunc) silent(*attempt, bool, time.Duration, time.Time) bool {
	return false
}
