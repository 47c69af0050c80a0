// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/process"
	"github.com/mintlift/mintlift/route"
	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/weights"
)

const (
	testRequest   = "r-1"
	lastTestEvent = 6
)

// cutTest relays one response of a fake sidecar to a caller.
type cutTest struct {
	t      *testing.T
	daemon *Daemon
	caller http.ResponseWriter
	body   *httptest.ResponseRecorder // what the caller has received
	logs   atomic.Value
	result attemptResult
	// aborted reports that the caller's connection was closed.
	aborted bool
	// expire ends the time of the request.
	expire context.CancelFunc
	ctx    context.Context
}

// expiringContext is a context whose end is that of a deadline.
type expiringContext struct{ context.Context }

// Err implements context.Context.
func (c expiringContext) Err() error {
	if c.Context.Err() != nil {
		return context.DeadlineExceeded
	}
	return nil
}

// newCutTest returns a test whose caller reads everything.
func newCutTest(t *testing.T) *cutTest {
	t.Helper()
	c := &cutTest{t: t, body: httptest.NewRecorder()}
	c.caller = c.body
	ctx, cancel := context.WithCancel(t.Context())
	c.ctx, c.expire = expiringContext{ctx}, cancel
	c.logs.Store("")
	log := funcr.New(func(_, line string) { c.logs.Store(c.logs.Load().(string) + line + "\n") }, funcr.Options{})
	c.daemon = &Daemon{Process: &process.Process{Log: log, Metrics: telemetry.NewMetrics(), Peers: call.New("test", call.Options{})}}
	return c
}

// relay sends the request to a sidecar and relays its response.
func (c *cutTest) relay(sidecar http.HandlerFunc) {
	c.t.Helper()
	server := httptest.NewServer(sidecar)
	c.t.Cleanup(server.Close)
	c.t.Cleanup(c.expire)
	q := &request{id: testRequest, ctx: c.ctx, method: http.MethodPost, path: "/x", service: "s", header: http.Header{}}
	defer func() {
		if failure := recover(); failure != nil {
			assert.Equal(c.t, failure, http.ErrAbortHandler)
			c.aborted = true
		}
	}()
	c.result = c.daemon.attempt(c.caller, q, route.Endpoint{Box: "box1", Address: strings.TrimPrefix(server.URL, "http://")}, weights.Ref{})
}

// checkCut checks that the response was cut for a reason, or, if that is empty, not cut.
func (c *cutTest) checkCut(reason cutReason) {
	c.t.Helper()
	logs := c.logs.Load().(string)
	if reason == "" {
		assert.Check(c.t, !strings.Contains(logs, "response cut"), logs)
		return
	}
	assert.Check(c.t, strings.Contains(logs, fmt.Sprintf("%q=%q", "reason", reason)), logs)
	assert.Check(c.t, strings.Contains(logs, `"request"="r-1" "box"="box1"`), logs)
	assert.Check(c.t, c.daemon.Metrics.Counter("mintlift_responses_cut_total", "reason", string(reason)).Get() == 1, reason)
}

// sendEvents sends the events from first to last, and the end of the stream after
// lastTestEvent.
func sendEvents(w http.ResponseWriter, first, last int, id string) {
	w.Header().Set(peer.HeaderRequest, testRequest)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= last; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q}\n\n", n, id)
	}
	if last == lastTestEvent {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
	_ = http.NewResponseController(w).Flush()
}

// interruptedSidecar returns a sidecar whose stream breaks off after three events, and that
// responds to calls to resume it by resume, which gets the number of the call from 1.
func interruptedSidecar(resume func(w http.ResponseWriter, r *http.Request, n int64)) http.HandlerFunc {
	var calls atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, peer.PathResume) {
			resume(w, r, calls.Add(1))
			return
		}
		sendEvents(w, 1, 3, testRequest)
		panic(http.ErrAbortHandler)
	}
}

// unreachable is what a sidecar responds while its engine cannot be reached.
func unreachable(w http.ResponseWriter) { http.Error(w, "unreachable", http.StatusBadGateway) }

// Guards against a stream that is given up, although the engine still runs it, because its
// sidecar or the connection to the engine is away for a second.
func TestInterruptedStreamIsResumedAfterASecond(t *testing.T) {
	t.Parallel()
	c := newCutTest(t)
	c.relay(interruptedSidecar(func(w http.ResponseWriter, r *http.Request, n int64) {
		if n <= 7 {
			unreachable(w)
			return
		}
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		sendEvents(w, after+1, lastTestEvent, testRequest)
	}))
	assert.Assert(t, c.result.failure == nil, "%+v", c.result.failure)
	assert.Equal(t, strings.Count(c.body.Body.String(), "id: "), lastTestEvent)
	c.checkCut("")
}

