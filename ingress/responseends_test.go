// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
)

// Parts of the rows of TestResponseEnds. docs/design/response-ends.md describes them.
const (
	framingLength   = "length"
	framingChunks   = "chunks"
	framingUnframed = "unframed"

	requestSent   = "request sent"    // the endpoint has read the request
	requestReadOn = "request read on" // it reads the rest after a part of the response
	requestUnread = "request unread"  // it never reads the rest

	endClose      = "close" // of the endpoint's side
	endReset      = "reset"
	endCloseReset = "close, then reset"

	afterHead  = "after the head"
	inside     = "inside"         // of the body or of an event
	betweenTwo = "between events" // of a stream
	afterAll   = "after all"
)

// responseEnd is a way in which a response ends.
type responseEnd struct {
	stream                      bool
	framing, request, end, when string
}

func (e responseEnd) String() string {
	return strings.Join([]string{map[bool]string{true: "stream", false: "plain"}[e.stream], e.framing, e.request, e.end, e.when}, "/")
}

// responseEnds returns all rows.
func responseEnds() (out []responseEnd) {
	for _, framing := range []string{framingLength, framingChunks, framingUnframed} {
		for _, request := range []string{requestSent, requestReadOn, requestUnread} {
			for _, end := range []string{endClose, endReset, endCloseReset} {
				for _, when := range []string{afterHead, inside, afterAll} {
					out = append(out, responseEnd{false, framing, request, end, when}, responseEnd{true, framing, request, end, when})
				}
				out = append(out, responseEnd{true, framing, request, end, betweenTwo})
			}
		}
	}
	return out
}

// body returns what the endpoint sends of a body until the response ends.
func (e responseEnd) body() string {
	whole, parts := "text", map[string]string{inside: "te"}
	if e.stream {
		const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
		whole, parts = first+second, map[string]string{inside: first + second[:8], betweenTwo: first}
	}
	parts[afterAll] = whole
	return parts[e.when]
}

// wholeLength is the length of the whole body.
func (e responseEnd) wholeLength() int {
	e.when = afterAll
	return len(e.body())
}

// complete reports whether the response is complete.
func (e responseEnd) complete() bool {
	switch {
	case e.stream && e.when == afterHead:
		return false // a stream has events
	case e.framing != framingUnframed:
		return e.when == afterAll
	case e.stream && e.when == inside:
		return false
	default:
		return e.end != endReset
	}
}

// text returns what the endpoint writes after the request ID in the head.
func (e responseEnd) text() string {
	body := e.body()
	switch e.framing {
	case framingLength:
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", e.wholeLength(), body)
	case framingChunks:
		text := "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		if e.when == afterAll {
			text += "0\r\n\r\n"
		}
		return text
	default:
		return "\r\n" + body
	}
}

// serve responds to a request on a connection, and returns when the response has ended. held
// is closed when the test has ended.
func (e responseEnd) serve(c *net.TCPConn, held <-chan struct{}) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if e.request == requestSent {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n%s", testHeaders.RequestID, r.Header.Get(testHeaders.RequestID), testHeaders.Seal, e.text())
	time.Sleep(30 * time.Millisecond) // the caller's request is being written
	if e.request == requestReadOn {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if e.end != endReset {
		_ = c.CloseWrite()
	}
	switch e.end {
	case endClose:
		<-held
	case endCloseReset:
		time.Sleep(30 * time.Millisecond)
		_ = c.SetLinger(0)
	case endReset:
		_ = c.SetLinger(0)
	}
}

// Guards against a response that ends early and reaches the caller as complete, and against a
// complete one that is lost or held back.
func TestResponseEnds(t *testing.T) {
	for _, row := range responseEnds() {
		t.Run(row.String(), func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t)
			g.configure(1, route(routing.Streaming, "/once/", "engine", 1))
			held := make(chan struct{})
			defer close(held)
			path, service, body := "/unsafe/1", "plain", "short"
			if row.stream {
				path, service = "/once/1", "engine"
			}
			if row.request != requestSent {
				body = strings.Repeat("x", 1<<20)
			}
			g.startNarrowEndpoint("e", service, func(c *net.TCPConn) { row.serve(c, held) })
			began := time.Now()
			r, err := g.send(t.Context(), "POST", path, body)
			assert.NilError(t, err)
			got, err := io.ReadAll(r.Body)
			_ = r.Body.Close()
			assert.Assert(t, time.Since(began) < time.Second, "%s", time.Since(began))
			switch {
			case row.complete():
				assert.NilError(t, err)
				assert.Equal(t, r.StatusCode, http.StatusOK)
				assert.Equal(t, string(got), row.body())
			case row.stream && row.when != afterHead:
				assert.Assert(t, err != nil)
				assert.Equal(t, r.StatusCode, http.StatusOK)
			default:
				assert.NilError(t, err)
				assert.Equal(t, r.StatusCode, http.StatusBadGateway)
			}
			s := g.server.suspects.Status(quarantine.Traits{Identity: requestIdentity(path, body)}, time.Now())
			assert.Assert(t, !s.Suspected(), "the endpoint has not crashed")
		})
	}
}

// Guards against a stream that is broken off and looks complete to a caller of HTTP/1.0, for
// whom the end of the connection is the end of the response.
func TestBrokenOffStreamLooksIncompleteToHTTP10Caller(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1, route(routing.Streaming, "/once/", "engine", 1))
	row := responseEnd{true, framingChunks, requestSent, endReset, betweenTwo}
	g.startNarrowEndpoint("e", "engine", func(c *net.TCPConn) { row.serve(c, nil) })
	c, err := net.Dial("tcp4", strings.TrimPrefix(g.address, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /once/1 HTTP/1.0\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n%s: id\r\nContent-Length: 1\r\n\r\nx", testKey, testHeaders.RequestID)
	assert.NilError(t, err)
	got, err := io.ReadAll(c)
	assert.Assert(t, strings.Contains(string(got), "data: a"), "%s", got)
	assert.Assert(t, err != nil, "the connection ends with a close")
}
