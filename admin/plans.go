// SPDX-License-Identifier: Apache-2.0

package admin

import (
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/weights"
	"github.com/mintlift/mintlift/workspace"
)

// createIntent proposes a plan for the intent in the request, an operator's request for
// the rollout of a model version. No weights are
// transferred before the plan is confirmed.
func (s *Server) createIntent(r *http.Request, operator string) (any, error) {
	var in intent.Intent
	if err := httpserve.ReadJSON(r, &in); err != nil {
		return nil, err
	}
	in.ID = uuid.NewString()
	return s.propose(r, operator, in)
}

// propose makes a plan for an intent and records it as proposed.
func (s *Server) propose(r *http.Request, operator string, in intent.Intent) (*intent.Plan, error) {
	if err := in.Validate(); err != nil {
		return nil, err
	}
	if err := s.checkWorkspacesExist(in); err != nil {
		return nil, err
	}
	m, err := s.Cluster.Manifest(r.Context(), in.Ref)
	if err != nil {
		return nil, err
	}
	plan, err := intent.NewPlan(in, m, s.snapshot(r))
	if err != nil {
		return nil, err
	}
	if _, err := s.commit(r, operator, state.KindPlanProposed, state.PlanProposed{Plan: *plan}); err != nil {
		return nil, err
	}
	return plan, nil
}

// checkWorkspacesExist returns an error if a workspace of the intent does not exist.
// It is called first, so that such an intent causes no calls to the weight store and the
// boxes.
func (s *Server) checkWorkspacesExist(in intent.Intent) error {
	var err error
	s.Replica.View(func(st *state.State) {
		for _, name := range in.Workspaces {
			if _, ok := st.Workspaces[name]; !ok {
				err = Errorf(CodeNotFound, "workspace %q does not exist", name)
				return
			}
		}
	})
	return err
}

// snapshot returns the input of the planner. Its log offset is read before the boxes
// are probed, so that a record appended during the probes counts as newer than the plan.
func (s *Server) snapshot(r *http.Request) intent.Snapshot {
	w := intent.Snapshot{
		Now:        time.Now(),
		Workspaces: make(map[string]workspace.Workspace),
		Links:      s.Cluster.Links(),
		Weighing:   s.Weighing,
		TTL:        s.PlanTTL,
	}
	s.Replica.View(func(st *state.State) {
		w.Base = st.Offset
		for name, ws := range st.Workspaces {
			w.Workspaces[name] = ws
		}
	})
	boxes := s.Cluster.ProbeEndpoints(r.Context())
	s.Replica.View(func(st *state.State) { w.Boxes = Candidates(st, boxes) })
	return w
}

// Candidates returns the boxes that a plan may use, as input of the planner. A candidate
// has responded, is neither draining nor leaving, and has reported the state of its
// model engine if it runs one.
func Candidates(st *state.State, boxes []BoxStatus) []intent.Candidate {
	var out []intent.Candidate
	for _, b := range boxes {
		if !b.Reached || b.Status.Draining || b.Box.State == membership.Leaving {
			continue
		}
		if b.Box.Service == "" && !b.Status.EngineKnown {
			continue // its memory and loaded versions are not known yet
		}
		c := intent.Candidate{Box: b.Box, MemoryBytes: b.Status.MemoryBytes}
		for _, l := range b.Status.Loaded {
			c.Loaded = append(c.Loaded, intent.LoadedVersion{Ref: l.Ref, Bytes: l.Bytes, Workspaces: workspacesRoutedTo(st, l.Ref)})
		}
		out = append(out, c)
	}
	return out
}

