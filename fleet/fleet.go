// SPDX-License-Identifier: Apache-2.0

// Package fleet holds a gateway's view of the endpoints and chooses the endpoint
// for each attempt, that is, each try to get a request served. The view combines
// the platform's list of endpoints, the load reports of the sidecars, and the
// results of the gateway's own attempts.
//
// A Fleet does no I/O, takes the current time as an argument, and is not safe
// for concurrent use; package ingress guards it with one lock.
package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mintlift/mintlift/backpressure"
)

// Record is an endpoint's entry in the platform's list.
type Record struct {
	ID      string
	Service string
	Address string // IP:PORT
	Zone    string
	// Slots is how many requests the endpoint runs concurrently.
	Slots int
	// Draining is the drain flag in the platform's list. Endpoint.Signals also covers
	// a drain that the endpoint itself has signalled.
	Draining bool
	// StartedMS is the start time of the endpoint's process, in Unix
	// milliseconds, or 0 if unknown. Together with the ID it identifies one
	// incarnation of the endpoint.
	StartedMS int64
	// ColdMS is the time until the end of the endpoint's warm-up, in milliseconds, when
	// the record was read; 0 if the endpoint is warm.
	ColdMS int64 `json:",omitempty"`
	// Models maps each model that the endpoint holds completely to its version. It
	// is nil for an endpoint that holds no model or is not an engine.
	Models map[string]int
	// WeightsConfigured is set if the configuration has the weights of the service's model:
	// orders of sidecars may then load other versions.
	WeightsConfigured bool `json:",omitempty"`
}

// Report is an engine's load report, sent by its sidecar.
type Report struct {
	Address string `json:"a"`
	// Model and Version identify the weights that the engine holds completely;
	// Version is 0 if there are none.
	Model   string `json:"m"`
	Version int    `json:"v"`
	// StartedMS is Record.StartedMS as reported by the engine.
	StartedMS int64 `json:"n,omitempty"`
	// Orders is the number of orders that the engine's process has accepted. With
	// StartedMS it identifies a load of the engine.
	Orders int64 `json:"f,omitempty"`
	// Busy is set while the engine must get no new requests, because it executes an
	// order, such as a load, or is being drained for one.
	Busy bool `json:"b,omitempty"`
	// UpdateScheduled is set if the sidecar has scheduled the engine's drain and
	// update to a newer version before that version's deadline, which is the time by
	// which all engines must serve it.
	UpdateScheduled bool `json:"c,omitempty"`
	// Unverified is set if the sidecar could not verify that the engine's weights are
	// those of the reported version.
	Unverified bool `json:"d,omitempty"`
	// Draining and Limited are the backpressure signals in the engine's response to
	// the sidecar: the engine takes no new requests, or has a rate limit. Limit is
	// that limit in requests a second.
	Draining bool    `json:"draining,omitempty"`
	Limited  bool    `json:"limited,omitempty"`
	Limit    float64 `json:"limit,omitempty"`

	// Running and Queued are the numbers of requests that the engine runs and has
	// queued.
	Running int `json:"r"`
	Queued  int `json:"q"`
	// Pace is how many times slower than normal the engine works; values below 1
	// count as 1.
	Pace float64 `json:"p,omitempty"`
	// AgeMS is how long before the report was sent the engine's state was read, in
	// milliseconds; 0 if that was just before.
	AgeMS int64 `json:"y,omitempty"`
	// ServesInMS is the time until the engine is expected to serve a version that may serve
	// by then, in milliseconds and in steps of 100; 0 if it serves one or if nothing is
	// known. While the origin is unavailable it is a lower bound. The single letters are
	// used up by this type and the datagram that embeds it.
	ServesInMS int64 `json:"serves_in,omitempty"`
	// WeightsChecksum is the checksum of the routing.WeightsConfig that the sidecar
	// has, or 0 if it has none.
	WeightsChecksum uint32 `json:"w,omitempty"`
	// Gateways is how many gateways receive the engine's reports and so see the same
	// free slots. To keep them from all using these slots at once, each report gives
	// its receiver a random place among them. DemandAhead is the demand of the
	// gateways before it, as a multiple of an average gateway's demand. DemandShare
	// is the receiver's share of the total demand.
	Gateways    int     `json:"g,omitempty"`
	DemandAhead float64 `json:"u,omitempty"`
	DemandShare float64 `json:"s,omitempty"`
	// GatewaysAhead is how many gateways come before the receiver. Each of them may send a
	// whole request, however little its demand is.
	GatewaysAhead int `json:"ahead,omitempty"`
}

