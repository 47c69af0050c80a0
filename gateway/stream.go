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

// Bounds of a stream.
const (
	maxEvent     = 1 << 20
	resumeTries  = 5
	resumePause  = 100 * time.Millisecond
	doneSentinel = "[DONE]"
)

// Errors of a stream.
const (
	errCut     = errors.ConstError("stream broke off")
	errForeign = errors.ConstError("event belongs to another request")
	errCaller  = errors.ConstError("caller has gone")
)

// event is one server-sent event.
type event struct {
	id   int // 0 when the event has none
	data []byte
	done bool
}

// relayed is the state of one stream on its way to the caller.
type relayed struct {
	w    http.ResponseWriter
	rc   *http.ResponseController
	q    *request
	last int // id of the last event passed on
	sent bool
}

// stream passes a streamed answer on, event by event. A cut towards the
// sidecar or the engine is healed by resuming after the last event, so that
// the caller sees every token once.
func (d *Daemon) stream(w http.ResponseWriter, q *request, ep route.Endpoint, ref weights.Ref, resp *http.Response) trial {
	d.head(w, q, ref, resp.Header.Get("Content-Type"))
	w.Header().Set("Cache-Control", "no-store")
	s := &relayed{w: w, rc: http.NewResponseController(w), q: q}
	err := s.pass(resp.Body)
	for try := 0; errors.Is(err, errCut) && try < resumeTries && q.ctx.Err() == nil; try++ {
		if s.last == 0 && !s.sent {
			break // nothing has reached the caller: another attempt is as good
		}
		err = d.resume(s, ep, ref)
	}
	switch {
	case err == nil:
		return trial{started: true, healthy: true}
	case errors.Is(err, errCaller) || q.ctx.Err() != nil:
		d.cancelRun(q, ep)
		if errors.Is(err, errCaller) {
			return trial{started: true, healthy: true}
		}
		return s.broken(unknown("deadline", "the deadline passed in the middle of the answer"), true)
	case errors.Is(err, errForeign):
		d.Log.Error(err, "requests: stream broken", "request", q.id, "box", ep.Box)
		return s.broken(unknown("mismatch", "the answer did not belong to the request"), false)
	default:
		return s.broken(unknown("answer_cut", "the endpoint's answer broke off"), false)
	}
}

// broken ends a stream with a clear outcome. Before the first event the
// caller can still get an ordinary answer, or another attempt.
func (s *relayed) broken(no *failure, healthy bool) trial {
	if !s.sent {
		return trial{failure: no, healthy: healthy}
	}
	body, err := json.Marshal(peer.Refusal{Error: peer.RefusalError{Message: no.message, Type: "mintlift_error", Code: no.code, Outcome: no.outcome, RequestID: s.q.id}})
	if err == nil {
		_ = s.write([]byte("event: error\ndata: " + string(body) + "\n\n")) // the caller has gone if this fails
	}
	no.written = true
	return trial{failure: no, started: true, healthy: healthy}
}

// resume takes the stream up after the last event passed on.
func (d *Daemon) resume(s *relayed, ep route.Endpoint, ref weights.Ref) error {
	clock.Sleep(s.q.ctx, resumePause)
	ctx, cancel := context.WithCancel(s.q.ctx)
	defer cancel()
	target := d.Peers.URL(ep.Address, peer.PathResume+s.q.id) + "?after=" + strconv.Itoa(s.last)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	resp, err := d.Peers.Do(req)
	if err != nil {
		return errCut
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errCut
	}
	if !correlated(s.q, ref, resp) {
		return errForeign
	}
	d.Metrics.Counter("mintlift_streams_resumed_total").Inc()
	return s.pass(resp.Body)
}

// pass copies events until the stream ends or breaks.
func (s *relayed) pass(body io.Reader) error {
	r := bufio.NewReader(body)
	for {
		e, raw, err := readEvent(r)
		if err != nil {
			return errCut
		}
		if err := s.check(e); err != nil {
			return err
		}
		if e.id != 0 && e.id <= s.last {
			continue // passed on already
		}
		if err := s.write(raw); err != nil {
			return errCaller
		}
		s.last = max(s.last, e.id)
		if e.done {
			return nil
		}
	}
}

// check refuses an event of another request, and a gap.
func (s *relayed) check(e event) error {
	if e.id > s.last+1 {
		return errCut
	}
	if e.done {
		return nil
	}
	var head struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(e.data, &head) == nil && head.ID != "" && head.ID != s.q.id {
		return errors.WithType(errors.Errorf("event of %s in the answer to %s", head.ID, s.q.id), errForeign)
	}
	return nil
}

func (s *relayed) write(b []byte) error {
	if !s.sent {
		s.w.WriteHeader(http.StatusOK)
		s.sent = true
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // without deadlines a write may block longer
	if _, err := s.w.Write(b); err != nil {
		return err
	}
	return s.rc.Flush()
}

// readEvent reads up to the blank line that ends an event.
func readEvent(r *bufio.Reader) (event, []byte, error) {
	var e event
	var raw []byte
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return e, nil, err
		}
		raw = append(raw, line...)
		if len(raw) > maxEvent {
			return e, nil, fmt.Errorf("event of more than %d bytes", maxEvent)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, raw, nil
		}
		e.field(line)
	}
}

func (e *event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id, _ = strconv.Atoi(string(value)) // other ids are not counted
	case "data":
		e.data = append(e.data, value...)
		e.done = string(e.data) == doneSentinel
	}
}
