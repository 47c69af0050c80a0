// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"time"

	"github.com/mintlift/mintlift/slotgrant"
)

// slotTargets is the maximum number of engines at which a request wishes for a slot. A
// second one covers an engine that keeps its slots longer than expected. More would cost
// messages, and slots that are granted twice and returned.
const slotTargets = 2

// granted reports whether the attempt may use a slot that the engine's sidecar has granted.
func (e *Endpoint) granted(q *Query, now time.Time) bool {
	return q.SlotGrants && e.SlotGrants.Granted(now)
}

// needsGrant reports whether the attempt needs a grant of the engine's sidecar. It does not
// if the engine is clearly free, or if its sidecar is silent, so that the engine is used by
// the last report. An engine without a report has just been listed; each gateway sends it one
// attempt without a grant, because none knows yet what the others send, and its sidecar may
// not run.
func (e *Endpoint) needsGrant(q *Query, now time.Time) bool {
	if !q.SlotGrants || e.SlotGrants.ByReports(now) {
		return false
	}
	if e.reportAt.IsZero() {
		return e.inFlight > 0
	}
	return e.fresh(now) && e.loadInTurn()+e.uncountedAhead() >= q.Slots-reservedSlots
}

// uncountedAhead returns how many more requests than loadInTurn counts the gateways that come
// first send at least: each may send one without a grant. Otherwise several gateways of
// little demand each count as first at an idle engine, and with the slots that its sidecar
// grants by the same reading it gets more than twice its slots.
func (e *Endpoint) uncountedAhead() float64 {
	return max(0, float64(e.report.GatewaysAhead)-e.report.DemandAhead)
}

// silentFull reports whether the engine of a silent sidecar has its share of this gateway's
// attempts: twice the slots divided by the gateways, and at least one. The last report does
// not show what the other gateways send meanwhile, and each could fill the engine alone.
// Without a report, the share is one attempt. The last report may count too few gateways, such
// as while messages to the sidecar were lost, so all that this gateway knows of count if they
// all watch the engine.
func (f *Fleet) silentFull(e *Endpoint, q *Query, now time.Time) bool {
	if !q.SlotGrants || e.fresh(now) && !e.SlotGrants.ByReports(now) {
		return false
	}
	if e.reportAt.IsZero() {
		return e.inFlight > 0
	}
	gateways := e.report.Gateways
	if len(f.byService[e.Service]) <= watchTarget {
		gateways = max(gateways, f.signals.Gateways())
	}
	return e.inFlight >= max(1, int(2*q.Slots)/max(1, gateways))
}

// grantedFirstByteMS is like firstByteMS, for an engine of which a slot is granted: the
// attempt waits for no other one's end, and no other gateway has been granted that slot.
func (e *Endpoint) grantedFirstByteMS(q *Query, load float64, now time.Time) float64 {
	return (halfPassMS + loadCost*min(load, q.Slots) + e.unansweredMS + q.PrefillMS) * e.slowdown(now)
}

// SlotTargets returns the engines at which the gateway should wish for a slot for the
// attempt: the cheapest that would have room by a grant, at most slotTargets. If one of
// them lacks a permit, its demand for permits is incremented instead. wished returns the
// number of other wishes of this gateway at an engine, which count as its load.
func (f *Fleet) SlotTargets(q Query, wished func(e *Endpoint) int, now time.Time) []*Endpoint {
	all := f.byService[q.Service]
	out, usable := f.cheapestTargets(f.watched(q.Service), &q, wished, now)
	if usable < q.minWatched() {
		out, _ = f.cheapestTargets(all, &q, wished, now)
	}
	targets := make([]*Endpoint, 0, slotTargets)
	for _, e := range out {
		switch {
		case e == nil:
		case e.Signals.AvailableAt(now).After(now):
			e.Signals.AddDemand(now)
		default:
			targets = append(targets, e)
		}
	}
	return targets
}

// cheapestTargets returns the candidates of least cost that need a grant and would have
// room by one; missing ones are nil. usable is as for free.
func (f *Fleet) cheapestTargets(candidates []*Endpoint, q *Query, wished func(e *Endpoint) int, now time.Time) (out [slotTargets]*Endpoint, usable int) {
	var costs [slotTargets]float64
	for _, e := range candidates {
		if !e.usable(q, now) || e.unavailable(now) {
			continue
		}
		usable++
		if !e.needsGrant(q, now) {
			continue
		}
		load, room := f.roomFor(e, q, true, now)
		if !room {
			continue
		}
		cost := f.cost(e, q, load+float64(wished(e)), now)
		for i := range out {
			if out[i] == nil || cost < costs[i] {
				copy(out[i+1:], out[i:])
				copy(costs[i+1:], costs[i:])
				out[i], costs[i] = e, cost
				break
			}
		}
	}
	return out, usable
}

// ApplySlotGrant records the slots that a sidecar grants, and returns its endpoint, or nil
// if that is not on the list.
func (f *Fleet) ApplySlotGrant(g slotgrant.Grant, now time.Time) *Endpoint {
	e := f.byAddress[g.Address]
	if e != nil {
		e.SlotGrants.Apply(g, now)
	}
	return e
}
