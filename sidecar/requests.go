// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/prio"
	"github.com/mintlift/mintlift/weights"
)

// busyRetryAfter is the retry delay in refusals because of missing capacity.
const busyRetryAfter = time.Second

// admitted is a request that may be sent to the endpoint.
type admitted struct {
	id             string
	version        weights.Ref
	workspace      string
	priority       int
	idempotencyKey string          // empty for an idempotent request
	ctx            context.Context // ends at the request's deadline, if it has one
	release        func()          // must be called when the request ends; frees its slot at the endpoint
}

// refusal is the response to a request that was refused before any part of it reached the
// endpoint.
type refusal struct {
	status     int
	reason     peer.Reason
	outcome    outcome.Outcome
	message    string
	retryAfter time.Duration // 0 if none is given
}

// newRefusal returns a refusal with outcome NotRun and no retry delay.
func newRefusal(status int, reason peer.Reason, message string) *refusal {
	return &refusal{status: status, reason: reason, outcome: outcome.NotRun, message: message}
}

// handleRun serves a caller's request that a gateway forwards. A non-idempotent request
// has an idempotency key in a header. If the caller chose the key, the key's home, the
// sidecar process that stores what is known of it, has granted it before.
func (d *Daemon) handleRun(w http.ResponseWriter, r *http.Request) {
	d.Requests.Enter()
	defer d.Requests.Leave()
	a, refused := d.admit(r)
	if refused != nil {
		d.writeRefusal(w, r, refused)
		return
	}
	defer a.release()
	d.forward(w, r, a)
}

// admit waits until the endpoint has a free slot, room for one more request in flight. It
// returns the admitted request, whose release the caller must call, or a refusal.
func (d *Daemon) admit(r *http.Request) (*admitted, *refusal) {
	switch {
	case d.Requests.Draining():
		return nil, newRefusal(http.StatusServiceUnavailable, peer.ReasonDraining, "the sidecar is draining")
	case d.replaced():
		return nil, newRefusal(http.StatusServiceUnavailable, peer.ReasonReplaced, "another sidecar has taken this box over")
	}
	a := &admitted{id: r.Header.Get(peer.HeaderRequest), workspace: r.Header.Get(peer.HeaderWorkspace), idempotencyKey: r.Header.Get(peer.HeaderOnce), ctx: r.Context()}
	a.priority, _ = strconv.Atoi(r.Header.Get(peer.HeaderPriority)) // the lowest if missing
	cancel := func() {}
	if remaining, ok := peer.TimeLeft(r.Header); ok {
		if remaining <= 0 {
			return nil, newRefusal(http.StatusGatewayTimeout, peer.ReasonDeadline, "the deadline has passed")
		}
		a.ctx, cancel = context.WithTimeout(a.ctx, remaining)
	}
	releaseVersion, refused := d.admitVersion(r, a)
	if refused != nil {
		cancel()
		return nil, refused
	}
	if err := d.requestGate.Acquire(a.ctx, a.priority, a.workspace); err != nil {
		releaseVersion()
		cancel()
		refused := newRefusal(http.StatusTooManyRequests, peer.ReasonBusy, "no slot is free at the endpoint")
		if !errors.Is(err, prio.ErrFull) {
			refused = newRefusal(http.StatusGatewayTimeout, peer.ReasonDeadline, "the deadline passed while waiting")
		}
		refused.retryAfter = busyRetryAfter
		return nil, refused
	}
	a.release = func() {
		d.requestGate.Release(a.workspace)
		releaseVersion()
		cancel()
	}
	if refused := d.endpointState.admit(clock.Now()); refused != nil {
		a.release()
		return nil, refused
	}
	return a, nil
}

