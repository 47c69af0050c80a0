// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
)

// drainEnd is the reason for which a drain ended.
type drainEnd string

// The ends of a drain.
const (
	// drainEmpty means that the engine has no requests left.
	drainEmpty drainEnd = "empty"
	// drainQueue means that a queued request could begin on the old version after the
	// deadline.
	drainQueue drainEnd = "queue"
	// drainTimedOut means that requests ran longer than any gateway waits for.
	drainTimedOut drainEnd = "timeout"
	// drainCanceled means that the sidecar stops.
	drainCanceled drainEnd = "canceled"
)

const (
	// drainPollInterval is the pause between two looks at the engine's state.
	drainPollInterval = 50 * time.Millisecond
	// maxDrainReportAge is the age from which the last report of the engine's state says
	// nothing about its requests: several reports are missing.
	maxDrainReportAge = 200 * time.Millisecond
)

// Draining reports whether the engine should get no new requests because it is being
// drained or updated.
func (i *Installer) Draining() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.draining
}

// setDraining sets whether gateways are told to send the engine no new requests.
func (i *Installer) setDraining(draining bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.draining = draining
}

// drain sets the engine draining and waits until it has no requests left. Requests that
// began before the deadline of the new version may go on after it, so that only a request
// that is still queued then, or runs longer than its gateway waits for, is aborted by the
// load. The caller ends the drain with setDraining.
func (i *Installer) drain(ctx context.Context, s *updateStep) {
	i.setDraining(true)
	state, readAt := i.State()
	i.log.Info("drain started", "running", state.Running, "queued", state.Queued, "version", state.Version)
	began := clock.Now()
	told := toldTime{needed: min(s.drainLimit, drainPropagation), last: began}
	if s.drainLimit == 0 {
		told.at = began.Add(-maxDrainReportAge) // gateways stopped routing to the engine before
	}
	end := s.drainEnded(state, readAt, told, began, began)
	for ; end == ""; end = s.drainEnded(state, readAt, told, began, clock.Now()) {
		clock.Sleep(ctx, drainPollInterval)
		if ctx.Err() != nil {
			end = drainCanceled
			break
		}
		told.advance(clock.Now())
		state, readAt = i.drainState(ctx, state, readAt)
		i.postponeUpdate(clock.Now())
	}
	s.abortRunning = end != drainEmpty
	queueLeft := time.Duration(-1)
	if !s.queueUntil.IsZero() {
		queueLeft = max(clock.Until(s.queueUntil), 0)
	}
	i.log.Info("drain ended", "reason", string(end), "running", state.Running, "queued", state.Queued, "version", state.Version,
		"ms", clock.Since(began).Milliseconds(), "limit_ms", s.runningLimit().Milliseconds(), "queue_left_ms", queueLeft.Milliseconds())
	i.metrics.Counter("mintlift_installer_drains_total", "reason", string(end)).Inc()
	if s.abortRunning {
		i.metrics.Counter("mintlift_installer_requests_aborted_total").Add(state.Running + state.Queued)
	}
}

// toldTime is when all gateways have been told of a drain. A sidecar that pauses tells none
// meanwhile, so only the time in which it runs counts.
type toldTime struct {
	needed, running time.Duration
	last            time.Time // of advance
	at              time.Time // zero before
}

// advance counts the time since the last call, at most one poll.
func (t *toldTime) advance(now time.Time) {
	t.running += min(now.Sub(t.last), drainPollInterval)
	t.last = now
	if t.at.IsZero() && t.running >= t.needed {
		t.at = now
	}
}

// drainState returns the engine's state and when it was read. It reads the state itself if
// reports are missing, and returns the last ones if that fails.
func (i *Installer) drainState(ctx context.Context, last EngineState, lastAt time.Time) (EngineState, time.Time) {
	state, at := i.State()
	if clock.Since(at) <= maxDrainReportAge {
		return state, at
	}
	if state, err := i.engine.State(ctx); err == nil {
		return state, clock.Now()
	}
	return last, lastAt
}

// drainEnded returns why a drain that began at the given time ends now, with the engine's
// last state and when it was read, or an empty string if it does not.
func (s *updateStep) drainEnded(state EngineState, readAt time.Time, told toldTime, began, now time.Time) drainEnd {
	elapsed := now.Sub(began)
	switch {
	case told.at.IsZero():
		return ""
	case state.Running+state.Queued == 0 && readAt.After(told.at):
		return drainEmpty
	case state.Queued > 0 && elapsed >= s.drainLimit && !now.Before(s.queueUntil):
		return drainQueue
	case elapsed >= s.runningLimit():
		return drainTimedOut
	}
	return ""
}

// runningLimit bounds a drain. Gateways end each request within the timeout of its route.
// The deadline of a version is the limit if that is unknown or shorter: a configuration
// that shortens a timeout does not apply to requests that run already.
func (s *updateStep) runningLimit() time.Duration {
	return max(s.params.RequestTimeout, s.params.Deadline)
}

// abortsRunning reports whether the load aborts the requests that run at an engine with the
// given state. After a complete drain only a request can run that a gateway sent before it
// received the report of the drain; the engine ends it first. An unverified version must
// not go on.
func (s *updateStep) abortsRunning(state EngineState) bool {
	return state.Version != 0 && (s.engineEmpty || s.abortRunning)
}
