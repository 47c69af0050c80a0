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
	// keepEvery is how often an idle installer looks whether it has what
	// other sidecars may ask for.
	keepEvery = time.Second
	// retryPause is slept after a step that failed; between two tries to
	// obtain a version it is longer by up to as much.
	retryPause = 250 * time.Millisecond
	// fetchRound bounds one look at the list of peers; after it the list is
	// read again. It is longer by up to fetchRoundMore, so that not all boxes
	// drop what they are pulling at the same moment.
	fetchRound     = 6 * time.Second
	fetchRoundMore = 4 * time.Second
	// startWait is how long a start may take before it is ordered again.
	startWait = 3 * time.Second
)

// Close closes connections to other sidecars that rest.
func (i *Installer) Close() { i.client.client.CloseIdleConnections() }

// job is the fetch of one version, under way.
type job struct {
	want   want
	cancel context.CancelFunc
}

// Run works until ctx ends. Each version that is wanted has a job of its own.
func (i *Installer) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { i.starts(ctx) })
	jobs := make(map[int]job)
	ended := make(chan int)
	for ctx.Err() == nil {
		wants, change := i.wanted()
		for version, j := range jobs {
			if !slices.Contains(wants, j.want) {
				j.cancel()
				delete(jobs, version)
			}
		}
		for _, w := range wants {
			if _, running := jobs[w.version]; !running {
				jobs[w.version] = i.begin(ctx, w, ended)
			}
		}
		select {
		case <-change:
		case version := <-ended:
			delete(jobs, version)
		case <-time.After(keepEvery):
		case <-ctx.Done():
		}
	}
}

// begin starts a job that sends its version to ended unless it is cancelled.
func (i *Installer) begin(ctx context.Context, w want, ended chan<- int) job {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		if !i.obtain(ctx, w) {
			clock.Sleep(ctx, retryPause+rand.N(retryPause))
		}
		select {
		case ended <- w.version:
		case <-ctx.Done():
		}
	}()
	return job{want: w, cancel: cancel}
}

// want is a version to be fetched.
type want struct {
	params  Params
	version int
	// only says that the engine has the version: what lies ready is kept for
	// others, and nothing is fetched.
	only bool
}

// nearlyWhole is the share of an older version's chunks that must be within
// reach, here or at other sidecars, for it to be fetched to its end where the
// ages of the versions are not known.
const nearlyWhole = 0.6

// wanted returns what is to be fetched now, the older version first.
func (i *Installer) wanted() ([]want, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params.Chunks == 0 || i.heard.IsZero() {
		return nil, i.change
	}
	var out []want
	now := clock.Now()
	for _, t := range i.targets {
		if i.completes(t, now) {
			out = append(out, want{params: i.params, version: t.version})
		}
	}
	newest := want{params: i.params, version: i.newest().version}
	newest.only = i.holds() >= newest.version
	if r := i.copyOf(newest.version); r == nil || !newest.only && !r.whole() {
		out = append(out, newest)
	}
	if version := i.detour(); version > 0 {
		out = append(out, want{params: i.params, version: version})
	}
	return out, i.change
}

// whole reports whether all chunks are held; Installer.mu is held.
func (r *replica) whole() bool { return int(r.held.Count()) == len(r.chunks) }

// copyOf returns the copy of a version, or nil; Installer.mu is held.
func (i *Installer) copyOf(version int) *replica {
	for _, r := range i.copies {
		if r.manifest.Version == version {
			return r
		}
	}
	return nil
}

// reachable counts the chunks that are held here or known to be held by other
// sidecars; Installer.mu is held.
func (r *replica) reachable() int {
	if r.swarm == nil {
		return int(r.held.Count())
	}
	return r.swarm.Reachable()
}

// obtain fetches w until it is whole; it returns false if that failed.
func (i *Installer) obtain(ctx context.Context, w want) bool {
	r := i.open(ctx, w)
	if r == nil {
		return false
	}
	if w.only {
		return true
	}
	for !i.fetch(ctx, w, r) {
		if ctx.Err() != nil || i.copyGone(r) {
			return false
		}
	}
	i.mu.Lock()
	i.wakeLocked()
	i.mu.Unlock()
	return true
}

// copyGone reports whether r was dropped.
func (i *Installer) copyGone(r *replica) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !slices.Contains(i.copies, r)
}

// replica returns the copy of a version, or nil.
func (i *Installer) replica(version int) *replica {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.copyOf(version)
}

// open returns the copy of w's version, with what lies ready beside the
// engine already.
func (i *Installer) open(ctx context.Context, w want) *replica {
	if r := i.replica(w.version); r != nil {
		return r
	}
	m := i.manifest(ctx, w)
	if m == nil {
		return nil
	}
	r := newReplica(m, i.settings.Box)
	i.readStage(ctx, r)
	if r.whole() {
		r.wholeAt = clock.Now()
	}
	i.log.Info("copy opened", "version", w.version, "held", r.held.Count(), "chunks", len(r.chunks))
	i.mu.Lock()
	defer i.mu.Unlock()
	defer i.wakeLocked() // others wait for the manifest
	i.copies = append(i.copies, r)
	if len(i.copies) > keptCopies {
		i.copies = slices.Delete(i.copies, 0, len(i.copies)-keptCopies)
	}
	return r
}

// newReplica returns an empty copy at box.
func newReplica(m *Manifest, box string) *replica {
	return &replica{
		manifest: m,
		chunks:   make([][]byte, len(m.Digests)),
		held:     bitset.New(uint(len(m.Digests))),
		arrived:  make(chan struct{}),
		picker:   transfer.NewPicker(len(m.Digests), xxhash.Sum64String(box)),
	}
}
