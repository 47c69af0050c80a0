// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
)

// Start is a command to the engine, also called an order, to load the staged chunks
// in place of the version that it has loaded.
type Start struct {
	Model   string
	Version int
	// AbortRunning makes the engine abort its running requests; otherwise it waits until they
	// end.
	AbortRunning bool
	// Orders is the expected EngineState.Orders, the number of orders that the engine
	// has accepted. The engine refuses the order if its count differs, so it accepts
	// a repeated order only once.
	Orders int64
}

// Outcome is the result of sending a Start to the engine, as far as it is known.
type Outcome int

// The outcomes of a Start.
const (
	// Unknown means that the engine may have accepted the order or may still
	// accept it.
	Unknown Outcome = iota
	// Accepted means that the engine accepted the order, or that it has the version
	// loaded already.
	Accepted
	// Refused means that the engine did not accept the order and will not.
	Refused
)

// Timing of a load.
const (
	// maxCheckDuration is the maximum duration of the check of all staged chunks that
	// precedes a Start, the order to the engine to load the version. A check that took
	// longer is repeated, as the chunks that it read first may have become corrupt since,
	// but only once: an engine that responds so slowly would never be loaded, and the
	// check after the load detects such a chunk as well.
	maxCheckDuration = time.Second
	// enginePollInterval is the pause between two reads of the engine's state while
	// the sidecar waits for the engine to load a version.
	enginePollInterval = 50 * time.Millisecond
)

// load loads the version of s into the engine. It returns false if that failed.
//
// The engine may accept a Start seconds after the sidecar's call has timed
// out, and then loads the chunks that are staged at that time. So every order
// carries the expected count of accepted orders. An order without a response is
// sent again, with the same version staged, until its outcome is known. The engine
// accepts at most one of these orders, which increments the count, and refuses the
// others.
//
// After the engine has accepted the order, all staged chunks are verified again.
// This detects a chunk that became corrupt before the engine read it: nothing
// replaces staged chunks in the meantime, as stagingMu is held. Only a load that
// passes this second check counts as verified.
func (i *Installer) load(ctx context.Context, s *updateStep) bool {
	i.stagingMu.Lock()
	defer i.stagingMu.Unlock()
	m := s.replica.manifest
	sent := false // the engine may still accept an order sent earlier
	repeated := false
	for ; ctx.Err() == nil; clock.Sleep(ctx, enginePollInterval) {
		state, err := i.engine.State(ctx)
		switch {
		case err != nil && !sent:
			i.log.Info("engine state read failed", "version", m.Version, "error", err.Error())
			return false
		case err != nil, state.Busy:
			continue
		case sent && state.Version == m.Version && i.startAccepted(state):
			return i.verifyLoad(ctx, s, state)
		case state.Version == m.Version:
			// The engine does not load a version that it has loaded. Until the engine's
			// report shows that, the next update is the same one again.
			i.awaitReport(ctx, state)
			return true
		}
		checked := clock.Now()
		if staged := i.stageReplica(ctx, s); !staged && !sent {
			return false
		} else if !staged {
			continue
		}
		if clock.Since(checked) > maxCheckDuration && !repeated {
			repeated = true
			continue
		}
		// An order of a former process of the sidecar may have been accepted while chunks
		// were staged. The engine then has a mixture of versions loaded, which an order
		// whose refusal is lost must not be taken for.
		if now, err := i.engine.State(ctx); err != nil || loadIDOf(now) != loadIDOf(state) {
			continue
		}
		switch i.sendStart(ctx, s, state, checked) {
		case Accepted:
			return i.awaitStart(ctx, s, state)
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

// stageReplica makes all chunks of s staged. It reads every staged chunk, and stages
// the chunk of s again if that is missing or does not match its digest. It returns
// false if staging a chunk failed. stagingMu is held.
func (i *Installer) stageReplica(ctx context.Context, s *updateStep) bool {
	m := s.replica.manifest
	for n, data := range s.replica.chunks {
		staged, err := i.engine.Get(ctx, m.Model, n)
		if err == nil && m.ChunkMatches(n, staged) {
			continue
		}
		if err == nil {
			err = i.put(ctx, m, n, data)
		}
		if err != nil {
			i.log.Info("chunk staging failed", "version", m.Version, "chunk", n, "error", err.Error())
			return false
		}
	}
	return true
}

// sendStart commands the engine to load the staged chunks of s. state is the engine's last state, and
// checked is when the last check of the staged chunks started.
func (i *Installer) sendStart(ctx context.Context, s *updateStep, state EngineState, checked time.Time) Outcome {
	m := s.replica.manifest
	i.expectStart(state)
	began := clock.Now()
	outcome, err := i.engine.Start(ctx, Start{Model: m.Model, Version: m.Version, AbortRunning: state.Version != 0, Orders: state.Orders})
	took := clock.Since(began).Milliseconds()
	switch outcome {
	case Unknown:
		i.log.Info("start outcome unknown", "version", m.Version, "orders", state.Orders, "ms", took, "error", errorText(err))
		i.metrics.Counter("mintlift_installer_starts_unanswered_total").Inc()
	case Refused:
		i.log.Info("start refused", "version", m.Version, "orders", state.Orders, "ms", took, "error", errorText(err))
	case Accepted:
		since := time.Duration(-1)
		if !s.targetSetAt.IsZero() {
			since = clock.Since(s.targetSetAt)
		}
		i.log.Info("start ordered", "version", m.Version, "empty", s.engineEmpty, "since_named_ms", since.Milliseconds(), "orders", state.Orders,
			"check_age_ms", began.Sub(checked).Milliseconds(), "ms", took)
		i.metrics.Counter("mintlift_installer_starts_total").Inc()
	}
	return outcome
}

// awaitStart waits until the engine has loaded the version of s and verifies the load.
// The engine has accepted the Start; before is its state before that.
// It returns false if the engine restarted, did not load the version within
// startTimeout, or the verification failed.
func (i *Installer) awaitStart(ctx context.Context, s *updateStep, before EngineState) bool {
	m := s.replica.manifest
	for began := clock.Now(); ctx.Err() == nil; clock.Sleep(ctx, enginePollInterval) {
		state, err := i.engine.State(ctx)
		switch {
		case err != nil && clock.Since(began) > startTimeout:
			i.log.Info("engine state read failed", "version", m.Version, "error", err.Error())
			return false
		case err != nil:
			continue
		case !i.startAccepted(state):
			// The order was accepted, so only a restart explains another count or start time.
			i.log.Info("engine restarted during a load", "version", m.Version, "orders", state.Orders, "expected", before.Orders+1)
			return false
		case state.Version == m.Version && !state.Busy:
			return i.verifyLoad(ctx, s, state)
		case clock.Since(began) > startTimeout && !state.Busy:
			i.log.Info("start had no effect", "version", m.Version, "holds", state.Version, "orders", state.Orders)
			return false
		}
	}
	return false
}
