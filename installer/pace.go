// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"io"
	"net/http"

	"golang.org/x/time/rate"
)

// Limits of pacing.
const (
	// linkShare is the share of the box's link that transfers in one direction may
	// use. The rest is left to the requests and responses of the engine.
	linkShare = 0.88
	// paceStep is the number of bytes sent or read at once.
	paceStep = 4 << 10
)

// pacer keeps transfers in one direction below the rate of the box's link.
type pacer struct{ limiter *rate.Limiter }

// newPacer returns a pacer for a link of the given rate in bytes a second; 0 means
// unlimited.
func newPacer(linkRate float64) *pacer {
	if linkRate <= 0 {
		return &pacer{limiter: rate.NewLimiter(rate.Inf, paceStep)}
	}
	return &pacer{limiter: rate.NewLimiter(rate.Limit(linkShare*linkRate), paceStep)}
}

// write sends data at the pacer's rate and flushes after each step.
func (p *pacer) write(ctx context.Context, w http.ResponseWriter, data []byte) error {
	control := http.NewResponseController(w)
	for len(data) > 0 {
		n := min(len(data), paceStep)
		if err := p.limiter.WaitN(ctx, n); err != nil {
			return err
		}
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// pacedReader limits the reads from another reader to the rate of a pacer.
type pacedReader struct {
	ctx   context.Context
	from  io.Reader
	pacer *pacer
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b[:min(len(b), paceStep)])
	if n > 0 {
		if waitErr := r.pacer.limiter.WaitN(r.ctx, n); waitErr != nil && err == nil {
			err = waitErr
		}
	}
	return n, err
}
