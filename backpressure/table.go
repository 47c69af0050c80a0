// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Table holds the signals of endpoints. Signals belong to one incarnation of an
// endpoint, which is one run of its process; a new incarnation starts without signals.
// The state is kept while an endpoint is temporarily missing from the endpoint list.
type Table struct {
	states map[string]*State // by endpoint ID
	// gateways is the number of gateways that share a limit.
	gateways int
	// anySignal reports that a signal of at least one endpoint may be in force. While
	// it is false, callers need not check each endpoint.
	anySignal bool
}

// NewTable returns an empty table for one gateway.
func NewTable() *Table { return &Table{states: make(map[string]*State), gateways: 1} }

// SetGateways sets the number of gateways that share limits.
func (t *Table) SetGateways(gateways int) { t.gateways = max(gateways, 1) }

// Gateways returns the number of gateways that share limits.
func (t *Table) Gateways() int { return t.gateways }

// NoSignals reports whether no signal of any endpoint is in force.
func (t *Table) NoSignals() bool { return !t.anySignal }

// State holds the signals of one incarnation of an endpoint.
type State struct {
	table *Table
	id    string
	// startedMS is when the incarnation started, in Unix milliseconds; 0 if unknown.
	startedMS int64
	// signalAt is when the last signal was received.
	signalAt time.Time
	// unlistedSince is when the endpoint was first found missing from the endpoint
	// list; zero while it is listed.
	unlistedSince time.Time
	draining      bool
	backoffUntil  time.Time
	// recovering reports that the endpoint has requested a backoff and has not accepted
	// a request since. probedAt is when a request was last sent to it in this state.
	recovering bool
	probedAt   time.Time
	limit      Limit
	// limitAt is when the endpoint last reported the limit, or that there is none.
	limitAt time.Time
	// limitInReport reports that the last load report contained a limit.
	limitInReport bool
	permits       permits
	warmUp        warmUp
	// notify reports that a new limit, its end or draining must be sent to other
	// gateways.
	notify bool
	// invalidSeen holds the names of headers whose invalid values have been reported.
	invalidSeen map[string]bool
}

// State returns the state of an endpoint's incarnation, and adds it if there is none.
// startedMS is the start time of the incarnation in Unix milliseconds, or 0 if unknown.
// If it is later than that of the stored state, an empty state replaces the stored one.
// If the stored state has no start time yet, it gets startedMS and keeps its signals.
func (t *Table) State(id string, startedMS int64) *State {
	s := t.states[id]
	if s != nil && (startedMS <= s.startedMS || s.startedMS == 0) {
		s.SetStartedMS(startedMS)
		return s
	}
	s = &State{table: t, id: id, startedMS: startedMS}
	t.states[id] = s
	return s
}

// SetStartedMS sets the start time of the incarnation, in Unix milliseconds, if it is
// unknown.
func (s *State) SetStartedMS(startedMS int64) {
	if s.startedMS == 0 {
		s.startedMS = startedMS
	}
}

// Change is a change in the signals of an endpoint.
type Change struct {
	Kind Kind
	// Rate is the new limit in requests per second, for LimitSet, or the rate during the
	// warm-up, for TurnedCold.
	Rate float64
	// Remaining is the time until the endpoint is warm, for TurnedCold.
	Remaining time.Duration
	// Backoff is the remaining time of the backoff, for BackoffRequested.
	Backoff time.Duration
	// Value is the header as NAME: VALUE, for ValueInvalid.
	Value string
}

// Kind tells which signal of an endpoint a Change is about.
type Kind int

// The kinds of changes.
const (
	LimitSet Kind = iota
	LimitEnded
	DrainingStarted
	BackoffRequested
	BackoffEnded
	ValueInvalid
	TurnedCold
	WarmedUp
)

func (k Kind) String() string {
	return [...]string{"limit", "limit ended", "draining", "backoff", "backoff ended", "unreadable", "cold", "warm"}[k]
}

// Parameters of backoffs, in which an endpoint asks for no requests.
const (
	// maxBackoff bounds the backoff of one response, so that a wrong value does not
	// exclude an endpoint for the rest of its incarnation.
	maxBackoff = 10 * time.Minute
	// minBackoffChange is the least extension of a current backoff that Observe returns
	// as a Change.
	minBackoffChange = time.Second
	// probeInterval is the time between requests to an endpoint after the end of its
	// backoff, until it accepts one. This keeps waiting requests from reaching it all
	// at once.
	probeInterval = time.Second
)

