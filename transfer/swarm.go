// SPDX-License-Identifier: Apache-2.0

// Package transfer schedules the distribution of a version's chunks to the
// boxes of a plan, without a coordinator. Each box runs its own Swarm for the
// version and calls Next for the next Pull to carry out.
//
// The schedule is computed from the plan alone, so that all boxes agree on it
// without exchanging messages:
//
//   - Every chunk has a rendezvous order over the plan's boxes in each region.
//     In a region that reads from the origin, the box of rank 0 reads the
//     chunk from the origin at the chunk's scheduled time: its first fetch. A
//     box of rank r takes over only after r times TakeOverDelay, and only if
//     no box of the region is known to hold the chunk. So the origin sends one
//     copy, and a failed reader is replaced by one box, not by all.
//   - In any other region, the same order determines which box fetches the
//     chunk from a remote region, so that each region receives each chunk
//     once.
//   - All other chunks come from peers of the own region. The box that pulls
//     sends the bitmap of the chunks that it holds or has in flight; the peer
//     selects the chunk (see Picker), because it has counted which it has sent
//     least. Each response carries the sender's Availability, so that this needs
//     no messages of its own.
//
// A sender whose chunk fails its digest, or that stalls, is backed off
// exponentially. The package does no I/O and takes the time as a parameter.
package transfer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/cespare/xxhash/v2"
)

// Peer is a box of the plan.
type Peer struct {
	Box    string
	Region string
	// Zone is the availability zone.
	Zone string
	// Passive boxes are about to leave and do no first fetches, unless the
	// region has no other boxes. They still serve the chunks that they hold.
	Passive bool
}

// Params are the parameters of a transfer. Those that determine the schedule
// must be the same on all boxes of the plan.
type Params struct {
	Chunks int
	Peers  []Peer
	// OriginRegions read from the origin; the other regions fetch from them.
	OriginRegions []string
	// ChunkInterval is the time between the scheduled reads of successive
	// chunks from the origin: a chunk's size over the origin's rate.
	ChunkInterval time.Duration
	// TakeOverDelay is the additional delay of each further rank before it
	// does the first fetch of a chunk in place of the rank before it.
	TakeOverDelay time.Duration
	// ExtraOrigin is the number of chunks that each box may read from the
	// origin in addition to the schedule, once the scheduled times of all
	// chunks have passed and no peer can be queried. It trades origin bytes for
	// time.
	ExtraOrigin int
	// Downloads is the maximum number of pulls in flight; 0 stands for
	// DefaultDownloads.
	Downloads int
	// IdleTimeout is the time without a new chunk after which a transfer
	// counts as idle and a box recovers chunks whose holders have failed; 0
	// stands for DefaultIdleTimeout.
	IdleTimeout time.Duration
	// PauseTakeOver suspends the take-over delays of ranks after the first
	// while the transfer is idle, so that not all ranks read at once when a
	// failed sender recovers. It is for transfers that take seconds; in one of
	// minutes a remote region waits long for its first chunk without a fault.
	PauseTakeOver bool
}

// ExtraOrigin returns the number of chunks that each of n boxes may read so
// that together they read the given number of extra copies of the version.
func ExtraOrigin(chunks, n int, copies float64) int {
	if n == 0 {
		return 0
	}
	return int(copies * float64(chunks) / float64(n))
}

// Concurrency limits of a box.
const (
	// DefaultDownloads is the default of Params.Downloads.
	DefaultDownloads = 6
	// UploadSlots is the number of chunks that a box sends concurrently. It
	// equals DefaultDownloads, so that neither end of a link waits for the
	// other.
	UploadSlots = 6
	// UploadQueueLength is the number of pulls that may wait for an upload
	// slot: one keeps the link busy, more would hold up boxes that could pull
	// from other peers.
	UploadQueueLength = 1
	// maxFirstFetches limits the first fetches, and other reads from the
	// origin, that a box has in flight.
	maxFirstFetches = 2
)

// Kind is the kind of source of a pull.
type Kind int

