// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
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

// How long an end with keep-alive probes waits for a silent peer, as in package tcpconn:
// unackedTimeout for bytes that are not acknowledged, and the idle time with probeInterval
// otherwise.
const (
	unackedTimeout = 1500 * time.Millisecond
	probeInterval  = time.Second
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

// segment is a part of what an end sends.
type segment struct {
	data []byte
	last bool // the sender sends no more
	at   time.Time
	sent time.Time
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

// sendLocked sends a segment, which must fit into the window. Network.mu is held.
func (c *Conn) sendLocked(s segment) {
	n := c.n
	s.sent = time.Now()
	s.at = n.arrivalLocked(c.box, c.peer.box, len(s.data))
	for n.lostLocked(c.box, c.peer.box) {
		s.at = s.at.Add(retransmitDelay)
	}
	if k := len(c.queue); k > 0 && s.at.Before(c.queue[k-1].at) {
		s.at = c.queue[k-1].at
	}
	c.unread += len(s.data)
	c.queue = append(c.queue, s)
	if c.unreachableLocked() {
		c.giveUpLocked(s.sent.Add(unackedTimeout))
	}
	if len(c.queue) == 1 {
		c.deliverLocked()
	}
}

// deliverLocked passes the segments that have arrived to the peer, and sets the timer for
// the next one. Network.mu is held.
func (c *Conn) deliverLocked() {
	for len(c.queue) > 0 && !c.silentLocked() {
		s := c.queue[0]
		if wait := time.Until(s.at); wait > 0 {
			c.setTimerLocked(wait)
			return
		}
		c.queue = c.queue[1:]
		c.peer.receiveLocked(s)
	}
	c.forgetLocked()
}

// setTimerLocked runs deliverLocked after a time. Network.mu is held.
func (c *Conn) setTimerLocked(wait time.Duration) {
	if c.timer != nil {
		c.timer.Reset(wait)
		return
	}
	c.timer = time.AfterFunc(wait, func() {
		c.n.mu.Lock()
		defer c.n.mu.Unlock()
		c.deliverLocked()
	})
}

// receiveLocked takes a segment of the peer. Network.mu is held.
func (c *Conn) receiveLocked(s segment) {
	if c.failed {
		return
	}
	if c.closed && len(s.data) > 0 {
		c.resetLocked()
		return
	}
	if c.readClosed {
		c.peer.unread -= len(s.data)
	} else {
		c.received = append(c.received, s.data...)
	}
	c.ended = c.ended || s.last
	c.changed.Broadcast()
}

// resetLocked ends the connection at this end and resets the peer's after the delay of the
// way to it, unless that is silent. Segments that arrive before the reset are not lost.
// Network.mu is held.
func (c *Conn) resetLocked() {
	queue := c.queue
	c.failLocked(syscall.ECONNRESET)
	if c.silentLocked() {
		return
	}
	delay := c.n.delayLocked(c.box, c.peer.box)
	arrival := time.Now().Add(delay)
	c.queue = slices.DeleteFunc(queue, func(s segment) bool { return s.at.After(arrival) })
	time.AfterFunc(delay, func() {
		c.n.mu.Lock()
		defer c.n.mu.Unlock()
		c.deliverLocked()
		c.peer.failLocked(syscall.ECONNRESET)
	})
}

// failLocked ends the connection at this end with an error. What is on its way to the
// peer is lost. Network.mu is held.
func (c *Conn) failLocked(err error) {
	if !c.failed {
		c.failed, c.failure = true, err
		if c.ended {
			c.failure = syscall.EPIPE
		}
	}
	c.queue = nil
	c.giveUpAt = time.Time{}
	c.changed.Broadcast()
	c.forgetLocked()
}

// forgetLocked removes the end from the network once it has nothing more to send.
// Network.mu is held.
func (c *Conn) forgetLocked() {
	if (c.closed || c.failed) && len(c.queue) == 0 {
		delete(c.n.conns, c)
	}
}

// unreachableLocked reports whether the peer is out of reach in one direction or both, so
// that nothing is acknowledged. Network.mu is held.
func (c *Conn) unreachableLocked() bool {
	return c.silentLocked() || c.peer.silentLocked()
}

// silentLocked reports whether what this end sends is lost. Network.mu is held.
func (c *Conn) silentLocked() bool {
	return c.silent || c.n.silentLocked(c.box, c.peer.box)
}

// silencedLocked is called when a direction has become silent. Network.mu is held.
func (c *Conn) silencedLocked() {
	at := time.Now().Add(c.idle + probeInterval)
	if len(c.queue) > 0 {
		at = c.queue[0].sent.Add(unackedTimeout)
	}
	c.giveUpLocked(at)
}

// giveUpLocked ends this end at a time, unless the peer can be reached again before.
// Network.mu is held.
func (c *Conn) giveUpLocked(at time.Time) {
	if c.idle == 0 || c.silenceAllowed || c.failed || !c.giveUpAt.IsZero() && !at.Before(c.giveUpAt) {
		return
	}
	c.giveUpAt = at
	if c.giveUpTimer != nil {
		c.giveUpTimer.Stop()
	}
	c.giveUpTimer = time.AfterFunc(time.Until(at), func() {
		c.n.mu.Lock()
		defer c.n.mu.Unlock()
		if !c.giveUpAt.IsZero() && !time.Now().Before(c.giveUpAt) {
			c.failLocked(syscall.ETIMEDOUT)
		}
	})
}

// AllowSilence implements tcpconn.SilenceAllower.
func (c *Conn) AllowSilence(allow bool) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.silenceAllowed = allow
	switch {
	case allow:
		c.giveUpAt = time.Time{}
	case c.unreachableLocked():
		c.silencedLocked()
	}
}

// Unacknowledged implements tcpconn.Acknowledger. Bytes are acknowledged when they arrive,
// whatever the state of the way back.
func (c *Conn) Unacknowledged() int {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	total := 0
	for _, s := range c.queue {
		total += len(s.data)
	}
	return total
}

// restoredLocked is called when a direction is no longer silent. Network.mu is held.
func (c *Conn) restoredLocked() {
	if !c.unreachableLocked() {
		c.giveUpAt = time.Time{}
	}
	if len(c.queue) > 0 {
		c.setTimerLocked(retransmitDelay)
	}
}

// takeFailureLocked returns the error with which the connection has ended at this end, on its
// first call; nil later and if there is none. Like a socket of Linux, a Conn reports it to one
// call only, whether a read, a write or a peek. Network.mu is held.
func (c *Conn) takeFailureLocked() error {
	err := c.failure
	c.failure = nil
	return err
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

// Close implements net.Conn. If received bytes have not been read, the connection is
// reset, as by Linux.
func (c *Conn) Close() error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.closed = true
	for _, d := range []*deadline{&c.readLimit, &c.writeLimit} {
		if d.timer != nil {
			d.timer.Stop()
		}
	}
	switch {
	case c.failed:
	case c.abort || len(c.received) > 0:
		c.resetLocked()
	default:
		c.closeWriteLocked()
	}
	c.changed.Broadcast()
	c.forgetLocked()
	return nil
}

// closeWriteLocked sends the end of the stream. Network.mu is held.
func (c *Conn) closeWriteLocked() {
	if !c.writeClosed {
		c.writeClosed = true
		c.sendLocked(segment{last: true})
	}
}

// CloseWrite ends the stream to the peer, as for a *net.TCPConn.
func (c *Conn) CloseWrite() error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if err := c.writeErrorLocked(); err != nil {
		return err
	}
	c.closeWriteLocked()
	c.changed.Broadcast()
	return nil
}

// CloseRead implements sendbuffer.Socket.
func (c *Conn) CloseRead() error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.readClosed = true
	c.peer.unread -= len(c.received)
	c.received = nil
	c.peer.changed.Broadcast()
	c.changed.Broadcast()
	return nil
}

// SetLinger implements sendbuffer.Socket. With 0, Close resets the connection; other
// values have no effect.
func (c *Conn) SetLinger(seconds int) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.abort = seconds == 0
	return nil
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
