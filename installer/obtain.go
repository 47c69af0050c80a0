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
	// idleInterval is how often Run and runUpdates look for work if no change
	// wakes them.
	idleInterval = time.Second
	// retryDelay is the pause after a failed update. After a failed fetch it is
	// longer by a random part of itself.
	retryDelay = 250 * time.Millisecond
	// fetchRoundTimeout bounds a fetch with one sidecar list; then the list is read
	// again. Each round is longer by a random part of fetchRoundJitter, so that
	// boxes do not abort their pulls in step.
	fetchRoundTimeout = 6 * time.Second
	fetchRoundJitter  = 4 * time.Second
	// startTimeout is how long the engine may take to load the version of an
	// accepted start.
	startTimeout = 3 * time.Second
)

// Close closes idle connections to other sidecars.
func (i *Installer) Close() { i.client.client.CloseIdleConnections() }

// job is a running fetchTask.
type job struct {
	task   fetchTask
	cancel context.CancelFunc
}

// Run fetches and loads versions until ctx ends. Each fetchTask has a job of its
// own, which is cancelled once the task is no longer listed.
func (i *Installer) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { i.runUpdates(ctx) })
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
	// stagedOnly is set if the engine has the version loaded: the staged chunks are
	// read into a replica for other sidecars, and nothing is fetched.
	stagedOnly bool
}

// finishOlderMinShare is the share of an older version's chunks that must be within
// reach, here or at other sidecars, for its fetch to be finished if the ages of
// the versions are unknown.
const finishOlderMinShare = 0.6

// fetchTasks returns what is to be fetched now, older versions before the newest,
// and a channel that is closed when the state changes.
func (i *Installer) fetchTasks() ([]fetchTask, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params.Chunks == 0 || i.engineStateAt.IsZero() {
		return nil, i.changed
	}
	var out []fetchTask
	now := clock.Now()
	for _, t := range i.targets {
		if i.shouldFinishOlder(t, now) {
			out = append(out, fetchTask{params: i.params, version: t.version})
		}
	}
	newest := fetchTask{params: i.params, version: i.newestTarget().version}
	newest.stagedOnly = i.verifiedVersion() >= newest.version
	if r := i.replicaLocked(newest.version); r == nil || !newest.stagedOnly && !r.complete() {
		out = append(out, newest)
	}
	if version := i.intermediateVersion(); version > 0 {
		out = append(out, fetchTask{params: i.params, version: version})
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

// reachable returns how many chunks are held here or known to be held by other
// sidecars; Installer.mu is held.
func (r *replica) reachable() int {
	if r.swarm == nil {
		return int(r.held.Count())
	}
	return r.swarm.AvailableChunks()
}

// obtain fetches the version of task until its replica is complete, in as many
// rounds as that takes. It returns false if there is no manifest, the replica was
// dropped or ctx ended.
func (i *Installer) obtain(ctx context.Context, task fetchTask) bool {
	r := i.openReplica(ctx, task)
	if r == nil {
		return false
	}
	if task.stagedOnly {
		return true
	}
	for !i.fetch(ctx, task, r) {
		if ctx.Err() != nil || i.replicaDropped(r) {
			return false
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

// openReplica returns the replica of the task's version. A new one starts with
// the matching chunks that are staged beside the engine. It returns nil if there
// is no manifest.
func (i *Installer) openReplica(ctx context.Context, task fetchTask) *replica {
	if r := i.replica(task.version); r != nil {
		return r
	}
	m := i.fetchManifest(ctx, task)
	if m == nil {
		return nil
	}
	r := newReplica(m, i.settings.Box)
	i.readStage(ctx, r)
	if r.complete() {
		r.completedAt = clock.Now()
	}
	i.log.Info("replica opened", "version", task.version, "held", r.held.Count(), "chunks", len(r.chunks))
	i.mu.Lock()
	defer i.mu.Unlock()
	defer i.notifyLocked() // serveManifest holds requests for the manifest
	i.replicas = append(i.replicas, r)
	if len(i.replicas) > maxReplicas {
		i.replicas = slices.Delete(i.replicas, 0, len(i.replicas)-maxReplicas)
	}
	return r
}

// newReplica returns an empty replica at box.
func newReplica(m *Manifest, box string) *replica {
	return &replica{
		manifest:     m,
		chunks:       make([][]byte, len(m.Digests)),
		held:         bitset.New(uint(len(m.Digests))),
		chunkArrived: make(chan struct{}),
		picker:       transfer.NewPicker(len(m.Digests), xxhash.Sum64String(box)),
	}
}