// The kinds of a pull.
const (
	// None is no pull: nothing to do until Wait has passed or a pull ends.
	None Kind = iota
	// FromOrigin reads Chunk from the origin.
	FromOrigin
	// FromPeer requests from Peer, in the own region, any chunk that this box
	// lacks; Chunk is -1 until Offered.
	FromPeer
	// FromRemoteRegion requests Chunk from Peer, in another region.
	FromRemoteRegion
)

// Pull is a request for a chunk that a Swarm has decided on.
type Pull struct {
	Kind  Kind
	Chunk int
	Peer  string
	// Wait is the time after which to call Next again, for None.
	Wait time.Duration
}

// Backoffs and timeouts.
const (
	// idleBackoffMin and idleBackoffMax bound the backoff of a peer that has
	// no useful chunk.
	idleBackoffMin = 20 * time.Millisecond
	idleBackoffMax = 640 * time.Millisecond
	// penaltyMin and penaltyMax bound the backoff of a peer that failed;
	// stallPenalty is the first backoff of one that stalls or does not respond.
	penaltyMin   = 250 * time.Millisecond
	penaltyMax   = 2 * time.Minute
	stallPenalty = 2 * time.Second
	// stallFactor times the smoothed chunk time is the timeout of a pull that
	// receives no byte, within stallTimeoutMin and stallTimeoutMax.
	stallFactor     = 3
	stallTimeoutMin = 500 * time.Millisecond
	stallTimeoutMax = 10 * time.Second
	// senderDownShare is the fraction 1/senderDownShare of the chunks. If more
	// than that are missing in the region, the sender is presumed down: failed
	// peers do not explain it, as each is responsible for two or three
	// of 64 chunks.
	senderDownShare = 4
	// originBackoff is the backoff of the origin after a failure.
	originBackoff = 250 * time.Millisecond
	// DefaultIdleTimeout is the default of Params.IdleTimeout, for transfers
	// that take minutes.
	DefaultIdleTimeout = 2 * time.Second
)

// peerState is the state of one peer.
type peerState struct {
	Peer
	pulling bool // a pull from the peer is in flight
	// retryAt is the time since Swarm.start from which the peer may be queried
	// again. idleBackoff is the backoff after a response without a useful
	// chunk, penalty that after a failure; both double, and zero is none.
	retryAt     time.Duration
	idleBackoff time.Duration
	penalty     time.Duration
	held        *bitset.BitSet // chunks that the peer is known to hold
}

// Swarm is one box's view of one version's transfer. It is not safe for
// concurrent use.
type Swarm struct {
	params Params
	self   Peer
	start  time.Time
	rng    *rand.Rand

	held         *bitset.BitSet // verified chunks of this box
	inFlight     *bitset.BitSet // chunks on their way to this box
	exists       *bitset.BitSet // chunks known to be held in the own region
	peers        []*peerState   // peers of the own region
	remote       []*peerState   // boxes of the origin regions, if this region is none of them
	byBox        map[string]*peerState
	schedule     []scheduledFetch // first fetches that this box may have to do
	unresponsive map[string]bool  // boxes reported by MarkUnresponsive
	scheduleDone int              // entries of schedule before this index are done
	firstFetches int              // pulls in flight from the origin or a remote region
	extraReads   int              // reads counted against Params.ExtraOrigin
	pulls        int              // all pulls in flight
	lastArrival  time.Time
	// catchUpAt is the time since start by which a sender that recovered from
	// an outage is expected to have sent the chunks that were missing. With
	// PauseTakeOver, take-over delays count from then on.
	catchUpAt time.Duration
	// originRetry is the time from which the origin may be queried again.
	originRetry time.Time
	// lastSenderFailure is the time of the last failed read from the origin or
	// of the last response of a remote box that did not hold the chunk.
	lastSenderFailure time.Time
	// chunkTime is the smoothed duration of a chunk's transfer.
	chunkTime time.Duration
	// localStall is true while this box's own link seems to stall.
	localStall bool
}

