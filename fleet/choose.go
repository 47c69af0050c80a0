// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Costs of choosing an endpoint, in milliseconds until the caller hears.
const (
	// zoneCost stands for another availability zone: its delay, and the
	// price of the bytes.
	zoneCost = 80.0
	// failureCost is that of an endpoint whose attempts all fail.
	failureCost = 800.0
	// loadCost is that of one more request beside this one.
	loadCost = 8.0
	// plainCost is the same at an endpoint that is no engine.
	plainCost = 20.0
	// noise keeps gateways that know the same from choosing the same.
	noise = 15.0
)

// Query describes the attempt that an endpoint is chosen for.
type Query struct {
	Service string
	// Model is empty for plain services.
	Model string
	// MinVersion is the lowest version that may answer.
	MinVersion int
	// PromisedVersion is the same, and lower near a deadline, for engines that
	// promise to be brought to a newer version in time; one below MinVersion
	// gets only what it can begin at once.
	PromisedVersion int
	// SoonVersion is the lowest version that may answer a little later; an
	// engine below it gets only what it can begin at once.
	SoonVersion int
	// Limit is the load up to which an endpoint takes more, or 0 for none.
	Limit float64
	// Work is how long an engine reads the request, and UsualWork a usual
	// one, in milliseconds; both are 0 for plain services.
	Work, UsualWork float64
	// Slots is how many requests an engine works on at once, and SlotEvery
	// how often a full engine has a slot free, in milliseconds.
	Slots, SlotEvery float64
	// Within is the time in which the first bytes should come, in
	// milliseconds; an engine that cannot keep it gets nothing. 0 is no
	// bound.
	Within float64
	// Backlog is how long the engine may have to read what it has before this
	// request, in milliseconds; 0 is no bound.
	Backlog float64
	// Connections bounds this gateway's attempts in progress at an endpoint,
	// each of which has a connection; 0 is no bound.
	Connections int
	// Exclude are the ids of endpoints that have been tried.
	Exclude map[string]bool
	// Alone asks for an endpoint that has no other attempt of this gateway that
	// was chosen so: under one crash, only one of those can be to blame.
	Alone bool
}

// usable reports whether the endpoint may get the attempt at all.
func (e *Endpoint) usable(q *Query, now time.Time) bool {
	return !e.Signals.Draining() && e.fits(q, now)
}

// fits is usable, whether the endpoint leaves or not.
func (e *Endpoint) fits(q *Query, now time.Time) bool {
	if e.misdirected || q.Exclude[e.ID] || q.Alone && e.alone {
		return false
	}
	if q.Model == "" {
		return true
	}
	holds := e.Holds(q.Model, now)
	if holds < q.SoonVersion && !e.atOnce(q, now) {
		return false
	}
	return holds > 0 && e.MayServe(holds, q.MinVersion, q.PromisedVersion, now) && !(e.fresh(now) && e.report.Busy)
}

// MayServe reports whether the endpoint, which holds a version, may begin
// requests on it; lowest and promised are as MinVersion and PromisedVersion of a
// Query. A promise counts for justNow: a sidecar that has gone may not keep it.
func (e *Endpoint) MayServe(holds, lowest, promised int, now time.Time) bool {
	if holds >= lowest {
		return true
	}
	return holds >= promised && e.report.Promised && !e.report.Busy && now.Sub(e.reportAt) < justNow
}

// atOnce reports whether an engine begins a new request without a wait to
// speak of.
func (e *Endpoint) atOnce(q *Query, now time.Time) bool {
	switch {
	case !e.fresh(now), now.Sub(e.reportAt) >= justNow, e.strikes > 0:
		return false
	case e.Delay(now) >= delayHigh, e.lag >= delayHigh:
		return false
	default:
		return e.report.Queued == 0 && e.unreadCount == 0 && e.Load(now) < q.Slots-atOnceSlots
	}
}

// atOnceSlots stay free at an engine that begins a request at once, for
// requests that other gateways send meanwhile.
const atOnceSlots = 2

// open reports whether the endpoint is being left alone.
func (e *Endpoint) open(now time.Time) bool { return e.Signals.Closed(now) || e.struck(now) }

// struck reports whether that is because it failed.
func (e *Endpoint) struck(now time.Time) bool {
	return e.strikes > 0 && (now.Before(e.openTill) || e.probing)
}

// Choose returns the endpoint for an attempt and counts the attempt there,
// or nil if none has room. End must follow.
func (f *Fleet) Choose(q Query, now time.Time) *Endpoint {
	return f.ChooseAmong(f.Free(q, now), q, now)
}

// Free returns the endpoints that have room for the attempt that q describes,
// for ChooseAmong; it counts nothing.
func (f *Fleet) Free(q Query, now time.Time) []*Endpoint {
	all := f.byService[q.Service]
	candidates := all
	if q.Model != "" {
		candidates = f.watched(q.Service)
	}
	free, able := f.free(candidates, &q, now)
	if !able && len(candidates) < len(all) {
		free, _ = f.free(all, &q, now)
	}
	return free
}

