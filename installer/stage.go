// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
)

// The engine stages one copy of the model, which outlives this process.
// Installer.stagingMu is held during every change to it, and through a load from
// its first check to its last, so that no chunk of another version is staged
// meanwhile.

// stageSampleSize is how many chunks, spread over the model, are read before all
// are: if none matches, another version is staged, and reading all of them would
// be in vain.
const stageSampleSize = 8

// stageChunk stages a chunk as soon as it has arrived, if r is the replica to
// stage. A sidecar that restarts during a fetch continues with the staged chunks.
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

// shouldStage reports whether arriving chunks of r are staged: of the replicas
// newer than the engine's verified version, r holds the most chunks.
// Installer.mu is held.
func (i *Installer) shouldStage(r *replica) bool {
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

// readStage adds the staged chunks that match their digests to r, unless none of
// a sample does.
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

// sampleStage reads a sample of the staged chunks and reports whether any of them
// matches. It returns false if a read fails.
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
	return i.engine.Put(ctx, m.Model, chunk, data)
}
