// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/weights"
	"github.com/mintlift/mintlift/workspace"
)

// MeasureState returns the checkpoint size of a state with the given numbers of
// workspaces and homes (see StateMeasurement), and with one confirmed plan over
// planBoxes boxes.
func MeasureState(workspaces, planBoxes, homes int) StateMeasurement {
	r := state.NewReplica()
	var entries []eventlog.Entry
	appendRecord := func(kind eventlog.Kind, body any) {
		rec, err := eventlog.NewRecord(kind, "entry-01", time.UnixMilli(1_800_000_000_000), body)
		if err != nil {
			panic("capacity: record does not marshal: " + err.Error()) // plain fields always marshal
		}
		rec.ID = fmt.Sprintf("00000000-0000-7000-8000-%012d", len(entries))
		b, err := json.Marshal(rec)
		if err != nil {
			panic("capacity: record does not marshal: " + err.Error()) // plain fields always marshal
		}
		entries = append(entries, eventlog.Entry{Offset: int64(len(entries)), Data: b})
	}
	for i := range workspaces {
		appendRecord(state.KindWorkspaceSet, state.WorkspaceSet{Workspace: workspace.Workspace{Name: fmt.Sprintf("workspace-%04d", i), KeyHash: workspace.HashKey("k"), Priority: 50}})
	}
	if planBoxes > 0 {
		appendRecord(state.KindPlanProposed, state.PlanProposed{Plan: samplePlan(planBoxes)})
		appendRecord(state.KindPlanConfirmed, state.PlanRef{Plan: "plan-1"})
	}
	if homes > 0 {
		appendRecord(state.KindHomesChanged, sampleHomes(homes))
	}
	if err := r.Apply(entries); err != nil {
		panic("capacity: generated records do not apply: " + err.Error()) // unreachable: the records are valid
	}
	return StateMeasurement{Workspaces: workspaces, PlanBoxes: planBoxes, Homes: homes, Bytes: len(r.Checkpoint().State)}
}

// samplePlan returns a rollout plan with one step for each of the given number of boxes.
func samplePlan(boxes int) intent.Plan {
	p := intent.Plan{ID: "plan-1", Intent: intent.Intent{ID: "intent-1", Ref: weights.Ref{Model: "model", Version: "v1"}, Workspaces: []string{"workspace-0001"}}, ManifestDigest: weights.Sum(nil), ExpiresAt: 1_900_000_000_000}
	for i := range boxes {
		p.Steps = append(p.Steps, intent.Step{Box: fmt.Sprintf("box-%04d", i), Zone: membership.AvailabilityZone{Region: "region-a", Zone: "zone-1"}, Source: intent.FromOrigin})
	}
	return p
}

// sampleHomes returns a record that adds n homes, the sidecar processes that store what
// is known of idempotency keys.
func sampleHomes(n int) state.HomesChanged {
	var c state.HomesChanged
	for i := range n {
		c.Add = append(c.Add, state.Home{Box: fmt.Sprintf("box-%04d", i), Incarnation: fmt.Sprintf("00000000-0000-4000-8000-%012d", i)})
	}
	return c
}

// StateCases returns the state measurements of docs/capacity.json: three sizes
// each for workspaces, boxes of a plan, and homes.
func StateCases() []StateMeasurement {
	var out []StateMeasurement
	for _, n := range []int{100, 200, 400} {
		out = append(out, MeasureState(n, 0, 0), MeasureState(0, n, 0), MeasureState(0, 0, n))
	}
	return out
}

// fitState fits the checkpoint size over the number of workspaces, plan boxes
// or homes that count returns. Measurements with a count of 0 are left out.
func (d *Data) fitState(count func(StateMeasurement) int) Line {
	var x, y []float64
	for _, s := range d.State {
		if n := count(s); n > 0 {
			x = append(x, float64(n))
			y = append(y, float64(s.Bytes))
		}
	}
	return Fit(x, y)
}
