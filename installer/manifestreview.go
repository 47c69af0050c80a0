// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"slices"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/transfer"
)

// A manifest may be corrupt in single digests, and the boxes of a region pass it on to each
// other. The chunks of such digests never match, wherever they come from.
//
// A chunk that arrives twice with the same content, which does not match its digest, makes the
// manifest suspect. It is then compared with a second copy: that of the peer that sent the
// chunk, which has verified it, or the origin's. The copy is used if its digest of the chunk
// is that of the received content, so that neither a corrupt chunk nor a corrupt copy alone
// changes a manifest.

// manifestReviewInterval is the time between the starts of two reviews of the manifest of a
// replica.
const manifestReviewInterval = time.Second

// rejectChunk records that the content of a received chunk does not match its digest. If the
// chunk has arrived with this content before, it reviews the manifest. The pull of the chunk has
// not ended until then, so that the chunk is not sent again meanwhile.
func (i *Installer) rejectChunk(ctx context.Context, r *replica, p transfer.Pull, content Digest) {
	i.metrics.Counter("mintlift_installer_spoilt_total").Inc()
	now := clock.Now()
	i.mu.Lock()
	r.mismatches++
	repeated := r.rejected[p.Chunk] == content
	r.rejected[p.Chunk] = content
	address, wait := r.addresses[p.Peer], r.nextManifestReview.Sub(now)
	if repeated {
		r.nextManifestReview = later(r.nextManifestReview, now).Add(manifestReviewInterval)
	}
	i.mu.Unlock()
	if !repeated {
		return
	}
	clock.Sleep(ctx, wait)
	if ctx.Err() == nil && !i.replicaDropped(r) {
		i.reviewManifest(ctx, r, p, address, content)
	}
}

// reviewManifest compares the manifest of r with a second copy, and uses the copy if it
// confirms content as that of the chunk of p. address is that of the peer of p.
func (i *Installer) reviewManifest(ctx context.Context, r *replica, p transfer.Pull, address string, content Digest) {
	m := r.manifest
	confirms := func(source string, other *Manifest, err error) bool {
		if err != nil || len(other.Digests) != len(m.Digests) || other.Digests[p.Chunk] != content {
			i.log.Info("manifest not confirmed as corrupt", "version", m.Version, "chunk", p.Chunk, "source", source, "error", errorText(err))
			return false
		}
		i.log.Info("corrupt manifest replaced", "version", m.Version, "chunk", p.Chunk, "source", source)
		i.replaceManifest(r, other)
		return true
	}
	if p.Peer != "" {
		other, err := i.client.manifest(ctx, Peer{Box: p.Peer, Address: address}, m.Model, m.Version, i.manifestHopTimeout)
		if confirms(p.Peer, other, err) {
			return
		}
	}
	other, err := i.origin.Manifest(ctx, m.Model, m.Version)
	confirms(sourceOrigin, other, err)
}

// replaceManifest replaces r by a replica with the digests of other, except for those of the
// chunks that r holds, which their content has confirmed. The fetch of r goes on with the new
// replica.
func (i *Installer) replaceManifest(r *replica, other *Manifest) {
	i.mu.Lock()
	defer i.mu.Unlock()
	at := slices.Index(i.replicas, r)
	if at < 0 {
		return
	}
	m := *r.manifest
	m.Digests = slices.Clone(other.Digests)
	corrected := newReplica(&m, i.settings.Box)
	for n, data := range r.chunks {
		if data != nil {
			m.Digests[n] = r.manifest.Digests[n]
			corrected.chunks[n] = data
			corrected.held.Set(uint(n))
		}
	}
	corrected.askPartners, corrected.mismatches = r.askPartners, r.mismatches
	corrected.fromPeers, corrected.fromRemoteRegion, corrected.fromOrigin = r.fromPeers, r.fromRemoteRegion, r.fromOrigin
	i.replicas = slices.Clone(i.replicas) // a reader may use the old slice without the lock
	i.replicas[at] = corrected
	i.metrics.Counter("mintlift_installer_manifests_replaced_total").Inc()
	i.notifyLocked()
}
