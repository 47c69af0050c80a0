// SPDX-License-Identifier: Apache-2.0

// Package pace tracks which topics of a store respond late. If only one topic is late,
// a part of the store is unresponsive. If other topics are late, too, the link is
// saturated or the whole store is unavailable.
package pace

import (
	"sync"
	"time"
)

const (
	// lateThreshold is how long a call may stay unanswered, beyond the wait given to
	// Begin, before it is late. A store that is only slow responds sooner.
	lateThreshold = 600 * time.Millisecond
	// lateTTL is how long a topic counts as late after a late response.
	lateTTL = 3 * time.Second
)

// Tracker records which topics of a store are answered late. It is safe for
// concurrent use. Use New.
type Tracker struct {
	mu     sync.Mutex
	topics map[string]*topicState
}

// topicState holds the calls in flight and the last late response of one topic.
type topicState struct {
	lateAt   map[*Call]time.Time // calls in flight, with the time from which each is late
	lastLate time.Time           // time of the last response if it was late, else zero
}

// Call is a call to the store that a Tracker records.
type Call struct {
	tracker *Tracker
	topic   string
}

// New returns a Tracker without calls.
func New() *Tracker { return &Tracker{topics: make(map[string]*topicState)} }

// Begin records the start of a call for a topic. wait is how long the store may hold
// the call before it responds, for example in a long poll. The caller must call End.
func (p *Tracker) Begin(topic string, wait time.Duration, now time.Time) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.topics[topic]
	if t == nil {
		t = &topicState{lateAt: make(map[*Call]time.Time)}
		p.topics[topic] = t
	}
	c := &Call{tracker: p, topic: topic}
	t.lateAt[c] = now.Add(wait + lateThreshold)
	return c
}

// Responded records that the first byte of the response has arrived at now.
func (c *Call) Responded(now time.Time) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	t := c.tracker.topics[c.topic]
	lateAt, inFlight := t.lateAt[c]
	if !inFlight {
		return
	}
	delete(t.lateAt, c)
	t.lastLate = time.Time{}
	if now.After(lateAt) {
		t.lastLate = now
	}
}

// End records the end of the call. A call that ends unanswered after it has become
// late counts as a late response.
func (c *Call) End(now time.Time) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	t := c.tracker.topics[c.topic]
	if lateAt, inFlight := t.lateAt[c]; inFlight && now.After(lateAt) {
		t.lastLate = now
	}
	delete(t.lateAt, c)
}

// OthersLate reports whether a topic other than the given one is late: it has a
// late call in flight, or had a late response within lateTTL.
func (p *Tracker) OthersLate(topic string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, t := range p.topics {
		if name == topic {
			continue
		}
		if now.Sub(t.lastLate) < lateTTL {
			return true
		}
		for _, lateAt := range t.lateAt {
			if now.After(lateAt) {
				return true
			}
		}
	}
	return false
}
