// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mintlift/mintlift/residency"
)

// Weights of the terms of an endpoint's cost. The cost is an equivalent delay in
// milliseconds; Choose returns the endpoint with the lowest cost.
const (
	// zoneCost is added for an endpoint in another availability zone than the
	// gateway's. It covers the latency and the price of traffic between zones.
	zoneCost = 80.0
	// failureCost is multiplied by the endpoint's failure rate, which is from 0 to 1.
	failureCost = 800.0
	// loadCost is added per request in progress at a model engine.
	loadCost = 8.0
	// plainLoadCost is added per request in progress at a plain endpoint.
	plainLoadCost = 20.0
	// jitterCost is the upper bound of a random term. It keeps gateways with the
	// same view of the endpoints from all choosing the same one.
	jitterCost = 15.0
)

// Query describes the attempt that an endpoint is chosen for. An attempt is one
// try to get a request served by one endpoint.
type Query struct {
	Service string
	// Model is empty for plain services.
	Model string
	// MinVersion is the lowest version of the model that may serve the attempt.
	MinVersion int
	// MinVersionBeforeUpdate replaces MinVersion for an engine whose sidecar has
	// scheduled its update. It is lower than MinVersion shortly before the time by
	// which all engines must serve a new version.
	MinVersionBeforeUpdate int
	// NextMinVersion is the value that MinVersion will have shortly. An engine with
	// a lower version is chosen only if it can begin the request at once.
	NextMinVersion int
	// ReportedMinVersion is the value that MinVersion will have later. An engine with a
	// lower version is chosen only if its last report is recent; it may queue the request.
	ReportedMinVersion int
	// MaxLoad is the number of requests at which an endpoint counts as full; 0 is
	// no bound.
	MaxLoad float64
	// PrefillMS is how long an engine takes to read the prompt of the request.
	// MeanPrefillMS is how long it takes for an average prompt. Both are in
	// milliseconds, and 0 for plain services.
	PrefillMS, MeanPrefillMS float64
	// Slots is how many requests an engine runs concurrently. SlotIntervalMS is the
	// mean time between two requests that end on a full engine, in milliseconds.
	Slots, SlotIntervalMS float64
	// MaxFirstByteMS bounds the estimated time to the first bytes, in
	// milliseconds; 0 is no bound.
	MaxFirstByteMS float64
	// MaxBacklogMS bounds the total prefill time of the requests that are queued at
	// the engine before this one, in milliseconds; 0 is no bound.
	MaxBacklogMS float64
	// MaxConnections bounds this gateway's attempts in progress at an endpoint,
	// each of which uses a connection; 0 is no bound.
	MaxConnections int
	// Regions are the regions whose endpoints may get the attempt.
	Regions residency.Regions
	// Exclude holds the ids of endpoints that the request has been sent to already.
	Exclude map[string]bool
	// Isolated marks an attempt with a request that may crash its endpoint. An
	// endpoint gets at most one isolated attempt of this gateway at a time, so that
	// a crash can be attributed to that attempt.
	Isolated bool
	// SlotGrants is set if an engine that is not clearly free gets the attempt only by a
	// grant of its sidecar; see Endpoint.SlotGrants.
	SlotGrants bool
}

// usable reports whether the endpoint may get the attempt, regardless of its load.
func (e *Endpoint) usable(q *Query, now time.Time) bool {
	return !e.Signals.Draining() && e.usableIfNotDraining(q, now)
}

// MayReceive reports whether an endpoint may get new requests that may be served in the
// given regions, as far as its place is concerned.
func (e *Endpoint) MayReceive(regions residency.Regions) bool {
	return !e.evacuated && regions.Allows(e.region)
}

// usableIfNotDraining is like usable, but also accepts draining endpoints.
func (e *Endpoint) usableIfNotDraining(q *Query, now time.Time) bool {
	if !e.MayReceive(q.Regions) || e.misdirected || q.Exclude[e.ID] || q.Isolated && e.isolated {
		return false
	}
	if q.Model == "" {
		return true
	}
	version := e.HeldVersion(q.Model, now)
	if version < q.NextMinVersion && !e.startsAtOnce(q, now) || version < q.ReportedMinVersion && !e.reportedWithin(recentReport, now) {
		return false
	}
	return version > 0 && e.MayServe(version, q.MinVersion, q.MinVersionBeforeUpdate, now) && !(e.fresh(now) && e.report.Busy)
}

// MayServe reports whether the endpoint may begin requests on version, the
// version that it holds. minVersion and beforeUpdate are the MinVersion and
// MinVersionBeforeUpdate of a Query. A report of a scheduled update is ignored
// once it is older than recentReport, because a sidecar that has stopped does not
// carry out the update.
func (e *Endpoint) MayServe(version, minVersion, beforeUpdate int, now time.Time) bool {
	if version >= minVersion {
		return true
	}
	return version >= beforeUpdate && e.report.UpdateScheduled && !e.report.Busy && now.Sub(e.reportAt) < recentReport
}

