// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
)

// What lies ready beside the engine, one copy of the model, outlasts this
// process. Installer.staging is held by whoever changes it: between the check
// of the last chunk and the engine's word that it takes them, nothing of
// another version may come to lie there.

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
	if err := i.engine.Put(context.Background(), r.manifest.Model, chunk, data); err != nil {
		i.log.Info("chunk not laid", "version", r.manifest.Version, "chunk", chunk, "error", err.Error())
	}
}

// laysEarly reports whether r is the copy to be found after a restart: of those
// that the engine lacks the one that holds most. Installer.mu is held.
func (i *Installer) laysEarly(r *replica) bool {
	if r.manifest.Version <= i.state.Version {
		return false
	}
	for _, other := range i.copies {
		if other != r && other.manifest.Version > i.state.Version && other.held.Count() > r.held.Count() {
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

// layAndOrder lays what is still missing, checks every chunk, and orders the
// engine to take the version.
func (i *Installer) layAndOrder(ctx context.Context, s *step) bool {
	i.staging.Lock()
	defer i.staging.Unlock()
	checked := clock.Now()
	return i.lay(ctx, s) && i.order(ctx, s, checked)
}

// expect notes the count of orders that the engine tells once it has taken what
// it was sent.
func (i *Installer) expect(orders int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expected = orders
}

// noAnswer reports whether a call may have been carried out, or may be yet: it
// brought no answer, and its connection was not refused.
func noAnswer(err error) bool {
	var status interface{ Refused() bool }
	return !errors.As(err, &status) && !errors.Is(err, syscall.ECONNREFUSED)
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
			err = i.engine.Put(ctx, m.Model, n, data)
		}
		if err != nil {
			i.log.Info("chunk not laid", "version", m.Version, "chunk", n, "error", err.Error())
			return false
		}
	}
	return true
}

// order tells the engine to take what lies ready, all of which was read after
// checked.
func (i *Installer) order(ctx context.Context, s *step, checked time.Time) bool {
	m := s.copy.manifest
	known, _ := i.State()
	i.expect(known.Orders + 1)
	began := clock.Now()
	err := i.engine.Start(ctx, m.Model, m.Version, !s.empty)
	took := clock.Since(began).Milliseconds()
	switch {
	case err != nil && noAnswer(err):
		// It may be taken yet, whatever lies ready then.
		i.expect(known.Orders)
		i.log.Info("start not answered", "version", m.Version, "orders", known.Orders, "ms", took, "error", err.Error())
		return false
	case err != nil:
		i.log.Info("start refused", "version", m.Version, "orders", known.Orders, "ms", took, "error", err.Error())
		return false
	}
	since := time.Duration(-1)
	if !s.named.IsZero() {
		since = clock.Since(s.named)
	}
	i.log.Info("start ordered", "version", m.Version, "empty", s.empty, "since_named_ms", since.Milliseconds(), "orders", known.Orders,
		"check_age_ms", began.Sub(checked).Milliseconds(), "ms", took)
	i.metrics.Counter("mintlift_installer_starts_total").Inc()
	return true
}

// logLying logs of which versions chunks lie ready beside the engine, as far as
// this box has copies of them: an engine that takes an order late takes these.
func (i *Installer) logLying(ctx context.Context, model string, version int) {
	i.mu.Lock()
	copies := slices.Clone(i.copies)
	chunks := i.params.Chunks
	i.mu.Unlock()
	versions := make(map[int]int)
	other, missing := 0, 0
	for n := range chunks {
		data, err := i.engine.Get(ctx, model, n)
		if err != nil {
			i.log.Info("chunk lying ready not read", "version", version, "chunk", n, "error", err.Error())
			return
		}
		at := slices.IndexFunc(copies, func(r *replica) bool { return r.manifest.Fits(n, data) })
		switch {
		case data == nil:
			missing++
		case at < 0:
			other++
		default:
			versions[copies[at].manifest.Version]++
		}
	}
	i.log.Info("chunks lying ready", "engine_version", version, "of_versions", versions, "of_others", other, "missing", missing)
}
