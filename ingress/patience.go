// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math"
	"time"

	"github.com/mintlift/mintlift/routing"
)

// Callers state how long they will wait. A caller that was refused and comes
// back has less of its time left than one that asks for the first time; but
// those, too, give different times, at some deployments 0.85 to 1 of the
// route's time-out, at others all the same. Where the usual ends is learned
// from the times that most callers give.
const (
	// patienceBins divide the part of the time-out that callers give.
	timeoutBins = 100
	// patienceLife is the time constant of what is learned.
	timeoutDecay = 20 * time.Second
	// returnedShare is the share of callers below the usual part: in calm few
	// come back, and while many do for a short time, they come with all kinds of
	// times left.
	firstTryQuantile = 0.03
	// calmShare is the share of refusals up to which a gateway learns: amid an
	// outage those that come back would pass for usual.
	maxRefusedToLearn = 0.01
	// patienceRoutes bounds the routes that are learned of, each of which takes
	// 0.8 KB; callers of others count as asking for the first time.
	maxTimeoutRoutes = 64
	// patienceMin is how many callers must have asked before the usual part
	// counts as learned.
	minTimeoutSamples = 20
)

// returnedLess is how much less than usual a caller has left that is taken for
// one that was refused: it has waited for retryAfterMin, less a margin.
const callerRetryMargin = 200 * time.Millisecond

// patience is the distribution of the parts of a route's time-out that its
// callers give. Server.mu guards it.
type timeoutHistogram struct {
	bins      [timeoutBins + 1]float64
	total     float64
	updatedAt time.Time
}

// note adds a caller's part.
func (p *timeoutHistogram) add(part float64, now time.Time) {
	keep := math.Exp(-float64(now.Sub(p.updatedAt)) / float64(timeoutDecay))
	p.updatedAt = now
	p.total = p.total*keep + 1
	for i := range p.bins {
		p.bins[i] *= keep
	}
	p.bins[int(math.Round(min(max(part, 0), 1)*timeoutBins))]++
}

// usual is the least part that callers usually give; all of it while too few
// have asked.
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

// hasReturned reports whether a caller that has so much time left was refused
// before, as far as one can tell, and learns from it.
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
