// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/weights"
)

// runJob executes the steps that bring one copy from the state Absent to Serving. It
// retries each step until the step succeeds or ctx ends.
func (d *Daemon) runJob(ctx context.Context, j *job) {
	steps := []func(context.Context, *job) error{d.prepare, d.fetch, d.awaitWave, d.freeMemory, d.load}
	for _, step := range steps {
		for {
			err := step(ctx, j)
			if err == nil {
				j.setBlockedReason("")
				break
			}
			if ctx.Err() != nil {
				return
			}
			j.setBlockedReason(err.Error())
			d.Log.V(1).Info("copies: step failed, retrying", "version", j.ref.String(), "error", err.Error())
			clock.Sleep(ctx, stepRetryInterval)
		}
	}
}

// prepare fetches the manifest and makes the engine allocate staging memory.
func (d *Daemon) prepare(ctx context.Context, j *job) error {
	if j.state() != weights.Absent {
		return nil
	}
	plan := j.currentPlan()
	m, raw, err := d.fetchManifest(ctx, plan)
	if err != nil {
		return err
	}
	if err := d.engine.Stage(ctx, m); err != nil {
		return errors.Annotate(err, "engine does not stage")
	}
	c := weights.NewCopy(m)
	if err := c.Fetch(); err != nil {
		return err
	}
	swarm, picker := d.newSwarm(plan, m, c)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.copy, j.swarm, j.picker, j.manifest = c, swarm, picker, raw
	return nil
}

// fetchManifest fetches the manifest and verifies it against the plan's digest. It tries
// this sidecar's gateway first, then the weight store, then the other boxes of the plan.
// It returns the parsed manifest and its encoding.
func (d *Daemon) fetchManifest(ctx context.Context, p *intent.Plan) (*weights.Manifest, []byte, error) {
	ref := p.Intent.Ref
	var lastErr error
	try := func(c *call.Client, url string) (*weights.Manifest, []byte) {
		raw, err := c.Bytes(ctx, http.MethodGet, url, nil, maxManifestBytes)
		if err != nil {
			lastErr = err
			return nil, nil
		}
		m, err := weights.ParseManifest(raw, p.ManifestDigest)
		if err != nil {
			lastErr = err
			return nil, nil
		}
		return m, raw
	}
	if g, ok := d.Directory.Gateway(); ok {
		url := d.Peers.URL(g.Address, peer.ManifestPath(ref)) + "?" + peer.QueryDigest + "=" + string(p.ManifestDigest)
		if m, raw := try(d.Peers, url); m != nil {
			return m, raw, nil
		}
	}
	if m, raw := try(d.Platform, d.Platform.URL(d.settings.Platform.WeightStore, "/store/"+ref.Model+"/"+ref.Version+"/manifest")); m != nil {
		return m, raw, nil
	}
	for _, b := range d.Directory.ListedPeers(p.Boxes()) {
		if m, raw := try(d.Peers, d.Peers.URL(b.Address, peer.ManifestPath(ref))); m != nil {
			return m, raw, nil
		}
	}
	return nil, nil, errors.Annotate(lastErr, "no manifest from a gateway, the store or a peer")
}

// awaitWave returns an error as long as the rollout has not reached the wave of this box.
// runJob retries it.
func (d *Daemon) awaitWave(ctx context.Context, j *job) error {
	plan := j.currentPlan()
	step, ok := plan.Step(d.settings.Node.Box)
	if !ok || step.Wave <= plan.Wave {
		return nil
	}
	return errors.Errorf("waits for wave %d, wave %d is open", step.Wave, plan.Wave)
}

// freeMemory evicts versions from the engine until the job's version fits.
func (d *Daemon) freeMemory(ctx context.Context, j *job) error {
	plan := j.currentPlan()
	step, _ := plan.Step(d.settings.Node.Box)
	for d.missingBytes(j) > 0 {
		candidate := d.evictionCandidate(j, step)
		if candidate == nil {
			return errors.Errorf("engine's memory lacks %d bytes and the plan evicts nothing more", d.missingBytes(j))
		}
		if err := d.evict(ctx, candidate); err != nil {
			return err
		}
	}
	return nil
}

