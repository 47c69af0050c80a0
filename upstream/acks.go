// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"context"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/tcpconn"
)

// Open connections may fall silent for good, without a reset, while new ones work. An idle
// one among them would take a request that reaches nobody.
const (
	// ackTimeout is the time without any acknowledgment of a request after which its
	// connection may be silent for good. It covers one retransmission.
	ackTimeout = 400 * time.Millisecond
	// silenceWindow is the time within which silent connections to several addresses are
	// taken to have the same cause.
	silenceWindow = time.Second
)

// checkAcks closes the idle connections to the address of c if c, on which a request was
// sent ackTimeout ago, is silent for good: nothing of the request is acknowledged, although a
// new connection can be opened. If that cannot be, the box or the way to it is silent, and
// nothing is closed. The request itself goes on in both cases.
func (c *conn) checkAcks() {
	p := c.pool
	if !c.unacknowledged() || !p.beginProbe(c.address) {
		return
	}
	defer p.endProbe(c.address)
	fresh, err := p.open(context.Background(), c.address)
	if err != nil {
		return
	}
	if c.unacknowledged() {
		p.recordSilence(c.address, clock.Now())
	}
	fresh.putIdle(clock.Now(), p.options.IdleTimeout)
}

// unacknowledged reports whether nothing of a request that was written completely is
// acknowledged.
func (c *conn) unacknowledged() bool {
	written := c.written.Load()
	return written > 0 && int64(tcpconn.Unacknowledged(c.Conn)) >= written
}

// beginProbe returns false if a connection to the address is being opened by checkAcks.
func (p *Pool) beginProbe(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing[address] {
		return false
	}
	p.probing[address] = true
	return true
}

// endProbe ends what beginProbe began.
func (p *Pool) endProbe(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.probing, address)
}

// recordSilence closes the idle connections to an address after a connection to it has
// fallen silent for good. If that has happened to those of several addresses, it closes all
// idle connections.
func (p *Pool) recordSilence(address string, now time.Time) {
	p.mu.Lock()
	several := p.silent != "" && p.silent != address && now.Sub(p.silentAt) < silenceWindow
	p.silent, p.silentAt = address, now
	p.mu.Unlock()
	if several {
		p.CloseAllIdle()
		return
	}
	p.CloseIdle(address)
}
