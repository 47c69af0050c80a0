// SPDX-License-Identifier: Apache-2.0

// Package transfer schedules the distribution of a version's chunks to the
// boxes of a plan, without a coordinator. Each box runs its own Swarm for the
// version and calls Next for the next Pull to carry out.
//
// The schedule is computed from the plan alone, so that all boxes agree on it
// without exchanging messages:
//
//   - For every chunk, the boxes of each region are ordered by rendezvous
//     hashing. The position of a box in that order is its rank for the chunk.
//   - The first fetch of a chunk is the one that brings it into a region. In a
//     region that reads from the origin, the box of rank 0 does it: it reads the
//     chunk from the origin at the chunk's scheduled time. If no box of the
//     region is known to hold the chunk r times TakeOverDelay later, the box of
//     rank r takes over. So normally the origin sends each chunk once, and one
//     box after the other replaces a failed reader.
//   - In any other region, the same order determines which box fetches the
//     chunk from a remote region, so that each region receives each chunk
//     once.
//   - A box pulls all other chunks from peers of its own region. It sends the
//     bitmap of the chunks that it holds or has in flight, and the peer selects
//     another chunk to send (see Picker). Each response includes the sender's
//     Availability.
//
// A sender that sends an invalid chunk or stalls is backed off exponentially. The
// package does no I/O and takes the time as a parameter.
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
	// Passive is set for a box that is about to leave. It does no first fetches,
	// unless the region has no other boxes. It still sends the chunks that it holds.
	Passive bool
}

// Params are the parameters of a transfer. Those that determine the schedule
// must be the same on all boxes of the plan.
type Params struct {
	Chunks int
	Peers  []Peer
	// OriginRegions are the regions whose boxes read from the origin. The other
	// regions fetch from these regions.
	OriginRegions []string
	// ChunkInterval is the time between the scheduled reads of successive chunks from
	// the origin: a chunk's size divided by the origin's rate.
	ChunkInterval time.Duration
	// TakeOverDelay is how much later than the box of the rank before it a box does
	// the first fetch of a chunk, if the region does not have the chunk by then.
	TakeOverDelay time.Duration
	// ExtraOrigin is the number of chunks that each box may read from the
	// origin in addition to the schedule, once the scheduled times of all
	// chunks have passed and no peer can be queried. It makes a transfer
	// shorter at the cost of more traffic from the origin.
	ExtraOrigin int
	// Downloads is the maximum number of pulls in flight; 0 stands for
	// DefaultDownloads.
	Downloads int
	// IdleTimeout is the time without a new chunk after which a transfer counts as
	// idle. A box then starts to fetch missing chunks again, whose holders may have
	// failed. 0 stands for DefaultIdleTimeout.
	IdleTimeout time.Duration
	// PauseTakeOver suspends take-over by ranks above 0 while the transfer is idle.
	// An idle transfer may mean that the origin or the remote region is down; without
	// the pause, all ranks would read at once when it recovers. It is for transfers
	// that take seconds. In longer ones a region may wait longer than IdleTimeout for
	// its first chunk without a fault.
	PauseTakeOver bool
}

// ExtraOrigin returns a value for Params.ExtraOrigin: the number of chunks that each
// of n boxes may read so that together they read the given number of extra copies of
// the version.
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
	// UploadSlots is the number of chunks that a box sends concurrently. It equals
	// DefaultDownloads, so that neither end of a link waits for the other.
	UploadSlots = 6
	// UploadQueueLength is the number of pulls that may wait for an upload slot.
	// Further pulls are refused, so that their boxes pull from other peers. One is
	// enough to keep the link busy.
	UploadQueueLength = 1
	// maxFirstFetches limits the chunks that a box has in flight from the origin or
	// from another region.
	maxFirstFetches = 2
)

// Kind is the kind of a pull, by its source.
type Kind int

// The kinds of a pull, of which None stands for no pull.
const (
	// None means that there is no pull to start until Wait has passed or a pull ends.
	None Kind = iota
	// FromOrigin reads Chunk from the origin.
	FromOrigin
	// FromPeer requests any chunk that this box lacks from Peer, a box of the same
	// region. Chunk is -1 until Offered sets it to the chunk that the peer selected.
	FromPeer
	// FromRemoteRegion requests Chunk from Peer, a box of another region.
	FromRemoteRegion
)

