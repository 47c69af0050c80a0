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

// Errors of a pull.
const (
	errNoUsefulChunk = errors.ConstError("peer has nothing of use")
	errSenderBusy    = errors.ConstError("sender is busy")
	errDuplicateChunk   = errors.ConstError("chunk is held or on its way already")
	errStalled = errors.ConstError("no byte came for too long")
)

// defaultChunkTurn is the time between two chunks' turns at the origin when
// the settings do not say how fast its link is.
const defaultChunkTime = 10 * time.Millisecond

// newSwarm returns the decisions of package transfer for one copy.
func (d *Daemon) newSwarm(p *intent.Plan, m *weights.Manifest, c *weights.Copy) (*transfer.Swarm, *transfer.Picker) {
	params := transfer.Params{
		Chunks:        len(m.Chunks),
		OriginRegions: p.OriginRegions(),
		ChunkTurn:     defaultChunkTime,
		ExtraOrigin:   transfer.ExtraOrigin(len(m.Chunks), len(p.Steps), p.ExtraCopies),
	}
	for _, s := range p.Steps {
		params.Peers = append(params.Peers, transfer.Peer{Box: s.Box, Region: s.Zone.Region, Zone: s.Zone.Zone})
	}
	links := d.settings.Links
	if links.Origin > 0 {
		params.ChunkTurn = time.Duration(float64(m.ChunkBytes) / links.Origin * float64(time.Second))
	}
	floor := time.Duration(len(m.Chunks)) * params.ChunkTurn
	if links.Box > 0 {
		floor = max(floor, time.Duration(float64(m.Bytes)/links.Box*float64(time.Second)))
	}
	params.TakeOver = transfer.TakeOver(floor)
	box := d.settings.Node.Box
	swarm := transfer.NewSwarm(params, transfer.NewOrder(params), box, c.Held(), time.Now())
	return swarm, transfer.NewPicker(len(m.Chunks), xxhash.Sum64String(box))
}

// fetch pulls chunks until the copy is verified.
func (d *Daemon) fetch(ctx context.Context, j *job) error {
	ended := make(chan struct{}, 1)
	for ctx.Err() == nil {
		j.mu.Lock()
		if j.copy.State() != weights.Fetching {
			j.mu.Unlock()
			return nil
		}
		p := j.swarm.Next(time.Now())
		has := j.swarm.Wants()
		j.mu.Unlock()
		if p.Kind != transfer.None {
			go func() {
				d.pull(ctx, j, p, has)
				select {
				case ended <- struct{}{}:
				default:
				}
			}()
			continue
		}
		select {
		case <-ctx.Done():
		case <-ended:
		case <-time.After(p.Wait):
		}
	}
	return ctx.Err()
}

// pull carries out one decision and reports its end to the swarm.
func (d *Daemon) pull(ctx context.Context, j *job, p transfer.Pull, has *bitset.BitSet) {
	began := time.Now()
	know, err := d.transferChunk(ctx, j, &p, has)
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case err == nil:
		j.swarm.Arrived(p, know, now.Sub(began), now)
	case errors.Is(err, errNoUsefulChunk):
		j.swarm.Nothing(p, know, now)
	case errors.Is(err, errDuplicateChunk):
		j.swarm.Drop(p)
	case errors.Is(err, errSenderBusy):
		j.swarm.Busy(p, retryAfter(err), now)
	case errors.Is(err, errStalled):
		j.swarm.Stalled(p, now)
	default:
		j.swarm.Bad(p, now)
	}
	if err != nil && ctx.Err() == nil {
		d.Log.V(1).Info("transfer: pull ended without a chunk", "version", j.ref.String(), "peer", p.Peer, "chunk", p.Chunk, "error", err.Error())
	}
}