// workspacesRoutedTo returns the sorted names of the workspaces whose requests are
// routed to a version.
func workspacesRoutedTo(st *state.State, ref weights.Ref) []string {
	var out []string
	for name := range st.Workspaces {
		if slices.ContainsFunc(st.Route(name, ref.Model), func(p *intent.Plan) bool { return p.Intent.Ref == ref }) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// plans returns all plans in the sequence in which they were proposed.
func (s *Server) plans(*http.Request, string) (any, error) {
	out := []*intent.Plan{}
	s.Replica.View(func(st *state.State) {
		for _, id := range st.PlanOrder {
			out = append(out, st.Plans[id])
		}
	})
	return out, nil
}

// plan returns the plan that the request's path names by its ID.
func (s *Server) plan(r *http.Request, _ string) (any, error) { return s.findPlan(pathID(r)) }

// findPlan returns the plan with an ID, or a CodeNotFound error.
func (s *Server) findPlan(id string) (*intent.Plan, error) {
	var p *intent.Plan
	s.Replica.View(func(st *state.State) { p = st.Plans[id] })
	if p == nil {
		return nil, Errorf(CodeNotFound, "plan %q does not exist", id)
	}
	return p, nil
}

// confirm confirms a proposed plan. The order of records in the event log decides
// whether the confirmation takes effect. In a conflict the error contains the reason
// and a new plan for the same intent.
func (s *Server) confirm(r *http.Request, operator string) (any, error) {
	p, err := s.findPlan(pathID(r))
	if err != nil {
		return nil, err
	}
	if p.Status != intent.Proposed {
		return nil, Errorf(CodeNotProposed, "plan %s is %s already%s", p.ID, p.Status, reasonSuffix(p))
	}
	recordID, err := s.commit(r, operator, state.KindPlanConfirmed, state.PlanRef{Plan: p.ID})
	if err != nil {
		return nil, err
	}
	if p, err = s.findPlan(p.ID); err != nil {
		return nil, err
	}
	if p.ConfirmID == recordID {
		return p, nil
	}
	return nil, s.confirmError(r, operator, p)
}

// reasonSuffix returns ": " and the reason for a plan's status, or "" if there is no
// reason. It is appended to error messages.
func reasonSuffix(p *intent.Plan) string {
	if p.Reason == "" {
		return ""
	}
	return ": " + p.Reason
}

// confirmError returns the reason why a confirmation did not take effect.
func (s *Server) confirmError(r *http.Request, operator string, p *intent.Plan) error {
	switch p.Status {
	case intent.Expired:
		return Errorf(CodeExpired, "plan %s was not confirmed: %s", p.ID, p.Reason)
	case intent.Conflicted:
		e := Errorf(CodeConflict, "plan %s was not confirmed: %s", p.ID, p.Reason)
		if fresh, err := s.propose(r, operator, p.Intent); err == nil {
			e.Plan = fresh
			e.Message += "; a fresh plan is " + fresh.ID
		}
		return e
	default:
		return Errorf(CodeNotProposed, "plan %s is %s already%s", p.ID, p.Status, reasonSuffix(p))
	}
}

// reject ends a proposed plan, one that no operator has confirmed yet.
func (s *Server) reject(r *http.Request, operator string) (any, error) {
	return s.endPlan(r, operator, intent.Proposed, intent.Rejected)
}

// cancel ends a confirmed plan.
func (s *Server) cancel(r *http.Request, operator string) (any, error) {
	return s.endPlan(r, operator, intent.Confirmed, intent.Cancelled)
}

// endPlan changes a plan's status from from to to, which must be Rejected or Cancelled.
// It returns an error if the plan does not have the status from.
func (s *Server) endPlan(r *http.Request, operator string, from, to intent.Status) (any, error) {
	p, err := s.findPlan(pathID(r))
	if err != nil {
		return nil, err
	}
	if p.Status != from {
		return nil, Errorf(CodeNotProposed, "plan %s is %s, not %s%s", p.ID, p.Status, from, reasonSuffix(p))
	}
	kind := state.KindPlanRejected
	if to == intent.Cancelled {
		kind = state.KindPlanCancelled
	}
	if _, err := s.commit(r, operator, kind, state.PlanRef{Plan: p.ID}); err != nil {
		return nil, err
	}
	return s.findPlan(p.ID)
}

// Progress is the response to GET /plans/{id}/progress.
type Progress struct {
	Plan  *intent.Plan  `json:"plan"`
	Boxes []BoxProgress `json:"boxes"`
	// The following four are sums over the boxes that responded: bytes received from
	// the origin, from peers, and from peers in another region, and the number of
	// chunks that failed verification.
	OriginBytes int64 `json:"origin_bytes"`
	PeerBytes   int64 `json:"peer_bytes"`
	CrossBytes  int64 `json:"cross_bytes"`
	BadChunks   int64 `json:"bad_chunks"`
	// Serving is the number of boxes that serve the plan's version.
	Serving int `json:"serving"`
}

// BoxProgress is the progress of one box's copy of the version.
type BoxProgress struct {
	Step intent.Step `json:"step"`
	// Reached reports whether the box's process responded.
	Reached bool            `json:"reached"`
	Copy    peer.CopyStatus `json:"copy"`
}

// Done reports whether at least one box serves the plan's version and every box that
// responded does so.
func (p *Progress) Done() bool { return p.Serving > 0 && p.Serving == p.reachedBoxes() }

// reachedBoxes returns the number of boxes that responded.
func (p *Progress) reachedBoxes() int {
	n := 0
	for _, b := range p.Boxes {
		if b.Reached {
			n++
		}
	}
	return n
}

// progress returns the progress of a plan, with the current state of each of its boxes.
func (s *Server) progress(r *http.Request, _ string) (any, error) {
	p, err := s.findPlan(pathID(r))
	if err != nil {
		return nil, err
	}
	byID := make(map[string]BoxStatus)
	for _, b := range s.Cluster.ProbeEndpoints(r.Context()) {
		byID[b.Box.ID] = b
	}
	out := &Progress{Plan: p}
	for _, step := range p.Steps {
		out.addBox(step, byID[step.Box])
	}
	return out, nil
}

// addBox adds the progress of a step's box and updates the sums.
func (p *Progress) addBox(step intent.Step, b BoxStatus) {
	bp := BoxProgress{Step: step, Reached: b.Reached, Copy: peer.CopyStatus{State: weights.Absent}}
	for _, c := range b.Status.Copies {
		if c.Ref == p.Plan.Intent.Ref {
			bp.Copy = c
		}
	}
	p.OriginBytes += bp.Copy.OriginBytes
	p.PeerBytes += bp.Copy.PeerBytes
	p.CrossBytes += bp.Copy.CrossRegionBytes
	p.BadChunks += bp.Copy.BadChunks
	if bp.Copy.State == weights.Serving {
		p.Serving++
	}
	p.Boxes = append(p.Boxes, bp)
}
