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

// Bounds of what a state keeps.
const (
	// keptIDs is how many record ids are remembered to recognise a record
	// that stands twice. At a hundred appends a second this is 40 seconds
	// of the log at its limit; a writer gives up well before.
	keptIDs = 4096
	// keptPlans is how many plans without effect are kept for operators.
	keptPlans = 64
	// keptChanges is how long changes of homes are kept; it is longer than
	// package dedup remembers a key.
	keptChanges = 30 * time.Minute
)

// ErrOffset says that a record does not follow the last applied one.
const ErrOffset = errors.ConstError("record does not follow the state's offset")

// State is the fold of the configuration stream. The zero value is the
// state before the first record. Treat it as read-only outside Apply.
type State struct {
	// Offset is the offset after the last applied record.
	Offset     int64                          `json:"offset"`
	Operators  map[string]workspace.Operator  `json:"operators"`
	Workspaces map[string]workspace.Workspace `json:"workspaces"`
	Plans      map[string]*intent.Plan        `json:"plans"`
	// PlanOrder lists the plans by the offset of their proposal.
	PlanOrder []string       `json:"plan_order"`
	Touched   intent.Touched `json:"touched"`
	// Homes lists the homes by box.
	Homes   map[string]Home `json:"homes"`
	Changes []Change        `json:"changes"`
	// IDs are the ids of the last applied records, oldest first.
	IDs []string `json:"ids"`

	seen map[string]bool
}

// New returns the state before the first record.
func New() *State {
	s := new(State)
	s.init()
	return s
}

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
	if s.Touched.Boxes == nil {
		s.Touched.Boxes = make(map[string]int64)
	}
	if s.Touched.Workspaces == nil {
		s.Touched.Workspaces = make(map[string]int64)
	}
	if s.Homes == nil {
		s.Homes = make(map[string]Home)
	}
	if s.seen == nil {
		s.seen = make(map[string]bool, len(s.IDs))
		for _, id := range s.IDs {
			s.seen[id] = true
		}
	}
}

// Apply folds r into s. It returns ErrOffset, and changes nothing, unless r
// is the very next record. A record that the rules refuse moves the offset
// and nothing else.
func (s *State) Apply(r eventlog.Record) error {
	if r.Offset != s.Offset {
		return errors.WithType(errors.Errorf("record at %d, state at %d", r.Offset, s.Offset), ErrOffset)
	}
	s.init()
	s.Offset++
	if s.seen[r.ID] {
		return nil
	}
	s.remember(r.ID)
	if r.Schema > eventlog.Schema {
		return nil // written by a later release; that release's rules do not bind this one
	}
	s.fold(r)
	return nil
}

func (s *State) remember(id string) {
	s.seen[id] = true
	s.IDs = append(s.IDs, id)
	if len(s.IDs) > keptIDs {
		delete(s.seen, s.IDs[0])
		s.IDs = slices.Clone(s.IDs[1:])
	}
}

// Applied reports whether the record with this id is among the last ones.
func (s *State) Applied(id string) bool { return s.seen[id] }

func (s *State) fold(r eventlog.Record) {
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
		decode(r, func(b PlanProposed) { s.propose(b.Plan) })
	case KindPlanConfirmed:
		decode(r, func(b PlanRef) { s.confirm(r, b.Plan) })
	case KindPlanRejected:
		decode(r, func(b PlanRef) { s.end(b.Plan, intent.Proposed, intent.Rejected, "rejected by "+r.By) })
	case KindPlanCancelled:
		decode(r, func(b PlanRef) { s.cancel(r, b.Plan) })
	case KindPlanAdvanced:
		decode(r, func(b PlanAdvanced) { s.advance(b) })
	case KindHomesChanged:
		decode(r, func(b HomesChanged) { s.changeHomes(r, b) })
	}
}

// decode calls apply with the record's body; a body that does not decode
// changes nothing, in every process alike.
func decode[T any](r eventlog.Record, apply func(T)) {
	var body T
	if err := json.Unmarshal(r.Body, &body); err == nil {
		apply(body)
	}
}

func (s *State) setWorkspace(r eventlog.Record, w workspace.Workspace) {
	if w.Validate() != nil {
		return
	}
	s.Workspaces[w.Name] = w
	s.Touched.Workspaces[w.Name] = r.Offset + 1
}