// Parameters of report expiry and ejection.
const (
	// reportTTL is the maximum age of a load report that is used.
	reportTTL = 900 * time.Millisecond
	// maxReportAge bounds Report.AgeMS, which a corrupt datagram may have too large.
	maxReportAge = time.Minute
	// recentReport is the age from which a report no longer shows that the engine can
	// begin a request at once: the box may have been suspended since.
	recentReport = 150 * time.Millisecond
	// ejectMin and ejectMax bound how long an endpoint is ejected after a connection
	// failure, that is, not chosen. The time doubles with each consecutive failure.
	ejectMin = 400 * time.Millisecond
	ejectMax = 4 * time.Second
	// failureWeight is the weight of the newest attempt in the moving average
	// Endpoint.failureRate, from 0 to 1.
	failureWeight = 0.12
)

// Fleet is the set of endpoints of all services, as seen by one gateway.
type Fleet struct {
	place     Place
	byID      map[string]*Endpoint
	byAddress map[string]*Endpoint
	// sidecarAt holds Endpoint.sidecarAt by address.
	sidecarAt map[string]time.Time
	byService map[string][]*Endpoint
	// watchedByService caches the results of watched for large services. An entry is
	// removed when the service's endpoints change.
	watchedByService map[string][]*Endpoint
	// openRegions caches the regions of each service's endpoints outside evacuated zones.
	// An entry is removed when the service's endpoints change.
	openRegions map[string][]string
	// localGateways are the hashes of the gateways of this gateway's region; nil while
	// they are unknown.
	localGateways []uint64
	// evacuated holds the availability zones whose endpoints get no new attempts.
	evacuated map[string]bool
	// signals holds the backpressure signals of endpoints, including those that
	// are no longer on the list.
	signals *backpressure.Table
}

// New returns an empty fleet for a gateway at place.
func New(place Place) *Fleet {
	return &Fleet{
		place:            place,
		watchedByService: make(map[string][]*Endpoint),
		openRegions:      make(map[string][]string),
		evacuated:        make(map[string]bool),
		signals:          backpressure.NewTable(),
		byID:             make(map[string]*Endpoint),
		byAddress:        make(map[string]*Endpoint),
		sidecarAt:        make(map[string]time.Time),
		byService:        make(map[string][]*Endpoint),
	}
}

// Put adds or updates an endpoint and reports whether it was added or changed. A
// record of an earlier incarnation is ignored.
func (f *Fleet) Put(r Record) bool {
	changed := f.put(r)
	if e := f.byID[r.ID]; e != nil && e.Draining {
		e.Signals.SetListedDraining()
	}
	return changed
}

// put adds or updates an endpoint like Put, but does not set the drain signal.
func (f *Fleet) put(r Record) bool {
	e := f.byID[r.ID]
	switch {
	case e == nil || e.StartedMS == 0 || r.StartedMS == 0:
	case r.StartedMS < e.StartedMS:
		return false // earlier incarnation
	case r.StartedMS > e.StartedMS:
		f.Remove(r.ID)
		e = nil
	}
	if e == nil {
		if old := f.byAddress[r.Address]; old != nil {
			f.Remove(old.ID)
		}
		e = &Endpoint{Record: r, Signals: f.signals.State(r.ID, r.StartedMS), sidecarAt: f.sidecarAt[r.Address], gatewayStartedAt: f.place.StartedAt}
		f.locate(e)
		f.byID[r.ID] = e
		f.byAddress[r.Address] = e
		f.byService[r.Service] = append(f.byService[r.Service], e)
		f.endpointsChanged(r.Service)
		return true
	}
	r.StartedMS = max(r.StartedMS, e.StartedMS)
	changed := e.Draining != r.Draining || !sameModels(e.Models, r.Models)
	e.StartedMS = r.StartedMS
	e.Signals.SetStartedMS(r.StartedMS)
	if changed {
		if e.Zone != r.Zone {
			f.endpointsChanged(r.Service)
		}
		e.update(r)
		e.misdirected = false
		f.locate(e)
	}
	return changed
}

