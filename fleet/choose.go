// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Terms of an endpoint's cost, as an equivalent delay in milliseconds.
const (
	// zoneCost is added in another availability zone, for latency and for the
	// price of traffic between zones.
	zoneCost = 80.0
	// failureCost is added for a failure rate of 1.
	failureCost = 800.0
	// loadCost is added per request in progress at a model engine.
	loadCost = 8.0
	// plainLoadCost is added per request in progress at a plain endpoint.
	plainLoadCost = 20.0
	// jitterCost bounds a random term, so that gateways with the same view of
	// the endpoints don't all choose the same one.
	jitterCost = 15.0
)

// Query describes the attempt that an endpoint is chosen for.
type Query struct {
	Service string
	// Model is empty for plain services.
	Model string
	// MinVersion is the lowest version of the model that may serve the attempt.
	MinVersion int
	// MinVersionBeforeUpdate is the lowest version that an engine with a
	// scheduled update may serve; it is lower than MinVersion near a version's
	// deadline. An engine below MinVersion is only chosen if it can begin the
	// request at once.
	MinVersionBeforeUpdate int
	// NextMinVersion is the value that MinVersion will have shortly. An engine
	// below it is only chosen if it can begin the request at once.
	NextMinVersion int
	// MaxLoad is the load at which an endpoint takes no more; 0 is no bound.
	MaxLoad float64
	// PrefillMS is the time an engine needs to read the prompt, and
	// MeanPrefillMS that of a mean request, in milliseconds; both are 0 for plain
	// services.
	PrefillMS, MeanPrefillMS float64
	// Slots is how many requests an engine runs concurrently, and SlotIntervalMS
	// how often a full engine frees a slot, in milliseconds.
	Slots, SlotIntervalMS float64
	// MaxFirstByteMS bounds the estimated time to the first bytes, in
	// milliseconds; 0 is no bound.
	MaxFirstByteMS float64
	// MaxBacklogMS bounds the prefill time of requests that are ahead of this
	// one at the engine, in milliseconds; 0 is no bound.
	MaxBacklogMS float64
	// MaxConnections bounds this gateway's attempts in progress at an endpoint,
	// each of which uses a connection; 0 is no bound.
	MaxConnections int
	// Exclude holds the ids of endpoints that have been tried.
	Exclude map[string]bool
	// Isolated excludes endpoints that already have an isolated attempt of this
	// gateway in progress, so that a crash can be attributed to one of them.
	Isolated bool
}

// usable reports whether the endpoint may get the attempt, whatever its load.
func (e *Endpoint) usable(q *Query, now time.Time) bool {
	return !e.Signals.Draining() && e.fits(q, now)
}

// fits is like usable, but also accepts draining endpoints.
func (e *Endpoint) fits(q *Query, now time.Time) bool {
	if e.misdirected || q.Exclude[e.ID] || q.Isolated && e.isolated {
		return false
	}
	if q.Model == "" {
		return true
	}
	version := e.Holds(q.Model, now)
	if version < q.NextMinVersion && !e.startsAtOnce(q, now) {
		return false
	}
	return version > 0 && e.MayServe(version, q.MinVersion, q.MinVersionBeforeUpdate, now) && !(e.fresh(now) && e.report.Busy)
}

// MayServe reports whether the endpoint, which holds version, may begin
// requests on it. minVersion and beforeUpdate are the MinVersion and
// MinVersionBeforeUpdate of a Query. A scheduled update counts only while the
// report of it is younger than recentReport: a sidecar that has stopped may not
// carry it out.
func (e *Endpoint) MayServe(version, minVersion, beforeUpdate int, now time.Time) bool {
	if version >= minVersion {
		return true
	}
	return version >= beforeUpdate && e.report.UpdateScheduled && !e.report.Busy && now.Sub(e.reportAt) < recentReport
}

// startsAtOnce reports whether an engine is expected to begin a new request
// without queuing it.
func (e *Endpoint) startsAtOnce(q *Query, now time.Time) bool {
	switch {
	case !e.fresh(now), now.Sub(e.reportAt) >= recentReport, e.brokenInRow > 0:
		return false
	case e.Delay(now) >= delayHigh, e.firstByteLag >= delayHigh:
		return false
	default:
		return e.report.Queued == 0 && e.unanswered == 0 && e.Load(now) < q.Slots-reservedSlots
	}
}

// reservedSlots is how many slots startsAtOnce leaves free for requests that
// other gateways may be sending at the same time.
const reservedSlots = 2

// unavailable reports whether the endpoint is skipped for now, because of its
// own backoff signal or because it is ejected.
func (e *Endpoint) unavailable(now time.Time) bool { return e.Signals.Closed(now) || e.ejected(now) }

