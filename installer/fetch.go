// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
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

// errSpoilt says that a chunk did not fit its digest.
const errSpoilt = errors.ConstError("chunk does not fit its digest")

// badManifest is how many chunks must not fit, with none that does, before
// the manifest itself is doubted.
const badManifest = 4

// fetch pulls chunks until the copy is whole; it returns false if that did
// not succeed in this round.
func (i *Installer) fetch(ctx context.Context, w want, r *replica) bool {
	if i.complete(r) {
		return true
	}
	began := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, fetchRound+rand.N(fetchRoundMore))
	defer cancel()
	swarm := i.join(ctx, w, r)
	ended := make(chan struct{}, 1)
	flying := 0 // under Installer.mu
	for ctx.Err() == nil && !i.complete(r) {
		if i.doubtful(r) {
			i.forget(r)
			return false
		}
		i.mu.Lock()
		p := transfer.Pull{Wait: busyWait}
		switch limit := i.parallel(r, w, clock.Now()); {
		case flying < limit:
			p = swarm.Next(clock.Now())
		case limit > 1 && flying < limit+firstExtra:
			p = swarm.NextFirst(clock.Now())
		}
		has := swarm.Wants()
		if p.Kind != transfer.None {
			flying++
		}
		i.mu.Unlock()
		if p.Kind != transfer.None {
			go func() {
				i.pull(ctx, r, swarm, p, has)
				i.mu.Lock()
				flying--
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
	done := r.whole()
	i.log.Info("fetch ended", "version", w.version, "whole", done, "held", r.held.Count(), "origin", r.fromSrc, "far", r.fromFar,
		"peers", r.fromPeers, "spoilt", r.bad, "ms", clock.Since(began).Milliseconds())
	return done
}

func (i *Installer) complete(r *replica) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return r.whole()
}

func (i *Installer) doubtful(r *replica) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return r.held.Count() == 0 && r.bad >= badManifest
}

// forget drops a copy whose manifest is doubted.
func (i *Installer) forget(r *replica) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for at, other := range i.copies {
		if other == r {
			i.copies = append(i.copies[:at:at], i.copies[at+1:]...)
			break
		}
	}
	i.log.Info("manifest dropped", "version", r.manifest.Version, "spoilt", r.bad)
}