// Pull is a request for a chunk that a Swarm has decided on.
type Pull struct {
	Kind  Kind
	Chunk int
	Peer  string // the box to pull from; empty for None and FromOrigin
	// Wait is the time after which to call Next again, for None.
	Wait time.Duration
}

// Backoffs and timeouts.
const (
	// idleBackoffMin and idleBackoffMax bound the backoff of a peer that has
	// no useful chunk.
	idleBackoffMin = 20 * time.Millisecond
	idleBackoffMax = 640 * time.Millisecond
	// penaltyMin and penaltyMax bound the backoff of a peer after a failure.
	// stallPenalty is the first backoff of a peer that stalls or does not respond.
	penaltyMin   = 250 * time.Millisecond
	penaltyMax   = 2 * time.Minute
	stallPenalty = 2 * time.Second
	// stallFactor is multiplied by the smoothed duration of a chunk's transfer. The
	// product, limited to between stallTimeoutMin and stallTimeoutMax, is the time
	// without a received byte after which a pull counts as stalled.
	stallFactor     = 3
	stallTimeoutMin = 500 * time.Millisecond
	stallTimeoutMax = 10 * time.Second
	// senderDownShare is a divisor: if more than 1/senderDownShare of the chunks are
	// missing in the region of an idle transfer, the sender is presumed down. The
	// sender is the origin or the remote region. Failed boxes alone do not explain so
	// many, since each box does the first fetch of only a few chunks.
	senderDownShare = 4
	// originBackoff is the time after a failed read from the origin until the next.
	originBackoff = 250 * time.Millisecond
	// DefaultIdleTimeout is the default of Params.IdleTimeout. It suits transfers that
	// take minutes.
	DefaultIdleTimeout = 2 * time.Second
)

// peerState is the state of one peer.
type peerState struct {
	Peer
	pulling bool // a pull from the peer is in flight
	// retryAt is the duration from Swarm.start until the peer may be queried again.
	// idleBackoff is the current backoff after responses without a useful chunk, and
	// penalty the current backoff after failures. Both double each time; zero means
	// no backoff.
	retryAt     time.Duration
	idleBackoff time.Duration
	penalty     time.Duration
	held        *bitset.BitSet // chunks that the peer is known to hold
}

// Swarm schedules one box's pulls of the chunks of one version. It is not safe for
// concurrent use.
type Swarm struct {
	params Params
	self   Peer
	start  time.Time
	rng    *rand.Rand

	held         *bitset.BitSet // verified chunks of this box
	inFlight     *bitset.BitSet // chunks on their way to this box
	exists       *bitset.BitSet // chunks known to be held in this region
	peers        []*peerState   // peers of this region
	remote       []*peerState   // boxes of the origin regions; empty if this box is in one
	byBox        map[string]*peerState
	schedule     []scheduledFetch // first fetches that this box may have to do, by time
	unresponsive map[string]bool  // boxes reported by MarkUnresponsive
	scheduleDone int              // entries of schedule before this index are done
	firstFetches int              // pulls in flight from the origin or a remote region
	extraReads   int              // reads started so far within Params.ExtraOrigin
	pulls        int              // all pulls in flight
	lastArrival  time.Time
	// catchUpAt is the duration from start to the time by which the origin or the
	// remote region is expected, after an outage, to have sent the chunks that were
	// missing. With PauseTakeOver, take-over delays start at that time.
	catchUpAt time.Duration
	// originRetry is the time from which the origin may be queried again.
	originRetry time.Time
	// lastSenderFailure is the later of two times: of the last failed read from the
	// origin, and of the last response of a remote box that did not hold the chunk.
	lastSenderFailure time.Time
	// lastRefusal is when a box last had no useful chunk.
	lastRefusal time.Time
	// chunkTime is the smoothed duration of a chunk's transfer.
	chunkTime time.Duration
	// localStall is set while this box's own link seems to be stalled, because a pull
	// has stalled and no other chunk has arrived.
	localStall bool
}

// scheduledFetch is a chunk that this box fetches from outside the region at a
// scheduled time, unless a box before it in the chunk's order has done so by then. The
// order is that of the region's boxes by rendezvous hashing of the chunk.
type scheduledFetch struct {
	chunk int
	// ahead are the boxes before this one in the chunk's order. rank is the number of
	// boxes in ahead that are not known to be unresponsive.
	ahead []string
	rank  int
	// due is the scheduled time of the first box in the chunk's order, and at that of
	// this box. Both are durations since Swarm.start.
	due, at time.Duration
}

