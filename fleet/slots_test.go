// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/slotgrant"
)

// scarceQuery returns the query of an attempt in a service whose slots are granted.
func scarceQuery() Query {
	q := query()
	q.Slots, q.MaxLoad, q.SlotGrants = 12, 12, true
	return q
}

// wishFor makes the gateway send a wish for a slot of the endpoint.
func wishFor(e *Endpoint, now time.Time) {
	e.SlotGrants.Want([]slotgrant.Wish{{DueMS: 100}}, now)
	e.SlotGrants.Message(1, now)
}

// noWishes is the number of wishes at an endpoint while there are none.
func noWishes(*Endpoint) int { return 0 }

// ids returns the ids of endpoints.
func ids(endpoints []*Endpoint) (out []string) {
	for _, e := range endpoints {
		out = append(out, e.ID)
	}
	return out
}

// Guards against gateways that all send to the same free slots of an engine: one that is
// not clearly free must get an attempt only by a grant, and one grant is one attempt.
func TestScarceEngineNeedsGrant(t *testing.T) {
	f := engines(1)
	q := scarceQuery()
	r := report("a", 1, 9, 0)
	r.Gateways, r.DemandShare = 26, 1
	f.ApplyReport(r, 0, start)
	assert.Equal(t, chosen(f, q, start), "a", "clearly free")
	r.Running = 10
	f.ApplyReport(r, 0, start)
	assert.Equal(t, chosen(f, q, start), "")
	assert.DeepEqual(t, ids(f.SlotTargets(q, noWishes, start)), []string{"a"})
	e := f.ByID("a")
	wishFor(e, start)
	e = f.ApplySlotGrant(slotgrant.Grant{Number: 1, Address: "a:1", Slots: 1}, start)
	assert.Equal(t, chosen(f, q, start), "a")
	assert.Assert(t, e.SlotGrants.Take(start))
	assert.Equal(t, chosen(f, q, start), "")
	assert.Assert(t, f.ApplySlotGrant(slotgrant.Grant{Number: 1, Address: "b:1", Slots: 1}, start) == nil)
}

// Guards against a change for services whose engines have a slot for each gateway.
func TestUncontendedEngineNeedsNoGrant(t *testing.T) {
	f := engines(1)
	q := scarceQuery()
	q.SlotGrants = false
	f.ApplyReport(report("a", 1, 11, 0), 0, start)
	assert.Equal(t, chosen(f, q, start), "a")
	assert.Equal(t, len(f.SlotTargets(q, noWishes, start)), 0)
}

// Guards against engines that get nothing because their sidecars are silent: no answer to
// a wish, or no report.
func TestEngineOfSilentSidecarIsUsedByReports(t *testing.T) {
	f := engines(1)
	q := scarceQuery()
	f.ApplyReport(report("a", 1, 11, 0), 0, start)
	wishFor(f.ByID("a"), start)
	silent := start.Add(150 * time.Millisecond)
	assert.Equal(t, chosen(f, q, silent.Add(-time.Millisecond)), "")
	assert.Equal(t, chosen(f, q, silent), "a")
	assert.Equal(t, chosen(f, q, silent), "", "full by its report")
	f = engines(1)
	f.ApplyReport(report("a", 1, 10, 0), 0, start)
	assert.Equal(t, chosen(f, q, start), "")
	assert.Equal(t, chosen(f, q, start.Add(reportTTL)), "a")
}

// Guards against gateways that each fill an engine that has just been listed, before their
// subscriptions to its sidecar are answered: none knows what the others send.
func TestUnreportedEngineNeedsGrant(t *testing.T) {
	f := engines(1)
	q := scarceQuery()
	assert.Equal(t, chosen(f, q, start), "a", "the first attempt")
	assert.Equal(t, chosen(f, q, start), "")
	assert.DeepEqual(t, ids(f.SlotTargets(q, noWishes, start)), []string{"a"})
	wishFor(f.ByID("a"), start)
	assert.Equal(t, chosen(f, q, start.Add(150*time.Millisecond)), "", "its sidecar is silent")
	e := f.ApplySlotGrant(slotgrant.Grant{Number: 1, Address: "a:1", Slots: 1}, start)
	assert.Equal(t, chosen(f, q, start), "a", "granted")
	assert.Assert(t, e.SlotGrants.Take(start))
	assert.Equal(t, chosen(f, q, start), "")
}

// Guards against gateways that each fill the engine of a silent sidecar by its last report,
// so that together they exceed twice its slots.
func TestSilentSidecarSharesEngine(t *testing.T) {
	for _, test := range []struct{ gateways, known, want int }{{26, 0, 1}, {14, 0, 1}, {8, 0, 3}, {8, 2, 3}, {2, 8, 3}} {
		f := engines(1)
		f.SetGateways(test.known)
		q := scarceQuery()
		r := report("a", 1, 0, 0)
		r.Gateways = test.gateways
		f.ApplyReport(r, 0, start)
		wishFor(f.ByID("a"), start)
		silent, sent := start.Add(200*time.Millisecond), 0
		for chosen(f, q, silent) == "a" {
			sent++
		}
		assert.Equal(t, sent, test.want, "%d gateways, %d known", test.gateways, test.known)
	}
}

