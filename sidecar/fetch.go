// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/transfer"
	"github.com/mintlift/mintlift/weights"
)

// Errors of a pull, which is a request for a chunk to the origin or a peer, if no chunk
// was received.
const (
	errNoUsefulChunk  = errors.ConstError("peer has nothing of use")
	errSenderBusy     = errors.ConstError("sender is busy")
	errDuplicateChunk = errors.ConstError("chunk is held or on its way already")
	errStalled        = errors.ConstError("no byte came for too long")
)

// defaultChunkTime is the time per chunk at the origin if the settings do not give
// the rate of the origin's link.
const defaultChunkTime = 10 * time.Millisecond

// newSwarm returns the transfer state of one copy. The Swarm decides which chunks to
// pull, and the Picker selects chunks to send.
func (d *Daemon) newSwarm(plan *intent.Plan, manifest *weights.Manifest, c *weights.Copy) (*transfer.Swarm, *transfer.Picker) {
	params := transfer.Params{
		Chunks:        len(manifest.Chunks),
		OriginRegions: plan.OriginRegions(),
		ChunkInterval: defaultChunkTime,
		ExtraOrigin:   transfer.ExtraOrigin(len(manifest.Chunks), len(plan.Steps), plan.ExtraCopies),
	}
	for _, s := range plan.Steps {
		params.Peers = append(params.Peers, transfer.Peer{Box: s.Box, Region: s.Zone.Region, Zone: s.Zone.Zone})
	}
	links := d.settings.Links
	if links.Origin > 0 {
		params.ChunkInterval = time.Duration(float64(manifest.ChunkBytes) / links.Origin * float64(time.Second))
	}
	minDuration := time.Duration(len(manifest.Chunks)) * params.ChunkInterval
	if links.Box > 0 {
		minDuration = max(minDuration, time.Duration(float64(manifest.Bytes)/links.Box*float64(time.Second)))
	}
	params.TakeOverDelay = transfer.TakeOverDelay(minDuration)
	box := d.settings.Node.Box
	swarm := transfer.NewSwarm(params, transfer.NewOrder(params), box, c.Held(), time.Now())
	return swarm, transfer.NewPicker(len(manifest.Chunks), xxhash.Sum64String(box))
}

// fetch pulls chunks, several at once, until all are verified and the copy leaves the
// state Fetching. It returns an error only if ctx ends first.
func (d *Daemon) fetch(ctx context.Context, j *job) error {
	pullEnded := make(chan struct{}, 1)
	for ctx.Err() == nil {
		j.mu.Lock()
		if j.copy.State() != weights.Fetching {
			j.mu.Unlock()
			return nil
		}
		p := j.swarm.Next(time.Now())
		has := j.swarm.HeldOrInFlight()
		j.mu.Unlock()
		if p.Kind != transfer.None {
			go func() {
				d.pull(ctx, j, p, has)
				select {
				case pullEnded <- struct{}{}:
				default:
				}
			}()
			continue
		}
		select {
		case <-ctx.Done():
		case <-pullEnded:
		case <-time.After(p.Wait):
		}
	}
	return ctx.Err()
}

// pull executes one pull and reports its result to the swarm.
func (d *Daemon) pull(ctx context.Context, j *job, p transfer.Pull, has *bitset.BitSet) {
	start := time.Now()
	availability, err := d.transferChunk(ctx, j, &p, has)
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case err == nil:
		j.swarm.Arrived(p, availability, now.Sub(start), now)
	case errors.Is(err, errNoUsefulChunk):
		j.swarm.NoUsefulChunk(p, availability, now)
	case errors.Is(err, errDuplicateChunk):
		j.swarm.Drop(p)
	case errors.Is(err, errSenderBusy):
		j.swarm.Busy(p, retryAfter(err), now)
	case errors.Is(err, errStalled):
		j.swarm.Stalled(p, now)
	default:
		j.swarm.InvalidChunk(p, now)
	}
	if err != nil && ctx.Err() == nil {
		d.Log.V(1).Info("transfer: pull ended without a chunk", "version", j.ref.String(), "peer", p.Peer, "chunk", p.Chunk, "error", err.Error())
	}
}

// transferChunk sends the pull and streams the chunk in the response into the engine's
// staging memory. If a peer has chosen the chunk, it sets p.Chunk to that one. The
// availability is the zero value if the sender did not respond or refused.
func (d *Daemon) transferChunk(ctx context.Context, j *job, p *transfer.Pull, has *bitset.BitSet) (transfer.Availability, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.mu.Lock()
	limit := j.swarm.StallTimeout()
	j.mu.Unlock()
	stallWatchdog := newWatchdog(limit, func() { cancel(errStalled) })
	defer stallWatchdog.stop()

	resp, err := d.sendPull(ctx, j, *p, has)
	if err != nil {
		return transfer.Availability{}, stallErrorOr(ctx, err)
	}
	defer resp.Body.Close()
	availability := peer.ParseAvailability(resp.Header, len(j.copy.Manifest().Chunks))
	chunk := p.Chunk
	if p.Kind == transfer.FromPeer {
		if resp.StatusCode == http.StatusNoContent {
			return availability, errNoUsefulChunk
		}
		if chunk, err = strconv.Atoi(resp.Header.Get(peer.HeaderChunk)); err != nil {
			return availability, errors.Annotate(err, "answer names no chunk")
		}
	}
	if resp.StatusCode == http.StatusNoContent {
		return availability, errNoUsefulChunk
	}
	j.mu.Lock()
	accepted := j.swarm.Offered(p, chunk)
	j.mu.Unlock()
	if !accepted {
		return availability, errDuplicateChunk
	}
	err = d.stageChunk(ctx, j, *p, &watchdogReader{r: resp.Body, stallWatchdog: stallWatchdog})
	return availability, stallErrorOr(ctx, err)
}

