// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against an endpoint that receives the rest of a request after the request was
// withdrawn, against a reset for other causes, and against one that ends a response on
// another connection.
func TestResetOnDropsUndeliveredRequest(t *testing.T) {
	const errReset, errOther = errors.ConstError("reset"), errors.ConstError("other")
	for _, test := range []struct {
		cause error
		reset bool
	}{{errReset, true}, {errOther, false}} {
		proceed, ended := make(chan struct{}), make(chan error, 1)
		address := endpoint(t, func(n int, r *bufio.Reader, c *net.TCPConn) {
			if n == 0 { // its response is in progress
				readRequest(r)
				write(c, "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\n")
				<-proceed
				write(c, "body")
				return
			}
			<-proceed // the request stays in the kernel until then
			_, err := io.Copy(io.Discard, r)
			ended <- err
		})
		p := pool()
		other, err := p.Do(t.Context(), address, request("0"))
		assert.NilError(t, err)
		defer other.Close()

		ctx, cancel := context.WithCancelCause(t.Context())
		q := request("1")
		q.Method, q.Body, q.ResetOn = "POST", make([]byte, 32<<20), errReset
		time.AfterFunc(200*time.Millisecond, func() { cancel(test.cause) })
		_, err = p.Do(ctx, address, q)
		var failure *Error
		assert.Assert(t, errors.As(err, &failure) && failure.Sent && errors.Is(err, test.cause), "%v", err)
		close(proceed)
		assert.Equal(t, errors.Is(<-ended, syscall.ECONNRESET), test.reset, "%s", test.cause)
		body, err := io.ReadAll(other.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "body")
	}
}

// Guards against an endpoint that receives the rest of a request after its caller has left,
// although undelivered bytes were to be dropped, and against a reset where they are not.
func TestDropUndeliveredOnOtherCause(t *testing.T) {
	for _, drop := range []bool{true, false} {
		proceed, ended := make(chan struct{}), make(chan error, 1)
		address := endpoint(t, func(_ int, r *bufio.Reader, c *net.TCPConn) {
			<-proceed // the request stays in the kernel until then
			_, err := io.Copy(io.Discard, r)
			ended <- err
		})
		ctx, cancel := context.WithCancel(t.Context())
		q := request("1")
		q.Method, q.Body, q.DropUndelivered = "POST", make([]byte, 32<<20), func() bool { return drop }
		time.AfterFunc(200*time.Millisecond, cancel)
		_, err := pool().Do(ctx, address, q)
		assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
		close(proceed)
		assert.Equal(t, errors.Is(<-ended, syscall.ECONNRESET), drop)
	}
}
