// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/mintlift/mintlift/dedup"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/route"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/weights"
	"github.com/mintlift/mintlift/workspace"
)

// Headers of callers.
const (
	// headerKey marks a request as not repeatable and names it.
	headerKey = "Idempotency-Key"
	// headerRepeatable is "true" or "false".
	headerRepeatable = "Mintlift-Repeatable"
)

// Bounds of a request.
const (
	maxAttempts = 4
	// maxLooks is how often a request that finds no endpoint has the boxes
	// probed: twice, since it may have joined a probe that began earlier.
	maxLooks = 2
	// maxMoves is how often a request may find that a box serves another
	// version by now; such a refusal costs nothing and is no failure.
	maxMoves    = 16
	prefixBytes = 256
	// bufferBytes of an answer are held back, so that an attempt whose
	// answer breaks early can be followed by another.
	bufferBytes  = 1 << 20
	shedRetry    = time.Second
	writeTimeout = 30 * time.Second
)

// request is a caller's request on its way.
type request struct {
	id        string
	workspace workspace.Workspace
	method    string
	path      string
	query     string
	header    http.Header
	body      []byte
	// versions are those that may answer, the one to prefer first; service
	// is set instead for plain services.
	versions []weights.Ref
	service  string
	prefix   string
	// once is set for a request that is not repeatable; key is the caller's,
	// or empty when only this gateway knows the request.
	once bool
	key  string
	ctx  context.Context
}

// failure is a final answer that mintlift gives itself.
type failure struct {
	status  int
	code    string
	outcome outcome.Outcome
	message string
	retry   time.Duration
	// written says that the caller has been told already, within a stream.
	written bool
}

func notRun(status int, code, message string) *failure {
	return &failure{status: status, code: code, outcome: outcome.NotRun, message: message}
}

// handleModel takes a request for a model.
func (d *Daemon) handleModel(w http.ResponseWriter, r *http.Request) {
	d.handle(w, r, func(q *request) *failure {
		q.once = q.key != "" || r.Header.Get(headerRepeatable) == "false"
		return d.routeModel(q)
	})
}

// handleService takes a request for a plain service. Unless the caller says
// otherwise, only reads are repeatable.
func (d *Daemon) handleService(w http.ResponseWriter, r *http.Request) {
	d.handle(w, r, func(q *request) *failure {
		q.service = pathvar.Vars(r)["service"]
		reads := r.Method == http.MethodGet || r.Method == http.MethodHead
		repeatable := r.Header.Get(headerRepeatable)
		q.once = q.key != "" || repeatable == "false" || !reads && repeatable != "true"
		return nil
	})
}

func (d *Daemon) handle(w http.ResponseWriter, r *http.Request, prepare func(*request) *failure) {
	d.requests.Enter()
	defer d.requests.Leave()
	began := time.Now()
	q, no := d.accept(w, r)
	if no == nil {
		no = prepare(q)
	}
	if no == nil {
		cancel := q.bound(r, d.settings.RequestTimeout)
		defer cancel()
		no = d.serve(w, q)
	}
	result := outcome.Completed
	if no != nil {
		result = no.outcome
		if !no.written {
			d.fail(w, q, no)
		}
	}
	d.metrics.Counter("mintlift_requests_total", "outcome", string(result)).Inc()
	d.metrics.Histogram("mintlift_request_seconds").UpdateDuration(began)
}

