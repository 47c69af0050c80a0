// SPDX-License-Identifier: Apache-2.0

// Package intent defines intents, which operators submit, and rollout plans,
// which mintlift computes from them.
//
// NewPlan computes a plan from a Snapshot of the cluster without changing
// anything. A plan contains the log offset of its snapshot. ConflictReason
// compares that offset with the offsets of the last changes to the plan's boxes
// and workspaces. Of two conflicting plans, only the one that is confirmed first
// in the log takes effect, even if the operators use different gateways.
//
// A plan runs in waves: only the boxes of one wave at a time stop serving, so that
// each workspace keeps its floor, the least number of boxes that must serve it.
//
// The package does no I/O.
package intent

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/weights"
)

// Weighing selects which cost of a rollout a plan minimizes: the time until all replicas
// serve (TimeToReplicas) or the bytes read from the origin (OriginBytes).
type Weighing string

const (
	// TimeToReplicas minimizes the time until all replicas are ready: boxes may
	// read an extra copy of the weights from the origin.
	TimeToReplicas Weighing = "time_to_replicas"
	// OriginBytes minimizes the bytes read from the origin: each chunk is read
	// from it once.
	OriginBytes Weighing = "origin_bytes"
)

// Valid reports whether w is TimeToReplicas or OriginBytes.
func (w Weighing) Valid() bool { return w == TimeToReplicas || w == OriginBytes }

// Intent is an operator's request for a rollout: which model version is to serve
// which workspaces, on which boxes and at what priority.
type Intent struct {
	ID string `json:"id"`
	weights.Ref
	// Workspaces lists the workspaces that the version serves once the plan is
	// confirmed.
	Workspaces []string `json:"workspaces"`
	// Zones and Boxes restrict the boxes; both empty means every box that runs a
	// model engine.
	Zones []string `json:"availability_zones,omitempty"`
	Boxes []string `json:"boxes,omitempty"`
	// Replicas limits the number of boxes; 0 means no limit.
	Replicas int `json:"replicas,omitempty"`
	// Priority is the plan's priority, 1 to 100. 0 means the highest priority of
	// the workspaces.
	Priority int `json:"priority,omitempty"`
	// Weighing is the cost that the plan minimizes. It overrides the deployment's
	// setting if it isn't empty.
	Weighing Weighing `json:"weighing,omitempty"`
}

// Validate checks the fields without regard to a cluster. It returns a NotValid error
// for the first invalid one. A Weighing, the cost that the plan is to minimize, must be
// empty or one of the two defined ones.
func (in *Intent) Validate() error {
	switch {
	case !in.Valid():
		return errors.NotValidf("version %q", in.Ref)
	case len(in.Workspaces) == 0:
		return errors.NotValidf("intent without a workspace")
	case in.Replicas < 0:
		return errors.NotValidf("replicas %d (want 0 or more)", in.Replicas)
	case in.Priority < 0 || in.Priority > 100:
		return errors.NotValidf("priority %d (want 1 to 100, or 0 for the workspaces' own)", in.Priority)
	case in.Weighing != "" && !in.Weighing.Valid():
		return errors.NotValidf("weighing %q (want %s or %s)", in.Weighing, TimeToReplicas, OriginBytes)
	}
	return nil
}

// Status is the state of a plan. It depends only on the sequence of records in the event
// log.
type Status string

// Statuses of a plan.
const (
	// Proposed is the initial status; only a proposed plan can be confirmed.
	Proposed  Status = "proposed"
	Confirmed Status = "confirmed"
	Rejected  Status = "rejected"
	// Conflicted means that a box or workspace of the plan changed between the
	// plan's snapshot and its confirmation.
	Conflicted Status = "conflicted"
	// Expired means that the plan was confirmed after its ExpiresAt.
	Expired   Status = "expired"
	Cancelled Status = "cancelled"
	// Superseded means that later plans for the same model serve all of the plan's
	// workspaces.
	Superseded Status = "superseded"
)

// Step is the part of a plan for one box.
type Step struct {
	Box  string                      `json:"box"`
	Zone membership.AvailabilityZone `json:"availability_zone"`
	// Source is FromOrigin if the box's region reads its first copy of the weights
	// from the origin, and otherwise the name of the region that it reads the copy
	// from. Further copies are sent between the boxes of the region.
	Source string `json:"source"`
	// Wave is the number of the rollout wave in which the box may stop serving the
	// previous version, counted from 0. A box of wave 0 may load the new version as
	// soon as it has all chunks.
	Wave int `json:"wave"`
	// Evicts lists the versions to unload before this one fits into the memory of
	// the box's engine.
	Evicts []weights.Ref `json:"evicts,omitempty"`
}

