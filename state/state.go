// SPDX-License-Identifier: Apache-2.0

package state

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/weights"
	"github.com/mintlift/mintlift/workspace"
)

// Bounds of what a State retains.
const (
	// maxRecentIDs is the number of record ids retained to detect duplicate records.
	// It must exceed the number of records that other writers append while one writer
	// retries an append.
	maxRecentIDs = 4096
	// maxInactivePlans is the number of plans without effect that are retained, so
	// that operators can look at them.
	maxInactivePlans = 64
	// changeRetention is how long changes of homes are retained. It must be longer
	// than dedup.KeyTTL, the time for which a home keeps a key.
	changeRetention = 30 * time.Minute
)

// ErrOutOfOrder means that a record's offset is not the next one.
const ErrOutOfOrder = errors.ConstError("record is not at the next offset")

// State is the result of applying the records of the configuration stream. The
// zero value is the state before the first record. Only Apply may change it. It
// needs external locking; see Replica.
type State struct {
	// Offset is the offset of the next record to apply.
	Offset int64 `json:"offset"`
	// Operators and Workspaces are keyed by name, Plans by id.
	Operators  map[string]workspace.Operator  `json:"operators"`
	Workspaces map[string]workspace.Workspace `json:"workspaces"`
	Plans      map[string]*intent.Plan        `json:"plans"`
	// PlanOrder lists the ids of the plans in the order in which they were proposed.
	PlanOrder []string `json:"plan_order"`
	// LastModified is used to detect plans that conflict with later changes.
	LastModified intent.LastModified `json:"touched"`
	// Homes holds the homes of idempotency keys, by box; see Home.
	Homes map[string]Home `json:"homes"`
	// HomeChanges lists the changes of homes within changeRetention, oldest first.
	HomeChanges []HomeChange `json:"changes"`
	// RecentIDs lists the ids of the last applied records, oldest first, at most
	// maxRecentIDs.
	RecentIDs []string `json:"ids"`

	seen map[string]bool // the set of RecentIDs
}

// New returns an empty state, before the first record.
func New() *State {
	s := new(State)
	s.init()
	return s
}

// init allocates the maps that are nil, and builds s.seen from s.RecentIDs.
func (s *State) init() {
	if s.Operators == nil {
		s.Operators = make(map[string]workspace.Operator)
	}
	if s.Workspaces == nil {
		s.Workspaces = make(map[string]workspace.Workspace)
	}
	if s.Plans == nil {
		s.Plans = make(map[string]*intent.Plan)
	}
	if s.LastModified.Boxes == nil {
		s.LastModified.Boxes = make(map[string]int64)
	}
	if s.LastModified.Workspaces == nil {
		s.LastModified.Workspaces = make(map[string]int64)
	}
	if s.Homes == nil {
		s.Homes = make(map[string]Home)
	}
	if s.seen == nil {
		s.seen = make(map[string]bool, len(s.RecentIDs))
		for _, id := range s.RecentIDs {
			s.seen[id] = true
		}
	}
}

// Apply applies r to s and advances the offset by one. If r is not at s.Offset, it
// returns ErrOutOfOrder and changes nothing. Duplicate records, invalid records and
// records of a newer schema have no other effect and cause no error. A confirmation that
// is late or conflicts with an earlier record ends its plan, also without an error.
func (s *State) Apply(r eventlog.Record) error {
	if r.Offset != s.Offset {
		return errors.WithType(errors.Errorf("got record at offset %d, expected offset %d", r.Offset, s.Offset), ErrOutOfOrder)
	}
	s.init()
	s.Offset++
	if s.seen[r.ID] {
		return nil
	}
	s.addRecentID(r.ID)
	if r.Schema > eventlog.Schema {
		return nil // written by a newer release
	}
	s.applyBody(r)
	return nil
}

// addRecentID adds an id to RecentIDs and removes the oldest if there are more than
// maxRecentIDs.
func (s *State) addRecentID(id string) {
	s.seen[id] = true
	s.RecentIDs = append(s.RecentIDs, id)
	if len(s.RecentIDs) > maxRecentIDs {
		delete(s.seen, s.RecentIDs[0])
		s.RecentIDs = slices.Clone(s.RecentIDs[1:])
	}
}

// Applied reports whether a record with this id is among the last maxRecentIDs ones.
func (s *State) Applied(id string) bool { return s.seen[id] }

