// SPDX-License-Identifier: Apache-2.0

// Package dedup decides whether a non-idempotent request may run, so that it
// runs at most once.
//
// Each idempotency key has one home: a sidecar, selected by rendezvous hashing
// over the homes recorded in the event log. Only the home grants the request,
// and it stores the key in a Table. A new home has no record of the keys that
// its predecessor ran. Admit therefore grants a key that the table does not
// hold only if the key was created after the predecessor's lease had expired,
// as shown by the time in a UUIDv7 key, or if the key has no creation time and
// the change of homes is longer ago than KeyTTL. docs/AT-MOST-ONCE.md compares
// this design with its alternatives.
//
// The package does no I/O; callers pass the current time.
package dedup

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/mintlift/mintlift/state"
)

const (
	// Lease is how long a home may grant keys after its last contact with the
	// event log.
	Lease = 20 * time.Second
	// MaxClockSkew bounds the difference between the clocks that set creation
	// times of keys and times of log records.
	MaxClockSkew = 5 * time.Second
	// KeyTTL is how long a Table keeps a key. A key that is older is not
	// granted, nor is a key without a creation time within KeyTTL of a change
	// of its home.
	KeyTTL = 10 * time.Minute
	// RefusalTTL is how long a key stays refused after a refused attempt, so
	// that a delayed attempt cannot run after "not run" was reported.
	RefusalTTL = 10 * time.Second
)

// HomeOf returns the home of a key, or false when there are no homes.
func HomeOf(key string, homes []state.Home) (state.Home, bool) {
	var best state.Home
	var bestWeight uint64
	for i, h := range homes {
		w := weight(key, h.Box)
		if i == 0 || w > bestWeight {
			best, bestWeight = h, w
		}
	}
	return best, len(homes) > 0
}

// Verdict is the result of Admit.
type Verdict int

const (
	// Run means that no other home can have run the key.
	Run Verdict = iota
	// NotHome means that another sidecar is the home of the key.
	NotHome
	// Unknown means that a former home may have run the key.
	Unknown
	// LeaseExpired means that the last contact with the event log is longer
	// ago than Lease, so another home may have been assigned.
	LeaseExpired
)

// Self identifies the sidecar that calls Admit. Service is empty for the
// sidecar of a model engine.
type Self struct {
	Box         string
	Incarnation string
	Service     string
}

// Admit decides whether self may run a key that its Table does not hold.
// contact is the time of the last contact with the event log.
func Admit(key string, self Self, s *state.State, contact, now time.Time) Verdict {
	home, ok := HomeOf(key, s.HomesOf(self.Service))
	if !ok || home.Box != self.Box || home.Incarnation != self.Incarnation {
		return NotHome
	}
	if now.Sub(contact) > Lease {
		return LeaseExpired
	}
	created, hasTime := KeyTime(key)
	if hasTime && now.Sub(created) > KeyTTL {
		return Unknown
	}
	changedAt, changed := lastHomeChange(key, self, s.HomeChanges)
	switch {
	case !changed:
		return Run
	case hasTime && created.After(changedAt.Add(Lease+MaxClockSkew)):
		return Run
	case !hasTime && now.After(changedAt.Add(KeyTTL)):
		return Run
	default:
		return Unknown
	}
}

// lastHomeChange returns the time of the newest change that made self the home
// of key instead of another sidecar: self was added, or a home with a higher
// weight for key was removed. Older changes set no stricter condition. It
// returns false if there was no such change, or if self was among the first
// homes of the service.
func lastHomeChange(key string, self Self, changes []state.HomeChange) (time.Time, bool) {
	ownWeight := weight(key, self.Box)
	for i := len(changes) - 1; i >= 0; i-- {
		c := changes[i]
		if c.Service != self.Service {
			continue
		}
		for _, h := range c.Added {
			if h.Box == self.Box && h.Incarnation == self.Incarnation {
				return time.UnixMilli(c.At), !c.First
			}
		}
		for _, h := range c.Removed {
			if weight(key, h.Box) > ownWeight {
				return time.UnixMilli(c.At), true
			}
		}
	}
	return time.Time{}, false
}

// weight returns the rendezvous weight of a box for a key.
func weight(key, box string) uint64 { return xxhash.Sum64String(key + "\x00" + box) }

// KeyTime returns the creation time of a UUIDv7 key, or false for any other
// key.
func KeyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), true
}
