// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
)

// TargetVersion is a version of a model that the operator has set to be served.
type TargetVersion struct {
	Version int
	// LearnedAt is when this gateway first read the target version, or when another one
	// did, see SetVersionTime. AgeUnknown reports that the version had already been set,
	// at an unknown time, when the process started.
	LearnedAt  time.Time
	AgeUnknown bool
	// deadline is the time after which older versions must start no requests, or an
	// earlier time if the age is unknown and the deadline may be close.
	deadline time.Time
	// late is set if streams are sent to engines with older versions until lateMargins
	// instead of usualMargins.
	late bool
	// cutoff is the time from which the gateway sends no requests to engines with
	// older versions. It is earlier than the deadline; see updateCutoff.
	cutoff time.Time
}

// PastCutoff reports whether the cutoff of the target version has passed, so that
// engines with older versions of the model get no more requests.
func (n TargetVersion) PastCutoff(now time.Time) bool { return !now.Before(n.cutoff) }

// SetTargetVersion records a new target version of a model. A version that is not
// higher than the last one is ignored. first means that the version had already been
// set when the process started, so that its age is unknown.
func (s *Server) SetTargetVersion(model string, version int, first bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.targetVersions[model]
	if len(list) > 0 && list[len(list)-1].Version >= version {
		return
	}
	n := TargetVersion{Version: version, LearnedAt: now, AgeUnknown: first, deadline: now.Add(s.settings.VersionDeadline)}
	if first && s.anyEndpointHolds(model, version, now) {
		n.deadline = now.Add(s.versionMargin())
	}
	s.updateCutoff(model, &n, now)
	s.targetVersions[model] = append(list, n)
	s.scheduleWithdrawal(model, version, n.deadline)
	s.events.Info("version named", "model", model, "version", version, "age_unknown", first, "due", n.cutoff)
	s.requestNoticeLocked()
}

// cutOffOlderVersions sets the cutoff of target versions of unknown age to now if an
// endpoint has reported that it serves the version or a newer one. Loading a version
// takes seconds, so the deadline of a version that is served may be close. Server.mu
// must be held.
func (s *Server) cutOffOlderVersions(model string, reported int, now time.Time) {
	list := s.targetVersions[model]
	for i := range list {
		n := &list[i]
		if !n.AgeUnknown || n.Version > reported || !n.cutoff.After(now) {
			continue
		}
		n.deadline = now.Add(s.versionMargin())
		s.updateCutoff(model, n, now)
		s.scheduleWithdrawal(model, n.Version, n.deadline)
		s.events.Info("older versions cut off", "model", model, "version", n.Version, "served", reported)
	}
}

// SetVersionTime sets when a target version of model was set, as another process knows. It
// is ignored unless this gateway does not know it, or uses a late cutoff, and has known
// the version only since a later time. The cutoff of older versions becomes at most the
// one of that time. With a late cutoff, a version before the newest that this gateway
// lacks is added.
func (s *Server) SetVersionTime(model string, version int, setAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	list := s.targetVersions[model]
	at, found := slices.BinarySearchFunc(list, version, func(n TargetVersion, version int) int { return cmp.Compare(n.Version, version) })
	if !found {
		if at < len(list) {
			s.addOlderTarget(model, at, TargetVersion{Version: version, LearnedAt: setAt, deadline: setAt.Add(s.settings.VersionDeadline)}, now)
		}
		return
	}
	n := &list[at]
	if !n.AgeUnknown && !n.late || !setAt.Before(n.LearnedAt) {
		return
	}
	n.LearnedAt, n.AgeUnknown = setAt, false
	if deadline := setAt.Add(s.settings.VersionDeadline); deadline.Before(n.deadline) {
		n.deadline = deadline
		s.scheduleWithdrawal(model, version, deadline)
	}
	s.updateCutoff(model, n, now)
	s.events.Info("time of version received", "model", model, "version", version, "due", n.cutoff)
	s.requestNoticeLocked()
}

// addOlderTarget inserts n, which this gateway has not read, at an index before the end of
// a model's target versions, if the gateway uses a late cutoff. With the usual cutoff the
// newest version alone counts. Server.mu must be held.
func (s *Server) addOlderTarget(model string, at int, n TargetVersion, now time.Time) {
	if _, late := s.lateMarginLocked(model); !late {
		return
	}
	s.updateCutoff(model, &n, now)
	s.targetVersions[model] = slices.Insert(s.targetVersions[model], at, n)
	s.scheduleWithdrawal(model, n.Version, n.deadline)
	s.events.Info("time of version received", "model", model, "version", n.Version, "due", n.cutoff)
}

// maxVersionMargin is the longest time from the cutoff of a target version, when the
// gateway stops sending requests to older versions, to its deadline, after which these
// must start no requests. A request that is sent just before the cutoff then starts
// before the deadline, even if its packet is lost once. maxVersionMarginShare limits
// this time to a share of VersionDeadline.
const (
	// initialRTO is the initial retransmission timeout of TCP (RFC 6298).
	initialRTO = time.Second
	// engineStartTime bounds the time from an engine's receipt of a request to its
	// start.
	engineStartTime       = 900 * time.Millisecond
	maxVersionMargin      = initialRTO + engineStartTime
	maxVersionMarginShare = 0.25
)

// anyEndpointHolds reports whether any configured endpoint holds at least the given
// version of model. Server.mu must be held.
func (s *Server) anyEndpointHolds(model string, version int, now time.Time) bool {
	c := s.routes.Get()
	if c == nil {
		return false
	}
	for name := range c.Services {
		for _, e := range s.fleet.Endpoints(name) {
			if e.HeldVersion(model, now) >= version {
				return true
			}
		}
	}
	return false
}

// nextVersionLead is the length of the period before the cutoff of a target version in
// which engines with older versions get only requests that they can start at once.
const nextVersionLead = 1700 * time.Millisecond

// scheduledUpdateLead is the length of the period after the cutoff of a target version
// in which an engine with an older version may still get requests that it can start at
// once. This applies only if the engine's sidecar has scheduled its update before the
// deadline. At the end of the period, a request still has engineStartTime to start
// before the deadline.
//
// The sidecar starts the drain earlier than that; see lastSlotMargin in package
// installer. The gateway's own bound also holds if the report of the drain is late or
// the engine is not drained after all.
const scheduledUpdateLead = maxVersionMargin - engineStartTime - 100*time.Millisecond

// versionMargin returns how long before its deadline a target version's usual cutoff is;
// see maxVersionMargin.
func (s *Server) versionMargin() time.Duration {
	return min(maxVersionMargin, time.Duration(maxVersionMarginShare*float64(s.settings.VersionDeadline)))
}

// TargetVersions returns the most recent target versions of a model, newest last, at
// most maxTargetVersions.
func (s *Server) TargetVersions(model string) []TargetVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.targetVersions[model]
	return slices.Clone(list[max(0, len(list)-maxTargetVersions):])
}

// maxTargetVersions bounds the target versions of a model of which sidecars are
// notified. It exceeds 1 because the deadline of a version may pass before the next one
// is served.
const maxTargetVersions = 2
