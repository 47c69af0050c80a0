// SPDX-License-Identifier: Apache-2.0

// Package route chooses the endpoint for a request and limits retries.
//
// A Table holds a gateway's view of each endpoint: the versions that it serves, the
// load that it reported last, and the number of this gateway's requests in flight
// there. Choose returns the less loaded of two random endpoints. Requests with the
// same prompt prefix prefer the same endpoint, unless it is much busier than the
// rest. Draining endpoints are never chosen, and ejected ones only if there is no
// other. A Budget prevents retry storms by limiting retries to a share of the
// requests.
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
	// affinitySlack bounds the preference for the endpoint that a prefix maps to: it
	// may have this many requests in flight more than the mean of all candidates.
	affinitySlack = 4
	// ejectAfter is the number of consecutive failures after which an endpoint is
	// ejected, that is, not chosen for a time.
	ejectAfter = 3
	// ejectMin is the duration of the first ejection. It doubles with each further
	// ejection, up to ejectMax, until a request succeeds.
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
	// Load is the number of requests that the endpoint reported to have. Slots is how
	// many it runs concurrently; an endpoint with 0 slots never counts as full.
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
	// ejection is the duration of the last ejection, or 0 after a success.
	ejection time.Duration
	// closedUntil is the time until which the endpoint takes no requests, according to
	// its own backpressure signal.
	closedUntil time.Time
}

// Table is a gateway's view of the endpoints. The zero value is empty. It is safe
// for concurrent use.
type Table struct {
	mu    sync.Mutex
	byBox map[string]*endpoint
}

// Update replaces the endpoints. It keeps the gateway's own state of an endpoint, such
// as its requests in flight, if the incarnation is unchanged.
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
	// Version is the version that a model engine must serve. It is not used if Service
	// is set.
	Version weights.Ref
	// Service is the name of a plain service, or empty for model engines.
	Service string
	// Zone is the gateway's availability zone. Its endpoints are preferred if the loads
	// are equal.
	Zone string
	// Prefix is the start of the prompt, which maps to a preferred endpoint. If it is
	// empty, there is no preference.
	Prefix string
	// Exclude holds the boxes that the request has been sent to already.
	Exclude []string
}

// Choose returns an endpoint for a request. It counts the request as in flight at the
// endpoint until Done is called. It returns false if no endpoint matches c.
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

// Take counts a request as in flight at the endpoint of the given box until Done is
// called. It does not check whether the endpoint takes requests. It returns false if
// there is no such endpoint.
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
// Ejected ones are only returned if there are no others, since an endpoint that may fail
// is better than none. The caller holds t.mu.
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

// pick returns the endpoint that the prefix maps to. If there is no prefix, or that
// endpoint is full or much busier than the mean, it returns the less loaded of two
// random candidates.
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

// full reports whether the endpoint has as many requests as it runs concurrently.
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

// CloseUntil excludes an endpoint from Choose until the given time, which the endpoint
// has signalled. An exclusion that ends later stays in force.
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
	// spent is BudgetBurst minus the number of retries left.
	spent float64
}

// Parameters of a Budget.
const (
	// BudgetShare is the fraction of a retry that each request adds to the budget.
	BudgetShare = 0.1
	// BudgetBurst is the capacity of the budget, in retries.
	BudgetBurst = 20
)

// AddRequest counts a request, which allows for BudgetShare of a retry.
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
