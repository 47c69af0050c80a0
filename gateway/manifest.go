// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net/http"
	"sync"

	"github.com/zeromicro/go-zero/rest/pathvar"
	"golang.org/x/sync/singleflight"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/weights"
)

// Bounds of the manifest cache.
const (
	maxManifestBytes   = 4 << 20
	maxCachedManifests = 8
)

// manifestCache holds the manifests last read from the weight store. Sidecars read
// manifests through a gateway, so that the many boxes of a plan do not exceed the
// store's request rate. No other lock is acquired while mu is held.
type manifestCache struct {
	fetches singleflight.Group

	mu    sync.Mutex
	raw   map[weights.Ref][]byte // the encoded manifests
	order []weights.Ref          // the keys of raw, the oldest first
}

// get returns the cached manifest of a version, encoded, or false.
func (m *manifestCache) get(ref weights.Ref) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	raw, ok := m.raw[ref]
	return raw, ok
}

// put adds or replaces the manifest of a version. If there are more than
// maxCachedManifests, it removes the one that was added first.
func (m *manifestCache) put(ref weights.Ref, raw []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.raw == nil {
		m.raw = make(map[weights.Ref][]byte)
	}
	if _, ok := m.raw[ref]; !ok {
		m.order = append(m.order, ref)
	}
	m.raw[ref] = raw
	if len(m.order) > maxCachedManifests {
		delete(m.raw, m.order[0])
		m.order = m.order[1:]
	}
}

// fetchManifest reads a manifest from the weight store and caches it. Concurrent
// calls for one version share one read.
func (d *Daemon) fetchManifest(ctx context.Context, ref weights.Ref) ([]byte, error) {
	raw, err, _ := d.manifests.fetches.Do(ref.String(), func() (any, error) {
		url := d.Platform.URL(d.settings.Platform.WeightStore, "/store/"+ref.Model+"/"+ref.Version+"/manifest")
		raw, err := d.Platform.Bytes(ctx, http.MethodGet, url, nil, maxManifestBytes)
		if err == nil {
			d.manifests.put(ref, raw)
		}
		return raw, err
	})
	if err != nil {
		return nil, err
	}
	return raw.([]byte), nil
}

// Manifest implements admin.Cluster. It bypasses the cache, so that a plan is made
// from the store's current manifest.
func (d *Daemon) Manifest(ctx context.Context, ref weights.Ref) (*weights.Manifest, error) {
	raw, err := d.fetchManifest(ctx, ref)
	switch {
	case call.Status(err) == http.StatusNotFound:
		return nil, admin.Errorf(admin.CodeNotFound, "version %s is not in the weight store", ref)
	case err != nil:
		return nil, admin.Errorf(admin.CodeUnavailable, "the weight store does not answer: %v", err)
	}
	m, err := weights.ParseManifest(raw, "")
	if err == nil && m.Ref != ref {
		return nil, admin.Errorf(admin.CodeBadManifest, "the store's manifest for %s names %s", ref, m.Ref)
	}
	if err != nil {
		return nil, admin.Errorf(admin.CodeBadManifest, "%v", err)
	}
	return m, nil
}

// handleManifest serves a manifest to a sidecar. It serves the cached manifest if that
// has the requested digest. The sidecar verifies the digest of the manifest that it
// receives.
func (d *Daemon) handleManifest(w http.ResponseWriter, r *http.Request) {
	vars := pathvar.Vars(r)
	ref := weights.Ref{Model: vars["model"], Version: vars["version"]}
	raw, ok := d.manifests.get(ref)
	if ok {
		m, err := weights.ParseManifest(raw, weights.Digest(r.URL.Query().Get(peer.QueryDigest)))
		ok = err == nil && m.Ref == ref
	}
	if !ok {
		var err error
		if raw, err = d.fetchManifest(r.Context(), ref); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // an error means that the sidecar has disconnected
}