// Guards against a granted slot that an on-time request cannot use because the estimate
// counts a queue, and against an engine that is granted to a request which cannot be in
// time there.
func TestGrantedSlotCountsAsFree(t *testing.T) {
	q := scarceQuery()
	q.SlotIntervalMS, q.MaxFirstByteMS = 120, 250
	for _, test := range []struct {
		prefill float64
		want    string
	}{{50, "a"}, {150, ""}} {
		f := engines(1)
		f.ApplyReport(report("a", 1, 12, 1), 0, start)
		q.PrefillMS = test.prefill
		wishFor(f.ByID("a"), start)
		f.ApplySlotGrant(slotgrant.Grant{Number: 1, Address: "a:1", Slots: 1}, start)
		assert.Equal(t, len(f.SlotTargets(q, noWishes, start)), len(test.want))
		assert.Equal(t, chosen(f, q, start), test.want)
	}
}

// A grant must replace only the question whether a slot is free.
func TestGrantKeepsOtherConditions(t *testing.T) {
	for name, change := range map[string]func(f *Fleet, q *Query){
		"excluded":           func(_ *Fleet, q *Query) { q.Exclude = map[string]bool{"a": true} },
		"isolated":           func(f *Fleet, q *Query) { q.Isolated, f.ByID("a").isolated = true, true },
		"connections":        func(f *Fleet, q *Query) { q.MaxConnections, f.ByID("a").inFlight = 1, 1 },
		"version":            func(_ *Fleet, q *Query) { q.MinVersion = 2 },
		"next version":       func(_ *Fleet, q *Query) { q.NextMinVersion = 2 },
		"evacuated":          func(f *Fleet, _ *Query) { f.SetEvacuated("z", true) },
		"draining":           func(f *Fleet, _ *Query) { f.ByID("a").Signals.SetListedDraining() },
		"late on a full one": func(_ *Fleet, q *Query) { q.MaxLoad = 0.8 * q.Slots },
	} {
		f := engines(1)
		q := scarceQuery()
		f.ApplyReport(report("a", 1, 12, 0), 0, start)
		wishFor(f.ByID("a"), start)
		f.ApplySlotGrant(slotgrant.Grant{Number: 1, Address: "a:1", Slots: 8}, start)
		change(f, &q)
		assert.Equal(t, chosen(f, q, start), "", name)
		assert.Equal(t, len(f.SlotTargets(q, noWishes, start)), 0, name)
	}
}

// Guards against waiting requests that all wish at the same engine, and against more
// wishes than two for a request.
func TestWishesGoToTheCheapestEngines(t *testing.T) {
	f := engines(4)
	q := scarceQuery()
	for _, id := range []string{"a", "b", "c", "d"} {
		f.ApplyReport(report(id, 1, 12, 0), 0, start)
	}
	f.ByID("d").failureRate = 0.5
	wished := map[*Endpoint]int{f.ByID("a"): 40}
	got := ids(f.SlotTargets(q, func(e *Endpoint) int { return wished[e] }, start))
	assert.Assert(t, len(got) == 2 && got[0] != got[1])
	for _, id := range got {
		assert.Assert(t, id == "b" || id == "c", id)
	}
}

// Load: a reserve keeps slots free for more urgent requests. Guards against a less urgent
// request that wishes for one of them, or that gets one by a grant.
func TestGrantLeavesReservedSlotsFree(t *testing.T) {
	const reserve = 2
	for _, test := range []struct {
		running int
		want    string
	}{{9, "a"}, {10, ""}, {11, ""}, {12, ""}} {
		f := engines(1)
		q := scarceQuery()
		q.MaxLoad = q.Slots - reserve
		r := report("a", 1, test.running, 0)
		r.Gateways, r.DemandShare, r.DemandAhead = 26, 1.0/26, 1
		f.ApplyReport(r, 0, start)
		wishFor(f.ByID("a"), start)
		f.ApplySlotGrant(slotgrant.Grant{Number: 1, Address: "a:1", Slots: 1}, start)
		assert.Equal(t, len(f.SlotTargets(q, noWishes, start)), len(test.want), "%d running", test.running)
		assert.Equal(t, chosen(f, q, start), test.want, "%d running", test.running)
		q.MaxLoad = q.Slots
		f.ByID("a").SlotGrants.ReturnUnused()
		f.ApplySlotGrant(slotgrant.Grant{Number: 2, Address: "a:1", Slots: 1}, start)
		assert.Equal(t, chosen(f, q, start), "a", "%d running, without a reserve", test.running)
	}
}

// Guards against gateways of little demand that each count as first at an idle engine: with
// the grants that the sidecar gives by the same reading, it would get more than twice its
// slots.
func TestIdleEngineGetsAtMostTwiceItsSlots(t *testing.T) {
	const slots = 3
	sent := 0
	for before, position := range []struct{ share, ahead float64 }{{0.05, 0}, {0.1, 0.2}, {0.2, 0.6}, {0.65, 1.4}} {
		f := engines(1)
		q := scarceQuery()
		q.Slots, q.MaxLoad = slots, slots
		r := report("a", 1, 0, 0)
		r.Gateways, r.DemandShare, r.DemandAhead, r.GatewaysAhead = 4, position.share, position.ahead, before
		f.ApplyReport(r, 0, start)
		for chosen(f, q, start) == "a" {
			sent++
		}
	}
	l := slotgrant.NewLedger(start)
	now := start.Add(time.Second)
	l.Observe(slotgrant.Observation{Pace: 1}, now, now)
	for n := range 4 {
		l.Request(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 1), slotgrant.Request{Number: 1, Slots: slots, Wishes: []slotgrant.Wish{{DueMS: 100}, {DueMS: 100}}}, now)
	}
	granted := 0
	for _, g := range l.Grants(now) {
		granted += g.Slots
	}
	assert.Assert(t, sent+granted <= 2*slots, "%d sent without a grant, %d granted", sent, granted)
}
