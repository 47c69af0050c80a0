// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/network"
)

// Errors of a response's head. An endpoint in trouble may send any bytes, also without end.
const (
	// ErrHeadTooLarge reports that the head of a response exceeds
	// network.MaxResponseHeadBytes.
	ErrHeadTooLarge = errors.ConstError("the head of the response is too large")
	// ErrInvalidStatus reports a status code that no response has.
	ErrInvalidStatus = errors.ConstError("the response has an invalid status code")
)

// Bounds on the responses that are read for one request.
const (
	// maxMismatched is the maximum number of responses that are read for one request.
	// Responses that do not belong to the request are skipped.
	maxMismatched = 3
	// maxMismatchedBytes bounds the body of a skipped response.
	maxMismatchedBytes = 1 << 20
	// maxInformational is the maximum number of informational responses.
	maxInformational = 16
)

// headLimiter reads from a connection. While a head is read, it bounds the bytes.
type headLimiter struct {
	conn net.Conn
	// left is the number of bytes that may be read while limited is set.
	left    int
	limited bool
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.left == 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// readHead reads responses until one belongs to the request, and returns its head. It
// skips informational and mismatched responses.
func (c *conn) readHead(q *Request) (*http.Response, error) {
	method := &http.Request{Method: q.Method}
	informational := 0
	for mismatched := 0; mismatched < maxMismatched; {
		head, err := c.readOneHead(method)
		if err != nil {
			return nil, err
		}
		if head.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				return nil, ErrMismatched
			}
			continue
		}
		if q.Accept == nil || q.Accept(head.Header) {
			return head, nil
		}
		mismatched++
		n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxMismatchedBytes))
		if err != nil || n == maxMismatchedBytes || head.Close {
			return nil, ErrMismatched
		}
	}
	return nil, ErrMismatched
}

// readOneHead reads the head of the next response.
func (c *conn) readOneHead(method *http.Request) (*http.Response, error) {
	c.limiter.left, c.limiter.limited = network.MaxResponseHeadBytes, true
	head, err := http.ReadResponse(c.reader, method)
	c.limiter.limited = false
	if err != nil {
		return nil, err
	}
	if !validStatus(head.StatusCode) {
		return nil, errors.WithType(fmt.Errorf("status %03d", head.StatusCode), ErrInvalidStatus)
	}
	return head, nil
}

// validStatus reports whether a status code is one of RFC 9110. A change of the protocol is
// never requested, so that its status is not valid either.
func validStatus(code int) bool {
	return code >= 100 && code <= 599 && code != http.StatusSwitchingProtocols
}
