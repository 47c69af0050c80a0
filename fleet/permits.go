// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"maps"
	"time"

	"github.com/mintlift/mintlift/backpressure"
)

// SetGateways sets the number of gateways that share the rate limits of
// endpoints.
func (f *Fleet) SetGateways(gateways int) { f.signals.SetGateways(gateways) }

// NextOpening returns the earliest time at which an endpoint of a service that is
// now closed by a backoff or a rate limit may be sent a request again. It is zero
// if no endpoint is closed in this way. Draining endpoints are ignored.
func (f *Fleet) NextOpening(service string, now time.Time) time.Time {
	var earliest time.Time
	if f.signals.NoSignals() {
		return earliest
	}
	for _, e := range f.byService[service] {
		if e.Signals.Draining() {
			continue
		}
		if at := e.Signals.AvailableAt(now); at.After(now) && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

// Closure describes which backpressure signals of a service's endpoints currently
// keep a gateway from sending them an attempt.
type Closure struct {
	Reason Reason
	// Until is the earliest time at which one of them may accept the attempt; zero if
	// unknown.
	Until time.Time
	// Endpoint is the id of the endpoint that opens first. If Until is zero, it is
	// any of them.
	Endpoint string
}

// Reason is the kind of backpressure signal that closes endpoints.
type Reason int

// The reasons, of which Open means that no signal closes the endpoints.
const (
	Open       Reason = iota // at least one endpoint is open
	Limited                  // the rate limit is used up
	BackingOff               // a backoff is in force
	Draining                 // the endpoint takes no new requests
)

// String returns the predicate of a message about the endpoints of a service.
func (r Reason) String() string {
	return [...]string{"are open", "are at their limits", "want backoff", "are draining"}[r]
}

// Closure reports whether all endpoints that could serve an attempt are closed by
// their backpressure signals until after the time by. The result's Reason is that
// of the endpoint that opens first. It is Open if an endpoint opens by that time,
// or if no endpoint could serve the attempt.
func (f *Fleet) Closure(q Query, by, now time.Time) Closure {
	c := Closure{Reason: Open}
	if f.signals.NoSignals() {
		return c
	}
	for _, e := range f.byService[q.Service] {
		if !e.usableIfNotDraining(&q, now) {
			continue
		}
		reason, opens := e.closure(now)
		if reason == Open || !opens.IsZero() && !opens.After(by) {
			return Closure{Reason: Open}
		}
		if c.Reason == Open || c.Until.IsZero() || !opens.IsZero() && opens.Before(c.Until) {
			c = Closure{reason, opens, e.ID}
		}
	}
	return c
}

// closure returns the signal that closes the endpoint now, and the time at which it
// opens. That time is zero if unknown. An open endpoint returns Open and now.
func (e *Endpoint) closure(now time.Time) (Reason, time.Time) {
	opens := e.Signals.AvailableAt(now)
	switch {
	case e.Signals.Draining():
		return Draining, time.Time{}
	case e.Signals.Closed(now):
		return BackingOff, opens
	case opens.After(now):
		return Limited, opens
	default:
		return Open, now
	}
}

// Signals holds the numbers of endpoints with each backpressure signal in force.
type Signals struct {
	Draining, BackingOff, Limited, Cold int
	// Allowed is the sum of the rate limits, in requests a second.
	Allowed float64
}

// Signals counts the endpoints of the list by their signals.
func (f *Fleet) Signals(now time.Time) (counts Signals) {
	for _, e := range f.byID {
		if e.Signals.Draining() {
			counts.Draining++
		}
		if e.Signals.Closed(now) {
			counts.BackingOff++
		}
		if e.Signals.Cold(now) {
			counts.Cold++
		}
		if e.Signals.Limited(now) {
			counts.Limited++
			counts.Allowed += e.Signals.Rate(now)
		}
	}
	return counts
}

// EachPermitRequest calls send with each pending message to a permit allocator about
// an endpoint of a service: a permit request, or just the endpoint's signals.
func (f *Fleet) EachPermitRequest(service string, now time.Time, send func(e *Endpoint, r backpressure.PermitRequest)) {
	if f.signals.NoSignals() {
		return
	}
	for _, e := range f.byService[service] {
		if r, ok := e.Signals.PermitRequest(now); ok {
			send(e, r)
		}
	}
}

// ApplyGrant applies the grant of a permit allocator, with permits and the endpoint's
// signals; it returns the changes of the signals.
func (f *Fleet) ApplyGrant(g backpressure.Grant, now time.Time) []backpressure.Change {
	return f.signals.ApplyGrant(g, now)
}

// MergeSignals merges an endpoint's signals as known to another process; it returns
// the changes.
func (f *Fleet) MergeSignals(r backpressure.Record, now time.Time) []backpressure.Change {
	return f.signals.Merge(r, now)
}

// PruneSignals deletes the stored signals of endpoints that are no longer on the list,
// by the rules of backpressure.Table.Evict, and the times of reports that no longer matter.
func (f *Fleet) PruneSignals(now time.Time) {
	f.signals.Evict(f.Has, now)
	maps.DeleteFunc(f.sidecarAt, func(_ string, at time.Time) bool { return now.Sub(at) >= listedChangeDelay })
}
