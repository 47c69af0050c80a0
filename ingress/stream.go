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

// Silence of a stream.
const (
	// silentBox is how long nothing may come from an endpoint's box before
	// its streams go on elsewhere.
	boxSilenceTimeout = 900 * time.Millisecond
	// silentStream is the same for one stream of a box that is heard, and
	// silentBegun for one that has brought events: an engine that waits for a
	// slot may take seconds to begin, but one that writes does not pause for
	// so long, and callers leave after two seconds of silence.
	firstEventTimeout = 2200 * time.Millisecond
	nextEventTimeout  = 1200 * time.Millisecond
	// watchEvery is how often that is looked at.
	idleCheckInterval = 300 * time.Millisecond
)

// errOrder says that an endpoint's events do not follow the last one.
const errEventGap = errors.ConstError("events do not follow")

// streaming is the state of a stream's answer.
type streamExchange struct {
	*exchange
	control *http.ResponseController
	// started says that the head and an event have gone to the caller.
	started bool
	// last is the number of the last event that went to the caller, or what
	// the caller had before; none is -1.
	lastID int64
	// lastSent is last in the caller's own words.
	lastEventID string
	eventCount  int
	// first is when the first event went to the caller, lastAt the last, and
	// gap the longest pause between two.
	firstAt, lastAt time.Time
	maxGap          time.Duration
}

// stream serves a request that is answered by events. They are passed on as
// they come; where the route allows it, a stream that breaks off goes on at
// another endpoint within the same answer.
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

// end closes a stream that could not be completed.
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

// attempt sends the request to e and passes its events on.
func (t *streamExchange) attempt(ctx context.Context, e *fleet.Endpoint) (*reply, verdict) {
	ctx, b := t.withCanceler(ctx)
	defer b.end()
	watch := t.startIdleWatch(e, b)
	defer watch.stop()
	response, err := t.send(ctx, e, t.lastEventID)
	if err != nil {
		return nil, t.attemptFailed(ctx, e, err)
	}
	defer response.Close()
	t.recordSignals(e, response)
	v := t.classify(response)
	switch v {
	case verdictNotRun, verdictInvalid:
		t.discardResponse(e, response, v)
		return nil, v
	case verdictFailed:
		t.lastCause = "endpoint failed"
		t.finishAttempt(e, fleet.Failed)
		body, err := readResponseBody(response)
		if err != nil {
			return nil, verdictInvalid
		}
		response.Whole()
		return &reply{status: response.Status, header: response.Header, body: body}, verdictFailed
	}
	return nil, t.relayEvents(ctx, e, response, watch)
}

// pump passes events on until the stream ends.
func (t *streamExchange) relayEvents(ctx context.Context, e *fleet.Endpoint, response *upstream.Response, watch *idleWatch) verdict {
	events := eventstream.NewReader(response.Body)
	for {
		event, err := events.Next()
		readErr := err
		if err == io.EOF && t.started {
			response.Whole()
			t.finishAttempt(e, fleet.Answered)
			return verdictOK
		}
		if err == nil {
			watch.touch()
			t.recordFirstBytes(e)
			err = t.forwardEvent(response, event)
		}
		if err == nil {
			continue
		}
		if errors.Is(context.Cause(ctx), errStalled) {
			return t.attemptStalled(e)
		}
		t.lastCause = "stream broke off: " + err.Error()
		if ctx.Err() != nil {
			t.finishAttempt(e, fleet.Abandoned)
			return verdictInvalid
		}
		t.checkCrash(ctx, e, readErr)
		t.finishAttempt(e, fleet.Failed)
		t.server.log.Info("stream broken", "request", t.id, "attempt", t.attempts, "endpoint", e.ID, "events", t.eventCount, "error", err.Error())
		return verdictInvalid
	}
}

// passOn gives the caller one event; one that it has is left out.
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

// pace notes that an event goes to the caller.
func (t *streamExchange) recordEvent(now time.Time) {
	if t.eventCount == 0 {
		t.firstAt = now
	} else {
		t.maxGap = max(t.maxGap, now.Sub(t.lastAt))
	}
	t.lastAt = now
	t.eventCount++
}

// ended logs the stream's times and ends the request.
func (t *streamExchange) finishStream(outcome string, status int) {
	firstDelay := time.Duration(-1)
	if t.eventCount > 0 {
		firstDelay = t.firstAt.Sub(t.start)
	}
	t.server.log.Info("stream", "request", t.id, "first_ms", firstDelay.Milliseconds(), "gap_ms", t.maxGap.Milliseconds(), "events", t.eventCount, "usage", t.request.Header.Get(t.server.settings.Headers.TokenUsage))
	t.recordOutcome(outcome, t.lastCause, status)
}

// watch ends an attempt whose endpoint has been silent for too long, but
// only where another endpoint may go on with it.
type idleWatch struct {
	activity chan struct{}
	done     chan struct{}
}

func (w *idleWatch) touch() {
	select {
	case w.activity <- struct{}{}:
	default:
	}
}

func (w *idleWatch) stop() { close(w.done) }

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

// silenceLimit is how long one stream of a box that is heard may be silent;
// begun says that it has brought events.
func eventTimeout(started bool) time.Duration {
	if started {
		return nextEventTimeout
	}
	return firstEventTimeout
}

// fellSilent reports whether a stream that has been silent for some time
// should go on elsewhere: in any case after limit.
func (s *Server) streamStalled(e *fleet.Endpoint, idle, limit time.Duration, now time.Time) bool {
	if idle < boxSilenceTimeout {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return idle >= limit || e.SilentFor(now) >= boxSilenceTimeout
}