// ChooseAmong is Choose for endpoints that Free has found for an attempt that
// asks no more.
func (f *Fleet) ChooseAmong(free []*Endpoint, q Query, now time.Time) *Endpoint {
	best := f.cheapest(free, &q, now)
	best.count(&q, now)
	return best
}

// count notes that an attempt is sent to the endpoint, if there is one.
func (e *Endpoint) count(q *Query, now time.Time) {
	if e == nil {
		return
	}
	e.Signals.Take(now)
	e.own++
	e.unread += q.Work
	e.unreadCount++
	e.sentCount++
	e.sentAt = append(e.sentAt, now)
	if e.strikes > 0 {
		e.probing = true
	}
	e.alone = e.alone || q.Alone
}

// free returns the candidates with room; able says that there is one that could
// take the attempt, whatever its load.
func (f *Fleet) free(candidates []*Endpoint, q *Query, now time.Time) (free []*Endpoint, able bool) {
	for _, e := range candidates {
		if !e.usable(q, now) || e.open(now) {
			continue
		}
		able = true
		if _, room := f.room(e, q, now); room {
			free = append(free, e)
		}
	}
	return free, able
}

// cheapest returns the one that costs least of the endpoints that have room, or
// nil. It notes where a permit is missing that would have cost less.
func (f *Fleet) cheapest(endpoints []*Endpoint, q *Query, now time.Time) (best *Endpoint) {
	free, _ := f.free(endpoints, q, now)
	bestCost, missingCost := math.Inf(1), math.Inf(1)
	var missing *Endpoint
	for _, e := range free {
		cost := f.cost(e, q, e.Load(now), now)
		open := !e.Signals.From(now).After(now)
		switch {
		case open && cost < bestCost:
			best, bestCost = e, cost
		case !open && cost < missingCost:
			missing, missingCost = e, cost
		}
	}
	if missing != nil && missingCost < bestCost {
		missing.Signals.Want()
	}
	return best
}

// room returns an endpoint's load, and whether it may take the attempt on
// top.
func (f *Fleet) room(e *Endpoint, q *Query, now time.Time) (load float64, ok bool) {
	if q.Connections > 0 && e.own >= q.Connections {
		return 0, false
	}
	load = e.Load(now)
	switch {
	case q.Limit > 0 && load >= f.limit(e, q.Limit, now):
		return load, false
	case q.Backlog > 0 && e.Backlog(q.UsualWork, now) > q.Backlog:
		return load, false
	default:
		return load, q.Within <= 0 || e.firstBytes(q, load, now) <= q.Within
	}
}

// limit lowers a slow endpoint's limit by its pace.
func (f *Fleet) limit(e *Endpoint, limit float64, now time.Time) float64 {
	return math.Max(1, limit/e.pace(now))
}

func (f *Fleet) cost(e *Endpoint, q *Query, load float64, now time.Time) float64 {
	cost := failureCost*e.failures + noise*rand.Float64()
	if e.Zone != f.place.Zone {
		cost += zoneCost
	}
	if q.Model == "" {
		return cost + plainCost*load
	}
	if delay := e.Delay(now); delay > delayOften {
		cost += float64(delay.Milliseconds())
	}
	if silent := e.silence(now); silent > 0 {
		cost += float64(silent.Milliseconds())
	}
	if e.lag > lagOften {
		cost += float64(min(e.lag, delayMax).Milliseconds())
	}
	return cost + e.firstBytes(q, load, now)
}

// halfPass is what a new request waits for the pass under way, in
// milliseconds.
const halfPass = 60.0

// firstBytes estimates the time until the first bytes of a new request, in
// milliseconds.
func (e *Endpoint) firstBytes(q *Query, load float64, now time.Time) float64 {
	busy := halfPass + loadCost*load + e.Backlog(q.UsualWork, now) + q.Work
	if load >= q.Slots {
		busy += q.SlotEvery * (load - q.Slots + 1)
	}
	return busy * e.pace(now)
}

// AtBest is the time until the first bytes at an engine that has nothing else
// to do, in milliseconds.
func (q *Query) AtBest() float64 { return halfPass + q.Work }

// Backlog estimates how long the engine reads what it has been sent and has
// not begun to answer, in milliseconds.
func (e *Endpoint) Backlog(usual float64, now time.Time) float64 {
	others := e.othersUnread * usual
	if e.fresh(now) {
		others -= float64(now.Sub(e.reportAt).Milliseconds())
		others = math.Max(0, others) + e.ahead(now)*usual
	}
	return e.unread + math.Max(0, others)
}

// Usable counts the endpoints that could take a request, whatever their
// load; one that rests counts if it does so no longer than a time.
func (f *Fleet) Usable(q Query, by, now time.Time) int {
	count := 0
	for _, e := range f.byService[q.Service] {
		if e.usable(&q, now) && !e.struck(now) && !e.Signals.Closed(by) {
			count++
		}
	}
	return count
}