// startsAtOnce reports whether an engine is expected to begin a new request
// without queuing it, even if the gateways that come first send theirs.
func (e *Endpoint) startsAtOnce(q *Query, now time.Time) bool {
	switch {
	case !e.fresh(now), now.Sub(e.reportAt) >= recentReport, e.brokenInRow > 0:
		return false
	case e.Delay(now) >= delayHigh, e.firstByteLag >= delayHigh:
		return false
	default:
		return e.report.Queued == 0 && e.unanswered == 0 && e.loadInTurn() < q.Slots-reservedSlots
	}
}

// reservedSlots is how many of an engine's slots, its concurrent requests,
// startsAtOnce leaves for requests that other gateways may be sending.
const reservedSlots = 2

// unavailable reports whether the endpoint is skipped for now, because of its
// own backoff signal or because it is ejected.
func (e *Endpoint) unavailable(now time.Time) bool { return e.Signals.Closed(now) || e.ejected(now) }

// ejected reports whether the endpoint is skipped after connection failures. It is
// skipped until ejectedUntil. Then one request probes it, and it is skipped for
// all others until that request ends.
func (e *Endpoint) ejected(now time.Time) bool {
	return e.brokenInRow > 0 && (now.Before(e.ejectedUntil) || e.probing)
}

// Choose returns the endpoint for an attempt, or nil if no endpoint has room. It
// counts the attempt as in progress at the endpoint until the caller calls End.
func (f *Fleet) Choose(q Query, now time.Time) *Endpoint {
	return f.ChooseAmong(f.Free(q, now), q, now)
}

// Free returns the endpoints that have room for the attempt described by q. The
// result is an argument for ChooseAmong. For an engine service, Free considers
// the endpoints that the gateway watches, and the others only if too few watched ones
// are usable. It does not count an attempt.
func (f *Fleet) Free(q Query, now time.Time) []*Endpoint {
	all := f.byService[q.Service]
	candidates := all
	if q.Model != "" {
		candidates = f.watched(q.Service)
	}
	free, usable := f.free(candidates, &q, now)
	if usable < q.minWatched() && len(candidates) < len(all) {
		free, _ = f.free(all, &q, now)
	}
	return free
}

// minWatched returns the number of usable watched endpoints below which the others are
// considered as well. A gateway watches few endpoints of each other region, so an attempt
// that must go there would otherwise find only these.
func (q *Query) minWatched() int {
	if q.Regions.Restricted() {
		return watchRemoteMin
	}
	return 1
}

// ChooseAmong is like Choose, but considers only the given endpoints. Free must
// have returned them for a query with the same or weaker requirements.
func (f *Fleet) ChooseAmong(free []*Endpoint, q Query, now time.Time) *Endpoint {
	best := f.cheapest(free, &q, now)
	best.addAttempt(&q, now)
	return best
}

// addAttempt counts an attempt that is sent to the endpoint; e may be nil.
func (e *Endpoint) addAttempt(q *Query, now time.Time) {
	if e == nil {
		return
	}
	e.Signals.Take(now)
	e.inFlight++
	e.unansweredMS += q.PrefillMS
	e.unanswered++
	e.sentSinceReport++
	e.recentSends = append(e.recentSends, now)
	if e.brokenInRow > 0 {
		e.probing = true
	}
	e.isolated = e.isolated || q.Isolated
}

// free returns the candidates that have room for the attempt. usable is the number of
// candidates that could take the attempt if their load were ignored.
func (f *Fleet) free(candidates []*Endpoint, q *Query, now time.Time) (free []*Endpoint, usable int) {
	for _, e := range candidates {
		if !e.usable(q, now) || e.unavailable(now) {
			continue
		}
		usable++
		if _, room := f.room(e, q, now); room {
			free = append(free, e)
		}
	}
	return free, usable
}

// cheapest returns the endpoint with the least cost among those that have room and
// for which the gateway has a permit, or nil. A permit allows one request to an
// endpoint with a rate limit. If an endpoint without a permit would cost less, its
// demand for permits is incremented.
func (f *Fleet) cheapest(endpoints []*Endpoint, q *Query, now time.Time) (best *Endpoint) {
	free, _ := f.free(endpoints, q, now)
	bestCost, unpermittedCost := math.Inf(1), math.Inf(1)
	var unpermitted *Endpoint
	for _, e := range free {
		cost := f.cost(e, q, e.Load(now), now)
		permitted := !e.Signals.AvailableAt(now).After(now)
		switch {
		case permitted && cost < bestCost:
			best, bestCost = e, cost
		case !permitted && cost < unpermittedCost:
			unpermitted, unpermittedCost = e, cost
		}
	}
	if unpermitted != nil && unpermittedCost < bestCost {
		unpermitted.Signals.AddDemand(now)
	}
	return best
}

