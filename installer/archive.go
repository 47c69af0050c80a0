// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/storewatch"
)

// The manifest of a version is needed as long as engines serve the version: a sidecar that
// starts compares the staged chunks with it, and sidecars send chunks to engines that have
// restarted. The origin may be lost by then, and all processes may have been killed. So
// manifests are archived in the store, once all chunks have matched their digests.

// ArchiveTopic is the name of the topic with the archived manifests.
const ArchiveTopic = "manifests"

// Archive holds the manifests of the last versions of each model in a topic of the store.
type Archive struct{ topic storewatch.Topic }

// NewArchive returns the archive in a topic.
func NewArchive(topic storewatch.Topic) *Archive { return &Archive{topic} }

const (
	// archivePart is the partition of the topic that is used.
	archivePart = 0
	// archivedVersions is the number of versions of a model that are kept. It is more than
	// the number of versions in force.
	archivedVersions = maxTargets + 1
	// maxKeyBytes is the maximum length of a record's key.
	maxKeyBytes = 255
)

// archiveKey returns the key of the record of a version, which replaces that of a version that
// is archivedVersions older.
func archiveKey(model string, version int) string {
	return model + "/" + strconv.Itoa(version%archivedVersions)
}

// read returns the manifest under a key, or nil if there is none, and the end of the topic.
func (a *Archive) read(ctx context.Context, key string) (m *Manifest, end int64, err error) {
	newest, err := a.topic.Newest(ctx, archivePart)
	if err != nil {
		return nil, 0, err
	}
	end = newest.NextPosition().Offset
	for _, r := range newest.Records {
		if r.Key != key || r.Value == nil {
			continue
		}
		// An invalid record is treated like a missing one, and is replaced.
		if read := new(Manifest); json.Unmarshal(r.Value, read) == nil {
			m = read
		}
	}
	return m, end, nil
}

// Manifest returns the archived manifest of a version.
func (a *Archive) Manifest(ctx context.Context, model string, version int) (*Manifest, error) {
	m, _, err := a.read(ctx, archiveKey(model, version))
	switch {
	case err != nil:
		return nil, err
	case m == nil || m.Model != model || m.Version != version:
		return nil, errors.NotFoundf("archived manifest of %s version %d", model, version)
	}
	return m, nil
}

// Save archives a manifest, unless that or one of a later version is archived under its key.
// The write fails if another process has written since the read.
func (a *Archive) Save(ctx context.Context, m *Manifest) error {
	key := archiveKey(m.Model, m.Version)
	if len(key) > maxKeyBytes {
		return errors.NotValidf("key of %d bytes", len(key))
	}
	known, end, err := a.read(ctx, key)
	if err != nil {
		return err
	}
	if known != nil && known.Model == m.Model && (known.Version > m.Version || known.Version == m.Version && slices.Equal(known.Digests, m.Digests)) {
		return nil
	}
	value, err := json.Marshal(m)
	if err != nil {
		return errors.Trace(err)
	}
	return a.topic.Append(ctx, archivePart, end, key, value)
}

const (
	// archivists is the number of boxes that archive a version, for the case that some fail.
	archivists = 3
	// archiveDelay is the time after which each further archivist checks that the manifest
	// is archived.
	archiveDelay = 3 * time.Second
	// The pause after a failed write, and between two reads of the archive, doubles from
	// archiveBackoffMin to archiveBackoffMax.
	archiveBackoffMin = 500 * time.Millisecond
	archiveBackoffMax = 4 * time.Second
)

// errArchivePaused is returned for a read of the archive too soon after the last one.
const errArchivePaused = errors.ConstError("archive was read a short time ago")

// archiveState is the progress of reading the archive, or of archiving a manifest.
type archiveState struct {
	done    bool
	retryAt time.Time
	backoff time.Duration
}

// fail sets the time of the next attempt after a failed one.
func (s *archiveState) fail(now time.Time) {
	s.backoff = min(max(2*s.backoff, archiveBackoffMin), archiveBackoffMax)
	s.retryAt = now.Add(s.backoff)
}

// archiveManifests archives the manifests of complete replicas until ctx ends.
func (i *Installer) archiveManifests(ctx context.Context) {
	if i.settings.Archive == nil {
		return
	}
	for ctx.Err() == nil {
		r, wait, changed := i.nextToArchive(clock.Now())
		if r != nil {
			i.archiveManifest(ctx, r)
			continue
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// archiveManifest archives the manifest of r.
func (i *Installer) archiveManifest(ctx context.Context, r *replica) {
	err := i.settings.Archive.Save(ctx, r.manifest)
	i.mu.Lock()
	defer i.mu.Unlock()
	if err == nil {
		r.archive.done = true
		i.log.Info("manifest archived", "version", r.manifest.Version)
		return
	}
	if r.archive.backoff == 0 {
		i.log.Info("manifest not archived", "version", r.manifest.Version, "error", err.Error())
	}
	i.metrics.Counter("mintlift_installer_archive_failures_total").Inc()
	r.archive.fail(clock.Now())
}

// nextToArchive returns a complete replica whose manifest this box is to archive now. If there
// is none, it returns how long to wait for one, and a channel that is closed when the state
// changes.
func (i *Installer) nextToArchive(now time.Time) (*replica, time.Duration, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	wait := idleInterval
	for _, r := range i.replicas {
		if !r.complete() || r.archive.done {
			continue
		}
		rank := archiveRank(i.peerList, i.settings.Box, r.manifest.Version)
		if rank < 0 || rank >= archivists {
			continue
		}
		due := later(r.completedAt.Add(time.Duration(rank)*archiveDelay), r.archive.retryAt)
		if !now.Before(due) {
			return r, 0, i.changed
		}
		wait = min(wait, due.Sub(now))
	}
	return nil, wait, i.changed
}

// archiveRank returns the position of a box in the order in which the boxes of the service
// archive a version, or -1 for a box that is not listed or is being drained.
func archiveRank(peers []Peer, box string, version int) int {
	prefix := strconv.Itoa(version) + "/archive/"
	own, rank, listed := xxhash.Sum64String(prefix+box), 0, false
	for _, p := range peers {
		switch {
		case p.Draining:
		case p.Box == box:
			listed = true
		case xxhash.Sum64String(prefix+p.Box) < own:
			rank++
		}
	}
	if !listed {
		return -1
	}
	return rank
}

// archivedManifest reads the manifest of a version from the archive. While that fails, most
// calls return errArchivePaused at once.
func (i *Installer) archivedManifest(ctx context.Context, model string, version int) (*Manifest, error) {
	if !i.beginArchiveRead(version, clock.Now()) {
		return nil, errArchivePaused
	}
	m, err := i.settings.Archive.Manifest(ctx, model, version)
	if err != nil {
		return nil, err
	}
	i.mu.Lock()
	delete(i.archiveReads, version)
	i.mu.Unlock()
	return m, nil
}

// beginArchiveRead reports whether the archive may be read for a version now. Each read counts
// as failed until it succeeds.
func (i *Installer) beginArchiveRead(version int, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	state := i.archiveReads[version]
	if now.Before(state.retryAt) {
		return false
	}
	state.fail(now)
	for other := range i.archiveReads {
		if other <= version-archivedVersions {
			delete(i.archiveReads, other)
		}
	}
	i.archiveReads[version] = state
	return true
}
