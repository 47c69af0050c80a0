// SPDX-License-Identifier: Apache-2.0

// Package upstream is an HTTP/1.1 client for endpoints. It sends each request at most
// once, and if a request fails, it reports whether bytes of it may have been sent.
//
// The client has its own connection pool, because the Transport of net/http retries
// requests by itself and does not report whether a request was sent. net/http still
// writes the headers and parses the responses.
package upstream

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/tcpconn"
)

// Errors of this package.
const (
	// ErrMismatched reports that only responses to other requests were received.
	ErrMismatched = errors.ConstError("the endpoint answered another request")
	// ErrWithheld reports that the request was not sent, because Request.Proceed
	// returned false.
	ErrWithheld = errors.ConstError("the endpoint may not get the request any more")
)

// Error is the error of an attempt that received no response.
type Error struct {
	// Sent is true if bytes of the request may have reached the endpoint. If Sent is
	// false, the endpoint certainly did not run the request.
	Sent bool
	Err  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("upstream (sent %t): %v", e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is a request to an endpoint.
type Request struct {
	Method string
	// URI is the request target, sent unaltered.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Accept reports whether a response with the given header belongs to this
	// request. Nil accepts every response.
	Accept func(http.Header) bool
	// Fresh requires a new connection, or a pooled one that has been idle for at most
	// maxFreshIdle. The endpoint might be closing a connection that was idle longer.
	Fresh bool
	// Proceed is called right before the request is written to a connection. It reports
	// whether the request may still be sent. Nil permits every request.
	Proceed func() bool
	// ResetOn is the cause of the end of the context that withdraws the request: bytes of
	// it that the endpoint has not acknowledged are then dropped, by a reset of the
	// connection. For other causes, and if it is nil, the connection is closed, and the
	// kernel may still deliver them, unless DropUndelivered returns true.
	ResetOn error
	// DropUndelivered is called when the context ends with a cause other than ResetOn. It
	// reports whether bytes that the endpoint has not acknowledged are to be dropped all
	// the same. Nil stands for false.
	DropUndelivered func() bool
	// Delivery, if not nil, tells about the request once it is sent.
	Delivery *Delivery
}

// Delivery tells whether a request has reached its endpoint's box. The zero value is that of
// a request that has not been sent. It is safe for concurrent use.
type Delivery struct {
	sent atomic.Pointer[sentOn]
}

// sentOn is the connection on which a request is sent, and since when.
type sentOn struct {
	conn *conn
	at   time.Time
}

// Unacknowledged returns for how long the endpoint's box has acknowledged nothing of the
// request; 0 if it has acknowledged a part.
func (d *Delivery) Unacknowledged(now time.Time) time.Duration {
	s := d.sent.Load()
	if s == nil || !s.conn.unacknowledged() {
		return 0
	}
	return now.Sub(s.at)
}

const (
	readBufferBytes = 4 << 10
	// maxInlineBody is the largest body, in bytes, that is written completely before
	// the response is read. It must fit into the socket's send buffer.
	maxInlineBody = 16 << 10
)

// Do sends a request, at most once, and reads the head of its response. When ctx is
// done, the connection is closed, even while the caller reads the body. Until then, an
// unresponsive peer does not end the request: the endpoint may complete it after a pause.
// Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, address string, q *Request) (*Response, error) {
	c := p.takeIdle(address, q.Fresh, clock.Now())
	if c == nil {
		var err error
		if c, err = p.open(ctx, address); err != nil {
			return nil, &Error{Err: err}
		}
	}
	if q.Proceed != nil && !q.Proceed() {
		c.closeOnce()
		return nil, &Error{Err: ErrWithheld}
	}
	tcpconn.AllowSilence(c.Conn, true)
	if q.Delivery != nil {
		q.Delivery.sent.Store(&sentOn{c, clock.Now()})
	}
	stopWatch := context.AfterFunc(ctx, func() { c.closeFor(context.Cause(ctx), q) })
	c.written.Store(0)
	ackCheck := time.AfterFunc(ackTimeout, c.checkAcks)
	r, err := c.exchange(q)
	ackCheck.Stop()
	if err != nil {
		stopWatch()
		c.closeOnce()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Sent: true, Err: err}
	}
	r.stopWatch = stopWatch
	return r, nil
}

// exchange writes a request and reads the head of its response.
func (c *conn) exchange(q *Request) (*Response, error) {
	write, err := c.startWrite(q)
	if err != nil {
		return nil, err
	}
	head, err := c.readHead(q)
	if err != nil {
		return nil, err
	}
	r := &Response{
		Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, Body: head.Body,
		conn: c, head: head, write: write,
	}
	if r.EndsWithConnection() {
		r.Body = &unframedBody{body: head.Body, write: write}
	}
	return r, nil
}
