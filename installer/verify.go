// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"slices"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
)

// An engine reports the version number in the load command (Start) that it
// accepted. The chunks that were staged at that time may be of another version. So gateways send
// requests only to an engine whose load is verified. A load is verified in one of
// these cases:
//
//   - The sidecar has verified the staged chunks after the engine accepted the order.
//   - A review trusts the load that this sidecar process found; see package loadtrust.
//   - The engine's process has accepted no order: it started with its version.
//   - The service's configuration has no weights, so that no sidecar sends orders.
//
// Any other load is unverified, such as one by a delayed Start of an earlier
// sidecar process. The engine then counts as empty and is loaded again.

// loadID identifies one load of an engine by the start time of the engine's process,
// in Unix milliseconds, and the number of orders that the engine has accepted.
type loadID struct {
	startedMS, orders int64
}

// loadIDOf returns the id of the load that the engine reports.
func loadIDOf(s EngineState) loadID { return loadID{s.StartedMS, s.Orders} }

// verifiedVersion returns the version that the engine has loaded, or 0 if the load
// is not verified. Installer.mu is held.
func (i *Installer) verifiedVersion() int {
	if i.unverified() {
		return 0
	}
	return i.engineState.Version
}

// unverified reports whether the engine has a version loaded that is not verified: its
// weights may be of another version than it reports.
// It is false while that is undecided, as nothing is done about the load then.
// Installer.mu is held.
func (i *Installer) unverified() bool {
	if i.engineState.Version == 0 || i.engineState.Orders == 0 || i.unmanaged() {
		return false
	}
	return i.verifiedLoad != loadIDOf(i.engineState) && !i.undecided()
}

// Unverified reports whether the engine has a version loaded that is not verified,
// so that it must get no requests.
func (i *Installer) Unverified() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.unverified()
}

// expectStart records that a load command (Start) is about to be sent to the engine.
// state is the engine's last state.
func (i *Installer) expectStart(state EngineState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expectedLoad = loadID{state.StartedMS, state.Orders + 1}
}

// startAccepted reports whether state shows that the engine accepted the last load
// command (Start) of this process.
func (i *Installer) startAccepted(state EngineState) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.expectedLoad == loadIDOf(state)
}

// verifyLoad verifies all staged chunks after the engine has loaded the version of s.
// If they match their digests, it records the load in state as verified and returns
// true. stagingMu is held.
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
	i.verifiedLoad, i.verifiedAt = loadIDOf(state), clock.Now()
	i.notifyLocked()
	i.mu.Unlock()
	i.awaitReport(ctx, state)
	return true
}

// verifyAttempts is how often the read of a staged chunk is attempted before the
// verification fails. A failed read does not show that the chunk is corrupt, and after a
// failed verification the engine must be loaded again, which takes seconds.
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

// awaitReport waits until engineState, which the engine's reports update, includes
// the load in state, so that the next update is planned with it. It gives up after
// reportTimeout, or up to twice that if the state changes meanwhile.
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

// reportTimeout bounds how long awaitReport waits for a report of the engine. It is
// several times the interval between two reports.
const reportTimeout = 500 * time.Millisecond

// otherReplica returns the newest complete replica of a version other than the one
// that the engine reports, or nil. An engine does not load the version that it
// reports already. If that version is unverified, another version must be loaded
// first. Installer.mu is held.
func (i *Installer) otherReplica() *replica {
	var newest *replica
	for _, r := range i.replicas {
		if r.complete() && r.manifest.Version != i.engineState.Version && (newest == nil || r.manifest.Version > newest.manifest.Version) {
			newest = r
		}
	}
	return newest
}

// intermediateVersion returns the version to load before the newest one, if the engine
// reports the newest version and that is unverified, as an engine does not load the
// version that it reports. It is the version before the newest,
// and has to be fetched. The result is 0 if no such load is needed or a replica for it
// is complete. Installer.mu is held.
func (i *Installer) intermediateVersion() int {
	newest := i.newestTarget().version
	if !i.unverified() || i.reloadHeld() || i.engineState.Busy || i.engineState.Version != newest || i.otherReplica() != nil {
		return 0
	}
	if len(i.targets) > 1 {
		return i.targets[len(i.targets)-2].version
	}
	return newest - 1
}

// logStagedVersions logs how many staged chunks belong to each version of which this
// box has a replica. It shows what was loaded by an order that this process did not
// send.
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

// UpdateEngineState records a state that the engine reported. A load that the engine's
// process was ordered to carry out before the first report is reviewed; see inheritedLoad.
func (i *Installer) UpdateEngineState(s EngineState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := clock.Now()
	old, first := i.engineState, i.engineStateAt.IsZero()
	i.observeProcess(s, now)
	i.engineState = s
	i.engineStateAt = now
	i.updateReview(now)
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
