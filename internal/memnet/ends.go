// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"net"
	"slices"
	"syscall"
	"time"
)

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
		if c.ended && err == syscall.ECONNRESET {
			err = syscall.EPIPE // after the peer's close
		}
		c.failed, c.failure = true, err
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

// takeFailureLocked returns the error with which the connection has ended at this end, on its
// first call; nil later and if there is none. Like a socket of Linux, a Conn reports it to one
// call only, whether a read, a write or a peek. Network.mu is held.
func (c *Conn) takeFailureLocked() error {
	err := c.failure
	c.failure = nil
	return err
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
