// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/transfer"
	"github.com/mintlift/mintlift/weights"
)

// Timing of jobs and the bound of a manifest's size.
const (
	reconcileInterval = time.Second
	stepRetryInterval = 300 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	maxManifestBytes  = 4 << 20
)

// copies holds the copies of weights on this box: one job for each version. mu is taken
// before a job's mu.
type copies struct {
	mu            sync.Mutex
	jobs          map[weights.Ref]*job
	memoryBytes   int64 // size of the engine's memory; 0 means no limit
	stateReported bool  // the engine has reported which versions it has loaded
}

// engineKnown reports whether the engine has reported which versions it has loaded.
func (c *copies) engineKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateReported
}

// job brings the copy of one version from the state Absent to Serving. cancel and done
// belong to the job's goroutine; cancel is nil while no goroutine runs. Both are guarded
// by copies.mu.
type job struct {
	ref    weights.Ref
	cancel context.CancelFunc
	done   chan struct{}

	originBytes, peerBytes, crossRegionBytes, badChunks atomic.Int64 // received so far; badChunks had a wrong digest
	inFlight                                            atomic.Int64 // requests at the version

	mu            sync.Mutex
	plan          *intent.Plan     // the newest plan for the version
	copy          *weights.Copy    // nil until the manifest is known
	swarm         *transfer.Swarm  // decides which chunks to pull
	picker        *transfer.Picker // selects chunks to send
	manifest      []byte           // encoded
	blockedReason string           // why the current step has not succeeded, or empty
}

// report returns, for peer.Status, the copies, the versions that the engine has loaded,
// and the size of the engine's memory in bytes.
func (c *copies) report() (held []peer.CopyStatus, loaded []peer.LoadedVersion, memoryBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		r := j.report()
		held = append(held, r)
		if size := j.loadedBytes(); size > 0 {
			loaded = append(loaded, peer.LoadedVersion{Ref: j.ref, Bytes: size})
		}
	}
	slices.SortFunc(held, func(a, b peer.CopyStatus) int { return cmp.Compare(a.String(), b.String()) })
	slices.SortFunc(loaded, func(a, b peer.LoadedVersion) int { return cmp.Compare(a.String(), b.String()) })
	return held, loaded, c.memoryBytes
}

// report returns the job's copy for peer.Status.
func (j *job) report() peer.CopyStatus {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := peer.CopyStatus{
		Ref:              j.ref,
		State:            weights.Absent,
		OriginBytes:      j.originBytes.Load(),
		PeerBytes:        j.peerBytes.Load(),
		CrossRegionBytes: j.crossRegionBytes.Load(),
		BadChunks:        j.badChunks.Load(),
		Blocked:          j.blockedReason,
	}
	if j.plan != nil {
		r.Plan = j.plan.ID
	}
	if j.copy != nil {
		r.State, r.Held, r.Chunks = j.copy.State(), j.copy.Count(), len(j.copy.Manifest().Chunks)
	}
	return r
}

// loadedBytes returns the size of the version in bytes if the engine has loaded it or may
// have loaded it, and 0 otherwise.
func (j *job) loadedBytes() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.copy == nil {
		return 0
	}
	switch j.copy.State() {
	case weights.Loading, weights.Serving, weights.Draining:
		return j.copy.Manifest().Bytes
	default:
		return 0
	}
}

// state returns the state of the copy, Absent before the manifest is known.
func (j *job) state() weights.CopyState {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.copy == nil {
		return weights.Absent
	}
	return j.copy.State()
}

// setBlockedReason sets the reason why the current step has not succeeded. It is empty
// if the step has succeeded.
func (j *job) setBlockedReason(reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.blockedReason = reason
}

// acquireServing returns the job of a version that is serving, and counts a request in
// flight at it. The caller must call j.inFlight.Add(-1) when the request ends. It
// returns false if the version is not serving.
func (c *copies) acquireServing(ref weights.Ref) (*job, bool) {
	c.mu.Lock()
	j := c.jobs[ref]
	c.mu.Unlock()
	if j == nil {
		return nil, false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.copy == nil || j.copy.State() != weights.Serving {
		return nil, false
	}
	j.inFlight.Add(1)
	return j, true
}

// get returns the job of a version, or nil.
func (c *copies) get(ref weights.Ref) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[ref]
}

// runCopies adopts the versions that the engine has loaded. It then reconciles the copies
// with the plans at each change of the state and every reconcileInterval, until ctx ends.
func (d *Daemon) runCopies(ctx context.Context) {
	d.copies.mu.Lock()
	d.copies.jobs = make(map[weights.Ref]*job)
	d.copies.mu.Unlock()
	adopted := false
	for ctx.Err() == nil {
		changed := d.Replica.Changed()
		if !adopted {
			adopted = d.adopt(ctx)
		}
		if adopted {
			d.reconcile(ctx)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(reconcileInterval):
		}
	}
	d.copies.mu.Lock()
	jobs := d.copies.all()
	d.copies.mu.Unlock()
	for _, j := range jobs {
		d.copies.stop(j)
	}
}

// all returns the jobs. The caller holds mu.
func (c *copies) all() []*job {
	out := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		out = append(out, j)
	}
	return out
}

