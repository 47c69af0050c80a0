// SPDX-License-Identifier: Apache-2.0

// Package sendbuffer keeps callers that read slowly from holding up the gateway. What a
// caller has not read yet is buffered here, so that the gateway reads on at the endpoint:
// an endpoint whose response is left unread for some seconds breaks it off.
//
// The buffers are bounded for each connection and for the process. A write to a connection
// whose buffer is full waits. If the buffers of all connections exceed the bound of the
// process, the connection that has been behind for the longest time is closed.
package sendbuffer

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
)

// Errors of writes to a connection.
const (
	// ErrEvicted means that the connection was closed because the buffers of all
	// connections were full and this one had been behind for the longest time.
	ErrEvicted = errors.ConstError("slow reader closed: send buffers full")
	// ErrStalled means that the other side has read nothing for stallTimeout.
	ErrStalled = errors.ConstError("slow reader closed: nothing read in time")
)

const (
	// maxConnBytes bounds the buffer of one connection.
	maxConnBytes = 64 << 10
	// chunkBytes is the size of a write to the socket, and of a part of a buffer.
	chunkBytes = 4 << 10
	// stallTimeout is how long the other side may read nothing while bytes wait.
	stallTimeout = 10 * time.Second
)

// Pool bounds the buffers of all connections of a process. It is safe for concurrent use.
//
// Lock order: Conn.mu before Pool.mu.
type Pool struct {
	limit            int
	onEvict, onStall func(remote string, buffered int, behind time.Duration)

	mu    sync.Mutex
	total int
	// behind holds the connections with a non-empty buffer, by the time since when it has
	// not been empty.
	behind map[*Conn]time.Time
}

// NewPool returns a pool of at most limit bytes. onEvict, if not nil, is called when a
// connection is closed because the pool is full: with its address, the size of its buffer
// in bytes, and for how long it has been behind.
func NewPool(limit int, onEvict func(remote string, buffered int, behind time.Duration)) *Pool {
	return &Pool{limit: limit, onEvict: onEvict, behind: make(map[*Conn]time.Time)}
}

// OnStall sets a function that is called when a connection is closed because the other side
// has read nothing in time, with the arguments of NewPool's onEvict. It must be called before
// Listen.
func (p *Pool) OnStall(f func(remote string, buffered int, behind time.Duration)) { p.onStall = f }

// Buffered returns the number of connections with a non-empty buffer, and the bytes in
// all buffers.
func (p *Pool) Buffered() (connections, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.behind), p.total
}

// add counts n more bytes in the buffer of c. If the pool is full, it returns the
// connection to close.
func (p *Pool) add(c *Conn, n int, now time.Time) (evict *Conn, behind time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total += n
	if _, known := p.behind[c]; !known {
		p.behind[c] = now
	}
	if p.total <= p.limit {
		return nil, 0
	}
	oldest := now
	for other, since := range p.behind {
		if evict == nil || since.Before(oldest) {
			evict, oldest = other, since
		}
	}
	return evict, now.Sub(oldest)
}

// remove counts n fewer bytes in the buffer of c. empty reports that none are left.
func (p *Pool) remove(c *Conn, n int, empty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total -= n
	if empty {
		delete(p.behind, c)
	}
}

// behindFor returns for how long a connection has had a non-empty buffer.
func (p *Pool) behindFor(c *Conn, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, behind := p.behind[c]
	if !behind {
		return 0
	}
	return now.Sub(since)
}

// Listen wraps a listener: the connections that it accepts have buffers of the pool.
func (p *Pool) Listen(l net.Listener) net.Listener { return &listener{l, p} }

// listener implements Pool.Listen.
type listener struct {
	net.Listener
	pool *Pool
}

// Accept implements net.Listener. Connections that are neither TCP connections nor
// Sockets are not buffered.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket, ok := c.(Socket)
	if tcp, isTCP := c.(*net.TCPConn); isTCP {
		raw, err := tcp.SyscallConn()
		if err != nil {
			return c, nil
		}
		socket, ok = &tcpSocket{tcp, raw}, true
	}
	if !ok {
		return c, nil
	}
	out := &Conn{socket: socket, pool: l.pool}
	out.room.L = &out.mu
	return out, nil
}

// Socket is a connection that can be written to without blocking.
type Socket interface {
	net.Conn
	// WriteNow writes as much of b as the connection takes without blocking, maybe
	// nothing.
	WriteNow(b []byte) (int, error)
	// CloseRead and SetLinger are as for a *net.TCPConn.
	CloseRead() error
	SetLinger(seconds int) error
}

// tcpSocket implements Socket for a TCP connection.
type tcpSocket struct {
	*net.TCPConn
	raw syscall.RawConn
}

// SyscallConn implements syscall.Conn without the allocation of *net.TCPConn's.
func (s *tcpSocket) SyscallConn() (syscall.RawConn, error) { return s.raw, nil }

// Conn is a Socket with a send buffer. It implements net.Conn.
type Conn struct {
	socket Socket
	pool   *Pool

	mu sync.Mutex
	// room is signaled when the buffer has shrunk or writes have failed.
	room sync.Cond
	// buffer holds the bytes that are not written to the socket yet, in order.
	buffer [][]byte
	size   int // of buffer, in bytes
	// draining is set while a goroutine runs drain. There is one at most: two would send
	// the same bytes.
	draining bool
	// err is the error of further writes.
	err error
	// closing reports that Close was called; the connection is closed once the buffer is
	// empty.
	closing bool
}

