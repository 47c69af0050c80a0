// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/clock"
)

// The user timeout of a socket must be long while a request is in progress, short while the
// connection is idle, and long again when it is reused.
func TestUserTimeoutFollowsRequests(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "x")
	}))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	p := NewPool(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4})
	defer p.CloseAllIdle()
	timeout := func(c *conn) (ms int) {
		raw, err := c.Conn.(syscall.Conn).SyscallConn()
		assert.NilError(t, err)
		assert.NilError(t, raw.Control(func(fd uintptr) { ms, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, 18) }))
		assert.NilError(t, err)
		return ms
	}
	for range 3 {
		r, err := p.Do(t.Context(), address, &Request{Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("b")})
		assert.NilError(t, err)
		assert.Equal(t, timeout(r.conn), 600000)
		_, err = io.ReadAll(r.Body)
		assert.NilError(t, err)
		r.MarkBodyRead()
		r.Close()
		c := p.takeIdle(address, false, clock.Now())
		assert.Assert(t, c != nil)
		assert.Equal(t, timeout(c), 1500)
		c.putIdle(clock.Now(), time.Minute)
	}
	assert.Equal(t, p.Opened(), uint64(1))
}
