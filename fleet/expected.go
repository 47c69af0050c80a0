// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"slices"
	"time"
)

const (
	// maxServesIn bounds Report.ServesInMS, which a corrupt datagram may have too large.
	maxServesIn = time.Minute
	// servingDivisor is the reciprocal of the share of the engines that must be expected to
	// serve. The first engines alone cannot take all callers.
	servingDivisor = 10
)

// Expectation is when engines are expected to serve an attempt.
type Expectation struct {
	// First is when the first engine is expected to serve, and Enough when a tenth of the
	// engines are.
	First, Enough time.Time
}

// recordExpectation records the expectation of a report that arrives now.
func (e *Endpoint) recordExpectation(r *Report, now time.Time) {
	e.servesAt = time.Time{}
	if r.ServesInMS > 0 {
		e.servesAt = now.Add(time.Duration(min(r.ServesInMS, maxServesIn.Milliseconds())) * time.Millisecond)
	}
}

// Expected returns when the engines that may get the attempt described by q, and that the
// gateway watches, are expected to serve. Expectations older than reportTTL are ignored. It
// returns false if they are known of less than a tenth of these engines.
func (f *Fleet) Expected(q Query, now time.Time) (Expectation, bool) {
	engines := 0
	var at []time.Time
	for _, e := range f.watched(q.Service) {
		if !e.MayReceive(q.Regions) || e.misdirected {
			continue
		}
		engines++
		if !e.servesAt.IsZero() && e.fresh(now) {
			at = append(at, e.servesAt)
		}
	}
	needed := (engines + servingDivisor - 1) / servingDivisor
	if needed == 0 || len(at) < needed {
		return Expectation{}, false
	}
	slices.SortFunc(at, time.Time.Compare)
	return Expectation{First: at[0], Enough: at[needed-1]}, true
}
