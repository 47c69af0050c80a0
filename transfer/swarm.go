// SPDX-License-Identifier: Apache-2.0

// Package transfer decides who sends which chunk to whom, without a
// coordinator. Each box of a plan runs its own Swarm for the version and
// asks it what to do next; the answer is a Pull.
//
// The rules, all computed from the plan alone, so that boxes agree on them
// without talking:
//
//   - Every chunk has a rendezvous order over the plan's boxes in each
//     region. In a region that reads from the origin, the box of rank 0
//     reads the chunk from the origin, in the chunk's turn; a box of rank r
//     takes over only after r further waits without a sign that anyone holds
//     the chunk. So one copy leaves the origin, and a reader's death wakes
//     one successor, not all of them.
//   - In any other region, the same order says who fetches the chunk across
//     the border, so that crossing is paid once a region.
//   - Everything else comes from peers of the own region. The box that pulls
//     sends the bitmap of what it holds and of what is on its way; the box
//     that is asked picks the chunk (package transfer's Uploads), because it
//     knows what it has passed on least. Each answer carries the sender's
//     bitmap, so knowledge costs no messages of its own.
//
// A sender whose chunk fails its digest, or that stalls, is left alone for
// a while that doubles. The package does no I/O and takes time as a value.
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
	// Zone is the availability zone, for the preference of near peers.
	Zone string
	// Passive boxes fetch no chunk first for others: they are about to leave.
	// They still pass on what they hold.
	Passive bool
}

// Params are what all boxes of a plan know alike.
type Params struct {
	Chunks int
	Peers  []Peer
	// OriginRegions read from the origin; the others cross from them.
	OriginRegions []string
	// ChunkTurn is the time between two chunks' turns at the origin: a
	// chunk's size over the origin's rate.
	ChunkTurn time.Duration
	// TakeOver is how long each further rank waits before it reads a chunk
	// from the origin, or across a border, in the place of a silent one.
	TakeOver time.Duration
	// ExtraOrigin is how many chunks beyond the rules each box may read from
	// the origin once every chunk's turn has passed, when no peer has
	// anything for it. It trades origin bytes for time.
	ExtraOrigin int
	// Downloads bounds the pulls under way at once.
	Downloads int
	// Quiet is how long nothing new must have come before a transfer counts
	// as stalled and a box looks for chunks that have been lost; 0 stands for DefaultQuiet.
	Quiet time.Duration
	// Patient lets the waits of ranks behind the first stand still while
	// nothing comes, so that not all ranks read at once when a sender is back.
	// It suits plans that last for seconds; in one that lasts for minutes a
	// far region's first wait is long without a fault.
	Patient bool
}

// ExtraOrigin is the share of each of n boxes in extra copies, in chunks.
func ExtraOrigin(chunks, n int, copies float64) int {
	if n == 0 {
		return 0
	}
	return int(copies * float64(chunks) / float64(n))
}

// Defaults for Params.
const (
	DefaultDownloads = 6
	// UploadSlots is how many chunks a box sends at once; it equals
	// DefaultDownloads, so that neither end of a link waits for the other.
	UploadSlots = 6
	// UploadWaiting is how many pulls may wait for a slot: one keeps the
	// link busy, more would tie up the pulls of boxes that could ask
	// elsewhere.
	UploadWaiting = 1
	// originSlots bounds one box's reads from the origin at once.
	originSlots = 2
)

// Kind says where a pull goes.
type Kind int

// The kinds of a pull.
const (
	// None: nothing to do until Wait has passed or something arrives.
	None Kind = iota
	// FromOrigin: read Chunk from the origin.
	FromOrigin
	// FromPeer: ask Peer for any chunk that helps; Chunk is -1 until Offered.
	FromPeer
	// FromFar: ask Peer, in another region, for Chunk.
	FromFar
)

// Pull is a decision of a Swarm.
type Pull struct {
	Kind  Kind
	Chunk int
	Peer  string
	// Wait is how long to wait before asking again, for None.
	Wait time.Duration
}

