// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
)

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
		if next.continued() != nil {
			continue
		}
		if next != nil {
			x.refundRetry() // retryEnding charges again
		}
		if a.grantLapsed && !x.finished(ctx) && !clock.Now().After(x.expiresAt) {
			continue // nothing was sent, so that the next attempt is no retry
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
