// SPDX-License-Identifier: Apache-2.0

// Package freshness divides the time within which a change must be in force
// among the steps of its propagation from the store to a process.
//
// While the store responds, changes arrive at once by long polling. The division
// is for responses that never arrive: a call made during an outage of the store, or
// of a part of it, may stay unanswered after the outage, with its connection still
// open and no other process having newer data. The data of a process therefore has
// an age, the time since the store last confirmed it, and no step may take longer
// than that age leaves of the bound.
package freshness

import "time"

// Shares of the bound, in percent. A follower, a process that queries another one (a
// reader) instead of the store, has the same bound: it queries only until its data has
// the age StaleAfter, and then reads the store itself.
const (
	// waitShare is the timeout of a long poll at the store. Each gateway makes one
	// call in this time.
	waitShare = 45
	// hedgeShare is how long after its wait a read may stay unanswered before a
	// hedged read is made.
	hedgeShare = 30
	// responseShare is for the response to the hedged read.
	responseShare = 15
	// relayShare is for the response of a reader. A larger share makes followers
	// leave a slow reader earlier; many that then read the store at once saturate
	// the network links that the reader needs.
	relayShare = 8
	// The remaining 10 are for parsing and applying a change, and for requests in
	// flight. relayShare is part of the shares up to StaleAfter.
	percent = 100
)

// Budget is the bound for a kind of change, and its shares.
type Budget struct{ bound time.Duration }

// New returns the budget of changes that must be in force within bound after the
// store accepted them.
func New(bound time.Duration) Budget { return Budget{bound: bound} }

func (b Budget) share(of time.Duration) time.Duration { return b.bound * of / percent }

// Bound returns the whole budget.
func (b Budget) Bound() time.Duration { return b.bound }

// Wait returns the long-poll timeout of a read of the store by a process with data
// of this age. It is 0 if the data is old, as after a failed read.
func (b Budget) Wait(age time.Duration) time.Duration { return max(0, b.share(waitShare)-age) }

// Interval returns the time between reads while responses are missing. It is the
// long-poll timeout, so the rate of calls does not rise.
func (b Budget) Interval() time.Duration { return b.share(waitShare) }

// HedgeDelay returns how long after its wait a read may stay unanswered before a
// hedged read is made.
func (b Budget) HedgeDelay() time.Duration { return b.share(hedgeShare) }

// ResponseTime returns how long the store may take to respond to a read without a wait.
func (b Budget) ResponseTime() time.Duration { return b.share(responseShare) }

// RelayTimeout returns how long the response of a reader may take in addition to the
// time for which it may hold the request.
func (b Budget) RelayTimeout() time.Duration { return b.share(relayShare) }

// StaleAfter returns the age of its data at which a process reads the store itself,
// whatever calls are pending.
func (b Budget) StaleAfter() time.Duration { return b.share(waitShare + hedgeShare) }

// Hold returns how long a reader may hold the request of a follower with data of this
// age. If it is not positive, the follower must read the store itself.
func (b Budget) Hold(age time.Duration) time.Duration { return b.StaleAfter() - b.RelayTimeout() - age }

// Current reports whether data of this age is within the bound.
func (b Budget) Current(age time.Duration) bool { return age < b.bound }