// missingBytes returns how much more engine memory the job's version needs, in bytes.
func (d *Daemon) missingBytes(j *job) int64 {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	if d.copies.memoryBytes == 0 {
		return 0
	}
	j.mu.Lock()
	used := j.copy.Manifest().Bytes
	j.mu.Unlock()
	for _, other := range d.copies.jobs {
		if other != j {
			used += other.loadedBytes()
		}
	}
	return max(used-d.copies.memoryBytes, 0)
}

// evictionCandidate returns the job of the next loaded version to evict, or nil if there
// is none. It prefers the versions in the plan step's Evicts; after those it takes
// versions that are not the first route of any workspace.
func (d *Daemon) evictionCandidate(j *job, step intent.Step) *job {
	d.copies.mu.Lock()
	defer d.copies.mu.Unlock()
	var fallback *job
	for _, other := range d.copies.jobs {
		if other == j || other.loadedBytes() == 0 {
			continue
		}
		if slices.Contains(step.Evicts, other.ref) {
			return other
		}
		if !d.routedFirst(other.ref) {
			fallback = other
		}
	}
	return fallback
}

// routedFirst reports whether the version is the first route of any workspace, the one
// that its requests prefer.
func (d *Daemon) routedFirst(ref weights.Ref) bool {
	first := false
	d.Replica.View(func(s *state.State) {
		for name := range s.Workspaces {
			if r := s.Route(name, ref.Model); len(r) > 0 && r[0].Intent.Ref == ref {
				first = true
			}
		}
	})
	return first
}

// evict drains a version, waits until no request is in flight and unloads it.
func (d *Daemon) evict(ctx context.Context, j *job) error {
	j.mu.Lock()
	if j.copy.State() == weights.Serving {
		if err := j.copy.Drain(); err != nil {
			j.mu.Unlock()
			return err
		}
		d.Log.Info("copies: draining", "version", j.ref.String())
	}
	j.mu.Unlock()
	for j.inFlight.Load() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		clock.Sleep(ctx, drainPollInterval)
	}
	always := func(*state.State) bool { return true }
	if err := d.sendOrder(ctx, j.ref, always, d.engine.Unload); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	d.Log.Info("copies: unloaded", "version", j.ref.String())
	return j.copy.Unload()
}

// load orders the engine to load the verified copy and marks the copy as serving. A
// draining copy is still loaded and only resumes serving. If the order fails, its response
// may have been lost, so load queries the engine's state to find out whether the copy is
// loaded.
func (d *Daemon) load(ctx context.Context, j *job) error {
	j.mu.Lock()
	plan := j.plan
	if j.copy.State() == weights.Draining {
		err := j.copy.Resume()
		j.mu.Unlock()
		return err
	}
	err := j.copy.Load(plan.Fence)
	j.mu.Unlock()
	if err != nil {
		return err
	}
	wanted := func(s *state.State) bool {
		return slices.ContainsFunc(s.Desired(d.settings.Node.Box), func(p *intent.Plan) bool { return p.Intent.Ref == j.ref })
	}
	err = d.sendOrder(ctx, j.ref, wanted, d.engine.Load)
	if err != nil && !d.engineHasLoaded(ctx, j) {
		j.mu.Lock()
		defer j.mu.Unlock()
		return errors.Wrap(err, errors.Annotate(cmp.Or(j.copy.LoadFailed(), err), "load"))
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	d.Log.Info("copies: serving", "version", j.ref.String(), "plan", plan.ID, "origin_bytes", j.originBytes.Load(), "peer_bytes", j.peerBytes.Load())
	return j.copy.Serve()
}

// engineHasLoaded reports whether the engine has loaded the copy, according to the
// engine's state. It returns false if that cannot be read.
func (d *Daemon) engineHasLoaded(ctx context.Context, j *job) bool {
	s, err := d.engine.State(ctx)
	if err != nil {
		return false
	}
	digest := j.currentPlan().ManifestDigest
	return slices.ContainsFunc(s.Loaded, func(l engine.Loaded) bool { return l.Ref == j.ref && l.ManifestDigest == digest })
}
