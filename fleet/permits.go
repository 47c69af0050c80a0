// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"time"

	"github.com/mintlift/mintlift/backpressure"
)

// Share says how many gateways share what endpoints allow together.
func (f *Fleet) Share(gateways int) { f.said.Share(gateways) }

// Opens returns when the next endpoint of a service may get a request that may get
// none now, or zero if none does by itself.
func (f *Fleet) Opens(service string, now time.Time) time.Time {
	var first time.Time
	for _, e := range f.byService[service] {
		if e.Said.Leaving() {
			continue
		}
		if at := e.Said.From(now); at.After(now) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// Asks calls ask with what is to be asked, or told, of the endpoints of a service.
func (f *Fleet) Asks(service string, now time.Time, ask func(e *Endpoint, a backpressure.Ask)) {
	for _, e := range f.byService[service] {
		if a, ok := e.Said.Ask(now); ok {
			ask(e, a)
		}
	}
}

// Granted takes permits; it returns what has changed of what the endpoint said.
func (f *Fleet) Granted(g backpressure.Grant, now time.Time) []backpressure.Change {
	return f.said.Granted(g, now)
}

// HeardOf takes what another process tells of an endpoint; it returns what has
// changed.
func (f *Fleet) HeardOf(r backpressure.Record, now time.Time) []backpressure.Change {
	return f.said.Merge(r, now)
}

// Forget drops what endpoints said that have left the list and that cannot matter
// any more.
func (f *Fleet) Forget(now time.Time) { f.said.Forget(f.Has, now) }
