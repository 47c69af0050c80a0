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

// Bounds of pulls that wait for a chunk to come.
const (
	// chunkHold is how long a pull for one chunk waits. A box of another region
	// asks when the chunk is due here; an answer of "not yet" would send it to
	// boxes that have it no sooner. Half of a takeOver is left for the asker to
	// try another box before that one reads the chunk itself.
	chunkHold = takeOver / 2
	// anyHold is how long a pull for any chunk waits at a box that holds nothing
	// of use, while it holds less than half. When a version has just been named
	// all boxes ask each other: without the wait 200 boxes made 30,000 calls in
	// vain in the first 0.7 s. Later the asker finds more elsewhere.
	anyHold = 100 * time.Millisecond
	// chunksHeldFor is how many pulls may wait; a box reads some chunks first,
	// and each other region asks for each of them once.
	chunksHeldFor = 64
)

// uploads sends chunks to other sidecars.
type uploads struct {
	installer *Installer
	// slots are the uploads under way, waiting those that may wait for a slot,
	// and holding those that wait for a chunk.
	slots, waiting, holding chan struct{}
}

// acquire takes a place in s, waiting for one while ctx lasts.
func acquire(ctx context.Context, s chan struct{}) bool {
	select {
	case s <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryAcquire takes a place in s if one is free.
func tryAcquire(s chan struct{}) bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (u *uploads) servePull(w http.ResponseWriter, r *http.Request) {
	var ask peer.PullRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxManifest)).Decode(&ask); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	found := u.installer.replicaOf(r)
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	has, err := peer.DecodeBits(ask.Has, len(found.chunks))
	if err != nil || ask.Chunk >= len(found.chunks) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.hold(r.Context(), found, ask.Chunk, has)
	if !tryAcquire(u.waiting) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer func() { <-u.waiting }()
	if !acquire(r.Context(), u.slots) {
		return
	}
	defer func() { <-u.slots }()
	u.send(w, r, found, ask.Chunk, has)
}

// hold waits until the chunk is held here, or if chunk is -1 any that the
// asker lacks.
func (u *uploads) hold(ctx context.Context, found *replica, chunk int, has *bitset.BitSet) {
	if !tryAcquire(u.holding) {
		return
	}
	defer func() { <-u.holding }()
	wait := chunkHold
	if chunk < 0 {
		wait = anyHold
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		u.installer.mu.Lock()
		ready, arrived := found.ready(chunk, has), found.arrived
		u.installer.mu.Unlock()
		if ready {
			return
		}
		select {
		case <-arrived:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// ready reports whether a pull should be answered now; Installer.mu is held.
func (r *replica) ready(chunk int, has *bitset.BitSet) bool {
	if chunk >= 0 {
		return r.held.Test(uint(chunk))
	}
	return 2*int(r.held.Count()) >= len(r.chunks) || r.held.DifferenceCardinality(has) > 0
}

// send answers with the chunk, or with any that the asker lacks if chunk is
// -1.
func (u *uploads) send(w http.ResponseWriter, r *http.Request, found *replica, chunk int, has *bitset.BitSet) {
	i := u.installer
	i.mu.Lock()
	know := found.knowledge()
	if chunk < 0 {
		chunk = found.picker.Pick(found.held, has)
	}
	var data []byte
	if chunk >= 0 {
		data = found.chunks[chunk]
	}
	i.mu.Unlock()
	peer.SetKnowledge(w.Header(), know)
	if data == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set(peer.HeaderChunk, strconv.Itoa(chunk))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_ = i.up.write(r.Context(), w, data) // the receiver checks the digest and sees a cut
}

// knowledge is what is told with each answer; Installer.mu is held.
func (r *replica) knowledge() transfer.Knowledge {
	if r.swarm != nil {
		return r.swarm.Knows()
	}
	return transfer.Knowledge{Held: r.held.Clone(), Exists: r.held.Clone()}
}
