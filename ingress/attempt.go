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
	if !x.deadline.IsZero() {
		left := max(clock.Until(x.end).Milliseconds(), 1)
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
		Proceed: func() bool { return !x.callerLeft() && x.server.mayStill(x, e) },
		Accept: func(answer http.Header) bool {
			id := answer.Get(names.RequestID)
			return id == x.id
		},
	})
}

// mayStill reports whether e may get the request that it was chosen for: on a
// busy box, a version may have come due or e have begun to leave meanwhile.
func (s *Server) mayStill(x *exchange, e *fleet.Endpoint) bool {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Signals.Draining() || e.Signals.BackingOff(now) || x.quarantined(now) || !x.permit(e, now) {
		return false
	}
	return x.model == "" || e.MayServe(e.Holds(x.model, now), s.minVersion(x.model, now), s.minVersion(x.model, now.Add(-promiseLead)), now)
}

// verdict is what the head of an answer means.
type verdict int

const (
	good     verdict = iota // success, as far as the head tells
	notRun                  // the endpoint did not run the request
	answered                // a failure of the endpoint's own
	spoilt                  // no answer to this request
)

func (x *exchange) judge(r *upstream.Response) verdict {
	names := &x.server.settings.Headers
	switch {
	case r.Status == http.StatusMisdirectedRequest, r.Header.Get(names.NotRun) != "":
		return notRun
	case r.Status >= 200 && r.Status < 300:
		if r.Header.Get(names.Seal) == "" || r.Header.Get("Content-Encoding") != "" {
			return spoilt
		}
		return good
	default:
		return answered
	}
}

// mayRepeat asks for one more attempt after one that reached an endpoint.
func (x *exchange) mayRepeat(now time.Time) bool {
	if x.granted {
		x.granted = false
		return true
	}
	return x.askRepeat(now)
}

// grantRepeat asks for the attempt that follows one in progress, and keeps it
// for mayRepeat: an attempt is broken off only if another may be made. A
// breaker calls it beside the attempt, but not after its end.
func (x *exchange) grantRepeat(now time.Time) bool {
	x.granted = x.askRepeat(now)
	return x.granted
}

func (x *exchange) askRepeat(now time.Time) bool {
	if x.attempts >= max(x.route.MaxAttempts, 1) || now.After(x.end) {
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
func (x *exchange) finish(e *fleet.Endpoint, result fleet.Result) {
	s := x.server
	now := clock.Now()
	s.mu.Lock()
	if !x.begun {
		s.fleet.Begun(e, x.work, unknownLate, now)
	}
	s.endLocked(x, e, result, now)
	s.dispatch(x.service, now)
	s.mu.Unlock()
}

// endLocked ends the attempt of x at e; Server.mu is held.
func (s *Server) endLocked(x *exchange, e *fleet.Endpoint, result fleet.Result, now time.Time) {
	s.fleet.End(e, result, now)
	if x.alone {
		x.alone = false
		s.fleet.EndAlone(e)
	}
}

// unknownLate says that an attempt brought no bytes.
const unknownLate = time.Duration(-1)

// usualPass is what an engine takes for a pass beside reading prompts.
const usualPass = 120 * time.Millisecond

// begin tells the fleet that the attempt at e has brought bytes.
func (x *exchange) begin(e *fleet.Endpoint) {
	if x.begun {
		return
	}
	x.begun = true
	s := x.server
	s.mu.Lock()
	now := clock.Now()
	late := now.Sub(x.sent) - x.expected
	s.fleet.Begun(e, x.work, max(late, 0), now)
	s.mu.Unlock()
}

// note logs the choice of an endpoint.
func (x *exchange) note(e *fleet.Endpoint) {
	s := x.server
	now := clock.Now()
	s.mu.Lock()
	backlog, delay := e.Backlog(x.usual, now), e.Delay(now)
	x.sent = now
	x.life = s.fleet.Life(e.Address)
	x.expected = usualPass + time.Duration((backlog+x.work)*float64(time.Millisecond))
	load, age, holds, lowest := e.Load(now), e.ReportAge(now), e.Holds(x.model, now), s.minVersion(x.model, now)
	s.mu.Unlock()
	s.log.Info("attempt", "request", x.id, "attempt", x.attempts, "endpoint", e.ID, "service", x.service,
		"load", load, "backlog_ms", int(backlog), "work_ms", int(x.work), "report_ms", age.Milliseconds(), "delay_ms", delay.Milliseconds(), "holds", holds, "min_version", lowest, "at_ms", now.Sub(x.start).Milliseconds())
}
