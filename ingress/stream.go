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

// Timeouts after which a stream without new events is resumed at another endpoint.
const (
	// boxStallTimeout applies if nothing at all arrives from the endpoint's box, neither
	// events nor load reports.
	boxStallTimeout = 900 * time.Millisecond
	// firstEventTimeout applies while the box is reachable and the attempt has received
	// no event. This includes the wait, possibly of seconds, until the engine has
	// capacity for another request. nextEventTimeout applies after the first event: an
	// engine that has begun to respond does not pause for so long, and the stream must be
	// resumed before its caller gives up, which may happen after two seconds without an
	// event.
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
	failure, v := x.runAttempts(ctx, t.attempt)
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
		t.finishStream(outcome, http.StatusOK)
		panic(http.ErrAbortHandler)
	}
	if failure != nil && !t.callerLeft() {
		t.sendReply(failure, outcomeFailed)
		return
	}
	t.respondUnanswered(ctx)
}

// attempt sends the request to the endpoint and forwards its events.
func (t *streamExchange) attempt(ctx context.Context, a *attempt) (*reply, verdict) {
	ctx, b := t.withCanceler(ctx)
	defer b.end()
	if t.model != "" {
		t.server.addUnbegun(a, b)
	}
	watch := t.startIdleWatch(a.endpoint, b)
	defer watch.stop()
	response, err := a.send(ctx, t.lastEventID)
	if err != nil {
		return nil, a.failed(ctx, err)
	}
	defer response.Close()
	a.recordSignals(response)
	v := t.classify(response)
	switch v {
	case verdictNotRun, verdictInvalid:
		a.discard(response, v)
		return nil, v
	case verdictFailed:
		t.lastCause = "endpoint failed"
		a.finish(fleet.Failed)
		body, err := readResponseBody(response)
		if err != nil {
			return nil, verdictInvalid
		}
		response.MarkBodyRead()
		return &reply{status: response.Status, header: response.Header, body: body}, verdictFailed
	}
	return nil, t.relayEvents(ctx, a, response, watch)
}

// relayEvents forwards events until the stream ends.
func (t *streamExchange) relayEvents(ctx context.Context, a *attempt, response *upstream.Response, watch *idleWatch) verdict {
	events := eventstream.NewReader(response.Body)
	for {
		event, err := events.Next()
		readErr := err
		if err == io.EOF && t.started {
			response.MarkBodyRead()
			a.finish(fleet.Responded)
			return verdictOK
		}
		if err == nil {
			watch.touch()
			a.recordFirstBytes()
			err = t.forwardEvent(response, event)
		}
		if err == nil {
			continue
		}
		if errors.Is(context.Cause(ctx), errStalled) {
			return a.stalled()
		}
		t.lastCause = "stream broke off: " + err.Error()
		if ctx.Err() != nil {
			a.finish(fleet.Abandoned)
			return verdictInvalid
		}
		a.checkCrash(ctx, readErr)
		a.finish(fleet.Failed)
		t.server.log.Info("stream interrupted", "request", t.id, "attempt", a.number, "endpoint", a.endpoint.ID, "events", t.eventCount, "error", err.Error())
		return verdictInvalid
	}
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

// idleWatch cancels an attempt whose endpoint has sent no events for too long, if
// the attempt can be retried at another endpoint.
type idleWatch struct {
	activity chan struct{} // capacity 1
	done     chan struct{}
}

// touch records that an event has arrived.
func (w *idleWatch) touch() {
	select {
	case w.activity <- struct{}{}:
	default:
	}
}

// stop ends the watch, so that it no longer cancels the attempt.
func (w *idleWatch) stop() { close(w.done) }

// startIdleWatch starts the watch of an attempt at e. The caller must call stop.
func (t *streamExchange) startIdleWatch(e *fleet.Endpoint, b *attemptCanceler) *idleWatch {
	w := &idleWatch{activity: make(chan struct{}, 1), done: make(chan struct{})}
	if !t.canFailOver() {
		return w
	}
	go func() {
		ticker := time.NewTicker(idleCheckInterval)
		defer ticker.Stop()
		lastActivity, limit := clock.Now(), eventTimeout(false)
		for {
			select {
			case <-w.done:
				return
			case <-w.activity:
				lastActivity, limit = clock.Now(), eventTimeout(true)
			case <-ticker.C:
				now := clock.Now()
				if t.server.streamStalled(e, now.Sub(lastActivity), limit, now) && b.cancelForRetry(now) {
					return
				}
			}
		}
	}()
	return w
}

// eventTimeout returns the timeout for the next event while the box is reachable.
// started tells whether the attempt has received an event.
func eventTimeout(started bool) time.Duration {
	if started {
		return nextEventTimeout
	}
	return firstEventTimeout
}

// streamStalled reports whether a stream should be resumed at another endpoint. idle is
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
