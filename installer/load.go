// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
)

// Start is an order to take what lies ready.
type Start struct {
	Model   string
	Version int
	// Cut breaks off requests that run; otherwise the engine waits for their
	// end.
	Cut bool
	// Orders is the count of orders that the engine must tell for this one to be
	// taken.
	Orders int64
}

// Outcome is what is known of a start.
type Outcome int

// The outcomes of a start.
const (
	// Unknown: it may have been taken, or may be yet.
	Unknown Outcome = iota
	// Taken: it was taken, or the engine holds the version already.
	Taken
	// Refused: it was not taken, and will not be.
	Refused
)

// Timing of a load.
const (
	// checkFresh is how old the check of the chunks may be when the start is
	// sent: a third of the time within which a chunk that has turned bad by
	// itself cannot be known.
	checkFresh = time.Second
	// settlePause is slept between two looks at an engine of which it is not
	// known whether it has taken a start, or takes one.
	settlePause = 50 * time.Millisecond
)

// load brings the version of s into the engine; it returns false if that
// failed.
//
// The engine takes a start when it carries it out, with what lies ready then,
// which may be seconds after its caller has given up. So a start is for one
// count of orders, and one that got no answer is sent again, before
// anything else may lie ready: at most one of them is taken, and once one was,
// the count has risen and the others are refused. Then all chunks are read
// once more. What is wrong then may have been wrong when the engine took it, and
// stays so until somebody lays it anew, which nobody else does: staging is held.
// Only what has passed this second check is vouched for.
func (i *Installer) load(ctx context.Context, s *step) bool {
	i.staging.Lock()
	defer i.staging.Unlock()
	m := s.copy.manifest
	sent := false // a start is under way that may be taken
	for ; ctx.Err() == nil; clock.Sleep(ctx, settlePause) {
		state, err := i.engine.State(ctx)
		switch {
		case err != nil && !sent:
			i.log.Info("engine does not tell its state", "version", m.Version, "error", err.Error())
			return false
		case err != nil, state.Busy:
			continue
		case sent && state.Version == m.Version && i.awaited(state):
			return i.vouch(ctx, s, state)
		case state.Version == m.Version:
			return true // it would not take it again
		}
		checked := clock.Now()
		if laid := i.lay(ctx, s); !laid && !sent {
			return false
		} else if !laid || clock.Since(checked) > checkFresh {
			continue
		}
		switch i.order(ctx, s, state, checked) {
		case Taken:
			return i.await(ctx, s, state)
		case Refused:
			if !sent {
				return false
			}
		case Unknown:
			sent = true
		}
	}
	return false
}

// lay makes sure that every chunk lies ready beside the engine and fits.
func (i *Installer) lay(ctx context.Context, s *step) bool {
	m := s.copy.manifest
	for n, data := range s.copy.chunks {
		lying, err := i.engine.Get(ctx, m.Model, n)
		if err == nil && m.Fits(n, lying) {
			continue
		}
		if err == nil {
			err = i.put(ctx, m, n, data)
		}
		if err != nil {
			i.log.Info("chunk not laid", "version", m.Version, "chunk", n, "error", err.Error())
			return false
		}
	}
	return true
}

// order tells the engine, which tells state, to take what lies ready, all of
// which was read after checked.
func (i *Installer) order(ctx context.Context, s *step, state EngineState, checked time.Time) Outcome {
	m := s.copy.manifest
	i.expect(state)
	began := clock.Now()
	outcome, err := i.engine.Start(ctx, Start{Model: m.Model, Version: m.Version, Cut: state.Version != 0, Orders: state.Orders})
	took := clock.Since(began).Milliseconds()
	switch outcome {
	case Unknown:
		i.log.Info("start not answered", "version", m.Version, "orders", state.Orders, "ms", took, "error", errorText(err))
		i.metrics.Counter("mintlift_installer_starts_unanswered_total").Inc()
	case Refused:
		i.log.Info("start refused", "version", m.Version, "orders", state.Orders, "ms", took, "error", errorText(err))
	case Taken:
		since := time.Duration(-1)
		if !s.named.IsZero() {
			since = clock.Since(s.named)
		}
		i.log.Info("start ordered", "version", m.Version, "empty", s.empty, "since_named_ms", since.Milliseconds(), "orders", state.Orders,
			"check_age_ms", began.Sub(checked).Milliseconds(), "ms", took)
		i.metrics.Counter("mintlift_installer_starts_total").Inc()
	}
	return outcome
}

// await waits until the engine, which told before, has taken the start that it
// answered, and vouches for what it took. It returns false if the engine has begun
// anew, or does not get there.
func (i *Installer) await(ctx context.Context, s *step, before EngineState) bool {
	m := s.copy.manifest
	for began := clock.Now(); ctx.Err() == nil; clock.Sleep(ctx, settlePause) {
		state, err := i.engine.State(ctx)
		switch {
		case err != nil && clock.Since(began) > startWait:
			i.log.Info("engine does not tell its state", "version", m.Version, "error", err.Error())
			return false
		case err != nil:
			continue
		case !i.awaited(state):
			// The answer said that the count had risen.
			i.log.Info("engine began anew amid a load", "version", m.Version, "orders", state.Orders, "expected", before.Orders+1)
			return false
		case state.Version == m.Version && !state.Busy:
			return i.vouch(ctx, s, state)
		case clock.Since(began) > startWait && !state.Busy:
			i.log.Info("start without effect", "version", m.Version, "holds", state.Version, "orders", state.Orders)
			return false
		}
	}
	return false
}