// update replaces the record of an endpoint. The fields that identify it are written only if
// they change, since attempts in progress read them without a lock.
func (e *Endpoint) update(r Record) {
	if r.ID != e.ID || r.Service != e.Service || r.Address != e.Address {
		e.Record = r
		return
	}
	e.Zone, e.Slots, e.Draining, e.ColdMS = r.Zone, r.Slots, r.Draining, r.ColdMS
	e.Models, e.WeightsConfigured, e.StartedMS = r.Models, r.WeightsConfigured, r.StartedMS
}

// locate sets the fields of an endpoint that follow from its availability zone.
func (f *Fleet) locate(e *Endpoint) {
	e.region, e.evacuated = f.place.region(e.Zone), f.evacuated[e.Zone]
}

// SetEvacuated sets whether an availability zone is evacuated. Its endpoints then get no
// new attempts; attempts in progress continue.
func (f *Fleet) SetEvacuated(zone string, evacuated bool) {
	if evacuated {
		f.evacuated[zone] = true
	} else {
		delete(f.evacuated, zone)
	}
	for _, e := range f.byID {
		f.locate(e)
	}
	clear(f.watchedByService)
	clear(f.openRegions)
}

// replaceIncarnation replaces e by a new incarnation, started at startedMS, whose
// report arrived before the list included it. The new endpoint gets the record of
// e without its models, and none of the state of e.
func (f *Fleet) replaceIncarnation(e *Endpoint, startedMS int64) *Endpoint {
	r := e.Record
	r.StartedMS, r.Models = startedMS, nil
	f.Remove(r.ID)
	f.Put(r)
	return f.byID[r.ID]
}

// sameModels reports whether a and b, which map models to versions, are equal.
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

