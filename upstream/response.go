// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
)

// Response is a response whose body has not been read. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
	Body   io.Reader

	conn      *conn
	head      *http.Response
	write     *requestWrite
	stopWatch func() bool // stops watching the context; returns false if its end has closed the connection
	bodyRead  bool        // set by MarkBodyRead
	once      sync.Once   // of Close
}

// MarkBodyRead records that the body has been read to its end, so that Close may
// return the connection to the pool.
func (r *Response) MarkBodyRead() { r.bodyRead = true }

// Close ends the exchange. It returns the connection to the pool if the body was read
// to its end and the connection is reusable; else it closes the connection. Closing it
// before the end of the body makes the endpoint stop the request.
func (r *Response) Close() {
	r.once.Do(func() {
		notCancelled := r.stopWatch()
		if !notCancelled || !r.bodyRead || !r.reusable() {
			r.conn.closeOnce()
			return
		}
		r.conn.putIdle(clock.Now(), r.idleLifetime())
	})
}

// EndsWithConnection reports whether the end of the connection is the end of the body,
// since the response has neither a length nor chunks.
func (r *Response) EndsWithConnection() bool {
	return r.head.ContentLength < 0 && len(r.head.TransferEncoding) == 0 && r.head.Body != http.NoBody
}

// reusable reports whether the connection can carry another request. It can if the
// request was written completely, the length of the response body was delimited, no
// bytes follow the body, and the endpoint keeps the connection open.
func (r *Response) reusable() bool {
	if r.head.Close || r.conn.reader.Buffered() > 0 || r.EndsWithConnection() {
		return false
	}
	written, err := r.write.ended()
	return written && err == nil
}

// WriteState tells how far the request has been written: "complete", "in progress", "stopped"
// since the response had ended, or the error that ended the write.
func (r *Response) WriteState() string {
	switch ended, err := r.write.ended(); {
	case !ended:
		return "in progress"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "stopped"
	case err != nil:
		return err.Error()
	default:
		return "complete"
	}
}

// idleLifetime returns the idle timeout of the connection. It is the pool's timeout, or
// a lower one that the response's Keep-Alive header requests.
func (r *Response) idleLifetime() time.Duration {
	// margin is how long before the endpoint's timeout this client closes the connection.
	const margin = 500 * time.Millisecond
	lifetime := r.conn.pool.options.IdleTimeout
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			lifetime = min(lifetime, time.Duration(s)*time.Second-margin)
		}
	}
	return lifetime
}
