// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"io"
	"maps"
	"net/http"
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
	crashProbe = 150 * time.Millisecond
	// crashSettles is for how long after a crash a request may still have been
	// sent to the endpoint; it did not run there, so the crash says nothing of it.
	crashSettles = 500 * time.Millisecond
	// restAfter is after how many crashes a request is not taken up again
	// within its try: its caller may try again, at one endpoint at a time.
	restAfter = 2
)

// checkCrash finds out whether an attempt broke off because its endpoint
// crashed, and remembers that of the request. A cut link, a reset connection and
// an answer that the endpoint broke off look alike; only a process that has ended
// refuses connections.
func (x *exchange) checkCrash(ctx context.Context, e *fleet.Endpoint, cause error) {
	s := x.server
	if !brokeOff(cause) || !s.pool.Refuses(ctx, e.Address, crashProbe) {
		return
	}
	now := clock.Now()
	if s.crashedBefore(e.ID, x.sent, now) {
		return
	}
	x.crashes++
	s.metrics.Counter("mintlift_ingress_crashes_total", "service", x.service).Inc()
	standing := s.suspects.Crashed(x.identity, x.sent, now)
	s.events.Info("endpoint crashed", "endpoint", e.ID, "request", x.id, "identity", x.identity.String(), "attempt", x.attempts,
		"ms", now.Sub(x.sent).Milliseconds(), "crashes", standing.Crashes, "quarantined", standing.Quarantined())
	s.mu.Lock()
	s.tellSoonLocked()
	s.mu.Unlock()
}

// brokeOff reports whether a connection ended as it does with its process.
func brokeOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// crashedBefore reports whether an endpoint had crashed when an attempt was sent
// to it, and notes its crash if it is the first that is heard of.
func (s *Server) crashedBefore(endpoint string, sent, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.crashedAt, func(_ string, at time.Time) bool { return now.Sub(at) > crashSettles })
	at, known := s.crashedAt[endpoint]
	if !known {
		s.crashedAt[endpoint] = now
		return false
	}
	return sent.After(at)
}

// suspected and quarantined tell what is known of the request.
func (x *exchange) suspected(now time.Time) bool { return x.standing(now).Suspected() }

func (x *exchange) quarantined(now time.Time) bool { return x.standing(now).Quarantined() }

func (x *exchange) standing(now time.Time) quarantine.Standing {
	return x.server.suspects.Standing(x.identity, now)
}

// mustRest reports whether an endpoint has crashed under this try of a request
// that was suspected before.
func (x *exchange) mustRest() bool {
	return x.crashes > 0 && x.standing(clock.Now()).Crashes >= restAfter
}

// endedWell clears the request of crashes that it was suspected of.
func (x *exchange) endedWell() {
	if !x.server.suspects.EndedWell(x.identity, clock.Now()) {
		return
	}
	x.server.events.Info("request cleared", "request", x.id, "identity", x.identity.String())
}

// rejectQuarantined answers a request that is kept from endpoints. It may have
// run in another try, so the status promises nothing, and nothing invites the
// caller back.
func (x *exchange) rejectQuarantined() {
	x.fail(http.StatusBadGateway, outcomeQuarantined, "in quarantine: endpoints crashed under request "+x.identity.String()+", and it has ended well at none")
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
