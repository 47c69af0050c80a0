// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/memnet"
)

// idleConnections leaves idle connections to the endpoint.
func (e *silentEndpoint) idleConnections(count int) {
	e.t.Helper()
	done := make(chan error, count)
	for range count {
		go func() {
			_, err := e.do(10 * time.Second)
			done <- err
		}()
	}
	for range count {
		assert.NilError(e.t, <-done)
	}
	assert.Equal(e.t, len(e.pool.idle[e.address]), count)
}

// Guards against requests that are sent on one idle connection after the other that has
// fallen silent for good, and reach nobody.
func TestConnectionsSilentForGoodTakeFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startSilentEndpoint(t, respondAfter(100*time.Millisecond, 0))
		other := *e
		other.address = "10.0.0.3:80"
		other.box = e.network.Box("10.0.0.3", "")
		serveOn(t, other.box, other.address, respondAfter(100*time.Millisecond, 0))
		third := *e
		third.address = "10.0.0.4:80"
		third.box = e.network.Box("10.0.0.4", "")
		serveOn(t, third.box, third.address, respondAfter(100*time.Millisecond, 0))
		for _, endpoint := range []*silentEndpoint{e, &other, &third} {
			endpoint.idleConnections(4)
		}
		e.gateway.SilenceConns()
		var lost atomic.Int64
		send := func(endpoint *silentEndpoint) {
			go func() {
				if _, err := endpoint.do(20 * time.Second); err != nil {
					lost.Add(1)
				}
			}()
		}
		send(e)
		send(&other)
		time.Sleep(ackTimeout + 10*time.Millisecond)
		for range 5 {
			send(e)
			send(&other)
			send(&third) // at this address nothing has been found silent
		}
		time.Sleep(time.Minute)
		assert.Equal(t, lost.Load(), int64(2))
	})
}

// serveOn starts an HTTP server.
func serveOn(t *testing.T, b *memnet.Box, address string, h http.HandlerFunc) {
	t.Helper()
	l, err := b.Listen(t.Context(), "tcp4", address, 0)
	assert.NilError(t, err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}

// Guards against connections that are closed because their box, which is then silent to new
// ones as well, acknowledges nothing for a while.
func TestSilentBoxKeepsIdleConnections(t *testing.T) {
	for _, silent := range []time.Duration{ackTimeout / 2, 900 * time.Millisecond} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := startSilentEndpoint(t, respondAfter(100*time.Millisecond, 0))
				e.pool.options.DialTimeout = 300 * time.Millisecond
				e.pool.dial = e.gateway.Dialer(300*time.Millisecond, 2*time.Second)
				e.idleConnections(3)
				e.silence(0, silent)
				time.Sleep(time.Millisecond)
				_, err := e.do(20 * time.Second)
				assert.NilError(t, err)
				assert.Equal(t, len(e.pool.idle[e.address]), 3)
			})
		})
	}
}
