// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/eventstream"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/upstream"
)

// Timeouts after which a standby is begun for a stream without new events.
const (
	// boxStallTimeout applies if nothing at all arrives from the endpoint's box, neither
	// events nor load reports, or no acknowledgement of the request.
	boxStallTimeout = 900 * time.Millisecond
	// firstEventTimeout applies while the box is reachable and the attempt has received
	// no event. This includes the wait, possibly of seconds, until the engine has
	// capacity for another request. nextEventTimeout applies after the first event: the
	// standby must deliver before the caller gives up, which may happen after two seconds
	// without an event.
	firstEventTimeout = 2200 * time.Millisecond
	nextEventTimeout  = 1200 * time.Millisecond
	// idleCheckInterval is the time between two checks of the timeouts.
	idleCheckInterval = 300 * time.Millisecond
)

// errEventGap is the error for an event whose ID is not the last event's ID plus one.
const errEventGap = errors.ConstError("events do not follow")

// streamExchange is an exchange whose response is a stream of events.
type streamExchange struct {
	*exchange
	control *http.ResponseController
	// started reports that the response header has been sent to the caller.
	started bool
	// lastID is the ID of the last event that the caller has received, in this exchange
	// or before it; -1 if none.
	lastID int64
	// lastEventID is the Last-Event-Id to send with the next attempt: the caller's own
	// header until an event was forwarded, then lastID.
	lastEventID string
	eventCount  int // events sent to the caller
	// firstAt and lastAt are the times of the first and last event sent to the caller.
	// maxGap is the longest time between two successive events.
	firstAt, lastAt time.Time
	maxGap          time.Duration
}

// serveStream serves a request with a stream of events. Events are forwarded as
// they arrive. If the route allows it, a broken stream is resumed at another
// endpoint within the same response.
func (x *exchange) serveStream(ctx context.Context) {
	x.countRequest()
	t := &streamExchange{exchange: x, control: http.NewResponseController(x.writer), lastID: -1, lastEventID: x.request.Header.Get("Last-Event-Id")}
	if id, err := strconv.ParseInt(t.lastEventID, 10, 64); err == nil {
		t.lastID = id
	}
	failure, v := x.runAttempts(ctx, t)
	if v == verdictOK {
		t.finishStream(outcomeAnswered, http.StatusOK)
		return
	}
	t.failStream(ctx, failure)
}

// failStream ends a stream that could not be completed. If the response header has been
// sent, it aborts the connection, so that the stream does not look complete. Else it
// sends failure, the last error response of an endpoint, if there is one.
func (t *streamExchange) failStream(ctx context.Context, failure *reply) {
	if t.started {
		outcome := outcomeBrokenOff
		if t.callerLeft() {
			outcome = outcomeCallerLeft
		}
		t.server.metrics.Counter("mintlift_ingress_cut_streams_total", "outcome", outcome, "ending", string(t.ending)).Inc()
		t.finishStream(outcome, http.StatusOK)
		panic(http.ErrAbortHandler)
	}
	if failure != nil && !t.callerLeft() {
		t.sendReply(failure, outcomeFailed)
		return
	}
	t.respondUnanswered(ctx)
}

// nextCheck implements protocol.
func (t *streamExchange) nextCheck(*attempt, time.Time) time.Duration { return idleCheckInterval }

// silent implements protocol.
func (t *streamExchange) silent(a *attempt, opened bool, idle time.Duration, now time.Time) bool {
	return a.unreachable(now) || t.server.streamStalled(a.endpoint, idle, eventTimeout(opened), now)
}

// open implements protocol. It reads the stream up to the first event.
func (t *streamExchange) open(a *attempt) opening {
	if t.model != "" {
		t.server.addUnbegun(a)
	}
	response, err := a.send(t.lastEventID)
	if err != nil {
		return opening{result: a.failed(err)}
	}
	a.recordSignals(response)
	v := t.classify(response)
	if v != verdictOK {
		defer response.Close()
		return opening{result: a.unopened(response, v)}
	}
	o := opening{result: result{verdict: v}, response: response, events: a.newEventReader(response)}
	o.first, err = t.firstNew(a, o.events)
	o.ended = err == io.EOF && t.started
	if err != nil && !o.ended {
		defer response.Close()
		readErr := err
		if err == errEventGap {
			readErr = nil
		}
		return opening{result: t.interrupted(a, err, readErr)}
	}
	return o
}

// firstNew returns the first event that continues the caller's stream. It drops events that
// the caller has, and those without an ID that come before the first new one.
func (t *streamExchange) firstNew(a *attempt, events *eventstream.Reader) (eventstream.Event, error) {
	for {
		event, err := events.Next()
		if err != nil {
			return event, err
		}
		a.recordFirstBytes()
		if isNew, err := t.continues(event); isNew || err != nil {
			return event, err
		}
	}
}

