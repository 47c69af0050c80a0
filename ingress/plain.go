// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/upstream"
)

// errStalled is the cause with which a silent attempt is canceled when its standby has
// delivered.
const errStalled = errors.ConstError("the endpoint has fallen silent")

// attemptTimeShare is the share of the request's remaining time after which a standby is
// begun for an attempt whose box is reachable. The rest is left for the standby.
const attemptTimeShare = 0.5

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
	response, v := x.runAttempts(ctx, &plainExchange{exchange: x})
	switch {
	case v == verdictOK:
		x.sendReply(response, outcomeAnswered)
	case response != nil && !x.callerLeft():
		x.sendReply(response, outcomeFailed)
	default:
		x.respondUnanswered(ctx)
	}
}

// plainExchange is an exchange whose response is a single one.
type plainExchange struct {
	*exchange
}

// standbyDelay returns the time after which a standby is begun for an attempt whose box is
// reachable. Nothing shows whether an endpoint works on a plain request.
func (x *plainExchange) standbyDelay(a *attempt) time.Duration {
	return time.Duration(attemptTimeShare * float64(x.expiresAt.Sub(a.sentAt)))
}

// nextCheck implements protocol.
func (x *plainExchange) nextCheck(a *attempt, now time.Time) time.Duration {
	if left := x.standbyDelay(a) - now.Sub(a.sentAt); left > 0 {
		return min(left, idleCheckInterval)
	}
	return idleCheckInterval
}

// silent implements protocol.
func (x *plainExchange) silent(a *attempt, _ bool, idle time.Duration, now time.Time) bool {
	return a.unreachable(now) || idle >= x.standbyDelay(a)
}

// open implements protocol. It reads the complete response.
func (x *plainExchange) open(a *attempt) opening {
	response, err := a.send("")
	if err != nil {
		return opening{result: a.failed(err)}
	}
	defer response.Close()
	a.recordSignals(response)
	v := x.classify(response)
	if v == verdictNotRun || v == verdictInvalid {
		return opening{result: a.discard(response, v)}
	}
	body, err := a.readBody(response)
	if err != nil {
		x.server.log.Info("response incomplete", "request", x.id, "attempt", a.number, "endpoint", a.endpoint.ID, "error", err.Error())
		return opening{result: a.brokenOff("answer broke off: "+err.Error(), err)}
	}
	response.MarkBodyRead()
	o := opening{result: result{verdict: v, reply: &reply{status: response.Status, header: response.Header, body: body}}}
	if v == verdictOK {
		a.finish(fleet.Responded)
	} else {
		o.cause = "endpoint failed"
		a.finish(fleet.Failed)
	}
	return o
}

// relay implements protocol.
func (x *plainExchange) relay(o opening, _ *watch) result { return o.result }

// discard ends an attempt whose response is not forwarded, because the endpoint did not
// run the request or the response is invalid.
func (a *attempt) discard(response *upstream.Response, v verdict) result {
	x, e := a.exchange, a.endpoint
	if v == verdictNotRun {
		x.server.log.Info("attempt refused", "request", x.id, "attempt", a.number, "endpoint", e.ID, "status", response.Status)
		x.drainBody(response)
		a.finish(rejectionResult(response.Status))
		return result{verdict: v, cause: "endpoint refused"}
	}
	x.server.log.Info("response invalid", "request", x.id, "attempt", a.number, "endpoint", e.ID, "status", response.Status)
	a.finish(fleet.Failed)
	return result{verdict: v, cause: "answer without seal"}
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
func (a *attempt) failed(err error) result {
	if errors.Is(context.Cause(a.ctx), errStalled) {
		return a.stalled()
	}
	x, e := a.exchange, a.endpoint
	o := result{verdict: verdictInvalid, cause: err.Error()}
	var failure *upstream.Error
	o.unsent = errors.As(err, &failure) && !failure.Sent
	if o.unsent {
		o.verdict = verdictNotRun
	}
	switch {
	case a.ctx.Err() != nil, errors.Is(err, upstream.ErrWithheld):
		a.finish(fleet.Abandoned)
	default:
		if !o.unsent {
			o.crashed = a.checkCrash(err)
		}
		a.finish(fleet.Broken)
	}
	x.server.log.Info("attempt failed", "request", x.id, "attempt", a.number, "endpoint", e.ID, "sent", !o.unsent, "error", err.Error())
	return o
}

// brokenOff ends an attempt whose response ended early. readErr is the error of reading it,
// or nil if the endpoint is not the cause.
func (a *attempt) brokenOff(cause string, readErr error) result {
	if errors.Is(context.Cause(a.ctx), errStalled) {
		return a.stalled()
	}
	o := result{verdict: verdictInvalid, cause: cause}
	if a.ctx.Err() != nil {
		a.finish(fleet.Abandoned)
		return o
	}
	o.crashed = a.checkCrash(readErr)
	a.finish(fleet.Failed)
	return o
}

// stalled ends an attempt that was canceled with errStalled.
func (a *attempt) stalled() result {
	x, e := a.exchange, a.endpoint
	a.finish(fleet.Broken)
	x.server.log.Info("attempt stalled", "request", x.id, "attempt", a.number, "endpoint", e.ID, "begun", a.gotBytes, "ms", clock.Since(a.sentAt).Milliseconds())
	return result{verdict: verdictInvalid, cause: errStalled.Error()}
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
