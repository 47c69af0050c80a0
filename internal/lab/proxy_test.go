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

// cutter is a TCP pipe to a sidecar that can be cut: after so many bytes
// of answers, or altogether, as a network partition would.
type faultyProxy struct {
	ln net.Listener

	mu          sync.Mutex
	target      string
	cutBytes    int64 // bytes of the next answers until a cut, 0 for none
	partitioned bool
	conns       []net.Conn
	cuts        int
}

func newFaultyProxy(t *testing.T, target string) *faultyProxy {
	ln, err := net.Listen("tcp", anyLoopbackPort)
	assert.NilError(t, err)
	c := &faultyProxy{ln: ln, target: target}
	t.Cleanup(func() { _ = ln.Close(); c.setPartitioned(true) })
	go c.accept()
	return c
}

func (c *faultyProxy) address() string { return c.ln.Addr().String() }

// cutAfter cuts one connection after n more bytes of answers.
func (c *faultyProxy) cutAfter(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutBytes = n
}

func (c *faultyProxy) cutCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts
}

// awaitUse waits until somebody connects.
func (c *faultyProxy) awaitConnection(t *testing.T) {
	t.Helper()
	used := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.conns) > 0
	}
	for began := time.Now(); !used(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 20*time.Second, "nobody connects")
	}
}

// partition cuts all connections and refuses new ones while on.
func (c *faultyProxy) setPartitioned(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = on
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

func (c *faultyProxy) accept() {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		down, target := c.partitioned, c.target
		c.mu.Unlock()
		if down {
			_ = conn.Close()
			continue
		}
		up, err := net.Dial("tcp", target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		c.mu.Lock()
		c.conns = append(c.conns, conn, up)
		c.mu.Unlock()
		go func() { _, _ = io.Copy(up, conn); _ = up.Close() }()
		go c.copyResponses(conn, up)
	}
}

// answers copies from the sidecar until the cut.
func (c *faultyProxy) copyResponses(conn, up net.Conn) {
	defer conn.Close()
	defer up.Close()
	buf := make([]byte, 4096)
	for {
		n, err := up.Read(buf)
		if n > 0 {
			n, stop := c.takeBytes(int64(n))
			if _, werr := conn.Write(buf[:n]); werr != nil || stop {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

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
