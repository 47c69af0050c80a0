// SPDX-License-Identifier: Apache-2.0

// Package loadtrust decides whether a sidecar trusts a load of its engine that it has
// not verified itself, such as one that it finds when it starts.
//
// An engine reports the version whose load it was ordered to carry out, and how many
// orders its process has accepted. It may accept an order seconds after the order was
// sent, also one that was sent to its former process, and then loads the chunks that are
// staged at that time. So the reported version alone does not show which weights are
// loaded.
//
// A Review does no I/O, takes the current time as an argument, and is not safe for
// concurrent use.
package loadtrust

import "time"

const (
	// DecisionTime is how long a load may be undecided. A gateway subscribes to a
	// sidecar every 500 ms, so that all are known to the sidecar by then.
	DecisionTime = time.Second
	// listLag is the maximum time until the endpoint list shows that an engine has
	// restarted; about 1 s was observed.
	listLag = 2 * time.Second
	// reloadDelayUnknownStart is how long the reload of an untrusted load is delayed if
	// the engine does not report when its process started. A gateway can confirm such a
	// load only listLag after the review began, and reads the list once a second.
	reloadDelayUnknownStart = 2 * listLag
)

// Load identifies a load of an engine by what the engine reports.
type Load struct {
	// StartedMS is the start time of the engine's process in Unix milliseconds, or 0 if
	// the engine does not report it.
	StartedMS int64
	// Orders is the number of orders that the engine's process has accepted.
	Orders int64
	// Version is the version that is loaded completely.
	Version int
}

// Memory is what a gateway remembers of an endpoint.
type Memory struct {
	// Load is the last load that a sidecar has reported as verified.
	Load Load
	// ReportedFor is the time from the first report that the gateway received for the
	// endpoint's current id to the last one that called Load verified. An engine's
	// process has an id of its own.
	ReportedFor time.Duration
	// ListConfirmed is when the store last confirmed the list in which the gateway finds
	// this id.
	ListConfirmed time.Time
}

// Stage is the result of a comparison of the staged chunks with the manifest of the
// reported version.
type Stage int

// The results of the comparison.
const (
	StageUnknown Stage = iota // not compared
	StageMatches              // all chunks match
	StageDiffers
)

// Status is the result of a Review.
type Status int

// The results of a Review.
const (
	// Undecided means that the evidence is still awaited. The sidecar publishes no
	// report, so that gateways go on with what they know.
	Undecided Status = iota
	// Trusted means that the weights are those of the reported version.
	Trusted
	// Untrusted means that the engine counts as empty. Later evidence may still confirm
	// the load.
	Untrusted
)

// Review collects the evidence about one load.
type Review struct {
	load Load
	// began is when the sidecar first read the state of the engine's process, which had
	// accepted the order of the load by then.
	began     time.Time
	stage     Stage
	confirmed bool // by a gateway
}

// NewReview returns a review of a load that was first seen at now.
func NewReview(load Load, now time.Time) *Review { return &Review{load: load, began: now} }

// Load returns the load under review.
func (r *Review) Load() Load { return r.load }

// ObserveStage records a comparison of the staged chunks. It must only be called if no
// chunk has been staged since the review began.
func (r *Review) ObserveStage(s Stage) { r.stage = s }

// ObserveMemory records what a gateway remembers, and returns whether that confirms the
// load.
//
// With a start time, an equal load is the same load. Without one, the load may be of a
// former process of the engine: for listLag the gateway may list the former process, or
// have received a delayed report of it for the id of the current one.
func (r *Review) ObserveMemory(m Memory) bool {
	switch {
	case m.Load != r.load:
		return false
	case r.load.StartedMS == 0 && m.ReportedFor < listLag:
		return false
	case r.load.StartedMS == 0 && m.ListConfirmed.Before(r.began.Add(listLag)):
		return false
	}
	r.confirmed = true
	return true
}

// Status returns the result of the review.
func (r *Review) Status(now time.Time) Status {
	switch {
	case r.confirmed, r.stage == StageMatches:
		return Trusted
	case now.Sub(r.began) < DecisionTime:
		return Undecided
	default:
		return Untrusted
	}
}

// MayReload reports whether the engine may be loaded again because the load is not
// trusted.
func (r *Review) MayReload(now time.Time) bool {
	if r.load.StartedMS == 0 && now.Sub(r.began) < reloadDelayUnknownStart {
		return false
	}
	return r.Status(now) == Untrusted
}

// PollInterval returns the pause between two queries of gateways. It increases, as a load
// that is not confirmed soon is usually never confirmed.
func (r *Review) PollInterval(now time.Time) time.Duration {
	switch age := now.Sub(r.began); {
	case age < DecisionTime:
		return 100 * time.Millisecond
	case age < 10*time.Second:
		return 500 * time.Millisecond
	default:
		return 2 * time.Second
	}
}
