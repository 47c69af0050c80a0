// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Table is what endpoints have said, by life: an endpoint that begins anew has
// said nothing. It outlasts an endpoint's entry in the list, which may go and come
// back within a life.
type Table struct {
	states map[string]*State
	// gateways is how many share a limit.
	gateways int
	// signalled says that an endpoint may have said something that holds; most of the
	// time none has, and nothing need be asked of each.
	signalled bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{states: make(map[string]*State), gateways: 1} }

// Share says how many gateways share limits.
func (t *Table) Share(gateways int) { t.gateways = max(gateways, 1) }

// Quiet reports that no endpoint has said anything that holds.
func (t *Table) Quiet() bool { return !t.signalled }

// State is what one life of an endpoint has said.
type State struct {
	table *Table
	id    string
	// born is when the life began, in Unix milliseconds; 0 while that is not known.
	born int64
	// heardAt is when anything of this was last said, and unlisted since when the
	// endpoint is known not to be on the list, or zero.
	heardAt     time.Time
	unlisted    time.Time
	draining    bool
	backoffTill time.Time
	// returning says that no answer has shown yet that the endpoint takes requests
	// again after a backoff, and triedAt when one was sent last to find out.
	returning bool
	triedAt   time.Time
	limit     Limit
	// limitAt is when the limit, or its end, was last heard.
	limitAt time.Time
	// limitReported says that the last report named the limit.
	limitReported bool
	permits       permits
	// tell says that other gateways are to observe of the limit, or of draining.
	tell bool
	// unreadable are the fields of which an unreadable value has been told.
	unreadable map[string]bool
}

// Of returns the state of a life of an endpoint, by id and birth; a birth of 0 is
// not known. A later life begins at nothing.
func (t *Table) Of(id string, born int64) *State {
	s := t.states[id]
	if s != nil && (born <= s.born || s.born == 0) {
		s.Learn(born)
		return s
	}
	s = &State{table: t, id: id, born: born}
	t.states[id] = s
	return s
}

// Learn takes the birth of a life of which it was not known.
func (s *State) Learn(born int64) {
	if s.born == 0 {
		s.born = born
	}
}

// Change is news of what an endpoint said.
type Change struct {
	Kind Kind
	// Rate is that of a Limit that was named.
	Rate float64
	// Backoff is how long the endpoint backoffs from now on.
	Backoff time.Duration
	// Value is what cannot be read.
	Value string
}

// Kind is what a Change is about.
type Kind int

// The kinds of changes.
const (
	LimitNamed Kind = iota
	LimitEnded
	DrainingSeen
	BackoffAsked
	BackoffEnded
	ValueUnreadable
)

func (k Kind) String() string {
	return [...]string{"limit", "limit ended", "draining", "backoff", "backoff ended", "unreadable"}[k]
}

const (
	// maxBackoff bounds how long an endpoint can keep a gateway away with one answer:
	// a mistaken value must not cost it for the remainder of its life.
	maxBackoff = 10 * time.Minute
	// backoffStep is the least by which a backoff grows that is told as a change.
	backoffStep = time.Second
	// tryEvery is how often a request is sent to an endpoint after its backoff until
	// it takes one: sent all at once, they would all be turned away again.
	tryEvery = time.Second
)

// Observe takes what an answer says; sent is when its request was sent. It returns
// what has changed.
func (s *State) Observe(w Signal, sent, now time.Time) []Change {
	var out []Change
	if w.Draining {
		out = append(out, s.Drain()...)
	}
	switch {
	case w.Backoff > 0:
		out = append(out, s.observeBackoff(min(w.Backoff, maxBackoff), now)...)
	case s.returning && !sent.Before(s.backoffTill):
		s.returning = false
		out = append(out, Change{Kind: BackoffEnded})
	}
	if !w.Limit.Kept {
		out = append(out, s.observeLimit(w.Limit, sent, now)...)
	}
	out = append(out, s.observeUnreadable(w.Unreadable)...)
	if w.Draining || w.Backoff > 0 || w.Limit.Named {
		s.heardAt = now
	}
	return out
}

// Drain takes the signal that the endpoint drains. Nothing takes it back within a life:
// a list may be older than that.
func (s *State) Drain() []Change {
	if s.draining {
		return nil
	}
	s.draining, s.tell, s.table.signalled = true, true, true
	return []Change{{Kind: DrainingSeen}}
}

// ListedDraining takes that signal of the list, which all gateways read.
func (s *State) ListedDraining() { s.draining, s.table.signalled = true, true }

// ObserveReport takes what the endpoint says to the sidecar beside it. Where it says
// nothing there it may yet say it in answers to gateways: only a limit that was named
// there ends there.
func (s *State) ObserveReport(w Signal, now time.Time) {
	if w.Draining {
		s.ListedDraining()
	}
	if w.Limit.Named || s.limitReported {
		s.setLimit(w.Limit, now)
	}
	s.limitReported = w.Limit.Named
}

// Draining reports whether the endpoint gets no new requests any more.
func (s *State) Draining() bool { return s.draining }

// observeBackoff takes a backoff. What was asked before is not shortened: of answers to
// several requests in flight, any may come last.
func (s *State) observeBackoff(backoff time.Duration, now time.Time) []Change {
	till, before := now.Add(backoff), s.backoffTill
	if !till.After(before) {
		return nil
	}
	s.backoffTill, s.returning, s.triedAt, s.table.signalled = till, true, time.Time{}, true
	if now.Before(before) && till.Sub(before) < backoffStep {
		return nil
	}
	return []Change{{Kind: BackoffAsked, Backoff: backoff}}
}

