// SPDX-License-Identifier: Apache-2.0

package slotgrant

import (
	"slices"
	"time"
)

// Parameters of the Requester.
const (
	// repeatInterval is the time after which unchanged wishes are sent again.
	repeatInterval = 100 * time.Millisecond
	// answerTimeout is the time without an answer after which the engine is used by its
	// load reports. It covers one lost message.
	answerTimeout = 150 * time.Millisecond
	// reportsTime is how long the engine is then used by its load reports.
	reportsTime = time.Second
	// maxRate limits the messages to the sidecar, per second, and maxBurst those that may
	// be sent at once.
	maxRate  = 25.0
	maxBurst = 4.0
	// dueTolerance is the difference of the times due up to which wishes count as equal.
	dueTolerance = time.Millisecond
)

// Requester holds a gateway's wishes and grants for one incarnation of an engine.
type Requester struct {
	// wanted holds the wishes of the waiting requests, and sent those that the sidecar
	// has by the messages so far; both the most urgent first.
	wanted, sent []wish
	// sentAt is when the last message was sent; zero if none was.
	sentAt time.Time
	// allowance is the number of messages that may have been sent at sentAt.
	allowance float64
	// unansweredSince is when the first wish after the last answer was sent; zero if all
	// are answered. silent is set once TakeSilent has reported the missing answer.
	unansweredSince time.Time
	silent          bool
	// grants holds the numbers of the unused grants, one for each slot, valid until
	// grantsUntil. returned holds those to return, which were granted by returnedAt.
	grants, returned        []int64
	grantsUntil, returnedAt time.Time
}

// Want replaces the wishes of the gateway's waiting requests, the most urgent first, at
// most MaxWishes.
func (r *Requester) Want(wishes []Wish, now time.Time) {
	r.wanted = r.wanted[:0]
	for _, w := range wishes[:min(len(wishes), MaxWishes)] {
		r.wanted = append(r.wanted, wish{w.Priority, now.Add(time.Duration(w.DueMS) * time.Millisecond)})
	}
}

// ByReports reports whether the engine is to be used by its load reports, because its
// sidecar has not answered in time.
func (r *Requester) ByReports(now time.Time) bool {
	if r.unansweredSince.IsZero() {
		return false
	}
	since := now.Sub(r.unansweredSince)
	return since >= answerTimeout && since < answerTimeout+reportsTime
}

// TakeSilent returns true once for each period in which ByReports returns true.
func (r *Requester) TakeSilent(now time.Time) bool {
	if r.silent || !r.ByReports(now) {
		return false
	}
	r.silent = true
	return true
}

// Message returns the message that is due, if any, and records it as sent. number is its
// Request.Number. The caller sets Slots and StartedMS.
func (r *Requester) Message(number int64, now time.Time) (Request, bool) {
	if now.Sub(r.returnedAt) >= holdTime {
		r.returned = nil // the sidecar no longer counts them
	}
	if !r.due(now) || r.allowanceAt(now) < 1 {
		return Request{}, false
	}
	r.allowance, r.sentAt = r.allowanceAt(now)-1, now
	r.sent = slices.Clone(r.wishes(now))
	message := Request{Number: number, Returned: r.returned}
	r.returned = nil
	for _, w := range r.sent {
		message.Wishes = append(message.Wishes, Wish{w.priority, w.due.Sub(now).Milliseconds()})
	}
	if len(r.sent) > 0 && (r.unansweredSince.IsZero() || now.Sub(r.unansweredSince) >= answerTimeout+reportsTime) {
		r.unansweredSince, r.silent = now, false
	}
	return message, true
}

// wishes returns the wishes that the sidecar should have.
func (r *Requester) wishes(now time.Time) []wish {
	if r.ByReports(now) {
		return nil
	}
	return r.wanted
}

// due reports whether a message should be sent, regardless of maxRate.
func (r *Requester) due(now time.Time) bool {
	wishes := r.wishes(now)
	return len(r.returned) > 0 || !slices.EqualFunc(wishes, r.sent, equalWishes) || len(wishes) > 0 && now.Sub(r.sentAt) >= repeatInterval
}

// equalWishes reports whether two wishes are equal but for the rounding of times.
func equalWishes(a, b wish) bool {
	return a.priority == b.priority && a.due.Sub(b.due).Abs() <= dueTolerance
}

// allowanceAt returns the number of messages that may be sent now.
func (r *Requester) allowanceAt(now time.Time) float64 {
	if r.sentAt.IsZero() {
		return maxBurst
	}
	return min(maxBurst, r.allowance+maxRate*now.Sub(r.sentAt).Seconds())
}

// NextAt returns when Message or ByReports may next have another result although nothing
// has happened until then. It is zero if there is no such time.
func (r *Requester) NextAt(now time.Time) time.Time {
	var next time.Time
	switch allowance := r.allowanceAt(now); {
	case r.due(now) && allowance >= 1:
		return now
	case r.due(now):
		// The time is rounded up: if it was rounded to now, the caller would find no
		// message due, and ask again at once.
		next = now.Add(time.Duration((1-allowance)/maxRate*float64(time.Second)) + time.Microsecond)
	case len(r.wishes(now)) > 0:
		next = r.sentAt.Add(repeatInterval)
	default:
		return time.Time{}
	}
	if silentAt := r.unansweredSince.Add(answerTimeout); silentAt.After(now) && silentAt.Before(next) {
		next = silentAt
	}
	return next
}

// Idle reports whether the sidecar has no wishes of this gateway and nothing is to be
// sent to it.
func (r *Requester) Idle() bool {
	return len(r.wanted) == 0 && len(r.sent) == 0 && len(r.returned) == 0
}

// Apply records a grant. It is ignored if this gateway has sent no wish: the grant is then
// meant for an earlier incarnation of the engine.
func (r *Requester) Apply(g Grant, now time.Time) {
	if r.sentAt.IsZero() {
		return
	}
	if !r.ByReports(now) {
		r.unansweredSince = time.Time{}
	}
	if !now.Before(r.grantsUntil) {
		r.grants = nil
	}
	slots := min(max(g.Slots, 0), MaxWishes)
	for range slots {
		r.grants = append(r.grants, g.Number)
	}
	if slots > 0 {
		r.grantsUntil = now.Add(Validity)
	}
	r.sent = slices.Clone(r.sent[min(slots, len(r.sent)):]) // as the ledger does
}

// Granted reports whether an unused grant is valid.
func (r *Requester) Granted(now time.Time) bool {
	return len(r.grants) > 0 && now.Before(r.grantsUntil)
}

// Take uses a grant, if one is valid, and reports whether it did.
func (r *Requester) Take(now time.Time) bool {
	if !r.Granted(now) {
		return false
	}
	r.grants = r.grants[1:]
	return true
}

// ReturnUnused makes the next message return the unused grants.
func (r *Requester) ReturnUnused() {
	if len(r.grants) == 0 {
		return
	}
	r.returned = append(r.returned, r.grants...)
	r.returned = r.returned[max(0, len(r.returned)-maxReturned):]
	r.returnedAt = r.grantsUntil.Add(-Validity)
	r.grants = nil
}

// maxReturned bounds the slots returned in one message.
const maxReturned = 2 * MaxWishes
