// SPDX-License-Identifier: Apache-2.0

// Package network opens the listeners, connections and datagram sockets of a process.
// Programs use those of the operating system; tests can pass a network in memory.
package network

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/tcpconn"
)

// MaxResponseHeadBytes bounds the head of a response of any process: the status line and the
// headers. Another process may send bytes without end, and one connection must not use up the
// memory of a box that has hundreds.
const MaxResponseHeadBytes = 64 << 10

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Network opens listeners, connections and datagram sockets. It is safe for concurrent
// use.
//
// Connections from a Dialer or listener with an idle time other than 0 fail when the peer
// becomes unresponsive; idle is the time without traffic before the first keep-alive
// probe. See package tcpconn. With an idle time of 0, the defaults of package net apply.
type Network interface {
	// Listen listens for connections at an address, IP:PORT. With an idle time, the
	// address is an IPv4 address.
	Listen(ctx context.Context, network, address string, idle time.Duration) (net.Listener, error)
	// Dialer returns a function that opens connections; timeout bounds each dial.
	Dialer(timeout, idle time.Duration) DialFunc
	// ListenDatagrams opens a socket for datagrams at an IPv4 address, IP:PORT.
	ListenDatagrams(address string) (DatagramConn, error)
}

// DatagramConn is the part of *net.UDPConn that this project uses.
type DatagramConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// System is the network of the operating system.
type System struct{}

// OrSystem returns n, or the network of the operating system if n is nil.
func OrSystem(n Network) Network {
	if n == nil {
		return System{}
	}
	return n
}

// Listen implements Network.
func (System) Listen(ctx context.Context, network, address string, idle time.Duration) (net.Listener, error) {
	if idle > 0 {
		return tcpconn.Listen(ctx, address, idle)
	}
	var config net.ListenConfig
	return config.Listen(ctx, network, address)
}

// Dialer implements Network.
func (System) Dialer(timeout, idle time.Duration) DialFunc {
	if idle > 0 {
		return tcpconn.Dialer(timeout, idle).DialContext
	}
	return (&net.Dialer{Timeout: timeout}).DialContext
}

// ListenDatagrams implements Network.
func (System) ListenDatagrams(address string) (DatagramConn, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return conn, nil
}
