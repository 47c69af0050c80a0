// SPDX-License-Identifier: Apache-2.0

// Package upstream is an HTTP/1.1 client for endpoints. It sends each request at most
// once, and if a request fails, it reports whether bytes of it may have been sent.
//
// The client has its own connection pool, because the Transport of net/http retries
// requests by itself and does not report whether a request was sent. net/http still
// writes the headers and parses the responses.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/network"
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

// Options configure a Pool.
type Options struct {
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections per address.
	MaxIdle int
	// Network opens the connections; nil stands for the operating system's.
	Network network.Network
}

// maxFreshIdle is the maximum idle time of a connection for Request.Fresh.
const maxFreshIdle = 700 * time.Millisecond

const (
	readBufferBytes = 4 << 10
	// maxInlineBody is the largest body, in bytes, that is written completely before
	// the response is read. It must fit into the socket's send buffer.
	maxInlineBody = 16 << 10
)

// Pool sends requests and keeps idle connections for reuse. It is safe for concurrent
// use. Use NewPool.
type Pool struct {
	options Options
	dial    network.DialFunc
	mu      sync.Mutex
	idle    map[string][]*conn // idle connections by address, the most recently used last
	opened  uint64             // number of dials
	// probing holds the addresses to which checkAcks opens a connection. silent is the
	// address to which a connection was last found silent, at silentAt.
	probing  map[string]bool
	silent   string
	silentAt time.Time
}

// conn is a connection of a Pool.
type conn struct {
	net.Conn
	pool      *Pool
	address   string
	reader    *bufio.Reader
	limiter   *headLimiter
	idleSince time.Time // when the connection became idle
	idleUntil time.Time // when its idle timeout expires
	once      sync.Once // of closeOnce
	// written is the size of the request, in bytes, once it has been written.
	written atomic.Int64
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	p := &Pool{
		options: o,
		dial:    network.OrSystem(o.Network).Dialer(o.DialTimeout, tcpconn.ProbeLater),
		idle:    make(map[string][]*conn),
		probing: make(map[string]bool),
	}
	return p
}

// Opened returns the number of dials so far, failed ones included.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// takeIdle removes a usable idle connection to the address from the pool and returns
// it, or nil if there is none. It closes unusable connections that it finds. fresh is
// as in Request.Fresh.
func (p *Pool) takeIdle(address string, fresh bool, now time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if fresh && now.Sub(c.idleSince) > maxFreshIdle || now.After(c.idleUntil) || !c.openAndIdle() {
			c.closeOnce()
			continue
		}
		return c
	}
}

// openAndIdle reports whether the connection is open and has no unread bytes.
func (c *conn) openAndIdle() bool { return c.reader.Buffered() == 0 && tcpconn.OpenAndIdle(c.Conn) }

// open opens a connection to the address. It does not add it to the idle ones.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limiter := &headLimiter{conn: raw}
	c := &conn{Conn: raw, pool: p, address: address, reader: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter}
	return c, nil
}

// closeOnce closes the connection on the first call and has no effect on later ones.
func (c *conn) closeOnce() {
	c.once.Do(func() { _ = c.Close() })
}

// closeFor is like closeOnce, for the end of the context of q. Undelivered bytes are
// dropped if q requires that for the cause.
func (c *conn) closeFor(cause error, q *Request) {
	drop := q.ResetOn != nil && errors.Is(cause, q.ResetOn) || q.DropUndelivered != nil && q.DropUndelivered()
	c.once.Do(func() {
		if drop {
			tcpconn.DropUndelivered(c.Conn)
		}
		_ = c.Close()
	})
}

// putIdle returns a connection to the pool, in which it may stay idle for lifetime. It
// closes the connection if the address already has MaxIdle idle connections.
func (c *conn) putIdle(now time.Time, lifetime time.Duration) {
	p := c.pool
	c.idleSince = now
	c.idleUntil = now.Add(lifetime)
	tcpconn.AllowSilence(c.Conn, false)
	p.mu.Lock()
	if len(p.idle[c.address]) >= p.options.MaxIdle {
		p.mu.Unlock()
		c.closeOnce()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

// CloseIdle closes the idle connections to an address. It is for use after a
// connection to the address became unresponsive: the idle connections likely are
// unresponsive, too, and each would delay a request until its timeout.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	connections := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range connections {
		c.closeOnce()
	}
}

// CloseAllIdle closes all idle connections to free their file descriptors.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.closeOnce()
		}
	}
}

// Sweep closes the connections whose idle timeout has expired at now.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.idleUntil) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.closeOnce()
	}
}

// Response is a response whose body has not been read. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
	Body   io.Reader

	conn      *conn
	head      *http.Response
	write     *requestWrite
	stopWatch func() bool // stops watching the context; returns false if its end has closed the connection
	bodyRead  bool        // set by MarkBodyRead
	once      sync.Once   // of Close
}

// MarkBodyRead records that the body has been read to its end, so that Close may
// return the connection to the pool.
func (r *Response) MarkBodyRead() { r.bodyRead = true }

// Close ends the exchange. It returns the connection to the pool if the body was read
// to its end and the connection is reusable; else it closes the connection. Closing it
// before the end of the body makes the endpoint stop the request.
func (r *Response) Close() {
	r.once.Do(func() {
		notCancelled := r.stopWatch()
		if !notCancelled || !r.bodyRead || !r.reusable() {
			r.conn.closeOnce()
			return
		}
		r.conn.putIdle(clock.Now(), r.idleLifetime())
	})
}

// EndsWithConnection reports whether the end of the connection is the end of the body,
// since the response has neither a length nor chunks.
func (r *Response) EndsWithConnection() bool {
	return r.head.ContentLength < 0 && len(r.head.TransferEncoding) == 0 && r.head.Body != http.NoBody
}

// reusable reports whether the connection can carry another request. It can if the
// request was written completely, the length of the response body was delimited, no
// bytes follow the body, and the endpoint keeps the connection open.
func (r *Response) reusable() bool {
	if r.head.Close || r.conn.reader.Buffered() > 0 || r.EndsWithConnection() {
		return false
	}
	written, err := r.write.ended()
	return written && err == nil
}

// WriteState tells how far the request has been written: "complete", "in progress", "stopped"
// since the response had ended, or the error that ended the write.
func (r *Response) WriteState() string {
	switch ended, err := r.write.ended(); {
	case !ended:
		return "in progress"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "stopped"
	case err != nil:
		return err.Error()
	default:
		return "complete"
	}
}

// idleLifetime returns the idle timeout of the connection. It is the pool's timeout, or
// a lower one that the response's Keep-Alive header requests.
func (r *Response) idleLifetime() time.Duration {
	// margin is how long before the endpoint's timeout this client closes the connection.
	const margin = 500 * time.Millisecond
	lifetime := r.conn.pool.options.IdleTimeout
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			lifetime = min(lifetime, time.Duration(s)*time.Second-margin)
		}
	}
	return lifetime
}

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

// Connect opens a connection to the address, which stays idle until a request needs it.
func (p *Pool) Connect(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	c.putIdle(clock.Now(), p.options.IdleTimeout)
	return nil
}

// Refuses reports whether the address refuses connections, which shows that no process
// listens there. It returns false if the dial times out.
func (p *Pool) Refuses(ctx context.Context, address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := p.open(ctx, address)
	if err == nil {
		c.closeOnce()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
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
