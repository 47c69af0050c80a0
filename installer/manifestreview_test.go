// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"crypto/sha256"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/transfer"
)

// originPull returns a pull of a chunk from the origin.
func originPull(chunk int) transfer.Pull {
	return transfer.Pull{Kind: transfer.FromOrigin, Chunk: chunk}
}

// digestOf returns the digest of data.
func digestOf(data []byte) Digest { return sha256.Sum256(data) }

// Guards against a version that never arrives because one digest of its manifest is corrupt,
// at all boxes of the region: every other chunk matches, so the manifest looks valid.
func TestOneCorruptDigestDoesNotBlockVersion(t *testing.T) {
	for name, boxes := range map[string]int{"one box": 1, "six boxes": 6} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, boxes, 1, 300*time.Millisecond, engineLoadedWith(1))
			time.Sleep(50 * time.Millisecond)
			c.origin.mu.Lock()
			c.origin.corruptManifests, c.origin.corruptDigest, c.origin.manifests = 1, 5, 0
			c.origin.mu.Unlock()
			c.addTarget(2)
			c.awaitVersion(2)
			c.checkLoads()
			c.origin.mu.Lock()
			defer c.origin.mu.Unlock()
			assert.Assert(t, c.origin.manifests <= 1+boxes, "%d manifests were sent", c.origin.manifests)
			assert.Assert(t, c.origin.sent < testChunks*(2+boxes), "%d chunks were sent", c.origin.sent)
		})
	}
}

// A manifest that is corrupt in all digests or lacks one must not block a version either, though
// the root of the region's tree passes it on to the other boxes.
func TestCorruptManifestOfRegionDoesNotBlockVersion(t *testing.T) {
	for name, prepare := range map[string]func(*fakeOrigin){
		"all digests": func(o *fakeOrigin) { o.corruptManifests = 1 },
		"too short":   func(o *fakeOrigin) { o.shortManifests = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6, 1, 300*time.Millisecond, engineLoadedWith(1))
			time.Sleep(50 * time.Millisecond)
			c.origin.mu.Lock()
			prepare(c.origin)
			c.origin.mu.Unlock()
			c.addTarget(2)
			c.awaitVersion(2)
			c.checkLoads()
		})
	}
}

// Guards against a correct manifest that is replaced because the origin sends a corrupt chunk, or
// a corrupt second copy: the chunk's content and the copy's digest must agree.
func TestCorruptChunkOrCopyReplacesNoManifest(t *testing.T) {
	c := newCluster(t, 1, 1, time.Minute, engineLoadedWith(2))
	i := c.installers[0]
	r := newReplica(manifestOf(2), "box0")
	i.mu.Lock()
	i.replicas = append(i.replicas, r)
	i.mu.Unlock()
	corrupt := chunkOf(2, 5)
	corrupt[7] ^= 1
	pull := originPull(5)
	i.reviewManifest(t.Context(), r, pull, "", digestOf(corrupt))
	assert.Assert(t, !i.replicaDropped(r), "a corrupt chunk replaced the manifest")
	c.origin.mu.Lock()
	c.origin.corruptManifests, c.origin.corruptDigest = 1, 5
	c.origin.mu.Unlock()
	i.reviewManifest(t.Context(), r, pull, "", digestOf(corrupt))
	assert.Assert(t, !i.replicaDropped(r), "a corrupt copy replaced the manifest")
}

// Guards against digests that the held chunks have confirmed and that a second copy, which is
// corrupt in another digest, replaces.
func TestConfirmedDigestsOutlastCorruptCopy(t *testing.T) {
	c := newCluster(t, 1, 1, time.Minute, engineLoadedWith(2))
	i := c.installers[0]
	first := manifestOf(2)
	first.Digests[5][0] ^= 1
	r := newReplica(first, "box0")
	for n := range testChunks {
		if n != 5 {
			r.chunks[n] = chunkOf(2, n)
			r.held.Set(uint(n))
		}
	}
	i.mu.Lock()
	i.replicas = append(i.replicas, r)
	i.mu.Unlock()
	c.origin.mu.Lock()
	c.origin.corruptManifests, c.origin.corruptDigest = 1, 9
	c.origin.mu.Unlock()
	i.reviewManifest(t.Context(), r, originPull(5), "", digestOf(chunkOf(2, 5)))
	assert.Assert(t, i.replicaDropped(r))
	got := i.replica(2)
	assert.DeepEqual(t, got.manifest, manifestOf(2))
	assert.Equal(t, int(got.held.Count()), testChunks-1)
}