// stallErrorOr returns errStalled instead of err if the watchdog has canceled ctx.
func stallErrorOr(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

// sendPull sends the pull to the origin or to a peer. The error is errSenderBusy if the
// sender responded with status 429 or 503, or if the peer's address is unknown. The
// caller must close the response's body.
func (d *Daemon) sendPull(ctx context.Context, j *job, p transfer.Pull, has *bitset.BitSet) (*http.Response, error) {
	client, req, err := d.pullRequest(ctx, j, p, has)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return resp, nil
	}
	defer resp.Body.Close()
	statusErr := call.ReadStatusError(resp)
	if statusErr.Code == http.StatusTooManyRequests || statusErr.Code == http.StatusServiceUnavailable {
		return nil, errors.WithType(statusErr, errSenderBusy)
	}
	return nil, statusErr
}

// pullRequest returns the HTTP request for a pull, and the client to send it with.
func (d *Daemon) pullRequest(ctx context.Context, j *job, p transfer.Pull, has *bitset.BitSet) (*call.Client, *http.Request, error) {
	if p.Kind == transfer.FromOrigin {
		path := fmt.Sprintf("/origin/%s/%s/chunks/%d", j.ref.Model, j.ref.Version, p.Chunk)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.Platform.URL(d.settings.Platform.Origin, path), nil)
		return d.Platform, req, err
	}
	address, ok := d.peerAddress(p.Peer)
	if !ok {
		d.Directory.RequestRefresh()
		return nil, nil, errors.WithType(errors.Errorf("box %s is not in the box list", p.Peer), errSenderBusy)
	}
	body, err := json.Marshal(peer.PullRequest{Box: d.settings.Node.Box, Priority: j.currentPlan().Priority, Chunk: p.Chunk, Has: peer.EncodeBits(has)})
	if err != nil {
		return nil, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.Peers.URL(address, peer.PullPath(j.ref)), bytes.NewReader(body))
	return d.Peers, req, err
}

// peerAddress returns the address of a box, or false if the box is not in the box list.
func (d *Daemon) peerAddress(box string) (string, bool) {
	boxes, _ := d.Directory.Boxes()
	for _, b := range boxes {
		if b.ID == box {
			return b.Address, true
		}
	}
	return "", false
}

// stageChunk streams a chunk into the engine's staging memory and verifies its digest. If
// the digest is wrong, the bytes stay in staging memory until the chunk is pulled again.
// The copy does not count such a chunk as held, so it is neither sent to peers nor loaded.
func (d *Daemon) stageChunk(ctx context.Context, j *job, p transfer.Pull, body io.Reader) error {
	manifest := j.copy.Manifest()
	size := manifest.Size(p.Chunk)
	hash := weights.NewHasher()
	hashed := io.TeeReader(io.LimitReader(body, size), hash)
	if err := d.engine.Put(ctx, j.ref, p.Chunk, hashed, size); err != nil {
		return errors.Annotate(err, "chunk did not arrive")
	}
	j.countBytes(p, hash.Written())
	d.Metrics.Counter("mintlift_chunk_received_bytes_total", "source", sourceOf(p)).Add(int(hash.Written()))
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.copy.State() != weights.Fetching {
		return errors.Errorf("copy of %s is %s", j.ref, j.copy.State())
	}
	if err := j.copy.AcceptSum(p.Chunk, hash.Written(), hash.Digest()); err != nil {
		j.badChunks.Add(1)
		d.Metrics.Counter("mintlift_chunks_bad_total", "source", sourceOf(p)).Inc()
		return err
	}
	return nil
}

// sourceOf returns the value of the metrics label source for a pull.
func sourceOf(p transfer.Pull) string {
	switch p.Kind {
	case transfer.FromOrigin:
		return "origin"
	case transfer.FromRemoteRegion:
		return "other_region"
	default:
		return "peer"
	}
}

// countBytes adds n received bytes to the counters of the pull's source. Bytes from
// another region also count as bytes from a peer.
func (j *job) countBytes(p transfer.Pull, n int64) {
	switch p.Kind {
	case transfer.FromOrigin:
		j.originBytes.Add(n)
	case transfer.FromRemoteRegion:
		j.crossRegionBytes.Add(n)
		j.peerBytes.Add(n)
	default:
		j.peerBytes.Add(n)
	}
}

// watchdog calls a function when limit has passed since newWatchdog or the last reset.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
}

// newWatchdog starts a watchdog that calls onTimeout if it is not reset for limit.
func newWatchdog(limit time.Duration, onTimeout func()) *watchdog {
	return &watchdog{limit: limit, timer: time.AfterFunc(limit, onTimeout)}
}

// reset postpones the call of the function to the time at which limit will have passed
// from now.
func (w *watchdog) reset() { w.timer.Reset(w.limit) }

// stop stops the timer. A call of the function that has begun already continues.
func (w *watchdog) stop() { w.timer.Stop() }

// watchdogReader resets its watchdog at each read that returns bytes.
type watchdogReader struct {
	r             io.Reader
	stallWatchdog *watchdog
}

// Read implements io.Reader.
func (r *watchdogReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if n > 0 {
		r.stallWatchdog.reset()
	}
	return n, err
}
