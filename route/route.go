// SPDX-License-Identifier: Apache-2.0

// Package route chooses the endpoint for a request and limits retries.
//
// A Table holds a gateway's view of each endpoint: what it serves, the load that
// it reported last, and this gateway's own requests in flight there, which are
// exact. Choose takes the less loaded of two random endpoints. Requests with a
// prompt prefix go to the same endpoint while that is not much busier than the
// rest. Draining endpoints are never chosen, ejected ones only if there is no
// other. A Budget limits retries to a share of the requests, against retry storms.
//
// The package does no I/O and takes the current time as an argument. No other lock
// is taken while a Table's lock is held.
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

// Parameters of Choose and of ejection.
const (
	// affinitySlack is how many requests in flight more than the mean the
	// endpoint of a prefix may have and still be preferred.
	affinitySlack = 4
	// ejectAfter is how many consecutive failures eject an endpoint.
	ejectAfter = 3
	// ejectMin is the length of the first ejection; it doubles up to ejectMax
	// until a request succeeds.
	ejectMin = time.Second
	ejectMax = 30 * time.Second
)

// Endpoint is a gateway's view of one endpoint.
type Endpoint struct {
	Box         string
	Zone        string
	Address     string
	Incarnation string
	Service     string
	Serving     []weights.Ref
	// Usable is set if the endpoint takes new requests.
	Usable bool
	// Load is the reported number of requests, and Slots how many the endpoint runs
	// concurrently; an endpoint with 0 slots never counts as full.
	Load  int
	Slots int
}

// endpoint is an Endpoint with the gateway's own state.
type endpoint struct {
	Endpoint
	inFlight int
	// failures counts consecutive failures since the last success or ejection.
	failures     int
	ejectedUntil time.Time
	// ejection is the length of the last ejection, or 0 after a success.
	ejection time.Duration
	// closedUntil is the end of the time in which the endpoint, by its own signal,
	// takes no requests.
	closedUntil time.Time
}

// Table is a gateway's view of the endpoints. The zero value is empty. It is safe
// for concurrent use.
type Table struct {
	mu    sync.Mutex
	byBox map[string]*endpoint
}

// Update replaces the endpoints. The gateway's own state of an endpoint is kept
// while its incarnation is the same.
func (t *Table) Update(eps []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*endpoint, len(eps))
	for _, e := range eps {
		old := t.byBox[e.Box]
		if old == nil || old.Incarnation != e.Incarnation {
			old = &endpoint{}
		}
		old.Endpoint = e
		next[e.Box] = old
	}
	t.byBox = next
}

// Criteria are the requirements of a request on its endpoint.
type Criteria struct {
	// Service is the name of a plain service; empty for model engines, which must
	// serve Version.
	Version weights.Ref
	Service string
	// Zone is the gateway's availability zone, preferred on equal load.
	Zone string
	// Prefix is the start of the prompt, or empty for no preference.
	Prefix string
	// Exclude holds the boxes that have been tried already.
	Exclude []string
}

// Choose returns an endpoint for a request and counts the request there until Done.
// It returns false if no endpoint matches.
func (t *Table) Choose(c Criteria, now time.Time) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.eligible(c, now)
	if len(candidates) == 0 {
		return Endpoint{}, false
	}
	e := pick(candidates, c)
	e.inFlight++
	return e.Endpoint, true
}

// Take counts a request at the endpoint of a given box until Done, without checking
// that it matches. It returns false if there is no such endpoint.
func (t *Table) Take(box string, now time.Time) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byBox[box]
	if !ok {
		return Endpoint{}, false
	}
	e.inFlight++
	return e.Endpoint, true
}

// Available returns the number of endpoints that match c.
func (t *Table) Available(c Criteria, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.eligible(c, now))
}

