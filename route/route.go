// SPDX-License-Identifier: Apache-2.0

// Package route chooses the endpoint for a request and bounds what is
// retried.
//
// A Table holds what a gateway knows of each endpoint: what it serves, the
// load that it reported (which lags), and what this gateway itself has in
// flight there (which does not). Choose takes the better of two random
// endpoints by that count, prefers the endpoint that an equal prompt prefix
// went to while it is not much busier than the rest, and leaves out
// endpoints that drain or have been ejected. A Budget lets retries be a
// bounded share of requests, so that a failure does not become a storm.
//
// The package does no I/O and takes time as a value. A Table's lock is a
// leaf.
package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mintlift/mintlift/weights"
)

// Bounds of choosing.
const (
	// affinitySlack is how many requests more than the mean a preferred
	// endpoint may have before the preference stops paying.
	affinitySlack = 4
	// ejectAfter failures in a row an endpoint is left out, for ejectMin at
	// first, doubling to ejectMax.
	ejectAfter = 3
	ejectMin   = time.Second
	ejectMax   = 30 * time.Second
)

// Endpoint is what a gateway knows of one endpoint.
type Endpoint struct {
	Box         string
	Zone        string
	Address     string
	Incarnation string
	Service     string
	Serving     []weights.Ref
	// Usable says that new work may be sent there.
	Usable bool
	// Load is the reported number of requests, Slots how many run at once.
	Load  int
	Slots int
}

type endpoint struct {
	Endpoint
	inFlight int
	failures int
	ejected  time.Time
	eject    time.Duration
	// closed is until when the endpoint takes nothing, by its own word.
	closed time.Time
}

// Table is a gateway's view of the endpoints. The zero value is empty.
type Table struct {
	mu  sync.Mutex
	all map[string]*endpoint
}

// Update replaces what is known of the endpoints and keeps the gateway's
// own counts.
func (t *Table) Update(eps []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*endpoint, len(eps))
	for _, e := range eps {
		old := t.all[e.Box]
		if old == nil || old.Incarnation != e.Incarnation {
			old = &endpoint{}
		}
		old.Endpoint = e
		next[e.Box] = old
	}
	t.all = next
}

// Want says what a request needs.
type Want struct {
	// Version is served by model engines; Service names a plain service.
	Version weights.Ref
	Service string
	// Zone is the gateway's own, preferred on equal load.
	Zone string
	// Prefix is the start of the prompt, or empty for no preference.
	Prefix string
	// Not are boxes that have been tried already.
	Not []string
}

// Choose returns an endpoint and counts the request there until Done.
func (t *Table) Choose(w Want, now time.Time) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fit := t.fitting(w, now)
	if len(fit) == 0 {
		return Endpoint{}, false
	}
	e := pick(fit, w)
	e.inFlight++
	return e.Endpoint, true
}

// Take counts a request at a given box, which must fit.
func (t *Table) Take(box string, now time.Time) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.all[box]
	if !ok {
		return Endpoint{}, false
	}
	e.inFlight++
	return e.Endpoint, true
}

// Available returns the number of endpoints that fit.
func (t *Table) Available(w Want, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.fitting(w, now))
}

// fitting returns the endpoints that can take the request. Ejected ones are
// left out while any other fits: a doubtful endpoint is better than none.
func (t *Table) fitting(w Want, now time.Time) []*endpoint {
	var fit, ejected []*endpoint
	for _, e := range t.all {
		switch {
		case !e.fits(w), now.Before(e.closed):
		case now.Before(e.ejected):
			ejected = append(ejected, e)
		default:
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		fit = ejected
	}
	slices.SortFunc(fit, func(a, b *endpoint) int { return cmp.Compare(a.Box, b.Box) })
	return fit
}

func (e *endpoint) fits(w Want) bool {
	if !e.Usable || e.Service != w.Service || slices.Contains(w.Not, e.Box) {
		return false
	}
	return w.Service != "" || slices.Contains(e.Serving, w.Version)
}

func pick(fit []*endpoint, w Want) *endpoint {
	if w.Prefix != "" {
		if e := preferred(fit, w.Prefix); e.inFlight <= meanInFlight(fit)+affinitySlack && !e.full() {
			return e
		}
	}
	a := fit[rand.IntN(len(fit))]
	b := fit[rand.IntN(len(fit))]
	switch {
	case b.busy() < a.busy():
		return b
	case b.busy() == a.busy() && b.Zone == w.Zone:
		return b
	default:
		return a
	}
}

// busy is the larger of what was reported and what is known for sure.
func (e *endpoint) busy() int { return max(e.inFlight, e.Load) }

func (e *endpoint) full() bool { return e.Slots > 0 && e.busy() >= e.Slots }

// preferred is the first of the fitting endpoints in the prefix's order.
func preferred(fit []*endpoint, prefix string) *endpoint {
	best, bestWeight := fit[0], uint64(0)
	for _, e := range fit {
		if w := xxhash.Sum64String(prefix + "\x00" + e.Box); w >= bestWeight {
			best, bestWeight = e, w
		}
	}
	return best
}

func meanInFlight(fit []*endpoint) int {
	sum := 0
	for _, e := range fit {
		sum += e.inFlight
	}
	return sum / len(fit)
}

// Done ends what Choose or Take counted. ok is false when the endpoint
// failed, which may eject it.
func (t *Table) Done(box string, ok bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.all[box]
	if !known {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	if ok {
		e.failures, e.eject = 0, 0
		return
	}
	e.failures++
	if e.failures >= ejectAfter {
		e.eject = min(max(2*e.eject, ejectMin), ejectMax)
		e.ejected = now.Add(e.eject)
		e.failures = 0
	}
}

// Draining notes at once that an endpoint takes no new work.
func (t *Table) Draining(box string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.all[box]; ok {
		e.Usable = false
	}
}

// Close notes that an endpoint takes nothing until a time, by its own word.
func (t *Table) Close(box string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.all[box]; ok && until.After(e.closed) {
		e.closed = until
	}
}

// Serving notes at once which versions an endpoint serves.
func (t *Table) Serving(box string, refs []weights.Ref) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.all[box]; ok {
		e.Serving = refs
	}
}

// Endpoints returns a copy of the table, ordered by box.
func (t *Table) Endpoints() []Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Endpoint
	for _, e := range t.all {
		out = append(out, e.Endpoint)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.Box, b.Box) })
	return out
}

// Budget bounds retries to a share of the requests. The zero value allows
// BudgetBurst retries before the first request.
type Budget struct {
	mu    sync.Mutex
	spent float64
}

// Bounds of a Budget.
const (
	// BudgetShare is the retries that each request adds to the budget.
	BudgetShare = 0.1
	// BudgetBurst is the most that the budget holds.
	BudgetBurst = 20
)

// Request adds a request's share.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-BudgetShare, 0)
}

// Retry takes one retry from the budget, or returns false.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > BudgetBurst {
		return false
	}
	b.spent++
	return true
}
