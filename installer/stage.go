// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"

	"github.com/mintlift/mintlift/internal/clock"
)

// Staged chunks are stored by the engine, which has room for one copy of the model in
// addition to the version that it has loaded. They outlive the sidecar's process.
// Installer.stagingMu is held during every change to them. It is also held during a
// load, from the first check of the staged chunks to the last, so that no chunk of
// another version is staged in between.

// callLock is a lock that may be held during calls to other processes. Use newCallLock.
// In contrast to sync.Mutex, a goroutine that waits for it does not hold up the virtual
// time of testing/synctest, in which the holder waits for its response.
type callLock chan struct{}

// newCallLock returns an unlocked callLock.
func newCallLock() callLock { return make(callLock, 1) }

// Lock implements sync.Locker.
func (l callLock) Lock() { l <- struct{}{} }

// Unlock implements sync.Locker.
func (l callLock) Unlock() { <-l }

// stageSampleSize is the number of staged chunks that are read as a sample. If none
// of them matches the manifest, the staged chunks are of another version and the
// rest is not read.
const stageSampleSize = 8

// stageChunk stages a chunk that has arrived, if shouldStage selects r. A sidecar
// that restarts during a fetch continues with the staged chunks. Otherwise a restart of
// all sidecars during a rollout would cost each box a whole copy, and callers seconds
// without service.
func (i *Installer) stageChunk(r *replica, chunk int) {
	i.stagingMu.Lock()
	defer i.stagingMu.Unlock()
	i.mu.Lock()
	data, stages := r.chunks[chunk], i.shouldStage(r)
	i.mu.Unlock()
	if !stages {
		return
	}
	if err := i.put(context.Background(), r.manifest, chunk, data); err != nil {
		i.log.Info("chunk staging failed", "version", r.manifest.Version, "chunk", chunk, "error", err.Error())
	}
}

// shouldStage reports whether arriving chunks of r are stored at the engine for the
// next load (staged). They are if r is newer
// than the engine's verified version and no other such replica holds more chunks. While
// the engine's load is not verified, none is staged: a sidecar that starts now would take
// chunks staged after the load for those that were loaded.
// Installer.mu is held.
func (i *Installer) shouldStage(r *replica) bool {
	if i.engineState.Orders != 0 && i.verifiedLoad != loadIDOf(i.engineState) {
		return false
	}
	if r.manifest.Version <= i.verifiedVersion() {
		return false
	}
	for _, other := range i.replicas {
		if other != r && other.manifest.Version > i.verifiedVersion() && other.held.Count() > r.held.Count() {
			return false
		}
	}
	return true
}

// readStage adds the staged chunks that match their digests to r. It reads a sample
// first, and only if a chunk of the sample matches also the rest.
func (i *Installer) readStage(ctx context.Context, r *replica) {
	if !i.sampleStage(ctx, r) {
		return
	}
	for n := range r.chunks {
		if r.chunks[n] != nil {
			continue
		}
		if err := i.readStagedChunk(ctx, r, n); err != nil {
			i.log.Info("staged chunk read failed", "version", r.manifest.Version, "chunk", n, "error", err.Error())
			return
		}
	}
}

// sampleStage adds the matching chunks of a sample of the staged chunks to r and
// reports whether r holds any chunk. It returns false if a read fails.
func (i *Installer) sampleStage(ctx context.Context, r *replica) bool {
	for at := range min(stageSampleSize, len(r.chunks)) {
		n := at * len(r.chunks) / min(stageSampleSize, len(r.chunks))
		if err := i.readStagedChunk(ctx, r, n); err != nil {
			i.log.Info("staged chunk read failed", "version", r.manifest.Version, "chunk", n, "error", err.Error())
			return false
		}
	}
	return r.held.Any()
}

// readStagedChunk adds chunk n to r if it is staged and matches its digest.
func (i *Installer) readStagedChunk(ctx context.Context, r *replica, n int) error {
	data, err := i.engine.Get(ctx, r.manifest.Model, n)
	if err == nil && r.manifest.ChunkMatches(n, data) {
		r.chunks[n] = data
		r.held.Set(uint(n))
	}
	return err
}

// put stages a chunk; stagingMu is held.
func (i *Installer) put(ctx context.Context, m *Manifest, chunk int, data []byte) error {
	i.stagedAt = clock.Now()
	return i.engine.Put(ctx, m.Model, chunk, data)
}
