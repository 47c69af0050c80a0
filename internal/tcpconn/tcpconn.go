// SPDX-License-Identifier: Apache-2.0

// Package tcpconn finds TCP connections that are of no use any more: those
// whose other side has closed, and those that went silent without a reset,
// which only a bound or a probe of one's own shows.
package tcpconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Bounds of silence.
const (
	// userTimeout bounds how long sent bytes may stay without acknowledgement;
	// TCP itself would try for minutes, ever less often.
	userTimeout = 1500 * time.Millisecond
	// probeEvery is the time between two probes of a connection that brings
	// nothing. Linux counts in whole seconds, and ends a connection with
	// userTimeout when the probe after an unanswered one is due: silence is
	// found probeEvery after the first probe.
	probeEvery = time.Second
	// probeCount is for systems that do not heed userTimeout.
	probeCount = 2
)

// When a connection that has brought nothing is probed first.
const (
	// ProbeSoon is for connections on which a process waits for news: silence
	// is found in 2 s.
	ProbeSoon = time.Second
	// ProbeLater is for connections on which an answer may take its time. On a
	// link that loses 3 in 100 packets 6 in 100 first probes go unanswered, and
	// would end a request that its endpoint works on; few wait so long.
	ProbeLater = 2 * time.Second
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 18

func keepAlive(idle time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: probeEvery, Count: probeCount}
}

// Dialer returns a dialer of connections that are found when they go silent;
// timeout bounds the dial, and idle is when they are probed first.
func Dialer(timeout, idle time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(idle), Control: control}
}

// Listen listens for connections that are found when they go silent: accepted
// ones inherit the options of their listener.
func Listen(ctx context.Context, address string, idle time.Duration) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(idle), Control: control}
	l, err := config.Listen(ctx, "tcp4", address)
	return l, errors.Trace(err)
}

func control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Best effort: without it a silent connection is found by the bounds
		// of calls.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
}

// state is what a look at a connection's unread bytes shows.
type state int

const (
	unknown state = iota // not a TCP connection, or not open here
	silent               // open, nothing to read
	pending              // bytes to read
	closed               // the other side has closed or reset it
)

// peek looks at a connection without reading from it, also while another
// goroutine waits in Read.
func peek(c net.Conn) state {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return unknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return unknown
	}
	found := unknown
	var one [1]byte
	// Control, unlike Read, does not wait for a reader of the connection.
	err = raw.Control(func(fd uintptr) {
		n, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case e == syscall.EAGAIN:
			found = silent
		case e == nil && n > 0:
			found = pending
		default:
			found = closed
		}
	})
	if err != nil {
		return unknown
	}
	return found
}

// Closed reports whether the other side is known to have closed c: all that
// it sent before has been read. A look costs one system call.
func Closed(c net.Conn) bool { return peek(c) == closed }

// Quiet reports whether c is open and has brought nothing that is unread.
func Quiet(c net.Conn) bool {
	s := peek(c)
	return s == silent || s == unknown
}
