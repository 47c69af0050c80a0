// SPDX-License-Identifier: Apache-2.0

// Package pace tracks whether the topics of a store are answered in time. If one
// topic is unanswered while the others are answered in time, a part of the store
// is unresponsive; if the others are late, too, the link is saturated or the whole
// store is unavailable.
package pace

import (
	"sync"
	"time"
)

const (
	// lateThreshold is the time after the end of its wait from which an
	// unanswered call is late.
	lateThreshold = 600 * time.Millisecond
	// lateTTL is the time for which a topic counts as late after a late response.
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
	lateAt   map[*Call]time.Time // by call in flight: the time from which it is late
	lastLate time.Time           // time of the last response if it was late, else zero
}

// Call is a call to the store that a Tracker records.
type Call struct {
	tracker *Tracker
	topic   string
}

// New returns a Tracker without calls.
func New() *Tracker { return &Tracker{topics: make(map[string]*topicState)} }

// Begin records the start of a call that the store may answer after wait, as a
// long poll does. End must follow.
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
