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

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/dedup"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/route"
	"github.com/mintlift/mintlift/weights"
)

// attemptResult is the result of one attempt at one endpoint.
type attemptResult struct {
	failure         *failure        // nil when the caller has received the whole response
	responseStarted bool            // part of the response has reached the caller
	healthy         bool            // the attempt does not count as a failure of the endpoint
	staleRoute      bool            // refused, since the box serves other versions now or accepts no requests for a while
	response        *dedup.Response // nil unless the whole response was buffered
}

// attempt sends the request to one endpoint and relays its response to the
// caller.
func (d *Daemon) attempt(w http.ResponseWriter, q *request, ep route.Endpoint, ref weights.Ref) attemptResult {
	req, err := d.sidecarRequest(q, ep, ref)
	if err != nil {
		return attemptResult{failure: notRun(http.StatusBadRequest, "invalid", err.Error()), healthy: true}
	}
	client := d.Peers
	if q.nonIdempotent {
		client = d.singleUsePeers
	}
	resp, err := client.Do(req)
	if err != nil {
		return d.noResponse(q, ep, err)
	}
	defer resp.Body.Close()
	if resp.Header.Get(peer.HeaderDraining) != "" {
		d.table.MarkDraining(ep.Box)
	}
	if resp.Header.Get(peer.HeaderOutcome) != "" {
		return d.refusal(ep, resp)
	}
	if !matchesRequest(q, ref, resp) {
		d.Log.Error(nil, "requests: response does not match the request", "request", q.id, "box", ep.Box)
		return attemptResult{failure: unknownOutcome("mismatch", "the answer did not belong to the request")}
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return d.relayStream(w, q, ep, ref, resp)
	}
	return d.relayResponse(w, q, ep, ref, resp)
}

// unknownOutcome returns a failure of a request that the endpoint may have run.
func unknownOutcome(code, message string) *failure {
	return &failure{status: http.StatusBadGateway, code: code, outcome: outcome.Unknown, message: message}
}

// noResponse returns the result of an attempt that ended before the response
// header arrived. If the request's context has ended, because its deadline has
// passed or the caller has disconnected, it also cancels the request at the
// endpoint.
func (d *Daemon) noResponse(q *request, ep route.Endpoint, err error) attemptResult {
	stage := outcome.Sending
	if errors.Is(err, call.ErrNotSent) {
		stage = outcome.Waiting
	}
	fail := &failure{status: http.StatusBadGateway, code: "endpoint_failed", outcome: outcome.Of(stage), message: "the endpoint on box " + ep.Box + " did not answer"}
	if stage == outcome.Waiting {
		fail.status, fail.retryAfter = http.StatusServiceUnavailable, shedRetryAfter
	}
	ctxDone := q.ctx.Err() != nil
	if ctxDone {
		fail.status, fail.code, fail.message = http.StatusGatewayTimeout, "deadline", "the deadline passed before the answer"
		d.cancelRun(q, ep)
	}
	return attemptResult{failure: fail, healthy: ctxDone}
}

// refusal returns the result of an attempt that the sidecar refused before the
// request reached the endpoint. It updates the routing table according to the
// reason of the refusal.
func (d *Daemon) refusal(ep route.Endpoint, resp *http.Response) attemptResult {
	reason := peer.Reason(resp.Header.Get(peer.HeaderReason))
	fail := &failure{status: resp.StatusCode, code: string(reason), outcome: outcome.Outcome(resp.Header.Get(peer.HeaderOutcome)), message: "refused by the endpoint"}
	var body peer.Refusal
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBufferedBytes)).Decode(&body); err == nil {
		fail.message = body.Error.Message
		fail.retryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	}
	switch reason {
	case peer.ReasonDraining, peer.ReasonReplaced:
		d.table.MarkDraining(ep.Box)
		fail.status, fail.retryAfter = http.StatusServiceUnavailable, shedRetryAfter
	case peer.ReasonClosed:
		d.table.CloseUntil(ep.Box, time.Now().Add(fail.retryAfter))
	case peer.ReasonVersion:
		d.table.SetServing(ep.Box, peer.SplitRefs(resp.Header.Get(peer.HeaderServing)))
		fail.status, fail.retryAfter = http.StatusServiceUnavailable, shedRetryAfter
	}
	return attemptResult{failure: fail, healthy: reason != peer.ReasonEndpoint, staleRoute: reason == peer.ReasonVersion || reason == peer.ReasonClosed}
}

// matchesRequest reports whether a response carries the request's own ID and the
// version that the request was sent for.
func matchesRequest(q *request, ref weights.Ref, resp *http.Response) bool {
	if resp.Header.Get(peer.HeaderRequest) != q.id {
		return false
	}
	return !ref.Valid() || resp.Header.Get(peer.HeaderVersion) == ref.String()
}

