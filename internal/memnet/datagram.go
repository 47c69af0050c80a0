// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/mintlift/mintlift/internal/network"
)

// maxWaitingDatagrams is the number of datagrams that a socket holds; further ones are
// lost.
const maxWaitingDatagrams = 512

// datagram is a received datagram.
type datagram struct {
	from netip.AddrPort
	data []byte
}

// datagramConn implements network.DatagramConn.
type datagramConn struct {
	box     *Box
	at      netip.AddrPort
	changed sync.Cond // of the fields below
	waiting []datagram
	closed  bool
}

// ListenDatagrams implements network.Network.
func (b *Box) ListenDatagrams(address string) (network.DatagramConn, error) {
	n := b.n
	n.mu.Lock()
	defer n.mu.Unlock()
	at, err := b.bindLocked(address, func(a netip.AddrPort) bool { return n.sockets[a] != nil })
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: err}
	}
	d := &datagramConn{box: b, at: at}
	d.changed.L = &n.mu
	n.sockets[at] = d
	return d, nil
}

// failure returns the error of an operation on a closed socket.
func (d *datagramConn) failure(op string) error {
	return &net.OpError{Op: op, Net: "udp", Source: d.LocalAddr(), Err: net.ErrClosed}
}

// ReadFromUDPAddrPort implements network.DatagramConn. What does not fit into b is lost.
func (d *datagramConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	d.box.n.mu.Lock()
	defer d.box.n.mu.Unlock()
	for !d.closed && len(d.waiting) == 0 {
		d.changed.Wait()
	}
	if d.closed {
		return 0, netip.AddrPort{}, d.failure("read")
	}
	first := d.waiting[0]
	d.waiting = d.waiting[1:]
	return copy(b, first.data), first.from, nil
}

// WriteToUDPAddrPort implements network.DatagramConn.
func (d *datagramConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := d.box.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if d.closed {
		return 0, d.failure("write")
	}
	box := n.boxes[to.Addr()]
	if box == nil || n.silentLocked(d.box, box) || n.lostLocked(d.box, box) {
		return len(b), nil
	}
	sent := datagram{d.at, bytes.Clone(b)}
	time.AfterFunc(time.Until(n.arrivalLocked(d.box, box, len(b))), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if s := n.sockets[to]; s != nil && len(s.waiting) < maxWaitingDatagrams {
			s.waiting = append(s.waiting, sent)
			s.changed.Signal()
		}
	})
	return len(b), nil
}

// LocalAddr implements network.DatagramConn.
func (d *datagramConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(d.at) }

// Close implements network.DatagramConn.
func (d *datagramConn) Close() error {
	d.box.n.mu.Lock()
	defer d.box.n.mu.Unlock()
	if d.closed {
		return d.failure("close")
	}
	d.closed = true
	delete(d.box.n.sockets, d.at)
	d.changed.Broadcast()
	return nil
}