// eligible returns the endpoints that match c and are not closed, ordered by box.
// Ejected ones are only returned if there are no others. The caller holds t.mu.
func (t *Table) eligible(c Criteria, now time.Time) []*endpoint {
	var candidates, lastResort []*endpoint
	for _, e := range t.byBox {
		switch {
		case !e.matches(c), now.Before(e.closedUntil):
		case now.Before(e.ejectedUntil):
			lastResort = append(lastResort, e)
		default:
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		candidates = lastResort
	}
	slices.SortFunc(candidates, func(a, b *endpoint) int { return cmp.Compare(a.Box, b.Box) })
	return candidates
}

// matches reports whether the endpoint is usable and meets c.
func (e *endpoint) matches(c Criteria) bool {
	if !e.Usable || e.Service != c.Service || slices.Contains(c.Exclude, e.Box) {
		return false
	}
	return c.Service != "" || slices.Contains(e.Serving, c.Version)
}

// pick returns the endpoint that the prefix maps to, unless that is overloaded, or
// else the less loaded of two random candidates.
func pick(candidates []*endpoint, c Criteria) *endpoint {
	if c.Prefix != "" {
		if e := preferred(candidates, c.Prefix); e.inFlight <= meanInFlight(candidates)+affinitySlack && !e.full() {
			return e
		}
	}
	a := candidates[rand.IntN(len(candidates))]
	b := candidates[rand.IntN(len(candidates))]
	switch {
	case b.load() < a.load():
		return b
	case b.load() == a.load() && b.Zone == c.Zone:
		return b
	default:
		return a
	}
}

// load is the larger of the reported load and the gateway's own requests in flight.
func (e *endpoint) load() int { return max(e.inFlight, e.Load) }

// full reports whether all slots are in use.
func (e *endpoint) full() bool { return e.Slots > 0 && e.load() >= e.Slots }

// preferred returns the candidate that the prefix maps to by rendezvous hashing.
func preferred(candidates []*endpoint, prefix string) *endpoint {
	best, bestWeight := candidates[0], uint64(0)
	for _, e := range candidates {
		if w := xxhash.Sum64String(prefix + "\x00" + e.Box); w >= bestWeight {
			best, bestWeight = e, w
		}
	}
	return best
}

// meanInFlight returns the mean of the candidates' requests in flight, rounded down.
func meanInFlight(candidates []*endpoint) int {
	sum := 0
	for _, e := range candidates {
		sum += e.inFlight
	}
	return sum / len(candidates)
}

// Done ends a request that Choose or Take counted. ok is false if the endpoint
// failed, which may eject it.
func (t *Table) Done(box string, ok bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.byBox[box]
	if !known {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	if ok {
		e.failures, e.ejection = 0, 0
		return
	}
	e.failures++
	if e.failures >= ejectAfter {
		e.ejection = min(max(2*e.ejection, ejectMin), ejectMax)
		e.ejectedUntil = now.Add(e.ejection)
		e.failures = 0
	}
}

// MarkDraining marks an endpoint as taking no new requests, until the next Update.
func (t *Table) MarkDraining(box string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byBox[box]; ok {
		e.Usable = false
	}
}

// CloseUntil excludes an endpoint until a time, as signalled by the endpoint. It
// never shortens an earlier exclusion.
func (t *Table) CloseUntil(box string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byBox[box]; ok && until.After(e.closedUntil) {
		e.closedUntil = until
	}
}

// SetServing sets the versions that an endpoint serves, until the next Update.
func (t *Table) SetServing(box string, refs []weights.Ref) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byBox[box]; ok {
		e.Serving = refs
	}
}

// Endpoints returns a copy of the table, ordered by box.
func (t *Table) Endpoints() []Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Endpoint
	for _, e := range t.byBox {
		out = append(out, e.Endpoint)
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.Box, b.Box) })
	return out
}

// Budget is a retry budget, which limits retries to a share of the requests. The
// zero value is full: it allows BudgetBurst retries before the first request. It is
// safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// spent is the number of retries missing from a full budget.
	spent float64
}

// Parameters of a Budget.
const (
	// BudgetShare is the number of retries that each request adds.
	BudgetShare = 0.1
	// BudgetBurst is the capacity, in retries.
	BudgetBurst = 20
)

// AddRequest adds the share of one request to the budget.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-BudgetShare, 0)
}

// TakeRetry takes one retry from the budget, or returns false if none is left.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > BudgetBurst {
		return false
	}
	b.spent++
	return true
}