// ejected reports whether the endpoint is skipped after connection failures:
// until ejectedUntil, and then while a probe request is in progress.
func (e *Endpoint) ejected(now time.Time) bool {
	return e.brokenInRow > 0 && (now.Before(e.ejectedUntil) || e.probing)
}

// Choose returns the endpoint for an attempt and counts the attempt there,
// or returns nil if none has room. The caller must call End.
func (f *Fleet) Choose(q Query, now time.Time) *Endpoint {
	return f.ChooseAmong(f.Free(q, now), q, now)
}

// Free returns the endpoints that have room for the attempt described by q, for
// ChooseAmong. It falls back to endpoints that are not watched if no watched
// one is usable. It counts nothing.
func (f *Fleet) Free(q Query, now time.Time) []*Endpoint {
	all := f.byService[q.Service]
	candidates := all
	if q.Model != "" {
		candidates = f.watched(q.Service)
	}
	free, anyUsable := f.free(candidates, &q, now)
	if !anyUsable && len(candidates) < len(all) {
		free, _ = f.free(all, &q, now)
	}
	return free
}

// ChooseAmong is Choose restricted to endpoints that Free returned for a query
// with the same or weaker requirements.
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

// free returns the candidates with room. anyUsable reports whether any candidate
// could take the attempt, whatever its load.
func (f *Fleet) free(candidates []*Endpoint, q *Query, now time.Time) (free []*Endpoint, anyUsable bool) {
	for _, e := range candidates {
		if !e.usable(q, now) || e.unavailable(now) {
			continue
		}
		anyUsable = true
		if _, room := f.room(e, q, now); room {
			free = append(free, e)
		}
	}
	return free, anyUsable
}

// cheapest returns the endpoint with the least cost of those that have room, or
// nil. If an endpoint for which the gateway has no permit would cost less, it
// records that a permit is wanted there.
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
		unpermitted.Signals.AddDemand()
	}
	return best
}

// room returns an endpoint's load, and whether it has room for the attempt. The
// load is 0 if the bound on connections is reached.
func (f *Fleet) room(e *Endpoint, q *Query, now time.Time) (load float64, ok bool) {
	if q.MaxConnections > 0 && e.inFlight >= q.MaxConnections {
		return 0, false
	}
	load = e.Load(now)
	switch {
	case q.MaxLoad > 0 && load >= f.maxLoad(e, q.MaxLoad, now):
		return load, false
	case q.MaxBacklogMS > 0 && e.Backlog(q.MeanPrefillMS, now) > q.MaxBacklogMS:
		return load, false
	default:
		return load, q.MaxFirstByteMS <= 0 || e.firstByteMS(q, load, now) <= q.MaxFirstByteMS
	}
}

// maxLoad returns the endpoint's bound on the load: maxLoad divided by the
// endpoint's slowdown, but at least 1.
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

// halfPassMS is the mean wait of a new request for the engine's current pass to
// end, in milliseconds.
const halfPassMS = 60.0

// firstByteMS estimates the time until the first bytes of a new request's
// response, in milliseconds.
func (e *Endpoint) firstByteMS(q *Query, load float64, now time.Time) float64 {
	estimate := halfPassMS + loadCost*load + e.Backlog(q.MeanPrefillMS, now) + q.PrefillMS
	if load >= q.Slots {
		estimate += q.SlotIntervalMS * (load - q.Slots + 1)
	}
	return estimate * e.slowdown(now)
}

// MinFirstByteMS returns the time until the first bytes at an idle engine, in
// milliseconds.
func (q *Query) MinFirstByteMS() float64 { return halfPassMS + q.PrefillMS }

// Backlog estimates the prefill time of the requests that the engine has been
// sent and has not begun to respond, in milliseconds. meanPrefillMS is the
// prefill time assumed for each request of other gateways.
func (e *Endpoint) Backlog(meanPrefillMS float64, now time.Time) float64 {
	others := e.othersUnanswered * meanPrefillMS
	if e.fresh(now) {
		others -= float64(now.Sub(e.reportAt).Milliseconds())
		others = math.Max(0, others) + e.othersSinceReport(now)*meanPrefillMS
	}
	return e.unansweredMS + math.Max(0, others)
}

// Usable returns the number of endpoints that could take a request whatever
// their load. An endpoint in backoff counts if its backoff ends before by.
func (f *Fleet) Usable(q Query, by, now time.Time) int {
	count := 0
	for _, e := range f.byService[q.Service] {
		if e.usable(&q, now) && !e.ejected(now) && !e.Signals.Closed(by) {
			count++
		}
	}
	return count
}
