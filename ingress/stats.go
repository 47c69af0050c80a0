// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math"
	"sync"
	"time"
)

// statsDecay is the time constant with which the counts of requestStats decay.
const statsDecay = 1500 * time.Millisecond

// requestStats counts the requests for a service and how many of them were refused.
// The counts decay exponentially with the time constant statsDecay. It is safe for
// concurrent use.
type requestStats struct {
	mu                sync.Mutex // guards all fields
	requests, refused float64
	updatedAt         time.Time
}

// decay applies the exponential decay since the last update. requestStats.mu must be
// held.
func (p *requestStats) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(p.updatedAt)) / float64(statsDecay))
	p.requests *= keep
	p.refused *= keep
	p.updatedAt = now
}

// record counts x, and whether it was refused, each once. It is called again if an attempt
// has reached no endpoint.
func (p *requestStats) record(x *exchange, refused bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	if !x.requestCounted {
		x.requestCounted = true
		p.requests++
	}
	if refused && !x.refusalCounted {
		x.refusalCounted = true
		p.refused++
	}
}

// refusedShare returns the share of recent requests that were refused, from 0 to 1. It
// returns 0 if there were too few requests.
func (p *requestStats) refusedShare(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	if p.requests < 1 {
		return 0
	}
	return min(p.refused/p.requests, 1)
}

// requestRate returns the recent requests per second.
func (p *requestStats) requestRate(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	return p.requests / statsDecay.Seconds()
}

// Demand returns the recent requests per second for a service.
func (s *Server) Demand(service string, now time.Time) float64 {
	return s.statsOf(service).requestRate(now)
}

// statsOf returns the request counts of a service.
func (s *Server) statsOf(service string) *requestStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.stats[service]
	if p == nil {
		p = &requestStats{}
		s.stats[service] = p
	}
	return p
}