// Observe applies the signal of a response and returns the changes. sent is when the
// request was sent.
func (s *State) Observe(signal Signal, sent, now time.Time) []Change {
	var out []Change
	if signal.Draining {
		out = append(out, s.MarkDraining()...)
	}
	switch {
	case signal.Backoff > 0:
		out = append(out, s.observeBackoff(min(signal.Backoff, maxBackoff), now)...)
	case s.recovering && !sent.Before(s.backoffUntil):
		s.recovering = false
		out = append(out, Change{Kind: BackoffEnded})
	}
	if !signal.Limit.Unchanged {
		out = append(out, s.observeLimit(signal.Limit, sent, now)...)
	}
	out = append(out, s.observeInvalid(signal.Invalid)...)
	if signal.Draining || signal.Backoff > 0 || signal.Limit.Set {
		s.signalAt = now
	}
	return out
}

// MarkDraining marks the endpoint as draining until the end of its incarnation, and
// schedules a notification of the other gateways. An entry of the endpoint list does
// not end the draining, since it may be older than the signal.
func (s *State) MarkDraining() []Change {
	if s.draining {
		return nil
	}
	s.draining, s.notify, s.table.anySignal = true, true, true
	return []Change{{Kind: DrainingStarted}}
}

// SetListedDraining marks the endpoint as draining because of its list entry or load
// report. It notifies no other gateway, since all gateways receive those.
func (s *State) SetListedDraining() { s.draining, s.table.anySignal = true, true }

// ObserveReport applies the signal in a load report of the endpoint's sidecar. An
// endpoint may send its limit only in responses to gateways, so a report without a
// limit ends only a limit of the previous report.
func (s *State) ObserveReport(signal Signal, now time.Time) {
	if signal.Draining {
		s.SetListedDraining()
	}
	if signal.Limit.Set || s.limitInReport {
		s.setLimit(signal.Limit, now)
	}
	s.limitInReport = signal.Limit.Set
}

// Draining reports whether the endpoint must get no new requests.
func (s *State) Draining() bool { return s.draining }

// observeBackoff applies a backoff. It never shortens the current one, since responses
// to concurrent requests arrive in any order.
func (s *State) observeBackoff(backoff time.Duration, now time.Time) []Change {
	until, before := now.Add(backoff), s.backoffUntil
	if !until.After(before) {
		return nil
	}
	s.backoffUntil, s.recovering, s.probedAt, s.table.anySignal = until, true, time.Time{}, true
	if now.Before(before) && until.Sub(before) < minBackoffChange {
		return nil
	}
	return []Change{{Kind: BackoffRequested, Backoff: backoff}}
}

// observeLimit applies the limit of a response; the zero Limit if the response has
// none. A looser limit is ignored unless its request was sent after the limit in force
// was last reported, since responses may arrive out of order.
func (s *State) observeLimit(l Limit, sent, now time.Time) []Change {
	if l == s.limit {
		s.limitAt = now
		return nil
	}
	if !l.tighter(s.limit) && !sent.After(s.limitAt) {
		return nil
	}
	s.notify = true
	return s.setLimit(l, now)
}

// setLimit sets the limit that the endpoint reported at the time at, and returns the
// change, if any.
func (s *State) setLimit(l Limit, at time.Time) []Change {
	changed := l != s.limit
	s.limit, s.limitAt = l, at
	s.table.anySignal = s.table.anySignal || l.Set
	switch {
	case !changed:
		return nil
	case !l.Set:
		s.permits = s.permits.cleared()
		return []Change{{Kind: LimitEnded}}
	default:
		return []Change{{Kind: LimitSet, Rate: l.Rate}}
	}
}

// BackingOff reports whether the endpoint's backoff has not ended yet.
func (s *State) BackingOff(now time.Time) bool { return now.Before(s.backoffUntil) }

// Closed reports whether a backoff forbids sending a request now. This is the case
// during the backoff, and after it for probeInterval after each probe request, until
// the endpoint accepts one.
func (s *State) Closed(now time.Time) bool { return s.backoffEnd(now).After(now) }

// backoffEnd returns the earliest time at which a backoff and its probe requests allow
// another request; now if they allow it at once.
func (s *State) backoffEnd(now time.Time) time.Time {
	switch {
	case s.BackingOff(now):
		return s.backoffUntil
	case s.recovering && !s.probedAt.IsZero():
		return later(s.probedAt.Add(probeInterval), now)
	default:
		return now
	}
}

// Limited reports whether a limit is in force: the endpoint's own, or that of its warm-up.
func (s *State) Limited(now time.Time) bool { return s.inForce(now).Set }

// Rate returns the limit for all gateways together, in requests per second. It is
// valid only if Limited.
func (s *State) Rate(now time.Time) float64 { return s.inForce(now).Rate }

