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

// Bounds of the manifests that a gateway keeps.
const (
	manifestLimit = 4 << 20
	keptManifests = 8
)

// manifests are the last manifests read from the weight store. Sidecars ask
// a gateway for them, so that hundreds of boxes of one plan do not ask the
// store, which limits its rate. mu is a leaf.
type manifests struct {
	flights singleflight.Group

	mu    sync.Mutex
	raw   map[weights.Ref][]byte
	order []weights.Ref
}

func (m *manifests) get(ref weights.Ref) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	raw, ok := m.raw[ref]
	return raw, ok
}

func (m *manifests) put(ref weights.Ref, raw []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.raw == nil {
		m.raw = make(map[weights.Ref][]byte)
	}
	if _, ok := m.raw[ref]; !ok {
		m.order = append(m.order, ref)
	}
	m.raw[ref] = raw
	if len(m.order) > keptManifests {
		delete(m.raw, m.order[0])
		m.order = m.order[1:]
	}
}

// readManifest asks the weight store, once for all that ask together.
func (d *Daemon) readManifest(ctx context.Context, ref weights.Ref) ([]byte, error) {
	raw, err, _ := d.manifests.flights.Do(ref.String(), func() (any, error) {
		url := d.Platform.URL(d.settings.Platform.WeightStore, "/store/"+ref.Model+"/"+ref.Version+"/manifest")
		raw, err := d.Platform.Bytes(ctx, http.MethodGet, url, nil, manifestLimit)
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

// Manifest implements admin.World; a plan is always made from what the store
// has now.
func (d *Daemon) Manifest(ctx context.Context, ref weights.Ref) (*weights.Manifest, error) {
	raw, err := d.readManifest(ctx, ref)
	switch {
	case call.Status(err) == http.StatusNotFound:
		return nil, admin.Problem(admin.CodeNotFound, "version %s is not in the weight store", ref)
	case err != nil:
		return nil, admin.Problem(admin.CodeUnavailable, "the weight store does not answer: %v", err)
	}
	m, err := weights.ParseManifest(raw, "")
	if err == nil && m.Ref != ref {
		return nil, admin.Problem(admin.CodeBadManifest, "the store's manifest for %s names %s", ref, m.Ref)
	}
	if err != nil {
		return nil, admin.Problem(admin.CodeBadManifest, "%v", err)
	}
	return m, nil
}

// handleManifest answers a sidecar; the plan's digest lets it check what it
// gets.
func (d *Daemon) handleManifest(w http.ResponseWriter, r *http.Request) {
	v := pathvar.Vars(r)
	ref := weights.Ref{Model: v["model"], Version: v["version"]}
	raw, ok := d.manifests.get(ref)
	if ok {
		m, err := weights.ParseManifest(raw, weights.Digest(r.URL.Query().Get(peer.QueryDigest)))
		ok = err == nil && m.Ref == ref
	}
	if !ok {
		var err error
		if raw, err = d.readManifest(r.Context(), ref); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // the sidecar has gone if this fails
}
