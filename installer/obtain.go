// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/cespare/xxhash/v2"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/transfer"
)

// Timing of an Installer.
const (
	// idleInterval is the interval at which Run and runUpdates check for work if no
	// change of the state wakes them.
	idleInterval = time.Second
	// retryDelay is the pause after a failed update. The pause after a failed fetch
	// is random, between one and two times retryDelay.
	retryDelay = 250 * time.Millisecond
	// fetchRoundTimeout bounds a round of a fetch, after which the sidecar list is
	// read again. A random part of fetchRoundJitter is added to each round, so that
	// boxes do not query their partners at the same time.
	fetchRoundTimeout = 6 * time.Second
	fetchRoundJitter  = 4 * time.Second
	// startTimeout is how long the engine may take to load a version after it has
	// accepted the command to load it.
	startTimeout = 3 * time.Second
)

// Close closes idle connections to other sidecars.
func (i *Installer) Close() { i.client.client.CloseIdleConnections() }

// job is the goroutine that carries out a fetchTask; cancel ends it.
type job struct {
	task   fetchTask
	cancel context.CancelFunc
}

// Run fetches and loads versions until ctx ends. Each fetchTask runs in a job of its
// own, which is cancelled once fetchTasks no longer returns the task.
func (i *Installer) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { i.runUpdates(ctx) })
	group.Go(func() { i.reviewLoads(ctx) })
	group.Go(func() { i.archiveManifests(ctx) })
	jobs := make(map[int]job)
	ended := make(chan int)
	for ctx.Err() == nil {
		tasks, changed := i.fetchTasks()
		for version, j := range jobs {
			if !slices.Contains(tasks, j.task) {
				j.cancel()
				delete(jobs, version)
			}
		}
		for _, task := range tasks {
			if _, running := jobs[task.version]; !running {
				jobs[task.version] = i.startJob(ctx, task, ended)
			}
		}
		select {
		case <-changed:
		case version := <-ended:
			delete(jobs, version)
		case <-time.After(idleInterval):
		case <-ctx.Done():
		}
	}
}

// startJob starts a job, which sends its version to ended unless it is cancelled.
func (i *Installer) startJob(ctx context.Context, task fetchTask, ended chan<- int) job {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		if !i.obtain(ctx, task) {
			clock.Sleep(ctx, retryDelay+rand.N(retryDelay))
		}
		select {
		case ended <- task.version:
		case <-ctx.Done():
		}
	}()
	return job{task: task, cancel: cancel}
}

// fetchTask is a version to be fetched.
type fetchTask struct {
	params  Params
	version int
	// stagedOnly is set if the engine has the version loaded. Its staged chunks are
	// then read into a replica, to be sent to other sidecars, and no chunk is fetched.
	stagedOnly bool
	// openOnly is set for an older version in force that has not been opened, such as
	// after a restart of this process. The staged chunks are read, and other sidecars
	// are asked what they hold, for the plan to decide whether to fetch the version.
	openOnly bool
}

// fetchTasks returns the versions to fetch now and a channel that is closed when the
// state changes. They are those of the fetch plan in its order, of which the newest is
// the last, the intermediateVersion if there is one, and the versions to open only.
func (i *Installer) fetchTasks() ([]fetchTask, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params.Chunks == 0 || i.engineStateAt.IsZero() {
		return nil, i.changed
	}
	var out []fetchTask
	params := i.params
	params.CutoffMargin = 0 // no fetch depends on it, and a change would restart all
	newest := fetchTask{params: params, version: i.newestTarget().version}
	plan := i.refreshPlan(clock.Now())
	for _, version := range plan.Fetch {
		if r := i.replicaLocked(version); version != newest.version && r != nil && !r.complete() {
			out = append(out, fetchTask{params: params, version: version})
		}
	}
	newest.stagedOnly = i.verifiedVersion() >= newest.version
	if r := i.replicaLocked(newest.version); r == nil || !newest.stagedOnly && !r.complete() {
		out = append(out, newest)
	}
	if version := i.intermediateVersion(); version > 0 {
		out = append(out, fetchTask{params: params, version: version})
	}
	for _, version := range plan.Keep {
		if r := i.replicaLocked(version); (r == nil || r.askPartners) && !slices.ContainsFunc(out, func(t fetchTask) bool { return t.version == version }) {
			out = append(out, fetchTask{params: params, version: version, openOnly: true})
		}
	}
	return out, i.changed
}

// complete reports whether all chunks are held; Installer.mu is held.
func (r *replica) complete() bool { return int(r.held.Count()) == len(r.chunks) }

// replicaLocked returns the replica of a version, or nil; Installer.mu is held.
func (i *Installer) replicaLocked(version int) *replica {
	for _, r := range i.replicas {
		if r.manifest.Version == version {
			return r
		}
	}
	return nil
}

// reachable returns how many of the version's chunks are held here or are known to be
// held by other sidecars. Installer.mu is held.
func (r *replica) reachable() int {
	if r.swarm == nil {
		return int(r.held.Count())
	}
	return r.swarm.AvailableChunks()
}

// obtain fetches the version of task, in repeated rounds, until its replica is
// complete. It returns false if the manifest could not be fetched, the replica was
// evicted or ctx ended.
func (i *Installer) obtain(ctx context.Context, task fetchTask) bool {
	r := i.openReplica(ctx, task)
	if r == nil {
		return false
	}
	if task.openOnly {
		i.startSwarm(ctx, task, r)
	}
	if task.stagedOnly || task.openOnly {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // of pulls that are in flight when the replica is complete
	for !i.fetch(ctx, task, r) {
		if ctx.Err() != nil {
			return false
		}
		if i.replicaDropped(r) {
			if r = i.replica(task.version); r == nil {
				return false
			}
		}
	}
	i.mu.Lock()
	i.notifyLocked()
	i.mu.Unlock()
	return true
}

// replicaDropped reports whether r is no longer among the replicas.
func (i *Installer) replicaDropped(r *replica) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !slices.Contains(i.replicas, r)
}

// replica returns the replica of a version, or nil. It takes Installer.mu.
func (i *Installer) replica(version int) *replica {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.replicaLocked(version)
}

// openReplica returns the replica of the task's version. If there is none, it creates
// one with those staged chunks that match the manifest. It returns
// nil if the manifest could not be fetched.
func (i *Installer) openReplica(ctx context.Context, task fetchTask) *replica {
	if r := i.replica(task.version); r != nil {
		return r
	}
	m := i.fetchManifest(ctx, task)
	if m == nil {
		return nil
	}
	r := newReplica(m, i.settings.Box)
	r.askPartners = task.openOnly
	i.readStage(ctx, r)
	if r.complete() {
		r.completedAt = clock.Now()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if other := i.replicaLocked(task.version); other != nil {
		return other // opened by a job that this one replaces
	}
	i.log.Info("replica opened", "version", task.version, "held", r.held.Count(), "chunks", len(r.chunks))
	defer i.notifyLocked() // serveManifest may hold requests for this manifest
	i.replicas = append(i.replicas, r)
	i.evictReplicas(r, i.refreshPlan(clock.Now()))
	return r
}

// newReplica returns an empty replica at box.
func newReplica(m *Manifest, box string) *replica {
	return &replica{
		manifest:     m,
		chunks:       make([][]byte, len(m.Digests)),
		held:         bitset.New(uint(len(m.Digests))),
		chunkArrived: make(chan struct{}),
		rejected:     make(map[int]Digest),
		picker:       transfer.NewPicker(len(m.Digests), xxhash.Sum64String(box)),
	}
}
