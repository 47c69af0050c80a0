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

// trial is how one attempt ended.
type trial struct {
	failure *failure // nil when the caller has the whole answer
	started bool     // some of the answer has reached the caller
	healthy bool     // the endpoint did its part
	moved   bool     // refused: the box serves other versions by now, or nothing for a while
	answer  *dedup.Answer
}

// attempt sends the request to one endpoint.
func (d *Daemon) attempt(w http.ResponseWriter, q *request, ep route.Endpoint, ref weights.Ref) trial {
	req, err := d.sidecarRequest(q, ep, ref)
	if err != nil {
		return trial{failure: notRun(http.StatusBadRequest, "invalid", err.Error()), healthy: true}
	}
	client := d.Peers
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
		d.Log.Error(nil, "requests: answer does not belong to the request", "request", q.id, "box", ep.Box)
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
	case peer.ReasonClosed:
		d.table.Close(ep.Box, time.Now().Add(no.retry))
	case peer.ReasonVersion:
		d.table.Serving(ep.Box, peer.SplitRefs(resp.Header.Get(peer.HeaderServing)))
		no.status, no.retry = http.StatusServiceUnavailable, shedRetry
	}
	return trial{failure: no, healthy: reason != peer.ReasonEndpoint, moved: reason == peer.ReasonVersion || reason == peer.ReasonClosed}
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
	target := d.Peers.URL(ep.Address, peer.PathRun+q.path)
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

// cancelRun hands a caller's cancel on towards the engine.
func (d *Daemon) cancelRun(q *request, ep route.Endpoint) {
	if q.service != "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(q.ctx), probeTimeout)
	go func() {
		defer cancel()
		_ = d.Peers.JSON(ctx, http.MethodPost, d.Peers.URL(ep.Address, peer.PathCancel+q.id), nil, nil) // the engine stops by itself a little later
	}()
}
