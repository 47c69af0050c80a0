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
	// headerKey contains the caller's idempotency key. A request with a key is
	// treated as non-idempotent: it must run at most once.
	headerKey = "Idempotency-Key"
	// headerRepeatable is "true" if the request may run more than once, and "false"
	// if it must not.
	headerRepeatable = "Mintlift-Repeatable"
)

// Bounds of the handling of a request.
const (
	// maxAttempts is the maximum number of endpoints that a request is sent to.
	maxAttempts = 4
	// maxProbesPerChoice is the maximum number of probes for which a request waits
	// if it finds no endpoint. One is not enough, since a probe that started before
	// the request arrived may not show the current state.
	maxProbesPerChoice = 2
	// maxStaleRoutes is the maximum number of refusals of a request because of a
	// stale route, an outdated entry of the routing table. Such a refusal does not
	// count as an attempt.
	maxStaleRoutes = 16
	// promptPrefixBytes is the maximum length of the prompt prefix, in bytes.
	// Requests with the same prefix prefer the same endpoint.
	promptPrefixBytes = 256
	// maxBufferedBytes is how many bytes of a response are buffered before any of
	// them are sent to the caller. Until then another attempt is possible if the
	// response is interrupted.
	maxBufferedBytes = 1 << 20
	// shedRetryAfter is the time after which the caller may retry a request that
	// was refused because of load or draining.
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
	// versions are the versions that may serve a model request, in order of
	// preference. A request to a plain service has none.
	versions []weights.Ref
	// service is the name of the plain service, empty for a model request.
	service string
	// promptPrefix is the start of the prompt; see promptPrefixBytes.
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
	// retryAfter is the time after which the caller may retry. 0 sends no
	// Retry-After header.
	retryAfter time.Duration
	// written is set if the failure has already been sent to the caller, as an event
	// of a stream.
	written bool
}

// combine returns the failure to report after an attempt that ended with fail and a
// later attempt that ended with later. If the earlier attempt may have run and the
// later one did not, it returns fail.
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

// handleService serves a request to a plain service. GET and HEAD requests count as
// idempotent and others do not, unless the caller specifies it in headerRepeatable.
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

// admitAndRun runs the request if the limits of its workspace and of this gateway
// permit it. The second result is the response if it was small enough to be buffered
// as a whole, and otherwise nil.
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

// run sends the request to one endpoint after the other until one has responded or no
// further attempt is allowed. The results are those of admitAndRun.
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

// findEndpoint chooses an endpoint that is not in tried. If there is none, it probes
// the boxes and chooses again, up to maxProbesPerChoice times.
func (d *Daemon) findEndpoint(q *request, tried []string) (route.Endpoint, weights.Ref, bool) {
	ep, ref, ok := d.chooseEndpoint(q, tried)
	for probes := 0; !ok && probes < maxProbesPerChoice && q.ctx.Err() == nil; probes++ {
		d.probeNow(q.ctx)
		ep, ref, ok = d.chooseEndpoint(q, tried)
	}
	return ep, ref, ok
}

// chooseEndpoint chooses an endpoint for the most preferred version that has one
// available. For plain services the returned version is zero.
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
