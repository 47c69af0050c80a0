// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// windowBytes bounds what one end has sent and the other has not read yet.
	windowBytes = 64 << 10
	// segmentBytes is the largest part of a write that is sent as one.
	segmentBytes = 4 << 10
)

// Conn is an end of a connection. It implements net.Conn, sendbuffer.Socket,
// tcpconn.Peeker, tcpconn.SilenceAllower and tcpconn.Acknowledger.
type Conn struct {
	n             *Network
	box           *Box
	local, remote netip.AddrPort
	peer          *Conn
	// idle is the time without traffic before the first probe; 0 is no probes.
	idle time.Duration

	// changed is signaled when the fields below have changed. Network.mu guards them.
	changed sync.Cond
	// queue holds the segments that are on their way to the peer, in order. timer runs
	// deliver when the first arrives, unless the way to the peer is silent.
	queue []segment
	timer *time.Timer
	// unread is the number of bytes sent that the peer has not read.
	unread int
	// received holds the bytes to read; ended reports that the peer sends no more.
	received []byte
	ended    bool
	// failed reports that the connection has ended with an error at this end. failure is that
	// error until a call has received it, see takeFailureLocked.
	failed                  bool
	failure                 error
	closed                  bool
	writeClosed, readClosed bool
	abort                   bool // Close resets the connection
	readLimit, writeLimit   deadline
	// silent reports that what this end sends is lost for good.
	silent bool
	// silenceAllowed reports that this end does not give up on a silent peer. giveUpAt is
	// when it does; zero if the peer is reachable.
	silenceAllowed bool
	giveUpAt       time.Time
	giveUpTimer    *time.Timer
}

// deadline is the time from which reads or writes fail.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

// passed reports whether the deadline has passed.
func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// between reports whether the connection is one between two boxes.
func (c *Conn) between(a, b *Box) bool {
	return c.box == a && c.peer.box == b || c.box == b && c.peer.box == a
}

// opError returns err as an error of package net.
func (c *Conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case c.readLimit.passed():
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		case len(b) == 0:
			return 0, nil
		case len(c.received) > 0:
			k := copy(b, c.received)
			c.received = c.received[k:]
			c.peer.unread -= k
			c.peer.changed.Broadcast()
			return k, nil
		case c.ended || c.readClosed:
			return 0, io.EOF
		case c.failed:
			if err := c.takeFailureLocked(); err != nil {
				return 0, c.opError("read", err)
			}
			return 0, io.EOF
		}
		c.changed.Wait()
	}
}

// Write implements net.Conn. It blocks while the window is full.
func (c *Conn) Write(b []byte) (int, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	for written := 0; ; {
		if err := c.writeErrorLocked(); err != nil {
			return written, err
		}
		if c.writeLimit.passed() {
			return written, c.opError("write", os.ErrDeadlineExceeded)
		}
		written += c.writeNowLocked(b[written:])
		if written == len(b) {
			return written, nil
		}
		c.changed.Wait()
	}
}

// writeErrorLocked returns the error of writes. Network.mu is held.
func (c *Conn) writeErrorLocked() error {
	switch {
	case c.closed:
		return c.opError("write", net.ErrClosed)
	case c.failed:
		if err := c.takeFailureLocked(); err != nil {
			return c.opError("write", err)
		}
		return c.opError("write", syscall.EPIPE)
	case c.writeClosed:
		return c.opError("write", syscall.EPIPE)
	}
	return nil
}

// writeNowLocked sends what fits into the window. Network.mu is held.
func (c *Conn) writeNowLocked(b []byte) int {
	written := 0
	for written < len(b) && c.unread < windowBytes {
		k := min(len(b)-written, windowBytes-c.unread, segmentBytes)
		c.sendLocked(segment{data: append([]byte(nil), b[written:written+k]...)})
		written += k
	}
	return written
}

// WriteNow implements sendbuffer.Socket.
func (c *Conn) WriteNow(b []byte) (int, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if err := c.writeErrorLocked(); err != nil {
		return 0, err
	}
	return c.writeNowLocked(b), nil
}

// Peek implements tcpconn.Peeker.
func (c *Conn) Peek() (readable, closed bool) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if len(c.received) > 0 {
		return true, c.closed || c.failed || c.ended
	}
	if !c.ended {
		_ = c.takeFailureLocked() // the peek reports it as closed
	}
	return false, c.closed || c.failed || c.ended
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// setLocked sets a deadline. Network.mu is held.
func (c *Conn) setLocked(d *deadline, at time.Time) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if c.closed {
		return
	}
	if d.passed() {
		c.changed.Broadcast()
	} else if !at.IsZero() {
		d.timer = time.AfterFunc(time.Until(at), func() {
			c.n.mu.Lock()
			defer c.n.mu.Unlock()
			c.changed.Broadcast()
		})
	}
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.setLocked(&c.readLimit, t)
	c.setLocked(&c.writeLimit, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.setLocked(&c.readLimit, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.setLocked(&c.writeLimit, t)
	return nil
}