// AvailableAt returns the earliest time at which the endpoint's backoff and limit allow
// this gateway to send a request; now if they allow it at once. It ignores draining.
func (s *State) AvailableAt(now time.Time) time.Time {
	availableAt := s.backoffEnd(now)
	if limit := s.inForce(now); limit.Set {
		availableAt = later(availableAt, s.permits.availableAt(limit.Rate, s.table.gateways, now))
	}
	return availableAt
}

// Take records that a request is sent to the endpoint. If there is a limit, it consumes
// a permit or the gateway's slot.
func (s *State) Take(now time.Time) {
	if s.recovering {
		s.probedAt = now
	}
	if limit := s.inForce(now); limit.Set {
		s.permits.take(limit.Rate, s.table.gateways, now)
	}
}

// AddDemand records that a request needs a permit of the endpoint.
func (s *State) AddDemand(now time.Time) {
	if s.Limited(now) {
		s.permits.wanted++
	}
}

// PermitRequest returns the request to send to the permit allocator; ok is false if
// there is none. It resets the number of permits wanted, which AddDemand counts. A
// request for 0 permits only reports a new limit, its end or draining, which must be
// sent to other gateways.
func (s *State) PermitRequest(now time.Time) (r PermitRequest, ok bool) {
	if !s.notify && s.permits.wanted == 0 {
		return PermitRequest{}, false
	}
	want := s.permits.request(now)
	if !s.notify && want == 0 {
		return PermitRequest{}, false
	}
	s.notify = false
	return PermitRequest{Record: s.record(now), Want: want}, true
}

// SetNoAllocator records that there is no permit allocator for the endpoint. Until the
// next grant, the gateway uses its own share of the limit.
func (s *State) SetNoAllocator(now time.Time) {
	s.permits.unansweredSince, s.permits.noAllocator = now.Add(-allocatorTimeout), true
}

// ApplyGrant merges the record of a grant and adds its permits. It returns the changes.
func (t *Table) ApplyGrant(g Grant, now time.Time) []Change {
	changes := t.Merge(g.Record, now)
	if s := t.states[g.ID]; s.startedMS == g.StartedMS {
		ttl := grantTTL
		if s.limitedByWarmUp(now) {
			ttl = coldGrantTTL
		}
		s.permits.applyGrant(g, ttl, now)
	}
	return changes
}

// Limits on the states of endpoints that are missing from the endpoint list; see Evict.
const (
	// unlistedTTL is how long the state of an endpoint is kept after the endpoint was
	// first found missing from the endpoint list. The entry of a running endpoint may
	// be missing for a shorter time.
	unlistedTTL = 10 * time.Minute
	// maxUnlisted bounds the number of states of unlisted endpoints. The states that
	// became unlisted last are kept.
	maxUnlisted = 2048
)

// active reports whether a signal of the endpoint is in force.
func (s *State) active(now time.Time) bool {
	return s.draining || s.limit.Set || s.recovering || s.warmUp.lasts(now)
}

// Evict removes states of endpoints that are not on the endpoint list: those without
// an active signal, those unlisted for more than unlistedTTL, and the oldest beyond
// maxUnlisted.
func (t *Table) Evict(listed func(id string) bool, now time.Time) {
	var kept []*State
	t.anySignal = false
	for id, s := range t.states {
		t.anySignal = t.anySignal || s.active(now)
		switch {
		case listed(id):
			s.unlistedSince = time.Time{}
			continue
		case s.unlistedSince.IsZero():
			s.unlistedSince = now
		}
		if !s.active(now) || now.Sub(s.unlistedSince) > unlistedTTL {
			delete(t.states, id)
			continue
		}
		kept = append(kept, s)
	}
	if len(kept) <= maxUnlisted {
		return
	}
	slices.SortFunc(kept, func(a, b *State) int {
		return cmp.Or(b.unlistedSince.Compare(a.unlistedSince), b.signalAt.Compare(a.signalAt), cmp.Compare(a.id, b.id))
	})
	for _, s := range kept[maxUnlisted:] {
		delete(t.states, s.id)
	}
}

// observeInvalid returns a change for each header of which no invalid value has been
// seen before. entries are those of Signal.Invalid.
func (s *State) observeInvalid(entries []string) []Change {
	var out []Change
	for _, entry := range entries {
		name := headerName(entry)
		if s.invalidSeen[name] {
			continue
		}
		if s.invalidSeen == nil {
			s.invalidSeen = make(map[string]bool, 1)
		}
		s.invalidSeen[name] = true
		out = append(out, Change{Kind: ValueInvalid, Value: entry})
	}
	return out
}
