// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"io"
	"net/http"
	"strconv"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/transfer"
	"github.com/mintlift/mintlift/weights"
)

// refFromPath returns the version in a request's path variables.
func refFromPath(r *http.Request) weights.Ref {
	v := pathvar.Vars(r)
	return weights.Ref{Model: v["model"], Version: v["version"]}
}

// handlePull serves a peer's pull with a verified chunk. If the peer requests no specific
// chunk, it sends the one that this box has sent the fewest times among those that the
// peer lacks. It responds with status 204 if there is no such chunk. The number of
// concurrent uploads is limited; waiting pulls are served by the priority in the request.
func (d *Daemon) handlePull(w http.ResponseWriter, r *http.Request) {
	var req peer.PullRequest
	if err := httpserve.ReadJSON(r, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j := d.copies.get(refFromPath(r))
	if j == nil || j.state() == weights.Absent {
		http.Error(w, "no such version here", http.StatusNotFound)
		return
	}
	if err := d.uploadGate.Acquire(r.Context(), req.Priority, req.Box); err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	defer d.uploadGate.Release(req.Box)
	chunk, availability, err := j.pickChunk(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	peer.SetAvailability(w.Header(), availability)
	if chunk < 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	d.sendChunk(w, r, j, chunk)
}

// pickChunk returns the chunk to send for a pull, or -1 if there is none, and the
// availability to send in the response. It returns an error if the request's bitmap is
// invalid.
func (j *job) pickChunk(req peer.PullRequest) (int, transfer.Availability, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	availability := j.swarm.Availability()
	has, err := peer.DecodeBits(req.Has, len(j.copy.Manifest().Chunks))
	if err != nil {
		return -1, availability, err
	}
	if req.Chunk < 0 {
		return j.picker.Pick(availability.Held, has), availability, nil
	}
	if availability.Held.Test(uint(req.Chunk)) {
		return req.Chunk, availability, nil
	}
	return -1, availability, nil
}

// sendChunk streams a verified chunk from the engine's staging memory.
func (d *Daemon) sendChunk(w http.ResponseWriter, r *http.Request, j *job, chunk int) {
	body, err := d.engine.Get(r.Context(), j.ref, chunk)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer body.Close()
	w.Header().Set(peer.HeaderChunk, strconv.Itoa(chunk))
	w.Header().Set("Content-Length", strconv.FormatInt(j.copy.Manifest().Size(chunk), 10))
	n, _ := io.Copy(w, body) // the receiver verifies length and digest
	d.Metrics.Counter("mintlift_chunk_sent_bytes_total").Add(int(n))
}