// continues reports whether an event of a new attempt continues the caller's stream. It
// returns errEventGap if events are missing before it.
func (t *streamExchange) continues(event eventstream.Event) (bool, error) {
	switch {
	case t.lastID < 0:
		return true, nil
	case !event.HasID || event.ID <= t.lastID:
		return false, nil
	case event.ID != t.lastID+1:
		return false, errEventGap
	default:
		return true, nil
	}
}

// unopened ends an attempt whose response is no stream.
func (a *attempt) unopened(response *upstream.Response, v verdict) result {
	if v != verdictFailed {
		return a.discard(response, v)
	}
	a.finish(fleet.Failed)
	body, err := a.readBody(response)
	if err != nil {
		return result{verdict: verdictInvalid, cause: "endpoint failed"}
	}
	response.MarkBodyRead()
	return result{verdict: v, cause: "endpoint failed", reply: &reply{status: response.Status, header: response.Header, body: body}}
}

// relay implements protocol. It forwards events until the stream ends.
func (t *streamExchange) relay(o opening, w *watch) result {
	defer o.response.Close()
	a, event := w.attempt, o.first
	for !o.ended {
		if err := t.forwardEvent(o.response, event); err != nil {
			return t.interrupted(a, err, nil)
		}
		w.await()
		var err error
		event, err = o.events.Next()
		if (err == nil || err == io.EOF) && !w.received() {
			return a.stalled()
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return t.interrupted(a, err, err)
		}
		a.recordOnset(clock.Now())
	}
	o.response.MarkBodyRead()
	a.finish(fleet.Responded)
	return result{verdict: verdictOK}
}

// interrupted ends an attempt whose stream ended early. readErr is the error of reading the
// response, or nil if the cause is another one.
func (t *streamExchange) interrupted(a *attempt, err, readErr error) result {
	if a.ctx.Err() == nil {
		t.server.log.Info("stream interrupted", "request", t.id, "attempt", a.number, "endpoint", a.endpoint.ID, "events", t.eventCount, "error", err.Error())
	}
	return a.brokenOff("stream broke off: "+err.Error(), readErr)
}

// forwardEvent sends an event to the caller, unless the caller already has it.
func (t *streamExchange) forwardEvent(response *upstream.Response, event eventstream.Event) error {
	if event.HasID {
		if event.ID <= t.lastID {
			return nil
		}
		if t.lastID >= 0 && event.ID != t.lastID+1 {
			return errEventGap
		}
	}
	if !t.started {
		t.copyHeader(response.Header)
		t.writer.WriteHeader(response.Status)
		t.started = true
	}
	if _, err := t.writer.Write(event.Raw); err != nil {
		return err
	}
	if event.HasID {
		t.lastID = event.ID
		t.lastEventID = strconv.FormatInt(event.ID, 10)
	}
	t.recordEvent(clock.Now())
	return t.control.Flush()
}

// recordEvent updates the event times and count.
func (t *streamExchange) recordEvent(now time.Time) {
	if t.eventCount == 0 {
		t.firstAt = now
		t.recordResponse(true)
	} else {
		t.maxGap = max(t.maxGap, now.Sub(t.lastAt))
	}
	t.lastAt = now
	t.eventCount++
}

// finishStream logs the stream's times and records the outcome of the request.
func (t *streamExchange) finishStream(outcome string, status int) {
	firstDelay := time.Duration(-1)
	if t.eventCount > 0 {
		firstDelay = t.firstAt.Sub(t.start)
	}
	t.server.log.Info("stream", "request", t.id, "first_ms", firstDelay.Milliseconds(), "gap_ms", t.maxGap.Milliseconds(), "events", t.eventCount, "usage", t.request.Header.Get(t.server.settings.Headers.TokenUsage))
	t.recordOutcome(outcome, t.lastCause, status)
}

// eventTimeout returns the timeout for the next event while the box is reachable.
// started tells whether the attempt has received an event.
func eventTimeout(started bool) time.Duration {
	if started {
		return nextEventTimeout
	}
	return firstEventTimeout
}

// streamStalled reports whether a standby should be begun for a stream. idle is
// the time without events. The stream counts as stalled if idle reaches limit, or
// boxStallTimeout while nothing at all arrives from the endpoint's box.
func (s *Server) streamStalled(e *fleet.Endpoint, idle, limit time.Duration, now time.Time) bool {
	if idle < boxStallTimeout {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return idle >= limit || e.ReceiveAge(now) >= boxStallTimeout
}
