// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bits-and-blooms/bitset"

	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/transfer"
)

// Limits of pulls that wait for a chunk to arrive here.
const (
	// chunkWaitTimeout bounds how long a pull for a given chunk is held until the chunk
	// arrives here. Boxes of other regions send such pulls when the chunk is due here. A
	// negative response would send them to boxes that get the chunk no sooner. The
	// timeout is below takeOverDelay, so that they have time to try another box.
	chunkWaitTimeout = takeOverDelay / 2
	// anyChunkWaitTimeout bounds how long a pull for any chunk is held until a chunk
	// arrives here that the caller lacks. It reduces polling at the start of a rollout,
	// when few boxes hold chunks.
	anyChunkWaitTimeout = 100 * time.Millisecond
	// maxChunkWaiters is the maximum number of pulls that are held at a time. A box does
	// the first fetch of only some chunks, and each other region requests each of these
	// once.
	maxChunkWaiters = 64
)

// uploads sends chunks to other sidecars. Its channels are semaphores.
type uploads struct {
	installer *Installer
	// slots is held by each upload in progress. queue is held by the uploads in
	// progress and the pulls that wait for a slot. chunkWaiters is held by the pulls
	// that wait for a chunk to arrive.
	slots, queue, chunkWaiters chan struct{}
}

// acquire acquires the semaphore s, waiting if necessary. It returns false if ctx ends
// first.
func acquire(ctx context.Context, s chan struct{}) bool {
	select {
	case s <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryAcquire acquires the semaphore s if that is possible without waiting.
func tryAcquire(s chan struct{}) bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

// servePull responds to a peer.PullRequest. It waits for the chunk to arrive, within
// the limits of waitForChunk, and then for an upload slot. It responds with status
// 429 if too many pulls wait for a slot already.
func (u *uploads) servePull(w http.ResponseWriter, r *http.Request) {
	var pull peer.PullRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxManifestBytes)).Decode(&pull); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	found := u.installer.requestedReplica(r)
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	has, err := peer.DecodeBits(pull.Has, len(found.chunks))
	if err != nil || pull.Chunk >= len(found.chunks) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.waitForChunk(r.Context(), found, pull.Chunk, has)
	if !tryAcquire(u.queue) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer func() { <-u.queue }()
	if !acquire(r.Context(), u.slots) {
		return
	}
	defer func() { <-u.slots }()
	u.send(w, r, found, pull.Chunk, has)
}

// waitForChunk waits until canRespond reports true for the pull or its timeout has
// passed. It returns at once if maxChunkWaiters pulls wait already.
func (u *uploads) waitForChunk(ctx context.Context, found *replica, chunk int, has *bitset.BitSet) {
	if !tryAcquire(u.chunkWaiters) {
		return
	}
	defer func() { <-u.chunkWaiters }()
	timeout := chunkWaitTimeout
	if chunk < 0 {
		timeout = anyChunkWaitTimeout
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		u.installer.mu.Lock()
		ready, arrived := found.canRespond(chunk, has), found.chunkArrived
		u.installer.mu.Unlock()
		if ready {
			return
		}
		select {
		case <-arrived:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// canRespond reports whether to respond to a pull now rather than to hold it. A pull
// for a given chunk is held until this box holds the chunk. A pull for any chunk,
// with chunk -1, is held until this box holds a chunk that is not in has, or at least
// half of all chunks: by then the caller finds more at other boxes. Installer.mu is
// held.
func (r *replica) canRespond(chunk int, has *bitset.BitSet) bool {
	if chunk >= 0 {
		return r.held.Test(uint(chunk))
	}
	return 2*int(r.held.Count()) >= len(r.chunks) || r.held.DifferenceCardinality(has) > 0
}

// send responds with the given chunk. If chunk is -1, it selects a chunk that this box
// holds and that is not in has. It responds with status 204 if there is none.
func (u *uploads) send(w http.ResponseWriter, r *http.Request, found *replica, chunk int, has *bitset.BitSet) {
	i := u.installer
	i.mu.Lock()
	availability := found.availability()
	if chunk < 0 {
		chunk = found.picker.Pick(found.held, has)
	}
	var data []byte
	if chunk >= 0 {
		data = found.chunks[chunk]
	}
	i.mu.Unlock()
	peer.SetAvailability(w.Header(), availability)
	if data == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set(peer.HeaderChunk, strconv.Itoa(chunk))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_ = i.upPacer.write(r.Context(), w, data) // the receiver detects a truncated chunk by its digest
}

// availability returns the chunks that are held here and the chunks that some box of
// the region is known to hold. It is sent with every response; Installer.mu is held.
func (r *replica) availability() transfer.Availability {
	if r.swarm != nil {
		return r.swarm.Availability()
	}
	return transfer.Availability{Held: r.held.Clone(), Exists: r.held.Clone()}
}