// Timing of what a Swarm does about peers.
const (
	// idleRetry is how soon a peer without anything useful is asked again.
	idleRetry    = 20 * time.Millisecond
	idleRetryMax = 640 * time.Millisecond
	// penaltyMin and penaltyMax bound how long a bad peer is left alone;
	// one that stalls is left alone for stallPenalty at first.
	penaltyMin   = 250 * time.Millisecond
	penaltyMax   = 2 * time.Minute
	stallPenalty = 2 * time.Second
	// a pull without a byte for stallFactor chunk times has stalled.
	stallFactor = 3
	stallMin    = 500 * time.Millisecond
	stallMax    = 10 * time.Second
	// awayShare: more than one in so many chunks that nobody has seen are not
	// explained by dead boxes, each of which reads two or three of 64 first.
	awayShare = 4
	// originPause is how long the origin is left alone after a failure.
	originPause = 250 * time.Millisecond
	// DefaultQuiet is the Quiet of plans that last for minutes.
	DefaultQuiet = 2 * time.Second
)

type peerState struct {
	Peer
	pulling bool
	// retry is when the peer may be asked again; idle and penalty double.
	retry   time.Duration
	idle    time.Duration
	penalty time.Duration
	held    *bitset.BitSet
}

// Swarm is one box's view of one version's transfer. It is not safe for
// concurrent use.
type Swarm struct {
	params Params
	self   Peer
	start  time.Time
	rng    *rand.Rand

	held    *bitset.BitSet // verified here
	flying  *bitset.BitSet // on its way here
	exists  *bitset.BitSet // seen at some peer of the own region
	peers   []*peerState   // own region
	far     []*peerState   // regions that read from the origin, for crossing
	byBox   map[string]*peerState
	turns   []turn          // the chunks that this box may have to fetch first
	silent  map[string]bool // boxes that did not answer when they were asked
	firstly int             // turns before this index are done
	origin  int             // reads from the origin under way
	extra   int             // reads of the extra share so far
	pulls   int             // all pulls under way
	lastNew time.Time
	// resumed is when a sender that had been away will have sent what was
	// lacking; in a Patient plan later ranks wait from then on.
	resumed time.Duration
	// originRetry is when the origin may be asked again.
	originRetry time.Time
	// senderFailed is when the origin, or the far region, last failed to give
	// this box a chunk.
	senderFailed time.Time
	// chunkTime is the smoothed time that a chunk takes.
	chunkTime time.Duration
	// ownStall says that pulls from all sides stalled together.
	ownStall bool
}

// turn is a chunk whose rendezvous order names this box early.
type turn struct {
	chunk int
	// ahead are the boxes before this one in the chunk's order, and rank how
	// many of them are not known to be silent.
	ahead []string
	rank  int
	// due is when the box of rank 0 fetches the chunk, at when this one does.
	due, at time.Duration
}

// NewSwarm returns the view of box self; held are the chunks it has
// already. o is the order of p, and start is when the plan was seen
// confirmed.
func NewSwarm(p Params, o *Order, self string, held *bitset.BitSet, start time.Time) *Swarm {
	if p.Downloads <= 0 {
		p.Downloads = DefaultDownloads
	}
	if p.Quiet <= 0 {
		p.Quiet = DefaultQuiet
	}
	s := &Swarm{
		params:  p,
		start:   start,
		rng:     rand.New(rand.NewPCG(xxhash.Sum64String(self), uint64(p.Chunks))),
		held:    held.Clone(),
		flying:  bitset.New(uint(p.Chunks)),
		exists:  bitset.New(uint(p.Chunks)),
		byBox:   make(map[string]*peerState),
		silent:  make(map[string]bool),
		lastNew: start,
	}
	for _, peer := range p.Peers {
		if peer.Box == self {
			s.self = peer
		}
	}
	s.addPeers()
	s.addTurns(o)
	return s
}