// NewSwarm returns the swarm of box self. held are the chunks that the box holds
// already, o is NewOrder(p), and start is the time from which the schedule counts.
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

// addPeers adds the boxes that this box may pull from: the peers of its region
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

// InheritTiming copies the start time, the backoff of the origin and other timing
// state of an earlier swarm for the same version, so that its schedule and delays continue.
func (s *Swarm) InheritTiming(earlier *Swarm) {
	s.start = earlier.start
	s.lastArrival = earlier.lastArrival
	s.catchUpAt = earlier.catchUpAt
	s.originRetry = earlier.originRetry
	s.lastSenderFailure = earlier.lastSenderFailure
	s.lastRefusal = earlier.lastRefusal
	s.chunkTime = earlier.chunkTime
}

// Continue makes s, which has started no pull yet, the continuation of an earlier swarm
// for the same version. In addition to the timing state, s takes over the pulls in
// flight, whose ends the caller reports to s, and what the peers that are still listed
// are known to hold.
func (s *Swarm) Continue(earlier *Swarm) {
	s.InheritTiming(earlier)
	s.inFlight = earlier.inFlight.Clone()
	s.pulls, s.firstFetches, s.extraReads = earlier.pulls, earlier.firstFetches, earlier.extraReads
	for box, ps := range s.byBox {
		if before := earlier.byBox[box]; before != nil {
			ps.pulling = before.pulling
			s.mergeAvailability(ps, Availability{Held: before.held})
		}
	}
}

// buildSchedule computes the schedule of the missing chunks that this box may have to
// fetch into its region: those for which it is among the first maxRanks boxes.
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

// MarkUnresponsive records that a box of this box's region did not respond to a query.
// The boxes after it in the order of a chunk then do not wait for it before they fetch
// the chunk into the region. It is backed off like a peer that stalls.
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

// LastArrival returns when the last chunk arrived, or the start of the transfer.
func (s *Swarm) LastArrival() time.Time { return s.lastArrival }

// LastSenderFailure returns the later of two times: of the last failed read from the
// origin, and of the last response of a remote box that did not hold the chunk. It is
// zero if there was none.
func (s *Swarm) LastSenderFailure() time.Time { return s.lastSenderFailure }

// Idle reports whether no chunk has arrived for Params.IdleTimeout, although boxes were
// queried: at least one had no useful chunk since.
func (s *Swarm) Idle(now time.Time) bool {
	return now.Sub(s.lastArrival) > s.params.IdleTimeout && s.lastRefusal.After(s.lastArrival)
}

// Held returns a copy of the bitmap of verified chunks.
func (s *Swarm) Held() *bitset.BitSet { return s.held.Clone() }

// Availability describes which chunks of a version the sender of a response to a pull
// holds, and which its region holds. A nil bitmap stands for unknown.
type Availability struct {
	// Held are the chunks that the sender holds.
	Held *bitset.BitSet
	// Exists are the chunks that, as far as the sender knows, are held by some box of
	// its region. A box adds the chunks of a peer's bitmap to its own, so that no box
	// does the first fetch of a chunk that the region has already.
	Exists *bitset.BitSet
}

// Availability returns the chunks that this box and its region hold, for the response
// to a pull.
func (s *Swarm) Availability() Availability {
	return Availability{Held: s.held.Clone(), Exists: s.exists.Clone()}
}

// Next returns the next pull to carry out. The caller must report its end by
// one of Arrived, NoUsefulChunk, Busy, InvalidChunk, ConnectionFailed,
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

// readExtraChunk starts the read of a random missing chunk from the origin in addition
// to the schedule. It returns false if the scheduled times of all chunks have not
// passed yet or Params.ExtraOrigin is used up.
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

// pullLimit returns the maximum number of pulls in flight. It is 1, for a probe, while
// the box's own link seems to be stalled.
func (s *Swarm) pullLimit() int {
	if s.localStall {
		return 1
	}
	return s.params.Downloads
}

// nextScheduled starts the earliest first fetch in the schedule whose time has passed,
// if no box of the region is known to hold the chunk. It returns false if there is
// none or it must not be started now.
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

