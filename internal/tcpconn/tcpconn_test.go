// SPDX-License-Identifier: Apache-2.0

package tcpconn

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := Listen(context.Background(), "127.0.0.1:0", ProbeLater)
	assert.NilError(t, err)
	defer l.Close()
	far, err = Dialer(time.Second, ProbeSoon).Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	near, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

func await(t *testing.T, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second)
	}
}

func TestOpenConnection(t *testing.T) {
	near, _ := pair(t)
	assert.Assert(t, !Closed(near))
	assert.Assert(t, Quiet(near))
}

// A close shows also while another goroutine waits for bytes.
func TestCloseShowsBesideAReader(t *testing.T) {
	near, far := pair(t)
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = near.Read(make([]byte, 1))
	}()
	assert.Assert(t, !Closed(near))
	assert.NilError(t, far.Close())
	await(t, func() bool { return Closed(near) })
	<-read
}

func TestResetShows(t *testing.T) {
	near, far := pair(t)
	assert.NilError(t, far.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, far.Close())
	await(t, func() bool { return Closed(near) })
}

// What was sent before a close is still to be read.
func TestUnreadBytesAreNoClose(t *testing.T) {
	near, far := pair(t)
	_, err := far.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, far.Close())
	await(t, func() bool { return !Quiet(near) })
	assert.Assert(t, !Closed(near))
	_, err = near.Read(make([]byte, 1))
	assert.NilError(t, err)
	await(t, func() bool { return Closed(near) })
}

func TestOtherConnections(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	assert.Assert(t, !Closed(near))
	assert.Assert(t, Quiet(near))
}
