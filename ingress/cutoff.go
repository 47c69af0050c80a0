// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"slices"
	"time"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/routing"
)

// versionMargins are the times before the deadline of a target version from which an
// engine with an older version gets fewer requests.
type versionMargins struct {
	// last is when it gets no more requests: the cutoff. scheduled replaces last for an
	// engine whose update is scheduled.
	last, scheduled time.Duration
	// atOnce is from when it gets only requests that it can begin at once.
	atOnce time.Duration
	// reported is from when it gets requests only on a recent report; 0 if no report is
	// needed before atOnce. A box that is frozen may begin a queued request as soon as it
	// resumes, whatever its gateway does.
	reported time.Duration
}

// usualMargins returns the margins that rest on estimates of the engines' queues.
func (s *Server) usualMargins() versionMargins {
	last := s.versionMargin()
	return versionMargins{last: last, scheduled: last - scheduledUpdateLead, atOnce: last + nextVersionLead}
}

// Parameters of lateMargins.
const (
	// deliveryTime bounds the time until a request reaches the engine. It is the delay
	// from which an engine gets no requests that must begin at once (fleet.delayHigh).
	deliveryTime = 100 * time.Millisecond
	// longestQueueTime is how long requests may wait in an engine's queue after many
	// gateways have used the same free slot (docs/design/version-bound.md). A request that is
	// sent earlier than that before the withdrawal is rarely withdrawn.
	longestQueueTime = 2300 * time.Millisecond
	// maxPrefillMS limits the prefill time, in milliseconds, that beginTime counts. It is
	// longer than every margin. Callers state any number of prompt tokens, and a
	// time.Duration of too many would overflow.
	maxPrefillMS = 60e3
)

// lateMargins returns the margins of a request that is withdrawn if it has brought no
// event, so that the cutoff need not allow for a queue. beginTime is the time in which an
// engine with a free slot sends the first event. The cutoff is never earlier than the
// usual one.
func lateMargins(usual versionMargins, beginTime time.Duration) versionMargins {
	withdrawal := withdrawalMargin(usual)
	last := min(withdrawal+deliveryTime+beginTime, usual.last)
	return versionMargins{
		last: last, scheduled: last,
		atOnce:   min(max(withdrawal+longestQueueTime, last), usual.atOnce),
		reported: usual.atOnce,
	}
}

// beginTime returns the time in which an engine with a free slot sends the first event of
// a response. It includes a prompt of mean length, because another gateway's request may
// begin in the same pass.
func beginTime(prefillMS, meanPrefillMS float64) time.Duration {
	return enginePassTime + time.Duration(min(prefillMS+meanPrefillMS, maxPrefillMS)*float64(time.Millisecond))
}

// versionBounds are the versions of a model that an attempt requires; see the fields of
// fleet.Query with the same meanings.
type versionBounds struct {
	lowest, beforeUpdate, next, reported int
}

// boundsAt returns the bounds of an attempt at the time now. late are its margins for the
// target versions with TargetVersion.late; nil stands for the usual ones.
func boundsAt(targets []TargetVersion, usual versionMargins, late *versionMargins, now time.Time) (b versionBounds) {
	for _, n := range targets {
		m := usual
		if n.late && late != nil {
			m = *late
		}
		within := func(margin time.Duration) bool { return now.After(n.deadline.Add(-margin)) }
		if within(m.last) {
			b.lowest = n.Version
		}
		if within(m.scheduled) {
			b.beforeUpdate = n.Version
		}
		if within(m.atOnce) {
			b.next = n.Version
		}
		if m.reported > 0 && within(m.reported) {
			b.reported = n.Version
		}
	}
	return b
}

// versionBounds returns the bounds of the next attempt of x. Server.mu must be held.
func (s *Server) versionBounds(x *exchange, now time.Time) versionBounds {
	usual := s.usualMargins()
	if !x.showsBeginning() {
		return boundsAt(s.targetVersions[x.model], usual, nil, now)
	}
	late := lateMargins(usual, beginTime(x.prefillMS, x.meanPrefillMS))
	return boundsAt(s.targetVersions[x.model], usual, &late, now)
}

// widestVersionBounds returns bounds that are no stricter than those of any request for
// the model and the service of x. Server.mu must be held.
func (s *Server) widestVersionBounds(x *exchange, now time.Time) versionBounds {
	usual := s.usualMargins()
	late := lateMargins(usual, beginTime(0, x.meanPrefillMS))
	return boundsAt(s.targetVersions[x.model], usual, &late, now)
}

// showsBeginning reports whether the response to x shows when the engine has begun, and
// x may be sent again if it is withdrawn. A plain response shows nothing until its end.
func (x *exchange) showsBeginning() bool {
	return x.route != nil && x.route.Kind == routing.Streaming && x.route.Resumable
}