func (s *Swarm) addPeers() {
	crossing := !s.readsOrigin()
	for _, peer := range s.params.Peers {
		if peer.Box == s.self.Box {
			continue
		}
		ps := &peerState{Peer: peer, held: bitset.New(uint(s.params.Chunks))}
		switch {
		case peer.Region == s.self.Region:
			s.peers = append(s.peers, ps)
		case crossing && slices.Contains(s.params.OriginRegions, peer.Region):
			s.far = append(s.far, ps)
		default:
			continue
		}
		s.byBox[peer.Box] = ps
	}
}

func (s *Swarm) readsOrigin() bool {
	return slices.Contains(s.params.OriginRegions, s.self.Region)
}

// Continue takes over the times of an earlier swarm of the same copy: turns go
// on where they stood, and a wait that has begun is not begun anew.
func (s *Swarm) Continue(earlier *Swarm) {
	s.start = earlier.start
	s.lastNew = earlier.lastNew
	s.resumed = earlier.resumed
	s.originRetry = earlier.originRetry
	s.senderFailed = earlier.senderFailed
	s.chunkTime = earlier.chunkTime
}

// addTurns computes the chunks for which this box has one of the first
// ranks in its region.
func (s *Swarm) addTurns(o *Order) {
	for c, ranked := range o.first[s.self.Region] {
		rank := slices.Index(ranked, s.self.Box)
		if rank < 0 || s.held.Test(uint(c)) {
			continue
		}
		due := time.Duration(c) * s.params.ChunkTurn
		if !s.readsOrigin() {
			due += s.params.ChunkTurn
		}
		s.turns = append(s.turns, turn{chunk: c, ahead: ranked[:rank], due: due})
	}
	s.rankTurns()
}

// rankTurns puts the turns in the order of their times, which depend on who
// is silent.
func (s *Swarm) rankTurns() {
	for i := range s.turns {
		t := &s.turns[i]
		t.rank = 0
		for _, box := range t.ahead {
			if !s.silent[box] {
				t.rank++
			}
		}
		t.at = t.due + time.Duration(t.rank)*s.params.TakeOver
	}
	slices.SortFunc(s.turns, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.chunk, b.chunk))
	})
	s.firstly = 0
}

// Silent says that a box of the own region did not answer when it was asked:
// nobody waits for its turns, and it is left alone like one that stalls.
func (s *Swarm) Silent(box string, now time.Time) {
	if s.silent[box] {
		return
	}
	s.silent[box] = true
	if ps := s.byBox[box]; ps != nil {
		ps.penalty = max(ps.penalty, stallPenalty)
		ps.retry = max(ps.retry, now.Sub(s.start)+ps.penalty)
	}
	s.rankTurns()
}

// Done reports whether every chunk is held.
func (s *Swarm) Done() bool { return int(s.held.Count()) == s.params.Chunks }

// Wants returns the bitmap that goes with a pull: what is held or on its
// way, and so is not wanted.
func (s *Swarm) Wants() *bitset.BitSet { return s.held.Union(s.flying) }

// Reachable counts the chunks that this box or a peer is known to hold.
func (s *Swarm) Reachable() int {
	all := s.held.Union(s.exists)
	for _, ps := range s.byBox {
		all.InPlaceUnion(ps.held)
	}
	return int(all.Count())
}

// Held returns a copy of the bitmap of verified chunks.
func (s *Swarm) Held() *bitset.BitSet { return s.held.Clone() }

// Knowledge is what an answer tells about chunks besides the one it brings.
type Knowledge struct {
	// Held are the sender's chunks.
	Held *bitset.BitSet
	// Exists are the chunks that the sender knows some peer of its region to
	// hold. It spreads from answer to answer, so that a box of a later rank
	// does not read again from the origin what has arrived long ago.
	Exists *bitset.BitSet
}

// Knows returns what to send along with an answer.
func (s *Swarm) Knows() Knowledge {
	return Knowledge{Held: s.held.Clone(), Exists: s.exists.Clone()}
}

// Next decides on one more pull. The caller reports its end with Arrived,
// Nothing, Busy or Bad.
func (s *Swarm) Next(now time.Time) Pull {
	if s.Done() || s.pulls >= s.downloads() {
		return Pull{Wait: idleRetry}
	}
	since := now.Sub(s.start)
	if p, ok := s.firstTurn(now); ok {
		return p
	}
	if p, ok := s.nearPeer(since); ok {
		return p
	}
	if p, ok := s.spare(since); ok {
		return p
	}
	if p, ok := s.lastResort(now); ok {
		return p
	}
	return Pull{Wait: idleRetry}
}

