// SPDX-License-Identifier: Apache-2.0

package dedup

import (
	"sync"
	"time"
)

// Status is what a memory knows of a key.
type Status int

// The statuses.
const (
	// New: the key was not known; it now counts as running.
	New Status = iota
	// Running: an attempt runs or may run.
	Running
	// Done: an attempt has ended; Entry.Answer is its answer, if kept.
	Done
	// Refused: an attempt was refused a moment ago and certainly did not
	// run.
	Refused
	// Full: the memory has no room; the key certainly is not in it.
	Full
)

// Bounds of a memory.
const (
	// DefaultKeys is how many keys are remembered. With keys of 36 bytes it
	// is about 30 MB at the bound, and 300 requests a second that are not
	// repeatable at one sidecar over Window.
	DefaultKeys = 180000
	// MaxAnswer bounds a kept answer, maxAnswers all of them, in bytes.
	MaxAnswer  = 64 << 10
	maxAnswers = 16 << 20
)

// Answer is a kept answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Version     string `json:"version,omitempty"`
	Body        []byte `json:"body"`
}

// Entry is what is remembered of a key.
type Entry struct {
	Status Status
	// Holder is the attempt that the key was granted to.
	Holder string
	// Failed says that the endpoint ran the request and reported an error.
	Failed bool
	Answer *Answer
	at     time.Time
	// refused is when the key was last refused.
	refused time.Time
}

// Memory remembers keys for Window. It never forgets one earlier: when it
// is full it takes no new ones. The zero value has the default bounds; its
// lock is a leaf.
type Memory struct {
	// Keys overrides DefaultKeys.
	Keys int

	mu      sync.Mutex
	entries map[string]*Entry
	order   []aged
	bytes   int
}

type aged struct {
	key string
	at  time.Time
}

// Begin looks a key up; an unknown one becomes Running for the holder and
// New is returned. The same holder that asks again, because the answer to
// its first question was lost, is told New again.
func (m *Memory) Begin(key, holder string, now time.Time) Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	if e, ok := m.entries[key]; ok {
		if e.Status == Running && e.Holder == holder {
			return Entry{Status: New}
		}
		if e.Status != Refused || now.Sub(e.refused) < RefuseHold {
			return *e
		}
		e.Status, e.Holder = Running, holder
		return Entry{Status: New}
	}
	if !m.add(key, holder, now) {
		return Entry{Status: Full}
	}
	return Entry{Status: New}
}

// Lookup returns what is known of a key without taking it.
func (m *Memory) Lookup(key string, now time.Time) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	if e, ok := m.entries[key]; ok {
		return *e, true
	}
	return Entry{}, false
}

// Finish says that the attempt which Begin took as New has ended.
func (m *Memory) Finish(key, holder string, failed bool, a *Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	if !ok || e.Status != Running || e.Holder != holder {
		return
	}
	e.Status, e.Failed = Done, failed
	if a != nil && len(a.Body) <= MaxAnswer && m.bytes+len(a.Body) <= maxAnswers {
		e.Answer = a
		m.bytes += len(a.Body)
	}
}

// Refuse says that the attempt which Begin took as New was refused before
// anything reached the endpoint. The key stays refused for a moment.
func (m *Memory) Refuse(key, holder string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.entries[key]; ok && e.Status == Running && e.Holder == holder {
		e.Status, e.refused = Refused, now
	}
}

func (m *Memory) add(key, holder string, now time.Time) bool {
	bound := m.Keys
	if bound == 0 {
		bound = DefaultKeys
	}
	if len(m.entries) >= bound {
		return false
	}
	if m.entries == nil {
		m.entries = make(map[string]*Entry)
	}
	m.entries[key] = &Entry{Status: Running, Holder: holder, at: now}
	m.order = append(m.order, aged{key: key, at: now})
	return true
}

func (m *Memory) expire(now time.Time) {
	n := 0
	for n < len(m.order) && now.Sub(m.order[n].at) > Window {
		if e := m.entries[m.order[n].key]; e != nil {
			if e.Answer != nil {
				m.bytes -= len(e.Answer.Body)
			}
			delete(m.entries, m.order[n].key)
		}
		n++
	}
	m.order = m.order[n:]
}
