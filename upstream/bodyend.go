// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"io"
	"net"
	"os"
	"syscall"

	"github.com/juju/errors"
)

// unframedBody is the body of a response with neither a length nor chunks. It is
// complete when the endpoint closes the connection, and incomplete after any other end (RFC
// 9112, section 8). Other bodies are delimited by themselves.
//
// Read alone cannot tell: a socket reports a reset to one call. If that is the write of the
// request, Read returns io.EOF, as after a close.
type unframedBody struct {
	body  io.Reader
	write *requestWrite
	err   error // result of the last Read; the socket does not repeat its error
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	if err == io.EOF {
		if failure := connectionFailure(b.write.stop()); failure != nil {
			err = failure
		}
	}
	b.err = err
	return n, err
}

// connectionFailure returns the error of a write if the connection failed before the endpoint
// closed its side, and nil otherwise. After the endpoint's close, Linux reports EPIPE for a
// reset.
func connectionFailure(err error) error {
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
