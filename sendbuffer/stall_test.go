// SPDX-License-Identifier: Apache-2.0

package sendbuffer

import (
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowSocket is a Socket whose reader reads nothing until readAt, if that is set. The
// process pauses while it waits in Write if pause is set.
type slowSocket struct {
	Socket
	readAt   time.Time
	pause    time.Duration
	deadline time.Time
	written  int
	closed   bool
}

func (s *slowSocket) reads() bool {
	return !s.readAt.IsZero() && !time.Now().Before(s.readAt)
}
func (s *slowSocket) SetWriteDeadline(t time.Time) error { s.deadline = t; return nil }
func (s *slowSocket) RemoteAddr() net.Addr               { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1)} }
func (s *slowSocket) SetLinger(int) error                { return nil }
func (s *slowSocket) Close() error                       { s.closed = true; return nil }

func (s *slowSocket) WriteNow(b []byte) (int, error) {
	if !s.reads() {
		return 0, nil
	}
	s.written += len(b)
	return len(b), nil
}

func (s *slowSocket) Write(b []byte) (int, error) {
	time.Sleep(s.pause)
	s.pause = 0
	for ; time.Now().Before(s.deadline); time.Sleep(10 * time.Millisecond) {
		if s.reads() {
			return s.WriteNow(b)
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// Guards against a caller that is cut off because the process paused for stallTimeout,
// during which the caller read what it had been sent, and against one that reads nothing
// and is kept, or is cut off without a report.
func TestStalledReaders(t *testing.T) {
	for _, test := range []struct {
		name         string
		reads, pause time.Duration // reads is negative for a caller that never does
		stalled      bool
	}{
		{"reads in time", stallTimeout - time.Second, 0, false},
		{"reads during a pause", time.Second, stallTimeout + time.Second, false},
		{"reads nothing", -1, 0, true},
		{"reads nothing, pause", -1, 2 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				socket := &slowSocket{pause: test.pause}
				if test.reads >= 0 {
					socket.readAt = time.Now().Add(test.reads)
				}
				pool := NewPool(1<<20, func(string, int, time.Duration) { t.Error("evicted") })
				stalled := 0
				pool.OnStall(func(remote string, buffered int, behind time.Duration) {
					stalled++
					assert.Check(t, remote == "10.0.0.1:0" && buffered == 100 && behind == stallTimeout, "%s %d %s", remote, buffered, behind)
				})
				c := &Conn{socket: socket, pool: pool}
				c.room.L = &c.mu
				_, err := c.Write(make([]byte, 100))
				assert.NilError(t, err)
				time.Sleep(3 * stallTimeout)
				synctest.Wait()
				assert.Equal(t, stalled == 1, test.stalled)
				assert.Equal(t, socket.closed, test.stalled)
				_, err = c.Write(make([]byte, 100))
				if test.stalled {
					assert.ErrorIs(t, err, ErrStalled)
				} else {
					assert.NilError(t, err)
					assert.Equal(t, socket.written, 200)
				}
			})
		})
	}
}
