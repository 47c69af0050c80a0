// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math"
	"sync"
	"time"
)

// pressureLife is the time constant of a pressure.
const pressureLife = 1500 * time.Millisecond

// pressure is the share of a service's requests that have been refused
// lately, smoothed. It is safe for concurrent use.
type pressure struct {
	mu             sync.Mutex
	asked, refused float64
	at             time.Time
}

// decay lets what is past count less; pressure.mu is held.
func (p *pressure) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(p.at)) / float64(pressureLife))
	p.asked *= keep
	p.refused *= keep
	p.at = now
}

// count notes a request.
func (p *pressure) count(refused bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	p.asked++
	if refused {
		p.refused++
	}
}

// share is the part that has been refused, from 0 to 1.
func (p *pressure) share(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	if p.asked < 1 {
		return 0
	}
	return p.refused / p.asked
}

// demand is how many requests a second came lately.
func (p *pressure) demand(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(now)
	return p.asked / pressureLife.Seconds()
}

// Demand is how many requests a second for a service came lately.
func (s *Server) Demand(service string, now time.Time) float64 {
	return s.pressureOf(service).demand(now)
}

// pressureOf returns the pressure of a service.
func (s *Server) pressureOf(service string) *pressure {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pressures[service]
	if p == nil {
		p = &pressure{}
		s.pressures[service] = p
	}
	return p
}
