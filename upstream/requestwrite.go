// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"time"
)

// requestWrite is the writing of a request to its connection. For a long body it goes on
// while the response is read.
type requestWrite struct {
	conn *conn
	done chan struct{} // closed when the write has ended
	err  error         // result of the write, valid once done is closed
}

// startWrite writes a request. It returns when the write has ended, or, for a body larger
// than maxInlineBody, at once and without an error.
func (c *conn) startWrite(q *Request) (*requestWrite, error) {
	w := &requestWrite{conn: c, done: make(chan struct{})}
	run := func() {
		defer close(w.done)
		w.err = w.write(q)
	}
	if len(q.Body) > maxInlineBody {
		go run()
		return w, nil
	}
	run()
	return w, w.err
}

// ended reports whether the write has ended, and returns its error.
func (w *requestWrite) ended() (bool, error) {
	select {
	case <-w.done:
		return true, w.err
	default:
		return false, nil
	}
}

// stop ends the write if it is still in progress, and returns its error. It does not wait for
// the endpoint.
func (w *requestWrite) stop() error {
	if ended, _ := w.ended(); !ended {
		_ = w.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed
		<-w.done
	}
	return w.err
}

// write writes the head and the body of a request to the connection.
func (w *requestWrite) write(q *Request) error {
	counter := &byteCounter{w: w.conn.Conn}
	b := bufio.NewWriterSize(counter, 2<<10)
	_, _ = fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.URI, q.Host)
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		_, _ = fmt.Fprintf(b, "Content-Length: %d\r\n", len(q.Body))
	}
	_ = q.Header.Write(b)
	_, _ = b.WriteString("\r\n")
	_, _ = b.Write(q.Body)
	err := b.Flush() // returns the first error of all writes
	w.conn.written.Store(counter.n)
	return err
}

// byteCounter counts the bytes written to w.
type byteCounter struct {
	w io.Writer
	n int64
}

// Write implements io.Writer.
func (c *byteCounter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += int64(n)
	return n, err
}