// applyBody applies the body of a record by its kind. Records of unknown kinds have no
// effect.
func (s *State) applyBody(r eventlog.Record) {
	switch r.Kind {
	case KindOperatorSet:
		decode(r, func(b OperatorSet) { s.Operators[b.Operator.Name] = b.Operator })
	case KindOperatorRemove:
		decode(r, func(b Name) { delete(s.Operators, b.Name) })
	case KindWorkspaceSet:
		decode(r, func(b WorkspaceSet) { s.setWorkspace(r, b.Workspace) })
	case KindWorkspaceRemove:
		decode(r, func(b Name) { s.removeWorkspace(r, b.Name) })
	case KindPlanProposed:
		decode(r, func(b PlanProposed) { s.addPlan(b.Plan) })
	case KindPlanConfirmed:
		decode(r, func(b PlanRef) { s.confirmPlan(r, b.Plan) })
	case KindPlanRejected:
		decode(r, func(b PlanRef) { s.setStatus(b.Plan, intent.Proposed, intent.Rejected, "rejected by "+r.By) })
	case KindPlanCancelled:
		decode(r, func(b PlanRef) { s.cancelPlan(r, b.Plan) })
	case KindPlanAdvanced:
		decode(r, func(b PlanAdvanced) { s.advancePlan(b) })
	case KindHomesChanged:
		decode(r, func(b HomesChanged) { s.changeHomes(r, b) })
	}
}

// decode calls apply with the record's decoded body. A body that cannot be decoded
// has no effect.
func decode[T any](r eventlog.Record, apply func(T)) {
	var body T
	if err := json.Unmarshal(r.Body, &body); err == nil {
		apply(body)
	}
}

// setWorkspace adds or replaces a workspace. An invalid one has no effect.
func (s *State) setWorkspace(r eventlog.Record, w workspace.Workspace) {
	if w.Validate() != nil {
		return
	}
	s.Workspaces[w.Name] = w
	s.LastModified.Workspaces[w.Name] = r.Offset + 1
}

// removeWorkspace removes a workspace. Plans for it that are not confirmed yet conflict
// with the removal.
func (s *State) removeWorkspace(r eventlog.Record, name string) {
	delete(s.Workspaces, name)
	s.LastModified.Workspaces[name] = r.Offset + 1
}

// addPlan adds a proposed plan. A plan whose id exists already has no effect.
func (s *State) addPlan(p intent.Plan) {
	if _, ok := s.Plans[p.ID]; ok {
		return
	}
	p.Status = intent.Proposed
	p.Reason, p.ConfirmID, p.Fence, p.Wave = "", "", 0, 0
	s.Plans[p.ID] = &p
	s.PlanOrder = append(s.PlanOrder, p.ID)
	s.prunePlans()
}

// prunePlans removes the oldest inactive plans if there are more than
// maxInactivePlans.
func (s *State) prunePlans() {
	activePlans := s.activePlans()
	inactive := len(s.PlanOrder) - len(activePlans)
	if inactive <= maxInactivePlans {
		return
	}
	s.PlanOrder = slices.DeleteFunc(slices.Clone(s.PlanOrder), func(id string) bool {
		if inactive <= maxInactivePlans || activePlans[id] {
			return false
		}
		inactive--
		delete(s.Plans, id)
		return true
	})
}

// activePlans returns the ids of the plans that boxes still follow: the confirmed plans,
// and the superseded ones that are still the newest plan for the model on some box.
func (s *State) activePlans() map[string]bool {
	type target struct{ box, model string }
	newest := make(map[target]*intent.Plan)
	active := make(map[string]bool)
	for _, id := range s.PlanOrder {
		p := s.Plans[id]
		if p.Status == intent.Confirmed {
			active[id] = true
		}
		if !inEffect(p) {
			continue
		}
		for _, step := range p.Steps {
			t := target{box: step.Box, model: p.Intent.Model}
			if old := newest[t]; old == nil || old.Fence < p.Fence {
				newest[t] = p
			}
		}
	}
	for _, p := range newest {
		active[p.ID] = true
	}
	return active
}

// inEffect reports whether a plan was confirmed and not cancelled. A superseded plan
// remains in effect for boxes and workspaces that later plans do not include.
func inEffect(p *intent.Plan) bool {
	return p.Status == intent.Confirmed || p.Status == intent.Superseded
}

