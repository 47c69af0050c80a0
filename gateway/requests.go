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

// Headers of callers' requests.
const (
	// headerKey carries the caller's idempotency key. A request with a key is treated as
	// not idempotent.
	headerKey = "Idempotency-Key"
	// headerRepeatable is "true" if the request may run more than once, or
	// "false".
	headerRepeatable = "Mintlift-Repeatable"
)

// Bounds of the handling of a request.
const (
	// maxAttempts is how often a request may be sent to an endpoint.
	maxAttempts = 4
	// maxProbesPerChoice is how often a request that finds no endpoint waits for
	// a probe. It is more than one, because the first probe may have started
	// before the request arrived.
	maxProbesPerChoice = 2
	// maxStaleRoutes is how often a request may be refused because of a stale
	// route. Such a refusal does not count as an attempt.
	maxStaleRoutes = 16
	// promptPrefixBytes is the length of the prompt prefix that selects an
	// endpoint by affinity.
	promptPrefixBytes = 256
	// maxBufferedBytes is how much of a response is buffered before any of it is
	// sent to the caller, so that another attempt is possible if the response is
	// interrupted.
	maxBufferedBytes = 1 << 20
	// shedRetryAfter is when the caller may retry a request that was refused
	// because of load or draining.
	shedRetryAfter = time.Second
	// writeTimeout bounds each write of a response to the caller.
	writeTimeout = 30 * time.Second
)

// request is a caller's request in progress.
type request struct {
	id        string
	workspace workspace.Workspace
	method    string
	path      string
	query     string
	header    http.Header
	body      []byte
	// versions are those that may serve a model request, in order of preference;
	// service is set instead for plain services.
	versions     []weights.Ref
	service      string
	promptPrefix string
	// nonIdempotent is set for a request that must run at most once; key is the
	// caller's idempotency key, empty if there is none.
	nonIdempotent bool
	key           string
	ctx           context.Context
}

// failure is an error response of the gateway.
type failure struct {
	status  int
	code    string
	outcome outcome.Outcome
	message string
	// retryAfter is when the caller may retry; 0 sends no Retry-After header.
	retryAfter time.Duration
	// written is set when the failure has already been written, as an event of a
	// stream.
	written bool
}

// combine returns the failure to report after this attempt and a later one: once
// an attempt may have run, a later refusal does not change that.
func (fail *failure) combine(later *failure) *failure {
	if fail.outcome == outcome.Unknown && later.outcome == outcome.NotRun {
		return fail
	}
	return later
}

// notRun returns a failure of a request that certainly did not run.
func notRun(status int, code, message string) *failure {
	return &failure{status: status, code: code, outcome: outcome.NotRun, message: message}
}

// handleModel serves a request to a model.
func (d *Daemon) handleModel(w http.ResponseWriter, r *http.Request) {
	d.handle(w, r, func(q *request) *failure {
		q.nonIdempotent = q.key != "" || r.Header.Get(headerRepeatable) == "false"
		return d.routeModel(q)
	})
}

// handleService serves a request to a plain service. Unless the caller specifies
// otherwise, only reads count as idempotent.
func (d *Daemon) handleService(w http.ResponseWriter, r *http.Request) {
	d.handle(w, r, func(q *request) *failure {
		q.service = pathvar.Vars(r)["service"]
		reads := r.Method == http.MethodGet || r.Method == http.MethodHead
		repeatable := r.Header.Get(headerRepeatable)
		q.nonIdempotent = q.key != "" || repeatable == "false" || !reads && repeatable != "true"
		return nil
	})
}

// handle runs a caller's request: it accepts the request, calls prepare, serves
// the request within its deadline, and records the outcome.
func (d *Daemon) handle(w http.ResponseWriter, r *http.Request, prepare func(*request) *failure) {
	d.Requests.Enter()
	defer d.Requests.Leave()
	startedAt := time.Now()
	q, fail := d.accept(w, r)
	if fail == nil {
		fail = prepare(q)
	}
	if fail == nil {
		cancel := q.setDeadline(r, d.settings.RequestTimeout)
		defer cancel()
		fail = d.serve(w, q)
	}
	result := outcome.Completed
	if fail != nil {
		result = fail.outcome
		if !fail.written {
			d.writeFailure(w, q, fail)
		}
	}
	d.Metrics.Counter("mintlift_requests_total", "outcome", string(result)).Inc()
	d.Metrics.Histogram("mintlift_request_seconds").UpdateDuration(startedAt)
}