// sidecarRequest builds the request to the sidecar of ep. ref is zero for plain
// services.
func (d *Daemon) sidecarRequest(q *request, ep route.Endpoint, ref weights.Ref) (*http.Request, error) {
	target := d.Peers.URL(ep.Address, peer.PathRun+q.path)
	if q.query != "" {
		target += "?" + q.query
	}
	req, err := http.NewRequestWithContext(q.ctx, q.method, target, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	if q.nonIdempotent {
		req.GetBody = nil // without it net/http cannot resend the body
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
	if q.nonIdempotent {
		req.Header.Set(peer.HeaderOnce, idempotencyKey(q))
	}
	if deadline, ok := q.ctx.Deadline(); ok {
		req.Header.Set(peer.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return req, nil
}

// idempotencyKey returns the caller's idempotency key, or the request ID if the
// caller sent none.
func idempotencyKey(q *request) string {
	if q.key != "" {
		return q.key
	}
	return q.id
}

// relayResponse relays a response that is not a stream. It buffers up to
// maxBufferedBytes before it sends the header, so that the caller receives no
// part of a response that is interrupted early.
func (d *Daemon) relayResponse(w http.ResponseWriter, q *request, ep route.Endpoint, ref weights.Ref, resp *http.Response) attemptResult {
	buffered := new(bytes.Buffer)
	n, err := io.CopyN(buffered, resp.Body, maxBufferedBytes)
	if err != nil && err != io.EOF {
		return attemptResult{failure: unknownOutcome("answer_cut", "the endpoint's answer broke off")}
	}
	requestOutcome := outcome.Of(outcome.Done)
	if resp.StatusCode >= http.StatusInternalServerError {
		requestOutcome = outcome.Of(outcome.ErrorResponse)
	}
	d.setResponseHeaders(w, q, ref, resp.Header.Get("Content-Type"))
	w.Header().Set(peer.HeaderOutcome, string(requestOutcome))
	if v := resp.Header.Get("Content-Length"); v != "" {
		w.Header().Set("Content-Length", v)
	}
	w.WriteHeader(resp.StatusCode)
	stored := &dedup.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Version: versionString(ref), Body: buffered.Bytes()}
	result := attemptResult{responseStarted: true, healthy: true, response: stored}
	if _, err := w.Write(buffered.Bytes()); err != nil {
		return result // the caller has disconnected; the request ran
	}
	if n < maxBufferedBytes {
		return result
	}
	result.response = nil
	if relayed, reason, err := relayBody(q.ctx, w, resp.Body); err != nil {
		d.recordCut(q, ep, reason, "bytes", n+relayed, "error", err.Error())
		panic(http.ErrAbortHandler) // the caller has part of the response: abort the connection to mark it incomplete
	}
	return result
}

// versionString returns ref as a string, or "" for the zero Ref of plain
// services.
func versionString(ref weights.Ref) string {
	if ref.Valid() {
		return ref.String()
	}
	return ""
}

// relayBody copies the rest of a response through one buffer of fixed size, and returns
// the number of bytes copied. If the caller reads slowly, the endpoint has to wait, and the
// gateway needs no more memory. reason is set with an error.
func relayBody(ctx context.Context, w http.ResponseWriter, body io.Reader) (relayed int64, reason cutReason, err error) {
	rc := http.NewResponseController(w)
	buf := make([]byte, 64<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // if w has no write deadlines, a write may block for longer
			if _, werr := w.Write(buf[:n]); werr != nil {
				return relayed, callerCut(werr), werr
			}
			relayed += int64(n)
		}
		switch {
		case err == io.EOF:
			return relayed, "", nil
		case err != nil && ctx.Err() != nil:
			return relayed, contextEnded(ctx), err
		case err != nil:
			return relayed, cutBrokeOff, err
		}
	}
}

// setResponseHeaders sets the headers of a relayed response: request ID, version
// and content type.
func (d *Daemon) setResponseHeaders(w http.ResponseWriter, q *request, ref weights.Ref, contentType string) {
	h := w.Header()
	h.Set(peer.HeaderRequest, q.id)
	if ref.Valid() {
		h.Set(peer.HeaderVersion, ref.String())
	}
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
}

// cancelRun sends, in the background, a request to the sidecar of ep to cancel the
// caller's request on the engine. It does nothing for plain services.
func (d *Daemon) cancelRun(q *request, ep route.Endpoint) {
	if q.service != "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(q.ctx), probeTimeout)
	go func() {
		defer cancel()
		_ = d.Peers.JSON(ctx, http.MethodPost, d.Peers.URL(ep.Address, peer.PathCancel+q.id), nil, nil) // on failure the engine ends the run by itself, a little later
	}()
}
