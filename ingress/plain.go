// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
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

// maxAnswer bounds an answer that is held until it is whole.
const maxResponseBytes = 8 << 20

// errSilent ends an attempt whose endpoint has been silent for too long.
const errStalled = errors.ConstError("the endpoint has fallen silent")

// attemptShare is the part of the time left that an attempt may take while
// another endpoint could still answer: one that hangs, or whose connection went
// silent, would else take all of it, and the caller get nothing.
const attemptTimeShare = 0.5

// errLarge says that an answer is larger than maxAnswer.
const errResponseTooLarge = errors.ConstError("the answer is too large")

// reply is a whole answer of an endpoint.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// plain serves a request that is answered at once. The answer is read to
// its end before the caller gets any of it, so that one that breaks off is
// never taken for whole and can be asked for again where that is allowed.
func (x *exchange) servePlain(ctx context.Context) {
	x.countRequest()
	answer, v := x.runAttempts(ctx, x.attempt)
	switch {
	case v == verdictOK:
		x.sendReply(answer, outcomeAnswered)
	case answer != nil && !x.callerLeft():
		x.sendReply(answer, outcomeFailed)
	default:
		x.respondUnanswered(ctx)
	}
}

// try makes attempts until one is good or no more may be made. It returns the
// answer of the good one, or the last failure of an endpoint's own, if any.
func (x *exchange) runAttempts(ctx context.Context, attempt func(context.Context, *fleet.Endpoint) (*reply, verdict)) (*reply, verdict) {
	var failure *reply
	for {
		e := x.nextEndpoint(ctx)
		if e == nil {
			return failure, verdictNotRun
		}
		answer, v := attempt(ctx, e)
		if v == verdictOK {
			x.recordCompletion()
			return answer, verdictOK
		}
		if v == verdictFailed {
			failure = answer
		}
		x.mayHaveRun = x.mayHaveRun || v != verdictNotRun
		if x.mayHaveRun && !x.route.Idempotent() || x.finished(ctx) || x.crashLimitReached() || !x.mayRetry(clock.Now()) {
			return failure, v
		}
	}
}

// next waits for the endpoint of the next attempt and counts the attempt.
func (x *exchange) nextEndpoint(ctx context.Context) *fleet.Endpoint {
	if x.quarantined(clock.Now()) {
		return nil
	}
	e := x.server.acquireEndpoint(ctx, x)
	if e == nil {
		return nil
	}
	if x.tried == nil {
		x.tried = make(map[string]bool, 2)
	}
	x.tried[e.ID] = true
	x.attempts++
	x.gotBytes = false
	x.recordAttempt(e)
	return e
}

// movable reports whether the attempt in progress may be broken off and made
// elsewhere.
func (x *exchange) canFailOver() bool {
	return x.route.Idempotent() && x.attempts < max(x.route.MaxAttempts, 1)
}

// breaker breaks off an attempt in favour of another one, unless it has ended.
type attemptCanceler struct {
	exchange *exchange
	cancel   context.CancelCauseFunc
	mu       sync.Mutex
	ended    bool
}

// breakable returns a context for an attempt that its breaker ends.
func (x *exchange) withCanceler(ctx context.Context) (context.Context, *attemptCanceler) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &attemptCanceler{exchange: x, cancel: cancel}
}

// breakOff ends the attempt if the budget allows another; it reports whether
// that is all there is to do.
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

// end says that the attempt has ended.
func (b *attemptCanceler) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.cancel(nil)
}

// limitAttempt bounds an attempt that may be repeated elsewhere.
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

// silent takes an attempt whose endpoint fell silent. Its other connections
// may have done so too.
func (x *exchange) attemptStalled(e *fleet.Endpoint) verdict {
	x.lastCause = errStalled.Error()
	x.server.pool.Forget(e.Address)
	x.finishAttempt(e, fleet.Broken)
	x.server.log.Info("attempt silent", "request", x.id, "attempt", x.attempts, "endpoint", e.ID, "begun", x.gotBytes, "ms", clock.Since(x.sentAt).Milliseconds())
	return verdictInvalid
}