// join begins a swarm of r over the sidecars of the list. Pulls that an
// earlier swarm of the copy has under way report to that one.
func (i *Installer) join(ctx context.Context, w want, r *replica) *transfer.Swarm {
	peers := i.list(ctx)
	params := transfer.Params{
		Chunks:        len(r.manifest.Digests),
		OriginRegions: []string{i.originRegion(w, peers)},
		ChunkTurn:     chunkTurn(w.params),
		TakeOver:      takeOver,
		Quiet:         lostAfter,
		Patient:       true,
	}
	addresses := make(map[string]string, len(peers))
	self := false
	for _, p := range peers {
		params.Peers = append(params.Peers, transfer.Peer{Box: p.Box, Region: p.Region, Zone: p.Zone, Passive: p.Leaving})
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
	i.askPartners(ctx, r.manifest, swarm, addresses, order.Partners(i.settings.Region, i.settings.Box))
	return swarm
}

// listFresh is how old the list of sidecars may be for a swarm: what it names
// may be gone anyway, as an entry outlives its box by three heartbeats.
const listFresh = time.Second

// list returns the service's sidecars, this one included, as read within
// listFresh, or the last that were had.
func (i *Installer) list(ctx context.Context) []Peer {
	i.mu.Lock()
	known, at := i.known, i.knownAt
	i.mu.Unlock()
	if clock.Since(at) < listFresh {
		return known
	}
	peers, err := i.peers(ctx)
	if err != nil {
		i.log.Info("list of sidecars not had", "error", err.Error(), "last", len(known))
		return known
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.known, i.knownAt = peers, clock.Now()
	return peers
}

// partnersWait is how long a swarm waits for what its partners hold before it
// reads anything first: they answer within some milliseconds, and one that
// stands still must not hold up the others.
const partnersWait = 60 * time.Millisecond

// askPartners asks the boxes that stand beside this one in the order of its
// chunks what they hold, so that nothing is read first that has come already,
// and nobody waits for one that does not answer.
func (i *Installer) askPartners(ctx context.Context, m *Manifest, swarm *transfer.Swarm, addresses map[string]string, partners []string) {
	answered := make(chan struct{})
	var group sync.WaitGroup
	for _, box := range partners {
		group.Go(func() {
			know, err := i.client.held(ctx, addresses[box], m)
			i.mu.Lock()
			defer i.mu.Unlock()
			switch {
			case err == nil:
				swarm.Known(box, know)
			case ctx.Err() == nil:
				swarm.Silent(box, clock.Now())
				i.log.Info("partner silent", "version", m.Version, "peer", box, "error", err.Error())
			}
		})
	}
	go func() {
		group.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(partnersWait):
	case <-ctx.Done():
	}
}

// Bounds of the pulls under way at once. What is under way queues at a
// narrow link ahead of the requests and answers of the engine, so that a
// link that turns out narrow gets a single one.
const (
	pullsAtOnce = 3
	// firstExtra are pulls beyond these of chunks that nobody else has.
	firstExtra = 1
	narrow     = 5
	busyWait   = 15 * time.Millisecond
)

// parallel is how many pulls may be under way; Installer.mu is held. While
// an older version is completed, the newer one gets none until the origin has
// sent what the older one lacks, and a single one until that has come.
func (i *Installer) parallel(r *replica, w want, now time.Time) int {
	for _, t := range i.targets {
		if t.version >= w.version || !i.completes(t, now) {
			continue
		}
		older := i.copyOf(t.version)
		if older.reachable() < len(older.chunks) {
			return 0
		}
		return 1
	}
	if i.settings.LinkRate <= 0 {
		return pullsAtOnce
	}
	usual := time.Duration(pullsAtOnce * float64(r.manifest.ChunkBytes) / i.settings.LinkRate * float64(time.Second))
	if r.swarm.ChunkTime() > narrow*usual {
		return 1
	}
	return pullsAtOnce
}

// A version has seconds to be everywhere, so that what a dead box had read
// for all is soon read by another.
const (
	// takeOver is how long each further rank waits for a silent one.
	takeOver = 900 * time.Millisecond
	// lostAfter is how long nothing new must have come before a chunk is
	// taken for lost with the box that read it.
	lostAfter = 400 * time.Millisecond
)

// defaultTurn is the time of a chunk at the origin where its rate is not
// known.
const defaultTurn = 20 * time.Millisecond

func chunkTurn(p Params) time.Duration {
	if p.OriginRate <= 0 {
		return defaultTurn
	}
	return time.Duration(float64(p.ChunkBytes) / p.OriginRate * float64(time.Second))
}

// originRegion is the region that reads from the origin: the origin's own
// if a sidecar is there.
func (i *Installer) originRegion(w want, peers []Peer) string {
	lowest := i.settings.Region
	for _, p := range peers {
		if p.Region == w.params.OriginRegion {
			return p.Region
		}
		lowest = min(lowest, p.Region)
	}
	return lowest
}

// pull carries out one decision and reports its end to the swarm.
func (i *Installer) pull(ctx context.Context, r *replica, swarm *transfer.Swarm, p transfer.Pull, has *bitset.BitSet) {
	began := clock.Now()
	know, data, err := i.transfer(ctx, r, swarm, &p, has, func() { began = clock.Now() })
	if err == nil {
		err = i.take(r, p, data)
	}
	now := clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case err == nil:
		swarm.Arrived(p, know, now.Sub(began), now)
		i.count(r, p)
		go i.layEarly(r, p.Chunk)
	case ctx.Err() != nil:
		swarm.Drop(p) // the copy is whole, or no longer wanted
	case errors.Is(err, errNothing):
		swarm.Nothing(p, know, now)
	case errors.Is(err, errTaken):
		swarm.Drop(p)
	case errors.Is(err, errBusy):
		swarm.Busy(p, 0, now)
	case errors.Is(err, stall.Err):
		swarm.Stalled(p, now)
	case errors.Is(err, errSpoilt):
		swarm.Bad(p, now)
	case timedOut(err):
		swarm.Unreachable(p, now)
		i.log.Info("peer did not answer", "version", r.manifest.Version, "peer", p.Peer, "chunk", p.Chunk, "error", err.Error())
	default:
		swarm.Broken(p, now)
		i.log.Info("chunk not had", "version", r.manifest.Version, "peer", p.Peer, "chunk", p.Chunk, "error", err.Error())
	}
}

// timedOut reports whether a call failed because nothing came, rather than by
// an answer or a refusal of the connection.
func timedOut(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

func (i *Installer) count(r *replica, p transfer.Pull) {
	source := "peer"
	switch p.Kind {
	case transfer.FromOrigin:
		source = "origin"
		r.fromSrc++
	case transfer.FromFar:
		source = "far"
		r.fromFar++
	default:
		r.fromPeers++
	}
	i.metrics.Counter("mintlift_installer_chunks_total", "source", source).Inc()
}

// transfer asks the sender for a chunk; comes is called when a peer that may
// have waited for the chunk itself begins to send it.
func (i *Installer) transfer(ctx context.Context, r *replica, swarm *transfer.Swarm, p *transfer.Pull, has *bitset.BitSet, comes func()) (transfer.Knowledge, []byte, error) {
	i.mu.Lock()
	limit := swarm.StallLimit()
	address := r.addresses[p.Peer]
	i.mu.Unlock()
	if p.Kind == transfer.FromOrigin {
		data, err := i.origin.Chunk(ctx, r.manifest.Model, r.manifest.Version, p.Chunk)
		return transfer.Knowledge{}, data, err
	}
	first := limit
	if p.Kind == transfer.FromFar {
		first += chunkHold
	}
	offered := func(chunk int) bool {
		if p.Kind == transfer.FromFar {
			comes()
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		return swarm.Offered(p, chunk)
	}
	return i.client.pull(ctx, address, i.settings.Box, r.manifest, p.Chunk, has, first, limit, offered)
}

// take checks a chunk and keeps it.
func (i *Installer) take(r *replica, p transfer.Pull, data []byte) error {
	if !r.manifest.Fits(p.Chunk, data) {
		i.mu.Lock()
		r.bad++
		i.mu.Unlock()
		i.metrics.Counter("mintlift_installer_spoilt_total").Inc()
		return errSpoilt
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	r.chunks[p.Chunk] = data
	r.held.Set(uint(p.Chunk))
	close(r.arrived)
	r.arrived = make(chan struct{})
	if r.whole() {
		r.wholeAt = clock.Now()
	}
	return nil
}
