// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/process"
	"github.com/mintlift/mintlift/settings"
	"github.com/mintlift/mintlift/telemetry"
)

// expiringContext is a context whose end is that of a deadline.
type expiringContext struct{ context.Context }

// Err implements context.Context.
func (c expiringContext) Err() error {
	if c.Context.Err() != nil {
		return context.DeadlineExceeded
	}
	return nil
}

// failingGateway is a gateway that closes its connection before the response.
type failingGateway struct{ *httptest.ResponseRecorder }

// Write implements http.ResponseWriter.
func (failingGateway) Write([]byte) (int, error) { return 0, net.ErrClosed }

// Guards against requests that have been sent to the endpoint and end without a complete
// response and without a log line that says why.
func TestAbortHasReason(t *testing.T) {
	part := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
	}
	for _, test := range []struct {
		reason   abortReason
		endpoint func(w http.ResponseWriter, r *http.Request, end context.CancelFunc)
		expires  bool // the end of the context is that of a deadline
		gone     bool // the gateway is a failingGateway
	}{
		{reason: abortNoResponse, endpoint: func(http.ResponseWriter, *http.Request, context.CancelFunc) { panic(http.ErrAbortHandler) }},
		{reason: abortBrokeOff, endpoint: func(w http.ResponseWriter, r *http.Request, _ context.CancelFunc) { part(w, r) }},
		{reason: abortMismatch, endpoint: func(w http.ResponseWriter, _ *http.Request, _ context.CancelFunc) {
			w.Header().Set(engine.HeaderRequest, "another")
		}},
		{reason: abortGatewayGone, gone: true, endpoint: func(w http.ResponseWriter, r *http.Request, _ context.CancelFunc) { part(w, r) }},
		{reason: abortGatewayGone, endpoint: func(_ http.ResponseWriter, r *http.Request, end context.CancelFunc) {
			end()
			<-r.Context().Done()
		}},
		{reason: abortDeadline, expires: true, endpoint: func(w http.ResponseWriter, r *http.Request, end context.CancelFunc) {
			part(w, r)
			end()
			<-r.Context().Done()
		}},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		if test.expires {
			ctx = expiringContext{ctx}
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { test.endpoint(w, r, cancel) }))
		logs := ""
		d := &Daemon{
			Process:       &process.Process{Log: funcr.New(func(_, line string) { logs += line }, funcr.Options{}), Metrics: telemetry.NewMetrics()},
			settings:      settings.Sidecar{Service: "s", Endpoint: strings.TrimPrefix(server.URL, "http://")},
			endpoint:      call.New("test", call.Options{}),
			endpointState: newEndpointState(),
		}
		r := httptest.NewRequest(http.MethodGet, peer.PathRun+"/v1/services/s/x", nil)
		var w http.ResponseWriter = httptest.NewRecorder()
		if test.gone {
			w = failingGateway{httptest.NewRecorder()}
		}
		aborted := func() (aborted bool) {
			defer func() { aborted = recover() == http.ErrAbortHandler }()
			d.forward(w, r, &admitted{id: "r-1", ctx: ctx})
			return false
		}()
		assert.Check(t, aborted, "%s", test.reason)
		assert.Check(t, strings.Contains(logs, fmt.Sprintf(`"request"="r-1" "reason"=%q`, test.reason)), "%s: %s", test.reason, logs)
		assert.Check(t, d.Metrics.Counter("mintlift_requests_aborted_total", "reason", string(test.reason)).Get() == 1, "%s", test.reason)
		cancel()
		server.Close()
	}
}
