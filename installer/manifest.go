// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Manifests are distributed along a tree of boxes in each region, which is derived
// from a hash of the version and the box names. The root requests the manifest from
// the origin, and every other box from its ancestors. So the origin, which accepts
// few connections, sends one manifest per region.
const (
	// manifestFanOut is the number of children of a box in the tree.
	manifestFanOut = 3
	// manifestHopTimeout is the time allowed for each level of the tree: the timeout
	// of a request to an ancestor is this times the number of levels from the root to
	// the ancestor, both included. It is much longer than a call to the origin, and short
	// enough to skip an unresponsive parent before a takeOverDelay is lost.
	manifestHopTimeout = 250 * time.Millisecond
	// manifestHoldHops is how long a box that does not have the manifest yet holds a
	// request for it, in multiples of manifestHopTimeout. It is the depth of the tree of
	// a region of 120 boxes.
	manifestHoldHops = 4
)

// ancestors returns the boxes of its region from which the box of s requests the
// manifest of a version: its parent in the region's tree first and the root last. It
// is empty for the root and for a box that is not listed. Other boxes that are
// draining are left out of the tree.
func ancestors(peers []Peer, s Settings, version int) []Peer {
	var region []Peer
	for _, p := range peers {
		if p.Region == s.Region && (!p.Draining || p.Box == s.Box) {
			region = append(region, p)
		}
	}
	weight := func(p Peer) uint64 { return xxhash.Sum64String(strconv.Itoa(version) + "/" + p.Box) }
	slices.SortFunc(region, func(a, b Peer) int { return cmp.Compare(weight(a), weight(b)) })
	at := slices.IndexFunc(region, func(p Peer) bool { return p.Box == s.Box })
	var out []Peer
	for at > 0 {
		at = (at - 1) / manifestFanOut
		out = append(out, region[at])
	}
	return out
}

// fetchManifest requests the manifest from each of this box's ancestors in the
// region's tree, and then from the origin and the archive. It returns the first manifest with the
// expected number of chunks, or nil if there is none or the sidecars are not known yet.
func (i *Installer) fetchManifest(ctx context.Context, task fetchTask) *Manifest {
	peers, known := i.listPeers(ctx)
	if !known {
		return nil
	}
	above := ancestors(peers, i.settings, task.version)
	for at, p := range above {
		timeout := time.Duration(len(above)-at) * i.manifestHopTimeout
		m, err := i.client.manifest(ctx, p, task.params.Model, task.version, timeout)
		if err == nil && len(m.Digests) == task.params.Chunks {
			return m
		}
		if ctx.Err() != nil {
			return nil // the task was cancelled
		}
		i.log.Info("manifest fetch from peer failed", "version", task.version, "peer", p.Box, "error", errorText(err))
	}
	if ctx.Err() != nil {
		return nil
	}
	for _, source := range i.manifestSources(task.version) {
		m, err := source.read(ctx, task.params.Model, task.version)
		switch {
		case errors.Is(err, errArchivePaused):
		case err != nil && source.name == sourceArchive:
			i.log.Info("manifest fetch from archive failed", "version", task.version, "error", err.Error())
		case err != nil:
			i.log.Info("manifest fetch from origin failed", "version", task.version, "error", err.Error())
		case len(m.Digests) != task.params.Chunks:
			i.log.Info("manifest has the wrong number of digests", "version", task.version, "source", source.name, "digests", len(m.Digests), "chunks", task.params.Chunks)
		default:
			return m
		}
	}
	return nil
}

// Names of the sources of manifests other than peers.
const (
	sourceOrigin  = "origin"
	sourceArchive = "archive"
)

// manifestSource is a source of manifests other than a peer.
type manifestSource struct {
	name string
	read func(ctx context.Context, model string, version int) (*Manifest, error)
}

// manifestSources returns the sources of the manifest of a version, in the order in which they
// are read. A version that the engine has loaded is usually archived.
func (i *Installer) manifestSources(version int) []manifestSource {
	i.mu.Lock()
	loaded := i.engineState.Version == version
	i.mu.Unlock()
	sources := []manifestSource{{sourceOrigin, i.origin.Manifest}}
	if i.settings.Archive != nil {
		sources = append(sources, manifestSource{sourceArchive, i.archivedManifest})
	}
	if loaded {
		slices.Reverse(sources)
	}
	return sources
}

// errorText returns the text of err for a log line. A nil error means that a manifest
// or chunk was received but does not match what was expected.
func errorText(err error) string {
	if err == nil {
		return "content mismatch"
	}
	return err.Error()
}

// serveManifest responds with the manifest of a version. If this box does not have it
// yet, it holds the request for at most manifestHoldHops times manifestHopTimeout,
// and then responds with status 404.
func (i *Installer) serveManifest(w http.ResponseWriter, r *http.Request) {
	hold := time.NewTimer(manifestHoldHops * i.manifestHopTimeout)
	defer hold.Stop()
	for {
		i.mu.Lock()
		changed := i.changed
		i.mu.Unlock()
		if found := i.requestedManifest(r); found != nil {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(found) // a peer whose connection broke requests it again
			return
		}
		select {
		case <-changed:
		case <-hold.C:
			w.WriteHeader(http.StatusNotFound)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// requestedManifest returns the manifest of the model and version in the path of r, or nil.
func (i *Installer) requestedManifest(r *http.Request) *Manifest {
	if found := i.requestedReplica(r); found != nil {
		return found.manifest
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if m := i.loadManifest; m != nil && m.Model == r.PathValue("model") && strconv.Itoa(m.Version) == r.PathValue("version") {
		return m
	}
	return nil
}
