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
)

// Manifests are distributed along a tree in each region: the boxes have an order
// derived from the version, the first box queries the origin, and every other box
// queries its ancestors in a tree of manifestFanOut children a box. So the origin,
// which accepts few connections, sends one manifest a region and not one a box.
const (
	manifestFanOut = 3
	// manifestHopTimeout is how long a box waits for an ancestor, times the
	// ancestor's depth in the tree plus one. It is far above the duration of a call
	// to the origin and below takeOverDelay, so that an unresponsive ancestor is
	// skipped in time.
	manifestHopTimeout = 250 * time.Millisecond
	// manifestHoldHops is how long a box without the manifest holds a request for
	// it, in multiples of manifestHopTimeout: the depth of a tree of 120 boxes.
	manifestHoldHops = 4
)

// ancestors returns the boxes that the box of s queries for the manifest of a
// version, its parent first. It is empty for the root of the region and for a box
// that is not listed.
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

// fetchManifest requests the manifest from this box's ancestors in the region's tree,
// then the origin. It returns nil if none has a manifest of the expected length.
func (i *Installer) fetchManifest(ctx context.Context, task fetchTask) *Manifest {
	above := ancestors(i.listPeers(ctx), i.settings, task.version)
	for at, p := range above {
		timeout := time.Duration(len(above)-at) * i.manifestHopTimeout
		m, err := i.client.manifest(ctx, p, task.params.Model, task.version, timeout)
		if err == nil && len(m.Digests) == task.params.Chunks {
			return m
		}
		i.log.Info("manifest fetch from peer failed", "version", task.version, "peer", p.Box, "error", errorText(err))
	}
	m, err := i.origin.Manifest(ctx, task.params.Model, task.version)
	if err != nil {
		i.log.Info("manifest fetch from origin failed", "version", task.version, "error", err.Error())
		return nil
	}
	if len(m.Digests) != task.params.Chunks {
		i.log.Info("manifest has the wrong number of digests", "version", task.version, "digests", len(m.Digests), "chunks", task.params.Chunks)
		return nil
	}
	return m
}

// errorText returns the text of err for a log line. A nil error stands for a
// manifest or chunk that was received but does not match.
func errorText(err error) string {
	if err == nil {
		return "content mismatch"
	}
	return err.Error()
}

// serveManifest responds with a manifest. It holds the request until there is one,
// for manifestHoldHops hops at most.
func (i *Installer) serveManifest(w http.ResponseWriter, r *http.Request) {
	hold := time.NewTimer(manifestHoldHops * i.manifestHopTimeout)
	defer hold.Stop()
	for {
		i.mu.Lock()
		changed := i.changed
		i.mu.Unlock()
		if found := i.requestedReplica(r); found != nil {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(found.manifest) // a peer whose connection broke requests it again
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
