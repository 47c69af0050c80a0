// SPDX-License-Identifier: Apache-2.0

// Package state is the replicated state machine of mintlift. It applies the
// records of the event log to the state that all processes must agree on:
// workspaces, operators, plans, and the homes of requests that run at most once.
//
// State.Apply is deterministic: the same records in the same order give the same
// state, and the same Digest, in every process. Replica makes a State safe for
// concurrent use, and its offset never decreases. Follower keeps a Replica up to
// date from the log, or from a gateway that relays it.
package state

import (
	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/workspace"
)

// Kinds of records.
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

// OperatorSet is the body of KindOperatorSet, which adds or replaces an operator.
type OperatorSet struct {
	Operator workspace.Operator `json:"operator"`
}

// WorkspaceSet is the body of KindWorkspaceSet, which adds or replaces a workspace.
type WorkspaceSet struct {
	Workspace workspace.Workspace `json:"workspace"`
}

// Name is the body of KindOperatorRemove and KindWorkspaceRemove: the name of the
// operator or workspace to remove.
type Name struct {
	Name string `json:"name"`
}

// PlanProposed is the body of KindPlanProposed.
type PlanProposed struct {
	Plan intent.Plan `json:"plan"`
}

// PlanRef is the body of KindPlanConfirmed, KindPlanRejected and KindPlanCancelled.
type PlanRef struct {
	// Plan is the id of the plan.
	Plan string `json:"plan"`
}

// PlanAdvanced is the body of KindPlanAdvanced, which lets the next wave of a plan
// run.
type PlanAdvanced struct {
	// Plan is the id of the plan.
	Plan string `json:"plan"`
	Wave int    `json:"wave"`
}

// Home is a sidecar process, identified by box and incarnation, that stores what is
// known of some idempotency keys: which requests with the key have run and with what
// result. Each key has one home among the homes of its service; see package dedup.
type Home struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	// Service is empty for model engines.
	Service string `json:"service,omitempty"`
	// Since is the time of the record that added the home, in Unix milliseconds.
	Since int64 `json:"since"`
}

// HomesChanged is the body of KindHomesChanged, which adds and removes homes: sidecar
// processes that store what is known of idempotency keys. A box
// has at most one home: adding another incarnation removes the previous one.
type HomesChanged struct {
	Add []Home `json:"add,omitempty"`
	// Remove lists the boxes whose homes are removed.
	Remove []string `json:"remove,omitempty"`
}

// HomeChange is one change to the set of homes among which a service's idempotency
// keys are distributed.
type HomeChange struct {
	// Service is empty for model engines.
	Service string `json:"service"`
	// At is the time of the record that made the change, in Unix milliseconds,
	// and Offset its offset.
	At     int64 `json:"at"`
	Offset int64 `json:"offset"`
	// First is true if the service had no home before the change and the changes
	// retained at that time contained none of the service.
	First   bool   `json:"first,omitempty"`
	Added   []Home `json:"added,omitempty"`
	Removed []Home `json:"removed,omitempty"`
}
