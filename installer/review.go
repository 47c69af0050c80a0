// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/loadtrust"
)

// A sidecar that starts finds a load that it has not verified, unless the engine's process
// has accepted no order. The same applies to a sidecar that may have missed a restart of an
// engine without a start time. Package loadtrust decides whether to trust such a load; this
// file collects the evidence.

// maxUnobserved is the maximum time between two reads of the state of an engine without a
// start time after which its process is assumed to be the same. A restarted engine that
// reports the same count of orders has loaded a version since, which takes 300 ms and more.
const maxUnobserved = 500 * time.Millisecond

// inheritedLoad is a load that this process has not verified, under review.
type inheritedLoad struct {
	id loadID
	// unstagedSince is a time before the load. The staged chunks show what was loaded
	// only if this process has staged none since then.
	unstagedSince time.Time
	// review is nil until the engine has completed the load.
	review *loadtrust.Review
	status loadtrust.Status
	// held is set while the engine is not to be loaded again because of this load.
	held bool
}

// observeProcess detects that the engine's process may be another one than that of the last
// state. A load of a former process is no longer verified, and a load that may be of either
// is reviewed. Installer.mu is held; engineState and engineStateAt are still the last ones.
func (i *Installer) observeProcess(s EngineState, now time.Time) {
	last := i.engineStateAt
	if i.verifiedAt.After(last) {
		last = i.verifiedAt
	}
	same := i.verifiedLoad == loadIDOf(s)
	switch {
	case i.engineStateAt.IsZero():
	case s.StartedMS != 0:
		return // loadID tells the loads of two processes apart
	case s.Orders < i.engineState.Orders && !i.verifiedAt.After(i.engineStateAt):
		i.verifiedLoad, i.inherited = loadID{}, nil
		return
	case !same || now.Sub(last) <= maxUnobserved:
		return
	}
	i.verifiedLoad, i.inherited = loadID{}, nil
	if s.Orders != 0 {
		i.inherited = &inheritedLoad{id: loadIDOf(s), unstagedSince: last, held: true}
	}
}

// updateReview brings the review of an inherited load up to date with the engine's state
// and the time. It ends the review if the load is trusted, verified by this process or
// replaced by another. Installer.mu is held.
func (i *Installer) updateReview(now time.Time) {
	in, s := i.inherited, i.engineState
	if in == nil {
		return
	}
	if in.id != loadIDOf(s) || i.verifiedLoad == in.id {
		i.inherited = nil
		i.notifyLocked()
		return
	}
	if s.Busy || s.Version == 0 {
		return // a load is in progress, or nothing is loaded
	}
	if in.review == nil || in.review.Load().Version != s.Version {
		in.review = loadtrust.NewReview(loadtrust.Load{StartedMS: s.StartedMS, Orders: s.Orders, Version: s.Version}, now)
		in.status = loadtrust.Undecided
		i.notifyLocked()
	}
	status, held := in.review.Status(now), !in.review.MayReload(now)
	if status == in.status && held == in.held {
		return
	}
	if status != in.status {
		i.log.Info("inherited load reviewed", "version", s.Version, "orders", s.Orders, "born", s.StartedMS, "trusted", status == loadtrust.Trusted)
	}
	in.status, in.held = status, held
	if status == loadtrust.Trusted {
		i.verifiedLoad, i.inherited = in.id, nil
	}
	i.notifyLocked()
}

// undecided reports whether the engine has a version loaded of which it is not known yet
// whether to trust it. Installer.mu is held.
func (i *Installer) undecided() bool {
	in, s := i.inherited, i.engineState
	return !i.unmanaged() && in != nil && in.review != nil && in.status == loadtrust.Undecided && !s.Busy && s.Version != 0
}

// reloadHeld reports whether the engine must not be loaded, as its load may still be
// confirmed. Installer.mu is held.
func (i *Installer) reloadHeld() bool {
	return i.inherited != nil && i.inherited.review != nil && i.inherited.held && i.engineState.Version != 0
}

// Undecided reports whether it is not known yet whether to trust the version that the
// engine has loaded. No report is to be published meanwhile.
func (i *Installer) Undecided() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.undecided()
}

