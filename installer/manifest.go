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

// A manifest goes down a tree in each region: the boxes have an order that
// follows from the version, its first box asks the origin, and each other
// one its parent in a tree of manifestFan children a box. So the origin, which
// accepts few connections, sends one a region and not one a box.
const (
	manifestFan = 3
	// manifestHop is how long a box waits for its parent for each level above
	// it: a call to the origin is some milliseconds, and a parent that stands
	// still is passed over before a TakeOver's time is lost.
	manifestHop = 250 * time.Millisecond
	// manifestHold is how long a box that has no manifest yet lets its
	// children wait, in hops: as deep as a tree of 120 boxes is.
	manifestHold = 4
)

// ancestors returns the boxes that self asks for the manifest of a version,
// its parent first; the first box of the region has none.
func ancestors(peers []Peer, s Settings, version int) []Peer {
	var region []Peer
	for _, p := range peers {
		if p.Region == s.Region && (!p.Leaving || p.Box == s.Box) {
			region = append(region, p)
		}
	}
	weight := func(p Peer) uint64 { return xxhash.Sum64String(strconv.Itoa(version) + "/" + p.Box) }
	slices.SortFunc(region, func(a, b Peer) int { return cmp.Compare(weight(a), weight(b)) })
	at := slices.IndexFunc(region, func(p Peer) bool { return p.Box == s.Box })
	var out []Peer
	for at > 0 {
		at = (at - 1) / manifestFan
		out = append(out, region[at])
	}
	return out
}

// manifest asks the boxes above this one in the region's tree, then the
// origin.
func (i *Installer) manifest(ctx context.Context, w want) *Manifest {
	above := ancestors(i.list(ctx), i.settings, w.version)
	for at, p := range above {
		wait := time.Duration(len(above)-at) * i.manifestHop
		m, err := i.client.manifest(ctx, p, w.params.Model, w.version, wait)
		if err == nil && len(m.Digests) == w.params.Chunks {
			return m
		}
		i.log.Info("manifest not had from a peer", "version", w.version, "peer", p.Box, "error", errorText(err))
	}
	m, err := i.origin.Manifest(ctx, w.params.Model, w.version)
	if err != nil {
		i.log.Info("manifest not had", "version", w.version, "error", err.Error())
		return nil
	}
	if len(m.Digests) != w.params.Chunks {
		i.log.Info("manifest does not fit", "version", w.version, "digests", len(m.Digests), "chunks", w.params.Chunks)
		return nil
	}
	return m
}

// errorText is the text of an error for a log line; a manifest that came but
// does not fit has none.
func errorText(err error) string {
	if err == nil {
		return "does not fit"
	}
	return err.Error()
}

// serveManifest answers with a manifest, as soon as there is one.
func (i *Installer) serveManifest(w http.ResponseWriter, r *http.Request) {
	hold := time.NewTimer(manifestHold * i.manifestHop)
	defer hold.Stop()
	for {
		i.mu.Lock()
		change := i.change
		i.mu.Unlock()
		if found := i.replicaOf(r); found != nil {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(found.manifest) // a peer that left asks again
			return
		}
		select {
		case <-change:
		case <-hold.C:
			w.WriteHeader(http.StatusNotFound)
			return
		case <-r.Context().Done():
			return
		}
	}
}