// stop cancels a job's goroutine, if there is one, and waits until it has returned.
func (c *copies) stop(j *job) {
	c.mu.Lock()
	cancel, done := j.cancel, j.done
	c.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

// adopt adds jobs for the versions that the engine has already loaded, which happens when
// the sidecar restarts and the engine does not. It claims the engine first, so that an
// engine that checks epochs rejects later orders of a former sidecar. It returns false if
// it must be called again.
func (d *Daemon) adopt(ctx context.Context) bool {
	if d.Replica.Contact().IsZero() && d.Replica.Offset() == 0 {
		return false // no state of the event log yet, so no fence
	}
	d.orders.mu.Lock()
	err := d.claimEngine(ctx)
	d.orders.mu.Unlock()
	if err != nil {
		d.Log.V(1).Info("copies: engine not claimed", "error", err.Error())
		return false
	}
	s, err := d.engine.State(ctx)
	if err != nil {
		return false
	}
	d.copies.mu.Lock()
	d.copies.memoryBytes = s.MemoryBytes
	d.copies.mu.Unlock()
	for _, l := range s.Loaded {
		d.adoptLoaded(ctx, l)
	}
	d.copies.mu.Lock()
	d.copies.stateReported = true
	d.copies.mu.Unlock()
	return true
}

// adoptLoaded adds a job in the state Serving for a version that the engine has loaded.
// It does nothing unless a plan with the same manifest digest has been confirmed.
func (d *Daemon) adoptLoaded(ctx context.Context, l engine.Loaded) {
	var plan *intent.Plan
	d.Replica.View(func(s *state.State) {
		for _, id := range s.PlanOrder {
			p := s.Plans[id]
			if p.Intent.Ref == l.Ref && p.ManifestDigest == l.ManifestDigest && p.Fence > 0 {
				plan = p
			}
		}
	})
	if plan == nil {
		return
	}
	m, raw, err := d.fetchManifest(ctx, plan)
	if err != nil {
		d.Log.Info("copies: loaded version not adopted", "version", l.Ref.String(), "error", err.Error())
		return
	}
	j := &job{ref: l.Ref, plan: plan, manifest: raw, copy: weights.NewCopy(m)}
	if err := j.copy.Adopt(l.Fence); err != nil {
		panic("sidecar: new copy rejected adoption: " + err.Error()) // broken invariant
	}
	j.swarm, j.picker = d.newSwarm(plan, m, j.copy)
	d.copies.mu.Lock()
	d.copies.jobs[l.Ref] = j
	d.copies.mu.Unlock()
	d.Log.Info("copies: adopted", "version", l.Ref.String())
}

// reconcile starts a job for each version that a plan in effect requires on this box. It
// drops the jobs of other versions, except those that the engine has loaded.
func (d *Daemon) reconcile(ctx context.Context) {
	var desired []*intent.Plan
	d.Replica.View(func(s *state.State) { desired = s.Desired(d.settings.Node.Box) })
	wanted := make(map[weights.Ref]*intent.Plan)
	for _, p := range desired {
		wanted[p.Intent.Ref] = p
	}
	d.copies.mu.Lock()
	var stale []*job
	for ref, j := range d.copies.jobs {
		if wanted[ref] == nil && j.loadedBytes() == 0 {
			stale = append(stale, j)
		}
	}
	d.copies.mu.Unlock()
	for _, j := range stale {
		d.dropJob(ctx, j)
	}
	for _, p := range desired {
		d.ensureJob(ctx, p)
	}
}

// dropJob removes a job whose version no plan requires on this box any more, and frees
// its staged chunks. It does nothing if the version has been loaded meanwhile.
func (d *Daemon) dropJob(ctx context.Context, j *job) {
	d.copies.stop(j)
	d.copies.mu.Lock()
	loaded := j.loadedBytes() > 0
	if !loaded {
		delete(d.copies.jobs, j.ref)
	}
	d.copies.mu.Unlock()
	if loaded {
		return
	}
	d.Log.Info("copies: dropped", "version", j.ref.String())
	if err := d.engine.Drop(ctx, j.ref); err != nil {
		d.Log.V(1).Info("copies: staging not freed", "version", j.ref.String(), "error", err.Error())
	}
}

// ensureJob sets the plan of the job for the plan's version, which it creates if
// necessary. It starts the job's goroutine unless that runs already or the version is
// serving.
func (d *Daemon) ensureJob(ctx context.Context, p *intent.Plan) {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	j := d.copies.jobs[p.Intent.Ref]
	if j != nil {
		j.mu.Lock()
		j.plan = p
		j.mu.Unlock()
		if j.cancel != nil || j.state() == weights.Serving {
			return
		}
	} else {
		j = &job{ref: p.Intent.Ref, plan: p}
		d.copies.jobs[j.ref] = j
	}
	jobCtx, cancel := context.WithCancel(ctx)
	j.cancel, j.done = cancel, make(chan struct{})
	done := j.done
	go func() {
		defer close(done)
		d.runJob(jobCtx, j)
		d.copies.mu.Lock()
		j.cancel = nil
		d.copies.mu.Unlock()
		cancel()
	}()
}

// currentPlan returns the newest plan for the version.
func (j *job) currentPlan() *intent.Plan {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.plan
}

// handleManifest serves the manifest of a version to a peer.
func (d *Daemon) handleManifest(w http.ResponseWriter, r *http.Request) {
	j := d.copies.get(refFromPath(r))
	if j == nil {
		http.Error(w, "no such version here", http.StatusNotFound)
		return
	}
	j.mu.Lock()
	raw := j.manifest
	j.mu.Unlock()
	if !json.Valid(raw) {
		http.Error(w, "no manifest yet", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // fails only if the peer has closed the connection
}

// retryAfter returns the retry delay that a response with an error status requested,
// or 0.
func retryAfter(err error) time.Duration {
	var statusErr *call.StatusError
	if errors.As(err, &statusErr) {
		return statusErr.RetryAfter
	}
	return 0
}
