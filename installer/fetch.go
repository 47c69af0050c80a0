// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/stall"
	"github.com/mintlift/mintlift/transfer"
)

// errDigestMismatch is returned for a received chunk that does not match its
// digest.
const errDigestMismatch = errors.ConstError("chunk does not match its digest")

// fetch pulls chunks until r is complete, for one round. It returns false if the round
// ended, ctx ended or r was replaced first. Pulls that are in flight at the
// end of a round continue in the next one, so that no chunk is sent again.
func (i *Installer) fetch(ctx context.Context, task fetchTask, r *replica) bool {
	if i.isComplete(r) {
		return true
	}
	began := clock.Now()
	end := began.Add(fetchRoundTimeout + rand.N(fetchRoundJitter))
	i.startSwarm(ctx, task, r)
	ended := make(chan struct{}, 1)
	for ctx.Err() == nil && clock.Now().Before(end) && !i.isComplete(r) {
		if i.replicaDropped(r) {
			return false
		}
		i.mu.Lock()
		p := i.nextPull(r, task, clock.Now())
		has := r.swarm.HeldOrInFlight()
		i.mu.Unlock()
		if p.Kind != transfer.None {
			go func() {
				i.pull(ctx, r, p, has)
				i.mu.Lock()
				r.pulls--
				i.mu.Unlock()
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
	i.mu.Lock()
	defer i.mu.Unlock()
	done := r.complete()
	i.log.Info("fetch ended", "version", task.version, "whole", done, "held", r.held.Count(), "origin", r.fromOrigin, "far", r.fromRemoteRegion,
		"peers", r.fromPeers, "spoilt", r.mismatches, "ms", clock.Since(began).Milliseconds())
	return done
}

// nextPull returns the next pull for r and counts it, unless its kind is None. While an
// older version waits for an unavailable origin, or for boxes that do not fetch it by their
// plans, r is pulled from other boxes. Installer.mu is held.
func (i *Installer) nextPull(r *replica, task fetchTask, now time.Time) transfer.Pull {
	p := transfer.Pull{Wait: pullPollInterval}
	switch limit := i.pullLimit(r, task, now); {
	case r.pulls < limit:
		p = r.swarm.Next(now)
	case limit > 1 && r.pulls < limit+extraFirstFetches:
		p = r.swarm.NextFirstFetch(now)
	case limit == 0 && r.pulls == 0 && (i.originDownTime(now) > 0 || i.olderIdle(task.version, now)):
		p = r.swarm.NextFromBoxes(now)
	}
	if p.Kind != transfer.None {
		r.pulls++
	}
	return p
}

// olderIdle reports whether the fetch of the version that is completed before the given one
// makes no progress: queried boxes have none of its missing chunks. Installer.mu is held.
func (i *Installer) olderIdle(version int, now time.Time) bool {
	older := i.olderFirst(version, now)
	return older != nil && older.swarm != nil && older.swarm.Idle(now)
}

// isComplete reports whether r holds all chunks. It takes Installer.mu.
func (i *Installer) isComplete(r *replica) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return r.complete()
}

// startSwarm replaces the swarm of r, which schedules its pulls, by a new one over
// the current sidecar list. The new swarm continues the pulls in flight.
func (i *Installer) startSwarm(ctx context.Context, task fetchTask, r *replica) {
	peers, _ := i.listPeers(ctx)
	params := transfer.Params{
		Chunks:        len(r.manifest.Digests),
		OriginRegions: []string{i.originRegion(task, peers)},
		ChunkInterval: chunkInterval(task.params),
		TakeOverDelay: takeOverDelay,
		IdleTimeout:   chunkLostAfter,
		PauseTakeOver: true,
	}
	addresses := make(map[string]string, len(peers))
	self := false
	for _, p := range peers {
		params.Peers = append(params.Peers, transfer.Peer{Box: p.Box, Region: p.Region, Zone: p.Zone, Passive: p.Draining})
		addresses[p.Box] = p.Address
		self = self || p.Box == i.settings.Box
	}
	if !self {
		params.Peers = append(params.Peers, transfer.Peer{Box: i.settings.Box, Region: i.settings.Region, Zone: i.settings.Zone})
	}
	order := transfer.NewOrder(params)
	i.mu.Lock()
	swarm := transfer.NewSwarm(params, order, i.settings.Box, r.held, clock.Now())
	if r.swarm != nil {
		swarm.Continue(r.swarm)
	}
	r.swarm = swarm
	r.addresses = addresses
	i.mu.Unlock()
	i.queryPartners(ctx, r.manifest, swarm, addresses, order.Partners(i.settings.Region, i.settings.Box))
	i.mu.Lock()
	defer i.mu.Unlock()
	if r.askPartners {
		r.askPartners = false
		i.notifyLocked()
	}
}

// peerListMaxAge is the maximum age of the sidecar list for a new swarm. A newer list
// would be hardly more accurate, as it names a failed box for three heartbeats.
const peerListMaxAge = time.Second

// peerListTimeout is how long a box waits for its first list of sidecars before it fetches
// as if it were alone. Boxes that do so at once would all read from the origin.
const peerListTimeout = 5 * time.Second

// listPeers returns the service's sidecars, this one included. It reads the list
// if the cached one is older than peerListMaxAge, and returns the cached one if
// that fails. known is false if there has been no list yet, and peerListTimeout has not
// passed since the first attempt.
func (i *Installer) listPeers(ctx context.Context) (peers []Peer, known bool) {
	i.mu.Lock()
	cached, at := i.peerList, i.peerListAt
	i.mu.Unlock()
	now := clock.Now()
	if now.Sub(at) < peerListMaxAge {
		return cached, true
	}
	peers, err := i.peers(ctx)
	i.mu.Lock()
	defer i.mu.Unlock()
	if err == nil {
		i.peerList, i.peerListAt = peers, clock.Now()
		return peers, true
	}
	i.log.Info("sidecar list read failed", "error", err.Error(), "last", len(cached))
	if i.peersMissingSince.IsZero() {
		i.peersMissingSince = now
	}
	return cached, !at.IsZero() || now.Sub(i.peersMissingSince) >= peerListTimeout
}

// partnerTimeout bounds how long a fetch waits for the responses of queryPartners
// before it starts to pull chunks, so that an unresponsive partner does not delay
// it. Partners normally respond within milliseconds.
const partnerTimeout = 60 * time.Millisecond

// queryPartners asks the partners of this box which chunks they hold. Partners are
// boxes that share the responsibility for reading some chunks from the origin; see
// transfer.Order. Chunks that a partner holds are not read from the origin again. If
// a partner does not respond, this box reads that partner's chunks in its place.
func (i *Installer) queryPartners(ctx context.Context, m *Manifest, swarm *transfer.Swarm, addresses map[string]string, partners []string) {
	answered := make(chan struct{})
	var group sync.WaitGroup
	for _, box := range partners {
		group.Go(func() {
			availability, err := i.client.held(ctx, addresses[box], m)
			i.mu.Lock()
			defer i.mu.Unlock()
			switch {
			case err == nil:
				swarm.AddAvailability(box, availability)
			case ctx.Err() == nil:
				swarm.MarkUnresponsive(box, clock.Now())
				i.log.Info("partner query failed", "version", m.Version, "peer", box, "error", err.Error())
			}
		})
	}
	go func() {
		group.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(partnerTimeout):
	case <-ctx.Done():
	}
}

// Limits of concurrent pulls. Pulls share the box's link with the requests and
// responses of the engine and delay them if the link is slow.
const (
	// maxPulls is the maximum number of pulls in flight for a replica.
	maxPulls = 3
	// extraFirstFetches is the number of additional pulls that are allowed for chunks
	// that no box of the region is known to hold.
	extraFirstFetches = 1
	// slowLinkFactor is a multiple of the expected duration of a chunk's transfer. If
	// transfers take longer, the link counts as slow and only one pull is allowed.
	slowLinkFactor = 5
	// pullPollInterval is the pause before the swarm is queried again if no pull
	// can be started.
	pullPollInterval = 15 * time.Millisecond
)

// pullLimit returns how many pulls for r may be in flight; Installer.mu is held. If
// an older version is to be completed first, the limit is 0 while some chunk of the
// older version is held neither here nor by a known peer, and then 1 until the
// older version is complete. It is also 1 on a slow link.
func (i *Installer) pullLimit(r *replica, task fetchTask, now time.Time) int {
	if older := i.olderFirst(task.version, now); older != nil {
		if older.reachable() < len(older.chunks) {
			return 0
		}
		return 1
	}
	if i.settings.LinkRate <= 0 {
		return maxPulls
	}
	expected := time.Duration(maxPulls * float64(r.manifest.ChunkBytes) / i.settings.LinkRate * float64(time.Second))
	if r.swarm.ChunkTime() > slowLinkFactor*expected {
		return 1
	}
	return maxPulls
}

// Failover delays of a swarm. They are short because a new version must reach all
// engines within seconds.
const (
	// takeOverDelay is the transfer.Params.TakeOverDelay: the additional time after
	// which each further box reads a chunk in place of the box that should have read
	// it.
	takeOverDelay = 900 * time.Millisecond
	// chunkLostAfter is the transfer.Params.IdleTimeout: the time without a new chunk
	// after which the missing chunks are presumed lost and fetched again.
	chunkLostAfter = 400 * time.Millisecond
)

// defaultChunkInterval is the result of chunkInterval if the origin's rate is
// unknown.
const defaultChunkInterval = 20 * time.Millisecond

// chunkInterval returns how long the origin takes to send one chunk.
func chunkInterval(p Params) time.Duration {
	if p.OriginRate <= 0 {
		return defaultChunkInterval
	}
	return time.Duration(float64(p.ChunkBytes) / p.OriginRate * float64(time.Second))
}

// originRegion returns the region whose boxes read from the origin: the origin's own
// region if a sidecar is in it, otherwise the first region in alphabetical order.
func (i *Installer) originRegion(task fetchTask, peers []Peer) string {
	lowest := i.settings.Region
	for _, p := range peers {
		if p.Region == task.params.OriginRegion {
			return p.Region
		}
		lowest = min(lowest, p.Region)
	}
	return lowest
}

// pull carries out p and reports its result to the current swarm of r. has is the set
// of chunks that this box holds or has in flight.
func (i *Installer) pull(ctx context.Context, r *replica, p transfer.Pull, has *bitset.BitSet) {
	began := clock.Now()
	availability, data, err := i.requestChunk(ctx, r, &p, has, func() { began = clock.Now() })
	if err == nil {
		err = i.storeChunk(ctx, r, p, data)
	}
	now := clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	swarm := r.swarm
	switch {
	case err == nil:
		swarm.Arrived(p, availability, now.Sub(began), now)
		i.countChunk(r, p)
		go i.stageChunk(r, p.Chunk)
	case ctx.Err() != nil:
		swarm.Drop(p) // the replica is complete, or the task was cancelled
	case errors.Is(err, errNoUsefulChunk):
		swarm.NoUsefulChunk(p, availability, now)
	case errors.Is(err, errChunkNotNeeded):
		swarm.Drop(p)
	case errors.Is(err, errBusy):
		swarm.Busy(p, 0, now)
	case errors.Is(err, stall.ErrStalled):
		swarm.Stalled(p, now)
	case errors.Is(err, errDigestMismatch):
		swarm.InvalidChunk(p, now)
	case isTimeout(err):
		swarm.Unresponsive(p, now)
		i.log.Info("chunk pull timed out", "version", r.manifest.Version, "peer", p.Peer, "chunk", p.Chunk, "error", err.Error())
	default:
		swarm.ConnectionFailed(p, now)
		i.log.Info("chunk pull failed", "version", r.manifest.Version, "peer", p.Peer, "chunk", p.Chunk, "error", err.Error())
	}
}

// isTimeout reports whether a call failed by a network timeout, rather than by
// an error status or a refused connection.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// countChunk counts a received chunk by its source: the origin, a peer of the same
// region, or a box of another region, which the metric's label calls "far".
// Installer.mu is held.
func (i *Installer) countChunk(r *replica, p transfer.Pull) {
	source := "peer"
	switch p.Kind {
	case transfer.FromOrigin:
		source = "origin"
		r.fromOrigin++
	case transfer.FromRemoteRegion:
		source = "far"
		r.fromRemoteRegion++
	default:
		r.fromPeers++
	}
	i.metrics.Counter("mintlift_installer_chunks_total", "source", source).Inc()
}

// requestChunk requests the chunk of p from the origin or a peer. A peer of another
// region may hold the request until the chunk has arrived there; sending is called
// when that peer starts to send.
func (i *Installer) requestChunk(ctx context.Context, r *replica, p *transfer.Pull, has *bitset.BitSet, sending func()) (transfer.Availability, []byte, error) {
	i.mu.Lock()
	stallTimeout := r.swarm.StallTimeout()
	address := r.addresses[p.Peer]
	i.mu.Unlock()
	if p.Kind == transfer.FromOrigin {
		data, err := i.origin.Chunk(ctx, r.manifest.Model, r.manifest.Version, p.Chunk)
		return transfer.Availability{}, data, err
	}
	firstByteTimeout := stallTimeout
	if p.Kind == transfer.FromRemoteRegion {
		firstByteTimeout += chunkWaitTimeout
	}
	accept := func(chunk int) bool {
		if p.Kind == transfer.FromRemoteRegion {
			sending()
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		return r.swarm.Offered(p, chunk)
	}
	announced := func(a transfer.Availability) {
		i.mu.Lock()
		defer i.mu.Unlock()
		r.swarm.AddAvailability(p.Peer, a)
	}
	return i.client.pull(ctx, address, i.settings.Box, r.manifest, p.Chunk, has, firstByteTimeout, stallTimeout, accept, announced)
}

// storeChunk verifies the digest of a received chunk and adds it to r. It returns
// errDigestMismatch if the digest does not match.
func (i *Installer) storeChunk(ctx context.Context, r *replica, p transfer.Pull, data []byte) error {
	if !r.manifest.ChunkMatches(p.Chunk, data) {
		i.rejectChunk(ctx, r, p, sha256.Sum256(data))
		return errDigestMismatch
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	r.chunks[p.Chunk] = data
	r.held.Set(uint(p.Chunk))
	close(r.chunkArrived)
	r.chunkArrived = make(chan struct{})
	if r.complete() {
		r.completedAt = clock.Now()
	}
	return nil
}
