// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/quarantine"
)

const (
	// crashProbe bounds the dial that tells a crash from a broken connection:
	// a process that has ended refuses at once.
	crashProbeTimeout = 150 * time.Millisecond
	// crashSettles is for how long after a crash a request may still have been
	// sent to the endpoint; it did not run there, so the crash says nothing of it.
	crashSettleTime = 500 * time.Millisecond
	// restAfter is after how many crashes a request is not taken up again
	// within its try: its caller may try again, at one endpoint at a time.
	suspectCrashLimit = 2
)

// checkCrash finds out whether an attempt broke off because its endpoint
// crashed, and remembers that of the request. A cut link, a reset connection and
// an answer that the endpoint broke off look alike; only a process that has ended
// refuses connections.
func (x *exchange) checkCrash(ctx context.Context, e *fleet.Endpoint, cause error) {
	s := x.server
	if !connectionLost(cause) {
		return
	}
	c := crashedAttempt{endpoint: e.ID, request: x.id, identity: x.identity, service: x.service, attempt: x.attempts, sentAt: x.sentAt}
	if s.pool.Refuses(ctx, e.Address, crashProbeTimeout) {
		if s.recordCrash(c, clock.Now()) {
			x.crashes++
		}
		return
	}
	if x.startedMS == 0 {
		return
	}
	address, startedMS := e.Address, x.startedMS
	go func() { // the request goes on elsewhere meanwhile
		if s.restartedSince(address, startedMS) {
			s.recordCrash(c, clock.Now())
		}
	}()
}

// crashed is an attempt under which an endpoint crashed.
type crashedAttempt struct {
	endpoint, request string
	identity          quarantine.ID
	service           string
	attempt           int
	sentAt            time.Time
}

// noteCrash holds a crash against the request; it returns false for one that says
// nothing of it.
func (s *Server) recordCrash(c crashedAttempt, now time.Time) bool {
	if s.crashedBeforeSend(c.endpoint, c.sentAt, now) {
		return false
	}
	s.metrics.Counter("mintlift_ingress_crashes_total", "service", c.service).Inc()
	status := s.suspects.Crashed(c.identity, c.sentAt, now)
	s.events.Info("endpoint crashed", "endpoint", c.endpoint, "request", c.request, "identity", c.identity.String(), "attempt", c.attempt,
		"ms", now.Sub(c.sentAt).Milliseconds(), "crashes", status.Crashes, "quarantined", status.Quarantined())
	s.mu.Lock()
	s.sendNoticeLocked()
	s.mu.Unlock()
	return true
}

// bornWithin is how long after an attempt broke off the endpoint's birth is looked
// at: its sidecar reads it every 40 ms, and tells at once what has changed.
const restartDetectTimeout = 300 * time.Millisecond

// bornSince reports whether the process of the endpoint at an address has begun
// anew since a life was noted: one that is back within milliseconds accepts
// connections as if it had not ended.
func (s *Server) restartedSince(address string, startedMS int64) bool {
	const pollInterval = 20 * time.Millisecond
	for began := clock.Now(); clock.Since(began) < restartDetectTimeout; time.Sleep(pollInterval) {
		s.mu.Lock()
		current := s.fleet.Life(address)
		s.mu.Unlock()
		if current > startedMS {
			return true
		}
	}
	return false
}

// brokeOff reports whether a connection ended as it does with its process.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// crashedBefore reports whether an endpoint had crashed when an attempt was sent
// to it, and notes its crash if it is the first that is heard of.
func (s *Server) crashedBeforeSend(endpoint string, sent, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.crashedAt, func(_ string, crashedAt time.Time) bool { return now.Sub(crashedAt) > crashSettleTime })
	crashedAt, known := s.crashedAt[endpoint]
	if !known {
		s.crashedAt[endpoint] = now
		return false
	}
	return sent.After(crashedAt)
}

// suspected and quarantined tell what is known of the request.
func (x *exchange) suspected(now time.Time) bool { return x.suspectStatus(now).Suspected() }

func (x *exchange) quarantined(now time.Time) bool {
	return !x.trial && x.suspectStatus(now).Quarantined()
}

// keptOut reports whether a new try must be sent to no endpoint; one in a while
// is let through, alone and once, to see whether it is to blame.
func (x *exchange) blockedByQuarantine() bool {
	now := x.start
	if !x.quarantined(now) {
		return false
	}
	x.trial = x.server.suspects.Trial(x.identity, now)
	if x.trial {
		x.server.events.Info("request in quarantine runs once", "request", x.id, "identity", x.identity.String())
	}
	return !x.trial
}

// ClearSuspect lets a request out of quarantine, by an operator's word.
func (s *Server) ClearSuspect(id quarantine.ID, now time.Time) bool {
	cleared := s.suspects.Clear(id, now)
	s.events.Info("request cleared by an operator", "identity", id.String(), "known", cleared)
	s.mu.Lock()
	s.sendNoticeLocked()
	s.mu.Unlock()
	return cleared
}

func (x *exchange) suspectStatus(now time.Time) quarantine.Standing {
	return x.server.suspects.Standing(x.identity, now)
}

// mustRest reports whether an endpoint has crashed under this try of a request
// that was suspected before.
func (x *exchange) crashLimitReached() bool {
	return x.crashes > 0 && x.suspectStatus(clock.Now()).Crashes >= suspectCrashLimit
}

// endedWell clears the request of crashes that it was suspected of.
func (x *exchange) recordCompletion() {
	if !x.server.suspects.EndedWell(x.identity, clock.Now()) {
		return
	}
	x.server.events.Info("request cleared", "request", x.id, "identity", x.identity.String())
}

// rejectQuarantined answers a request that is kept from endpoints. A try that has
// reached none has not run: its caller is told so, and to come back when the request
// is let in again at the latest, which for one that is to blame is in minutes. One
// that was sent may have run, so the status promises nothing.
func (x *exchange) rejectQuarantined() {
	cause := "in quarantine: endpoints crashed under request " + x.identity.String() + ", and it has ended well at none"
	if x.mayHaveRun {
		x.respond(http.StatusBadGateway, outcomeQuarantined, cause)
		return
	}
	left := x.server.suspects.Left(x.identity, clock.Now())
	x.writer.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(left.Seconds()), 'f', -1, 64))
	x.respond(http.StatusServiceUnavailable, outcomeQuarantined, cause)
}

// Suspects returns what other gateways are to be told of requests under which
// endpoints crashed.
func (s *Server) Suspects(now time.Time) []quarantine.Record { return s.suspects.Tell(now) }

// HeardSuspects takes what another gateway told.
func (s *Server) HeardSuspects(records []quarantine.Record, now time.Time) {
	if len(records) == 0 || !s.suspects.Merge(records, now) {
		return
	}
	suspected, quarantined := s.suspects.Len(now)
	s.events.Info("suspects heard", "suspected", suspected, "quarantined", quarantined)
}

// Relays returns the addresses of the endpoints of a service whose sidecars pass
// on what gateways tell each other.
func (s *Server) Relays(service string, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Relays(service, now)
}
