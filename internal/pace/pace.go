// SPDX-License-Identifier: Apache-2.0

// Package pace tells a full link, or a store that is away, from a part of the
// store that is silent: on the former all topics are late.
package pace

import (
	"sync"
	"time"
)

const (
	// promptAnswer is how long after its wait a call that is not late is
	// answered: a store sixty times as slow as usual takes 240 ms.
	promptAnswer = 600 * time.Millisecond
	// lateFor is how long a late answer speaks for a link that is full.
	lateFor = 3 * time.Second
)

// Pace is how promptly the topics of a store are answered. It is safe for
// concurrent use.
type Pace struct {
	mu     sync.Mutex
	topics map[string]*topicPace
}

// topicPace is how promptly one topic is answered.
type topicPace struct {
	due  map[*Call]time.Time // of calls in progress: when they begin to be late
	late time.Time           // when the last answer came late; zero if it did not
}

// Call is a call in progress.
type Call struct {
	pace  *Pace
	topic string
}

// New returns a pace without calls.
func New() *Pace { return &Pace{topics: make(map[string]*topicPace)} }

// Begin notes a call that waits at the store.
func (p *Pace) Begin(topic string, wait time.Duration, now time.Time) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.topics[topic]
	if t == nil {
		t = &topicPace{due: make(map[*Call]time.Time)}
		p.topics[topic] = t
	}
	c := &Call{pace: p, topic: topic}
	t.due[c] = now.Add(wait + promptAnswer)
	return c
}

// Answered notes that the answer has begun.
func (c *Call) Answered(now time.Time) {
	c.pace.mu.Lock()
	defer c.pace.mu.Unlock()
	t := c.pace.topics[c.topic]
	due, inProgress := t.due[c]
	if !inProgress {
		return
	}
	delete(t.due, c)
	t.late = time.Time{}
	if now.After(due) {
		t.late = now
	}
}

// End notes that the call has ended; one that had no answer by then and was
// late counts as such.
func (c *Call) End(now time.Time) {
	c.pace.mu.Lock()
	defer c.pace.mu.Unlock()
	t := c.pace.topics[c.topic]
	if due, inProgress := t.due[c]; inProgress && now.After(due) {
		t.late = now
	}
	delete(t.due, c)
}

// OthersLate reports whether a topic other than this one is late.
func (p *Pace) OthersLate(topic string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, t := range p.topics {
		if name == topic {
			continue
		}
		if now.Sub(t.late) < lateFor {
			return true
		}
		for _, due := range t.due {
			if now.After(due) {
				return true
			}
		}
	}
	return false
}