// Forecast is the estimated cost of a plan that minimizes the cost given by Weighing.
type Forecast struct {
	Weighing Weighing `json:"weighing"`
	// TimeToReplicas is the estimated time until all boxes have the version. It is 0
	// if the bandwidths are not known.
	TimeToReplicas time.Duration `json:"time_to_replicas_ns"`
	// OriginBytes is the estimated number of bytes read from the origin.
	OriginBytes int64 `json:"origin_bytes"`
}

// Capacity holds numbers of boxes that serve a workspace: Now at the time of planning,
// Lowest at the lowest point of the rollout, and Floor, the least number that must
// serve it.
type Capacity struct {
	Workspace string `json:"workspace"`
	Now       int    `json:"now"`
	Lowest    int    `json:"lowest"`
	Floor     int    `json:"floor"`
}

// Plan is the rollout plan for an intent.
type Plan struct {
	ID     string `json:"id"`
	Intent Intent `json:"intent"`
	// Base is the log offset of the state that the plan was computed from.
	Base int64 `json:"base"`
	// ManifestDigest is the digest of the version's manifest, which contains the
	// digests of all chunks.
	ManifestDigest weights.Digest `json:"manifest_digest"`
	Bytes          int64          `json:"bytes"`
	Chunks         int            `json:"chunks"`
	Priority       int            `json:"priority"`
	Weighing       Weighing       `json:"weighing"`
	// ExtraCopies is how many copies of the weights all boxes together may read
	// from the origin beyond the first.
	ExtraCopies float64    `json:"extra_copies"`
	Steps       []Step     `json:"steps"`
	Forecasts   []Forecast `json:"forecasts"`
	Capacities  []Capacity `json:"capacities"`
	// ExpiresAt is the time until which the plan can be confirmed, in Unix
	// milliseconds.
	ExpiresAt int64 `json:"expires_at"`

	Status Status `json:"status"`
	// Reason is a text for operators: why the plan is rejected, conflicted,
	// expired, cancelled or superseded, or that it was restored.
	Reason string `json:"reason,omitempty"`
	// Fence is the plan's fencing token: the offset of the record that confirmed
	// the plan. If the plan was superseded and then restored, it is the offset of the
	// record that cancelled the later plan. A plan with a higher fence is newer.
	Fence int64 `json:"fence,omitempty"`
	// ConfirmID is the id of the record that confirmed the plan.
	ConfirmID string `json:"confirm_id,omitempty"`
	// Wave is the highest wave that may run.
	Wave int `json:"wave"`
}

// Step returns the plan's step for a box, or false if the plan has none.
func (p *Plan) Step(box string) (Step, bool) {
	for _, s := range p.Steps {
		if s.Box == box {
			return s, true
		}
	}
	return Step{}, false
}

// Boxes returns the boxes of the plan's steps, in the order of the steps.
func (p *Plan) Boxes() []string {
	out := make([]string, 0, len(p.Steps))
	for _, s := range p.Steps {
		out = append(out, s.Box)
	}
	return out
}

// Waves returns the number of waves.
func (p *Plan) Waves() int {
	n := 0
	for _, s := range p.Steps {
		n = max(n, s.Wave+1)
	}
	return n
}

// OriginRegions returns the regions that read their first copy from the origin.
func (p *Plan) OriginRegions() []string {
	var out []string
	for _, s := range p.Steps {
		if s.Source == FromOrigin && !slices.Contains(out, s.Zone.Region) {
			out = append(out, s.Zone.Region)
		}
	}
	return out
}

// FromOrigin is the Source of a Step whose region reads its first copy from the
// origin.
const FromOrigin = "origin"

// LastModified holds the offset after the last record that changed a box or a
// workspace, by name. A plan with a lower Base was computed before that change and
// conflicts with it.
type LastModified struct {
	Boxes      map[string]int64 `json:"boxes"`
	Workspaces map[string]int64 `json:"workspaces"`
}

// ConflictReason returns the first reason why p can no longer be confirmed, or "".
// The text is part of the replicated state and its digest, so it must not differ
// between releases.
func ConflictReason(p *Plan, modified LastModified) string {
	for _, s := range p.Steps {
		if offset := modified.Boxes[s.Box]; offset > p.Base {
			return "box " + s.Box + " was touched by a later plan"
		}
	}
	for _, w := range p.Intent.Workspaces {
		if offset := modified.Workspaces[w]; offset > p.Base {
			return "workspace " + w + " was changed since the plan was made"
		}
	}
	return ""
}
