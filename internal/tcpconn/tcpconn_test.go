// SPDX-License-Identifier: Apache-2.0

package tcpconn

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pair returns the accepted and the dialed end of a connection.
func pair(t *testing.T) (local, peer net.Conn) {
	t.Helper()
	l, err := Listen(context.Background(), "127.0.0.1:0", ProbeLater)
	assert.NilError(t, err)
	defer l.Close()
	peer, err = Dialer(time.Second, ProbeSoon).Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	local, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = local.Close(), peer.Close() })
	return local, peer
}

// waitFor polls ok until it returns true, and fails the test after 10 s.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for start := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(start) < 10*time.Second)
	}
}

func TestOpenConnection(t *testing.T) {
	local, _ := pair(t)
	assert.Assert(t, !Closed(local))
	assert.Assert(t, OpenAndIdle(local))
}

func TestCloseIsDetectedDuringRead(t *testing.T) {
	local, peer := pair(t)
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = local.Read(make([]byte, 1))
	}()
	assert.Assert(t, !Closed(local))
	assert.NilError(t, peer.Close())
	waitFor(t, func() bool { return Closed(local) })
	<-read
}

func TestResetIsDetected(t *testing.T) {
	local, peer := pair(t)
	assert.NilError(t, peer.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, peer.Close())
	waitFor(t, func() bool { return Closed(local) })
}

// Closed must return false while the connection has unread bytes, although the peer has
// closed it.
func TestUnreadBytesHideClose(t *testing.T) {
	local, peer := pair(t)
	_, err := peer.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, peer.Close())
	waitFor(t, func() bool { return !OpenAndIdle(local) })
	assert.Assert(t, !Closed(local))
	_, err = local.Read(make([]byte, 1))
	assert.NilError(t, err)
	waitFor(t, func() bool { return Closed(local) })
}

func TestNonTCPConnection(t *testing.T) {
	local, peer := net.Pipe()
	defer peer.Close()
	assert.Assert(t, !Closed(local))
	assert.Assert(t, OpenAndIdle(local))
}

// peeker is a connection with a fixed state.
type peeker struct {
	net.Conn
	readable, closed bool
}

func (p peeker) Peek() (readable, closed bool) { return p.readable, p.closed }

// buffered wraps a connection as package sendbuffer does.
type buffered struct {
	net.Conn
	inner net.Conn
}

func (b buffered) Unbuffered() net.Conn { return b.inner }

func TestPeekerStates(t *testing.T) {
	for _, c := range []struct {
		peeker
		closed, idle bool
	}{
		{peeker{}, false, true},
		{peeker{readable: true}, false, false},
		{peeker{readable: true, closed: true}, false, false},
		{peeker{closed: true}, true, false},
	} {
		assert.Equal(t, Closed(c.peeker), c.closed)
		assert.Equal(t, OpenAndIdle(c.peeker), c.idle)
		assert.Equal(t, Closed(buffered{inner: c.peeker}), c.closed)
	}
}

// A close must be detected behind a send buffer.
func TestCloseIsDetectedBehindWrapper(t *testing.T) {
	local, peer := pair(t)
	wrapped := buffered{inner: local}
	assert.Assert(t, !Closed(wrapped))
	assert.NilError(t, peer.Close())
	waitFor(t, func() bool { return Closed(wrapped) })
}

// Guards against a connection with a request in progress that ends while its peer is
// unresponsive, and against one that stays open for as long without a request.
func TestAllowSilenceSetsLimits(t *testing.T) {
	_, dialed := pair(t)
	for _, test := range []struct {
		allow  bool
		want   time.Duration
		probes int
	}{{true, silenceTimeout, silenceProbeCount}, {false, userTimeout, probeCount}} {
		AllowSilence(dialed, test.allow)
		raw, err := dialed.(syscall.Conn).SyscallConn()
		assert.NilError(t, err)
		assert.NilError(t, raw.Control(func(fd uintptr) {
			got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
			assert.NilError(t, err)
			assert.Equal(t, time.Duration(got)*time.Millisecond, test.want)
			got, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
			assert.NilError(t, err)
			assert.Equal(t, got, test.probes)
		}))
	}
	a, b := net.Pipe() // no connection of TCP
	defer b.Close()
	defer a.Close()
	AllowSilence(a, true)
}
