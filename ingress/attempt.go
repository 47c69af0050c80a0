// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/upstream"
)

// attempt is one sending of an exchange's request to an endpoint. The goroutine that makes
// the attempt owns its fields; while the request waits for the endpoint, Server.mu guards
// them.
type attempt struct {
	exchange *exchange
	endpoint *fleet.Endpoint
	number   int // counts the attempts of the exchange from 1
	// ctx ends the attempt, and cancel does so with a cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// isolated reports that the endpoint was chosen with Query.Isolated, so that it runs no
	// other suspected request. hasPermit reports that the attempt has used a permit of an
	// endpoint with a rate limit.
	isolated, hasPermit bool
	// granted reports that the attempt uses a slot granted by the engine's sidecar, and
	// grantedAt is when the grant arrived.
	granted   bool
	grantedAt time.Time
	// grantLapsed is set if the attempt was withheld because its grant was void by then.
	grantLapsed bool
	// endpointStartedMS is the start time of the endpoint's process when the attempt was
	// sent, in Unix milliseconds, or 0 if unknown.
	endpointStartedMS int64
	// sentAt is when the attempt started, and expectedFirstByte is the expected time from
	// then until the first bytes of its response.
	sentAt            time.Time
	expectedFirstByte time.Duration
	// heldVersion is the version that the engine held then; 0 if unknown.
	heldVersion int
	// gotBytes reports that bytes of the response have been received, and gotBytesAt is when
	// the first were.
	gotBytes   bool
	gotBytesAt time.Time
	// onsetRecorded reports that recordOnset has taken effect.
	onsetRecorded bool
	delivery      upstream.Delivery
}

// send sends the request to the endpoint and reads the response header. lastEvent is the
// Last-Event-Id to send, after which the endpoint resumes a stream. If it is empty, the caller's own
// Last-Event-Id, if any, is sent.
func (a *attempt) send(lastEvent string) (*upstream.Response, error) {
	x, e := a.exchange, a.endpoint
	names := &x.server.settings.Headers
	h := x.header.Clone()
	h.Set(names.ExpectEndpoint, e.ID)
	if !x.callerDeadline.IsZero() {
		left := max(clock.Until(x.expiresAt).Milliseconds(), 1)
		h.Set(names.Deadline, strconv.FormatInt(left, 10))
	}
	s := x.server
	s.mu.Lock()
	expected := s.expectedVersion(x, e, clock.Now())
	s.mu.Unlock()
	if expected > 0 {
		h.Set(names.ExpectVersion, strconv.Itoa(expected))
	}
	if lastEvent != "" {
		h.Set("Last-Event-Id", lastEvent)
	}
	if x.request.Header.Get("User-Agent") == "" {
		h.Del("User-Agent")
	}
	resetOn := error(nil)
	if x.withdrawalResets() {
		resetOn = errWithdrawn
	}
	response, err := x.server.pool.Do(a.ctx, e.Address, &upstream.Request{
		ResetOn:         resetOn,
		DropUndelivered: func() bool { return a.lost() || x.abandoned() || x.dropsUndelivered(e, clock.Now()) },
		Method:          x.request.Method,
		URI:             x.target(),
		Host:            x.request.Host,
		Header:          h,
		Body:            x.body,
		Delivery:        &a.delivery,
		// The connection of a further attempt must not be silent, like the one before it.
		Fresh:   !x.route.Idempotent() || a.number > 1,
		Proceed: func() bool { return a.ctx.Err() == nil && !x.callerLeft() && x.server.stillEligible(a) },
		Accept: func(header http.Header) bool {
			id := header.Get(names.RequestID)
			return id == x.id
		},
	})
	if err == nil && response.EndsWithConnection() {
		response.Body = &unframedBody{Reader: response.Body, attempt: a, response: response}
	}
	return response, err
}

// lost reports whether the attempt was canceled because another one has delivered.
func (a *attempt) lost() bool {
	cause := context.Cause(a.ctx)
	return errors.Is(cause, errStalled) || errors.Is(cause, errNotNeeded)
}

// unreachable reports whether the endpoint's box has not acknowledged the request for so long
// that a standby should be begun.
func (a *attempt) unreachable(now time.Time) bool {
	return a.delivery.Unacknowledged(now) >= boxStallTimeout
}

// stillEligible reports whether the request may still be sent to the endpoint that was
// chosen for it. In the meantime the cutoff of a target version may have passed, the
// request may have been quarantined, the zone may have been evacuated, a new configuration
// may keep the request out of the endpoint's region, or the endpoint may have sent a signal
// that forbids the request.
func (s *Server) stillEligible(a *attempt) bool {
	x, e := a.exchange, a.endpoint
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !e.MayReceive(s.regionsOf(x)) {
		s.events.Info("attempt withheld", "request", x.id, "endpoint", e.ID, "zone", e.Zone, "regions", x.regions.String())
		return false
	}
	if e.Signals.Draining() || e.Signals.BackingOff(now) || x.quarantined(now) {
		return false
	}
	if a.grantVoid(now) {
		a.grantLapsed = true
		return false
	}
	if !a.takePermit(now) {
		return false
	}
	if x.model == "" {
		return true
	}
	bounds := s.versionBounds(x, now)
	return e.MayServe(e.HeldVersion(x.model, now), bounds.lowest, bounds.beforeUpdate, now)
}

