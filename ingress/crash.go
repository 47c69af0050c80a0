// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"io"
	"maps"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/eventstream"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/quarantine"
)

const (
	// crashProbeTimeout limits the dial that checks whether an endpoint has crashed:
	// after a crash its address refuses connections.
	crashProbeTimeout = 150 * time.Millisecond
	// crashSettleTime is how long the gateway remembers that an endpoint has crashed.
	// Requests that it sends to the endpoint during this period may fail as well, but
	// are not blamed for the crash, since they were sent after it.
	crashSettleTime = 500 * time.Millisecond
	// suspectCrashLimit is the number of endpoint crashes recorded against a request at
	// which the gateway stops retrying it. Its caller may still send it again.
	suspectCrashLimit = 2
)

// checkCrash determines whether the attempt failed because its endpoint crashed, and
// if so records the crash against the request. A lost connection alone does not show
// this. After a crash, the endpoint's address also refuses connections, or its process
// has a new start time.
//
// It returns true only if the crash shows at once.
func (a *attempt) checkCrash(cause error) bool {
	x, e := a.exchange, a.endpoint
	s := x.server
	if !connectionLost(cause) {
		return false
	}
	if s.pool.Refuses(a.ctx, e.Address, crashProbeTimeout) {
		return a.recordCrash(clock.Now())
	}
	if a.endpointStartedMS == 0 {
		return false
	}
	address, startedMS := e.Address, a.endpointStartedMS
	go func() { // does not delay the next attempt
		if s.restartedSince(address, startedMS) {
			a.recordCrash(clock.Now())
		}
	}()
	return false
}

// maxLoggedParts is the length, in bytes, to which the parts of a prompt are cut in logs.
const maxLoggedParts = 256

// recordCrash records a crash of the endpoint against the request. It returns false, and
// records nothing, if the request was sent after the crash and so did not cause it.
func (a *attempt) recordCrash(now time.Time) bool {
	x, s := a.exchange, a.exchange.server
	if s.crashedBeforeSend(a.endpoint.ID, a.sentAt, now) {
		return false
	}
	s.metrics.Counter("mintlift_ingress_crashes_total", "service", x.service).Inc()
	o := quarantine.Observation{Endpoint: a.endpoint.ID, Sent: a.sentAt, At: now}
	if a.gotBytes {
		o.Responding = now.Sub(a.gotBytesAt)
	}
	status := s.suspects.RecordCrash(x.traits, o)
	parts := x.request.Header.Get(s.settings.Headers.PromptParts)
	s.events.Info("endpoint crashed", "endpoint", a.endpoint.ID, "request", x.id, "identity", x.traits.Identity.String(), "attempt", a.number,
		"ms", now.Sub(a.sentAt).Milliseconds(), "begun", a.gotBytes, "responding_ms", o.Responding.Milliseconds(), "parts", parts[:min(len(parts), maxLoggedParts)],
		"crashes", status.Crashes, "quarantined", status.Quarantined, "trait", x.traitName(status))
	s.logQuarantine(now)
	s.mu.Lock()
	s.requestNoticeLocked()
	s.mu.Unlock()
	return true
}

// restartDetectTimeout is how long restartedSince waits after a failed attempt for the
// endpoint's sidecar to report a new start time of the endpoint's process. The sidecar
// reads that several times in this period, and reports a change at once.
const restartDetectTimeout = 300 * time.Millisecond

// restartedSince reports whether the process of the endpoint at address has a later
// start time than startedMS. It detects a process that crashed but restarted so fast
// that its address accepts connections. It blocks for up to restartDetectTimeout.
func (s *Server) restartedSince(address string, startedMS int64) bool {
	const pollInterval = 20 * time.Millisecond
	for began := clock.Now(); clock.Since(began) < restartDetectTimeout; time.Sleep(pollInterval) {
		s.mu.Lock()
		current := s.fleet.StartedMSAt(address)
		s.mu.Unlock()
		if current > startedMS {
			return true
		}
	}
	return false
}

// connectionLost reports whether err can result from the end of the peer's process.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, eventstream.ErrTruncated) || errors.Is(err, errEndedByCrash) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// crashedBeforeSend reports whether the endpoint had crashed before an attempt was
// sent to it. If no recent crash of the endpoint is known, it records one at now and
// returns false.
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
