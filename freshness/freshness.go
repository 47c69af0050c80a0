// SPDX-License-Identifier: Apache-2.0

// Package freshness limits how long each step in the propagation of a change from the
// store to a process may take, so that the change is in force within a bound.
//
// While the store responds, changes arrive at once by long polling. The limits matter
// if responses are lost: a call made during an outage of the store may stay unanswered
// after the outage, although its connection is still open. A process therefore tracks
// the age of its data, which is the time since the store last confirmed the data. A
// step may take at most the part of the bound that remains at this age.
package freshness

import "time"

// Shares of the bound, in percent. A reader is a process that reads the store; a
// follower is a process that queries a reader instead. A follower has the same bound:
// when its data reaches the age StaleAfter, it reads the store itself.
//
// waitShare, hedgeShare and responseShare apply one after the other. The rest of the
// bound is for requests in flight and for parsing and applying a change.
const (
	// waitShare is the timeout of a long poll at the store. A shorter one costs more
	// calls: while nothing changes, a reader makes one call in each such time.
	waitShare = 45
	// hedgeShare is the time from the end of a long poll's timeout to the hedged read,
	// a second read made if the first is still unanswered. A store that is only slow
	// responds within it, and so gets no second read in addition.
	hedgeShare = 30
	// responseShare is the time for the response to the hedged read.
	responseShare = 15
	// relayShare is the time for the response of a reader to a follower. It is part of
	// waitShare and hedgeShare. The larger it is, the earlier followers give up a slow
	// reader and load the store themselves. If many do so at once, they saturate the
	// links on which the reader waits for its own response.
	relayShare = 8
	percent    = 100
)

// Budget is the time within which a change must be in force after the store accepted
// it. Its methods return the parts of this time that single steps may take.
type Budget struct{ bound time.Duration }

// New returns the budget of changes that must be in force within bound after the
// store accepted them.
func New(bound time.Duration) Budget { return Budget{bound: bound} }

// share returns a share of the bound, given in percent.
func (b Budget) share(of time.Duration) time.Duration { return b.bound * of / percent }

// Bound returns the whole budget.
func (b Budget) Bound() time.Duration { return b.bound }

// Wait returns the long-poll timeout of a read of the store by a process with data
// of this age. It is 0 if the data is so old, such as after a failed read, that the
// store must respond at once.
func (b Budget) Wait(age time.Duration) time.Duration { return max(0, b.share(waitShare)-age) }

// Interval returns the time between reads while the store does not respond. It is the
// same as the long-poll timeout, so that the rate of reads does not rise.
func (b Budget) Interval() time.Duration { return b.share(waitShare) }

// HedgeDelay returns how long after its long-poll timeout a read may stay unanswered
// before a hedged read, a second read of the same data, is made.
func (b Budget) HedgeDelay() time.Duration { return b.share(hedgeShare) }

// ResponseTime returns how long the store may take to respond to a read that is not a
// long poll.
func (b Budget) ResponseTime() time.Duration { return b.share(responseShare) }

// RelayTimeout returns how long a reader's response to a follower may take in addition
// to Hold.
func (b Budget) RelayTimeout() time.Duration { return b.share(relayShare) }

// StaleAfter returns the age of its data at which a process reads the store itself,
// even if a call to a reader or the store is still pending.
func (b Budget) StaleAfter() time.Duration { return b.share(waitShare + hedgeShare) }

// Hold returns how long a reader may wait for a change before it responds to a follower
// with data of this age. If it is not positive, the follower must read the store itself.
func (b Budget) Hold(age time.Duration) time.Duration { return b.StaleAfter() - b.RelayTimeout() - age }

// Current reports whether data of this age is within the bound.
func (b Budget) Current(age time.Duration) bool { return age < b.bound }
