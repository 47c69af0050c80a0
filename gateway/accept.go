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

// accept authenticates the caller and reads the request's body. The returned
// request is never nil, so that the response to a failure can contain its ID.
func (d *Daemon) accept(w http.ResponseWriter, r *http.Request) (*request, *failure) {
	q := &request{id: uuid.NewString(), method: r.Method, path: r.URL.Path, query: r.URL.RawQuery, header: r.Header, key: r.Header.Get(headerKey), ctx: r.Context()}
	if d.Requests.Draining() {
		w.Header().Set("Connection", "close")
		fail := notRun(http.StatusServiceUnavailable, "draining", "this gateway is leaving")
		fail.retryAfter = shedRetryAfter
		return q, q.unknownIfKeyed(fail)
	}
	ws, fail := d.authenticate(r)
	if fail != nil {
		return q, q.unknownIfKeyed(fail)
	}
	q.workspace = ws
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpserve.MaxBody))
	if err != nil {
		return q, q.unknownIfKeyed(notRun(http.StatusRequestEntityTooLarge, "body", "the request's body is too large or broke off"))
	}
	q.body = body
	return q, nil
}

// unknownIfKeyed changes the outcome of fail from NotRun to Unknown if the request
// has an idempotency key. An earlier attempt with the same key may have run, and
// the gateway has not yet queried the sidecar that would know of it.
func (q *request) unknownIfKeyed(fail *failure) *failure {
	if q.key != "" && fail.outcome == outcome.NotRun {
		fail.outcome = outcome.Unknown
		fail.message += "; this attempt did not run, an earlier one with the same key may have"
	}
	return fail
}

// authenticate returns the workspace whose key is the request's bearer token.
func (d *Daemon) authenticate(r *http.Request) (workspace.Workspace, *failure) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		d.Log.Info("callers: workspace key missing", "from", r.RemoteAddr)
		return workspace.Workspace{}, notRun(http.StatusUnauthorized, "unauthorized", "no workspace key: send it as \"Authorization: Bearer KEY\"")
	}
	hash := workspace.HashKey(key)
	var ws workspace.Workspace
	d.Replica.View(func(s *state.State) {
		for _, candidate := range s.Workspaces {
			if candidate.KeyHash == hash {
				ws = candidate
			}
		}
	})
	if ws.Name == "" {
		d.Log.Info("callers: unknown workspace key", "from", r.RemoteAddr)
		return ws, notRun(http.StatusForbidden, "forbidden", "the key belongs to no workspace")
	}
	return ws, nil
}

// modelRequest holds the fields that a gateway reads from the body of a model
// request.
type modelRequest struct {
	Model    string          `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// routeModel sets q.versions, the versions that may serve the request, and
// q.promptPrefix. A model name of the form MODEL@VERSION permits that version only.
func (d *Daemon) routeModel(q *request) *failure {
	var body modelRequest
	if err := json.Unmarshal(q.body, &body); err != nil || body.Model == "" {
		return q.unknownIfKeyed(notRun(http.StatusBadRequest, "invalid", "the body is not a JSON object with a model"))
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
		return q.unknownIfKeyed(notRun(http.StatusNotFound, "model_not_found", "workspace "+q.workspace.Name+" has no model "+body.Model))
	}
	promptPrefix := body.Messages
	if len(promptPrefix) == 0 {
		promptPrefix = body.Prompt
	}
	q.promptPrefix = string(promptPrefix[:min(len(promptPrefix), promptPrefixBytes)])
	return nil
}

// setDeadline limits the request's context to maxTimeout, or to the timeout that
// the caller requested if that is shorter.
func (q *request) setDeadline(r *http.Request, maxTimeout time.Duration) context.CancelFunc {
	timeout := maxTimeout
	if requested, ok := peer.TimeLeft(r.Header); ok {
		timeout = min(timeout, requested)
	}
	ctx, cancel := context.WithTimeout(q.ctx, timeout)
	q.ctx = ctx
	return cancel
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one model of a workspace.
type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	// Version is the version that the workspace's requests for the model prefer. It
	// is empty if there is none.
	Version string `json:"version"`
}

// handleModels serves GET /v1/models: the models of the caller's workspace.
func (d *Daemon) handleModels(w http.ResponseWriter, r *http.Request) {
	ws, fail := d.authenticate(r)
	if fail != nil {
		d.writeFailure(w, &request{id: uuid.NewString()}, fail)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	d.Replica.View(func(s *state.State) {
		for _, model := range s.Models(ws.Name) {
			item := modelItem{ID: model, Object: "model", OwnedBy: "mintlift"}
			if plans := s.Route(ws.Name, model); len(plans) > 0 {
				item.Version = plans[0].Intent.Ref.String()
			}
			list.Data = append(list.Data, item)
		}
	})
	httpserve.WriteJSON(w, http.StatusOK, list)
}
