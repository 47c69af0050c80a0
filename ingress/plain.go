// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/upstream"
)

// maxResponseBytes limits the body of a plain response, which is buffered until it
// is complete.
const maxResponseBytes = 8 << 20

// errStalled is the cause with which an attempt is canceled if its endpoint has sent
// nothing for too long.
const errStalled = errors.ConstError("the endpoint has fallen silent")

// attemptTimeShare is the share of the request's remaining time that an attempt may
// take if it can be retried. The rest is left for the retry.
const attemptTimeShare = 0.5

// errResponseTooLarge is the error for a response body longer than maxResponseBytes.
const errResponseTooLarge = errors.ConstError("the answer is too large")

// reply is a complete response of an endpoint.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// servePlain serves a request that gets a single response. The response is buffered
// until complete, so that a truncated one never reaches the caller and the request
// can be retried if the route allows it.
func (x *exchange) servePlain(ctx context.Context) {
	x.countRequest()
	response, v := x.runAttempts(ctx, x.attemptPlain)
	switch {
	case v == verdictOK:
		x.sendReply(response, outcomeAnswered)
	case response != nil && !x.callerLeft():
		x.sendReply(response, outcomeFailed)
	default:
		x.respondUnanswered(ctx)
	}
}

// runAttempts makes attempts until one succeeds or no more are allowed. It returns
// the successful reply, or the last error response of an endpoint, if any.
func (x *exchange) runAttempts(ctx context.Context, attempt func(context.Context, *attempt) (*reply, verdict)) (*reply, verdict) {
	var failure *reply
	for {
		a := x.nextAttempt(ctx)
		if a == nil {
			return failure, verdictNotRun
		}
		response, v := attempt(ctx, a)
		if v == verdictOK {
			x.recordCompletion()
			return response, verdictOK
		}
		if v == verdictFailed {
			failure = response
		}
		x.mayHaveRun = x.mayHaveRun || v != verdictNotRun
		if a.grantLapsed {
			delete(x.tried, a.endpoint.ID) // the endpoint may be chosen again
		}
		if a.grantLapsed && !x.finished(ctx) && !clock.Now().After(x.expiresAt) {
			continue // nothing was sent, so that the next attempt is no retry
		}
		if x.mayHaveRun && !x.route.Idempotent() || x.finished(ctx) || x.crashLimitReached() || !x.mayRetry(clock.Now()) {
			return failure, v
		}
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
	a.begin()
	return a
}

// canFailOver reports whether the route allows canceling the current attempt and
// retrying it at another endpoint.
func (x *exchange) canFailOver() bool {
	return x.route.Idempotent() && x.attempts < max(x.route.MaxAttempts, 1)
}

// attemptCanceler cancels an attempt that takes too long, if the retry budget allows
// another attempt.
type attemptCanceler struct {
	exchange *exchange
	cancel   context.CancelCauseFunc
	mu       sync.Mutex // guards ended
	ended    bool
}

// withCanceler returns a context for an attempt, and the canceler of that context. The
// caller must call end when the attempt has ended.
func (x *exchange) withCanceler(ctx context.Context) (context.Context, *attemptCanceler) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &attemptCanceler{exchange: x, cancel: cancel}
}

// cancelForRetry cancels the attempt with errStalled if the retry budget allows another
// attempt. It returns true if the attempt has been canceled or had already ended.
func (b *attemptCanceler) cancelForRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return true
	}
	if !b.exchange.reserveRetry(now) {
		return false
	}
	b.ended = true
	b.cancel(errStalled)
	return true
}

// end records that the attempt has ended and cancels its context.
func (b *attemptCanceler) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.cancel(nil)
}

// withAttemptTimeout returns a context for an attempt. If the attempt can be retried at
// another endpoint, the context limits it to attemptTimeShare of the request's remaining
// time.
func (x *exchange) withAttemptTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, b := x.withCanceler(ctx)
	if !x.canFailOver() {
		return ctx, b.end
	}
	now := clock.Now()
	limit := now.Add(time.Duration(attemptTimeShare * float64(x.expiresAt.Sub(now))))
	timer := clock.AfterFunc(limit, func() { b.cancelForRetry(clock.Now()) })
	return ctx, func() {
		timer.Stop()
		b.end()
	}
}

// stalled ends the attempt, which was canceled with errStalled. It closes the idle
// connections to the endpoint, which may be stalled as well.
func (a *attempt) stalled() verdict {
	x, e := a.exchange, a.endpoint
	x.lastCause = errStalled.Error()
	x.server.pool.CloseIdle(e.Address)
	a.finish(fleet.Broken)
	x.server.log.Info("attempt stalled", "request", x.id, "attempt", a.number, "endpoint", e.ID, "begun", a.gotBytes, "ms", clock.Since(a.sentAt).Milliseconds())
	return verdictInvalid
}

