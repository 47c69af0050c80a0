// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// evaluateInterval is how often traits are evaluated without a change, since their crashes
// expire.
const evaluateInterval = time.Second

// evaluate decides which traits are in quarantine, if the table has changed since that was
// last decided. Table.mu must be held.
//
// Several traits are present at each crash: those of the request that caused it, and those
// of all requests that were in progress beside it. The one that best explains the crashes is
// put in quarantine first. Its crashes then no longer count against the others.
func (t *Table) evaluate(now time.Time) {
	if !t.changed && now.Sub(t.evaluatedAt) < evaluateInterval {
		return
	}
	t.changed, t.evaluatedAt = false, now
	defer t.recordTransitions(now)
	t.candidates = t.candidates[:0]
	for id, e := range t.entries {
		e.unexplained, e.quarantined = 0, false
		if len(e.crashes) == 0 || t.expired(e, now) {
			continue
		}
		e.unexplained = e.explain(nil)
		if e.reachesThreshold() {
			t.candidates = append(t.candidates, candidate{id, e})
		}
	}
	if len(t.candidates) == 0 {
		return
	}
	heap.Init(&t.candidates)
	explained := make(map[uint32]struct{})
	for len(t.candidates) > 0 {
		best := t.candidates[0]
		if left := best.explain(explained); left != best.unexplained {
			best.unexplained = left // has been explained since it was ordered
			heap.Fix(&t.candidates, 0)
			continue
		}
		heap.Pop(&t.candidates)
		if !best.reachesThreshold() {
			continue
		}
		best.quarantined, best.held = true, true
		for _, c := range best.crashes {
			explained[c.key] = struct{}{}
		}
	}
	for _, e := range t.entries {
		if !e.quarantined && e.unexplained > 0 {
			e.unexplained = e.explain(explained)
			e.held = e.held && e.unexplained > 0
		}
	}
}

// reachesThreshold reports whether the trait is to be put, or stays, in quarantine.
func (e *entry) reachesThreshold() bool {
	return e.unexplained >= e.threshold() || e.held && !e.completed && e.unexplained > 0
}

// candidate is an entry that may be put in quarantine.
type candidate struct {
	id ID
	*entry
}

// candidates implements heap.Interface. The first one best explains the crashes.
type candidates []candidate

func (c candidates) Len() int           { return len(c) }
func (c candidates) Less(i, j int) bool { return c[i].compare(c[j]) < 0 }
func (c candidates) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *candidates) Push(x any)        { *c = append(*c, x.(candidate)) }
func (c *candidates) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// compare orders candidates, the one that best explains the crashes first: one without a
// completion before others, since a trait that crashes endpoints has none, then that with
// the most crashes, correlated ones included if there are as many others, and among those
// with the same the one that the fewest requests have.
func (c candidate) compare(other candidate) int {
	if c.completed != other.completed {
		if other.completed {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(other.unexplained, c.unexplained), cmp.Compare(len(other.crashes), len(c.crashes)), cmp.Compare(other.specificity(), c.specificity()),
		slices.Compare(c.id[:], other.id[:]))
}
