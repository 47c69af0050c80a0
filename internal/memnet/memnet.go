// SPDX-License-Identifier: Apache-2.0

// Package memnet is a network in memory for tests, mostly for those that run in a bubble
// of testing/synctest. Boxes have an address each and lie in regions. Traffic has a delay
// and takes up the links of the boxes and of each pair of regions. A lost segment of a
// connection is seen as the delay until it is sent again; a lost datagram is gone.
//
// What is simplified: an acknowledgment takes no time and no bandwidth, a segment waits at
// each link behind those sent before it, and a peer that reads nothing is never given up
// on.
package memnet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/network"
)

// retransmitDelay is the time after which a lost segment is sent again: the minimum of
// Linux.
const retransmitDelay = 200 * time.Millisecond

// firstPort is the first port that is assigned to a socket that asks for none.
const firstPort = 32768

// Config describes a network. The zero value has no delay, no loss and unlimited rates.
type Config struct {
	// Delay is the time from a box to another of the same region, and RegionDelay to
	// one of another region.
	Delay, RegionDelay time.Duration
	// BoxRate is the rate of a box's link, and RegionRate that of the link between two
	// regions, each way, in bytes per second; 0 is unlimited.
	BoxRate, RegionRate float64
	// Loss is the probability that a segment or datagram is lost.
	Loss float64
	// Seed is the seed of the losses.
	Seed uint64
}

// Network is a network in memory. It is safe for concurrent use. Use New.
type Network struct {
	mu     sync.Mutex
	config Config
	rng    *rand.Rand
	boxes  map[netip.Addr]*Box
	pairs  map[[2]string]*link // by the regions of sender and receiver
	// silent holds the addresses of senders and receivers between which nothing
	// arrives.
	silent    map[[2]netip.Addr]bool
	listeners map[netip.AddrPort]*listener
	sockets   map[netip.AddrPort]*datagramConn
	conns     map[*Conn]struct{}
	nextPort  uint16
}

// New returns a network without boxes.
func New(c Config) *Network {
	return &Network{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 0)), boxes: make(map[netip.Addr]*Box), pairs: make(map[[2]string]*link),
		silent: make(map[[2]netip.Addr]bool), listeners: make(map[netip.AddrPort]*listener), sockets: make(map[netip.AddrPort]*datagramConn),
		conns: make(map[*Conn]struct{}), nextPort: firstPort,
	}
}

// Box is a machine of a network. It implements network.Network.
type Box struct {
	n        *Network
	ip       netip.Addr
	region   string
	up, down link
}

// Box adds a box with an IPv4 address, in a region, and returns it. It panics if the
// address is invalid or taken.
func (n *Network) Box(ip, region string) *Box {
	b := &Box{n: n, ip: netip.MustParseAddr(ip), region: region}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.boxes[b.ip] != nil {
		panic("memnet: box " + ip + " exists")
	}
	b.up.rate, b.down.rate = n.config.BoxRate, n.config.BoxRate
	n.boxes[b.ip] = b
	return b
}

// link is a link that sends one segment after the other.
type link struct {
	rate   float64 // in bytes per second, 0 is unlimited
	freeAt time.Time
}

// reserve returns when a segment that reaches the link at a time has passed it.
func (l *link) reserve(at time.Time, bytes int) time.Time {
	if l.rate <= 0 {
		return at
	}
	if l.freeAt.Before(at) {
		l.freeAt = at
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return l.freeAt
}

// SetRate sets the rate of the box's link in bytes per second; 0 is unlimited.
func (b *Box) SetRate(rate float64) {
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	b.up.rate, b.down.rate = rate, rate
}

// SetRegionRate sets the rate of the link from a region to another in bytes per second; 0
// is unlimited.
func (n *Network) SetRegionRate(from, to string, rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pairLocked(from, to).rate = rate
}

// pairLocked returns the link from a region to another. Network.mu is held.
func (n *Network) pairLocked(from, to string) *link {
	key := [2]string{from, to}
	if n.pairs[key] == nil {
		n.pairs[key] = &link{rate: n.config.RegionRate}
	}
	return n.pairs[key]
}

// delayLocked returns the delay from a box to another. Network.mu is held.
func (n *Network) delayLocked(from, to *Box) time.Duration {
	switch {
	case from == to:
		return 0
	case from.region == to.region:
		return n.config.Delay
	default:
		return n.config.RegionDelay
	}
}

// arrivalLocked returns when bytes that are sent now arrive, unless they are lost. It
// takes up the links on their way. Network.mu is held.
func (n *Network) arrivalLocked(from, to *Box, bytes int) time.Time {
	at := time.Now()
	if from == to {
		return at
	}
	at = from.up.reserve(at, bytes)
	if from.region != to.region {
		at = n.pairLocked(from.region, to.region).reserve(at, bytes)
	}
	return to.down.reserve(at, bytes).Add(n.delayLocked(from, to))
}

// lostLocked draws whether a segment or datagram is lost. Network.mu is held.
func (n *Network) lostLocked(from, to *Box) bool {
	return from != to && n.config.Loss > 0 && n.rng.Float64() < n.config.Loss
}

// SetLoss sets the probability that a segment or datagram is lost.
func (n *Network) SetLoss(loss float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.config.Loss = loss
}

// Silence makes everything get lost that is sent from a box to another. Connections stay
// open until an end gives up.
func (n *Network) Silence(from, to *Box) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[[2]netip.Addr{from.ip, to.ip}] = true
	for c := range n.conns {
		if c.between(from, to) {
			c.silencedLocked()
		}
	}
}

