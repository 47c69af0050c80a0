// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/quarantine"
)

// errQuarantined says that an attempt was ended since its request has been put in
// quarantine.
const errQuarantined = errors.ConstError("request put in quarantine")

// underway are the attempts that have brought nothing yet, by identity. Copies
// that wait at endpoints when a request is put in quarantine would end those, too:
// the crashes that put it there are over before they run. Its lock is a leaf.
type underway struct {
	mu   sync.Mutex
	byID map[quarantine.ID]map[*exchange]context.CancelCauseFunc
}

func newUnderway() underway {
	return underway{byID: make(map[quarantine.ID]map[*exchange]context.CancelCauseFunc)}
}

func (u *underway) add(x *exchange, cancel context.CancelCauseFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	copies := u.byID[x.identity]
	if copies == nil {
		copies = make(map[*exchange]context.CancelCauseFunc, 1)
		u.byID[x.identity] = copies
	}
	copies[x] = cancel
}

func (u *underway) remove(x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	copies := u.byID[x.identity]
	delete(copies, x)
	if len(copies) == 0 {
		delete(u.byID, x.identity)
	}
}

// end ends the attempts of requests that must not be sent, and returns how many.
func (u *underway) end(kept func(quarantine.ID) bool) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	ended := 0
	for id, copies := range u.byID {
		if !kept(id) {
			continue
		}
		for x, cancel := range copies {
			if x.trial {
				continue
			}
			cancel(errQuarantined)
			ended++
		}
	}
	return ended
}

// endQuarantined ends the attempts under way of requests in quarantine.
func (s *Server) endQuarantined() {
	now := clock.Now()
	ended := s.underway.end(func(id quarantine.ID) bool { return s.suspects.Standing(id, now).Quarantined() })
	if ended > 0 {
		s.events.Info("attempts ended for quarantine", "attempts", ended)
	}
}
