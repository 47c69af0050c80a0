// SPDX-License-Identifier: Apache-2.0

package tcpconn

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against bytes that the kernel delivers after the connection was closed, and
// against a reset, which is not sent again if it is lost, where none is needed.
func TestDropUndelivered(t *testing.T) {
	local, peer := pair(t)
	written := 0
	for block := make([]byte, 64<<10); ; { // until the peer's receive window is full
		assert.NilError(t, peer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
		n, err := peer.Write(block)
		written += n
		if err != nil {
			break
		}
	}
	DropUndelivered(peer)
	assert.NilError(t, peer.Close())
	received, err := io.Copy(io.Discard, local)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	assert.Assert(t, int(received) < written, "%d of %d bytes", received, written)

	local, peer = pair(t)
	_, err = peer.Write([]byte("delivered"))
	assert.NilError(t, err)
	waitFor(t, func() bool { return unacknowledged(peer.(syscall.Conn)) == 0 })
	DropUndelivered(peer)
	assert.NilError(t, peer.Close())
	text, err := io.ReadAll(local)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "delivered")

	a, b := net.Pipe() // no connection of TCP
	DropUndelivered(a)
	assert.NilError(t, a.Close())
	assert.NilError(t, b.Close())
}

// Guards against a connection that is taken for silent although its peer has acknowledged
// everything, whether or not it reads.
func TestAcknowledgedConnectionIsNotSilent(t *testing.T) {
	local, peer := pair(t)
	assert.Equal(t, Unacknowledged(peer), 0)
	_, err := peer.Write([]byte("x"))
	assert.NilError(t, err)
	waitFor(t, func() bool { return Unacknowledged(peer) == 0 })
	assert.NilError(t, local.Close())
	assert.NilError(t, peer.Close())
	assert.Equal(t, Unacknowledged(peer), -1)
	a, b := net.Pipe() // no connection of TCP
	defer b.Close()
	defer a.Close()
	assert.Equal(t, Unacknowledged(a), -1)
}
