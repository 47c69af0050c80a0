// SPDX-License-Identifier: Apache-2.0

package dedup

import (
	"sync"
	"time"
)

// Status is the state of a key in a Table.
type Status int

// Statuses of a key.
const (
	// New means that Begin granted the key to the attempt; the table now holds
	// it as Running.
	New Status = iota
	// Running means that an attempt was granted the key and may be running.
	Running
	// Done means that an attempt has finished; Entry.Response is its response,
	// if it was stored.
	Done
	// Refused means that the last attempt was refused and did not run.
	Refused
	// Full means that the table is at its capacity and does not hold the key.
	Full
)

// Bounds of a Table's size.
const (
	// DefaultCapacity is the maximum number of keys in a table by default. It
	// suffices for 300 non-idempotent requests per second at one sidecar over
	// KeyTTL.
	DefaultCapacity = 180000
	// MaxResponseBytes bounds the body of one stored response, in bytes.
	MaxResponseBytes = 64 << 10
	// maxTotalResponseBytes bounds the bodies of all stored responses together,
	// in bytes.
	maxTotalResponseBytes = 16 << 20
)

// Response is a response that a Table stores for later attempts with the key.
// Status is the HTTP status code.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Version     string `json:"version,omitempty"`
	Body        []byte `json:"body"`
}

// Entry holds what a Table stores of one key.
type Entry struct {
	Status Status
	// Attempt is the request ID of the attempt to which the key was granted
	// last. An attempt is one request of a caller with the key.
	Attempt string
	// Failed is set on a Done entry if the endpoint ran the request and
	// reported an error.
	Failed bool
	// Response is nil if the response was too large, or there was none.
	Response  *Response
	createdAt time.Time
	refusedAt time.Time // of the last refusal
}

// Table records idempotency keys for KeyTTL. It never evicts a key earlier:
// when it is full it accepts no new keys. The zero value is ready for use. It
// is safe for concurrent use; no other lock is taken while its lock is held.
type Table struct {
	// Capacity is the maximum number of keys; 0 means DefaultCapacity.
	Capacity int

	mu      sync.Mutex
	entries map[string]*Entry
	byAge   []expiryItem // oldest first

	responseBytes int // sum over the stored bodies
}

// expiryItem is a key with the time from which its TTL counts.
type expiryItem struct {
	key       string
	createdAt time.Time
}

// Begin grants the key to the attempt if the table does not hold the key, or if
// the key was refused longer ago than RefusalTTL. It then returns an entry with
// Status New. A repeated call for the same attempt returns New again, since the
// response to its first call may have been lost. In all other cases Begin grants
// nothing: it returns the stored entry, or one with Status Full.
func (t *Table) Begin(key, attempt string, now time.Time) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e, ok := t.entries[key]; ok {
		if e.Status == Running && e.Attempt == attempt {
			return Entry{Status: New}
		}
		if e.Status != Refused || now.Sub(e.refusedAt) < RefusalTTL {
			return *e
		}
		e.Status, e.Attempt = Running, attempt
		return Entry{Status: New}
	}
	if !t.add(key, attempt, now) {
		return Entry{Status: Full}
	}
	return Entry{Status: New}
}

// Lookup returns the entry of a key without granting the key.
func (t *Table) Lookup(key string, now time.Time) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e, ok := t.entries[key]; ok {
		return *e, true
	}
	return Entry{}, false
}

// Finish records that the attempt has ended, and stores its response unless that
// is nil or exceeds the size limits. It does nothing unless the key is Running
// for this attempt.
func (t *Table) Finish(key, attempt string, failed bool, response *Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok || e.Status != Running || e.Attempt != attempt {
		return
	}
	e.Status, e.Failed = Done, failed
	if response != nil && len(response.Body) <= MaxResponseBytes && t.responseBytes+len(response.Body) <= maxTotalResponseBytes {
		e.Response = response
		t.responseBytes += len(response.Body)
	}
}

// Refuse records that the attempt was refused before anything reached the
// endpoint. The key stays refused for RefusalTTL. It does nothing unless the
// key is Running for this attempt.
func (t *Table) Refuse(key, attempt string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[key]; ok && e.Status == Running && e.Attempt == attempt {
		e.Status, e.refusedAt = Refused, now
	}
}

// add records a new key as Running. It returns false if the table is full.
func (t *Table) add(key, attempt string, now time.Time) bool {
	capacity := t.Capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	if len(t.entries) >= capacity {
		return false
	}
	if t.entries == nil {
		t.entries = make(map[string]*Entry)
	}
	t.entries[key] = &Entry{Status: Running, Attempt: attempt, createdAt: now}
	t.byAge = append(t.byAge, expiryItem{key: key, createdAt: now})
	return true
}

// expire removes keys older than KeyTTL.
func (t *Table) expire(now time.Time) {
	expired := 0
	for expired < len(t.byAge) && now.Sub(t.byAge[expired].createdAt) > KeyTTL {
		if e := t.entries[t.byAge[expired].key]; e != nil {
			if e.Response != nil {
				t.responseBytes -= len(e.Response.Body)
			}
			delete(t.entries, t.byAge[expired].key)
		}
		expired++
	}
	t.byAge = t.byAge[expired:]
}
