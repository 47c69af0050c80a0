// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Table holds the signals of endpoints, by incarnation: a new incarnation starts
// without signals. The state is kept while an endpoint is temporarily missing from the
// endpoint list.
type Table struct {
	states map[string]*State
	// gateways is the number of gateways that share a limit.
	gateways int
	// anySignal reports that signals of an endpoint may apply. Usually none do, and
	// callers need not check each endpoint.
	anySignal bool
}

// NewTable returns an empty table for one gateway.
func NewTable() *Table { return &Table{states: make(map[string]*State), gateways: 1} }

// SetGateways sets the number of gateways that share limits.
func (t *Table) SetGateways(gateways int) { t.gateways = max(gateways, 1) }

// NoSignals reports that no signal of any endpoint applies.
func (t *Table) NoSignals() bool { return !t.anySignal }

// State holds the signals of one incarnation of an endpoint.
type State struct {
	table *Table
	id    string
	// startedMS is when the incarnation started, in Unix milliseconds; 0 if unknown.
	startedMS int64
	// signalAt is when the last signal was received, and unlistedSince when the
	// endpoint was first found missing from the endpoint list, or zero.
	signalAt      time.Time
	unlistedSince time.Time
	draining      bool
	backoffUntil  time.Time
	// recovering reports that no response since the backoff has shown that the
	// endpoint accepts requests again, and probedAt when a request was last sent to
	// find out.
	recovering bool
	probedAt   time.Time
	limit      Limit
	// limitAt is when the limit or its end was last reported.
	limitAt time.Time
	// limitInReport reports that the last load report had a limit.
	limitInReport bool
	permits       permits
	// notify reports that the limit or draining must be sent to other gateways.
	notify bool
	// invalidSeen holds the headers of which an invalid value has been reported.
	invalidSeen map[string]bool
}

// State returns the state of an incarnation of an endpoint, by endpoint ID and start
// time in Unix milliseconds; 0 is unknown. A later start time replaces the state by an
// empty one.
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
	// Rate is the new limit in requests per second, for LimitSet.
	Rate float64
	// Backoff is the backoff from now on, for BackoffRequested.
	Backoff time.Duration
	// Value is the header and value, for ValueInvalid.
	Value string
}

// Kind is the kind of a Change.
type Kind int

// The kinds of changes.
const (
	LimitSet Kind = iota
	LimitEnded
	DrainingStarted
	BackoffRequested
	BackoffEnded
	ValueInvalid
)

func (k Kind) String() string {
	return [...]string{"limit", "limit ended", "draining", "backoff", "backoff ended", "unreadable"}[k]
}

const (
	// maxBackoff bounds the backoff of one response, so that a wrong value does not
	// exclude an endpoint for the rest of its incarnation.
	maxBackoff = 10 * time.Minute
	// minBackoffChange is the least extension of a backoff that is a Change.
	minBackoffChange = time.Second
	// probeInterval is the time between requests to an endpoint after its backoff
	// until it accepts one. Sent all at once, all would be rejected again.
	probeInterval = time.Second
)

// Observe applies the signal of a response to a request sent at sent, and returns the
// changes.
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

// MarkDraining marks the endpoint as draining, and other gateways to be notified.
// Draining lasts until the end of the incarnation, since entries of the endpoint list
// may be older than the signal.
func (s *State) MarkDraining() []Change {
	if s.draining {
		return nil
	}
	s.draining, s.notify, s.table.anySignal = true, true, true
	return []Change{{Kind: DrainingStarted}}
}

// SetListedDraining marks the endpoint as draining from the endpoint list, which all
// gateways read: no other gateway is notified.
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

// observeLimit applies the limit of a response, or that it has none. Responses arrive
// in any order: a looser limit counts only if its request was sent after the limit in
// force was last reported.
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

// setLimit sets the limit as reported at a time.
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

// BackingOff reports whether a backoff for this gateway is in force.
func (s *State) BackingOff(now time.Time) bool { return now.Before(s.backoffUntil) }

// Closed reports whether a request must not be sent because of a backoff: it is in
// force, or another request probes whether it has ended.
func (s *State) Closed(now time.Time) bool { return s.backoffEnd(now).After(now) }

// backoffEnd returns the earliest time at which backoffs allow a request, or now.
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

// Limited reports whether a limit is in force.
func (s *State) Limited() bool { return s.limit.Set }

// Rate returns the limit for all gateways together, in requests per second. It is
// valid only if Limited.
func (s *State) Rate() float64 { return s.limit.Rate }

// AvailableAt returns the earliest time at which this gateway may send a request to the
// endpoint, or now. It ignores draining.
func (s *State) AvailableAt(now time.Time) time.Time {
	availableAt := s.backoffEnd(now)
	if s.limit.Set {
		availableAt = later(availableAt, s.permits.availableAt(s.limit.Rate, s.table.gateways, now))
	}
	return availableAt
}

// Take records that a request is sent to the endpoint, and consumes a permit.
func (s *State) Take(now time.Time) {
	if s.recovering {
		s.probedAt = now
	}
	if s.limit.Set {
		s.permits.take(s.limit.Rate, s.table.gateways, now)
	}
}

// AddDemand records that a request needs a permit of the endpoint.
func (s *State) AddDemand() {
	if s.limit.Set {
		s.permits.wanted++
	}
}

// PermitRequest returns the request to send to the permit allocator; ok is false if
// there is none. It resets the demand.
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

// SetNoAllocator records that there is no permit allocator. Requests are then sent in
// slots until the next grant.
func (s *State) SetNoAllocator(now time.Time) {
	s.permits.unansweredSince, s.permits.noAllocator = now.Add(-allocatorTimeout), true
}

// ApplyGrant merges the record of a grant and adds its permits. It returns the changes.
func (t *Table) ApplyGrant(g Grant, now time.Time) []Change {
	changes := t.Merge(g.Record, now)
	if s := t.states[g.ID]; s.startedMS == g.StartedMS {
		s.permits.applyGrant(g, now)
	}
	return changes
}

const (
	// unlistedTTL is how long the state of an endpoint is kept that is not on the
	// endpoint list. Entries are missing for less within one incarnation.
	unlistedTTL = 10 * time.Minute
	// maxUnlisted bounds the number of those, of which the latest are kept.
	maxUnlisted = 2048
)

// active reports whether a signal of the endpoint applies.
func (s *State) active() bool {
	return s.draining || s.limit.Set || s.recovering
}

// Evict removes the state of unlisted endpoints that has no active signal or has
// expired.
func (t *Table) Evict(listed func(id string) bool, now time.Time) {
	var kept []*State
	t.anySignal = false
	for id, s := range t.states {
		t.anySignal = t.anySignal || s.active()
		switch {
		case listed(id):
			s.unlistedSince = time.Time{}
			continue
		case s.unlistedSince.IsZero():
			s.unlistedSince = now
		}
		if !s.active() || now.Sub(s.unlistedSince) > unlistedTTL {
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

// observeInvalid returns a change for the first invalid value of each header.
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
