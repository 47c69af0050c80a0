// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a Sink, in bytes, and its flush interval.
const (
	// sinkCapacity bounds the buffered lines.
	sinkCapacity = 256 << 10
	// sinkReserved is the part of sinkCapacity that only lines of PriorityWriter
	// may use.
	sinkReserved      = 64 << 10
	sinkFlushInterval = 100 * time.Millisecond
)

// Sink writes log lines without blocking the loggers. Lines are buffered up to
// a limit; further lines are dropped and counted, and the count is logged. Its
// methods may be called concurrently.
type Sink struct {
	out      io.Writer
	mu       sync.Mutex // guards buffered, dropped and accepted
	buffered []byte
	dropped  uint64        // lines
	accepted uint64        // lines
	closing  chan struct{} // closed by Close
	done     chan struct{} // closed at the end of the goroutine
}

// NewSink returns a sink that writes to out from its own goroutine until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, closing: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers a log line. It never returns an error. The line is dropped if it
// does not fit into the unreserved part of the buffer.
func (s *Sink) Write(line []byte) (int, error) { return s.add(line, sinkCapacity-sinkReserved) }

// PriorityWriter returns a writer whose lines may use the whole buffer, so that they
// are dropped last. It is for lines about the process itself, Write for lines about
// single requests.
func (s *Sink) PriorityWriter() io.Writer { return priorityWriter{s} }

// priorityWriter is the io.Writer that Sink.PriorityWriter returns.
type priorityWriter struct{ sink *Sink }

func (w priorityWriter) Write(line []byte) (int, error) { return w.sink.add(line, sinkCapacity) }

// add buffers a line, or drops it if more than limit bytes would be buffered.
func (s *Sink) add(line []byte, limit int) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffered)+len(line) > limit {
		s.dropped++
		return len(line), nil
	}
	s.buffered = append(s.buffered, line...)
	s.accepted++
	return len(line), nil
}

// Counts returns the numbers of accepted and of dropped lines so far.
func (s *Sink) Counts() (accepted, dropped uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.dropped
}

// Close flushes the buffered lines and stops the sink's goroutine. It returns
// after timeout at the latest. Lines added later are not written. Close must be
// called only once.
func (s *Sink) Close(timeout time.Duration) {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

// run writes the buffered lines at each flush interval, until Close is called.
func (s *Sink) run() {
	defer close(s.done)
	ticker := time.NewTicker(sinkFlushInterval)
	defer ticker.Stop()
	var spare []byte    // the buffer written last, for reuse
	var reported uint64 // dropped lines logged so far
	for open := true; open; {
		select {
		case _, open = <-s.closing:
		case <-ticker.C:
		}
		s.mu.Lock()
		lines := s.buffered
		s.buffered = spare[:0]
		dropped := s.dropped
		s.mu.Unlock()
		if dropped > reported {
			lines = fmt.Appendf(lines, "{\"msg\":\"log lines dropped\",\"count\":%d,\"total\":%d}\n", dropped-reported, dropped)
			reported = dropped
		}
		if len(lines) > 0 {
			_, _ = s.out.Write(lines) // a failing log cannot be logged
		}
		spare = lines
	}
}