// Write implements net.Conn. It writes what the socket takes at once and buffers the
// rest. It blocks while the buffer is full.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	for c.err == nil && c.size > 0 && c.size+len(b) > maxConnBytes {
		c.room.Wait()
	}
	if c.err != nil {
		defer c.mu.Unlock()
		return 0, c.err
	}
	written := 0
	if c.size == 0 {
		written, c.err = c.socket.WriteNow(b)
	}
	if c.err != nil || written == len(b) {
		defer c.mu.Unlock()
		return written, c.err
	}
	now := clock.Now()
	start := !c.draining
	c.draining = true
	c.appendLocked(b[written:])
	evict, behind := c.pool.add(c, len(b)-written, now)
	c.mu.Unlock()
	if start {
		go c.drain()
	}
	if evict != nil {
		evict.evict(behind)
	}
	return len(b), nil
}

// WriteNow implements Socket.
func (s *tcpSocket) WriteNow(b []byte) (n int, err error) {
	failure := s.raw.Write(func(fd uintptr) bool {
		n, err = syscall.Write(int(fd), b)
		return true
	})
	switch {
	case failure != nil:
		return 0, failure
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return 0, nil
	case err != nil:
		return 0, errors.Annotate(err, "write")
	}
	return n, nil
}

// appendLocked appends a copy of b to the buffer. Conn.mu must be held.
func (c *Conn) appendLocked(b []byte) {
	c.size += len(b)
	for len(b) > 0 {
		n := min(len(b), chunkBytes)
		c.buffer = append(c.buffer, append([]byte(nil), b[:n]...))
		b = b[n:]
	}
}

// drain writes the buffer to the socket until it is empty or a write fails.
func (c *Conn) drain() {
	for {
		c.mu.Lock()
		if c.err != nil || c.size == 0 {
			closing := c.closing
			c.draining = false
			c.mu.Unlock()
			if closing {
				_ = c.socket.Close()
			}
			return
		}
		chunk := c.buffer[0]
		c.mu.Unlock()
		_ = c.socket.SetWriteDeadline(clock.ToMonotonic(clock.Now().Add(stallTimeout)))
		n, err := c.socket.Write(chunk)
		_ = c.socket.SetWriteDeadline(time.Time{})
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			err = nil
			if n == 0 {
				n, err = c.retryStalled(chunk)
			}
		}
		c.drained(n, err)
	}
}

// retryStalled writes what the socket takes without blocking, after nothing could be written
// for stallTimeout. If this process paused meanwhile, the other side may have read. It
// returns ErrStalled if the socket still takes nothing.
func (c *Conn) retryStalled(chunk []byte) (int, error) {
	n, err := c.socket.WriteNow(chunk)
	if n == 0 && err == nil {
		err = ErrStalled
	}
	return n, err
}

// drained removes n written bytes from the front of the buffer. If err is not nil, no
// more can be written: the buffer is dropped.
func (c *Conn) drained(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return // dropped meanwhile
	}
	if err != nil {
		size, behind := c.size, c.pool.behindFor(c, clock.Now())
		c.failLocked(err)
		if c.pool.onStall != nil && errors.Is(err, ErrStalled) {
			c.pool.onStall(c.RemoteAddr().String(), size, behind)
		}
		return
	}
	c.buffer[0] = c.buffer[0][n:]
	if len(c.buffer[0]) == 0 {
		c.buffer = c.buffer[1:]
	}
	c.size -= n
	c.pool.remove(c, n, c.size == 0)
	c.room.Broadcast()
}

// failLocked drops the buffer and lets writes fail with err. Conn.mu must be held.
func (c *Conn) failLocked(err error) {
	c.pool.remove(c, c.size, true)
	c.err, c.buffer, c.size = err, nil, 0
	c.room.Broadcast()
	_ = c.socket.SetLinger(0) // a truncated response must not look complete
	_ = c.socket.Close()
}

// evict closes the connection to free its buffer.
func (c *Conn) evict(behind time.Duration) {
	c.mu.Lock()
	size := c.size
	if c.err == nil {
		c.failLocked(ErrEvicted)
	}
	c.mu.Unlock()
	if c.pool.onEvict != nil {
		c.pool.onEvict(c.RemoteAddr().String(), size, behind)
	}
}

// Close implements net.Conn. If bytes are buffered, reads end at once, and the connection
// is closed when the other side has read them, or has stalled.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && c.size > 0 {
		c.closing = true
		return c.socket.CloseRead()
	}
	if c.err == nil {
		c.err = net.ErrClosed
	}
	return c.socket.Close()
}

// Unbuffered returns the connection without its send buffer. See package tcpconn.
func (c *Conn) Unbuffered() net.Conn { return c.socket }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) { return c.socket.Read(b) }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.socket.RemoteAddr() }

// SetDeadline implements net.Conn. It applies to reads only: writes to the socket have a
// timeout of their own.
func (c *Conn) SetDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. It has no effect.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
