// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/route"
	"github.com/mintlift/mintlift/weights"
)

// Bounds of a relayed stream, and the data that ends it.
const (
	maxEventBytes = 1 << 20
	// resumeTimeout bounds the time without an event in which an interrupted stream is
	// resumed. Engines stop a generation that has had no reader for so long.
	resumeTimeout = 3 * time.Second
	resumeDelay   = 100 * time.Millisecond
	doneSentinel  = "[DONE]"
)

// Errors of a relayed stream.
const (
	errInterrupted = errors.ConstError("stream interrupted")
	errMismatch    = errors.ConstError("event belongs to another request")
	errRunEnded    = errors.ConstError("the engine no longer has the run")
	errCallerGone  = errors.ConstError("caller disconnected")
)

// event is one server-sent event.
type event struct {
	id   int // 0 if the event has none or one that is not a number
	data []byte
	done bool
}

// streamRelay is the state of a stream that is relayed to a caller.
type streamRelay struct {
	w          http.ResponseWriter
	rc         *http.ResponseController
	q          *request
	lastID     int // ID of the last event written to the caller
	headerSent bool
}

// relayStream relays a streamed response event by event. If the connection to the
// sidecar or the engine is interrupted, it resumes the stream after the last event
// that was sent to the caller, so that the caller receives no event twice.
func (d *Daemon) relayStream(w http.ResponseWriter, q *request, ep route.Endpoint, ref weights.Ref, resp *http.Response) attemptResult {
	d.setResponseHeaders(w, q, ref, resp.Header.Get("Content-Type"))
	w.Header().Set("Cache-Control", "no-store")
	s := &streamRelay{w: w, rc: http.NewResponseController(w), q: q}
	err := s.copyEvents(resp.Body)
	resumes, lastID, interruptedAt := 0, s.lastID, clock.Now()
	for errors.Is(err, errInterrupted) && q.ctx.Err() == nil && clock.Since(interruptedAt) < resumeTimeout {
		if s.lastID == 0 && !s.headerSent {
			break // the caller has received nothing: use another attempt instead
		}
		resumes++
		err = d.resume(s, ep, ref)
		if s.lastID > lastID {
			lastID, interruptedAt = s.lastID, clock.Now()
		}
	}
	if err == nil {
		return attemptResult{responseStarted: true, healthy: true}
	}
	callerGone := errors.Is(err, errCallerGone)
	if callerGone || q.ctx.Err() != nil {
		d.cancelRun(q, ep)
	}
	if s.headerSent {
		d.recordCut(q, ep, s.cutReason(err), "events", s.lastID, "resumes", resumes, "interrupted_ms", clock.Since(interruptedAt).Milliseconds(), "error", err.Error())
	}
	switch {
	case callerGone:
		return attemptResult{responseStarted: true, healthy: true}
	case q.ctx.Err() != nil:
		return s.abort(unknownOutcome("deadline", "the deadline passed in the middle of the answer"), true)
	case errors.Is(err, errMismatch):
		d.Log.Error(err, "requests: stream aborted", "request", q.id, "box", ep.Box)
		return s.abort(unknownOutcome("mismatch", "the answer did not belong to the request"), false)
	default:
		return s.abort(unknownOutcome("answer_cut", "the endpoint's answer broke off"), false)
	}
}

// cutReason returns why a stream of which the caller has received a part ends without its
// last event.
func (s *streamRelay) cutReason(err error) cutReason {
	switch {
	case errors.Is(err, errCallerGone):
		return callerCut(err)
	case s.q.ctx.Err() != nil:
		return contextEnded(s.q.ctx)
	case errors.Is(err, errMismatch):
		return cutMismatch
	case errors.Is(err, errRunEnded):
		return cutRunEnded
	default:
		return cutNotResumed
	}
}

// abort ends a stream with fail. If the response header has been sent to the caller,
// it writes fail as an error event. Otherwise it writes nothing, so that another
// attempt or an ordinary error response can follow.
func (s *streamRelay) abort(fail *failure, healthy bool) attemptResult {
	if !s.headerSent {
		return attemptResult{failure: fail, healthy: healthy}
	}
	body, err := json.Marshal(peer.Refusal{Error: peer.RefusalError{Message: fail.message, Type: "mintlift_error", Code: fail.code, Outcome: fail.outcome, RequestID: s.q.id}})
	if err == nil {
		_ = s.write([]byte("event: error\ndata: " + string(body) + "\n\n")) // an error means that the caller has disconnected
	}
	fail.written = true
	return attemptResult{failure: fail, responseStarted: true, healthy: healthy}
}

// resume requests the stream again from the event after the last one written,
// and relays it.
func (d *Daemon) resume(s *streamRelay, ep route.Endpoint, ref weights.Ref) error {
	clock.Sleep(s.q.ctx, resumeDelay)
	ctx, cancel := context.WithCancel(s.q.ctx)
	defer cancel()
	target := d.Peers.URL(ep.Address, peer.PathResume+s.q.id) + "?after=" + strconv.Itoa(s.lastID)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	resp, err := d.Peers.Do(req)
	if err != nil {
		return errInterrupted
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return errRunEnded
	default:
		return errInterrupted
	}
	if !matchesRequest(s.q, ref, resp) {
		return errMismatch
	}
	d.Metrics.Counter("mintlift_streams_resumed_total").Inc()
	return s.copyEvents(resp.Body)
}

// copyEvents copies events to the caller until the stream ends or fails. Events
// that the caller already has are skipped.
func (s *streamRelay) copyEvents(body io.Reader) error {
	r := bufio.NewReader(body)
	for {
		ev, raw, err := readEvent(r)
		if err != nil {
			return errInterrupted
		}
		if err := s.checkEvent(ev); err != nil {
			return err
		}
		if ev.id != 0 && ev.id <= s.lastID {
			continue // already written
		}
		if err := s.write(raw); err != nil {
			return errors.WithType(err, errCallerGone)
		}
		s.lastID = max(s.lastID, ev.id)
		if ev.done {
			return nil
		}
	}
}

// checkEvent returns errMismatch for an event of another request, and
// errInterrupted for a gap in the event IDs.
func (s *streamRelay) checkEvent(e event) error {
	if e.id > s.lastID+1 {
		return errInterrupted
	}
	if e.done {
		return nil
	}
	var payload struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(e.data, &payload) == nil && payload.ID != "" && payload.ID != s.q.id {
		return errors.WithType(errors.Errorf("event of request %s in the response to %s", payload.ID, s.q.id), errMismatch)
	}
	return nil
}

// write sends b to the caller without delay. It sends the response header first if
// that has not been sent yet.
func (s *streamRelay) write(b []byte) error {
	if !s.headerSent {
		s.w.WriteHeader(http.StatusOK)
		s.headerSent = true
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // if the caller's connection has no write deadlines, a write may block for longer
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	return s.rc.Flush()
}

// readEvent reads an event up to and including its blank line. It also returns
// the event's raw bytes.
func readEvent(r *bufio.Reader) (event, []byte, error) {
	var e event
	var raw []byte
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return e, nil, err
		}
		raw = append(raw, line...)
		if len(raw) > maxEventBytes {
			return e, nil, fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, raw, nil
		}
		e.parseField(line)
	}
}

// parseField adds a line of the form NAME: VALUE to the event. Fields other than
// id and data are ignored.
func (e *event) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id, _ = strconv.Atoi(string(value)) // an ID that is not a number counts as none
	case "data":
		e.data = append(e.data, value...)
		e.done = string(e.data) == doneSentinel
	}
}
