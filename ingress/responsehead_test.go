// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// respondRaw reads a request and writes a response as is: text is formatted with the name and
// the value of the request's ID and the name of the seal. It returns false if there is no request.
func respondRaw(c *net.TCPConn, text string, length int) bool {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	raw := fmt.Sprintf(text, testHeaders.RequestID, r.Header.Get(testHeaders.RequestID), testHeaders.Seal)
	if length < 0 {
		length += len(raw)
	}
	_, _ = io.WriteString(c, raw[:min(length, len(raw))])
	return true
}

// headPaths are paths of requests, with the services of their routes.
var headPaths = map[string]string{"/safe/1": "plain", "/unsafe/1": "plain", "/stream/1": "engine"}

// Guards against callers that get a success with an empty or a short body, framed as whole,
// from an endpoint that stops within the head of its response.
func TestResponseCutInHeadIsAFailure(t *testing.T) {
	for path, service := range headPaths {
		for _, framing := range []string{"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", ""} {
			if path != "/unsafe/1" && framing != "" {
				continue // requests that are tried again take longer
			}
			text := "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n" + framing + "\r\n"
			// The cuts are in the end of the head, in a header and in the status line.
			for _, length := range []int{-1, -2, -3, -4, -len(framing) - 1, -len(framing) - 2, -len(framing) - 7, 17, 15, 12, 1, 0} {
				t.Run(fmt.Sprintf("%s %q %d", path, framing, length), func(t *testing.T) {
					t.Parallel()
					g := newTestGateway(t)
					g.configure(1)
					g.startNarrowEndpoint("e", service, func(c *net.TCPConn) { respondRaw(c, text, length) })
					r, err := g.send(t.Context(), "POST", path, "text")
					assert.NilError(t, err)
					defer func() { _ = r.Body.Close() }()
					assert.Equal(t, r.StatusCode, http.StatusBadGateway)
				})
			}
		}
	}
}

// Guards against callers that get a status that is none, or that wait until their deadline
// although the endpoint has responded.
func TestResponseWithInvalidStatusIsAFailure(t *testing.T) {
	const text = " Trouble\r\n%s: %s\r\n%s: seal\r\nContent-Length: 4\r\n\r\ntext"
	for path, service := range headPaths {
		for _, status := range []string{"000", "099", "101", "600", "777", "999"} {
			t.Run(path+" "+status, func(t *testing.T) {
				t.Parallel()
				g := newTestGateway(t)
				g.configure(1)
				g.startNarrowEndpoint("e", service, func(c *net.TCPConn) {
					if respondRaw(c, "HTTP/1.1 "+status+text, 1<<10) {
						_, _ = io.Copy(io.Discard, c) // until the gateway closes
					}
				})
				r, err := g.send(t.Context(), "POST", path, "text")
				assert.NilError(t, err)
				defer func() { _ = r.Body.Close() }()
				assert.Equal(t, r.StatusCode, http.StatusBadGateway) // 504 after the timeout
			})
		}
	}
}
