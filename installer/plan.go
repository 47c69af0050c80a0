// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"cmp"
	"slices"
	"time"

	"github.com/mintlift/mintlift/fetchplan"
)

// Estimated delays from when the origin has sent a version's last chunk until the first
// engines serve the version.
const (
	// fetchSpread is the time in which the first boxes receive the last chunks.
	fetchSpread = 400 * time.Millisecond
	// loadTime is the time that the checks and the load of a version take.
	loadTime = 400 * time.Millisecond
	// serveDelay is the whole delay, with the drain of an engine.
	serveDelay = fetchSpread + earlyDrainTimeout + loadTime
)

// refreshPlan computes the plan for the versions that are newer than the engine's. If other
// versions are fetched or dropped than before, it logs the plan and wakes Run, which starts
// and ends the fetches. Installer.mu is held.
func (i *Installer) refreshPlan(now time.Time) fetchplan.Plan {
	in := i.planInput(now)
	p := fetchplan.Choose(in)
	changed := !slices.Equal(p.Fetch, i.plan.Fetch) || !slices.Equal(p.Drop, i.plan.Drop)
	i.plan = p
	if changed {
		i.logPlan(in, p)
		i.notifyLocked()
	}
	return p
}

// planInput returns the input of the plan. Installer.mu is held.
func (i *Installer) planInput(now time.Time) fetchplan.Input {
	in := fetchplan.Input{
		Now: now, Serving: i.verifiedVersion(), Chunks: i.params.Chunks, OriginInterval: chunkInterval(i.params), BoxInterval: i.boxInterval(),
		Spread: fetchSpread, Drain: earlyDrainTimeout, Load: loadTime, OriginDown: i.originDownTime(now), Current: i.plan.Fetch,
	}
	targets := i.targets
	if len(targets) == 0 {
		targets = []target{i.newestTarget()}
	}
	for _, t := range targets {
		if t.version <= in.Serving {
			continue
		}
		v := fetchplan.Version{Number: t.version, Cutoff: i.routingCutoff(t), FromOrigin: i.params.Chunks, Missing: i.params.Chunks}
		if r := i.replicaLocked(t.version); r != nil {
			v.FromOrigin -= r.reachable()
			v.Missing -= int(r.held.Count())
		} else {
			v.Unopened = true
		}
		in.Versions = append(in.Versions, v)
	}
	return in
}

// boxInterval returns how long this box's link takes to receive one chunk, or 0 if its
// rate is unknown.
func (i *Installer) boxInterval() time.Duration {
	if i.settings.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(i.params.ChunkBytes) / (linkShare * i.settings.LinkRate) * float64(time.Second))
}

// originDownTime returns for how long no chunk of any version has arrived, if a read
// from the origin or from the region that reads from it has failed since, or 0
// otherwise. Installer.mu is held.
func (i *Installer) originDownTime(now time.Time) time.Duration {
	var arrival, failure time.Time
	for _, r := range i.replicas {
		if r.swarm == nil {
			continue
		}
		if at := r.swarm.LastArrival(); at.After(arrival) {
			arrival = at
		}
		if at := r.swarm.LastSenderFailure(); at.After(failure) {
			failure = at
		}
	}
	if !failure.After(arrival) {
		return 0
	}
	return max(now.Sub(arrival), 0)
}

// logPlan logs the inputs and the outcome of a new plan. Lists have one entry for each
// version newer than the engine's.
func (i *Installer) logPlan(in fetchplan.Input, p fetchplan.Plan) {
	var versions, fromOrigin, missing []int
	var cutoffs, served []int64
	for _, v := range in.Versions {
		versions, fromOrigin, missing = append(versions, v.Number), append(fromOrigin, v.FromOrigin), append(missing, v.Missing)
		cutoff := int64(0)
		if !v.Cutoff.IsZero() {
			cutoff = v.Cutoff.Sub(in.Now).Milliseconds()
		}
		cutoffs = append(cutoffs, cutoff)
	}
	for _, at := range p.Served {
		served = append(served, at.Sub(in.Now).Milliseconds())
	}
	i.log.Info("fetch plan changed", "serving", in.Serving, "versions", versions, "cutoffs_ms", cutoffs, "from_origin", fromOrigin, "missing", missing,
		"origin_down_ms", in.OriginDown.Milliseconds(), "fetch", p.Fetch, "keep", p.Keep, "drop", p.Drop, "served_ms", served,
		"gap_ms", p.Gap.Milliseconds(), "slack_ms", p.Slack.Milliseconds())
}

// olderFirst returns the replica of the first version that the plan completes before
// the given one, or nil if there is none. Installer.mu is held.
func (i *Installer) olderFirst(version int, now time.Time) *replica {
	for _, older := range i.refreshPlan(now).Fetch {
		if older >= version {
			break
		}
		if r := i.replicaLocked(older); r != nil && !r.complete() {
			return r
		}
	}
	return nil
}

// minReplicas is the number of replicas that are kept at least: one of the newest
// version, and one of the version that may be served until the newest is complete.
const minReplicas = 2

// evictReplicas removes the least useful replicas, but not opened, until there are at
// most minReplicas, or one for each version in force that is newer than the engine's.
// The number of targets bounds these. Installer.mu is held.
func (i *Installer) evictReplicas(opened *replica, p fetchplan.Plan) {
	limit := max(minReplicas, len(p.Fetch)+len(p.Keep))
	for len(i.replicas) > limit {
		least := slices.MinFunc(i.replicas, func(a, b *replica) int {
			return cmp.Or(cmp.Compare(i.usefulness(a, opened, p), i.usefulness(b, opened, p)), cmp.Compare(a.manifest.Version, b.manifest.Version))
		})
		i.log.Info("replica evicted", "version", least.manifest.Version, "held", least.held.Count())
		i.replicas = slices.DeleteFunc(i.replicas, func(r *replica) bool { return r == least })
	}
}

// usefulness returns the rank of r for evictReplicas. The plan's versions come before
// the one that the engine serves, which other boxes may lack, and that before others.
func (i *Installer) usefulness(r, opened *replica, p fetchplan.Plan) int {
	switch version := r.manifest.Version; {
	case r == opened:
		return 4
	case slices.Contains(p.Fetch, version):
		return 3
	case slices.Contains(p.Keep, version):
		return 2
	case version == i.engineState.Version:
		return 1
	default:
		return 0
	}
}
