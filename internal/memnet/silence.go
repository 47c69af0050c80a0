// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"syscall"
	"time"
)

// How long an end with keep-alive probes waits for a silent peer, as in package tcpconn:
// unackedTimeout for bytes that are not acknowledged, and the idle time with probeInterval
// otherwise.
const (
	unackedTimeout = 1500 * time.Millisecond
	probeInterval  = time.Second
)

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
