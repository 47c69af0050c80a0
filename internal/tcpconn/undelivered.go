// SPDX-License-Identifier: Apache-2.0

package tcpconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// DropUndelivered makes the next Close of c reset the connection if the kernel holds bytes
// that the peer has not acknowledged. The kernel would otherwise deliver them after the
// Close. If there are none, Close ends the connection with a FIN, which, unlike a reset, is
// sent again if it is lost. It has no effect on other connections than those of TCP.
func DropUndelivered(c net.Conn) {
	if wrapper, ok := c.(interface{ Unbuffered() net.Conn }); ok {
		c = wrapper.Unbuffered()
	}
	tcp, ok := c.(interface {
		syscall.Conn
		SetLinger(seconds int) error
	})
	if !ok || unacknowledged(tcp) == 0 {
		return
	}
	_ = tcp.SetLinger(0) // fails only if the connection is closed
}

// unacknowledged returns the number of bytes that were written to c and that the peer has
// not acknowledged, or -1 if it is unknown.
func unacknowledged(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1
	}
	count := -1
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			count = n
		}
	})
	return count
}

// Unacknowledged returns the number of bytes that were written to c and that the peer's
// system, which does so even if the peer's process is paused, has not acknowledged. It returns
// -1 if the number is unknown, as for connections that are neither TCP connections nor
// Acknowledgers.
func Unacknowledged(c net.Conn) int {
	switch c := c.(type) {
	case Acknowledger:
		return c.Unacknowledged()
	case syscall.Conn:
		return unacknowledged(c)
	default:
		return -1
	}
}

// Acknowledger is a connection that is no socket of the operating system and implements
// Unacknowledged itself.
type Acknowledger interface{ Unacknowledged() int }
