// SPDX-License-Identifier: Apache-2.0

// Package intent holds what operators want and what mintlift answers: an
// Intent, the Plan that would carry it out, and the rules by which a plan
// is confirmed, refused or superseded.
//
// Make computes a plan from a state of the world that the caller passes in;
// it moves nothing. A plan names the log offset that it was made from, and
// Conflicts decides by offsets alone whether a later record touched the
// same boxes or workspaces, so that two operators who race get one winner
// whichever gateway each of them used.
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

// Weighing says which of the two measures a plan favours.
type Weighing string

// The weighings.
const (
	// TimeToReplicas spends origin bytes to have replicas sooner.
	TimeToReplicas Weighing = "time_to_replicas"
	// OriginBytes reads each byte from the origin once.
	OriginBytes Weighing = "origin_bytes"
)

// Valid reports whether w is one of the weighings.
func (w Weighing) Valid() bool { return w == TimeToReplicas || w == OriginBytes }

// Intent is an operator's wish: which version serves which workspaces, where
// and at what priority.
type Intent struct {
	ID string `json:"id"`
	weights.Ref
	// Workspaces are served by the version once the plan is confirmed.
	Workspaces []string `json:"workspaces"`
	// Zones and Boxes narrow the boxes; both empty means every model box.
	Zones []string `json:"availability_zones,omitempty"`
	Boxes []string `json:"boxes,omitempty"`
	// Replicas bounds the number of boxes; 0 takes all that match.
	Replicas int `json:"replicas,omitempty"`
	// Priority overrides the highest priority that the workspaces pay.
	Priority int `json:"priority,omitempty"`
	// Weighing overrides the deployment's setting.
	Weighing Weighing `json:"weighing,omitempty"`
}

// Validate reports the first value that no state could make right.
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

// Status is how far a plan has come by the log's order.
type Status string

// The statuses. Only a proposed plan can be confirmed.
const (
	Proposed   Status = "proposed"
	Confirmed  Status = "confirmed"
	Rejected   Status = "rejected"
	Conflicted Status = "conflicted"
	Expired    Status = "expired"
	Cancelled  Status = "cancelled"
	Superseded Status = "superseded"
)

// Step is what a plan does on one box.
type Step struct {
	Box  string                      `json:"box"`
	Zone membership.AvailabilityZone `json:"availability_zone"`
	// Source says where the box's region gets its first copy: "origin", or
	// the region that it crosses from. Within a region, boxes pass chunks on
	// to each other.
	Source string `json:"source"`
	// Wave orders the moments when boxes may stop serving the former
	// version. A box of wave 0 may load as soon as it holds every chunk.
	Wave int `json:"wave"`
	// Evicts are the versions that leave the box's memory first.
	Evicts []weights.Ref `json:"evicts,omitempty"`
}

// Forecast is what a plan is expected to cost under one weighing.
type Forecast struct {
	Weighing Weighing `json:"weighing"`
	// TimeToReplicas is the expected time until all boxes hold the version.
	TimeToReplicas time.Duration `json:"time_to_replicas_ns"`
	// OriginBytes are the expected bytes read from the origin.
	OriginBytes int64 `json:"origin_bytes"`
}

// Capacity is the lowest number of boxes that serve a workspace on the way.
type Capacity struct {
	Workspace string `json:"workspace"`
	Now       int    `json:"now"`
	Lowest    int    `json:"lowest"`
	Floor     int    `json:"floor"`
}

// Plan is the answer to an intent.
type Plan struct {
	ID     string `json:"id"`
	Intent Intent `json:"intent"`
	// Base is the log offset of the state that the plan was made from.
	Base int64 `json:"base"`
	// ManifestDigest pins every byte that the plan moves.
	ManifestDigest weights.Digest `json:"manifest_digest"`
	Bytes          int64          `json:"bytes"`
	Chunks         int            `json:"chunks"`
	Priority       int            `json:"priority"`
	Weighing       Weighing       `json:"weighing"`
	// ExtraCopies is what boxes may read from the origin beyond one copy.
	ExtraCopies float64    `json:"extra_copies"`
	Steps       []Step     `json:"steps"`
	Forecasts   []Forecast `json:"forecasts"`
	Capacities  []Capacity `json:"capacities"`
	// ExpiresAt is in Unix milliseconds; a confirmation written later fails.
	ExpiresAt int64 `json:"expires_at"`

	Status Status `json:"status"`
	// Reason says why the plan is in a final status other than confirmed.
	Reason string `json:"reason,omitempty"`
	// Fence is the offset of the confirming record; orders to engines carry
	// it.
	Fence int64 `json:"fence,omitempty"`
	// ConfirmID is the id of the record that confirmed the plan.
	ConfirmID string `json:"confirm_id,omitempty"`
	// Wave is the highest wave that the log has opened.
	Wave int `json:"wave"`
}

// Step returns the plan's step for a box.
func (p *Plan) Step(box string) (Step, bool) {
	for _, s := range p.Steps {
		if s.Box == box {
			return s, true
		}
	}
	return Step{}, false
}

// Boxes returns the boxes that the plan touches, in order.
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

// OriginRegions returns the regions that read from the origin themselves.
func (p *Plan) OriginRegions() []string {
	var out []string
	for _, s := range p.Steps {
		if s.Source == FromOrigin && !slices.Contains(out, s.Zone.Region) {
			out = append(out, s.Zone.Region)
		}
	}
	return out
}

// FromOrigin is the Source of steps whose region reads from the origin.
const FromOrigin = "origin"

// Touched says at which offset each box and workspace was last touched by a
// record that can make an older plan wrong.
type Touched struct {
	Boxes      map[string]int64 `json:"boxes"`
	Workspaces map[string]int64 `json:"workspaces"`
}

// Conflicts returns the first reason why p no longer fits, or "".
func Conflicts(p *Plan, t Touched) string {
	for _, s := range p.Steps {
		if at := t.Boxes[s.Box]; at > p.Base {
			return "box " + s.Box + " was touched by a later plan"
		}
	}
	for _, w := range p.Intent.Workspaces {
		if at := t.Workspaces[w]; at > p.Base {
			return "workspace " + w + " was changed since the plan was made"
		}
	}
	return ""
}
