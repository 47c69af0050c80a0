// SPDX-License-Identifier: Apache-2.0

// Package fleet is what a gateway believes of the endpoints: the list of
// them, what they said of their load, and what their answers showed. It
// chooses the endpoint of an attempt.
//
// A Fleet does no I/O, takes time as a value, and is not safe for
// concurrent use; package ingress holds it under one lock.
package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Record is an endpoint as the platform's list tells it.
type Record struct {
	ID       string
	Service  string
	Address  string // IP:PORT
	Zone     string
	Slots    int
	Draining bool
	// Models are the versions of the models that the endpoint holds whole;
	// nil for endpoints that hold none, or are no engines.
	Models map[string]int
}

// Report is an engine's load as the sidecar beside it read it.
type Report struct {
	Address string `json:"a"`
	// Model and Version are what the engine holds whole; Version is 0 while
	// it holds nothing whole.
	Model   string `json:"m"`
	Version int    `json:"v"`
	// Busy says that an order is under way and that nothing new is taken.
	Busy    bool    `json:"b,omitempty"`
	Running int     `json:"r"`
	Queued  int     `json:"q"`
	Pace    float64 `json:"p,omitempty"`
	// Weights is the checksum of what the sidecar knows of how weights come,
	// or 0.
	Weights uint32 `json:"w,omitempty"`
	// Gateways is how many gateways hear these reports, and Turn the place of
	// the one that gets this one among them, from 0, drawn for each report:
	// all see the same room, and those with earlier turns may take it first.
	Gateways int `json:"g,omitempty"`
	Turn     int `json:"u,omitempty"`
}

// Timing of what a Fleet believes.
const (
	// reportLife is how long a report counts.
	reportLife = 900 * time.Millisecond
	// justNow is how old the report may be of an engine that must begin a
	// request at once: one that stands still sends none.
	justNow = 150 * time.Millisecond
	// openMin and openMax bound how long an endpoint that failed is left
	// alone; the time doubles with each failure in a row.
	openMin = 400 * time.Millisecond
	openMax = 4 * time.Second
	// failureWeight is the share of the newest attempt in failures.
	failureWeight = 0.12
)

// Costs of choosing an endpoint, in milliseconds until the caller hears.
const (
	// zoneCost stands for another availability zone: its delay, and the
	// price of the bytes.
	zoneCost = 20.0
	// failureCost is that of an endpoint whose attempts all fail.
	failureCost = 800.0
	// loadCost is that of one more request beside this one.
	loadCost = 8.0
	// plainCost is the same at an endpoint that is no engine.
	plainCost = 20.0
	// noise keeps gateways that know the same from choosing the same.
	noise = 15.0
)

// Endpoint is one endpoint and what is believed of it.
type Endpoint struct {
	Record
	// own are the attempts of this gateway in progress there.
	own int
	// others estimates what everybody else has there.
	others float64
	// unread is the work, in milliseconds of the engine, of own attempts
	// that have brought nothing yet, and unreadCount their number.
	unread      float64
	unreadCount int
	// othersUnread is the same number for everybody else.
	othersUnread float64
	// sentCount are own attempts since the last report.
	sentCount int
	// sentAt are the times of own attempts of the last unsettled.
	sentAt   []time.Time
	report   Report
	reportAt time.Time
	// roundTrip is the last that was measured, to the sidecar and back.
	roundTrip time.Duration
	roundAt   time.Time
	heardAt   time.Time
	// lag is how much later than expected first bytes came, smoothed.
	lag      time.Duration
	failures float64 // share of attempts that failed, smoothed
	strikes  int     // broken connections in a row
	openTill time.Time
	// misdirected says that the endpoint denied being this one, or holding
	// the weights; it gets nothing until the list tells something new of it.
	misdirected bool
	// probing says that one request tries an endpoint that was left alone.
	probing bool
}

// Fleet is the set of endpoints.
type Fleet struct {
	zone      string
	byID      map[string]*Endpoint
	byAddress map[string]*Endpoint
	byService map[string][]*Endpoint
}