// Restore ends what Silence began. What connections hold is then sent again.
func (n *Network) Restore(from, to *Box) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.silent, [2]netip.Addr{from.ip, to.ip})
	for c := range n.conns {
		if c.between(from, to) {
			c.restoredLocked()
		}
	}
}

// SilenceConns makes everything get lost that is sent on the open connections of the box, in
// both directions and for good. New connections work.
func (b *Box) SilenceConns() {
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	for c := range b.n.conns {
		if c.box == b {
			c.silent, c.peer.silent = true, true
			c.silencedLocked()
			c.peer.silencedLocked()
		}
	}
}

// Reset resets all connections of the box. Its own ends fail at once.
func (b *Box) Reset() {
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	for c := range b.n.conns {
		if c.box == b {
			c.resetLocked()
		}
	}
}

// silentLocked reports whether what is sent from a box to another is lost. Network.mu is
// held.
func (n *Network) silentLocked(from, to *Box) bool {
	return n.silent[[2]netip.Addr{from.ip, to.ip}]
}

// bindLocked returns the address of a new socket of the box. taken reports whether an
// address is in use. Network.mu is held.
func (b *Box) bindLocked(address string, taken func(netip.AddrPort) bool) (netip.AddrPort, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return netip.AddrPort{}, err
	}
	at := netip.AddrPortFrom(b.ip, uint16(number))
	if host != b.ip.String() {
		return at, syscall.EADDRNOTAVAIL
	}
	if number == 0 {
		return b.assignLocked(), nil
	}
	if taken(at) {
		return at, syscall.EADDRINUSE
	}
	return at, nil
}

// assignLocked returns an address with a port that has not been assigned before.
// Network.mu is held.
func (b *Box) assignLocked() netip.AddrPort {
	b.n.nextPort = max(b.n.nextPort+1, firstPort) // wraps around
	return netip.AddrPortFrom(b.ip, b.n.nextPort)
}

// Listen implements network.Network.
func (b *Box) Listen(_ context.Context, family, address string, idle time.Duration) (net.Listener, error) {
	n := b.n
	n.mu.Lock()
	defer n.mu.Unlock()
	at, err := b.bindLocked(address, func(a netip.AddrPort) bool { return n.listeners[a] != nil })
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: family, Err: err}
	}
	l := &listener{box: b, at: at, idle: idle}
	l.changed.L = &n.mu
	n.listeners[at] = l
	return l, nil
}

// listener implements net.Listener.
type listener struct {
	box     *Box
	at      netip.AddrPort
	idle    time.Duration
	changed sync.Cond // of the fields below
	waiting []*Conn   // not accepted yet
	closed  bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.box.n.mu.Lock()
	defer l.box.n.mu.Unlock()
	for !l.closed && len(l.waiting) == 0 {
		l.changed.Wait()
	}
	if l.closed {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
	}
	c := l.waiting[0]
	l.waiting = l.waiting[1:]
	return c, nil
}

// Close implements net.Listener. Connections that are not accepted yet are reset.
func (l *listener) Close() error {
	n := l.box.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.closed {
		return &net.OpError{Op: "close", Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
	}
	l.closed = true
	delete(n.listeners, l.at)
	for _, c := range l.waiting {
		c.resetLocked()
	}
	l.waiting = nil
	l.changed.Broadcast()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }

// Dialer implements network.Network.
func (b *Box) Dialer(timeout, idle time.Duration) network.DialFunc {
	return func(ctx context.Context, family, address string) (net.Conn, error) {
		if timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		c, err := b.dial(ctx, address, idle)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: family, Err: err}
		}
		return c, nil
	}
}

// dial opens a connection, which takes a round trip.
func (b *Box) dial(ctx context.Context, address string, idle time.Duration) (*Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	for {
		if err := sleep(ctx, b.roundTrip(to.Addr())); err != nil {
			return nil, err
		}
		c, err := b.connect(to, idle)
		if !errors.Is(err, errLost) {
			return c, err
		}
		if err := sleep(ctx, retransmitDelay); err != nil {
			return nil, err
		}
	}
}

// errLost means that a packet of a handshake was lost.
const errLost = errors.ConstError("lost")

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return os.ErrDeadlineExceeded
		}
		return ctx.Err()
	}
}

// roundTrip returns the time to a box and back.
func (b *Box) roundTrip(to netip.Addr) time.Duration {
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	if box := b.n.boxes[to]; box != nil {
		return 2 * b.n.delayLocked(b, box)
	}
	return retransmitDelay
}

// connect makes the two ends of a connection.
func (b *Box) connect(to netip.AddrPort, idle time.Duration) (*Conn, error) {
	n := b.n
	n.mu.Lock()
	defer n.mu.Unlock()
	box := n.boxes[to.Addr()]
	if box == nil || n.silentLocked(b, box) || n.silentLocked(box, b) || n.lostLocked(b, box) || n.lostLocked(box, b) {
		return nil, errLost
	}
	l := n.listeners[to]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	from := b.assignLocked()
	c := &Conn{n: n, box: b, local: from, remote: to, idle: idle}
	c.peer = &Conn{n: n, box: box, local: to, remote: from, idle: l.idle, peer: c}
	for _, end := range []*Conn{c, c.peer} {
		end.changed.L = &n.mu
		n.conns[end] = struct{}{}
	}
	l.waiting = append(l.waiting, c.peer)
	l.changed.Signal()
	return c, nil
}