// scheduledFetch is the first fetch of a chunk for which this box has one of
// the first ranks.
type scheduledFetch struct {
	chunk int
	// ahead are the boxes of lower rank in the chunk's order, and rank is the
	// number of those that are not known to be unresponsive.
	ahead []string
	rank  int
	// due is when the box of rank 0 fetches the chunk, and at is when this box
	// does, both as the time since Swarm.start.
	due, at time.Duration
}

// NewSwarm returns the swarm of box self. held are the chunks that it has
// already, o is the order of p, and start is the time at which the box saw the
// plan confirmed.
func NewSwarm(p Params, o *Order, self string, held *bitset.BitSet, start time.Time) *Swarm {
	if p.Downloads <= 0 {
		p.Downloads = DefaultDownloads
	}
	if p.IdleTimeout <= 0 {
		p.IdleTimeout = DefaultIdleTimeout
	}
	s := &Swarm{
		params:       p,
		start:        start,
		rng:          rand.New(rand.NewPCG(xxhash.Sum64String(self), uint64(p.Chunks))),
		held:         held.Clone(),
		inFlight:     bitset.New(uint(p.Chunks)),
		exists:       bitset.New(uint(p.Chunks)),
		byBox:        make(map[string]*peerState),
		unresponsive: make(map[string]bool),
		lastArrival:  start,
	}
	for _, peer := range p.Peers {
		if peer.Box == self {
			s.self = peer
		}
	}
	s.addPeers()
	s.buildSchedule(o)
	return s
}

// addPeers adds the boxes that this one may pull from: the peers of its region
// and, if it does not read from the origin, the boxes of the origin regions.
func (s *Swarm) addPeers() {
	fetchesRemotely := !s.readsOrigin()
	for _, peer := range s.params.Peers {
		if peer.Box == s.self.Box {
			continue
		}
		ps := &peerState{Peer: peer, held: bitset.New(uint(s.params.Chunks))}
		switch {
		case peer.Region == s.self.Region:
			s.peers = append(s.peers, ps)
		case fetchesRemotely && slices.Contains(s.params.OriginRegions, peer.Region):
			s.remote = append(s.remote, ps)
		default:
			continue
		}
		s.byBox[peer.Box] = ps
	}
}

// readsOrigin reports whether this box's region reads from the origin.
func (s *Swarm) readsOrigin() bool {
	return slices.Contains(s.params.OriginRegions, s.self.Region)
}

// InheritTiming copies the start time and the timing state of an earlier swarm
// of the same copy, so that the schedule and delays that have begun continue.
func (s *Swarm) InheritTiming(earlier *Swarm) {
	s.start = earlier.start
	s.lastArrival = earlier.lastArrival
	s.catchUpAt = earlier.catchUpAt
	s.originRetry = earlier.originRetry
	s.lastSenderFailure = earlier.lastSenderFailure
	s.chunkTime = earlier.chunkTime
}

// buildSchedule computes the first fetches of the chunks for which this box has
// one of the first ranks in its region.
func (s *Swarm) buildSchedule(o *Order) {
	for c, ranked := range o.ranking[s.self.Region] {
		rank := slices.Index(ranked, s.self.Box)
		if rank < 0 || s.held.Test(uint(c)) {
			continue
		}
		due := time.Duration(c) * s.params.ChunkInterval
		if !s.readsOrigin() {
			due += s.params.ChunkInterval
		}
		s.schedule = append(s.schedule, scheduledFetch{chunk: c, ahead: ranked[:rank], due: due})
	}
	s.sortSchedule()
}

// sortSchedule recomputes the ranks and times of the schedule, which depend on
// the unresponsive boxes, and sorts it by time.
func (s *Swarm) sortSchedule() {
	for i := range s.schedule {
		f := &s.schedule[i]
		f.rank = 0
		for _, box := range f.ahead {
			if !s.unresponsive[box] {
				f.rank++
			}
		}
		f.at = f.due + time.Duration(f.rank)*s.params.TakeOverDelay
	}
	slices.SortFunc(s.schedule, func(a, b scheduledFetch) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.chunk, b.chunk))
	})
	s.scheduleDone = 0
}

