// SPDX-License-Identifier: Apache-2.0

// Package admin is the administration API of a gateway, under /admin/v1,
// and its client. docs/API.md shows each call.
//
// Every change is a record in the log: a call answers once its record has
// come back through the log, so what it reports is in force by the log's
// order. While the log is out nothing is accepted, and the answer says so.
package admin

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/weights"
	"github.com/mintlift/mintlift/workspace"
)

// Prefix is the path that all calls start with.
const Prefix = "/admin/v1"

// commitTimeout bounds how long a change may take to be accepted.
const commitTimeout = 10 * time.Second

// bootstrap is the name of the operator whose key stands in the settings.
const bootstrapOperator = "bootstrap"

// World is what the API needs to know beyond the log.
type World interface {
	// Sweep asks every endpoint's sidecar how it is.
	Sweep(ctx context.Context) []BoxStatus
	// Manifest reads a version's manifest from the weight store.
	Manifest(ctx context.Context, ref weights.Ref) (*weights.Manifest, error)
	// Links are the rates that forecasts reckon with.
	Links() intent.Links
	// Self describes the gateway.
	Self() peer.Status
}

// BoxStatus is a listed box and what its process says.
type BoxStatus struct {
	Box membership.Box `json:"box"`
	// Reached says that the process answered; Status is empty otherwise.
	Reached bool        `json:"reached"`
	Status  peer.Status `json:"status"`
}

// Server answers the API. All fields are needed.
type Server struct {
	Replica *state.Replica
	Journal *eventlog.Client
	World   World
	// Bootstrap returns the key of the first operator, or "".
	Bootstrap func() string
	Logger    logr.Logger
	Weighing  intent.Weighing
	PlanTTL   time.Duration
}

// call is a handler that knows the operator and returns what to answer.
type operatorHandler func(r *http.Request, operator string) (any, error)

// Routes returns the API's routes.
func (s *Server) Routes() []httpserve.Route {
	get, put, post, del := http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete
	return []httpserve.Route{
		s.route(get, "/status", s.status),
		s.route(get, "/boxes", s.boxes),
		s.route(get, "/workspaces", s.workspaces),
		s.route(put, "/workspaces/:name", s.setWorkspace),
		s.route(del, "/workspaces/:name", s.removeWorkspace),
		s.route(get, "/operators", s.operators),
		s.route(put, "/operators/:name", s.setOperator),
		s.route(del, "/operators/:name", s.removeOperator),
		s.route(post, "/intents", s.createIntent),
		s.route(get, "/plans", s.plans),
		s.route(get, "/plans/:id", s.plan),
		s.route(get, "/plans/:id/progress", s.progress),
		s.route(post, "/plans/:id/confirm", s.confirm),
		s.route(post, "/plans/:id/reject", s.reject),
		s.route(post, "/plans/:id/cancel", s.cancel),
	}
}

func (s *Server) route(method, path string, c operatorHandler) httpserve.Route {
	return httpserve.Route{Method: method, Path: Prefix + path, Handler: func(w http.ResponseWriter, r *http.Request) {
		operator, problem := s.authenticate(r)
		if problem != nil {
			s.Logger.Info("refused", "code", string(problem.Code), "from", r.RemoteAddr, "path", r.URL.Path)
			writeError(w, problem)
			return
		}
		body, err := c(r, operator)
		if err != nil {
			writeError(w, errorOf(err))
			return
		}
		httpserve.WriteJSON(w, http.StatusOK, body)
	}}
}

func writeError(w http.ResponseWriter, e *Error) {
	httpserve.WriteJSON(w, httpStatusOf[e.Code], errorBody{Error: e})
}

// authenticate finds the operator whose key the request carries.
func (s *Server) authenticate(r *http.Request) (string, *Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", Problem(CodeUnauthorized, "no operator key: send it as \"Authorization: Bearer KEY\"")
	}
	if first := s.Bootstrap(); first != "" && workspace.HashKey(first).Matches(key) {
		return bootstrapOperator, nil
	}
	name := ""
	s.Replica.View(func(st *state.State) {
		for _, o := range st.Operators {
			if o.KeyHash.Matches(key) {
				name = o.Name
			}
		}
	})
	if name == "" {
		return "", Problem(CodeForbidden, "the key belongs to no operator")
	}
	return name, nil
}

// commit writes a record and waits until it has come back. It returns the
// record's id.
func (s *Server) commit(r *http.Request, operator string, kind eventlog.Kind, body any) (string, error) {
	rec, err := eventlog.NewRecord(kind, operator, time.Now(), body)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	return rec.ID, eventlog.Commit(ctx, s.Journal, s.Replica, rec)
}

// Status is the answer to GET /status.
type Status struct {
	Gateway    peer.Status `json:"gateway"`
	Digest     string      `json:"digest"`
	Workspaces int         `json:"workspaces"`
	Plans      int         `json:"plans"`
	Homes      int         `json:"homes"`
	// LogSilent says that the log has not been heard for a while: changes
	// are not accepted, requests go on with the last state.
	LogSilent bool `json:"log_silent"`
}

// silentAfter is when the API calls the log silent.
const logUnresponsiveAfter = 10 * time.Second

func (s *Server) status(*http.Request, string) (any, error) {
	out := Status{Gateway: s.World.Self(), LogSilent: time.Since(s.Replica.Contact()) > logUnresponsiveAfter}
	s.Replica.View(func(st *state.State) {
		out.Digest = string(st.Digest())
		out.Workspaces, out.Plans, out.Homes = len(st.Workspaces), len(st.Plans), len(st.Homes)
	})
	return out, nil
}

func (s *Server) boxes(r *http.Request, _ string) (any, error) {
	return s.World.Sweep(r.Context()), nil
}

func pathName(r *http.Request) string { return pathvar.Vars(r)["name"] }
func pathID(r *http.Request) string   { return pathvar.Vars(r)["id"] }
