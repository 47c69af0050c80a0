// SPDX-License-Identifier: Apache-2.0

// Package freshness owns the bound within which a change must be in force: it
// divides that bound among the steps on the way of a change from the store to
// a process.
//
// While the store answers, a change is heard at once. The division is for
// answers that never come. A call that fell into an outage, also of a part of
// the store, stays unanswered after the outage has ended; its connection
// stands, and no other process need be ahead. So what a process knows has an
// age, counted from when the store last confirmed it, and no step may take
// longer than what the age has left of the bound.
package freshness

import "time"

// Shares of the bound, in percent. A process that follows another one, which
// reads, holds the same bound: it asks only for as long as its own age has
// left before StaleAfter, and then reads the store itself.
const (
	// waitShare is how long a read waits at the store for news. It costs one call
	// a gateway in each wait.
	waitShare = 45
	// silenceShare is how long an answer may be missing beyond that until
	// another read is made beside it. A store sixty times as slow as usual
	// answers in 240 ms.
	silenceShare = 30
	// answerShare is for the answer to that read.
	answerShare = 15
	// relayShare is for the answer of a process nearby that is asked instead of
	// the store. The more it takes, the sooner followers leave a reader that is
	// late, and read the store: 80 of them that do so at once fill the links on
	// which the reader waits.
	relayShare = 8
	// What is left, 10, is for parsing and applying, and for requests that are
	// under way.
	percent = 100
)

// Budget is the bound of a kind of change, and its shares.
type Budget struct{ bound time.Duration }

// New returns the budget of changes that must be in force bound after the
// store took them.
func New(bound time.Duration) Budget { return Budget{bound: bound} }

func (b Budget) share(of time.Duration) time.Duration { return b.bound * of / percent }

// Bound is the whole budget.
func (b Budget) Bound() time.Duration { return b.bound }

// Wait is how long a read of the store may wait for news by a process whose
// knowledge has this age: not at all if it is older than usual, as after a
// read that failed.
func (b Budget) Wait(age time.Duration) time.Duration { return max(0, b.share(waitShare)-age) }

// Interval is the time between two reads while answers are missing: no more
// calls than in calm times.
func (b Budget) Interval() time.Duration { return b.share(waitShare) }

// Silence is how long an answer may be missing after its wait until another
// read is made beside it.
func (b Budget) Silence() time.Duration { return b.share(silenceShare) }

// Answer is how long the store's answer may take that is not waited for.
func (b Budget) Answer() time.Duration { return b.share(answerShare) }

// Relay is how long the answer of a process that is asked may take beyond the
// time that it was given.
func (b Budget) Relay() time.Duration { return b.share(relayShare) }

// StaleAfter is the age from which on a process reads the store itself,
// whatever else it waits for.
func (b Budget) StaleAfter() time.Duration { return b.share(waitShare + silenceShare) }

// Hold is how long a process may let another one wait whose knowledge has
// this age; not positive if that one must read the store itself.
func (b Budget) Hold(age time.Duration) time.Duration { return b.StaleAfter() - b.Relay() - age }

// Current reports whether knowledge of this age is within the bound.
func (b Budget) Current(age time.Duration) bool { return age < b.bound }