// Remove removes an endpoint and reports whether it was on the list.
func (f *Fleet) Remove(id string) bool {
	e := f.byID[id]
	if e == nil {
		return false
	}
	delete(f.byID, id)
	f.endpointsChanged(e.Service)
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

// Replace replaces the whole list and returns the records that were removed.
func (f *Fleet) Replace(records []Record) (removed []Record) {
	keep := make(map[string]bool, len(records))
	for _, r := range records {
		keep[r.ID] = true
	}
	for id, e := range f.byID {
		if !keep[id] {
			removed = append(removed, e.Record)
			f.Remove(id)
		}
	}
	for _, r := range records {
		f.Put(r)
	}
	return removed
}

// Has reports whether an endpoint is on the list.
func (f *Fleet) Has(id string) bool { return f.byID[id] != nil }

// ByID returns the endpoint with the given id, or nil.
func (f *Fleet) ByID(id string) *Endpoint { return f.byID[id] }

// StartedMSAt returns the start time of the process of the endpoint at an
// address, in Unix milliseconds, or 0 if it is unknown.
func (f *Fleet) StartedMSAt(address string) int64 {
	if e := f.byAddress[address]; e != nil {
		return e.StartedMS
	}
	return 0
}

// Endpoints returns the endpoints of a service.
func (f *Fleet) Endpoints(service string) []*Endpoint { return f.byService[service] }

// All returns the endpoints of all services in unspecified order.
func (f *Fleet) All() []*Endpoint { return slices.Collect(maps.Values(f.byID)) }

// Len returns the number of endpoints.
func (f *Fleet) Len() int { return len(f.byID) }

// Addresses returns the addresses of a service's watched endpoints in two lists.
// current holds those whose sidecar has reported, within reportTTL, that
// its routing.WeightsConfig has the checksum sum; others holds the rest.
func (f *Fleet) Addresses(service string, sum uint32, now time.Time) (current, others []string) {
	for _, e := range f.watched(service) {
		if e.fresh(now) && e.report.WeightsChecksum == sum {
			current = append(current, e.Address)
			continue
		}
		others = append(others, e.Address)
	}
	return current, others
}

// ApplyReport applies a report and returns its endpoint. It returns nil if the
// endpoint is not on the list or the report is of an earlier incarnation.
// roundTrip is the measured round-trip time to the sidecar, or negative if there is
// none. changed is true for the first report, and if the version, Busy, Unverified
// or a backpressure signal differs from the previous report.
func (f *Fleet) ApplyReport(r Report, roundTrip time.Duration, now time.Time) (e *Endpoint, changed bool) {
	e = f.byAddress[r.Address]
	switch {
	case e == nil:
		return nil, false
	case r.StartedMS == 0 || r.StartedMS == e.StartedMS:
	case r.StartedMS < e.StartedMS:
		return nil, false // delayed report of an earlier incarnation
	case e.StartedMS == 0:
		e.StartedMS = r.StartedMS
		e.Signals.SetStartedMS(r.StartedMS)
	default:
		e = f.replaceIncarnation(e, r.StartedMS)
	}
	changed = e.reportAt.IsZero() || e.report.Version != r.Version || e.report.Busy != r.Busy || e.report.Unverified != r.Unverified ||
		e.report.Draining != r.Draining || e.report.Limited != r.Limited || e.report.Limit != r.Limit
	e.report = r
	age := time.Duration(min(max(r.AgeMS, 0), maxReportAge.Milliseconds())) * time.Millisecond
	e.reportAt = now.Add(-age)
	e.sidecarAt, f.sidecarAt[r.Address] = now, now
	e.recordVerified(&r, now)
	e.Signals.ObserveReport(backpressure.Signal{Draining: r.Draining, Limit: backpressure.Limit{Set: r.Limited, Rate: r.Limit}}, now)
	e.recordExpectation(&r, now)
	e.receivedAt = now
	if roundTrip >= 0 {
		e.roundTrip, e.roundTripAt = roundTrip, now
	}
	unreported := e.unreported(age, now)
	e.othersInFlight = math.Max(0, float64(r.Running+r.Queued-(e.inFlight-unreported)))
	e.othersUnanswered = math.Max(0, float64(r.Queued-max(0, e.unanswered-unreported)))
	e.sentSinceReport = 0
	return e, changed
}

// RecordFirstByte records that an attempt received its first bytes, or that it
// ended without any. prefillMS is the Query.PrefillMS of the attempt. lag is how
// much later than estimated the bytes arrived; it is negative if unknown.
func (f *Fleet) RecordFirstByte(e *Endpoint, prefillMS float64, lag time.Duration, now time.Time) {
	e.unanswered--
	e.unansweredMS = math.Max(0, e.unansweredMS-prefillMS)
	if e.unanswered == 0 {
		e.unansweredMS = 0
	}
	if lag < 0 {
		return
	}
	e.receivedAt = now
	e.firstByteLag += time.Duration(lagWeight * float64(lag-e.firstByteLag))
}

// Result is the outcome of an attempt, as far as it concerns the endpoint.
type Result int

// The results of an attempt.
const (
	// Responded means that the endpoint gave a valid response.
	Responded Result = iota
	// Failed means that the endpoint gave an error response or an invalid response.
	Failed
	// Broken means that the connection could not be made or was lost.
	Broken
	// Rejected means that the endpoint refused the request without running it.
	Rejected
	// Misdirected means that the address belongs to another endpoint, or that the
	// endpoint does not hold the weights that its record lists.
	Misdirected
	// Abandoned means that the caller disconnected or the request timed out. It does
	// not count as a failure of the endpoint.
	Abandoned
)

// End records the result of an attempt that Choose counted. RecordFirstByte must
// have been called for it.
func (f *Fleet) End(e *Endpoint, result Result, now time.Time) {
	e.inFlight--
	e.probing = false
	switch result {
	case Responded:
		e.brokenInRow = 0
		e.failureRate -= failureWeight * e.failureRate
		e.receivedAt = now
	case Failed:
		e.brokenInRow = 0
		e.failureRate += failureWeight * (1 - e.failureRate)
		e.receivedAt = now
	case Broken:
		e.failureRate += failureWeight * (1 - e.failureRate)
		e.brokenInRow++
		pause := ejectMin << min(e.brokenInRow-1, 4)
		e.ejectedUntil = now.Add(min(pause, ejectMax))
	case Misdirected:
		e.misdirected = true
	case Rejected:
		e.othersInFlight++
		e.receivedAt = now
	}
}

// EndIsolated records that the attempt chosen with Query.Isolated has ended.
func (f *Fleet) EndIsolated(e *Endpoint) { e.isolated = false }

// RecordReceived records that bytes arrived from the endpoint.
func (f *Fleet) RecordReceived(e *Endpoint, now time.Time) { e.receivedAt = now }
