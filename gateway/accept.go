// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/workspace"
)

// accept checks who asks and reads the request.
func (d *Daemon) accept(w http.ResponseWriter, r *http.Request) (*request, *failure) {
	q := &request{id: uuid.NewString(), method: r.Method, path: r.URL.Path, query: r.URL.RawQuery, header: r.Header, key: r.Header.Get(headerKey), ctx: r.Context()}
	if d.Requests.Draining() {
		w.Header().Set("Connection", "close")
		no := notRun(http.StatusServiceUnavailable, "draining", "this gateway is leaving")
		no.retry = shedRetry
		return q, q.doubt(no)
	}
	ws, no := d.authenticate(r)
	if no != nil {
		return q, q.doubt(no)
	}
	q.workspace = ws
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpserve.MaxBody))
	if err != nil {
		return q, q.doubt(notRun(http.StatusRequestEntityTooLarge, "body", "the request's body is too large or broke off"))
	}
	q.body = body
	return q, nil
}

// doubt turns "not run" into "unknown" for a request with a key of the
// caller's, whose earlier attempts this gateway knows nothing of.
func (q *request) doubt(no *failure) *failure {
	if q.key != "" && no.outcome == outcome.NotRun {
		no.outcome = outcome.Unknown
		no.message += "; this attempt did not run, an earlier one with the same key may have"
	}
	return no
}

func (d *Daemon) authenticate(r *http.Request) (workspace.Workspace, *failure) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		d.Log.Info("callers: no key", "from", r.RemoteAddr)
		return workspace.Workspace{}, notRun(http.StatusUnauthorized, "unauthorized", "no workspace key: send it as \"Authorization: Bearer KEY\"")
	}
	hash := workspace.HashKey(key)
	var ws workspace.Workspace
	d.Replica.View(func(s *state.State) {
		for _, one := range s.Workspaces {
			if one.KeyHash == hash {
				ws = one
			}
		}
	})
	if ws.Name == "" {
		d.Log.Info("callers: unknown key", "from", r.RemoteAddr)
		return ws, notRun(http.StatusForbidden, "forbidden", "the key belongs to no workspace")
	}
	return ws, nil
}

// modelBody is what a gateway reads of a request to a model.
type modelBody struct {
	Model    string          `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// routeModel finds the versions that may answer.
func (d *Daemon) routeModel(q *request) *failure {
	var body modelBody
	if err := json.Unmarshal(q.body, &body); err != nil || body.Model == "" {
		return q.doubt(notRun(http.StatusBadRequest, "invalid", "the body is not a JSON object with a model"))
	}
	model, version, pinned := strings.Cut(body.Model, "@")
	d.Replica.View(func(s *state.State) {
		for _, p := range s.Route(q.workspace.Name, model) {
			if !pinned || p.Intent.Version == version {
				q.versions = append(q.versions, p.Intent.Ref)
			}
		}
	})
	if len(q.versions) == 0 {
		return q.doubt(notRun(http.StatusNotFound, "model_not_found", "workspace "+q.workspace.Name+" has no model "+body.Model))
	}
	prefix := body.Messages
	if len(prefix) == 0 {
		prefix = body.Prompt
	}
	q.prefix = string(prefix[:min(len(prefix), prefixBytes)])
	return nil
}

// bound gives the request its deadline.
func (q *request) bound(r *http.Request, most time.Duration) context.CancelFunc {
	left := most
	if asked, ok := peer.TimeLeft(r.Header); ok {
		left = min(left, asked)
	}
	ctx, cancel := context.WithTimeout(q.ctx, left)
	q.ctx = ctx
	return cancel
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	// Version is the one that answers now.
	Version string `json:"version"`
}

func (d *Daemon) handleModels(w http.ResponseWriter, r *http.Request) {
	ws, no := d.authenticate(r)
	if no != nil {
		d.fail(w, &request{id: uuid.NewString()}, no)
		return
	}
	out := modelList{Object: "list", Data: []modelItem{}}
	d.Replica.View(func(s *state.State) {
		for _, model := range s.Models(ws.Name) {
			item := modelItem{ID: model, Object: "model", OwnedBy: "mintlift"}
			if plans := s.Route(ws.Name, model); len(plans) > 0 {
				item.Version = plans[0].Intent.Ref.String()
			}
			out.Data = append(out.Data, item)
		}
	})
	httpserve.WriteJSON(w, http.StatusOK, out)
}