func (s *State) removeWorkspace(r eventlog.Record, name string) {
	delete(s.Workspaces, name)
	s.Touched.Workspaces[name] = r.Offset + 1
}

func (s *State) propose(p intent.Plan) {
	if _, ok := s.Plans[p.ID]; ok {
		return
	}
	p.Status = intent.Proposed
	p.Reason, p.ConfirmID, p.Fence, p.Wave = "", "", 0, 0
	s.Plans[p.ID] = &p
	s.PlanOrder = append(s.PlanOrder, p.ID)
	s.dropOldPlans()
}

// dropOldPlans forgets the oldest plans that order nothing and that no box
// follows any more.
func (s *State) dropOldPlans() {
	followed := s.followed()
	idle := len(s.PlanOrder) - len(followed)
	if idle <= keptPlans {
		return
	}
	s.PlanOrder = slices.DeleteFunc(slices.Clone(s.PlanOrder), func(id string) bool {
		if idle <= keptPlans || followed[id] {
			return false
		}
		idle--
		delete(s.Plans, id)
		return true
	})
}

// followed is the set of plans that are confirmed, or that some box goes on
// serving because the plan that superseded them left it out.
func (s *State) followed() map[string]bool {
	type target struct{ box, model string }
	newest := make(map[target]*intent.Plan)
	out := make(map[string]bool)
	for _, id := range s.PlanOrder {
		p := s.Plans[id]
		if p.Status == intent.Confirmed {
			out[id] = true
		}
		if !inForce(p) {
			continue
		}
		for _, step := range p.Steps {
			at := target{box: step.Box, model: p.Intent.Model}
			if old := newest[at]; old == nil || old.Fence < p.Fence {
				newest[at] = p
			}
		}
	}
	for _, p := range newest {
		out[p.ID] = true
	}
	return out
}

// inForce reports whether a plan was confirmed and not taken back.
func inForce(p *intent.Plan) bool {
	return p.Status == intent.Confirmed || p.Status == intent.Superseded
}

// confirm decides by the log's order alone whether the plan takes effect.
func (s *State) confirm(r eventlog.Record, id string) {
	p, ok := s.Plans[id]
	if !ok || p.Status != intent.Proposed {
		return
	}
	if r.At > p.ExpiresAt {
		s.end(id, intent.Proposed, intent.Expired, "the plan had expired when it was confirmed")
		return
	}
	if reason := intent.Conflicts(p, s.Touched); reason != "" {
		s.end(id, intent.Proposed, intent.Conflicted, reason)
		return
	}
	p = s.change(id)
	p.Status, p.Fence, p.ConfirmID = intent.Confirmed, r.Offset, r.ID
	for _, step := range p.Steps {
		s.Touched.Boxes[step.Box] = r.Offset + 1
	}
	for _, w := range p.Intent.Workspaces {
		s.Touched.Workspaces[w] = r.Offset + 1
	}
	s.supersede(p)
}

// supersede ends former plans of the same model that no box and no
// workspace follows any more.
func (s *State) supersede(by *intent.Plan) {
	for _, id := range s.PlanOrder {
		p := s.Plans[id]
		if p.Status != intent.Confirmed || p.ID == by.ID || p.Intent.Model != by.Intent.Model {
			continue
		}
		if s.covered(p) {
			s.end(id, intent.Confirmed, intent.Superseded, "superseded by plan "+by.ID)
		}
	}
}

// covered reports whether later plans of the same model have taken over
// every workspace of p.
func (s *State) covered(p *intent.Plan) bool {
	for _, w := range p.Intent.Workspaces {
		if r := s.Route(w, p.Intent.Model); len(r) > 0 && r[0].ID == p.ID {
			return false
		}
	}
	return true
}

// cancel takes a confirmed plan back: its boxes and workspaces return to
// the plan before it, where there is one.
func (s *State) cancel(r eventlog.Record, id string) {
	p, ok := s.Plans[id]
	if !ok || p.Status != intent.Confirmed {
		return
	}
	s.end(id, intent.Confirmed, intent.Cancelled, "cancelled by "+r.By)
	for _, step := range p.Steps {
		s.Touched.Boxes[step.Box] = r.Offset + 1
	}
	for _, w := range p.Intent.Workspaces {
		s.Touched.Workspaces[w] = r.Offset + 1
	}
	if former := s.former(p); former != nil {
		q := s.change(former.ID)
		q.Status, q.Reason, q.Fence = intent.Confirmed, "restored when plan "+id+" was cancelled", r.Offset
	}
}

