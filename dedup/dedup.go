// SPDX-License-Identifier: Apache-2.0

// Package dedup decides whether a non-idempotent request may run, so that it
// runs at most once.
//
// Each idempotency key has one home: the sidecar process that stores what is
// known of the key. It is selected by rendezvous hashing over the homes recorded
// in the event log. A request with the key runs only after the home has granted
// it; the home then stores the key in a Table.
//
// A new home does not know the keys that its predecessor granted. Admit
// therefore grants a key that the table does not hold in two cases only. If the
// key is a UUIDv7, which contains its creation time, it must have been created
// after the predecessor's lease had expired. Any other key is granted if the
// last change of its home is longer ago than KeyTTL. docs/AT-MOST-ONCE.md
// compares this design with its alternatives.
//
// The package does no I/O; callers pass the current time.
package dedup

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/mintlift/mintlift/state"
)

// Timing of grants of idempotency keys.
const (
	// Lease is how long the home of a key may grant it after its last contact with the
	// event log.
	Lease = 20 * time.Second
	// MaxClockSkew is the assumed bound on the difference between the clocks
	// that set the creation times of keys and the times of log records.
	MaxClockSkew = 5 * time.Second
	// KeyTTL is how long a Table keeps a key. A key created longer ago is not
	// granted. A key without a creation time is not granted until KeyTTL after
	// the last change of its home.
	KeyTTL = 10 * time.Minute
	// RefusalTTL is how long a key stays refused after a refused attempt. It
	// prevents a delayed attempt from running after the caller has received
	// the outcome "not run".
	RefusalTTL = 10 * time.Second
)

// HomeOf returns the home of a key, the sidecar process that stores what is known of it,
// or false when there are no homes.
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

// Verdict is the result of Admit: whether a sidecar may grant a key, and if not, why.
type Verdict int

// Verdicts of Admit.
const (
	// Run means that the request may run: no other home can have granted the
	// key.
	Run Verdict = iota
	// NotHome means that another sidecar is the home of the key.
	NotHome
	// Unknown means that a former home of the key may have granted it.
	Unknown
	// LeaseExpired means that the last contact with the event log is longer
	// ago than Lease, so the key may have another home by now.
	LeaseExpired
)

// Self identifies the sidecar that calls Admit. Service is empty for the
// sidecar of a model engine.
type Self struct {
	Box         string
	Incarnation string
	Service     string
}

// Admit decides whether self may grant a key that its Table does not hold.
// contact is the time of self's last contact with the event log.
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
// of key instead of another sidecar. Such a change added self, or removed a home
// with a higher weight for key. Older changes need not be checked, since they
// set no stricter condition. lastHomeChange returns false if there was no such
// change, or if self was among the first homes of the service.
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
