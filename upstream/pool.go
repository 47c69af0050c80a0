// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/internal/tcpconn"
)

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
