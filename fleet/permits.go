// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"time"

	"github.com/mintlift/mintlift/backpressure"
)

// Share says how many gateways share what endpoints allow together.
func (f *Fleet) Share(gateways int) { f.signals.Share(gateways) }

// Opens returns when the next endpoint of a service may get a request that may get
// none now, or zero if none does by itself.
func (f *Fleet) Opens(service string, now time.Time) time.Time {
	var first time.Time
	if f.signals.Quiet() {
		return first
	}
	for _, e := range f.byService[service] {
		if e.Signals.Draining() {
			continue
		}
		if at := e.Signals.From(now); at.After(now) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// Closure is why no endpoint of a service takes an attempt, by their own signals.
type Closure struct {
	Reason Reason
	// Until is when one may take it at the earliest; zero if that is not known.
	Until time.Time
	// Endpoint is the one that opens first, or one of them if that is not known.
	Endpoint string
}

// Reason is what endpoints have said that closes them.
type Reason int

// The reasons, from what passes soonest.
const (
	Open Reason = iota // at least one is not closed by its own signal
	Limited
	BackingOff
	Draining
)

func (r Reason) String() string {
	return [...]string{"are open", "are at their limits", "want backoff", "are draining"}[r]
}

// Closed tells whether all endpoints that could take an attempt have said that they
// will not before a time. With several reasons it is that of the one that opens
// first.
func (f *Fleet) Closed(q Query, by, now time.Time) Closure {
	c := Closure{Reason: Open}
	if f.signals.Quiet() {
		return c
	}
	for _, e := range f.byService[q.Service] {
		if !e.fits(&q, now) {
			continue
		}
		reason, from := e.closure(now)
		if reason == Open || !from.IsZero() && !from.After(by) {
			return Closure{Reason: Open}
		}
		if c.Reason == Open || c.Until.IsZero() || !from.IsZero() && from.Before(c.Until) {
			c = Closure{reason, from, e.ID}
		}
	}
	return c
}

// closure returns why the endpoint takes nothing now by its own signal, and until when.
func (e *Endpoint) closure(now time.Time) (Reason, time.Time) {
	from := e.Signals.From(now)
	switch {
	case e.Signals.Draining():
		return Draining, time.Time{}
	case e.Signals.Closed(now):
		return BackingOff, from
	case from.After(now):
		return Limited, from
	default:
		return Open, now
	}
}

// Signals counts the endpoints by what they have said that is in force.
type Signals struct {
	Draining, BackingOff, Limited int
	// Allowed is the sum of the limits, in requests a second.
	Allowed float64
}

// Signals returns what the endpoints of the list have said.
func (f *Fleet) Signals(now time.Time) (w Signals) {
	for _, e := range f.byID {
		if e.Signals.Draining() {
			w.Draining++
		}
		if e.Signals.Closed(now) {
			w.BackingOff++
		}
		if e.Signals.Limited() {
			w.Limited++
			w.Allowed += e.Signals.Rate()
		}
	}
	return w
}

// Asks calls ask with what is to be asked, or told, of the endpoints of a service.
func (f *Fleet) Asks(service string, now time.Time, ask func(e *Endpoint, a backpressure.Ask)) {
	if f.signals.Quiet() {
		return
	}
	for _, e := range f.byService[service] {
		if a, ok := e.Signals.Ask(now); ok {
			ask(e, a)
		}
	}
}

// Granted takes permits; it returns what has changed of what the endpoint said.
func (f *Fleet) Granted(g backpressure.Grant, now time.Time) []backpressure.Change {
	return f.signals.Granted(g, now)
}

// HeardOf takes what another process tells of an endpoint; it returns what has
// changed.
func (f *Fleet) HeardOf(r backpressure.Record, now time.Time) []backpressure.Change {
	return f.signals.Merge(r, now)
}

// Forget drops what endpoints said that have left the list and that cannot matter
// any more.
func (f *Fleet) Forget(now time.Time) { f.signals.Forget(f.Has, now) }