// attempt sends the request to e and reads the whole answer.
func (x *exchange) attempt(ctx context.Context, e *fleet.Endpoint) (*reply, verdict) {
	ctx, cancel := x.withAttemptTimeout(ctx)
	defer cancel()
	response, err := x.send(ctx, e, "")
	if err != nil {
		return nil, x.attemptFailed(ctx, e, err)
	}
	defer response.Close()
	x.recordSignals(e, response)
	v := x.classify(response)
	if v == verdictNotRun || v == verdictInvalid {
		x.discardResponse(e, response, v)
		return nil, v
	}
	body, err := readResponseBody(response)
	if errors.Is(context.Cause(ctx), errStalled) {
		return nil, x.attemptStalled(e)
	}
	if err != nil {
		x.lastCause = "answer broke off: " + err.Error()
		x.server.log.Info("answer broken", "request", x.id, "attempt", x.attempts, "endpoint", e.ID, "error", err.Error())
		if ctx.Err() != nil {
			x.finishAttempt(e, fleet.Abandoned)
		} else {
			x.checkCrash(ctx, e, err)
			x.finishAttempt(e, fleet.Failed)
		}
		return nil, verdictInvalid
	}
	response.Whole()
	if v == verdictOK {
		x.finishAttempt(e, fleet.Answered)
	} else {
		x.lastCause = "endpoint failed"
		x.finishAttempt(e, fleet.Failed)
	}
	return &reply{status: response.Status, header: response.Header, body: body}, v
}

// discard takes an answer that the caller does not get: a refusal of the
// endpoint, or one that is no answer to the request.
func (x *exchange) discardResponse(e *fleet.Endpoint, response *upstream.Response, v verdict) {
	if v == verdictNotRun {
		x.lastCause = "endpoint refused"
		x.server.log.Info("attempt refused", "request", x.id, "attempt", x.attempts, "endpoint", e.ID, "status", response.Status)
		x.drainBody(response)
		x.finishAttempt(e, rejectionResult(response.Status))
		return
	}
	x.lastCause = "answer without seal"
	x.server.log.Info("answer spoilt", "request", x.id, "attempt", x.attempts, "endpoint", e.ID, "status", response.Status)
	x.finishAttempt(e, fleet.Failed)
}

// rejection is what a refusal says of the endpoint.
func rejectionResult(status int) fleet.Result {
	if status == http.StatusMisdirectedRequest {
		return fleet.Misdirected
	}
	return fleet.Rejected
}

// broken takes an attempt without an answer.
func (x *exchange) attemptFailed(ctx context.Context, e *fleet.Endpoint, err error) verdict {
	if errors.Is(context.Cause(ctx), errStalled) {
		return x.attemptStalled(e)
	}
	x.lastCause = err.Error()
	var failure *upstream.Error
	sent := !errors.As(err, &failure) || failure.Sent
	switch {
	case ctx.Err() != nil, errors.Is(err, upstream.ErrWithheld):
		x.finishAttempt(e, fleet.Abandoned)
	default:
		if sent {
			x.checkCrash(ctx, e, err)
		}
		x.finishAttempt(e, fleet.Broken)
	}
	x.server.log.Info("attempt broken", "request", x.id, "attempt", x.attempts, "endpoint", e.ID, "sent", sent, "error", err.Error())
	if !sent {
		x.attempts-- // no endpoint saw it
		return verdictNotRun
	}
	return verdictInvalid
}

// drop reads a refusal to its end, so that the connection can be kept.
func (x *exchange) drainBody(response *upstream.Response) {
	const maxDrained = 4 << 10
	if response.Length < 0 || response.Length > maxDrained {
		return
	}
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		response.Whole()
	}
}

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

// pass gives the caller an endpoint's whole answer.
func (x *exchange) sendReply(r *reply, outcome string) {
	x.copyHeader(r.header)
	h := x.writer.Header()
	if r.status == http.StatusServiceUnavailable && h.Get("Retry-After") != "" {
		// The endpoint's own is for this gateway; another endpoint may serve the caller.
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
