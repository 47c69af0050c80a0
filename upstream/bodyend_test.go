// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// unframedHead is the head of a response with neither a length nor chunks.
const unframedHead = "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n"

// longRequest returns a request that fills the socket buffers of both sides.
func longRequest() *Request {
	q := request("1")
	q.Body = make([]byte, 32<<20)
	return q
}

// reset resets a connection.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against a reset response that passes for complete: the write of the request may
// receive the error of the reset, and the read of the response then returns EOF.
func TestResetDuringRequestDoesNotCompleteResponse(t *testing.T) {
	for name, sent := range map[string]string{"after the head": unframedHead, "within the body": unframedHead + "half"} {
		t.Run(name, func(t *testing.T) {
			proceed, wasReset := make(chan struct{}), make(chan struct{})
			address := endpoint(t, func(_ int, _ *bufio.Reader, c *net.TCPConn) {
				write(c, sent)
				<-proceed
				reset(c)
				close(wasReset)
			})
			r, err := pool().Do(t.Context(), address, longRequest())
			assert.NilError(t, err)
			defer r.Close()
			close(proceed)
			<-wasReset
			time.Sleep(50 * time.Millisecond) // the write meets the reset before the read does
			for range 2 {
				_, err = io.ReadAll(r.Body)
				assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
			}
		})
	}
}

// Guards against a complete response that is lost or held back because its endpoint has not
// read the request to its end.
func TestResponseIsCompleteWithoutRestOfRequest(t *testing.T) {
	const framedHead = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n"
	hold := func(t *testing.T) func(*net.TCPConn) {
		held := make(chan struct{})
		t.Cleanup(func() { close(held) })
		return func(*net.TCPConn) { <-held }
	}
	closeSide := func(c *net.TCPConn) { _ = c.CloseWrite() }
	readAll := func(c *net.TCPConn) { readRequest(bufio.NewReader(c)) }
	pause := func(*net.TCPConn) { time.Sleep(50 * time.Millisecond) }
	for _, test := range []struct {
		name string
		head string
		end  []func(*net.TCPConn)
	}{
		{"close of one side", unframedHead, []func(*net.TCPConn){closeSide, hold(t)}},
		{"close of one side, then a reset by unread bytes", unframedHead, []func(*net.TCPConn){closeSide, pause}},
		{"close of one side, then a reset", unframedHead, []func(*net.TCPConn){closeSide, pause, reset}},
		{"close with a length", framedHead, []func(*net.TCPConn){closeSide, hold(t)}},
		{"connection kept with a length", framedHead, []func(*net.TCPConn){hold(t)}},
		{"reset after a whole body with a length", framedHead, []func(*net.TCPConn){pause, reset}},
		{"close after the request", unframedHead, []func(*net.TCPConn){readAll}},
	} {
		for _, late := range []time.Duration{0, 200 * time.Millisecond} {
			t.Run(test.name+", read after "+late.String(), func(t *testing.T) {
				address := endpoint(t, func(_ int, _ *bufio.Reader, c *net.TCPConn) {
					write(c, test.head+"text")
					for _, step := range test.end {
						step(c)
					}
				})
				r, err := pool().Do(t.Context(), address, longRequest())
				assert.NilError(t, err)
				defer r.Close()
				time.Sleep(late)
				began := time.Now()
				body, err := io.ReadAll(r.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "text")
				assert.Assert(t, time.Since(began) < time.Second)
			})
		}
	}
}
