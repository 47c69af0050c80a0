// SPDX-License-Identifier: Apache-2.0

// Package admin is the administration API of a gateway, under /admin/v1,
// and its client. docs/API.md describes each call.
//
// Every change is a record in the event log. A call appends its record and returns
// once the gateway's replica of the state has applied it. Since all replicas apply
// records in the order of the log, the response shows whether the change took effect.
// While the log is unavailable, changes are rejected with an error.
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

// Prefix is the path prefix of all calls.
const Prefix = "/admin/v1"

// commitTimeout bounds the time to append a record to the event log and apply it to the
// replica.
const commitTimeout = 10 * time.Second

// bootstrapOperator is the name of the operator whose key is in the settings. It is
// needed to create the first operator.
const bootstrapOperator = "bootstrap"

// Cluster provides what the API reads from outside the event log.
type Cluster interface {
	// ProbeEndpoints requests the status of every listed endpoint's sidecar.
	ProbeEndpoints(ctx context.Context) []BoxStatus
	// Manifest reads a version's manifest from the weight store.
	Manifest(ctx context.Context, ref weights.Ref) (*weights.Manifest, error)
	// Links returns the link rates for forecasts.
	Links() intent.Links
	// Self returns the status of the gateway itself.
	Self() peer.Status
}

// BoxStatus is a listed box and the status of its process.
type BoxStatus struct {
	Box membership.Box `json:"box"`
	// Reached reports whether the process responded; otherwise Status is empty.
	Reached bool        `json:"reached"`
	Status  peer.Status `json:"status"`
}

// Server serves the API. All fields are required.
type Server struct {
	Replica  *state.Replica
	EventLog *eventlog.Client
	Cluster  Cluster
	// Bootstrap returns the key of the bootstrap operator, or "" if there is none.
	Bootstrap func() string
	Logger    logr.Logger
	// Weighing selects the cost that plans minimize if their intent does not select it.
	Weighing intent.Weighing
	// PlanTTL is how long after its proposal a plan can be confirmed.
	PlanTTL time.Duration
}

// operatorHandler handles a request of an authenticated operator and returns the
// body of the response.
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

// route returns a route whose requests are authenticated before handle is called.
func (s *Server) route(method, path string, handle operatorHandler) httpserve.Route {
	return httpserve.Route{Method: method, Path: Prefix + path, Handler: func(w http.ResponseWriter, r *http.Request) {
		operator, denied := s.authenticate(r)
		if denied != nil {
			s.Logger.Info("operator not authenticated", "code", string(denied.Code), "from", r.RemoteAddr, "path", r.URL.Path)
			writeError(w, denied)
			return
		}
		body, err := handle(r, operator)
		if err != nil {
			writeError(w, errorOf(err))
			return
		}
		httpserve.WriteJSON(w, http.StatusOK, body)
	}}
}

// writeError sends e as JSON, with the HTTP status of its code.
func writeError(w http.ResponseWriter, e *Error) {
	httpserve.WriteJSON(w, httpStatusOf[e.Code], errorBody{Error: e})
}

// authenticate returns the name of the operator whose key the request carries, or
// an error with CodeUnauthorized or CodeForbidden.
func (s *Server) authenticate(r *http.Request) (string, *Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", Errorf(CodeUnauthorized, "no operator key: send it as \"Authorization: Bearer KEY\"")
	}
	if bootstrapKey := s.Bootstrap(); bootstrapKey != "" && workspace.HashKey(bootstrapKey).Matches(key) {
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
		return "", Errorf(CodeForbidden, "the key belongs to no operator")
	}
	return name, nil
}

// commit appends a record to the event log and waits until the replica has applied
// it. It returns the record's ID.
func (s *Server) commit(r *http.Request, operator string, kind eventlog.Kind, body any) (string, error) {
	rec, err := eventlog.NewRecord(kind, operator, time.Now(), body)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	return rec.ID, eventlog.Commit(ctx, s.EventLog, s.Replica, rec)
}

// Status is the response to GET /status.
type Status struct {
	Gateway peer.Status `json:"gateway"`
	// Digest is the digest of the replicated state.
	Digest string `json:"digest"`
	// Workspaces and Plans are numbers of entries in the state.
	Workspaces int `json:"workspaces"`
	Plans      int `json:"plans"`
	// Homes is the number of homes: sidecar processes that store what is known of
	// idempotency keys.
	Homes int `json:"homes"`
	// LogUnresponsive is true if the event log has not responded for
	// logUnresponsiveAfter. Meanwhile changes are rejected, and requests are served
	// with the last known state.
	LogUnresponsive bool `json:"log_silent"`
}

// logUnresponsiveAfter is the time without a response of the event log after which the
// log is reported as unresponsive.
const logUnresponsiveAfter = 10 * time.Second

// status returns the state of this gateway and of its replica of the event log.
func (s *Server) status(*http.Request, string) (any, error) {
	out := Status{Gateway: s.Cluster.Self(), LogUnresponsive: time.Since(s.Replica.Contact()) > logUnresponsiveAfter}
	s.Replica.View(func(st *state.State) {
		out.Digest = string(st.Digest())
		out.Workspaces, out.Plans, out.Homes = len(st.Workspaces), len(st.Plans), len(st.Homes)
	})
	return out, nil
}

// boxes returns the listed boxes, each with the status that its process sent on request.
func (s *Server) boxes(r *http.Request, _ string) (any, error) {
	return s.Cluster.ProbeEndpoints(r.Context()), nil
}

func pathName(r *http.Request) string { return pathvar.Vars(r)["name"] }
func pathID(r *http.Request) string   { return pathvar.Vars(r)["id"] }
