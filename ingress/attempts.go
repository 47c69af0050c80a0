// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"time"

	"github.com/mintlift/mintlift/eventstream"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/upstream"
)

// protocol is how a kind of request is sent and its response is forwarded.
type protocol interface {
	// open makes an attempt up to the point from which it is preferred to a silent one. It
	// may run beside another attempt of the same exchange, and changes only a.
	open(a *attempt) opening
	// relay forwards a response that open returned with verdictOK, and ends the attempt.
	relay(o opening, w *watch) result
	// nextCheck returns when to check again whether the attempt is silent.
	nextCheck(a *attempt, now time.Time) time.Duration
	// silent reports whether an attempt has been silent for so long that a standby should
	// be begun. idle is the time that the exchange has waited for it.
	silent(a *attempt, opened bool, idle time.Duration, now time.Time) bool
}

// result is the result of an attempt.
type result struct {
	verdict verdict
	// reply is a complete response: of a plain request with verdictOK, or an error response
	// with verdictFailed.
	reply *reply
	// cause is why the attempt failed. unsent reports that no endpoint received it, and
	// crashed that its endpoint crashed.
	cause           string
	unsent, crashed bool
}

// opening is what an attempt has delivered so far.
type opening struct {
	result
	// Of a stream with verdictOK: the response, whose body events reads, and its first
	// event.
	response *upstream.Response
	events   *eventstream.Reader
	first    eventstream.Event
	// ended reports that the stream has ended without another event. That completes the
	// response, unless another attempt still runs.
	ended bool
}

// ending is why no further attempt of a request is made.
type ending string

const (
	endingTime          ending = "time_up"
	endingCallerLeft    ending = "caller_left"
	endingNotRepeatable ending = "not_repeatable" // may have run, and must run at most once
	endingCrashes       ending = "crashes"        // endpoints crashed under it
	endingAttempts      ending = "attempts"       // the route allows no more
	endingBudget        ending = "budget"         // the retry budget is used up
	endingNoEndpoint    ending = "no_endpoint"    // none accepted the next attempt in time
)

// runAttempts makes attempts until one succeeds or no more are allowed. It returns
// the successful reply, or the last error response of an endpoint, if any.
func (x *exchange) runAttempts(ctx context.Context, p protocol) (*reply, verdict) {
	var next *standby // continues after the last attempt; nil if none does
	charged := false  // the retry budget has been charged for the attempt
	for {
		a := next.continued()
		if a == nil {
			next = nil
			if a = x.nextAttempt(ctx); a == nil {
				x.ending = endingNoEndpoint
				return x.failure, verdictNotRun
			}
		}
		w := x.startWatch(ctx, p, a)
		o := w.open(next)
		if o.verdict == verdictOK {
			o.result = p.relay(o, w)
		}
		next = w.end()
		a.cancel(nil)
		if o.verdict == verdictOK {
			x.recordCompletion()
			return o.reply, verdictOK
		}
		x.collect(a, o.result)
		if a.grantLapsed && next.continued() == nil && !x.finished(ctx) && !clock.Now().After(x.expiresAt) {
			continue // nothing was sent, so that the next attempt is no retry
		}
		if o.unsent && charged {
			x.refundRetry()
		}
		charged = true // by the standby or by retryEnding
		if next.continued() != nil {
			continue
		}
		if x.ending = x.retryEnding(ctx, clock.Now()); x.ending != "" {
			return x.failure, o.verdict
		}
	}
}

// retryEnding returns why no further attempt may be made after a failed one. If one may, it
// charges the retry budget and returns "".
func (x *exchange) retryEnding(ctx context.Context, now time.Time) ending {
	switch {
	case x.callerLeft():
		return endingCallerLeft
	case ctx.Err() != nil, now.After(x.expiresAt):
		return endingTime
	case x.mayHaveRun && !x.route.Idempotent():
		return endingNotRepeatable
	case x.crashLimitReached():
		return endingCrashes
	case x.attempts >= max(x.route.MaxAttempts, 1):
		return endingAttempts
	case !x.takeRetry(now):
		return endingBudget
	default:
		return ""
	}
}

// nextAttempt waits for an endpoint for the next attempt, and counts the attempt. It
// returns nil if the request is refused or in quarantine.
func (x *exchange) nextAttempt(ctx context.Context) *attempt {
	if x.quarantined(clock.Now()) {
		return nil
	}
	x.server.countArrival(x, clock.Now())
	a := x.server.acquireEndpoint(ctx, x)
	if a == nil {
		return nil
	}
	x.server.countServed(x, clock.Now())
	if x.tried == nil {
		x.tried = make(map[string]bool, 2)
	}
	x.tried[a.endpoint.ID] = true
	x.attempts++
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.begin()
	return a
}

// canFailOver reports whether the route allows another attempt while the current one is
// in progress.
func (x *exchange) canFailOver() bool {
	return x.route.Idempotent() && x.attempts < max(x.route.MaxAttempts, 1)
}

// abandon ends an attempt that has delivered although it is not needed.
func (o *opening) abandon(a *attempt) {
	if o.response == nil {
		return // a plain response is complete
	}
	a.finish(fleet.Abandoned)
	o.response.Close()
	o.verdict = verdictInvalid
}

// collect applies the result of an attempt to the exchange. It must not be called while
// another goroutine owns the fields that it changes; see watch.
func (x *exchange) collect(a *attempt, o result) {
	if o.cause != "" {
		x.lastCause = o.cause
	}
	if o.unsent {
		x.attempts--
	}
	if a.grantLapsed {
		delete(x.tried, a.endpoint.ID) // the endpoint may be chosen again
	}
	if o.crashed {
		x.crashes++
	}
	if o.verdict == verdictFailed {
		x.failure = o.reply
	}
	x.mayHaveRun = x.mayHaveRun || o.verdict != verdictNotRun
}