// room returns an endpoint's load, and whether it has room for the attempt. The
// load is 0 if the bound on connections is reached.
func (f *Fleet) room(e *Endpoint, q *Query, now time.Time) (load float64, ok bool) {
	granted := e.granted(q, now)
	if !granted && (e.needsGrant(q, now) || f.silentFull(e, q, now)) {
		return e.Load(now), false
	}
	return f.roomFor(e, q, granted, now)
}

// roomFor is like room, for an engine of which a slot is granted or that needs no grant.
func (f *Fleet) roomFor(e *Endpoint, q *Query, granted bool, now time.Time) (load float64, ok bool) {
	if q.MaxConnections > 0 && e.inFlight >= q.MaxConnections {
		return 0, false
	}
	load = e.Load(now)
	switch {
	case q.MaxLoad > 0 && load >= f.maxLoad(e, q.MaxLoad, now) && !(granted && q.MaxLoad >= q.Slots):
		return load, false
	case q.MaxBacklogMS > 0 && e.Backlog(q.MeanPrefillMS, now) > q.MaxBacklogMS:
		return load, false
	case granted:
		return load, q.MaxFirstByteMS <= 0 || e.grantedFirstByteMS(q, load, now) <= q.MaxFirstByteMS
	default:
		return load, q.MaxFirstByteMS <= 0 || e.firstByteMS(q, load, now) <= q.MaxFirstByteMS
	}
}

// maxLoad returns the load at which the endpoint counts as full: the given maxLoad
// divided by the endpoint's slowdown, but at least 1.
func (f *Fleet) maxLoad(e *Endpoint, maxLoad float64, now time.Time) float64 {
	return math.Max(1, maxLoad/e.slowdown(now))
}

// cost returns the cost of sending the attempt to the endpoint, as an
// equivalent delay in milliseconds.
func (f *Fleet) cost(e *Endpoint, q *Query, load float64, now time.Time) float64 {
	cost := failureCost*e.failureRate + jitterCost*rand.Float64()
	if e.Zone != f.place.Zone {
		cost += zoneCost
	}
	if q.Model == "" {
		return cost + plainLoadCost*load
	}
	if delay := e.Delay(now); delay > delayNormal {
		cost += float64(delay.Milliseconds())
	}
	if overdue := e.overdueCost(now); overdue > 0 {
		cost += float64(overdue.Milliseconds())
	}
	if e.firstByteLag > lagNormal {
		cost += float64(min(e.firstByteLag, delayMax).Milliseconds())
	}
	return cost + e.firstByteMS(q, load, now)
}

// halfPassMS is the mean delay, in milliseconds, until an engine starts its next pass
// over the running requests. A new request waits for that.
const halfPassMS = 60.0

// firstByteMS estimates the time until the first bytes of a new request's
// response, in milliseconds.
func (e *Endpoint) firstByteMS(q *Query, load float64, now time.Time) float64 {
	if e.granted(q, now) {
		return e.grantedFirstByteMS(q, load, now)
	}
	estimate := halfPassMS + loadCost*load + e.Backlog(q.MeanPrefillMS, now) + q.PrefillMS
	if load >= q.Slots {
		estimate += q.SlotIntervalMS * (load - q.Slots + 1)
	}
	return estimate * e.slowdown(now)
}

// MinFirstByteMS returns the estimated time until an idle engine sends the first
// bytes of its response, in milliseconds.
func (q *Query) MinFirstByteMS() float64 { return halfPassMS + q.PrefillMS }

// Backlog estimates the total prefill time, in milliseconds, of the requests that
// the engine has received but not begun to respond to. meanPrefillMS is the
// prefill time assumed for each request of other gateways.
func (e *Endpoint) Backlog(meanPrefillMS float64, now time.Time) float64 {
	others := e.othersUnanswered * meanPrefillMS
	if e.fresh(now) {
		others -= float64(now.Sub(e.reportAt).Milliseconds())
		others = math.Max(0, others) + e.othersSinceReport(now)*meanPrefillMS
	}
	return e.unansweredMS + math.Max(0, others)
}

// Usable reports whether an endpoint could take a request, regardless of its load. An
// endpoint that has requested a backoff counts if the backoff ends by the given time.
func (f *Fleet) Usable(q Query, by, now time.Time) bool {
	return slices.ContainsFunc(f.byService[q.Service], func(e *Endpoint) bool {
		return e.usable(&q, now) && !e.ejected(now) && !e.Signals.Closed(by)
	})
}

// NoPlace reports whether none of a service's endpoints may receive requests that may be
// served in the given regions, because all are elsewhere or in evacuated zones. It is false
// for a service without endpoints.
func (f *Fleet) NoPlace(service string, regions residency.Regions) bool {
	if len(f.byService[service]) == 0 {
		return false
	}
	open, ok := f.openRegions[service]
	if !ok {
		for _, e := range f.byService[service] {
			if !e.evacuated && !slices.Contains(open, e.region) {
				open = append(open, e.region)
			}
		}
		f.openRegions[service] = open
	}
	return !regions.AllowsAny(open)
}
