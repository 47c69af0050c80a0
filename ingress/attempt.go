// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/upstream"
)

// send makes one attempt at e and reads the head of the answer.
func (x *exchange) send(ctx context.Context, e *fleet.Endpoint, lastEvent string) (*upstream.Response, error) {
	names := &x.server.settings.Headers
	h := x.header.Clone()
	h.Set(names.ExpectEndpoint, e.ID)
	if !x.callerDeadline.IsZero() {
		left := max(clock.Until(x.expiresAt).Milliseconds(), 1)
		h.Set(names.Deadline, strconv.FormatInt(left, 10))
	}
	if lastEvent != "" {
		h.Set("Last-Event-Id", lastEvent)
	}
	if x.request.Header.Get("User-Agent") == "" {
		h.Del("User-Agent")
	}
	return x.server.pool.Do(ctx, e.Address, &upstream.Request{
		Method:  x.request.Method,
		URI:     x.target(),
		Host:    x.request.Host,
		Header:  h,
		Body:    x.body,
		Fresh:   !x.route.Idempotent(),
		Proceed: func() bool { return !x.callerLeft() && x.server.stillEligible(x, e) },
		Accept: func(answer http.Header) bool {
			id := answer.Get(names.RequestID)
			return id == x.id
		},
	})
}

// mayStill reports whether e may get the request that it was chosen for: on a
// busy box, a version may have come due or e have begun to leave meanwhile.
func (s *Server) stillEligible(x *exchange, e *fleet.Endpoint) bool {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Signals.Draining() || e.Signals.BackingOff(now) || x.quarantined(now) || !x.takePermit(e, now) {
		return false
	}
	return x.model == "" || e.MayServe(e.Holds(x.model, now), s.minVersion(x.model, now), s.minVersion(x.model, now.Add(-scheduledUpdateLead)), now)
}

// verdict is what the head of an answer means.
type verdict int

const (
	verdictOK      verdict = iota // success, as far as the head tells
	verdictNotRun                 // the endpoint did not run the request
	verdictFailed                 // a failure of the endpoint's own
	verdictInvalid                // no answer to this request
)

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

// mayRepeat asks for one more attempt after one that reached an endpoint.
func (x *exchange) mayRetry(now time.Time) bool {
	if x.retryReserved {
		x.retryReserved = false
		return true
	}
	return x.takeRetry(now)
}

// grantRepeat asks for the attempt that follows one in progress, and keeps it
// for mayRepeat: an attempt is broken off only if another may be made. A
// breaker calls it beside the attempt, but not after its end.
func (x *exchange) reserveRetry(now time.Time) bool {
	x.retryReserved = x.takeRetry(now)
	return x.retryReserved
}

func (x *exchange) takeRetry(now time.Time) bool {
	if x.attempts >= max(x.route.MaxAttempts, 1) || now.After(x.expiresAt) {
		return false
	}
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(x.service, now).Take(now)
}

// countRequest tells the service's budget of a new request.
func (x *exchange) countRequest() {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(x.service, x.start).Request(x.start)
}

// finish tells the fleet how an attempt ended.
func (x *exchange) finishAttempt(e *fleet.Endpoint, result fleet.Result) {
	s := x.server
	now := clock.Now()
	s.mu.Lock()
	if !x.gotBytes {
		s.fleet.Begun(e, x.prefillMS, unknownLateness, now)
	}
	s.endAttemptLocked(x, e, result, now)
	s.dispatch(x.service, now)
	s.mu.Unlock()
}

// endLocked ends the attempt of x at e; Server.mu is held.
func (s *Server) endAttemptLocked(x *exchange, e *fleet.Endpoint, result fleet.Result, now time.Time) {
	s.fleet.End(e, result, now)
	if x.isolated {
		x.isolated = false
		s.fleet.EndAlone(e)
	}
}

// unknownLate says that an attempt brought no bytes.
const unknownLateness = time.Duration(-1)

// usualPass is what an engine takes for a pass beside reading prompts.
const enginePassTime = 120 * time.Millisecond

// begin tells the fleet that the attempt at e has brought bytes.
func (x *exchange) recordFirstBytes(e *fleet.Endpoint) {
	if x.gotBytes {
		return
	}
	x.gotBytes = true
	s := x.server
	s.mu.Lock()
	now := clock.Now()
	lateness := now.Sub(x.sentAt) - x.expectedFirstByte
	s.fleet.Begun(e, x.prefillMS, max(lateness, 0), now)
	s.mu.Unlock()
}

// note logs the choice of an endpoint.
func (x *exchange) recordAttempt(e *fleet.Endpoint) {
	s := x.server
	now := clock.Now()
	s.mu.Lock()
	backlog, delay := e.Backlog(x.meanPrefillMS, now), e.Delay(now)
	x.sentAt = now
	x.startedMS = s.fleet.Life(e.Address)
	x.expectedFirstByte = enginePassTime + time.Duration((backlog+x.prefillMS)*float64(time.Millisecond))
	load, age, holds, lowest := e.Load(now), e.ReportAge(now), e.Holds(x.model, now), s.minVersion(x.model, now)
	s.mu.Unlock()
	s.log.Info("attempt", "request", x.id, "attempt", x.attempts, "endpoint", e.ID, "service", x.service,
		"load", load, "backlog_ms", int(backlog), "work_ms", int(x.prefillMS), "report_ms", age.Milliseconds(), "delay_ms", delay.Milliseconds(), "holds", holds, "min_version", lowest, "at_ms", now.Sub(x.start).Milliseconds())
}