// verdict is the result of an attempt, which determines whether the gateway forwards the
// response or retries the request.
type verdict int

const (
	verdictOK      verdict = iota // the response header reports success
	verdictNotRun                 // the endpoint did not run the request
	verdictFailed                 // the endpoint sent an error response
	verdictInvalid                // there is no complete and valid response
)

// classify returns the verdict on a response by its header. A successful response is
// valid only if it has a seal, the endpoint's signature of the response.
func (x *exchange) classify(r *upstream.Response) verdict {
	names := &x.server.settings.Headers
	switch {
	case r.Status == http.StatusMisdirectedRequest, r.Header.Get(names.NotRun) != "":
		return verdictNotRun
	case r.Status >= 200 && r.Status < 300:
		if r.Header.Get(names.Seal) == "" || r.Header.Get("Content-Encoding") != "" {
			return verdictInvalid
		}
		return verdictOK
	default:
		return verdictFailed
	}
}

// takeRetry charges the retry budget for one attempt, and reports whether the budget
// allows it.
func (x *exchange) takeRetry(now time.Time) bool {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(x.service, now).Take(now)
}

// refundRetry takes back the charge of takeRetry for an attempt that was not sent.
func (x *exchange) refundRetry() {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(x.service, clock.Now()).Refund()
}

// retryAvailable reports whether takeRetry would return true.
func (x *exchange) retryAvailable(now time.Time) bool {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(x.service, now).Available(now)
}

// countRequest counts a new request towards the service's retry budget.
func (x *exchange) countRequest() {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(x.service, x.start).AddRequest(x.start)
}

// finish reports the result of the attempt to the fleet.
func (a *attempt) finish(result fleet.Result) {
	x := a.exchange
	s := x.server
	now := clock.Now()
	s.mu.Lock()
	if !a.gotBytes {
		s.fleet.RecordFirstByte(a.endpoint, x.prefillMS, unknownLateness, now)
	}
	s.endAttemptLocked(a, result, now)
	s.dispatch(x.service, now)
	s.mu.Unlock()
}

// endAttemptLocked ends an attempt. Server.mu must be held.
func (s *Server) endAttemptLocked(a *attempt, result fleet.Result, now time.Time) {
	s.fleet.End(a.endpoint, result, now)
	delete(s.unbegun, a)
	if a.isolated {
		a.isolated = false
		s.fleet.EndIsolated(a.endpoint)
	}
}

// unknownLateness is the lateness of an attempt that ended without receiving bytes.
const unknownLateness = time.Duration(-1)

// enginePassTime is the expected time until an idle engine sends its first bytes, in
// addition to the prefill time.
const enginePassTime = 120 * time.Millisecond

// recordFirstBytes reports to the fleet that the attempt has received its first bytes.
// Further calls have no effect.
func (a *attempt) recordFirstBytes() {
	if a.gotBytes {
		return
	}
	a.gotBytes = true
	s := a.exchange.server
	s.mu.Lock()
	now := clock.Now()
	a.gotBytesAt = now
	lateness := now.Sub(a.sentAt) - a.expectedFirstByte
	s.fleet.RecordFirstByte(a.endpoint, a.exchange.prefillMS, max(lateness, 0), now)
	delete(s.unbegun, a)
	s.mu.Unlock()
}

// begin sets the fields that describe the attempt, such as its start and expected
// first-byte time, and logs it.
func (a *attempt) begin() {
	x, e := a.exchange, a.endpoint
	s := x.server
	now := clock.Now()
	s.mu.Lock()
	backlog, delay := e.Backlog(x.meanPrefillMS, now), e.Delay(now)
	a.number = x.attempts
	a.sentAt = now
	a.endpointStartedMS = s.fleet.StartedMSAt(e.Address)
	a.expectedFirstByte = enginePassTime + time.Duration((backlog+x.prefillMS)*float64(time.Millisecond))
	a.heldVersion = e.HeldVersion(x.model, now)
	load, age, lowest := e.Load(now), e.ReportAge(now), s.versionBounds(x, now).lowest
	s.mu.Unlock()
	s.log.Info("attempt", "request", x.id, "attempt", a.number, "endpoint", e.ID, "service", x.service,
		"load", load, "backlog_ms", int(backlog), "work_ms", int(x.prefillMS), "report_ms", age.Milliseconds(), "delay_ms", delay.Milliseconds(), "holds", a.heldVersion, "min_version", lowest, "at_ms", now.Sub(x.start).Milliseconds(), "granted", a.granted)
}