// confirmPlan confirms a proposed plan. A plan that has expired, or that conflicts with
// an earlier record, gets the status Expired or Conflicted instead. The decision depends
// only on the log, not on the local clock.
//
// The texts of Plan.Reason set in this file are part of the state and its digest, so
// they must not differ between releases.
func (s *State) confirmPlan(r eventlog.Record, id string) {
	p, ok := s.Plans[id]
	if !ok || p.Status != intent.Proposed {
		return
	}
	if r.At > p.ExpiresAt {
		s.setStatus(id, intent.Proposed, intent.Expired, "the plan had expired when it was confirmed")
		return
	}
	if reason := intent.ConflictReason(p, s.LastModified); reason != "" {
		s.setStatus(id, intent.Proposed, intent.Conflicted, reason)
		return
	}
	p = s.cloneForUpdate(id)
	p.Status, p.Fence, p.ConfirmID = intent.Confirmed, r.Offset, r.ID
	for _, step := range p.Steps {
		s.LastModified.Boxes[step.Box] = r.Offset + 1
	}
	for _, w := range p.Intent.Workspaces {
		s.LastModified.Workspaces[w] = r.Offset + 1
	}
	s.supersede(p)
}

// supersede sets the status of the other confirmed plans for newPlan's model to
// Superseded if, for each of their workspaces, a plan in effect for the model was
// confirmed more recently.
func (s *State) supersede(newPlan *intent.Plan) {
	for _, id := range s.PlanOrder {
		p := s.Plans[id]
		if p.Status != intent.Confirmed || p.ID == newPlan.ID || p.Intent.Model != newPlan.Intent.Model {
			continue
		}
		if s.fullySuperseded(p) {
			s.setStatus(id, intent.Confirmed, intent.Superseded, "superseded by plan "+newPlan.ID)
		}
	}
}

// fullySuperseded reports whether every workspace of p is routed first to a later plan
// for the same model.
func (s *State) fullySuperseded(p *intent.Plan) bool {
	for _, w := range p.Intent.Workspaces {
		if r := s.Route(w, p.Intent.Model); len(r) > 0 && r[0].ID == p.ID {
			return false
		}
	}
	return true
}

// cancelPlan cancels a confirmed plan. If the plan had superseded others, the newest of
// those is confirmed again with a new fence, the offset of the record r.
func (s *State) cancelPlan(r eventlog.Record, id string) {
	p, ok := s.Plans[id]
	if !ok || p.Status != intent.Confirmed {
		return
	}
	s.setStatus(id, intent.Confirmed, intent.Cancelled, "cancelled by "+r.By)
	for _, step := range p.Steps {
		s.LastModified.Boxes[step.Box] = r.Offset + 1
	}
	for _, w := range p.Intent.Workspaces {
		s.LastModified.Workspaces[w] = r.Offset + 1
	}
	if predecessor := s.predecessor(p); predecessor != nil {
		restored := s.cloneForUpdate(predecessor.ID)
		restored.Status, restored.Reason, restored.Fence = intent.Confirmed, "restored when plan "+id+" was cancelled", r.Offset
	}
}

// predecessor returns the newest plan that p superseded, or nil. It relies on the
// reason that supersede sets.
func (s *State) predecessor(p *intent.Plan) *intent.Plan {
	for _, id := range slices.Backward(s.PlanOrder) {
		candidate := s.Plans[id]
		if candidate.Status == intent.Superseded && candidate.Reason == "superseded by plan "+p.ID {
			return candidate
		}
	}
	return nil
}

// advancePlan advances a confirmed plan to its next wave. A record for any other wave
// has no effect, so that duplicate records do not skip a wave.
func (s *State) advancePlan(b PlanAdvanced) {
	p, ok := s.Plans[b.Plan]
	if !ok || p.Status != intent.Confirmed || b.Wave != p.Wave+1 || b.Wave >= p.Waves() {
		return
	}
	s.cloneForUpdate(b.Plan).Wave = b.Wave
}

// setStatus sets the status of a plan to to, and its reason. It has no effect if there is
// no such plan or its status is not from.
func (s *State) setStatus(id string, from, to intent.Status, reason string) {
	p, ok := s.Plans[id]
	if !ok || p.Status != from {
		return
	}
	p = s.cloneForUpdate(id)
	p.Status, p.Reason = to, reason
}

// cloneForUpdate replaces a plan by a copy and returns the copy. All changes of plans go
// through it, so that a *Plan that a reader has retained does not change.
func (s *State) cloneForUpdate(id string) *intent.Plan {
	p := *s.Plans[id]
	s.Plans[id] = &p
	return &p
}