// admitVersion checks that the request is for this box's service or for a version that is
// serving. It counts the request as in flight at the version. The caller must call
// release when the request ends.
func (d *Daemon) admitVersion(r *http.Request, a *admitted) (release func(), refused *refusal) {
	if d.settings.Service != "" {
		if pathvar.Vars(r)["service"] != d.settings.Service {
			return nil, newRefusal(http.StatusNotFound, peer.ReasonVersion, "no such service here")
		}
		return func() {}, nil
	}
	ref, err := weights.ParseRef(r.Header.Get(peer.HeaderVersion))
	if err != nil {
		return nil, newRefusal(http.StatusBadRequest, peer.ReasonVersion, err.Error())
	}
	j, ok := d.copies.acquireServing(ref)
	if !ok {
		return nil, newRefusal(http.StatusConflict, peer.ReasonVersion, ref.String()+" is not served here")
	}
	a.version = ref
	return func() { j.inFlight.Add(-1) }, nil
}

// writeRefusal responds with a refusal. The headers also contain the versions that this
// box serves and the offset of its replica.
func (d *Daemon) writeRefusal(w http.ResponseWriter, r *http.Request, refused *refusal) {
	d.Metrics.Counter("mintlift_requests_refused_total", "reason", string(refused.reason)).Inc()
	h := w.Header()
	h.Set(peer.HeaderRequest, r.Header.Get(peer.HeaderRequest))
	h.Set(peer.HeaderOutcome, string(refused.outcome))
	h.Set(peer.HeaderReason, string(refused.reason))
	status := d.status()
	h.Set(peer.HeaderServing, peer.JoinRefs(status.Serving()))
	h.Set(peer.HeaderOffset, strconv.FormatInt(d.Replica.Offset(), 10))
	httpserve.WriteJSON(w, refused.status, peer.Refusal{Error: peer.RefusalError{
		Message:      refused.message,
		Type:         "refused",
		Code:         string(refused.reason),
		Outcome:      refused.outcome,
		RequestID:    r.Header.Get(peer.HeaderRequest),
		RetryAfterMS: refused.retryAfter.Milliseconds(),
	}})
}

// forward sends the request to the endpoint and relays the response to the gateway. If the
// request may have run but there is no usable response, it aborts the connection to the
// gateway.
func (d *Daemon) forward(w http.ResponseWriter, r *http.Request, a *admitted) {
	req, err := d.endpointRequest(r, a)
	if err != nil {
		d.writeRefusal(w, r, newRefusal(http.StatusBadRequest, peer.ReasonEndpoint, err.Error()))
		return
	}
	client := d.endpoint
	if a.idempotencyKey != "" {
		client = d.endpointNoReuse
	}
	sentAt := clock.Now()
	resp, err := client.Do(req)
	if errors.Is(err, call.ErrNotSent) {
		refused := newRefusal(http.StatusServiceUnavailable, peer.ReasonEndpoint, "the endpoint does not answer")
		refused.retryAfter = busyRetryAfter
		d.writeRefusal(w, r, refused)
		return
	}
	if err != nil {
		d.abort(a, abortReasonOf(a, abortNoResponse), sentAt, err) // the request may have run, so no response may claim otherwise
	}
	defer resp.Body.Close()
	d.observeSignals(a, resp, sentAt)
	if !d.responseMatches(a, resp) {
		d.abort(a, abortMismatch, sentAt, nil)
	}
	d.writeResponse(w, a, resp, sentAt)
}

// observeSignals records the backpressure signals in a response of the endpoint, and
// counts and logs what changed.
func (d *Daemon) observeSignals(a *admitted, resp *http.Response, sentAt time.Time) {
	for _, c := range d.endpointState.observe(resp, sentAt, clock.Now()) {
		d.Metrics.Counter("mintlift_endpoint_signals_total", "signal", c.Kind.String()).Inc()
		d.Log.Info("requests: endpoint signal", "request", a.id, "signal", c.Kind.String(), "rate", c.Rate, "backoff_ms", c.Backoff.Milliseconds(), "value", c.Value)
	}
}

// responseMatches reports whether the headers of a response have the request's ID and
// version. A header that the endpoint does not set counts as matching.
func (d *Daemon) responseMatches(a *admitted, resp *http.Response) bool {
	if got := resp.Header.Get(engine.HeaderRequest); got != "" && got != a.id {
		d.Log.Error(nil, "requests: endpoint response has the ID of another request", "want", a.id, "got", got)
		return false
	}
	if got := resp.Header.Get(engine.HeaderVersion); got != "" && got != a.version.String() {
		d.Log.Error(nil, "requests: endpoint response is from another version", "want", a.version.String(), "got", got)
		return false
	}
	return true
}

