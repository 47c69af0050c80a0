// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math"
	"time"

	"github.com/mintlift/mintlift/routing"
)

// A request whose caller has already been refused is recognized by its deadline header,
// in which callers send the remaining time, for which they will still wait. At a retry
// after a refusal, it is shorter than at the first try. The remaining times of first
// tries may vary as well, so their usual range is learned for each route.
const (
	// timeoutBins is the number of bins into which the route's timeout is divided.
	timeoutBins = 100
	// timeoutDecay is the time constant of the histogram.
	timeoutDecay = 20 * time.Second
	// firstTryQuantile is the quantile of the recorded remaining times at which the
	// usual range of first tries begins. Requests below it are taken for retries. It
	// allows for the retries among the samples, which are few while few requests are
	// refused.
	firstTryQuantile = 0.03
	// maxRefusedToLearn is the share of refused requests above which no remaining times
	// are recorded, because too many of them would be those of retries.
	maxRefusedToLearn = 0.01
	// maxTimeoutRoutes limits the number of histograms. Requests on routes without one
	// count as first tries.
	maxTimeoutRoutes = 64
	// minTimeoutSamples is the decayed number of recorded remaining times below which
	// the histogram of a route is not used, but that of all routes.
	minTimeoutSamples = 20
	// minPooledSamples is the same number for the histogram of all routes. Of first tries
	// that vary by 0.15 of the timeout, 4 % are taken for retries with 5 samples. More
	// samples would take a new gateway longer, and it would take most of them for retries.
	minPooledSamples = 5
)

// callerRetryMargin is how far a caller's remaining time must be below the usual range
// of first tries for its request to count as a retry. It is less than retryAfterMin,
// the shortest delay that a refusal asks of a caller.
const callerRetryMargin = 200 * time.Millisecond

// timeoutHistogram is the decaying distribution of the remaining times that a route's
// callers send in the deadline header, as shares of the route's timeout. Server.mu
// guards it.
type timeoutHistogram struct {
	bins      [timeoutBins + 1]float64
	total     float64
	updatedAt time.Time
}

// add adds a sample: the remaining time from a request's deadline header, as a share of
// the route's timeout.
func (p *timeoutHistogram) add(share float64, now time.Time) {
	keep := math.Exp(-float64(now.Sub(p.updatedAt)) / float64(timeoutDecay))
	p.updatedAt = now
	p.total = p.total*keep + 1
	for i := range p.bins {
		p.bins[i] *= keep
	}
	p.bins[int(math.Round(min(max(share, 0), 1)*timeoutBins))]++
}

// firstTryMin returns the lower end of the usual range of first tries, as a share of the
// timeout. It returns 1 without samples.
func (p *timeoutHistogram) firstTryMin() float64 {
	below := 0.0
	for i, n := range p.bins {
		below += n
		if below > firstTryQuantile*p.total {
			return float64(i) / timeoutBins
		}
	}
	return 1
}

// isCallerRetry reports whether a request is probably a caller's retry after a refusal.
// left is the remaining time that the caller sent in the deadline header. While few
// requests are refused, it is added to the route's histogram. The result is always false for routes
// that are not streaming.
func (s *Server) isCallerRetry(r *routing.Route, service string, left, timeout time.Duration, now time.Time) bool {
	if r.Kind != routing.Streaming || timeout <= 0 {
		return false
	}
	share := float64(left) / float64(timeout)
	refused := s.statsOf(service).refusedShare(now)
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
	retry := left < time.Duration(s.firstTryMin(r)*float64(timeout))-callerRetryMargin
	// A gateway that starts amid refusals has to learn from what it gets.
	if refused < maxRefusedToLearn || s.allTimeouts.total < minPooledSamples {
		p.add(share, now)
		s.allTimeouts.add(share, now)
	}
	return retry
}

// firstTryMin returns the lower end of the usual range of first tries on a route, as a
// share of its timeout: by the samples of the route, or by those of all routes while it has
// few. It returns 1 while there are too few of all. Server.mu must be held.
func (s *Server) firstTryMin(r *routing.Route) float64 {
	switch p := s.timeouts[r.Name]; {
	case p != nil && p.total >= minTimeoutSamples:
		return p.firstTryMin()
	case s.allTimeouts.total >= minPooledSamples:
		return s.allTimeouts.firstTryMin()
	default:
		return 1
	}
}

// callerAge returns the least time since the first try of a caller's retry, for which
// isCallerRetry has returned true.
func (s *Server) callerAge(r *routing.Route, left, timeout time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, time.Duration(s.firstTryMin(r)*float64(timeout))-left)
}