// Guards against a stream that is cut without a log line that says why, and that is held
// although it can no longer be resumed.
func TestCutStreamHasReason(t *testing.T) {
	t.Parallel()
	for reason, resume := range map[cutReason]func(c *cutTest, w http.ResponseWriter, r *http.Request, n int64){
		cutRunEnded: func(_ *cutTest, w http.ResponseWriter, r *http.Request, n int64) {
			assert.Check(t, n == 1)
			http.NotFound(w, r)
		},
		cutNotResumed: func(_ *cutTest, w http.ResponseWriter, _ *http.Request, _ int64) { unreachable(w) },
		cutMismatch: func(_ *cutTest, w http.ResponseWriter, _ *http.Request, _ int64) {
			sendEvents(w, 4, 5, "another")
		},
		cutDeadline: func(c *cutTest, _ http.ResponseWriter, r *http.Request, _ int64) {
			c.expire()
			<-r.Context().Done()
		},
	} {
		t.Run(string(reason), func(t *testing.T) {
			t.Parallel()
			c := newCutTest(t)
			c.relay(interruptedSidecar(func(w http.ResponseWriter, r *http.Request, n int64) { resume(c, w, r, n) }))
			assert.Assert(t, c.result.failure != nil && c.result.failure.written && c.result.responseStarted)
			assert.Assert(t, strings.Contains(c.body.Body.String(), "event: error"), "the caller is told")
			c.checkCut(reason)
		})
	}
}

// failingCaller is a caller to whom only the first writes succeed.
type failingCaller struct {
	*httptest.ResponseRecorder
	writes int
	err    error
}

// Write implements http.ResponseWriter.
func (c *failingCaller) Write(b []byte) (int, error) {
	if c.writes--; c.writes < 0 {
		return 0, &net.OpError{Op: "write", Err: c.err}
	}
	return c.ResponseRecorder.Write(b)
}

// writeHook is a caller that calls written when it has received a part of the response.
type writeHook struct {
	*httptest.ResponseRecorder
	written func()
}

// Write implements http.ResponseWriter.
func (c *writeHook) Write(b []byte) (int, error) {
	defer c.written()
	return c.ResponseRecorder.Write(b)
}

// Guards against responses to callers that have left, or that read nothing, that are cut
// without a reason.
func TestCutByCallerHasReason(t *testing.T) {
	t.Parallel()
	for reason, err := range map[cutReason]error{cutCallerGone: net.ErrClosed, cutCallerStalled: os.ErrDeadlineExceeded} {
		for kind, sidecar := range map[string]http.HandlerFunc{
			"stream": func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, 1, lastTestEvent, testRequest) },
			"body":   sendBody(2*maxBufferedBytes, 2*maxBufferedBytes),
		} {
			c := newCutTest(t)
			c.caller = &failingCaller{c.body, 1, err}
			c.relay(sidecar)
			assert.Equal(t, c.aborted, kind == "body")
			c.checkCut(reason)
		}
	}
}

// sendBody returns a sidecar that sends only the first sent bytes of a response.
func sendBody(length, sent int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(peer.HeaderRequest, testRequest)
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = w.Write(make([]byte, sent))
		_ = http.NewResponseController(w).Flush()
	}
}

// Guards against a response longer than the buffer that is cut without a reason.
func TestCutBodyHasReason(t *testing.T) {
	t.Parallel()
	c := newCutTest(t)
	c.relay(sendBody(3*maxBufferedBytes, 2*maxBufferedBytes))
	assert.Assert(t, c.aborted)
	c.checkCut(cutBrokeOff)

	c = newCutTest(t)
	c.caller = &writeHook{c.body, c.expire}
	c.relay(func(w http.ResponseWriter, r *http.Request) {
		sendBody(3*maxBufferedBytes, 2*maxBufferedBytes)(w, r)
		<-r.Context().Done()
	})
	assert.Assert(t, c.aborted)
	c.checkCut(cutDeadline)

	c = newCutTest(t) // nothing has reached the caller
	c.relay(sendBody(maxBufferedBytes, maxBufferedBytes/2))
	assert.Assert(t, !c.aborted && c.result.failure != nil)
	c.checkCut("")
}
