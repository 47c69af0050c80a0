// SPDX-License-Identifier: Apache-2.0

// Package state folds the event log's records into what every process must
// agree on: workspaces, operators, plans and the homes of requests that run
// at most once.
//
// State.Apply is a pure function of the records and their order: the same
// records give the same state, and the same Digest, in every process.
// Replica guards a State for concurrent use and never applies a lower
// offset than it has applied. Follower keeps a Replica up to date from the
// log, or from a gateway that relays it.
package state

import (
	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/workspace"
)

// The kinds of records.
const (
	KindOperatorSet     eventlog.Kind = "operator.set"
	KindOperatorRemove  eventlog.Kind = "operator.remove"
	KindWorkspaceSet    eventlog.Kind = "workspace.set"
	KindWorkspaceRemove eventlog.Kind = "workspace.remove"
	KindPlanProposed    eventlog.Kind = "plan.proposed"
	KindPlanConfirmed   eventlog.Kind = "plan.confirmed"
	KindPlanRejected    eventlog.Kind = "plan.rejected"
	KindPlanCancelled   eventlog.Kind = "plan.cancelled"
	KindPlanAdvanced    eventlog.Kind = "plan.advanced"
	KindHomesChanged    eventlog.Kind = "homes.changed"
)

// OperatorSet adds or changes an operator.
type OperatorSet struct {
	Operator workspace.Operator `json:"operator"`
}

// WorkspaceSet adds or changes a workspace.
type WorkspaceSet struct {
	Workspace workspace.Workspace `json:"workspace"`
}

// Name names what is removed.
type Name struct {
	Name string `json:"name"`
}

// PlanProposed carries an intent's answer.
type PlanProposed struct {
	Plan intent.Plan `json:"plan"`
}

// PlanRef names a plan.
type PlanRef struct {
	Plan string `json:"plan"`
}

// PlanAdvanced opens a wave of a plan.
type PlanAdvanced struct {
	Plan string `json:"plan"`
	Wave int    `json:"wave"`
}

// Home is one incarnation of a sidecar that may hold the memory of requests
// that are not repeatable.
type Home struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	// Service is empty for model engines.
	Service string `json:"service,omitempty"`
	// Since is the time of the record that added the home, in Unix
	// milliseconds.
	Since int64 `json:"since"`
}

// HomesChanged adds and removes homes. A box has one home at most: adding
// another incarnation removes the former.
type HomesChanged struct {
	Add    []Home   `json:"add,omitempty"`
	Remove []string `json:"remove,omitempty"`
}

// Change is a change of the homes that a service's keys are spread over.
type Change struct {
	Service string `json:"service"`
	// At is the record's time in Unix milliseconds, Offset its place.
	At     int64 `json:"at"`
	Offset int64 `json:"offset"`
	// First says that the service had no homes before.
	First   bool   `json:"first,omitempty"`
	Added   []Home `json:"added,omitempty"`
	Removed []Home `json:"removed,omitempty"`
}