// MarkUnresponsive records that a box of the own region did not respond to a query:
// its first fetches are taken over without delay, and it is backed off like a
// peer that stalls.
func (s *Swarm) MarkUnresponsive(box string, now time.Time) {
	if s.unresponsive[box] {
		return
	}
	s.unresponsive[box] = true
	if ps := s.byBox[box]; ps != nil {
		ps.penalty = max(ps.penalty, stallPenalty)
		ps.retryAt = max(ps.retryAt, now.Sub(s.start)+ps.penalty)
	}
	s.sortSchedule()
}

// Done reports whether every chunk is held.
func (s *Swarm) Done() bool { return int(s.held.Count()) == s.params.Chunks }

// HeldOrInFlight returns the bitmap that is sent with a pull: the chunks that
// this box holds or has in flight and so does not need.
func (s *Swarm) HeldOrInFlight() *bitset.BitSet { return s.held.Union(s.inFlight) }

// AvailableChunks returns the number of chunks that this box or a peer is known
// to hold.
func (s *Swarm) AvailableChunks() int {
	all := s.held.Union(s.exists)
	for _, ps := range s.byBox {
		all.InPlaceUnion(ps.held)
	}
	return int(all.Count())
}

// Held returns a copy of the bitmap of verified chunks.
func (s *Swarm) Held() *bitset.BitSet { return s.held.Clone() }

// Availability is sent with each response to a pull. A nil bitmap stands for
// unknown.
type Availability struct {
	// Held are the chunks that the sender holds.
	Held *bitset.BitSet
	// Exists are the chunks that, as far as the sender knows, are held by some
	// box of its region. Boxes propagate it, so that one of a later rank does
	// not fetch a chunk that its region has already.
	Exists *bitset.BitSet
}

// Availability returns the availability to send with a response.
func (s *Swarm) Availability() Availability {
	return Availability{Held: s.held.Clone(), Exists: s.exists.Clone()}
}

// Next returns the next pull to carry out. The caller must report its end by
// one of Arrived, NothingUseful, Busy, InvalidChunk, ConnectionFailed,
// Unresponsive, Stalled and Drop, unless its kind is None.
func (s *Swarm) Next(now time.Time) Pull {
	if s.Done() || s.pulls >= s.pullLimit() {
		return Pull{Wait: idleBackoffMin}
	}
	since := now.Sub(s.start)
	if p, ok := s.nextScheduled(now); ok {
		return p
	}
	if p, ok := s.pullFromPeer(since); ok {
		return p
	}
	if p, ok := s.readExtraChunk(since); ok {
		return p
	}
	if p, ok := s.recoverLostChunk(now); ok {
		return p
	}
	return Pull{Wait: idleBackoffMin}
}

// readExtraChunk returns a read of a random missing chunk from the origin,
// within Params.ExtraOrigin, once the whole schedule has passed.
func (s *Swarm) readExtraChunk(since time.Duration) (Pull, bool) {
	passed := since > time.Duration(s.params.Chunks)*s.params.ChunkInterval
	if !passed || s.extraReads >= s.params.ExtraOrigin || s.firstFetches >= maxFirstFetches {
		return Pull{}, false
	}
	missing := s.HeldOrInFlight().Complement()
	n := missing.Count()
	if n == 0 {
		return Pull{}, false
	}
	chunk := missing.Select(uint(s.rng.IntN(int(n))))
	s.extraReads++
	s.startPull(int(chunk))
	s.firstFetches++
	return Pull{Kind: FromOrigin, Chunk: int(chunk)}, true
}

// pullLimit returns the maximum number of pulls in flight: one, as a probe,
// while the box's own link seems to stall.
func (s *Swarm) pullLimit() int {
	if s.localStall {
		return 1
	}
	return s.params.Downloads
}

