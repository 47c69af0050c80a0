// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/mintlift/mintlift/dedup"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/route"
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

// followedBy is what may be said after this attempt and a later one: once
// an attempt may have run, no later refusal makes that undone.
func (no *failure) followedBy(later *failure) *failure {
	if no.outcome == outcome.Unknown && later.outcome == outcome.NotRun {
		return no
	}
	return later
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
	d.Requests.Enter()
	defer d.Requests.Leave()
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
	d.Metrics.Counter("mintlift_requests_total", "outcome", string(result)).Inc()
	d.Metrics.Histogram("mintlift_request_seconds").UpdateDuration(began)
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
	if err := d.gate.Acquire(q.ctx, q.workspace.Priority, q.workspace.Name); err != nil {
		no := notRun(http.StatusTooManyRequests, "overloaded", "the system is overloaded")
		no.retry = shedRetry
		return no, nil
	}
	defer d.gate.Release(q.workspace.Name)
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
		no = no.followedBy(t.failure)
		if q.ctx.Err() != nil || !outcome.Retry(t.failure.outcome, !q.once, t.started) {
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
