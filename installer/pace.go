// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"io"
	"net/http"

	"golang.org/x/time/rate"
)

// Bounds of pacing. A transfer that fills a box's link delays the answers
// that the engine sends over it, so transfers leave a part of it free.
const (
	linkShare = 0.88
	// paceStep is how much is sent at once, in bytes.
	paceStep = 4 << 10
)

// pacer keeps transfers in one direction below the rate of the box's link.
type pacer struct{ limiter *rate.Limiter }

// newPacer returns a pacer for a link of so many bytes a second; zero is no
// bound.
func newPacer(link float64) *pacer {
	if link <= 0 {
		return &pacer{limiter: rate.NewLimiter(rate.Inf, paceStep)}
	}
	return &pacer{limiter: rate.NewLimiter(rate.Limit(linkShare*link), paceStep)}
}

// write sends data in steps.
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

// pacedReader reads in steps.
type pacedReader struct {
	ctx   context.Context
	from  io.Reader
	pacer *pacer
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b[:min(len(b), paceStep)])
	if n > 0 {
		if wait := r.pacer.limiter.WaitN(r.ctx, n); wait != nil && err == nil {
			err = wait
		}
	}
	return n, err
}
