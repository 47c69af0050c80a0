// SPDX-License-Identifier: Apache-2.0

// Package upstream sends requests to endpoints over HTTP/1.1 and says
// exactly how far each got.
//
// net/http's Transport replays requests by itself and hides whether a
// request left; both cost a promise here (docs/HOUSE-STYLE.md). So
// connections are kept here; heads are written and read by net/http.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/tcpconn"
)

// Errors of this package.
const (
	// ErrForeign says that only answers to other requests came.
	ErrForeign = errors.ConstError("the endpoint answered another request")
	// ErrWithheld says that Request.Proceed forbade to send the request.
	ErrWithheld = errors.ConstError("the endpoint may not get the request any more")
)

// Error is an attempt that brought no answer.
type Error struct {
	// Sent says that bytes of the request may have reached the endpoint; if
	// false, the request has certainly not run there.
	Sent bool
	Err  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("upstream (sent %t): %v", e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is what goes to an endpoint.
type Request struct {
	Method string
	// URI is the request target as the caller wrote it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Accept says whether an answer's head belongs to this request.
	Accept func(http.Header) bool
	// Fresh asks for a connection that has hardly rested, because the
	// request must not be lost to one that is being closed.
	Fresh bool
	// Proceed is asked once there is a connection, right before the request is
	// written: time has passed since the endpoint was chosen. Nil is yes.
	Proceed func() bool
}

// Options of a Pool.
type Options struct {
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may rest.
	IdleTimeout time.Duration
	// MaxIdle bounds the resting connections of an endpoint.
	MaxIdle int
}

// freshIdle is how long a connection may have rested for Request.Fresh.
const freshIdle = 700 * time.Millisecond

const (
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is
	// read; it fits the socket's buffer.
	inlineBody = 16 << 10
	// maxForeign bounds the surplus answers that are skipped, and
	// maxForeignBytes the size of each.
	maxForeign      = 3
	maxForeignBytes = 1 << 20
)

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  *net.Dialer
	mu      sync.Mutex
	idle    map[string][]*conn
	opened  uint64
}

type conn struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	// restedAt is when the connection was put back; expires bounds its rest.
	restedAt time.Time
	expires  time.Time
	closed   sync.Once
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	p := &Pool{
		options: o,
		dialer:  tcpconn.Dialer(o.DialTimeout, tcpconn.ProbeLater),
		idle:    make(map[string][]*conn),
	}
	return p
}

// Opened is the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// take returns a resting connection, or nil.
func (p *Pool) take(address string, fresh bool, now time.Time) *conn {
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
		if fresh && now.Sub(c.restedAt) > freshIdle || now.After(c.expires) || !c.quiet() {
			c.end()
			continue
		}
		return c
	}
}

// quiet reports whether a resting connection is open and has sent nothing.
func (c *conn) quiet() bool { return c.reader.Buffered() == 0 && tcpconn.Quiet(c.Conn) }

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, pool: p, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}
	return c, nil
}

func (c *conn) end() {
	c.closed.Do(func() { _ = c.Close() })
}

// rest puts a connection back.
func (c *conn) rest(now time.Time, life time.Duration) {
	p := c.pool
	c.restedAt = now
	c.expires = now.Add(life)
	p.mu.Lock()
	if len(p.idle[c.address]) >= p.options.MaxIdle {
		p.mu.Unlock()
		c.end()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

// Forget closes the resting connections to an address: one of its connections
// went silent, and those that rest would, each, hold up a request for as long.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	resting := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range resting {
		c.end()
	}
}

// ForgetAll closes all resting connections, for the sake of their descriptors.
func (p *Pool) ForgetAll() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.end()
		}
	}
}

// Sweep closes connections that have rested too long.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.expires) {
				old = append(old, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		c.end()
	}
}

// Response is an answer whose body is still to be read. Close must follow.
type Response struct {
	Status int
	Header http.Header
	// Length of the body, or -1.
	Length int64
	Body   io.Reader

	conn    *conn
	head    *http.Response
	written <-chan error
	stop    func() bool
	whole   bool
	once    sync.Once
}

// Whole says that the body was read to its end, so that the connection may
// be kept.
func (r *Response) Whole() { r.whole = true }

// Close ends the exchange; a connection whose answer was not read to its
// end is closed, which tells the endpoint to stop.
func (r *Response) Close() {
	r.once.Do(func() {
		live := r.stop()
		if !live || !r.whole || !r.reusable() {
			r.conn.end()
			return
		}
		r.conn.rest(clock.Now(), r.restLife())
	})
}

func (r *Response) reusable() bool {
	if r.head.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.head.ContentLength < 0 && len(r.head.TransferEncoding) == 0 {
		return false
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// restLife is how long the connection may rest by the endpoint's word.
func (r *Response) restLife() time.Duration {
	const margin = 500 * time.Millisecond
	life := r.conn.pool.options.IdleTimeout
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			life = min(life, time.Duration(s)*time.Second-margin)
		}
	}
	return life
}

// Do sends a request and reads the head of its answer. When ctx ends, the
// connection is closed, also while the body is read. An error is an *Error.
func (p *Pool) Do(ctx context.Context, address string, q *Request) (*Response, error) {
	c := p.take(address, q.Fresh, clock.Now())
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, &Error{Err: err}
		}
	}
	if q.Proceed != nil && !q.Proceed() {
		c.end()
		return nil, &Error{Err: ErrWithheld}
	}
	stop := context.AfterFunc(ctx, c.end)
	r, err := c.exchange(q)
	if err != nil {
		stop()
		c.end()
		if timedOut(err) {
			p.Forget(address)
		}
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Sent: true, Err: err}
	}
	r.stop = stop
	return r, nil
}

// Refuses reports whether nothing listens at an address, as after the end of a
// process; a dial without an answer within timeout does not say that.
func (p *Pool) Refuses(ctx context.Context, address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err == nil {
		c.end()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// timedOut reports whether a connection was found to have gone silent.
func timedOut(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

func (c *conn) exchange(q *Request) (*Response, error) {
	written := make(chan error, 1)
	if len(q.Body) <= inlineBody {
		err := c.write(q)
		if err != nil {
			return nil, err
		}
		written <- nil
	} else {
		go func() { written <- c.write(q) }()
	}
	head, err := c.readHead(q)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, Body: head.Body,
		conn: c, head: head, written: written,
	}, nil
}

func (c *conn) write(q *Request) error {
	w := bufio.NewWriterSize(c.Conn, 2<<10)
	_, _ = fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.URI, q.Host)
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n", len(q.Body))
	}
	_ = q.Header.Write(w)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(q.Body)
	return w.Flush() // reports the first error of all writes
}

// readHead reads answers until one belongs to the request.
func (c *conn) readHead(q *Request) (*http.Response, error) {
	method := &http.Request{Method: q.Method}
	for range maxForeign {
		head, err := http.ReadResponse(c.reader, method)
		if err != nil {
			return nil, err
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		if q.Accept == nil || q.Accept(head.Header) {
			return head, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || head.Close {
			return nil, ErrForeign
		}
	}
	return nil, ErrForeign
}
