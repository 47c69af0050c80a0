// SPDX-License-Identifier: Apache-2.0

// Package tcpconn detects unusable TCP connections. Either the peer has closed the
// connection, or the peer became unresponsive without a reset, which only timeouts and
// keep-alive probes reveal.
package tcpconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Settings for the detection of unresponsive peers.
const (
	// userTimeout bounds how long sent bytes may remain unacknowledged. Without
	// this bound, TCP retransmits for minutes.
	userTimeout = 1500 * time.Millisecond
	// silenceTimeout and silenceProbeCount replace userTimeout and probeCount while
	// AllowSilence applies. silenceTimeout exceeds the usual time of requests;
	// silenceProbeCount is the largest value that Linux takes.
	silenceTimeout    = 10 * time.Minute
	silenceProbeCount = 127
	// slowReaderTimeout replaces userTimeout for callers. The timeout also runs while
	// the peer's receive window is zero, and callers may read slowly.
	slowReaderTimeout = 10 * time.Second
	// probeInterval is the interval of keep-alive probes on an idle connection, in
	// whole seconds. On Linux, an unresponsive peer is detected probeInterval after
	// the first probe, because of userTimeout.
	probeInterval = time.Second
	// probeCount is the number of unanswered probes that close a connection on
	// systems without TCP_USER_TIMEOUT.
	probeCount = 2
)

// How long a connection must be idle before its first keep-alive probe.
const (
	// ProbeSoon is for connections on which a process waits for updates. An
	// unresponsive peer is detected within 2 s.
	ProbeSoon = time.Second
	// ProbeLater is for connections on which a response may take long. A lost probe
	// closes the connection unless AllowSilence applies, so probes start later here.
	ProbeLater = 2 * time.Second
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 18

// keepAlive returns the keep-alive settings of connections; idle is the idle time before
// the first probe.
func keepAlive(idle time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: probeInterval, Count: probeCount}
}

// Dialer returns a dialer whose connections fail when the peer becomes
// unresponsive. timeout bounds the dial; idle is the idle time before the first
// keep-alive probe.
func Dialer(timeout, idle time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(idle), Control: control(userTimeout)}
}

// Listen listens on an IPv4 address. Accepted connections inherit the socket
// options of the listener and fail when the peer becomes unresponsive; idle is
// the idle time before the first keep-alive probe. A peer that does not read
// counts as unresponsive after slowReaderTimeout.
func Listen(ctx context.Context, address string, idle time.Duration) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(idle), Control: control(slowReaderTimeout)}
	l, err := config.Listen(ctx, "tcp4", address)
	return l, errors.Trace(err)
}

// control returns a function that sets the TCP user timeout of a new socket.
func control(timeout time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { setUserTimeout(fd, timeout) })
	}
}

// setUserTimeout sets the TCP user timeout of a socket, as far as the system has the option.
// Without it, the timeouts of calls detect an unresponsive peer.
func setUserTimeout(fd uintptr, timeout time.Duration) {
	_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout/time.Millisecond))
}

// AllowSilence sets whether a connection of a Dialer stays open while its peer is
// unresponsive. A client allows that while a request is in progress, which the peer may
// still complete, and bounds the request itself. Keep-alive probes go on, so that a peer
// that no longer knows the connection resets it. It has no effect on connections that are
// neither TCP connections nor SilenceAllowers.
func AllowSilence(c net.Conn, allow bool) {
	if a, ok := c.(SilenceAllower); ok {
		a.AllowSilence(allow)
		return
	}
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	timeout, probes := userTimeout, probeCount
	if allow {
		timeout, probes = silenceTimeout, silenceProbeCount
	}
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		setUserTimeout(fd, timeout)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, probes) // as setUserTimeout
	})
}

// SilenceAllower is a connection that is no socket of the operating system and implements
// AllowSilence itself.
type SilenceAllower interface{ AllowSilence(allow bool) }

// connState is the state of a connection's receive side, as returned by peek.
type connState int

const (
	unknown  connState = iota // not a TCP connection, or not open here
	idle                      // open, nothing to read
	readable                  // bytes to read
	closed                    // the other side has closed or reset it
)

// Peeker is a connection that is no socket of the operating system and returns its state
// itself.
type Peeker interface {
	// Peek reports whether bytes wait to be read and, if there are none, whether the
	// peer has closed or reset the connection. It does not block.
	Peek() (readable, closed bool)
}

// peek returns the state of a connection without consuming bytes. It may be
// called while another goroutine is blocked in Read.
func peek(c net.Conn) connState {
	if wrapper, ok := c.(interface{ Unbuffered() net.Conn }); ok {
		c = wrapper.Unbuffered()
	}
	if p, ok := c.(Peeker); ok {
		return peekerState(p)
	}
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return unknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return unknown
	}
	found := unknown
	var one [1]byte
	// RawConn.Control, unlike RawConn.Read, does not wait for a concurrent reader.
	err = raw.Control(func(fd uintptr) {
		n, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case e == syscall.EAGAIN:
			found = idle
		case e == nil && n > 0:
			found = readable
		default:
			found = closed
		}
	})
	if err != nil {
		return unknown
	}
	return found
}

// peekerState returns the state of a Peeker.
func peekerState(p Peeker) connState {
	switch hasBytes, ended := p.Peek(); {
	case hasBytes:
		return readable
	case ended:
		return closed
	default:
		return idle
	}
}

// Closed reports whether the peer has closed or reset c. It returns false while bytes
// that the peer sent before are unread, and if c is neither a TCP
// connection nor a Peeker, nor a wrapper of one with the method Unbuffered. It makes one
// system call for a TCP connection.
func Closed(c net.Conn) bool { return peek(c) == closed }

// OpenAndIdle reports whether c is open and has no unread bytes. It returns true for the
// connections whose state Closed does not know.
func OpenAndIdle(c net.Conn) bool {
	s := peek(c)
	return s == idle || s == unknown
}