// Parameters of the read window. It limits first fetches, which bring a chunk into a
// region, while the origin is behind schedule, such as after an outage: a box reads a
// chunk only if fewer earlier chunks than the window's size are missing in its region.
const (
	// behindThreshold is the delay behind schedule from which the read window applies
	// to a first fetch.
	behindThreshold = 500 * time.Millisecond
	// propagationTime is the estimated delay until the boxes of a region have received
	// the information that one of them holds a new chunk. The size of the window is
	// the number of chunks that the origin sends in that time, plus windowSlack.
	propagationTime = 400 * time.Millisecond
	// windowSlack is a number of chunks. It keeps the origin's link busy.
	windowSlack = 4
)

// outsideReadWindow reports whether to defer f because too many earlier chunks are
// still missing in the region.
// After an outage of the origin all first fetches are overdue. If all chunks were read
// at once, all would be complete late, with no time left to distribute them.
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

// takeOverPaused reports whether boxes are kept from fetching chunks in place of the
// boxes responsible for them (take-over), because the transfer is
// idle, which may mean that the origin or the remote region is down.
func (s *Swarm) takeOverPaused(now time.Time) bool {
	return s.params.PauseTakeOver && now.Sub(s.lastArrival) > s.params.IdleTimeout
}

// missingInRegion returns the number of chunks that no box of the region is
// known to hold.
func (s *Swarm) missingInRegion() int {
	return s.params.Chunks - int(s.held.UnionCardinality(s.exists))
}

// NextFirstFetch is like Next, but returns only scheduled first fetches: pulls that
// bring a chunk into the region. It is for a box that must not start other pulls.
func (s *Swarm) NextFirstFetch(now time.Time) Pull {
	if s.Done() || s.pulls >= s.pullLimit() {
		return Pull{Wait: idleBackoffMin}
	}
	if p, ok := s.nextScheduled(now); ok {
		return p
	}
	return Pull{Wait: idleBackoffMin}
}

// NextFromBoxes is like Next, but returns only pulls from other boxes. It is for a
// version that must not be read from the origin yet.
func (s *Swarm) NextFromBoxes(now time.Time) Pull {
	if s.Done() || s.pulls >= s.pullLimit() {
		return Pull{Wait: idleBackoffMin}
	}
	if !s.readsOrigin() {
		if p, ok := s.nextScheduled(now); ok {
			return p
		}
	}
	if p, ok := s.pullFromPeer(now.Sub(s.start)); ok {
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

// remoteHolder returns the remote box to request chunk from, or nil if there is none.
// It prefers boxes that are known to hold the chunk. Among equals it returns the first
// in the chunk's rendezvous order, which does the first fetch in its region. It skips
// boxes that are backed off or being pulled from.
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

// startPull marks chunk as in flight and counts the pull.
func (s *Swarm) startPull(chunk int) {
	s.inFlight.Set(uint(chunk))
	s.pulls++
}

// pullFromPeer starts a pull from a peer of the same region. Of two random peers it
// selects the one that is known to hold more chunks that this box lacks.
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

// randomPeer returns a random peer of the same region that is neither backed off nor
// being pulled from. It returns nil if there is none.
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

// recoverLostChunk starts the fetch of a chunk that this box lacks although its
// scheduled time has passed, such as one whose holders have failed. The transfer must
// have been idle for IdleTimeout plus r times TakeOverDelay, where r is the rank of
// this box for the chunk among the responsive peers.
//
// With PauseTakeOver, the idle time starts again with each failure of the sender,
// which is the origin or the remote region. Otherwise all boxes would read the missing
// chunks at once after an outage. If more than 1/senderDownShare of the chunks are
// missing in the region, the rank for these is increased by maxRanks, so that the
// boxes that have them in their schedule fetch them first.
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

// responsivePeers returns the peers of the same region that have no penalty: their
// last pull did not fail.
func (s *Swarm) responsivePeers() []*peerState {
	var out []*peerState
	for _, ps := range s.peers {
		if ps.penalty == 0 {
			out = append(out, ps)
		}
	}
	return out
}

// TakeOverDelay returns a value of Params.TakeOverDelay, the delay until the next box
// fetches a chunk in place of a failed one, for a transfer that takes at least minTime.
func TakeOverDelay(minTime time.Duration) time.Duration {
	return max(minTime/20, 2*time.Second)
}
