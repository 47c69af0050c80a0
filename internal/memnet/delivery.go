// SPDX-License-Identifier: Apache-2.0

package memnet

import "time"

// segment is a part of what an end sends.
type segment struct {
	data []byte
	last bool // the sender sends no more
	at   time.Time
	sent time.Time
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
