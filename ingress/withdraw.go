// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
)

// How long an engine queues a request cannot be known when it is sent: gateways that see
// the same free slot may all use it before the next report. So an attempt at an engine
// with an older version that shows no sign of having begun is withdrawn shortly before
// the target version's deadline: its connection is closed, which makes the engine drop a
// queued request, and the request is sent elsewhere if the route allows that. Whether a
// withdrawn attempt has run is unknown.

// withdrawalLead is how long before a target version's deadline the attempts are
// withdrawn. It bounds the time in which a closed connection takes effect at the engine,
// including a loss of the packet. It is at most withdrawalLeadShare of the time from the
// usual cutoff to the deadline, so that no request is sent after the withdrawal.
const (
	withdrawalLead      = 500 * time.Millisecond
	withdrawalLeadShare = 0.5
)

// errWithdrawn is the cause with which an attempt is canceled that has not visibly begun
// when its engine's version is about to pass the deadline.
const errWithdrawn = errors.ConstError("not begun close to the deadline of a newer version")

// addUnbegun makes an attempt one that may be withdrawn, until its first event arrives or
// it ends.
func (s *Server) addUnbegun(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unbegun[a] = true
}

// withdrawUnbegun cancels the attempts that engines with versions of model older than
// version have not visibly begun.
func (s *Server) withdrawUnbegun(model string, version int) {
	for _, a := range s.unbegunBelow(model, version, clock.Now()) {
		s.withdraw(a, version)
	}
}

// unbegunBelow returns the attempts that engines with versions of model older than version
// have not visibly begun.
func (s *Server) unbegunBelow(model string, version int, now time.Time) (attempts []*attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.unbegun {
		if a.exchange.model == model && a.versionNow(now) < version {
			attempts = append(attempts, a)
		}
	}
	return attempts
}

// versionNow returns the version that the engine of an attempt holds. One whose reports are
// missing has the version that it had when the attempt was sent, or a newer one.
func (a *attempt) versionNow(now time.Time) int {
	held := a.endpoint.HeldVersion(a.exchange.model, now)
	if held == 0 && a.endpoint.ReportsMissing(now) {
		return a.heldVersion
	}
	return held
}

// withdraw cancels an attempt with errWithdrawn, unless it has ended or received its first
// event since unbegunBelow returned it.
func (s *Server) withdraw(a *attempt, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unbegun[a] {
		return
	}
	delete(s.unbegun, a)
	a.cancel(errWithdrawn)
	x, now := a.exchange, clock.Now()
	running, queued := a.endpoint.Reported()
	s.log.Info("attempt withdrawn", "request", x.id, "attempt", a.number, "endpoint", a.endpoint.ID, "holds", a.endpoint.HeldVersion(x.model, now), "version", version,
		"running", running, "queued", queued, "report_ms", a.endpoint.ReportAge(now).Milliseconds(), "ms", now.Sub(a.sentAt).Milliseconds())
	s.metrics.Counter("mintlift_ingress_withdrawn_attempts_total").Inc()
}