// accept checks who asks and reads the request.
func (d *Daemon) accept(w http.ResponseWriter, r *http.Request) (*request, *failure) {
	q := &request{id: uuid.NewString(), method: r.Method, path: r.URL.Path, query: r.URL.RawQuery, header: r.Header, key: r.Header.Get(headerKey), ctx: r.Context()}
	if d.requests.Draining() {
		w.Header().Set("Connection", "close")
		no := notRun(http.StatusServiceUnavailable, "draining", "this gateway is leaving")
		no.retry = shedRetry
		return q, q.doubt(no)
	}
	ws, no := d.authenticate(r)
	if no != nil {
		return q, no
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
		d.log.Info("callers: no key", "from", r.RemoteAddr)
		return workspace.Workspace{}, notRun(http.StatusUnauthorized, "unauthorized", "no workspace key: send it as \"Authorization: Bearer KEY\"")
	}
	hash := workspace.HashKey(key)
	var ws workspace.Workspace
	d.replica.View(func(s *state.State) {
		for _, one := range s.Workspaces {
			if one.KeyHash == hash {
				ws = one
			}
		}
	})
	if ws.Name == "" {
		d.log.Info("callers: unknown key", "from", r.RemoteAddr)
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
	d.replica.View(func(s *state.State) {
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

// serve runs the request and writes its answer. A failure that it returns
// has not been written yet.
func (d *Daemon) serve(w http.ResponseWriter, q *request) *failure {
	if q.key != "" {
		return d.serveOnce(w, q)
	}
	no, _ := d.admitAndRun(w, q)
	return no
}

// admitAndRun takes the request past the limits of its workspace and of
// this gateway, and runs it. The second result is the answer, if it was
// held whole.
func (d *Daemon) admitAndRun(w http.ResponseWriter, q *request) (*failure, *dedup.Answer) {
	if !d.limits.Enter(q.workspace.Name, q.workspace.MaxInFlight) {
		no := notRun(http.StatusTooManyRequests, "workspace_limit", "the workspace has as many requests in progress as it may")
		no.retry = shedRetry
		return no, nil
	}
	defer d.limits.Leave(q.workspace.Name)
	if err := d.gate.Acquire(q.ctx, q.workspace.Priority); err != nil {
		no := notRun(http.StatusTooManyRequests, "overloaded", "the system is overloaded")
		no.retry = shedRetry
		return no, nil
	}
	defer d.gate.Release()
	d.budget.Request()
	return d.run(w, q)
}

// run tries endpoints until one has answered or no other may be tried.
func (d *Daemon) run(w http.ResponseWriter, q *request) (*failure, *dedup.Answer) {
	var tried []string
	no := notRun(http.StatusServiceUnavailable, "no_endpoint", "no endpoint can take the request now")
	no.retry = shedRetry
	attempts, moves := 0, 0
	for attempts < maxAttempts && moves < maxMoves {
		if attempts > 0 && !d.budget.Retry() {
			break
		}
		ep, ref, ok := d.look(q, tried)
		if !ok {
			break
		}
		t := d.attempt(w, q, ep, ref)
		d.table.Done(ep.Box, t.healthy, time.Now())
		if t.failure == nil {
			return nil, t.answer
		}
		no = t.failure
		if q.ctx.Err() != nil || !outcome.Retry(no.outcome, !q.once, t.started) {
			break
		}
		if t.moved {
			moves++
			continue
		}
		attempts++
		tried = append(tried, ep.Box)
	}
	return no, nil
}

// look chooses an endpoint; when none fits it has the boxes probed before
// it gives up.
func (d *Daemon) look(q *request, tried []string) (route.Endpoint, weights.Ref, bool) {
	ep, ref, ok := d.choose(q, tried)
	for looks := 0; !ok && looks < maxLooks && q.ctx.Err() == nil; looks++ {
		d.probeNow(q.ctx)
		ep, ref, ok = d.choose(q, tried)
	}
	return ep, ref, ok
}

// choose picks an endpoint for the newest version that has one.
func (d *Daemon) choose(q *request, tried []string) (route.Endpoint, weights.Ref, bool) {
	now := time.Now()
	want := route.Want{Service: q.service, Zone: d.settings.Node.Zone, Prefix: q.prefix, Not: tried}
	if q.service != "" {
		ep, ok := d.table.Choose(want, now)
		return ep, weights.Ref{}, ok
	}
	for _, ref := range q.versions {
		want.Version = ref
		if ep, ok := d.table.Choose(want, now); ok {
			return ep, ref, true
		}
	}
	return route.Endpoint{}, weights.Ref{}, false
}

// trial is how one attempt ended.
type trial struct {
	failure *failure // nil when the caller has the whole answer
	started bool     // some of the answer has reached the caller
	healthy bool     // the endpoint did its part
	moved   bool     // refused: the box serves other versions by now
	answer  *dedup.Answer
}

// attempt sends the request to one endpoint.
func (d *Daemon) attempt(w http.ResponseWriter, q *request, ep route.Endpoint, ref weights.Ref) trial {
	req, err := d.sidecarRequest(q, ep, ref)
	if err != nil {
		return trial{failure: notRun(http.StatusBadRequest, "invalid", err.Error()), healthy: true}
	}
	client := d.peers
	if q.once {
		client = d.once
	}
	resp, err := client.Do(req)
	if err != nil {
		return d.unanswered(q, ep, err)
	}
	defer resp.Body.Close()
	if resp.Header.Get(peer.HeaderDraining) != "" {
		d.table.Draining(ep.Box)
	}
	if resp.Header.Get(peer.HeaderOutcome) != "" {
		return d.refused(ep, resp)
	}
	if !correlated(q, ref, resp) {
		d.log.Error(nil, "requests: answer does not belong to the request", "request", q.id, "box", ep.Box)
		return trial{failure: unknown("mismatch", "the answer did not belong to the request")}
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return d.stream(w, q, ep, ref, resp)
	}
	return d.whole(w, q, ref, resp)
}

func unknown(code, message string) *failure {
	return &failure{status: http.StatusBadGateway, code: code, outcome: outcome.Unknown, message: message}
}

// unanswered is an attempt that ended without an answer's head.
func (d *Daemon) unanswered(q *request, ep route.Endpoint, err error) trial {
	stage := outcome.Sending
	if errors.Is(err, call.ErrNotSent) {
		stage = outcome.Waiting
	}
	no := &failure{status: http.StatusBadGateway, code: "endpoint_failed", outcome: outcome.Of(stage), message: "the endpoint on box " + ep.Box + " did not answer"}
	if stage == outcome.Waiting {
		no.status, no.retry = http.StatusServiceUnavailable, shedRetry
	}
	gone := q.ctx.Err() != nil
	if gone {
		no.status, no.code, no.message = http.StatusGatewayTimeout, "deadline", "the deadline passed before the answer"
		d.cancelRun(q, ep)
	}
	return trial{failure: no, healthy: gone}
}

// refused is a sidecar's refusal at admission: nothing has run.
func (d *Daemon) refused(ep route.Endpoint, resp *http.Response) trial {
	reason := peer.Reason(resp.Header.Get(peer.HeaderReason))
	no := &failure{status: resp.StatusCode, code: string(reason), outcome: outcome.Outcome(resp.Header.Get(peer.HeaderOutcome)), message: "refused by the endpoint"}
	var body peer.Refusal
	if err := json.NewDecoder(io.LimitReader(resp.Body, bufferBytes)).Decode(&body); err == nil {
		no.message = body.Error.Message
		no.retry = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	}
	switch reason {
	case peer.ReasonDraining, peer.ReasonReplaced:
		d.table.Draining(ep.Box)
		no.status, no.retry = http.StatusServiceUnavailable, shedRetry
	case peer.ReasonVersion:
		d.table.Serving(ep.Box, peer.SplitRefs(resp.Header.Get(peer.HeaderServing)))
		no.status, no.retry = http.StatusServiceUnavailable, shedRetry
	}
	return trial{failure: no, healthy: reason != peer.ReasonEndpoint, moved: reason == peer.ReasonVersion}
}

// correlated reports whether an answer carries the request's own id and the
// version that it was sent for.
func correlated(q *request, ref weights.Ref, resp *http.Response) bool {
	if resp.Header.Get(peer.HeaderRequest) != q.id {
		return false
	}
	return !ref.Valid() || resp.Header.Get(peer.HeaderVersion) == ref.String()
}

func (d *Daemon) sidecarRequest(q *request, ep route.Endpoint, ref weights.Ref) (*http.Request, error) {
	target := d.peers.URL(ep.Address, peer.PathRun+q.path)
	if q.query != "" {
		target += "?" + q.query
	}
	req, err := http.NewRequestWithContext(q.ctx, q.method, target, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	if q.once {
		req.GetBody = nil // net/http must not be able to send it again
	}
	for _, name := range []string{"Content-Type", "Accept"} {
		if v := q.header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(peer.HeaderRequest, q.id)
	req.Header.Set(peer.HeaderWorkspace, q.workspace.Name)
	req.Header.Set(peer.HeaderPriority, strconv.Itoa(q.workspace.Priority))
	if ref.Valid() {
		req.Header.Set(peer.HeaderVersion, ref.String())
	}
	if q.once {
		req.Header.Set(peer.HeaderOnce, orID(q))
	}
	if deadline, ok := q.ctx.Deadline(); ok {
		req.Header.Set(peer.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return req, nil
}

func orID(q *request) string {
	if q.key != "" {
		return q.key
	}
	return q.id
}

// whole answers with a body that is not a stream. It is held back up to
// bufferBytes, so that an answer that breaks off early never reaches the
// caller in part.
func (d *Daemon) whole(w http.ResponseWriter, q *request, ref weights.Ref, resp *http.Response) trial {
	head := new(bytes.Buffer)
	n, err := io.CopyN(head, resp.Body, bufferBytes)
	if err != nil && err != io.EOF {
		return trial{failure: unknown("answer_cut", "the endpoint's answer broke off")}
	}
	result := outcome.Of(outcome.Done)
	if resp.StatusCode >= http.StatusInternalServerError {
		result = outcome.Of(outcome.AnsweredError)
	}
	d.head(w, q, ref, resp.Header.Get("Content-Type"))
	w.Header().Set(peer.HeaderOutcome, string(result))
	if v := resp.Header.Get("Content-Length"); v != "" {
		w.Header().Set("Content-Length", v)
	}
	w.WriteHeader(resp.StatusCode)
	kept := &dedup.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Version: versionOf(ref), Body: head.Bytes()}
	t := trial{started: true, healthy: true, answer: kept}
	if _, err := w.Write(head.Bytes()); err != nil {
		return t // the caller has gone; the request ran
	}
	if n < bufferBytes {
		return t
	}
	t.answer = nil
	if err := relayBody(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // a part is with the caller: only a cut tells the truth
	}
	return t
}

func versionOf(ref weights.Ref) string {
	if ref.Valid() {
		return ref.String()
	}
	return ""
}

// relayBody copies a long answer; a caller that reads slowly slows the
// endpoint down and takes one buffer here.
func relayBody(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, 64<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // without deadlines a write may block longer
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// head sets the headers of an answer to a caller.
func (d *Daemon) head(w http.ResponseWriter, q *request, ref weights.Ref, contentType string) {
	h := w.Header()
	h.Set(peer.HeaderRequest, q.id)
	if ref.Valid() {
		h.Set(peer.HeaderVersion, ref.String())
	}
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
}

// fail gives a final answer at once.
func (d *Daemon) fail(w http.ResponseWriter, q *request, no *failure) {
	h := w.Header()
	h.Set(peer.HeaderRequest, q.id)
	h.Set(peer.HeaderOutcome, string(no.outcome))
	if no.retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int((no.retry+time.Second-1)/time.Second)))
	}
	httpserve.WriteJSON(w, no.status, peer.Refusal{Error: peer.RefusalError{
		Message:      no.message,
		Type:         "mintlift_error",
		Code:         no.code,
		Outcome:      no.outcome,
		RequestID:    q.id,
		RetryAfterMS: no.retry.Milliseconds(),
	}})
}

// cancelRun hands a caller's cancel on towards the engine.
func (d *Daemon) cancelRun(q *request, ep route.Endpoint) {
	if q.service != "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(q.ctx), probeTimeout)
	go func() {
		defer cancel()
		_ = d.peers.JSON(ctx, http.MethodPost, d.peers.URL(ep.Address, peer.PathCancel+q.id), nil, nil) // the engine stops by itself a little later
	}()
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
	d.replica.View(func(s *state.State) {
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