// withdrawalResets reports whether the withdrawal of an attempt of x must also drop what
// the kernel has not delivered yet: after a late cutoff there is no time for a packet to
// be sent again before the deadline.
func (x *exchange) withdrawalResets() bool {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.showsBeginning() && slices.ContainsFunc(s.targetVersions[x.model], func(n TargetVersion) bool { return n.late })
}

// dropsUndelivered reports whether what the kernel has not delivered yet of an attempt of x
// at e must be dropped at the end of the attempt, whatever its cause, for example if the
// caller leaves. It must after the usual cutoff, if the cutoff is late: packets that are
// sent again might arrive after the deadline.
func (x *exchange) dropsUndelivered(e *fleet.Endpoint, now time.Time) bool {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, margin := e.HeldVersion(x.model, now), s.versionMargin()
	return slices.ContainsFunc(s.targetVersions[x.model], func(n TargetVersion) bool {
		return n.late && holds < n.Version && now.After(n.deadline.Add(-margin)) && now.Before(n.deadline)
	})
}

// CutoffMargin returns how long before the deadline of a target version the gateway stops
// sending requests to older versions of the model, or 0 for the usual time. It is the
// latest such time of all requests.
func (s *Server) CutoffMargin(model string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	margin, _ := s.lateMarginLocked(model)
	return margin
}

// lateMarginLocked returns the time from the late cutoff of a model's target versions to
// their deadlines. It returns false if the usual cutoff applies: the late one requires
// that all services of the model are contended, that all their streams can be resumed, and
// that their prefill rates are known. Server.mu must be held.
func (s *Server) lateMarginLocked(model string) (time.Duration, bool) {
	c := s.routes.Get()
	if c == nil {
		return 0, false
	}
	usual := s.usualMargins()
	margin := usual.last
	for name, service := range c.Services {
		e := service.Engine
		if e == nil || e.Model != model {
			continue
		}
		if !s.contendedLocked(service) || e.PrefillRate <= 0 || !c.StreamsResumable(name) {
			return 0, false
		}
		margin = min(margin, lateMargins(usual, beginTime(0, prefillMS(e, e.MeanPromptTokens))).last)
	}
	if margin >= usual.last {
		return 0, false
	}
	return margin, true
}

// updateCutoff sets the cutoff of a target version from its deadline. The cutoff becomes
// late only before the usual one, so that a version that has been refused is not used
// again; it can always become earlier. A deadline whose time is not known does not allow a
// late cutoff. Server.mu must be held.
func (s *Server) updateCutoff(model string, n *TargetVersion, now time.Time) {
	usual := n.deadline.Add(-s.versionMargin())
	margin, ok := s.lateMarginLocked(model)
	n.late = ok && !n.AgeUnknown && (n.late || now.Before(usual))
	n.cutoff = usual
	if n.late {
		n.cutoff = n.deadline.Add(-margin)
	}
}

// updateCutoffs updates the cutoffs of all target versions, after a change of the number
// of gateways or of the configuration. Server.mu must be held.
func (s *Server) updateCutoffs(now time.Time) {
	for model, list := range s.targetVersions {
		for i := range list {
			n := &list[i]
			before := n.late
			s.updateCutoff(model, n, now)
			if n.late != before && now.Before(n.deadline) {
				s.events.Info("version cutoff changed", "model", model, "version", n.Version, "late", n.late, "due", n.cutoff)
			}
		}
	}
}

// withdrawalMargin returns the time from the withdrawal of attempts to the deadline of a
// target version.
func withdrawalMargin(usual versionMargins) time.Duration {
	return min(withdrawalLead, time.Duration(withdrawalLeadShare*float64(usual.last)))
}

// scheduleWithdrawal schedules the withdrawal of the attempts at engines with versions
// older than version, whose deadline is given. It is at the same time for all margins.
func (s *Server) scheduleWithdrawal(model string, version int, deadline time.Time) {
	at := deadline.Add(-withdrawalMargin(s.usualMargins()))
	clock.AfterFunc(at, func() { s.withdrawUnbegun(model, version) })
}

// expectVersionTime is how long after the deadline of a target version requests still name
// the version that their engine is expected to hold. It exceeds the time for which an order
// to load may be delayed on the way.
const expectVersionTime = 15 * time.Second

// expectedVersion returns the version that the engine e must hold to run x, or 0 if x need
// not name one. From the cutoff of a target version on, an engine that holds an older one
// than its gateway believes, because a report or a list entry was too early, must refuse
// the request rather than begin it after the deadline. Server.mu must be held.
func (s *Server) expectedVersion(x *exchange, e *fleet.Endpoint, now time.Time) int {
	if x.model == "" {
		return 0
	}
	lowest, held := s.versionBounds(x, now).lowest, e.HeldVersion(x.model, now)
	if lowest == 0 || held < lowest {
		return 0
	}
	for _, n := range s.targetVersions[x.model] {
		if n.Version == lowest && now.Before(n.deadline.Add(expectVersionTime)) {
			return held
		}
	}
	return 0
}
