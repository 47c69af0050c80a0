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
	silentBox = 900 * time.Millisecond
	// silentStream is the same for one stream of a box that is heard, and
	// silentBegun for one that has brought events: an engine that waits for a
	// slot may take seconds to begin, but one that writes does not pause for
	// so long, and callers leave after two seconds of silence.
	silentStream = 2200 * time.Millisecond
	silentBegun  = 1200 * time.Millisecond
	// watchEvery is how often that is looked at.
	watchEvery = 300 * time.Millisecond
)

// errOrder says that an endpoint's events do not follow the last one.
const errOrder = errors.ConstError("events do not follow")

// streaming is the state of a stream's answer.
type streaming struct {
	*exchange
	control *http.ResponseController
	// started says that the head and an event have gone to the caller.
	started bool
	// last is the number of the last event that went to the caller, or what
	// the caller had before; none is -1.
	last int64
	// lastSent is last in the caller's own words.
	lastSent string
	events   int
	// first is when the first event went to the caller, lastAt the last, and
	// gap the longest pause between two.
	first, lastAt time.Time
	gap           time.Duration
}

// stream serves a request that is answered by events. They are passed on as
// they come; where the route allows it, a stream that breaks off goes on at
// another endpoint within the same answer.
func (x *exchange) stream(ctx context.Context) {
	x.countRequest()
	t := &streaming{exchange: x, control: http.NewResponseController(x.writer), last: -1, lastSent: x.request.Header.Get("Last-Event-Id")}
	if id, err := strconv.ParseInt(t.lastSent, 10, 64); err == nil {
		t.last = id
	}
	failure, v := x.try(ctx, t.attempt)
	if v == good {
		t.ended(outcomeAnswered, http.StatusOK)
		return
	}
	t.end(ctx, failure)
}

// end closes a stream that could not be completed.
func (t *streaming) end(ctx context.Context, failure *reply) {
	if t.started {
		outcome := outcomeBroken
		if t.callerLeft() {
			outcome = outcomeLeft
		}
		t.ended(outcome, http.StatusOK)
		panic(http.ErrAbortHandler)
	}
	if failure != nil && !t.callerLeft() {
		t.pass(failure, outcomeFailed)
		return
	}
	t.giveUp(ctx)
}

// attempt sends the request to e and passes its events on.
func (t *streaming) attempt(ctx context.Context, e *fleet.Endpoint) (*reply, verdict) {
	ctx, b := t.breakable(ctx)
	defer b.end()
	watch := t.watch(e, b)
	defer watch.stop()
	response, err := t.send(ctx, e, t.lastSent)
	if err != nil {
		return nil, t.broken(ctx, e, err)
	}
	defer response.Close()
	t.observe(e, response)
	v := t.judge(response)
	switch v {
	case notRun, spoilt:
		t.discard(e, response, v)
		return nil, v
	case answered:
		t.lastCause = "endpoint failed"
		t.finish(e, fleet.Failed)
		body, err := readWhole(response)
		if err != nil {
			return nil, spoilt
		}
		response.Whole()
		return &reply{status: response.Status, header: response.Header, body: body}, answered
	}
	return nil, t.pump(ctx, e, response, watch)
}

// pump passes events on until the stream ends.
func (t *streaming) pump(ctx context.Context, e *fleet.Endpoint, response *upstream.Response, watch *watch) verdict {
	events := eventstream.NewReader(response.Body)
	for {
		event, err := events.Next()
		readErr := err
		if err == io.EOF && t.started {
			response.Whole()
			t.finish(e, fleet.Answered)
			return good
		}
		if err == nil {
			watch.alive()
			t.begin(e)
			err = t.passOn(response, event)
		}
		if err == nil {
			continue
		}
		if errors.Is(context.Cause(ctx), errSilent) {
			return t.silent(e)
		}
		t.lastCause = "stream broke off: " + err.Error()
		if ctx.Err() != nil {
			t.finish(e, fleet.Abandoned)
			return spoilt
		}
		t.checkCrash(ctx, e, readErr)
		t.finish(e, fleet.Failed)
		t.server.log.Info("stream broken", "request", t.id, "attempt", t.attempts, "endpoint", e.ID, "events", t.events, "error", err.Error())
		return spoilt
	}
}

// passOn gives the caller one event; one that it has is left out.
func (t *streaming) passOn(response *upstream.Response, event eventstream.Event) error {
	if event.HasID {
		if event.ID <= t.last {
			return nil
		}
		if t.last >= 0 && event.ID != t.last+1 {
			return errOrder
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
		t.last = event.ID
		t.lastSent = strconv.FormatInt(event.ID, 10)
	}
	t.pace(clock.Now())
	return t.control.Flush()
}

// pace notes that an event goes to the caller.
func (t *streaming) pace(now time.Time) {
	if t.events == 0 {
		t.first = now
	} else {
		t.gap = max(t.gap, now.Sub(t.lastAt))
	}
	t.lastAt = now
	t.events++
}

// ended logs the stream's times and ends the request.
func (t *streaming) ended(outcome string, status int) {
	first := time.Duration(-1)
	if t.events > 0 {
		first = t.first.Sub(t.start)
	}
	t.server.log.Info("stream", "request", t.id, "first_ms", first.Milliseconds(), "gap_ms", t.gap.Milliseconds(), "events", t.events, "usage", t.request.Header.Get(t.server.settings.Headers.TokenUsage))
	t.close(outcome, t.lastCause, status)
}

// watch ends an attempt whose endpoint has been silent for too long, but
// only where another endpoint may go on with it.
type watch struct {
	heard chan struct{}
	done  chan struct{}
}

func (w *watch) alive() {
	select {
	case w.heard <- struct{}{}:
	default:
	}
}

func (w *watch) stop() { close(w.done) }

func (t *streaming) watch(e *fleet.Endpoint, b *breaker) *watch {
	w := &watch{heard: make(chan struct{}, 1), done: make(chan struct{})}
	if !t.movable() {
		return w
	}
	go func() {
		ticker := time.NewTicker(watchEvery)
		defer ticker.Stop()
		last, limit := clock.Now(), silenceLimit(false)
		for {
			select {
			case <-w.done:
				return
			case <-w.heard:
				last, limit = clock.Now(), silenceLimit(true)
			case <-ticker.C:
				now := clock.Now()
				if t.server.fellSilent(e, now.Sub(last), limit, now) && b.breakOff(now) {
					return
				}
			}
		}
	}()
	return w
}

// silenceLimit is how long one stream of a box that is heard may be silent;
// begun says that it has brought events.
func silenceLimit(begun bool) time.Duration {
	if begun {
		return silentBegun
	}
	return silentStream
}

// fellSilent reports whether a stream that has been silent for some time
// should go on elsewhere: in any case after limit.
func (s *Server) fellSilent(e *fleet.Endpoint, silent, limit time.Duration, now time.Time) bool {
	if silent < silentBox {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return silent >= limit || e.SilentFor(now) >= silentBox
}