// nextScheduled returns the first fetch of a scheduled chunk that is due and
// that no box of the region is known to hold.
func (s *Swarm) nextScheduled(now time.Time) (Pull, bool) {
	if s.firstFetches >= maxFirstFetches || s.readsOrigin() && now.Before(s.originRetry) {
		return Pull{}, false
	}
	since := now.Sub(s.start)
	paused := s.takeOverPaused(now)
	for i := s.scheduleDone; i < len(s.schedule); i++ {
		f := s.schedule[i]
		if f.at > since {
			return Pull{}, false
		}
		if f.rank > 0 && (paused || s.catchUpAt+time.Duration(f.rank)*s.params.TakeOverDelay > since) {
			continue
		}
		c := uint(f.chunk)
		if s.held.Test(c) || s.exists.Test(c) {
			if i == s.scheduleDone {
				s.scheduleDone++
			}
			continue
		}
		if s.inFlight.Test(c) || s.outsideReadWindow(f, since) {
			continue
		}
		return s.startFirstFetch(f.chunk, since)
	}
	return Pull{}, false
}

// Window of the reads from an origin that is behind schedule.
const (
	// behindThreshold is the lateness of a first fetch from which the origin
	// counts as behind schedule.
	behindThreshold = 500 * time.Millisecond
	// propagationTime is the time until the boxes of a region know that one of
	// them holds a new chunk. The window is the number of chunks that the
	// origin sends in that time plus windowSlack, which keeps its link busy.
	propagationTime = 400 * time.Millisecond
	windowSlack     = 4
)

// outsideReadWindow reports whether to defer f because a whole window of
// earlier chunks is still missing in the region. After an outage of the origin
// all first fetches are overdue; reading all of them concurrently would complete
// them all late, with no time left to distribute the chunks.
func (s *Swarm) outsideReadWindow(f scheduledFetch, since time.Duration) bool {
	if !s.params.PauseTakeOver || !s.readsOrigin() || since-f.due < behindThreshold {
		return false
	}
	window := windowSlack
	if s.params.ChunkInterval > 0 {
		window += int(propagationTime / s.params.ChunkInterval)
	}
	missingBefore := 0
	for c := range uint(f.chunk) {
		if !s.held.Test(c) && !s.exists.Test(c) {
			missingBefore++
		}
	}
	return missingBefore >= window
}

// takeOverPaused reports whether take-over by later ranks is suspended because
// the transfer is idle: the sender is presumed down.
func (s *Swarm) takeOverPaused(now time.Time) bool {
	return s.params.PauseTakeOver && now.Sub(s.lastArrival) > s.params.IdleTimeout
}

// missingInRegion returns the number of chunks that no box of the region is
// known to hold.
func (s *Swarm) missingInRegion() int {
	return s.params.Chunks - int(s.held.UnionCardinality(s.exists))
}

// NextFirstFetch is like Next but returns scheduled first fetches only, so that
// a box that makes no other pulls still reads its chunks from the origin.
func (s *Swarm) NextFirstFetch(now time.Time) Pull {
	if s.Done() || s.pulls >= s.pullLimit() {
		return Pull{Wait: idleBackoffMin}
	}
	if p, ok := s.nextScheduled(now); ok {
		return p
	}
	return Pull{Wait: idleBackoffMin}
}

// startFirstFetch starts the fetch of a chunk that is new to the region, from
// the origin or a remote box. It returns false if no remote box can be queried.
func (s *Swarm) startFirstFetch(chunk int, since time.Duration) (Pull, bool) {
	if s.readsOrigin() {
		s.startPull(chunk)
		s.firstFetches++
		return Pull{Kind: FromOrigin, Chunk: chunk}, true
	}
	ps := s.remoteHolder(chunk, since)
	if ps == nil {
		return Pull{}, false
	}
	s.startPull(chunk)
	s.firstFetches++
	ps.pulling = true
	return Pull{Kind: FromRemoteRegion, Chunk: chunk, Peer: ps.Box}, true
}

// remoteHolder returns the remote box to request chunk from, or nil: of those that
// are not backed off, one that is known to hold the chunk, and otherwise the
// first in the remote region's own order, which fetches it first there.
func (s *Swarm) remoteHolder(chunk int, since time.Duration) *peerState {
	var best *peerState
	var bestWeight uint64
	for _, ps := range s.remote {
		if ps.retryAt > since || ps.pulling {
			continue
		}
		w := weight(chunk, ps.Box)
		if ps.held.Test(uint(chunk)) {
			w |= 1 << 63
		} else {
			w >>= 1
		}
		if best == nil || w > bestWeight {
			best, bestWeight = ps, w
		}
	}
	return best
}

