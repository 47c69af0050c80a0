// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/network"
)

// Guards against a gateway that exceeds its memory because an endpoint in trouble sends bytes
// without end in place of a response: each form must fail soon, with little memory used.
func TestEndlessHeadIsBounded(t *testing.T) {
	const maxAllocated = 40 * network.MaxResponseHeadBytes // by this process, which is the endpoint, too
	for name, test := range map[string]struct{ first, then string }{
		"no line end":             {"", "\x00garbled"},
		"status line":             {"HTTP/1.1 200 ", "OK"},
		"value of a header":       {"HTTP/1.1 200 OK\r\nA: ", "aaaaaaaa"},
		"name of a header":        {"HTTP/1.1 200 OK\r\n", "aaaaaaaa"},
		"headers":                 {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"continued header":        {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"headers, informational":  {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
		"empty lines":             {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan error, 1)
			address := endpoint(t, func(_ int, r *bufio.Reader, c *net.TCPConn) {
				readRequest(r)
				write(c, test.first)
				part := []byte(strings.Repeat(test.then, 4096/len(test.then)))
				_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
				for {
					if _, err := c.Write(part); err != nil {
						closed <- err
						return
					}
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := exchange(t, pool(), address, request("1"))
			runtime.ReadMemStats(&after)
			var failure *Error
			assert.Assert(t, errors.As(err, &failure) && failure.Sent, "%v", err)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxAllocated, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
			err = <-closed
			var timeout net.Error
			assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the connection stays open")
		})
	}
}

// A head of just the permitted size is read.
func TestLargeHeadIsRead(t *testing.T) {
	address := endpoint(t, func(_ int, r *bufio.Reader, c *net.TCPConn) {
		for q := readRequest(r); q != nil; q = readRequest(r) {
			rest := strings.TrimPrefix(rawResponse("1", "ok"), "HTTP/1.1 200 OK\r\n")
			padding := network.MaxResponseHeadBytes - len("HTTP/1.1 200 OK\r\nA: \r\n") - len(rest) + len("ok")
			write(c, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("a", padding)+"\r\n"+rest)
		}
	})
	p := pool()
	for range 2 {
		body, err := exchange(t, p, address, request("1"))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}

// Guards against callers that get a status that is none, such as 000, and against a wait for
// another response after one whose status looks informational.
func TestInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "101", "600", "777", "999", "+20", "1000", "2", "OK"} {
		t.Run(status, func(t *testing.T) {
			done := make(chan struct{})
			defer close(done)
			address := endpoint(t, func(_ int, r *bufio.Reader, c *net.TCPConn) {
				readRequest(r)
				write(c, fmt.Sprintf("HTTP/1.1 %s Trouble\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", status))
				<-done
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := pool().Do(ctx, address, request("1"))
			var failure *Error
			assert.Assert(t, errors.As(err, &failure) && failure.Sent, "%v", err)
			assert.Assert(t, !errors.Is(err, context.DeadlineExceeded))
		})
	}
}

// Guards against a response that looks whole although its endpoint has stopped within its head:
// with a part of a header left out, the rest could count as a body without a length.
func TestHeadCutAnywhereIsAnError(t *testing.T) {
	for _, framing := range []string{"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"} {
		head := "HTTP/1.1 200 OK\r\nId: 1\r\n" + framing + "A: b\r\n\r\n"
		for end := range len(head) {
			for _, reset := range []bool{false, true} {
				address := endpoint(t, func(_ int, r *bufio.Reader, c *net.TCPConn) {
					readRequest(r)
					write(c, head[:end])
					if reset {
						_ = c.SetLinger(0)
					}
				})
				_, err := exchange(t, pool(), address, request("1"))
				assert.Assert(t, err != nil, "cut after %q", head[:end])
			}
		}
	}
}
