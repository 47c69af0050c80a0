// SPDX-License-Identifier: Apache-2.0

package sendbuffer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/tcpconn"
)

// accept returns a connection with a buffer of pool, and the other side of it, whose
// receive buffer is small.
func accept(t *testing.T, pool *Pool) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	peer, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, peer.(*net.TCPConn).SetReadBuffer(4<<10))
	c, err := pool.Listen(l).Accept()
	assert.NilError(t, err)
	assert.NilError(t, c.(*Conn).socket.(*tcpSocket).SetWriteBuffer(4<<10))
	t.Cleanup(func() { _, _ = c.Close(), peer.Close() })
	return c.(*Conn), peer.(*net.TCPConn)
}

// fill writes to c until its socket takes no more and n bytes are buffered.
func fill(t *testing.T, c *Conn, n int) (written int) {
	t.Helper()
	for {
		c.mu.Lock()
		size := c.size
		c.mu.Unlock()
		if size >= n {
			return written
		}
		m, err := c.Write(bytes.Repeat([]byte{'x'}, 1<<10))
		assert.NilError(t, err)
		written += m
	}
}

// A write must not wait for a reader that is behind; the reader must get all bytes, in
// order, also if the connection is closed meanwhile.
func TestSlowReaderGetsEverything(t *testing.T) {
	pool := NewPool(1<<20, nil)
	c, peer := accept(t, pool)
	var want []byte
	for n := 0; len(want) < 50<<10 || pool.total == 0; n++ {
		b := bytes.Repeat([]byte{byte(n)}, 1000)
		want = append(want, b...)
		began := time.Now()
		_, err := c.Write(b)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) < time.Second)
		if len(want) > 8<<20 {
			t.Fatal("the socket takes everything")
		}
	}
	assert.NilError(t, c.Close())
	got, err := io.ReadAll(peer)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, want), "%d of %d bytes", len(got), len(want))
	connections, buffered := pool.Buffered()
	assert.Equal(t, connections, 0)
	assert.Equal(t, buffered, 0)
}

// If the pool is full, the connection that has been behind for the longest time must be
// closed, and no other.
func TestFullPoolClosesTheSlowest(t *testing.T) {
	evicted := 0
	pool := NewPool(100<<10, func(string, int, time.Duration) { evicted++ })
	slow, _ := accept(t, pool)
	fill(t, slow, 40<<10)
	time.Sleep(20 * time.Millisecond)
	late, latePeer := accept(t, pool)
	fill(t, late, 30<<10)
	fast, fastPeer := accept(t, pool)
	go func() { _, _ = io.Copy(io.Discard, fastPeer) }()
	for range 200 {
		_, err := fast.Write(bytes.Repeat([]byte{'f'}, 1<<10))
		assert.NilError(t, err)
	}
	other, _ := accept(t, pool)
	for n := 0; evicted == 0; n++ {
		_, err := other.Write(bytes.Repeat([]byte{'o'}, 1<<10))
		assert.NilError(t, err)
		assert.Assert(t, n < 8<<10)
	}
	_, err := slow.Write([]byte{'x'})
	assert.ErrorIs(t, err, ErrEvicted)
	assert.Equal(t, evicted, 1)
	_, buffered := pool.Buffered()
	assert.Assert(t, buffered <= 100<<10)
	_, err = latePeer.Read(make([]byte, 100))
	assert.NilError(t, err)
}

// A full buffer must hold up its own writer only, until the reader goes on.
func TestFullBufferBlocks(t *testing.T) {
	pool := NewPool(1<<20, nil)
	c, peer := accept(t, pool)
	const total = 256 << 10 // more than the sockets and the buffer take
	done := make(chan error, 1)
	go func() {
		for range total / chunkBytes {
			if _, err := c.Write(make([]byte, chunkBytes)); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	select {
	case <-done:
		t.Fatal("did not wait")
	case <-time.After(200 * time.Millisecond):
	}
	_, buffered := pool.Buffered()
	assert.Assert(t, buffered <= maxConnBytes, "%d bytes", buffered)
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	assert.NilError(t, <-done)
}

// A writer must fail once the other side has closed the connection, and its buffer must
// be freed.
func TestClosedReaderFreesBuffer(t *testing.T) {
	pool := NewPool(1<<20, nil)
	c, peer := accept(t, pool)
	fill(t, c, 10<<10)
	assert.NilError(t, peer.Close())
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		if _, buffered := pool.Buffered(); buffered == 0 {
			break
		}
		assert.Assert(t, time.Since(began) < 5*time.Second)
	}
	_, err := c.Write([]byte{'x'})
	assert.Assert(t, err != nil)
}

// BenchmarkWrite writes to a connection that is read at once, and checks before each
// write whether the other side has closed it.
func BenchmarkWrite(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(b, err)
	defer l.Close()
	peer, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(b, err)
	defer peer.Close()
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	c, err := NewPool(1<<20, nil).Listen(l).Accept()
	assert.NilError(b, err)
	defer c.Close()
	text := bytes.Repeat([]byte{'x'}, 100)
	b.ReportAllocs()
	for b.Loop() {
		if tcpconn.Closed(c) {
			b.Fatal("closed")
		}
		_, err := c.Write(text)
		assert.NilError(b, err)
	}
}

// memorySocket is a Socket that takes bytes only by Write, and keeps them.
type memorySocket struct {
	Socket
	written []byte
}

func (s *memorySocket) WriteNow([]byte) (int, error)     { return 0, nil }
func (s *memorySocket) SetWriteDeadline(time.Time) error { return nil }
func (s *memorySocket) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (s *memorySocket) Write(b []byte) (int, error) {
	s.written = append(s.written, b...)
	return len(b), nil
}

// Guards against bytes that are sent twice, and against a process that crashes, when a
// write follows right after the buffer has become empty: two goroutines sent the buffer.
func TestWritesWhileTheBufferEmpties(t *testing.T) {
	socket := &memorySocket{}
	c := &Conn{socket: socket, pool: NewPool(1<<30, nil)}
	c.room.L = &c.mu
	const writes = 100_000
	var want []byte
	for n := range writes {
		b := binary.BigEndian.AppendUint32(nil, uint32(n))
		want = append(want, b...)
		written, err := c.Write(b)
		assert.NilError(t, err)
		assert.Equal(t, written, len(b))
		if n%3 == 0 {
			runtime.Gosched()
		}
	}
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		size := c.size
		c.mu.Unlock()
		if size == 0 {
			break
		}
		assert.Assert(t, time.Since(began) < 10*time.Second, "%d bytes are not sent", size)
	}
	assert.Assert(t, bytes.Equal(socket.written, want), "%d bytes sent, %d written", len(socket.written), len(want))
}
