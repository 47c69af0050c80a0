// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math"
	"sync"
	"time"
)

// pressureLife is the time constant of a pressure.
const statsDecay = 1500 * time.Millisecond

// pressure is the share of a service's requests that have been refused
// lately, smoothed. It is safe for concurrent use.
type requestStats struct {
	mu                sync.Mutex
	requests, refused float64
	updatedAt         time.Time
}

// decay lets what is past count less; pressure.mu is held.
func (p *requestStats) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(p.updatedAt)) / float64(statsDecay))
	p.requests *= keep
	p.refused *= keep
	p.updatedAt = now
}

// count notes a request.
func (p *requestStats) record(refused bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	p.requests++
	if refused {
		p.refused++
	}
}

// share is the part that has been refused, from 0 to 1.
func (p *requestStats) refusedShare(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	if p.requests < 1 {
		return 0
	}
	return p.refused / p.requests
}

// demand is how many requests a second came lately.
func (p *requestStats) requestRate(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	return p.requests / statsDecay.Seconds()
}

// Demand is how many requests a second for a service came lately.
func (s *Server) Demand(service string, now time.Time) float64 {
	return s.statsOf(service).requestRate(now)
}

// pressureOf returns the pressure of a service.
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