// serve runs the request and writes its response. A failure that it returns has
// not been written to the caller, unless failure.written is set.
func (d *Daemon) serve(w http.ResponseWriter, q *request) *failure {
	if q.key != "" {
		return d.serveKeyed(w, q)
	}
	fail, _ := d.admitAndRun(w, q)
	return fail
}

// admitAndRun admits the request within the limits of its workspace and of this
// gateway, and runs it. The second result is the response if it was buffered
// whole.
func (d *Daemon) admitAndRun(w http.ResponseWriter, q *request) (*failure, *dedup.Response) {
	if !d.workspaceLimits.Acquire(q.workspace.Name, q.workspace.MaxInFlight) {
		fail := notRun(http.StatusTooManyRequests, "workspace_limit", "the workspace has as many requests in progress as it may")
		fail.retryAfter = shedRetryAfter
		return fail, nil
	}
	defer d.workspaceLimits.Release(q.workspace.Name)
	if err := d.gate.Acquire(q.ctx, q.workspace.Priority, q.workspace.Name); err != nil {
		fail := notRun(http.StatusTooManyRequests, "overloaded", "the system is overloaded")
		fail.retryAfter = shedRetryAfter
		return fail, nil
	}
	defer d.gate.Release(q.workspace.Name)
	d.retryBudget.AddRequest()
	return d.run(w, q)
}

// run tries endpoints until one has responded or no further attempt is allowed.
func (d *Daemon) run(w http.ResponseWriter, q *request) (*failure, *dedup.Response) {
	var tried []string
	fail := notRun(http.StatusServiceUnavailable, "no_endpoint", "no endpoint can take the request now")
	fail.retryAfter = shedRetryAfter
	attempts, staleRoutes := 0, 0
	for attempts < maxAttempts && staleRoutes < maxStaleRoutes {
		if attempts > 0 && !d.retryBudget.TakeRetry() {
			break
		}
		ep, ref, ok := d.findEndpoint(q, tried)
		if !ok {
			break
		}
		result := d.attempt(w, q, ep, ref)
		d.table.Done(ep.Box, result.healthy, time.Now())
		if result.failure == nil {
			return nil, result.response
		}
		fail = fail.combine(result.failure)
		if q.ctx.Err() != nil || !outcome.Retry(result.failure.outcome, !q.nonIdempotent, result.responseStarted) {
			break
		}
		if result.staleRoute {
			staleRoutes++
			continue
		}
		attempts++
		tried = append(tried, ep.Box)
	}
	return fail, nil
}

// findEndpoint chooses an endpoint. If there is none, it probes the boxes, up to
// maxProbesPerChoice times, and chooses again.
func (d *Daemon) findEndpoint(q *request, tried []string) (route.Endpoint, weights.Ref, bool) {
	ep, ref, ok := d.chooseEndpoint(q, tried)
	for probes := 0; !ok && probes < maxProbesPerChoice && q.ctx.Err() == nil; probes++ {
		d.probeNow(q.ctx)
		ep, ref, ok = d.chooseEndpoint(q, tried)
	}
	return ep, ref, ok
}

// chooseEndpoint chooses an endpoint for the first version in order of
// preference that has one. The version is zero for plain services.
func (d *Daemon) chooseEndpoint(q *request, tried []string) (route.Endpoint, weights.Ref, bool) {
	now := time.Now()
	want := route.Criteria{Service: q.service, Zone: d.settings.Node.Zone, Prefix: q.promptPrefix, Exclude: tried}
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

// writeFailure writes fail as the response.
func (d *Daemon) writeFailure(w http.ResponseWriter, q *request, fail *failure) {
	h := w.Header()
	h.Set(peer.HeaderRequest, q.id)
	h.Set(peer.HeaderOutcome, string(fail.outcome))
	if fail.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((fail.retryAfter+time.Second-1)/time.Second)))
	}
	httpserve.WriteJSON(w, fail.status, peer.Refusal{Error: peer.RefusalError{
		Message:      fail.message,
		Type:         "mintlift_error",
		Code:         fail.code,
		Outcome:      fail.outcome,
		RequestID:    q.id,
		RetryAfterMS: fail.retryAfter.Milliseconds(),
	}})
}
