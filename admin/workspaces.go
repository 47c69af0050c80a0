// SPDX-License-Identifier: Apache-2.0

package admin

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/workspace"
)

// WorkspaceChange is the body of PUT /workspaces/{name}. Omitted fields keep their
// values; a new workspace requires a key and a priority.
type WorkspaceChange struct {
	// Key is the key in plain text; only its hash is written to the event log.
	Key         *string `json:"key,omitempty"`
	Priority    *int    `json:"priority,omitempty"`
	MaxInFlight *int    `json:"max_in_flight,omitempty"`
	// Floor is the minimum number of boxes that must keep serving the workspace
	// during a rollout.
	Floor *int `json:"floor,omitempty"`
}

// OperatorChange is the body of PUT /operators/{name}.
type OperatorChange struct {
	// Key is the key in plain text; only its hash is written to the event log.
	Key string `json:"key"`
}

// minKeyLength is the least length of a key, in bytes.
const minKeyLength = 16

// workspaces returns the workspaces by name, without their keys.
func (s *Server) workspaces(*http.Request, string) (any, error) {
	var out []workspace.Workspace
	s.Replica.View(func(st *state.State) { out = slices.Collect(maps.Values(st.Workspaces)) })
	slices.SortFunc(out, func(a, b workspace.Workspace) int { return cmp.Compare(a.Name, b.Name) })
	for i := range out {
		out[i].KeyHash = ""
	}
	return out, nil
}

// setWorkspace adds a workspace or changes the given fields of an existing one.
func (s *Server) setWorkspace(r *http.Request, operator string) (any, error) {
	var c WorkspaceChange
	if err := httpserve.ReadJSON(r, &c); err != nil {
		return nil, err
	}
	w := workspace.Workspace{Name: pathName(r)}
	s.Replica.View(func(st *state.State) {
		if old, ok := st.Workspaces[w.Name]; ok {
			w = old
		}
	})
	if err := c.apply(&w); err != nil {
		return nil, err
	}
	if err := s.checkKeyUnused(w); err != nil {
		return nil, err
	}
	if _, err := s.commit(r, operator, state.KindWorkspaceSet, state.WorkspaceSet{Workspace: w}); err != nil {
		return nil, err
	}
	w.KeyHash = ""
	return w, nil
}

// apply sets the fields of w that are not omitted, and validates w.
func (c *WorkspaceChange) apply(w *workspace.Workspace) error {
	if c.Key != nil {
		if len(*c.Key) < minKeyLength {
			return Errorf(CodeInvalid, "key of %d characters (want %d or more)", len(*c.Key), minKeyLength)
		}
		w.KeyHash = workspace.HashKey(*c.Key)
	}
	if c.Priority != nil {
		w.Priority = *c.Priority
	}
	if c.MaxInFlight != nil {
		w.MaxInFlight = *c.MaxInFlight
	}
	if c.Floor != nil {
		w.Floor = *c.Floor
	}
	return w.Validate()
}

// checkKeyUnused returns an error if another workspace has the same key.
func (s *Server) checkKeyUnused(w workspace.Workspace) error {
	owner := ""
	s.Replica.View(func(st *state.State) {
		for _, o := range st.Workspaces {
			if o.KeyHash == w.KeyHash && o.Name != w.Name {
				owner = o.Name
			}
		}
	})
	if owner != "" {
		return Errorf(CodeConflict, "another workspace has this key")
	}
	return nil
}

// removeWorkspace removes the workspace that the request's path names. operator is
// recorded in the event log as the author of the change.
func (s *Server) removeWorkspace(r *http.Request, operator string) (any, error) {
	found := false
	s.Replica.View(func(st *state.State) { _, found = st.Workspaces[pathName(r)] })
	if !found {
		return nil, Errorf(CodeNotFound, "workspace %q does not exist", pathName(r))
	}
	_, err := s.commit(r, operator, state.KindWorkspaceRemove, state.Name{Name: pathName(r)})
	return state.Name{Name: pathName(r)}, err
}

// operators returns the names of all operators, sorted.
func (s *Server) operators(*http.Request, string) (any, error) {
	var out []string
	s.Replica.View(func(st *state.State) { out = slices.Sorted(maps.Keys(st.Operators)) })
	return out, nil
}

// setOperator adds an operator or replaces the key of an existing one. operator is the
// author of the change, not the operator that is set.
func (s *Server) setOperator(r *http.Request, operator string) (any, error) {
	var c OperatorChange
	if err := httpserve.ReadJSON(r, &c); err != nil {
		return nil, err
	}
	if len(c.Key) < minKeyLength {
		return nil, Errorf(CodeInvalid, "key of %d characters (want %d or more)", len(c.Key), minKeyLength)
	}
	o := workspace.Operator{Name: pathName(r), KeyHash: workspace.HashKey(c.Key)}
	_, err := s.commit(r, operator, state.KindOperatorSet, state.OperatorSet{Operator: o})
	return state.Name{Name: o.Name}, err
}

// removeOperator removes the operator that the request's path names. operator is the
// author of the change.
func (s *Server) removeOperator(r *http.Request, operator string) (any, error) {
	found := false
	s.Replica.View(func(st *state.State) { _, found = st.Operators[pathName(r)] })
	if !found {
		return nil, Errorf(CodeNotFound, "operator %q does not exist", pathName(r))
	}
	_, err := s.commit(r, operator, state.KindOperatorRemove, state.Name{Name: pathName(r)})
	return state.Name{Name: pathName(r)}, err
}