// spare reads a chunk of the box's extra share from the origin.
func (s *Swarm) spare(since time.Duration) (Pull, bool) {
	passed := since > time.Duration(s.params.Chunks)*s.params.ChunkTurn
	if !passed || s.extra >= s.params.ExtraOrigin || s.origin >= originSlots {
		return Pull{}, false
	}
	missing := s.Wants().Complement()
	n := missing.Count()
	if n == 0 {
		return Pull{}, false
	}
	chunk := missing.Select(uint(s.rng.IntN(int(n))))
	s.extra++
	s.begin(int(chunk))
	s.origin++
	return Pull{Kind: FromOrigin, Chunk: int(chunk)}, true
}

// downloads bounds the pulls under way: a single one, as a probe, while the
// box's own link seems to stall.
func (s *Swarm) downloads() int {
	if s.ownStall {
		return 1
	}
	return s.params.Downloads
}

// firstTurn fetches a chunk that is due and that nobody is known to hold.
func (s *Swarm) firstTurn(now time.Time) (Pull, bool) {
	if s.origin >= originSlots || s.readsOrigin() && now.Before(s.originRetry) {
		return Pull{}, false
	}
	since := now.Sub(s.start)
	still := s.standsStill(now)
	for i := s.firstly; i < len(s.turns); i++ {
		t := s.turns[i]
		if t.at > since {
			return Pull{}, false
		}
		if t.rank > 0 && (still || s.resumed+time.Duration(t.rank)*s.params.TakeOver > since) {
			continue
		}
		c := uint(t.chunk)
		if s.held.Test(c) || s.exists.Test(c) {
			if i == s.firstly {
				s.firstly++
			}
			continue
		}
		if s.flying.Test(c) || s.beyondWindow(t, since) {
			continue
		}
		return s.first(t.chunk, since)
	}
	return Pull{}, false
}

// Bounds of the reads of an origin that is behind the plan's schedule.
const (
	// behindAfter is how late a turn must be for the origin to count as behind.
	behindAfter = 500 * time.Millisecond
	// newsTime is how long it takes until the boxes of a region know of a chunk
	// that one has read, and windowMore how many reads beyond what the origin
	// sends in that time keep its link busy.
	newsTime   = 400 * time.Millisecond
	windowMore = 4
)

// beyondWindow reports whether a turn is left for later: when an origin that
// was away is back, all turns are past, and were all read at once the chunks
// would come together at the end, with no time left to pass them on.
func (s *Swarm) beyondWindow(t turn, since time.Duration) bool {
	if !s.params.Patient || !s.readsOrigin() || since-t.due < behindAfter {
		return false
	}
	window := windowMore
	if s.params.ChunkTurn > 0 {
		window += int(newsTime / s.params.ChunkTurn)
	}
	below := 0
	for c := range uint(t.chunk) {
		if !s.held.Test(c) && !s.exists.Test(c) {
			below++
		}
	}
	return below >= window
}

// standsStill reports whether nothing has come for so long that a sender is
// away: in a Patient plan no later rank takes over before it is back.
func (s *Swarm) standsStill(now time.Time) bool {
	return s.params.Patient && now.Sub(s.lastNew) > s.params.Quiet
}

// unseen counts the chunks that nobody in the region is known to hold.
func (s *Swarm) unseen() int {
	return s.params.Chunks - int(s.held.UnionCardinality(s.exists))
}

// NextFirst is Next for the chunks that this box fetches for others alone: a
// box whose pulls are all taken by its peers still keeps the origin busy.
func (s *Swarm) NextFirst(now time.Time) Pull {
	if s.Done() || s.pulls >= s.downloads() {
		return Pull{Wait: idleRetry}
	}
	if p, ok := s.firstTurn(now); ok {
		return p
	}
	return Pull{Wait: idleRetry}
}