// observeLimit takes a limit, or that none is named. Answers overtake each other: one
// that allows more counts only if its request was sent after the limit in force was
// last heard.
func (s *State) observeLimit(l Limit, sent, now time.Time) []Change {
	if l == s.limit {
		s.limitAt = now
		return nil
	}
	if !l.tighter(s.limit) && !sent.After(s.limitAt) {
		return nil
	}
	s.tell = true
	return s.setLimit(l, now)
}

// setLimit takes another limit, as heard at a time.
func (s *State) setLimit(l Limit, at time.Time) []Change {
	changed := l != s.limit
	s.limit, s.limitAt = l, at
	s.table.signalled = s.table.signalled || l.Named
	switch {
	case !changed:
		return nil
	case !l.Named:
		s.permits = s.permits.cleared()
		return []Change{{Kind: LimitEnded}}
	default:
		return []Change{{Kind: LimitNamed, Rate: l.Rate}}
	}
}

// BackingOff reports whether the endpoint wants nothing from this gateway now.
func (s *State) BackingOff(now time.Time) bool { return now.Before(s.backoffTill) }

// Closed reports whether the endpoint is left alone because of a backoff: it lasts, or
// another request tries whether it has ended.
func (s *State) Closed(now time.Time) bool { return s.backoffFrom(now).After(now) }

// backoffFrom returns when the endpoint may get a request as far as backoffs go.
func (s *State) backoffFrom(now time.Time) time.Time {
	switch {
	case s.BackingOff(now):
		return s.backoffTill
	case s.returning && !s.triedAt.IsZero():
		return later(s.triedAt.Add(tryEvery), now)
	default:
		return now
	}
}

// Limited reports whether the endpoint has named a limit that is in force.
func (s *State) Limited() bool { return s.limit.Named }

// Rate is the limit, in requests a second of all gateways.
func (s *State) Rate() float64 { return s.limit.Rate }

// From returns when the endpoint may get a request of this gateway at the earliest:
// now, if it may.
func (s *State) From(now time.Time) time.Time {
	from := s.backoffFrom(now)
	if s.limit.Named {
		from = later(from, s.permits.from(s.limit.Rate, s.table.gateways, now))
	}
	return from
}

// Take notes that a request is sent to the endpoint.
func (s *State) Take(now time.Time) {
	if s.returning {
		s.triedAt = now
	}
	if s.limit.Named {
		s.permits.take(s.limit.Rate, s.table.gateways, now)
	}
}

// Want notes that a request would be sent to the endpoint if it had a permit.
func (s *State) Want() {
	if s.limit.Named {
		s.permits.wanted++
	}
}

// Ask returns what is to be asked of the process that deals permits out, or told
// it; ok is false if there is nothing. What was wanted is forgotten.
func (s *State) Ask(now time.Time) (a Ask, ok bool) {
	if !s.tell && s.permits.wanted == 0 {
		return Ask{}, false
	}
	want := s.permits.ask(now)
	if !s.tell && want == 0 {
		return Ask{}, false
	}
	s.tell = false
	return Ask{Record: s.record(now), Want: want}, true
}

// Alone notes that there is nobody to deal permits out.
func (s *State) Alone(now time.Time) {
	s.permits.unanswered, s.permits.undealt = now.Add(-askPatience), true
}

// Granted takes the answer to an Ask; it returns what has changed.
func (t *Table) Granted(g Grant, now time.Time) []Change {
	changes := t.Merge(g.Record, now)
	if s := t.states[g.ID]; s.born == g.Born {
		s.permits.grant(g, now)
	}
	return changes
}

const (
	// keptFor is how long it is remembered what an endpoint said that is not on
	// the list: longer than entries are missing within a life.
	keptFor = 10 * time.Minute
	// maxKept bounds how many of those are remembered, the last to speak.
	maxKept = 2048
)

// matters reports whether the endpoint has said anything that still holds.
func (s *State) matters() bool {
	return s.draining || s.limit.Named || s.returning
}

// Forget drops what cannot matter any more of endpoints that are not on the list.
func (t *Table) Forget(listed func(id string) bool, now time.Time) {
	var kept []*State
	t.signalled = false
	for id, s := range t.states {
		t.signalled = t.signalled || s.matters()
		switch {
		case listed(id):
			s.unlisted = time.Time{}
			continue
		case s.unlisted.IsZero():
			s.unlisted = now
		}
		if !s.matters() || now.Sub(s.unlisted) > keptFor {
			delete(t.states, id)
			continue
		}
		kept = append(kept, s)
	}
	if len(kept) <= maxKept {
		return
	}
	slices.SortFunc(kept, func(a, b *State) int {
		return cmp.Or(b.unlisted.Compare(a.unlisted), b.heardAt.Compare(a.heardAt), cmp.Compare(a.id, b.id))
	})
	for _, s := range kept[maxKept:] {
		delete(t.states, s.id)
	}
}

// observeUnreadable returns the first unreadable values of a life, of each kind one.
func (s *State) observeUnreadable(values []string) []Change {
	var out []Change
	for _, value := range values {
		name := fieldOf(value)
		if s.unreadable[name] {
			continue
		}
		if s.unreadable == nil {
			s.unreadable = make(map[string]bool, 1)
		}
		s.unreadable[name] = true
		out = append(out, Change{Kind: ValueUnreadable, Value: value})
	}
	return out
}