// attemptPlain sends the request to the endpoint and reads the complete response.
func (x *exchange) attemptPlain(ctx context.Context, a *attempt) (*reply, verdict) {
	ctx, cancel := x.withAttemptTimeout(ctx)
	defer cancel()
	response, err := a.send(ctx, "")
	if err != nil {
		return nil, a.failed(ctx, err)
	}
	defer response.Close()
	a.recordSignals(response)
	v := x.classify(response)
	if v == verdictNotRun || v == verdictInvalid {
		a.discard(response, v)
		return nil, v
	}
	body, err := readResponseBody(response)
	if errors.Is(context.Cause(ctx), errStalled) {
		return nil, a.stalled()
	}
	if err != nil {
		x.lastCause = "answer broke off: " + err.Error()
		x.server.log.Info("response incomplete", "request", x.id, "attempt", a.number, "endpoint", a.endpoint.ID, "error", err.Error())
		if ctx.Err() != nil {
			a.finish(fleet.Abandoned)
		} else {
			a.checkCrash(ctx, err)
			a.finish(fleet.Failed)
		}
		return nil, verdictInvalid
	}
	response.MarkBodyRead()
	if v == verdictOK {
		a.finish(fleet.Responded)
	} else {
		x.lastCause = "endpoint failed"
		a.finish(fleet.Failed)
	}
	return &reply{status: response.Status, header: response.Header, body: body}, v
}

// discard ends an attempt whose response is not forwarded, because the endpoint
// did not run the request or the response is invalid.
func (a *attempt) discard(response *upstream.Response, v verdict) {
	x, e := a.exchange, a.endpoint
	if v == verdictNotRun {
		x.lastCause = "endpoint refused"
		x.server.log.Info("attempt refused", "request", x.id, "attempt", a.number, "endpoint", e.ID, "status", response.Status)
		x.drainBody(response)
		a.finish(rejectionResult(response.Status))
		return
	}
	x.lastCause = "answer without seal"
	x.server.log.Info("response invalid", "request", x.id, "attempt", a.number, "endpoint", e.ID, "status", response.Status)
	a.finish(fleet.Failed)
}

// rejectionResult returns the fleet.Result for an endpoint that did not run a request
// and responded with status.
func rejectionResult(status int) fleet.Result {
	if status == http.StatusMisdirectedRequest {
		return fleet.Misdirected
	}
	return fleet.Rejected
}

// failed ends an attempt that got no response.
func (a *attempt) failed(ctx context.Context, err error) verdict {
	x, e := a.exchange, a.endpoint
	if errors.Is(context.Cause(ctx), errStalled) {
		return a.stalled()
	}
	x.lastCause = err.Error()
	var failure *upstream.Error
	sent := !errors.As(err, &failure) || failure.Sent
	switch {
	case ctx.Err() != nil, errors.Is(err, upstream.ErrWithheld):
		a.finish(fleet.Abandoned)
	default:
		if sent {
			a.checkCrash(ctx, err)
		}
		a.finish(fleet.Broken)
	}
	x.server.log.Info("attempt failed", "request", x.id, "attempt", a.number, "endpoint", e.ID, "sent", sent, "error", err.Error())
	if !sent {
		x.attempts-- // no endpoint received it
		return verdictNotRun
	}
	return verdictInvalid
}

// drainBody reads a short response to its end, so that the connection can be
// reused.
func (x *exchange) drainBody(response *upstream.Response) {
	const maxDrained = 4 << 10
	if response.Length < 0 || response.Length > maxDrained {
		return
	}
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		response.MarkBodyRead()
	}
}

// readResponseBody reads a body of at most maxResponseBytes.
func readResponseBody(response *upstream.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	return body, nil
}

// sendReply sends an endpoint's complete response to the caller. An error response whose
// status would promise, of a request that must run at most once, that it has not run is
// replaced: only the header Headers.NotRun of an endpoint says that.
func (x *exchange) sendReply(r *reply, outcome string) {
	if outcome == outcomeFailed {
		if status := x.finalStatus(r.status, false); status != r.status {
			x.respond(status, outcome, fmt.Sprintf("endpoint failed with status %d", r.status))
			return
		}
	}
	x.copyHeader(r.header)
	h := x.writer.Header()
	if r.status == http.StatusServiceUnavailable && h.Get("Retry-After") != "" {
		// The endpoint's Retry-After applies to this gateway; another endpoint may
		// serve the caller sooner.
		_, after := x.server.retryAfter(x)
		setRetryAfter(h, after)
	}
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	x.writer.WriteHeader(r.status)
	_, err := x.writer.Write(r.body)
	cause := x.lastCause
	if err != nil {
		cause = "caller left: " + err.Error()
	}
	x.recordOutcome(outcome, cause, r.status)
}
