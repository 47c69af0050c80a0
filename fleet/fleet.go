// SPDX-License-Identifier: Apache-2.0

// Package fleet is what a gateway believes of the endpoints: the list of
// them, what they said of their load, and what their answers showed. It
// chooses the endpoint of an attempt.
//
// A Fleet does no I/O, takes time as a value, and is not safe for
// concurrent use; package ingress holds it under one lock.
package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mintlift/mintlift/backpressure"
)

// Record is an endpoint as the platform's list tells it.
type Record struct {
	ID      string
	Service string
	Address string // IP:PORT
	Zone    string
	Slots   int
	// Draining is what the list says; Endpoint.Signals knows more.
	Draining bool
	// Born is when the endpoint's process started, in Unix milliseconds, or 0 if
	// it does not tell. With the ID it names one life of the endpoint.
	Born int64
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
	// Born is that of a Record, as the engine itself tells it.
	Born int64 `json:"n,omitempty"`
	// Busy says that an order is under way and that nothing new is taken.
	Busy bool `json:"b,omitempty"`
	// Promised says that the engine will be drained, and brought to a newer
	// version, in time for that version's deadline.
	Promised bool `json:"c,omitempty"`
	// Doubted says that the engine tells a version of which it is not known
	// whether its weights are of it.
	Doubted bool `json:"d,omitempty"`
	// Draining and Limited are what the engine's answer said to the sidecar, as to
	// any other that asks it something; Limit is in requests a second.
	Draining bool    `json:"draining,omitempty"`
	Limited  bool    `json:"limited,omitempty"`
	Limit    float64 `json:"limit,omitempty"`

	Running int     `json:"r"`
	Queued  int     `json:"q"`
	Pace    float64 `json:"p,omitempty"`
	// Weights is the checksum of what the sidecar knows of how weights come,
	// or 0.
	Weights uint32 `json:"w,omitempty"`
	// Gateways is how many gateways hear these reports. All see the same room;
	// Turn is how much of their demand may take it ahead of the gateway that
	// gets this report, in average gateways, drawn for each report, and Share
	// the gateway's own part of the demand.
	Gateways int     `json:"g,omitempty"`
	Turn     float64 `json:"u,omitempty"`
	Share    float64 `json:"s,omitempty"`
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

// Fleet is the set of endpoints.
type Fleet struct {
	place     Place
	byID      map[string]*Endpoint
	byAddress map[string]*Endpoint
	byService map[string][]*Endpoint
	// watching is what is watched of each large service, until its list
	// changes.
	watching map[string][]*Endpoint
	// signals is what endpoints said in answers, also of those that have left the
	// list.
	signals *backpressure.Table
}

// New returns an empty fleet, seen from a gateway at place.
func New(place Place) *Fleet {
	return &Fleet{
		place:     place,
		watching:  make(map[string][]*Endpoint),
		signals:   backpressure.NewTable(),
		byID:      make(map[string]*Endpoint),
		byAddress: make(map[string]*Endpoint),
		byService: make(map[string][]*Endpoint),
	}
}

// Put adds or changes an endpoint. It reports whether anything but the
// heartbeat changed.
func (f *Fleet) Put(r Record) bool {
	changed := f.put(r)
	if e := f.byID[r.ID]; e != nil && e.Draining {
		e.Signals.ListedDraining()
	}
	return changed
}

func (f *Fleet) put(r Record) bool {
	e := f.byID[r.ID]
	switch {
	case e == nil || e.Born == 0 || r.Born == 0:
	case r.Born < e.Born:
		return false // of the life before
	case r.Born > e.Born:
		f.Remove(r.ID)
		e = nil
	}
	if e == nil {
		if old := f.byAddress[r.Address]; old != nil {
			f.Remove(old.ID)
		}
		e = &Endpoint{Record: r, Signals: f.signals.Of(r.ID, r.Born)}
		f.byID[r.ID] = e
		f.byAddress[r.Address] = e
		f.byService[r.Service] = append(f.byService[r.Service], e)
		f.changedService(r.Service)
		return true
	}
	r.Born = max(r.Born, e.Born)
	changed := e.Draining != r.Draining || !sameModels(e.Models, r.Models)
	e.Born = r.Born
	e.Signals.Learn(r.Born)
	if changed {
		e.Record = r
		e.misdirected = false
	}
	return changed
}

// startAgain takes the word of an endpoint that its process began anew at born:
// it holds nothing, and nothing that was believed of it holds. The list is yet
// to tell.
func (f *Fleet) startAgain(e *Endpoint, born int64) *Endpoint {
	r := e.Record
	r.Born, r.Models = born, nil
	f.Remove(r.ID)
	f.Put(r)
	return f.byID[r.ID]
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
	f.changedService(e.Service)
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

// Replace sets the whole list, and returns what was on the one before alone.
func (f *Fleet) Replace(records []Record) (left []Record) {
	keep := make(map[string]bool, len(records))
	for _, r := range records {
		keep[r.ID] = true
	}
	for id, e := range f.byID {
		if !keep[id] {
			left = append(left, e.Record)
			f.Remove(id)
		}
	}
	for _, r := range records {
		f.Put(r)
	}
	return left
}

// Has reports whether an endpoint is on the list.
func (f *Fleet) Has(id string) bool { return f.byID[id] != nil }

// ByID returns an endpoint of the list, or nil.
func (f *Fleet) ByID(id string) *Endpoint { return f.byID[id] }

// Life returns when the process of the endpoint at an address started, in Unix
// milliseconds, or 0 if that is not known.
func (f *Fleet) Life(address string) int64 {
	if e := f.byAddress[address]; e != nil {
		return e.Born
	}
	return 0
}

// Endpoints returns the endpoints of a service.
func (f *Fleet) Endpoints(service string) []*Endpoint { return f.byService[service] }

// All returns the endpoints of all services, in no order.
func (f *Fleet) All() []*Endpoint { return slices.Collect(maps.Values(f.byID)) }

// Len returns the number of endpoints.
func (f *Fleet) Len() int { return len(f.byID) }

// Addresses returns the addresses of the endpoints that are watched of a
// service, apart those whose sidecars said lately that they know weights with
// the checksum sum.
func (f *Fleet) Addresses(service string, sum uint32, now time.Time) (knowing, others []string) {
	for _, e := range f.watched(service) {
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
// that version, readiness or what the engine says of itself changed.
func (f *Fleet) Heard(r Report, roundTrip time.Duration, now time.Time) (e *Endpoint, changed bool) {
	e = f.byAddress[r.Address]
	switch {
	case e == nil:
		return nil, false
	case r.Born == 0 || r.Born == e.Born:
	case r.Born < e.Born:
		return nil, false // late, of the life before
	case e.Born == 0:
		e.Born = r.Born
		e.Signals.Learn(r.Born)
	default:
		e = f.startAgain(e, r.Born)
	}
	changed = e.reportAt.IsZero() || e.report.Version != r.Version || e.report.Busy != r.Busy || e.report.Doubted != r.Doubted ||
		e.report.Draining != r.Draining || e.report.Limited != r.Limited || e.report.Limit != r.Limit
	e.report = r
	e.reportAt = now
	e.Signals.ObserveReport(backpressure.Signal{Draining: r.Draining, Limit: backpressure.Limit{Named: r.Limited, Rate: r.Limit}}, now)
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

// EndAlone notes that the attempt chosen with Query.Alone has ended.
func (f *Fleet) EndAlone(e *Endpoint) { e.alone = false }

// Alive notes that bytes came from the endpoint.
func (f *Fleet) Alive(e *Endpoint, now time.Time) { e.heardAt = now }
