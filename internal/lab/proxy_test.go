// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// faultyProxy is a TCP proxy to a sidecar that can close a connection after a
// number of response bytes, or simulate a network partition.
type faultyProxy struct {
	ln net.Listener

	mu          sync.Mutex
	target      string
	cutBytes    int64 // response bytes until the next cut, 0 for no cut
	partitioned bool  // see setPartitioned
	conns       []net.Conn
	cuts        int // connections closed by cutAfter
}

// newFaultyProxy starts a proxy to the address target for the time of the test.
func newFaultyProxy(t *testing.T, target string) *faultyProxy {
	ln, err := net.Listen("tcp", anyLoopbackPort)
	assert.NilError(t, err)
	c := &faultyProxy{ln: ln, target: target}
	t.Cleanup(func() { _ = ln.Close(); c.setPartitioned(true) })
	go c.accept()
	return c
}

func (c *faultyProxy) address() string { return c.ln.Addr().String() }

// cutAfter makes the proxy close one connection after n more response bytes.
func (c *faultyProxy) cutAfter(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutBytes = n
}

// cutCount returns the number of connections closed by cutAfter.
func (c *faultyProxy) cutCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts
}

// awaitConnection waits until the proxy has accepted a connection.
func (c *faultyProxy) awaitConnection(t *testing.T) {
	t.Helper()
	used := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.conns) > 0
	}
	for began := time.Now(); !used(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 20*time.Second, "no connection within 20 s")
	}
}

// setPartitioned closes all connections. While partitioned is set, the proxy
// also closes each new connection at once.
func (c *faultyProxy) setPartitioned(partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// accept connects each new connection to the target until the listener is closed.
func (c *faultyProxy) accept() {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		partitioned, target := c.partitioned, c.target
		c.mu.Unlock()
		if partitioned {
			_ = conn.Close()
			continue
		}
		upstream, err := net.Dial("tcp", target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		c.mu.Lock()
		c.conns = append(c.conns, conn, upstream)
		c.mu.Unlock()
		go func() { _, _ = io.Copy(upstream, conn); _ = upstream.Close() }()
		go c.copyResponses(conn, upstream)
	}
}

// copyResponses copies from upstream to conn until either connection fails or
// is closed, or until the cut point. It then closes both.
func (c *faultyProxy) copyResponses(conn, upstream net.Conn) {
	defer conn.Close()
	defer upstream.Close()
	buf := make([]byte, 4096)
	for {
		n, err := upstream.Read(buf)
		if n > 0 {
			n, cut := c.takeBytes(int64(n))
			if _, werr := conn.Write(buf[:n]); werr != nil || cut {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// takeBytes returns how many of n response bytes to forward, and whether to
// close the connection afterwards.
func (c *faultyProxy) takeBytes(n int64) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutBytes == 0 || n < c.cutBytes {
		c.cutBytes = max(c.cutBytes-n, 0)
		return n, false
	}
	n = c.cutBytes
	c.cutBytes = 0
	c.cuts++
	return n, true
}