// New returns an empty fleet, seen from a gateway in zone.
func New(zone string) *Fleet {
	return &Fleet{
		zone:      zone,
		byID:      make(map[string]*Endpoint),
		byAddress: make(map[string]*Endpoint),
		byService: make(map[string][]*Endpoint),
	}
}

// Put adds or changes an endpoint. It reports whether anything but the
// heartbeat changed.
func (f *Fleet) Put(r Record) bool {
	e := f.byID[r.ID]
	if e == nil {
		if old := f.byAddress[r.Address]; old != nil {
			f.Remove(old.ID)
		}
		e = &Endpoint{Record: r}
		f.byID[r.ID] = e
		f.byAddress[r.Address] = e
		f.byService[r.Service] = append(f.byService[r.Service], e)
		return true
	}
	changed := e.Draining != r.Draining || !sameModels(e.Models, r.Models)
	if changed {
		e.Record = r
		e.misdirected = false
	}
	return changed
}

func sameModels(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if b[k] != v {
			return false
		}
	}
	return true
}

// Remove forgets an endpoint.
func (f *Fleet) Remove(id string) bool {
	e := f.byID[id]
	if e == nil {
		return false
	}
	delete(f.byID, id)
	if f.byAddress[e.Address] == e {
		delete(f.byAddress, e.Address)
	}
	list := f.byService[e.Service]
	for i, other := range list {
		if other == e {
			f.byService[e.Service] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	return true
}

// Replace sets the whole list.
func (f *Fleet) Replace(records []Record) {
	keep := make(map[string]bool, len(records))
	for _, r := range records {
		keep[r.ID] = true
	}
	for id := range f.byID {
		if !keep[id] {
			f.Remove(id)
		}
	}
	for _, r := range records {
		f.Put(r)
	}
}

// Has reports whether an endpoint is on the list.
func (f *Fleet) Has(id string) bool { return f.byID[id] != nil }

// Endpoints returns the endpoints of a service.
func (f *Fleet) Endpoints(service string) []*Endpoint { return f.byService[service] }

// Len returns the number of endpoints.
func (f *Fleet) Len() int { return len(f.byID) }

// Addresses returns the addresses of a service's endpoints, apart those whose
// sidecars said lately that they know weights with the checksum sum.
func (f *Fleet) Addresses(service string, sum uint32, now time.Time) (knowing, others []string) {
	for _, e := range f.byService[service] {
		if e.fresh(now) && e.report.Weights == sum {
			knowing = append(knowing, e.Address)
			continue
		}
		others = append(others, e.Address)
	}
	return knowing, others
}

// Heard takes a report and returns its endpoint, or nil if the endpoint is
// not on the list. roundTrip is negative if none was measured. changed says
// that version or readiness changed.
func (f *Fleet) Heard(r Report, roundTrip time.Duration, now time.Time) (e *Endpoint, changed bool) {
	e = f.byAddress[r.Address]
	if e == nil {
		return nil, false
	}
	changed = e.reportAt.IsZero() || e.report.Version != r.Version || e.report.Busy != r.Busy
	e.report = r
	e.reportAt = now
	e.heardAt = now
	if roundTrip >= 0 {
		e.roundTrip, e.roundAt = roundTrip, now
	}
	unseen := e.unseen(now)
	e.others = math.Max(0, float64(r.Running+r.Queued-(e.own-unseen)))
	e.othersUnread = math.Max(0, float64(r.Queued-max(0, e.unreadCount-unseen)))
	e.sentCount = 0
	return e, changed
}

// Holds returns the version of model that the endpoint holds whole, or 0.
func (e *Endpoint) Holds(model string, now time.Time) int {
	if e.fresh(now) && e.report.Model == model {
		return e.report.Version
	}
	return e.Models[model]
}

func (e *Endpoint) fresh(now time.Time) bool {
	return !e.reportAt.IsZero() && now.Sub(e.reportAt) < reportLife
}

// ReportAge is the age of the newest report, or -1 ms if there is none.
func (e *Endpoint) ReportAge(now time.Time) time.Duration {
	if e.reportAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(e.reportAt)
}

// SilentFor is how long nothing at all came from the endpoint's box.
func (e *Endpoint) SilentFor(now time.Time) time.Duration { return now.Sub(e.heardAt) }

// Bounds of what a slow link to an endpoint costs.
const (
	roundEvery = 700 * time.Millisecond
	delayMax   = 400 * time.Millisecond
	// delayOften is a delay that a working link may show.
	delayOften = 25 * time.Millisecond
	// delayHigh is one that a request must not meet near a deadline.
	delayHigh = 100 * time.Millisecond
	// lagWeight is the share of the newest attempt in lag, and lagOften what
	// a working engine may show.
	lagWeight = 0.3
	lagOften  = 150 * time.Millisecond
)

// Delay is what is known of the delay to the endpoint and back, at most
// delayMax: a link whose answers stay away counts as slow.
func (e *Endpoint) Delay(now time.Time) time.Duration {
	if e.roundAt.IsZero() {
		return 0
	}
	missing := now.Sub(e.roundAt) - roundEvery
	return min(max(e.roundTrip, missing, 0), delayMax)
}

// Own is the number of attempts of this gateway in progress.
func (e *Endpoint) Own() int { return e.own }

// unsettled is how long an own attempt may be missing in a report that comes
// in: it was on its way, or the report was.
const unsettled = 40 * time.Millisecond

// unseen counts own attempts that a report which comes in now does not count
// yet.
func (e *Endpoint) unseen(now time.Time) int {
	since := now.Add(-unsettled - e.Delay(now))
	e.sentAt = slices.DeleteFunc(e.sentAt, func(at time.Time) bool { return at.Before(since) })
	return min(len(e.sentAt), e.own)
}

// Load estimates the requests that the endpoint has, running and queued.
func (e *Endpoint) Load(now time.Time) float64 {
	if !e.fresh(now) {
		return float64(e.own) + e.others*0.5
	}
	return float64(e.own) + e.others + e.ahead(now)
}

// What other gateways are taken to send after a report that all of them got.
const (
	// takenShare is the part of them that has a request waiting.
	takenShare = 0.5
	// taken is how long a report may be unchanged before it shows that they
	// have sent nothing: a change is reported at once.
	takenFor = 100 * time.Millisecond
)

// ahead estimates the attempts that other gateways have sent since the last
// report, ahead of the next one of this gateway.
func (e *Endpoint) ahead(now time.Time) float64 {
	age := now.Sub(e.reportAt)
	if age >= takenFor {
		return 0
	}
	turn := float64(e.report.Turn + e.sentCount*max(0, e.report.Gateways-1))
	return takenShare * turn * (1 - float64(age)/float64(takenFor))
}

// pace is how many times slower than usual the endpoint works.
func (e *Endpoint) pace(now time.Time) float64 {
	if !e.fresh(now) || e.report.Pace < 1 {
		return 1
	}
	return e.report.Pace
}

// Query describes the attempt that an endpoint is chosen for.
type Query struct {
	Service string
	// Model is empty for plain services.
	Model string
	// MinVersion is the lowest version that may answer.
	MinVersion int
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
	// Connections bounds this gateway's attempts in progress at an endpoint,
	// each of which has a connection; 0 is no bound.
	Connections int
	// Exclude are the ids of endpoints that have been tried.
	Exclude map[string]bool
}

// usable reports whether the endpoint may get the attempt at all.
func (e *Endpoint) usable(q *Query, now time.Time) bool {
	if e.Draining || e.misdirected || q.Exclude[e.ID] {
		return false
	}
	if q.Model == "" {
		return true
	}
	holds := e.Holds(q.Model, now)
	if holds < q.SoonVersion && !e.atOnce(q, now) {
		return false
	}
	return holds > 0 && holds >= q.MinVersion && !(e.fresh(now) && e.report.Busy)
}

// atOnce reports whether an engine begins a new request without a wait.
func (e *Endpoint) atOnce(q *Query, now time.Time) bool {
	return e.fresh(now) && now.Sub(e.reportAt) < justNow && e.Delay(now) < delayHigh && e.lag < delayHigh && e.strikes == 0 && e.report.Queued == 0 && e.unreadCount == 0 && e.Load(now) < q.Slots-2
}

// open reports whether the endpoint is being left alone.
func (e *Endpoint) open(now time.Time) bool {
	return e.strikes > 0 && (now.Before(e.openTill) || e.probing)
}

// Choose returns the endpoint for an attempt and counts the attempt there,
// or nil if none has room. End must follow.
func (f *Fleet) Choose(q Query, now time.Time) *Endpoint {
	var best *Endpoint
	bestCost := math.Inf(1)
	for _, e := range f.byService[q.Service] {
		if !e.usable(&q, now) || e.open(now) {
			continue
		}
		if q.Connections > 0 && e.own >= q.Connections {
			continue
		}
		load := e.Load(now)
		if q.Limit > 0 && load >= f.limit(e, q.Limit, now) {
			continue
		}
		if q.Within > 0 && e.firstBytes(&q, load, now) > q.Within {
			continue
		}
		if cost := f.cost(e, &q, load, now); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return nil
	}
	best.own++
	best.unread += q.Work
	best.unreadCount++
	best.sentCount++
	best.sentAt = append(best.sentAt, now)
	if best.strikes > 0 {
		best.probing = true
	}
	return best
}

// limit lowers a slow endpoint's limit by its pace.
func (f *Fleet) limit(e *Endpoint, limit float64, now time.Time) float64 {
	return math.Max(1, limit/e.pace(now))
}

func (f *Fleet) cost(e *Endpoint, q *Query, load float64, now time.Time) float64 {
	cost := failureCost*e.failures + noise*rand.Float64()
	if e.Zone != f.zone {
		cost += zoneCost
	}
	if q.Model == "" {
		return cost + plainCost*load
	}
	if delay := e.Delay(now); delay > delayOften {
		cost += float64(delay.Milliseconds())
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

// Begun notes that an attempt of so much work has brought its first bytes,
// or that it ended without; late is by how much they came later than
// expected, or negative if that is not known.
func (f *Fleet) Begun(e *Endpoint, work float64, late time.Duration, now time.Time) {
	e.unreadCount--
	e.unread = math.Max(0, e.unread-work)
	if e.unreadCount == 0 {
		e.unread = 0
	}
	if late < 0 {
		return
	}
	e.heardAt = now
	e.lag += time.Duration(lagWeight * float64(late-e.lag))
}

// Usable counts the endpoints that could take a request, whatever their
// load.
func (f *Fleet) Usable(q Query, now time.Time) int {
	count := 0
	for _, e := range f.byService[q.Service] {
		if e.usable(&q, now) && !e.open(now) {
			count++
		}
	}
	return count
}

// Result is how an attempt ended, for what it says of the endpoint.
type Result int

// The results of an attempt.
const (
	// Answered: the endpoint answered as it should.
	Answered Result = iota
	// Failed: the endpoint answered with an error, or spoilt its answer.
	Failed
	// Broken: no connection, or one that broke.
	Broken
	// Rejected: the endpoint turned the request away.
	Rejected
	// Misdirected: another endpoint has the address, or it holds other
	// weights than the list says.
	Misdirected
	// Abandoned: the caller left, or time ran out; it says nothing.
	Abandoned
)

// End takes the result of an attempt that Choose counted; Begun must have
// been called for it.
func (f *Fleet) End(e *Endpoint, result Result, now time.Time) {
	e.own--
	e.probing = false
	switch result {
	case Answered:
		e.strikes = 0
		e.failures -= failureWeight * e.failures
		e.heardAt = now
	case Failed:
		e.strikes = 0
		e.failures += failureWeight * (1 - e.failures)
		e.heardAt = now
	case Broken:
		e.failures += failureWeight * (1 - e.failures)
		e.strikes++
		pause := openMin << min(e.strikes-1, 4)
		e.openTill = now.Add(min(pause, openMax))
	case Misdirected:
		e.misdirected = true
	case Rejected:
		e.others++
		e.heardAt = now
	}
}

// Alive notes that bytes came from the endpoint.
func (f *Fleet) Alive(e *Endpoint, now time.Time) { e.heardAt = now }
