// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math"
	"time"

	"github.com/mintlift/mintlift/routing"
)

// Callers send the time that they will wait. A caller that retries after a refusal
// has less time left than at its first try, but first tries may send different
// times as well, from 0.85 of the route's timeout on at some deployments. The lower
// end of the usual range is learned from the times that most callers send.
const (
	// timeoutBins is the number of bins into which the route's timeout is divided.
	timeoutBins = 100
	// timeoutDecay is the time constant of the histogram.
	timeoutDecay = 20 * time.Second
	// firstTryQuantile is the share of callers below the usual range. Few callers
	// retry while few are refused, and their remaining times vary.
	firstTryQuantile = 0.03
	// maxRefusedToLearn is the share of refused requests up to which times are
	// recorded. Above it, retries are so many that they would count as usual.
	maxRefusedToLearn = 0.01
	// maxTimeoutRoutes limits the number of histograms, of 0.8 KB each. Callers on
	// other routes count as first tries.
	maxTimeoutRoutes = 64
	// minTimeoutSamples is the decayed number of callers from which on the
	// histogram is used.
	minTimeoutSamples = 20
)

// callerRetryMargin is how far below the usual range a caller's time must be to
// count as a retry: retryAfterMin, less a margin.
const callerRetryMargin = 200 * time.Millisecond

// timeoutHistogram is the decaying distribution of the times that a route's callers
// send, as shares of the route's timeout. Server.mu guards it.
type timeoutHistogram struct {
	bins      [timeoutBins + 1]float64
	total     float64
	updatedAt time.Time
}

// add adds a caller's share of the timeout.
func (p *timeoutHistogram) add(part float64, now time.Time) {
	keep := math.Exp(-float64(now.Sub(p.updatedAt)) / float64(timeoutDecay))
	p.updatedAt = now
	p.total = p.total*keep + 1
	for i := range p.bins {
		p.bins[i] *= keep
	}
	p.bins[int(math.Round(min(max(part, 0), 1)*timeoutBins))]++
}

// firstTryMin returns the lower end of the usual range, as a share of the timeout;
// 1 while there are too few samples.
func (p *timeoutHistogram) firstTryMin() float64 {
	if p.total < minTimeoutSamples {
		return 1
	}
	below := 0.0
	for i, n := range p.bins {
		below += n
		if below > firstTryQuantile*p.total {
			return float64(i) / timeoutBins
		}
	}
	return 1
}

// isCallerRetry reports whether a caller with the time left is likely to retry
// after a refusal, and adds its time to the route's histogram. Only streaming
// routes are considered.
func (s *Server) isCallerRetry(r *routing.Route, service string, left, timeout time.Duration, now time.Time) bool {
	if r.Kind != routing.Streaming || timeout <= 0 {
		return false
	}
	part := float64(left) / float64(timeout)
	learn := s.statsOf(service).refusedShare(now) < maxRefusedToLearn
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.timeouts[r.Name]
	if p == nil {
		if len(s.timeouts) >= maxTimeoutRoutes {
			return false
		}
		p = &timeoutHistogram{updatedAt: now}
		s.timeouts[r.Name] = p
	}
	retry := left < time.Duration(p.firstTryMin()*float64(timeout))-callerRetryMargin
	if learn {
		p.add(part, now)
	}
	return retry
}