// reviewLoads collects evidence about inherited loads until ctx ends.
func (i *Installer) reviewLoads(ctx context.Context) {
	for ctx.Err() == nil {
		i.mu.Lock()
		in, changed := i.inherited, i.changed
		var review *loadtrust.Review
		if in != nil {
			review = in.review
		}
		i.mu.Unlock()
		if review != nil {
			i.collectEvidence(ctx, in, review)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// collectEvidence collects evidence for a review until the review ends.
func (i *Installer) collectEvidence(ctx context.Context, in *inheritedLoad, review *loadtrust.Review) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { i.reviewStage(ctx, in, review) })
	for ctx.Err() == nil && i.inReview(review) {
		if i.settings.LoadMemories != nil {
			for _, m := range i.settings.LoadMemories(ctx) {
				i.observe(review, func() {
					if review.ObserveMemory(m) {
						i.log.Info("load confirmed by gateway", "version", m.Load.Version, "orders", m.Load.Orders)
					}
				})
			}
		}
		now := clock.Now()
		i.mu.Lock()
		i.updateReview(now)
		wait := review.PollInterval(now)
		i.mu.Unlock()
		clock.Sleep(ctx, wait)
	}
}

// inReview reports whether a review is still in progress.
func (i *Installer) inReview(review *loadtrust.Review) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.inherited != nil && i.inherited.review == review
}

// observe calls do, which adds evidence to a review, unless the review has ended.
func (i *Installer) observe(review *loadtrust.Review, do func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.inherited == nil || i.inherited.review != review {
		return
	}
	do()
	i.updateReview(clock.Now())
}

const (
	// stageReviewInterval is the pause between two attempts to compare the staged chunks.
	stageReviewInterval = 250 * time.Millisecond
	// stageReviews is how often chunks that differ are compared. The first manifest, or
	// the first read of a chunk, may be corrupt.
	stageReviews = 3
)

// reviewStage compares the staged chunks with the manifest of the version under review. It
// tries until it has a result, a chunk has been staged or ctx ends.
func (i *Installer) reviewStage(ctx context.Context, in *inheritedLoad, review *loadtrust.Review) {
	var compared []Digest
	for differed := 0; ctx.Err() == nil && differed < stageReviews; clock.Sleep(ctx, stageReviewInterval) {
		m := i.manifestOfLoad(ctx, review.Load().Version)
		if m == nil {
			continue
		}
		if !slices.Equal(m.Digests, compared) {
			differed, compared = 0, m.Digests // the manifest was corrected
		}
		stage, valid := i.compareStage(ctx, in, m)
		if !valid {
			return
		}
		switch stage {
		case loadtrust.StageUnknown:
			continue
		case loadtrust.StageDiffers:
			differed++
			i.forgetManifestOfLoad()
		case loadtrust.StageMatches:
		}
		i.observe(review, func() { review.ObserveStage(stage) })
	}
}

// compareStage compares the staged chunks with a manifest. valid is false if this process
// has staged a chunk since the load, so that the staged chunks show nothing.
func (i *Installer) compareStage(ctx context.Context, in *inheritedLoad, m *Manifest) (stage loadtrust.Stage, valid bool) {
	i.stagingMu.Lock()
	defer i.stagingMu.Unlock()
	if i.stagedAt.After(in.unstagedSince) {
		return loadtrust.StageUnknown, false
	}
	for n := range m.Digests {
		staged, err := i.readStagedWithRetry(ctx, m.Model, n)
		if err != nil {
			i.log.Info("staged chunk read failed", "version", m.Version, "chunk", n, "error", err.Error())
			return loadtrust.StageUnknown, true
		}
		if !m.ChunkMatches(n, staged) {
			i.log.Info("staged chunks differ from loaded version", "version", m.Version, "chunk", n, "missing", staged == nil)
			return loadtrust.StageDiffers, true
		}
	}
	return loadtrust.StageMatches, true
}

// manifestOfLoad returns the manifest of the version that the engine has loaded, or nil if
// it is not available. The manifest of the newest target version comes from the task that
// opens its replica.
func (i *Installer) manifestOfLoad(ctx context.Context, version int) *Manifest {
	i.mu.Lock()
	r, known, params, newest := i.replicaLocked(version), i.loadManifest, i.params, i.newestTarget().version
	i.mu.Unlock()
	switch {
	case r != nil:
		return r.manifest
	case known != nil && known.Version == version:
		return known
	case params.Chunks == 0, version == newest:
		return nil
	}
	m := i.fetchManifest(ctx, fetchTask{params: params, version: version})
	if m == nil {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.loadManifest = m
	i.notifyLocked() // serveManifest may hold requests for this manifest
	return m
}

// forgetManifestOfLoad makes manifestOfLoad fetch the manifest again.
func (i *Installer) forgetManifestOfLoad() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.loadManifest = nil
}
