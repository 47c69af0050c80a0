// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSinkNeverBlocks guards against loggers that block while the output accepts
// no lines, and against dropped lines that are not reported.
func TestSinkNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	s := NewSink(writer)
	line := []byte(strings.Repeat("x", 999) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2000 {
			_, _ = s.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked")
	}
	_, dropped := s.Counts()
	assert.Assert(t, dropped > 1000, "dropped %d", dropped)
	droppedBefore := dropped
	_, _ = s.PriorityWriter().Write([]byte("rare\n"))
	_, dropped = s.Counts()
	assert.Equal(t, dropped, droppedBefore, "a priority line was dropped before the buffer was full")

	var got lockedBuffer
	go func() { _, _ = io.Copy(&got, reader) }()
	deadline := time.Now().Add(10 * time.Second)
	for !strings.Contains(got.String(), "log lines dropped") || !strings.Contains(got.String(), "rare\n") {
		assert.Assert(t, time.Now().Before(deadline), "dropped lines not reported")
		time.Sleep(10 * time.Millisecond)
	}
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestSinkCloseFlushes guards against losing buffered lines at Close.
func TestSinkCloseFlushes(t *testing.T) {
	var got lockedBuffer
	s := NewSink(&got)
	_, _ = s.Write([]byte("last\n"))
	s.Close(5 * time.Second)
	assert.Equal(t, got.String(), "last\n")
}

// BenchmarkSinkLine measures logging one line with fields through a Sink.
func BenchmarkSinkLine(b *testing.B) {
	s := NewSink(io.Discard)
	log := NewLogger(s, LogSettings{Level: LevelInfo})
	for b.Loop() {
		log.Info("attempt", "request", "0123456789abcdef", "attempt", 1, "endpoint", "i-01", "load", 3.5)
	}
}
