// SPDX-License-Identifier: Apache-2.0

// Package dedup makes a request that is not repeatable run at most once.
//
// Each key has one home: a sidecar, found by rendezvous over the homes that
// stand in the log. Only the home runs the request, and it remembers the
// key. Admit holds the rule for a home that has just become one: it cannot
// know what the former home ran, so it runs a key only if the key was made
// after the former home had certainly stopped, which a UUIDv7 key tells;
// otherwise it says that the matter cannot be known. docs/AT-MOST-ONCE.md
// weighs this against tickets and against claims in the log.
//
// The package does no I/O and takes time as a value.
package dedup

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/mintlift/mintlift/state"
)

// Times of the rules.
const (
	// Lease is how long a home may run keys without hearing from the log.
	Lease = 20 * time.Second
	// Skew bounds the difference between two clocks that set key times and
	// record times.
	Skew = 5 * time.Second
	// Window is how long keys are remembered. A key that is older, or of
	// unknown age within Window of a change of homes, is not run.
	Window = 10 * time.Minute
	// RefuseHold is how long a refused key stays refused, so that an attempt
	// which is still on its way cannot run after "not run" has been said.
	RefuseHold = 10 * time.Second
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

// Verdict is what a home may do with a key.
type Verdict int

// The verdicts.
const (
	// Run: the key has certainly not run anywhere else.
	Run Verdict = iota
	// NotHome: another home holds the key.
	NotHome
	// Unknowable: a former home may have run the key.
	Unknowable
	// Silent: the log has not been heard for longer than Lease, so another
	// home may have taken over.
	Silent
)

// Self is the sidecar that decides.
type Self struct {
	Box         string
	Incarnation string
	Service     string
}

// Admit decides whether self may run a key that its memory does not hold.
// contact is when the log was last heard.
func Admit(key string, self Self, s *state.State, contact, now time.Time) Verdict {
	home, ok := HomeOf(key, s.HomesOf(self.Service))
	if !ok || home.Box != self.Box || home.Incarnation != self.Incarnation {
		return NotHome
	}
	if now.Sub(contact) > Lease {
		return Silent
	}
	made, dated := KeyTime(key)
	if dated && now.Sub(made) > Window {
		return Unknowable
	}
	at, moved := lastMove(key, self, s.Changes)
	switch {
	case !moved:
		return Run
	case dated && made.After(at.Add(Lease+Skew)):
		return Run
	case !dated && now.After(at.Add(Window)):
		return Run
	default:
		return Unknowable
	}
}

// lastMove returns the time of the newest change that made self the home of
// key in the place of another: self was added, or a home that came before
// self in the key's order was removed. Older changes ask for less.
func lastMove(key string, self Self, changes []state.Change) (time.Time, bool) {
	own := weight(key, self.Box)
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
			if weight(key, h.Box) > own {
				return time.UnixMilli(c.At), true
			}
		}
	}
	return time.Time{}, false
}

// weight is the rendezvous weight of a box for a key.
func weight(key, box string) uint64 { return xxhash.Sum64String(key + "\x00" + box) }

// KeyTime returns when a key was made, if it is a UUIDv7.
func KeyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), true
}
