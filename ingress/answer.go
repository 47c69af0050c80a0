// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// Outcomes of a request, for logs and metrics.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeDenied     = "denied"
	outcomeFailed     = "failed"
	outcomeTimedOut   = "timed_out"
	outcomeCallerLeft = "caller_left"
	outcomeBrokenOff  = "broken_off"
	// outcomeQuarantined is a request that was kept from endpoints because
	// others had crashed under it.
	outcomeQuarantined = "quarantined"
)

// close ends the request in logs and metrics.
func (x *exchange) recordOutcome(outcome, cause string, status int) {
	s := x.server
	took := clock.Since(x.start)
	route, version := "", int64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.config != nil {
		version = x.config.Version
	}
	s.log.Info("request", "request", x.id, "identity", x.identity.String(), "body_bytes", len(x.body), "outcome", outcome, "cause", cause, "status", status, "route", route,
		"service", x.service, "config", version, "config_age_ms", x.configAge.Milliseconds(), "attempts", x.attempts, "priority", x.priority, "returned", x.callerRetry, "ms", took.Milliseconds())
	s.metrics.Counter("mintlift_ingress_requests_total", "service", x.service, "outcome", outcome).Inc()
	s.metrics.Histogram("mintlift_ingress_request_seconds", "service", x.service, "outcome", outcome).Update(took.Seconds())
}

// setRetryAfter tells a caller when to come back.
func setRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", fmt.Sprintf("%.2f", after.Seconds()))
}

// refuse answers that the request has not run and when to come back.
func (x *exchange) refuse(cause string, after time.Duration) {
	setRetryAfter(x.writer.Header(), after)
	x.respond(http.StatusServiceUnavailable, outcomeRefused, cause)
}

func (x *exchange) deny(status int, cause string) { x.respond(status, outcomeDenied, cause) }

// denyIfCurrent denies what the configuration does not know, unless there may
// be a newer one that does.
func (x *exchange) denyIfCurrent(status int, cause string) {
	if current := x.server.settings.Current; current != nil && !current() {
		x.refuse("configuration may be old: "+cause, retryAfterMin)
		return
	}
	x.deny(status, cause)
}

// fail gives an answer of the gateway's own.
func (x *exchange) respond(status int, outcome, cause string) {
	h := x.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := cause + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = io.WriteString(x.writer, body) // a caller that has left is told nothing
	x.recordOutcome(outcome, cause, status)
}

// giveUp answers a request for which no attempt brought an answer.
func (x *exchange) respondUnanswered(ctx context.Context) {
	switch {
	case x.callerLeft():
		x.recordOutcome(outcomeCallerLeft, "caller left", 0)
		panic(http.ErrAbortHandler)
	case x.quarantined(clock.Now()):
		x.rejectQuarantined()
	case !x.mayHaveRun:
		closed, after := x.server.retryAfter(x)
		x.refuse(x.refusalCause(closed), after)
	case ctx.Err() != nil:
		x.respond(http.StatusGatewayTimeout, outcomeTimedOut, x.lastCauseOr("timed out"))
	default:
		x.respond(http.StatusBadGateway, outcomeFailed, x.lastCauseOr("no answer"))
	}
}

// refusal is why x is refused; where endpoints have closed themselves it names one, by
// which the answer that said so can be found.
func (x *exchange) refusalCause(c fleet.Closure) string {
	switch {
	case c.Reason == fleet.Open:
		return x.lastCauseOr("no endpoint has room")
	case c.Until.IsZero():
		return fmt.Sprintf("all endpoints %s: %s is one", c.Reason, c.Endpoint)
	default:
		return fmt.Sprintf("all endpoints %s: %s opens first, in %d ms", c.Reason, c.Endpoint, clock.Until(c.Until).Milliseconds())
	}
}

func (x *exchange) lastCauseOr(other string) string {
	if x.lastCause != "" {
		return x.lastCause
	}
	return other
}

// copyHeader passes an endpoint's headers on.
func (x *exchange) copyHeader(from http.Header) {
	to := x.writer.Header()
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
	if x.server.stopping.Load() {
		to.Set("Connection", "close")
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // do not guess one
	}
	to.Set(x.server.settings.Headers.RequestID, x.id)
}
