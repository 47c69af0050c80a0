// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"time"
)

// maxTransitions bounds the transitions that are kept until they are taken.
const maxTransitions = 64

// Evidence is what a table knows of a trait.
type Evidence struct {
	ID ID `json:"identity"`
	// Depth is the position in a prompt of the part that is the trait, from 1 on, or 0 if
	// the trait is the identity of a request.
	Depth int `json:"depth"`
	// Quarantined reports that requests with the trait are rejected.
	Quarantined bool `json:"quarantined"`
	// Crashes is the number of crashes that count against the trait: those of Endpoints
	// incarnations, without correlated ones and those that other traits explain.
	Crashes   int `json:"crashes"`
	Endpoints int `json:"endpoints"`
	// Completed reports that a request with the trait has completed.
	Completed bool `json:"completed"`
	// FirstMS and LastMS are the times since the first and the last crash, in
	// milliseconds.
	FirstMS int64 `json:"first_ms"`
	LastMS  int64 `json:"last_ms"`
}

// evidence returns what is known of an entry's trait.
func (e *entry) evidence(id ID, now time.Time) Evidence {
	out := Evidence{ID: id, Depth: e.depth, Quarantined: e.quarantined, Crashes: e.unexplained, Endpoints: len(e.crashes), Completed: e.completed}
	if len(e.crashes) > 0 {
		out.FirstMS, out.LastMS = now.Sub(e.crashes[0].at).Milliseconds(), now.Sub(e.lastCrash()).Milliseconds()
	}
	return out
}

// List returns the evidence of all traits with crashes, the most urgent first.
func (t *Table) List(now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
	var ids []ID
	for id, e := range t.entries {
		if len(e.crashes) > 0 && !t.expired(e, now) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b ID) int { return compareUrgency(t.entries[a], t.entries[b]) })
	out := make([]Evidence, len(ids))
	for n, id := range ids {
		out[n] = t.entries[id].evidence(id, now)
	}
	return out
}

// TakeTransitions returns the evidence of the traits that have entered or left quarantine
// since the last call. If they are many, only the first ones are returned.
func (t *Table) TakeTransitions(now time.Time) []Evidence {
	if !t.nonEmpty.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluate(now)
	out := t.transitions
	t.transitions = nil
	return out
}

// recordTransitions records the entries whose state differs from that before. Table.mu must
// be held.
func (t *Table) recordTransitions(now time.Time) {
	for id, e := range t.entries {
		if e.quarantined != e.wasQuarantined && len(t.transitions) < maxTransitions {
			t.transitions = append(t.transitions, e.evidence(id, now))
		}
		e.wasQuarantined = e.quarantined
	}
}
