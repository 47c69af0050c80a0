// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"io"
	"syscall"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/upstream"
)

// errEndedByCrash is the error of reading a response that ended because its endpoint
// crashed.
const errEndedByCrash = errors.ConstError("the endpoint crashed")

// unframedBody is the body of a response without a length and chunks. It ends with its
// connection, as it does if the endpoint crashes. Read then returns errEndedByCrash.
type unframedBody struct {
	io.Reader
	attempt  *attempt
	response *upstream.Response
	bytes    int64 // read so far
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.bytes += int64(n)
	if err == io.EOF && b.attempt.endpointCrashed() {
		err = errEndedByCrash
	}
	if err != nil {
		b.recordEnd(err)
	}
	return n, err
}

// recordEnd logs and counts the end of the response.
func (b *unframedBody) recordEnd(err error) {
	a := b.attempt
	x, end := a.exchange, "error"
	switch {
	case err == io.EOF:
		end = "closed"
	case err == errEndedByCrash:
		end = "crash"
	case errors.Is(err, syscall.ECONNRESET):
		end = "reset"
	case a.ctx.Err() != nil:
		end = "canceled"
	}
	x.server.metrics.Counter("mintlift_ingress_unframed_responses_total", "end", end).Inc()
	x.server.log.Info("unframed response ended", "request", x.id, "attempt", a.number, "endpoint", a.endpoint.ID, "end", end, "bytes", b.bytes, "request_write", b.response.WriteState(), "error", err.Error())
}

// endpointCrashed reports whether the endpoint has crashed, as far as that shows at once. It
// opens a connection, which replaces the one on which the response ended.
func (a *attempt) endpointCrashed() bool {
	if a.ctx.Err() != nil {
		return false
	}
	e, s := a.endpoint, a.exchange.server
	s.mu.Lock()
	listed := s.fleet.ByID(e.ID)
	leaving := listed == nil || listed.Signals.Draining()
	restarted := a.endpointStartedMS != 0 && s.fleet.StartedMSAt(e.Address) > a.endpointStartedMS
	s.mu.Unlock()
	switch {
	case leaving: // its process may end right after its last response
		return false
	case restarted:
		return true
	default:
		err := s.pool.Connect(a.ctx, e.Address, crashProbeTimeout)
		return errors.Is(err, syscall.ECONNREFUSED)
	}
}