// former is the plan that p had superseded.
func (s *State) former(p *intent.Plan) *intent.Plan {
	for _, id := range slices.Backward(s.PlanOrder) {
		q := s.Plans[id]
		if q.Status == intent.Superseded && q.Reason == "superseded by plan "+p.ID {
			return q
		}
	}
	return nil
}

func (s *State) advance(b PlanAdvanced) {
	p, ok := s.Plans[b.Plan]
	if !ok || p.Status != intent.Confirmed || b.Wave != p.Wave+1 || b.Wave >= p.Waves() {
		return
	}
	s.change(b.Plan).Wave = b.Wave
}

func (s *State) end(id string, from, to intent.Status, reason string) {
	p, ok := s.Plans[id]
	if !ok || p.Status != from {
		return
	}
	p = s.change(id)
	p.Status, p.Reason = to, reason
}

// change returns a copy of a plan to write to; readers keep the former one.
func (s *State) change(id string) *intent.Plan {
	p := *s.Plans[id]
	s.Plans[id] = &p
	return &p
}

// changeHomes folds a change; what is so already changes nothing, so that
// two gateways that write the same change do no harm.
func (s *State) changeHomes(r eventlog.Record, b HomesChanged) {
	changes := make(map[string]*Change)
	of := func(service string) *Change {
		if changes[service] == nil {
			changes[service] = &Change{Service: service, At: r.At, Offset: r.Offset, First: s.neverHadHomes(service)}
		}
		return changes[service]
	}
	for _, box := range b.Remove {
		if h, ok := s.Homes[box]; ok {
			c := of(h.Service)
			c.Removed = append(c.Removed, h)
			delete(s.Homes, box)
		}
	}
	for _, h := range b.Add {
		old, had := s.Homes[h.Box]
		if had && old.Incarnation == h.Incarnation {
			continue
		}
		c := of(h.Service)
		if had {
			c.Removed = append(c.Removed, old)
		}
		h.Since = r.At
		s.Homes[h.Box] = h
		c.Added = append(c.Added, h)
	}
	for _, service := range slices.Sorted(maps.Keys(changes)) {
		s.Changes = append(s.Changes, *changes[service])
	}
	s.dropOldChanges(r.At)
}

// neverHadHomes reports whether no home of the service can remember a key:
// there is none, and none has left for as long as changes are kept.
func (s *State) neverHadHomes(service string) bool {
	return len(s.HomesOf(service)) == 0 && !slices.ContainsFunc(s.Changes, func(c Change) bool { return c.Service == service })
}

// dropOldChanges forgets changes that no rule asks about any more. It goes
// by the records' own times, so that every process forgets the same.
func (s *State) dropOldChanges(now int64) {
	s.Changes = slices.DeleteFunc(slices.Clone(s.Changes), func(c Change) bool {
		return now-c.At > keptChanges.Milliseconds()
	})
}

// HomesOf returns the homes of a service, ordered by box.
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

// Route returns the confirmed plans that serve a workspace with a model,
// newest first. The first is the version to answer with; the others serve
// until the first has replicas.
func (s *State) Route(workspace, model string) []*intent.Plan {
	var out []*intent.Plan
	for _, id := range s.PlanOrder {
		p := s.Plans[id]
		if inForce(p) && p.Intent.Model == model && slices.Contains(p.Intent.Workspaces, workspace) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *intent.Plan) int { return cmp.Compare(b.Fence, a.Fence) })
	return out
}

// Desired returns the plans that a box is to carry out, one a model, newest
// first by fence.
func (s *State) Desired(box string) []*intent.Plan {
	byModel := make(map[string]*intent.Plan)
	for _, id := range s.PlanOrder {
		p := s.Plans[id]
		if !inForce(p) {
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

// Models returns the models that a workspace can ask for, sorted.
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

// HighestFence is the highest offset that an order can carry so far.
func (s *State) HighestFence() int64 {
	var f int64
	for _, p := range s.Plans {
		f = max(f, p.Fence)
	}
	return f
}

// Digest returns the digest of the state's canonical JSON.
func (s *State) Digest() weights.Digest {
	b, err := json.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("state: does not marshal: %v", err)) // plain fields always marshal
	}
	return weights.Sum(b)
}