// startPull accounts for a pull of chunk.
func (s *Swarm) startPull(chunk int) {
	s.inFlight.Set(uint(chunk))
	s.pulls++
}

// pullFromPeer starts a pull from a peer of the own region: of two random ones
// that which is known to hold more of the chunks that this box lacks.
func (s *Swarm) pullFromPeer(since time.Duration) (Pull, bool) {
	chosen := s.randomPeer(since)
	if chosen == nil {
		return Pull{}, false
	}
	other := s.randomPeer(since)
	if other != nil && s.usefulChunks(other) > s.usefulChunks(chosen) {
		chosen = other
	}
	chosen.pulling = true
	s.pulls++
	return Pull{Kind: FromPeer, Chunk: -1, Peer: chosen.Box}, true
}

// randomPeer returns a random peer of the own region that is neither backed off
// nor being pulled from, or nil.
func (s *Swarm) randomPeer(since time.Duration) *peerState {
	n := len(s.peers)
	if n == 0 {
		return nil
	}
	at := s.rng.IntN(n)
	for i := range n {
		ps := s.peers[(at+i)%n]
		if !ps.pulling && ps.retryAt <= since {
			return ps
		}
	}
	return nil
}

// usefulChunks returns the number of chunks that ps is known to hold and this
// box lacks.
func (s *Swarm) usefulChunks(ps *peerState) uint { return ps.held.DifferenceCardinality(s.held) }

// recoverLostChunk starts the fetch of a chunk that is not available although
// its scheduled time has passed, such as one whose holders have failed. It does
// so after IdleTimeout, plus one TakeOverDelay for each rank of this box in the
// chunk's order among the responsive peers.
//
// With PauseTakeOver, the time until the last failure of the sender does not
// count; otherwise all boxes would read the missing chunks at once after an
// outage. And if more than 1/senderDownShare of the chunks are missing in the
// region, those are left to the boxes that have them in their schedule first.
func (s *Swarm) recoverLostChunk(now time.Time) (Pull, bool) {
	idle := now.Sub(s.lastArrival)
	if s.params.PauseTakeOver && s.lastSenderFailure.After(s.lastArrival) {
		idle = now.Sub(s.lastSenderFailure)
	}
	if s.readsOrigin() && now.Before(s.originRetry) {
		return Pull{}, false
	}
	if idle < s.params.IdleTimeout || s.firstFetches >= maxFirstFetches {
		return Pull{}, false
	}
	since := now.Sub(s.start)
	responsivePeers := s.responsivePeers()
	senderDown := s.params.PauseTakeOver && s.missingInRegion() > s.params.Chunks/senderDownShare
	for c, ok := s.held.NextClear(0); ok && int(c) < s.params.Chunks; c, ok = s.held.NextClear(c + 1) {
		if s.inFlight.Test(c) || time.Duration(c)*s.params.ChunkInterval > since {
			continue
		}
		rank := rankAmong(int(c), s.self.Box, responsivePeers)
		if senderDown && !s.exists.Test(c) {
			rank += maxRanks // after all boxes that have it in their schedule
		}
		if idle >= s.params.IdleTimeout+time.Duration(rank)*s.params.TakeOverDelay {
			return s.startFirstFetch(int(c), since)
		}
	}
	return Pull{}, false
}

// responsivePeers returns the peers of the own region whose last pull did not
// fail.
func (s *Swarm) responsivePeers() []*peerState {
	var out []*peerState
	for _, ps := range s.peers {
		if ps.penalty == 0 {
			out = append(out, ps)
		}
	}
	return out
}

// TakeOverDelay returns Params.TakeOverDelay for a transfer that takes at least
// minTime.
func TakeOverDelay(minTime time.Duration) time.Duration {
	return max(minTime/20, 2*time.Second)
}
