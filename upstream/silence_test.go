// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/memnet"
	"github.com/mintlift/mintlift/internal/tcpconn"
)

// silentEndpoint is an endpoint in a network in memory that can fall silent.
type silentEndpoint struct {
	t       *testing.T
	network *memnet.Network
	gateway *memnet.Box
	box     *memnet.Box
	address string
	pool    *Pool
}

// startSilentEndpoint starts an endpoint. It must be called in a bubble of testing/synctest.
func startSilentEndpoint(t *testing.T, h http.HandlerFunc) *silentEndpoint {
	t.Helper()
	n := memnet.New(memnet.Config{Delay: time.Millisecond})
	e := &silentEndpoint{t: t, network: n, gateway: n.Box("10.0.0.1", ""), box: n.Box("10.0.0.2", ""), address: "10.0.0.2:80"}
	t.Cleanup(func() { time.Sleep(time.Minute) }) // handlers end
	serveOn(t, e.box, e.address, h)
	e.pool = NewPool(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Network: e.gateway})
	t.Cleanup(e.pool.CloseAllIdle)
	return e
}

// silence cuts the box off, in both directions, after a time, and for a time unless d is 0.
func (e *silentEndpoint) silence(after, d time.Duration) {
	time.AfterFunc(after, func() {
		e.network.Silence(e.gateway, e.box)
		e.network.Silence(e.box, e.gateway)
	})
	if d > 0 {
		time.AfterFunc(after+d, e.restore)
	}
}

// restore ends what silence began.
func (e *silentEndpoint) restore() {
	e.network.Restore(e.gateway, e.box)
	e.network.Restore(e.box, e.gateway)
}

// do sends a request that has until a deadline, and returns the body of its response.
func (e *silentEndpoint) do(timeout time.Duration) (string, error) {
	ctx, cancel := clock.WithDeadline(e.t.Context(), clock.Now().Add(timeout))
	defer cancel()
	r, err := e.pool.Do(ctx, e.address, &Request{Method: http.MethodPost, URI: "/", Host: "h.example", Body: []byte("body")})
	if err != nil {
		return "", err
	}
	defer r.Close()
	body, err := io.ReadAll(r.Body)
	if err == nil {
		r.MarkBodyRead()
	}
	return string(body), err
}

// respondAfter returns a handler that sends a part of a body after a time, and the rest
// after another.
func respondAfter(first, second time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(first)
		_, _ = io.WriteString(w, "first ")
		w.(http.Flusher).Flush()
		time.Sleep(second)
		_, _ = io.WriteString(w, "second")
	}
}

// Guards against a response that is lost because nothing arrived from the endpoint's box
// for a while, in which the endpoint ran the request.
func TestSilenceOfBoxEndsNoRequest(t *testing.T) {
	for _, test := range []struct {
		name          string
		first, second time.Duration // of the endpoint's response
		after, silent time.Duration
	}{
		{"request not acknowledged", time.Second, 0, 0, 2500 * time.Millisecond},
		{"before the response", 6 * time.Second, 0, time.Second, 4 * time.Second},
		{"amid the response", time.Second, 4 * time.Second, 1500 * time.Millisecond, 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var requests atomic.Int64
				e := startSilentEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
					requests.Add(1)
					respondAfter(test.first, test.second)(w, r)
				})
				_, err := e.do(20 * time.Second) // leaves an idle connection
				assert.NilError(t, err)
				e.silence(test.after, test.silent)
				time.Sleep(time.Millisecond)
				body, err := e.do(20 * time.Second)
				assert.NilError(t, err)
				assert.Equal(t, body, "first second")
				assert.Equal(t, requests.Load(), int64(2), "each is sent once")
			})
		})
	}
}

// Guards against a request at a connection that is silent for good that outlives its time.
func TestSilenceForGoodEndsWithRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startSilentEndpoint(t, respondAfter(0, 0))
		_, err := e.do(time.Second)
		assert.NilError(t, err)
		e.silence(0, 0)
		time.Sleep(time.Millisecond)
		start := time.Now()
		_, err = e.do(5 * time.Second)
		var failure *Error
		assert.Assert(t, errors.As(err, &failure) && failure.Sent && errors.Is(err, context.DeadlineExceeded), "%v", err)
		assert.Equal(t, time.Since(start), 5*time.Second)
	})
}

// Guards against a request on an idle connection whose peer has been unresponsive since
// before: of requests in progress only, the time is their own.
func TestIdleConnectionsKeepTheirLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startSilentEndpoint(t, respondAfter(4*time.Second, 0))
		_, err := e.do(20 * time.Second)
		assert.NilError(t, err)
		e.silence(0, tcpconn.ProbeLater+2*time.Second)
		time.Sleep(tcpconn.ProbeLater + 3*time.Second)
		_, err = e.do(20 * time.Second)
		assert.NilError(t, err)
		assert.Equal(t, e.pool.Opened(), uint64(2))
	})
}