// first starts the fetch of a chunk new to the region.
func (s *Swarm) first(chunk int, since time.Duration) (Pull, bool) {
	if s.readsOrigin() {
		s.begin(chunk)
		s.origin++
		return Pull{Kind: FromOrigin, Chunk: chunk}, true
	}
	ps := s.holderFarAway(chunk, since)
	if ps == nil {
		return Pull{}, false
	}
	s.begin(chunk)
	s.origin++
	ps.pulling = true
	return Pull{Kind: FromFar, Chunk: chunk, Peer: ps.Box}, true
}

// holderFarAway is the far box that has, or soon will have, the chunk: the
// first in the far region's own order that is not left alone.
func (s *Swarm) holderFarAway(chunk int, since time.Duration) *peerState {
	var best *peerState
	var bestWeight uint64
	for _, ps := range s.far {
		if ps.retry > since || ps.pulling {
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

func (s *Swarm) begin(chunk int) {
	s.flying.Set(uint(chunk))
	s.pulls++
}

// nearPeer chooses a peer of the own region: two at random, and of these
// the one that is known to hold more of what is wanted.
func (s *Swarm) nearPeer(since time.Duration) (Pull, bool) {
	first := s.randomPeer(since)
	if first == nil {
		return Pull{}, false
	}
	second := s.randomPeer(since)
	if second != nil && s.useful(second) > s.useful(first) {
		first = second
	}
	first.pulling = true
	s.pulls++
	return Pull{Kind: FromPeer, Chunk: -1, Peer: first.Box}, true
}

func (s *Swarm) randomPeer(since time.Duration) *peerState {
	n := len(s.peers)
	if n == 0 {
		return nil
	}
	at := s.rng.IntN(n)
	for i := range n {
		ps := s.peers[(at+i)%n]
		if !ps.pulling && ps.retry <= since {
			return ps
		}
	}
	return nil
}

func (s *Swarm) useful(ps *peerState) uint { return ps.held.DifferenceCardinality(s.held) }

// lastResort fetches what has been seen at some peer but cannot be had any
// more, because the peers that held it died. When nothing new has come for
// a while, the first in the chunk's order among the peers that still answer
// goes, and each further one waits another TakeOver. In a Patient plan of which
// much has not been seen, the sender is away and not a few boxes dead: that is
// left to the boxes of its order for as long as these have turns, since one
// copy is enough when the sender is back. Nor does the time count in which the
// sender fails: after an outage of seconds all would read what lacks at once.
func (s *Swarm) lastResort(now time.Time) (Pull, bool) {
	quiet := now.Sub(s.lastNew)
	if s.params.Patient && s.senderFailed.After(s.lastNew) {
		quiet = now.Sub(s.senderFailed)
	}
	if s.readsOrigin() && now.Before(s.originRetry) {
		return Pull{}, false
	}
	if quiet < s.params.Quiet || s.origin >= originSlots {
		return Pull{}, false
	}
	since := now.Sub(s.start)
	living := s.living()
	away := s.params.Patient && s.unseen() > s.params.Chunks/awayShare
	for c, ok := s.held.NextClear(0); ok && int(c) < s.params.Chunks; c, ok = s.held.NextClear(c + 1) {
		if s.flying.Test(c) || time.Duration(c)*s.params.ChunkTurn > since {
			continue
		}
		rank := rankAmong(int(c), s.self.Box, living)
		if away && !s.exists.Test(c) {
			rank += orderRanks // the boxes of its order come first
		}
		if quiet >= s.params.Quiet+time.Duration(rank)*s.params.TakeOver {
			return s.first(int(c), since)
		}
	}
	return Pull{}, false
}

// living are the peers that have not failed when last asked.
func (s *Swarm) living() []*peerState {
	var out []*peerState
	for _, ps := range s.peers {
		if ps.penalty == 0 {
			out = append(out, ps)
		}
	}
	return out
}

// TakeOver is the wait of each further rank for a transfer whose floor on
// time is floor.
func TakeOver(floor time.Duration) time.Duration {
	return max(floor/20, 2*time.Second)
}
