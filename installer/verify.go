// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"slices"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
)

// An engine reports the version number of the start order that it accepted, not of
// the weights that were staged then. So gateways send requests only to an engine
// whose load is verified: the sidecar found it when it started itself, or has
// verified the staged chunks after the engine had accepted the order, or the
// engine came with its version and has accepted no order. Any other load, such as
// one by a late start order of an earlier sidecar process, counts as if the engine
// were empty, and the engine is loaded again.

// loadID identifies what an engine loaded with one order: it consists of the start
// time of the engine's process in Unix milliseconds and the count of orders.
type loadID struct {
	startedMS, orders int64
}

func loadIDOf(s EngineState) loadID { return loadID{s.StartedMS, s.Orders} }

// verifiedVersion returns the version that the engine has loaded, or 0 if the load
// is not verified. Installer.mu is held.
func (i *Installer) verifiedVersion() int {
	if i.unverified() {
		return 0
	}
	return i.engineState.Version
}

// unverified reports whether the engine has a version loaded that is not verified.
// Installer.mu is held.
func (i *Installer) unverified() bool {
	return i.engineState.Version != 0 && i.engineState.Orders != 0 && i.verifiedLoad != loadIDOf(i.engineState)
}

// Unverified reports whether the engine has a version loaded that is not verified,
// so that it must get no requests.
func (i *Installer) Unverified() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.unverified()
}

// expectStart records that a start order is about to be sent to the engine, whose
// last state is given.
func (i *Installer) expectStart(state EngineState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expectedLoad = loadID{state.StartedMS, state.Orders + 1}
}

// startAccepted reports whether state shows that the engine accepted the last
// start order.
func (i *Installer) startAccepted(state EngineState) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.expectedLoad == loadIDOf(state)
}

// verifyLoad verifies all staged chunks after the engine has loaded the version of
// s, and records the load in state as verified if they match; stagingMu is held.
func (i *Installer) verifyLoad(ctx context.Context, s *updateStep, state EngineState) bool {
	m := s.replica.manifest
	began := clock.Now()
	for n := range s.replica.chunks {
		staged, err := i.readStagedWithRetry(ctx, m.Model, n)
		if err == nil && m.ChunkMatches(n, staged) {
			continue
		}
		i.log.Info("version verification failed", "version", m.Version, "chunk", n, "orders", state.Orders, "error", errorText(err))
		i.metrics.Counter("mintlift_installer_doubted_total").Inc()
		return false
	}
	i.log.Info("version verified", "version", m.Version, "orders", state.Orders, "ms", clock.Since(began).Milliseconds())
	i.mu.Lock()
	i.verifiedLoad = loadIDOf(state)
	i.notifyLocked()
	i.mu.Unlock()
	i.awaitReport(ctx, state)
	return true
}

// verifyAttempts is how often a staged chunk is read before its verification
// fails. A read error does not imply a corrupt chunk, and a failed verification
// costs a load of another version.
const verifyAttempts = 3

// readStagedWithRetry reads a staged chunk, with verifyAttempts attempts.
func (i *Installer) readStagedWithRetry(ctx context.Context, model string, n int) (data []byte, err error) {
	for range verifyAttempts {
		data, err = i.engine.Get(ctx, model, n)
		if err == nil || ctx.Err() != nil {
			break
		}
		clock.Sleep(ctx, enginePollInterval)
	}
	return data, err
}

// awaitReport waits until the load in state is in engineState, so that the next
// decision is based on it. It gives up after reportTimeout without a change.
func (i *Installer) awaitReport(ctx context.Context, state EngineState) {
	for began := clock.Now(); ctx.Err() == nil && clock.Since(began) < reportTimeout; {
		i.mu.Lock()
		reported, changed := loadIDOf(i.engineState) == loadIDOf(state) && i.engineState.Version == state.Version, i.changed
		i.mu.Unlock()
		if reported {
			return
		}
		select {
		case <-changed:
		case <-time.After(reportTimeout):
		case <-ctx.Done():
		}
	}
}

// reportTimeout is several times the interval between two reports of the engine.
const reportTimeout = 500 * time.Millisecond

// otherReplica returns the newest complete replica of another version than the one
// that the engine reports, or nil. An engine does not load the version that it
// reports, so an unverified one is replaced by loading another version first.
// Installer.mu is held.
func (i *Installer) otherReplica() *replica {
	var newest *replica
	for _, r := range i.replicas {
		if r.complete() && r.manifest.Version != i.engineState.Version && (newest == nil || r.manifest.Version > newest.manifest.Version) {
			newest = r
		}
	}
	return newest
}

// intermediateVersion returns the version to fetch for an engine that reports the
// newest version unverified, if no replica of another version is complete, and 0
// otherwise. It is the version before the newest, which the origin still has.
// Installer.mu is held.
func (i *Installer) intermediateVersion() int {
	newest := i.newestTarget().version
	if !i.unverified() || i.engineState.Busy || i.engineState.Version != newest || i.otherReplica() != nil {
		return 0
	}
	if len(i.targets) > 1 {
		return i.targets[len(i.targets)-2].version
	}
	return newest - 1
}

// logStagedVersions logs how many staged chunks belong to which version, as far as
// this box has replicas: after an unexpected order they show what was loaded.
func (i *Installer) logStagedVersions(ctx context.Context, model string, version int) {
	i.mu.Lock()
	replicas := slices.Clone(i.replicas)
	chunks := i.params.Chunks
	i.mu.Unlock()
	versions := make(map[int]int)
	other, missing := 0, 0
	for n := range chunks {
		data, err := i.engine.Get(ctx, model, n)
		if err != nil {
			i.log.Info("staged chunk read failed", "version", version, "chunk", n, "error", err.Error())
			return
		}
		at := slices.IndexFunc(replicas, func(r *replica) bool { return r.manifest.ChunkMatches(n, data) })
		switch {
		case data == nil:
			missing++
		case at < 0:
			other++
		default:
			versions[replicas[at].manifest.Version]++
		}
	}
	i.log.Info("staged chunks by version", "engine_version", version, "of_versions", versions, "of_others", other, "missing", missing)
}

// UpdateEngineState records the engine's report. The load in the first report
// counts as verified.
func (i *Installer) UpdateEngineState(s EngineState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	old, first := i.engineState, i.engineStateAt.IsZero()
	i.engineState = s
	i.engineStateAt = clock.Now()
	if first {
		i.verifiedLoad = loadIDOf(s) // a sidecar stages no other version while a start may be accepted
	}
	if first || old.Version != s.Version || old.Busy != s.Busy || old.Orders != s.Orders || old.StartedMS != s.StartedMS {
		i.log.Info("engine state changed", "model", s.Model, "version", s.Version, "was", old.Version, "busy", s.Busy, "orders", s.Orders, "born", s.StartedMS,
			"vouched", !i.unverified())
		i.notifyLocked()
	}
	if !first && s.Orders > old.Orders && i.expectedLoad != loadIDOf(s) {
		i.log.Info("engine accepted an unexpected order", "orders", s.Orders, "was", old.Version, "busy", s.Busy)
		go i.logStagedVersions(context.Background(), i.params.Model, s.Version)
	}
}
