// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
)

// What lies ready beside the engine, one copy of the model, outlasts this
// process. Installer.staging is held by whoever changes it, and through a load
// from its first check to its last, so that nothing of another version comes to
// lie there meanwhile.

// stageProbes is how many chunks, spread over the copy, are looked at before
// all are read: none that fits says that another version lies there. A start in
// vain would cost each box 64 reads when a version is named.
const stageProbes = 8

// layEarly lays a chunk ready as soon as it has come. A sidecar that is killed
// begins again with what lies there; without it, a kill of all processes amid
// a rollout cost a whole copy a box, some 3 s without service.
func (i *Installer) layEarly(r *replica, chunk int) {
	i.staging.Lock()
	defer i.staging.Unlock()
	i.mu.Lock()
	data, lays := r.chunks[chunk], i.laysEarly(r)
	i.mu.Unlock()
	if !lays {
		return
	}
	if err := i.put(context.Background(), r.manifest, chunk, data); err != nil {
		i.log.Info("chunk not laid", "version", r.manifest.Version, "chunk", chunk, "error", err.Error())
	}
}

// laysEarly reports whether r is the copy to be found after a restart: of those
// that the engine lacks the one that holds most. Installer.mu is held.
func (i *Installer) laysEarly(r *replica) bool {
	if r.manifest.Version <= i.holds() {
		return false
	}
	for _, other := range i.copies {
		if other != r && other.manifest.Version > i.holds() && other.held.Count() > r.held.Count() {
			return false
		}
	}
	return true
}

// readStage takes the chunks that lie ready and fit.
func (i *Installer) readStage(ctx context.Context, r *replica) {
	if !i.probeStage(ctx, r) {
		return
	}
	for n := range r.chunks {
		if r.chunks[n] != nil {
			continue
		}
		if err := i.readStaged(ctx, r, n); err != nil {
			i.log.Info("chunk lying ready not read", "version", r.manifest.Version, "chunk", n, "error", err.Error())
			return
		}
	}
}

// probeStage reports whether any chunk of a sample lies ready.
func (i *Installer) probeStage(ctx context.Context, r *replica) bool {
	for at := range min(stageProbes, len(r.chunks)) {
		n := at * len(r.chunks) / min(stageProbes, len(r.chunks))
		if err := i.readStaged(ctx, r, n); err != nil {
			i.log.Info("chunk lying ready not read", "version", r.manifest.Version, "chunk", n, "error", err.Error())
			return false
		}
	}
	return r.held.Any()
}

// readStaged takes chunk n if it lies ready and fits.
func (i *Installer) readStaged(ctx context.Context, r *replica, n int) error {
	data, err := i.engine.Get(ctx, r.manifest.Model, n)
	if err == nil && r.manifest.Fits(n, data) {
		r.chunks[n] = data
		r.held.Set(uint(n))
	}
	return err
}

// put lays a chunk ready; staging is held.
func (i *Installer) put(ctx context.Context, m *Manifest, chunk int, data []byte) error {
	return i.engine.Put(ctx, m.Model, chunk, data)
}
