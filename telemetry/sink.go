// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of a Sink.
const (
	// sinkCapacity is the most that waits to be written.
	sinkCapacity = 256 << 10
	// sinkReserved is kept for lines that are not about single requests.
	sinkReserved = 64 << 10
	// sinkFlushInterval is how often waiting lines are written.
	sinkFlushInterval = 100 * time.Millisecond
)

// Sink writes log lines without ever blocking who logs. Lines wait in a
// bounded buffer; what does not fit is dropped and counted, and the count
// is told in a line of its own.
type Sink struct {
	out      io.Writer
	mu       sync.Mutex
	buffered []byte
	dropped  uint64
	accepted uint64
	closing  chan struct{}
	done     chan struct{}
}

// NewSink returns a sink that writes to out from a goroutine of its own.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, closing: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line about a single request.
func (s *Sink) Write(line []byte) (int, error) { return s.add(line, sinkCapacity-sinkReserved) }

// Rare returns the writer for lines about the process itself, which are
// dropped last.
func (s *Sink) Rare() io.Writer { return priorityWriter{s} }

type priorityWriter struct{ sink *Sink }

func (w priorityWriter) Write(line []byte) (int, error) { return w.sink.add(line, sinkCapacity) }

func (s *Sink) add(line []byte, bound int) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffered)+len(line) > bound {
		s.dropped++
		return len(line), nil
	}
	s.buffered = append(s.buffered, line...)
	s.accepted++
	return len(line), nil
}

// Counts returns how many lines were taken and dropped.
func (s *Sink) Counts() (taken, dropped uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.dropped
}

// Close writes what waits, for at most limit.
func (s *Sink) Close(limit time.Duration) {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(limit):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	tick := time.NewTicker(sinkFlushInterval)
	defer tick.Stop()
	var spare []byte
	var told uint64
	for open := true; open; {
		select {
		case _, open = <-s.closing:
		case <-tick.C:
		}
		s.mu.Lock()
		lines := s.buffered
		s.buffered = spare[:0]
		dropped := s.dropped
		s.mu.Unlock()
		if dropped > told {
			lines = fmt.Appendf(lines, "{\"msg\":\"log lines dropped\",\"count\":%d,\"total\":%d}\n", dropped-told, dropped)
			told = dropped
		}
		if len(lines) > 0 {
			_, _ = s.out.Write(lines) // nothing can be told of a log that fails
		}
		spare = lines
	}
}