// transferChunk asks the sender and streams its answer into staging.
func (d *Daemon) transferChunk(ctx context.Context, j *job, p *transfer.Pull, has *bitset.BitSet) (transfer.Knowledge, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.mu.Lock()
	limit := j.swarm.StallLimit()
	j.mu.Unlock()
	watch := newWatchdog(limit, func() { cancel(errStalled) })
	defer watch.stop()

	resp, err := d.sendPull(ctx, j, *p, has)
	if err != nil {
		return transfer.Knowledge{}, stallErrorOr(ctx, err)
	}
	defer resp.Body.Close()
	know := peer.KnowledgeOf(resp.Header, len(j.copy.Manifest().Chunks))
	chunk := p.Chunk
	if p.Kind == transfer.FromPeer {
		if resp.StatusCode == http.StatusNoContent {
			return know, errNoUsefulChunk
		}
		if chunk, err = strconv.Atoi(resp.Header.Get(peer.HeaderChunk)); err != nil {
			return know, errors.Annotate(err, "answer names no chunk")
		}
	}
	if resp.StatusCode == http.StatusNoContent {
		return know, errNoUsefulChunk
	}
	j.mu.Lock()
	fresh := j.swarm.Offered(p, chunk)
	j.mu.Unlock()
	if !fresh {
		return know, errDuplicateChunk
	}
	err = d.stageChunk(ctx, j, *p, &watchdogReader{r: resp.Body, watchdog: watch})
	return know, stallErrorOr(ctx, err)
}

func stallErrorOr(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

// ask sends the pull to the origin or to a peer.
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
	refused := call.ReadStatusError(resp)
	if refused.Code == http.StatusTooManyRequests || refused.Code == http.StatusServiceUnavailable {
		return nil, errors.WithType(refused, errSenderBusy)
	}
	return nil, refused
}

func (d *Daemon) pullRequest(ctx context.Context, j *job, p transfer.Pull, has *bitset.BitSet) (*call.Client, *http.Request, error) {
	if p.Kind == transfer.FromOrigin {
		path := fmt.Sprintf("/origin/%s/%s/chunks/%d", j.ref.Model, j.ref.Version, p.Chunk)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.Platform.URL(d.settings.Platform.Origin, path), nil)
		return d.Platform, req, err
	}
	address, ok := d.peerAddress(p.Peer)
	if !ok {
		d.Directory.Stale()
		return nil, nil, errors.WithType(errors.Errorf("box %s is not in the box list", p.Peer), errSenderBusy)
	}
	body, err := json.Marshal(peer.PullRequest{Box: d.settings.Node.Box, Priority: j.currentPlan().Priority, Chunk: p.Chunk, Has: peer.EncodeBits(has)})
	if err != nil {
		return nil, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.Peers.URL(address, peer.PullPath(j.ref)), bytes.NewReader(body))
	return d.Peers, req, err
}

func (d *Daemon) peerAddress(box string) (string, bool) {
	boxes, _ := d.Directory.Boxes()
	for _, b := range boxes {
		if b.ID == box {
			return b.Address, true
		}
	}
	return "", false
}

// take streams a chunk into staging and accepts it if its digest is right.
// The engine may hold wrong bytes for a moment, but the copy does not count
// them: nothing unverified is passed on or loaded.
func (d *Daemon) stageChunk(ctx context.Context, j *job, p transfer.Pull, body io.Reader) error {
	m := j.copy.Manifest()
	size := m.Size(p.Chunk)
	hash := weights.NewHasher()
	counted := io.TeeReader(io.LimitReader(body, size), hash)
	if err := d.engine.Put(ctx, j.ref, p.Chunk, counted, size); err != nil {
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

// sourceOf names where a pull's chunk comes from.
func sourceOf(p transfer.Pull) string {
	switch p.Kind {
	case transfer.FromOrigin:
		return "origin"
	case transfer.FromFar:
		return "other_region"
	default:
		return "peer"
	}
}

func (j *job) countBytes(p transfer.Pull, n int64) {
	switch p.Kind {
	case transfer.FromOrigin:
		j.originBytes.Add(n)
	case transfer.FromFar:
		j.crossRegionBytes.Add(n)
		j.peerBytes.Add(n)
	default:
		j.peerBytes.Add(n)
	}
}

// watchdog calls a function when it is not fed for a while.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
}

func newWatchdog(limit time.Duration, bark func()) *watchdog {
	return &watchdog{limit: limit, timer: time.AfterFunc(limit, bark)}
}

func (w *watchdog) reset() { w.timer.Reset(w.limit) }
func (w *watchdog) stop() { w.timer.Stop() }

// watchedReader feeds the watchdog with every byte.
type watchdogReader struct {
	r     io.Reader
	watchdog *watchdog
}

// Read implements io.Reader.
func (r *watchdogReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if n > 0 {
		r.watchdog.reset()
	}
	return n, err
}