// changeHomes adds and removes homes of idempotency keys and stores the change for each
// service. It is idempotent, since several gateways may write the same change.
func (s *State) changeHomes(r eventlog.Record, b HomesChanged) {
	changes := make(map[string]*HomeChange)
	changeOf := func(service string) *HomeChange {
		if changes[service] == nil {
			changes[service] = &HomeChange{Service: service, At: r.At, Offset: r.Offset, First: s.noRecentHomes(service)}
		}
		return changes[service]
	}
	for _, box := range b.Remove {
		if h, ok := s.Homes[box]; ok {
			c := changeOf(h.Service)
			c.Removed = append(c.Removed, h)
			delete(s.Homes, box)
		}
	}
	for _, h := range b.Add {
		old, exists := s.Homes[h.Box]
		if exists && old.Incarnation == h.Incarnation {
			continue
		}
		c := changeOf(h.Service)
		if exists {
			c.Removed = append(c.Removed, old)
		}
		h.Since = r.At
		s.Homes[h.Box] = h
		c.Added = append(c.Added, h)
	}
	for _, service := range slices.Sorted(maps.Keys(changes)) {
		s.HomeChanges = append(s.HomeChanges, *changes[service])
	}
	s.pruneChanges(r.At)
}

// noRecentHomes reports whether the service has no home of idempotency keys and had none
// within changeRetention. No sidecar can then hold keys of the service.
func (s *State) noRecentHomes(service string) bool {
	return len(s.HomesOf(service)) == 0 && !slices.ContainsFunc(s.HomeChanges, func(c HomeChange) bool { return c.Service == service })
}

// pruneChanges removes the recorded changes of homes (see HomeChange) that are older than
// changeRetention. now is the time of the applied record in Unix milliseconds; with the
// local clock instead, replicas would differ.
func (s *State) pruneChanges(now int64) {
	s.HomeChanges = slices.DeleteFunc(slices.Clone(s.HomeChanges), func(c HomeChange) bool {
		return now-c.At > changeRetention.Milliseconds()
	})
}

// HomesOf returns the homes of a service's idempotency keys, sorted by box. A home is a
// sidecar process that stores what is known of a key.
func (s *State) HomesOf(service string) []Home {
	var out []Home
	for _, h := range s.Homes {
		if h.Service == service {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Home) int { return cmp.Compare(a.Box, b.Box) })
	return out
}

// Route returns the plans in effect that provide a model to a workspace, by descending
// fence: the most recently confirmed one first. Requests go to the version of the first
// plan that has replicas.
func (s *State) Route(workspace, model string) []*intent.Plan {
	var out []*intent.Plan
	for _, id := range s.PlanOrder {
		p := s.Plans[id]
		if inEffect(p) && p.Intent.Model == model && slices.Contains(p.Intent.Workspaces, workspace) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *intent.Plan) int { return cmp.Compare(b.Fence, a.Fence) })
	return out
}

// Desired returns the plans that a box must execute, by descending fence. For each
// model this is the plan in effect that was confirmed most recently, and so has the
// highest fence, among those that have a step for the box.
func (s *State) Desired(box string) []*intent.Plan {
	byModel := make(map[string]*intent.Plan)
	for _, id := range s.PlanOrder {
		p := s.Plans[id]
		if !inEffect(p) {
			continue
		}
		if _, ok := p.Step(box); !ok {
			continue
		}
		if old := byModel[p.Intent.Model]; old == nil || old.Fence < p.Fence {
			byModel[p.Intent.Model] = p
		}
	}
	out := slices.Collect(maps.Values(byModel))
	slices.SortFunc(out, func(a, b *intent.Plan) int { return cmp.Compare(b.Fence, a.Fence) })
	return out
}

// Models returns the models that a workspace can use, sorted.
func (s *State) Models(workspace string) []string {
	var out []string
	for _, p := range s.Plans {
		if p.Status == intent.Confirmed && slices.Contains(p.Intent.Workspaces, workspace) && !slices.Contains(out, p.Intent.Model) {
			out = append(out, p.Intent.Model)
		}
	}
	slices.Sort(out)
	return out
}

// HighestFence returns the highest fence of all plans. A plan's fence is the offset of the
// record that confirmed it; see intent.Plan.
func (s *State) HighestFence() int64 {
	var f int64
	for _, p := range s.Plans {
		f = max(f, p.Fence)
	}
	return f
}

// Digest returns the digest of the state's JSON encoding, which is deterministic.
func (s *State) Digest() weights.Digest {
	b, err := json.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("state: cannot be encoded as JSON: %v", err)) // has only plain fields
	}
	return weights.Sum(b)
}
