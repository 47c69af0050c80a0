// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/quarantine"
)

// logQuarantine logs and counts the traits of requests that have entered or left quarantine.
func (s *Server) logQuarantine(now time.Time) {
	for _, e := range s.suspects.TakeTransitions(now) {
		kind, event := "request", "released"
		if e.Depth > 0 {
			kind = "part"
		}
		if e.Quarantined {
			event = "quarantined"
		}
		s.metrics.Counter("mintlift_ingress_quarantine_total", "trait", kind, "event", event).Inc()
		s.events.Info("trait "+event, "trait", e.ID.String(), "kind", kind, "depth", e.Depth, "crashes", e.Crashes, "endpoints", e.Endpoints,
			"completed", e.Completed, "first_ms", e.FirstMS, "last_ms", e.LastMS)
	}
}

// traitName returns the name of the trait of a status for logs and responses: of a part of
// the prompt, its name and its ID, else the ID. It is empty if the status has no trait.
func (x *exchange) traitName(s quarantine.Status) string {
	if !s.Suspected() {
		return ""
	}
	if name := x.traits.PartName(s.Trait); name != "" {
		return "part " + name + " (" + s.Trait.String() + ")"
	}
	return s.Trait.String()
}

// suspected reports whether the request is a suspect: an endpoint crashed while running
// it, and it has not completed since.
func (x *exchange) suspected(now time.Time) bool { return x.suspectStatus(now).Suspected() }

// quarantined reports whether the request must not be sent because it is in
// quarantine. It is false if the request runs as a trial.
func (x *exchange) quarantined(now time.Time) bool {
	return !x.trial && x.suspectStatus(now).Quarantined
}

// blockedByQuarantine reports whether a new request must not be sent to any endpoint
// because it is in quarantine. If quarantine.Table.Trial allows it, the request runs
// once as a trial, and the result is false.
func (x *exchange) blockedByQuarantine() bool {
	now := x.start
	if !x.quarantined(now) {
		return false
	}
	x.trial = x.server.suspects.Trial(x.traits, now)
	if x.trial {
		x.server.events.Info("quarantined request runs as a trial", "request", x.id, "identity", x.traits.Identity.String(), "trait", x.traitName(x.suspectStatus(now)))
	}
	return !x.trial
}

// ClearSuspect deletes the crashes recorded against a trait on behalf of an operator,
// which releases its requests from quarantine. It reports whether there were any.
func (s *Server) ClearSuspect(id quarantine.ID, now time.Time) bool {
	cleared := s.suspects.Clear(id, now)
	s.events.Info("request cleared by an operator", "identity", id.String(), "known", cleared)
	s.mu.Lock()
	s.requestNoticeLocked()
	s.mu.Unlock()
	return cleared
}

// suspectStatus returns the quarantine status of the request.
func (x *exchange) suspectStatus(now time.Time) quarantine.Status {
	return x.server.suspects.Status(x.traits, now)
}

// crashLimitReached reports whether an endpoint crashed during this exchange and
// at least suspectCrashLimit crashes are recorded against the request or others with one of
// its traits, at any gateway.
func (x *exchange) crashLimitReached() bool {
	return x.crashes > 0 && x.suspectStatus(clock.Now()).Crashes >= suspectCrashLimit
}

// recordCompletion records that the request completed, which deletes the endpoint
// crashes recorded against its traits.
func (x *exchange) recordCompletion() {
	if !x.server.suspects.RecordCompletion(x.traits, clock.Now()) {
		return
	}
	x.server.events.Info("request cleared", "request", x.id, "identity", x.traits.Identity.String())
	x.server.logQuarantine(clock.Now())
}

// recordOnset records that the endpoint has been responding for so long that the parts of
// the prompt do not crash it. Further calls have no effect.
func (a *attempt) recordOnset(now time.Time) {
	if a.onsetRecorded || !a.gotBytes || now.Sub(a.gotBytesAt) < quarantine.OnsetTime {
		return
	}
	a.onsetRecorded = true
	if x := a.exchange; x.server.suspects.RecordOnset(x.traits, now) {
		x.server.events.Info("parts cleared", "request", x.id, "attempt", a.number, "endpoint", a.endpoint.ID)
		x.server.logQuarantine(now)
	}
}

// rejectQuarantined responds to a request in quarantine. If the request has certainly
// not run in this exchange, the response is 503, and Retry-After is the time until it
// leaves quarantine at the latest. If it may have run, the response is 502 without
// Retry-After.
func (x *exchange) rejectQuarantined() {
	now := clock.Now()
	status := x.suspectStatus(now)
	cause := "in quarantine: endpoints crashed under request " + x.traits.Identity.String() + ", and it has ended well at none"
	if name := x.traits.PartName(status.Trait); name != "" {
		cause = "in quarantine: endpoints crashed under requests with " + x.traitName(status) + " of their prompts, and none has ended well"
	}
	x.server.suspects.RecordRejection(status.Trait, now)
	if x.mayHaveRun {
		x.respond(http.StatusBadGateway, outcomeQuarantined, cause)
		return
	}
	left := x.server.suspects.Remaining(status.Trait, now)
	x.writer.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(left.Seconds()), 'f', -1, 64))
	x.respond(http.StatusServiceUnavailable, outcomeQuarantined, cause)
}

// Suspects returns the crash records to send to other gateways. Each names a trait of
// requests that were in progress when endpoints crashed, and the crashes.
func (s *Server) Suspects(now time.Time) []quarantine.Record { return s.suspects.Records(now) }

// MergeSuspects adds the crash records that another gateway's Suspects returned to
// those of this gateway.
func (s *Server) MergeSuspects(records []quarantine.Record, now time.Time) {
	if len(records) == 0 || !s.suspects.Merge(records, now) {
		return
	}
	if s.suspects.KnowsCompletion(records) {
		s.mu.Lock()
		s.requestNoticeLocked()
		s.mu.Unlock()
	}
	suspected, quarantined := s.suspects.Counts(now)
	s.events.Info("suspects merged", "suspected", suspected, "quarantined", quarantined)
	s.logQuarantine(now)
}

// QuarantineEvidence returns what is known of the traits of requests that were in progress
// when endpoints crashed.
func (s *Server) QuarantineEvidence(now time.Time) []quarantine.Evidence { return s.suspects.List(now) }

// Relays returns the addresses of the endpoints of a service whose sidecars relay
// messages between gateways.
func (s *Server) Relays(service string, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Relays(service, now)
}