// endpointRequest returns the request to send to the endpoint.
func (d *Daemon) endpointRequest(r *http.Request, a *admitted) (*http.Request, error) {
	path := strings.TrimPrefix(r.URL.Path, peer.PathRun)
	if d.settings.Service != "" {
		path = strings.TrimPrefix(path, "/v1/services/"+d.settings.Service)
	}
	target, err := url.Parse(d.endpoint.URL(d.settings.Endpoint, path))
	if err != nil {
		return nil, err
	}
	target.RawQuery = r.URL.RawQuery
	req, err := http.NewRequestWithContext(a.ctx, r.Method, target.String(), requestBody(r))
	if err != nil {
		return nil, err
	}
	req.ContentLength = r.ContentLength
	for _, name := range []string{"Content-Type", "Accept"} {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(engine.HeaderRequest, a.id)
	req.Header.Set(engine.HeaderWorkspace, a.workspace)
	req.Header.Set(engine.HeaderPriority, strconv.Itoa(a.priority))
	if a.version.Valid() {
		req.Header.Set(engine.HeaderVersion, a.version.String())
	}
	if a.idempotencyKey != "" {
		req.Header.Set(engine.HeaderKey, a.idempotencyKey)
	}
	return req, nil
}

// requestBody returns the request's body, or http.NoBody if there is none.
func requestBody(r *http.Request) io.Reader {
	if r.ContentLength == 0 {
		return http.NoBody
	}
	return r.Body
}

// writeResponse copies the endpoint's response to the gateway. If either connection
// fails, it aborts the other.
func (d *Daemon) writeResponse(w http.ResponseWriter, a *admitted, resp *http.Response, sentAt time.Time) {
	h := w.Header()
	for _, name := range []string{"Content-Type", "Content-Length", "Cache-Control"} {
		if v := resp.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	h.Set(peer.HeaderRequest, a.id)
	if a.version.Valid() {
		h.Set(peer.HeaderVersion, a.version.String())
	}
	w.WriteHeader(resp.StatusCode)
	if reason, err := copyFlushing(w, resp.Body); err != nil {
		d.abort(a, abortReasonOf(a, reason), sentAt, err)
	}
}

// copyFlushing copies body to w and flushes w after each read, so that the tokens of a
// stream are not delayed. It buffers at most 16 KiB. An error comes with its reason.
func copyFlushing(w http.ResponseWriter, body io.Reader) (abortReason, error) {
	rc := http.NewResponseController(w)
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return abortGatewayGone, werr
			}
			if ferr := rc.Flush(); ferr != nil {
				return abortGatewayGone, ferr
			}
		}
		if err == io.EOF {
			return "", nil
		}
		if err != nil {
			return abortBrokeOff, err
		}
	}
}

// handleResume resumes a stream whose connection to the gateway was lost. It starts after
// the event whose ID is in the query.
func (d *Daemon) handleResume(w http.ResponseWriter, r *http.Request) {
	d.Requests.Enter()
	defer d.Requests.Leave()
	id := pathvar.Vars(r)["id"]
	target := d.endpoint.URL(d.settings.Endpoint, "/v1/resume/"+url.PathEscape(id)) + "?after=" + url.QueryEscape(r.URL.Query().Get("after"))
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, target, nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sentAt := clock.Now()
	resp, err := d.endpoint.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	ref, _ := weights.ParseRef(resp.Header.Get(engine.HeaderVersion)) // checked by the gateway
	d.writeResponse(w, &admitted{id: resp.Header.Get(engine.HeaderRequest), version: ref, ctx: r.Context()}, resp, sentAt)
}

// handleCancel forwards a caller's cancellation to the engine.
func (d *Daemon) handleCancel(w http.ResponseWriter, r *http.Request) {
	target := d.endpoint.URL(d.settings.Endpoint, "/control/cancel/"+url.PathEscape(pathvar.Vars(r)["id"]))
	if err := d.endpoint.JSON(r.Context(), http.MethodPost, target, nil, nil); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}
