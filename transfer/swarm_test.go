// SPDX-License-Identifier: Apache-2.0

package transfer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"
	"gotest.tools/v3/assert"
)

// epoch is the start of the test transfers.
var epoch = time.Unix(1000, 0)

// testParams returns the parameters of a plan over two regions, A and B, of which A
// reads from the origin. Boxes b0, b2 and so on are in A, the others in B.
func testParams(boxes, chunks int) Params {
	p := Params{Chunks: chunks, OriginRegions: []string{"A"}, ChunkInterval: 10 * time.Millisecond, TakeOverDelay: time.Second}
	for i := range boxes {
		region := "A"
		if i%2 == 1 {
			region = "B"
		}
		p.Peers = append(p.Peers, Peer{Box: fmt.Sprintf("b%d", i), Region: region})
	}
	return p
}

// newTestSwarm returns the swarm of box, which holds no chunk yet.
func newTestSwarm(p Params, box string) *Swarm {
	return NewSwarm(p, NewOrder(p), box, bitset.New(uint(p.Chunks)), epoch)
}

// originReads returns the chunks that a swarm whose peers hold nothing reads
// from the origin until the given time.
func originReads(s *Swarm, until time.Duration) []int {
	var out []int
	for at := time.Duration(0); at < until; at += 5 * time.Millisecond {
		for {
			p := s.Next(epoch.Add(at))
			if p.Kind == None {
				break
			}
			switch p.Kind {
			case FromOrigin:
				out = append(out, p.Chunk)
				s.endPull(p)
				s.held.Set(uint(p.Chunk))
			default:
				s.NoUsefulChunk(p, Availability{}, epoch.Add(at))
			}
		}
	}
	return out
}

// TestChunkReadByOneBox guards against redundant reads: in a transfer without delays,
// exactly one box, which is in region A, reads each chunk from the origin.
func TestChunkReadByOneBox(t *testing.T) {
	p := testParams(8, 64)
	p.TakeOverDelay = 10 * time.Second
	readers := map[int][]string{}
	for _, peer := range p.Peers {
		for _, c := range originReads(newTestSwarm(p, peer.Box), time.Duration(p.Chunks+1)*p.ChunkInterval) {
			readers[c] = append(readers[c], peer.Box)
			assert.Equal(t, peer.Region, "A", "read from the origin by a box outside the origin regions")
		}
	}
	for c := range p.Chunks {
		assert.Equal(t, len(readers[c]), 1, "chunk %d read by %v", c, readers[c])
	}
}

// TestTakeOverDelayByRank guards against all boxes taking over a chunk at once: after
// each take-over delay, one more box is scheduled to fetch it.
func TestTakeOverDelayByRank(t *testing.T) {
	p := testParams(8, 16)
	o := NewOrder(p)
	for c := range p.Chunks {
		ranked := o.ranking["A"][c]
		for rank, box := range ranked {
			s := newTestSwarm(p, box)
			at := time.Duration(c)*p.ChunkInterval + time.Duration(rank)*p.TakeOverDelay
			for _, fetch := range s.schedule {
				if fetch.chunk == c {
					assert.Equal(t, fetch.at, at)
				}
			}
		}
	}
}

// TestAvailableChunksNotReadAgain checks that a box does not read from the
// origin the chunks that its region is known to hold.
func TestAvailableChunksNotReadAgain(t *testing.T) {
	p := testParams(8, 64)
	all := bitset.New(64).Complement()
	for _, peer := range p.Peers {
		if peer.Region != "A" {
			continue
		}
		s := newTestSwarm(p, peer.Box)
		other := s.peers[0].Box
		s.AddAvailability(other, Availability{Held: all, Exists: all})
		s.lastArrival = epoch.Add(time.Hour) // keeps the transfer from being idle
		assert.Equal(t, len(originReads(s, 20*time.Second)), 0, "%s reads chunks that its region holds", peer.Box)
	}
}

// TestChunkFetchedOnceFromRemoteRegion checks that a region that does not read
// from the origin fetches each chunk once from the region that does.
func TestChunkFetchedOnceFromRemoteRegion(t *testing.T) {
	p := testParams(8, 64)
	fetches := map[int]int{}
	for _, peer := range p.Peers {
		if peer.Region != "B" {
			continue
		}
		s := newTestSwarm(p, peer.Box)
		for at := time.Duration(0); at < time.Duration(p.Chunks+2)*p.ChunkInterval; at += 5 * time.Millisecond {
			for {
				pull := s.Next(epoch.Add(at))
				if pull.Kind == None {
					break
				}
				if pull.Kind == FromRemoteRegion {
					fetches[pull.Chunk]++
					assert.Equal(t, s.byBox[pull.Peer].Region, "A")
					s.Arrived(pull, Availability{}, time.Millisecond, epoch.Add(at))
					continue
				}
				assert.Assert(t, pull.Kind != FromOrigin)
				s.NoUsefulChunk(pull, Availability{}, epoch.Add(at))
			}
		}
	}
	for c := range p.Chunks {
		assert.Equal(t, fetches[c], 1, "chunk %d", c)
	}
}

// TestInvalidChunkBackoffDoubles checks that a peer that sends invalid chunks is
// queried at growing intervals.
func TestInvalidChunkBackoffDoubles(t *testing.T) {
	p := testParams(4, 8) // b0 and b2 share region A
	s := newTestSwarm(p, "b0")
	now := epoch
	var intervals []time.Duration
	var last time.Time
	for ; len(intervals) < 4; now = now.Add(10 * time.Millisecond) {
		for pull := s.Next(now); pull.Kind != None; pull = s.Next(now) {
			if pull.Kind == FromOrigin {
				s.Arrived(pull, Availability{}, time.Millisecond, now)
				continue
			}
			assert.Equal(t, pull.Peer, "b2")
			if !last.IsZero() {
				intervals = append(intervals, now.Sub(last))
			}
			last = now
			s.InvalidChunk(pull, now)
		}
		if s.Done() {
			s.held.Clear(0) // keep a chunk missing
		}
	}
	for i := 1; i < len(intervals); i++ {
		assert.Assert(t, intervals[i] >= intervals[i-1]*3/2, "%v", intervals)
	}
}

// TestLocalStallDoesNotPenalizePeers checks that a peer is penalized for a stall
// only if other chunks arrived meanwhile; otherwise the box's own link is at
// fault.
func TestLocalStallDoesNotPenalizePeers(t *testing.T) {
	p := testParams(8, 64)
	s := newTestSwarm(p, "b0")
	now := epoch
	first := s.Next(now)
	for first.Kind != FromPeer {
		s.Arrived(first, Availability{}, 10*time.Millisecond, now)
		first = s.Next(now)
	}
	now = now.Add(s.StallTimeout() + time.Second)
	s.Stalled(first, now)
	assert.Equal(t, s.byBox[first.Peer].penalty, time.Duration(0), "peer penalized for a stall of the box's own link")
	assert.Equal(t, s.pullLimit(), 1, "a box whose link stalls probes with one pull")

	all := bitset.New(64).Complement()
	s.AddAvailability("b2", Availability{Held: all, Exists: all}) // leaves nothing to read from the origin
	now = now.Add(idleBackoffMax)
	second := s.Next(now)
	assert.Equal(t, second.Kind, FromPeer)
	s.lastArrival = now // other chunks arrive
	s.Stalled(second, now)
	assert.Equal(t, s.byBox[second.Peer].penalty, stallPenalty)
}

// TestExtraOriginReadsAreBounded checks that a box makes at most Params.ExtraOrigin
// reads from the origin in addition to its schedule.
func TestExtraOriginReadsAreBounded(t *testing.T) {
	p := testParams(4, 40)
	p.ExtraOrigin = ExtraOrigin(40, 4, 1)
	assert.Equal(t, p.ExtraOrigin, 10)
	total := 0
	for _, peer := range p.Peers {
		s := newTestSwarm(p, peer.Box)
		scheduled := len(s.schedule)
		s.lastArrival = epoch.Add(time.Hour)
		reads := originReads(s, p.TakeOverDelay/2+time.Duration(p.Chunks)*p.ChunkInterval)
		total += len(reads)
		assert.Assert(t, len(reads) <= scheduled+p.ExtraOrigin)
	}
	assert.Assert(t, total <= 40+40, "%d reads of 40 chunks and one extra copy", total)
}

// TestPickerSendsLeastSentChunk checks that every chunk is sent once before any
// is sent twice.
func TestPickerSendsLeastSentChunk(t *testing.T) {
	p := NewPicker(10, 1)
	held, none := bitset.New(10).Complement(), bitset.New(10)
	sent := map[int]bool{}
	for range 10 {
		sent[p.Pick(held, none)] = true
	}
	assert.Equal(t, len(sent), 10, "a chunk was sent twice before another was sent once")
	assert.Equal(t, p.Pick(held, held), -1)
}

// TestOriginRecoversFromOutage checks that boxes back off from an origin that is
// down and, once it recovers, read few chunks more than once.
func TestOriginRecoversFromOutage(t *testing.T) {
	const chunks, boxes = 32, 6
	params := Params{Chunks: chunks, OriginRegions: []string{"r"}, ChunkInterval: 10 * time.Millisecond, TakeOverDelay: 200 * time.Millisecond, IdleTimeout: 400 * time.Millisecond, PauseTakeOver: true}
	for b := range boxes {
		params.Peers = append(params.Peers, Peer{Box: string(rune('a' + b)), Region: "r"})
	}
	order := NewOrder(params)
	now := time.Unix(1000, 0)
	const outage = 5 * time.Second
	var swarms []*Swarm
	for _, p := range params.Peers {
		swarms = append(swarms, NewSwarm(params, order, p.Box, bitset.New(chunks), now))
	}
	begin, attempts, read := now, 0, 0
	for now.Sub(begin) < outage+3*time.Second {
		for _, s := range swarms {
			p := s.Next(now)
			switch p.Kind {
			case FromOrigin:
				if now.Sub(begin) < outage {
					attempts++
					s.Unresponsive(p, now)
					continue
				}
				read++
				s.Arrived(p, Availability{}, time.Millisecond, now)
			case FromPeer:
				sender := swarms[slices.IndexFunc(swarms, func(o *Swarm) bool { return o.self.Box == p.Peer })]
				useful := sender.held.Difference(s.HeldOrInFlight())
				chunk, ok := useful.NextSet(0)
				if !ok {
					s.NoUsefulChunk(p, sender.Availability(), now)
					continue
				}
				assert.Assert(t, s.Offered(&p, int(chunk)))
				s.Arrived(p, sender.Availability(), time.Millisecond, now)
			}
		}
		now = now.Add(5 * time.Millisecond)
	}
	assert.Assert(t, attempts <= boxes*int(outage/originBackoff+2), "%d attempts", attempts)
	assert.Assert(t, read >= chunks && read <= chunks*5/4, "%d reads of %d chunks", read, chunks)
}

// TestPassiveBoxesHaveNoFirstFetches checks that passive boxes are ranked only in
// a region that has no others.
func TestPassiveBoxesHaveNoFirstFetches(t *testing.T) {
	p := testParams(8, 16)
	for i := range p.Peers {
		p.Peers[i].Passive = p.Peers[i].Region == "A" && i > 0 || p.Peers[i].Region == "B"
	}
	o := NewOrder(p)
	for c := range p.Chunks {
		assert.DeepEqual(t, o.ranking["A"][c], []string{"b0"})
		assert.Equal(t, len(o.ranking["B"][c]), 4)
	}
}

// TestReadWindowAfterOutage checks that after an outage of the origin a box reads only
// the chunks for which it has rank 0 and that are inside the read window.
func TestReadWindowAfterOutage(t *testing.T) {
	p := testParams(8, 64)
	p.PauseTakeOver, p.IdleTimeout = true, 400*time.Millisecond
	window := windowSlack + int(propagationTime/p.ChunkInterval)
	recovered := epoch.Add(6 * time.Second)
	for _, available := range []int{0, 10, 64 - window} {
		s := newTestSwarm(p, "b0")
		for c := range available {
			s.exists.Set(uint(c))
		}
		read := map[int]bool{}
		for next := s.NextFirstFetch(recovered); next.Kind != None; next = s.NextFirstFetch(recovered) {
			assert.Equal(t, next.Kind, FromOrigin)
			rank := slices.Index(NewOrder(p).ranking["A"][next.Chunk], "b0")
			assert.Equal(t, rank, 0, "chunk %d is read by a later rank", next.Chunk)
			read[next.Chunk] = true
			s.Arrived(next, Availability{}, time.Millisecond, recovered)
		}
		due := 0 // missing chunks of rank 0
		for _, fetch := range s.schedule {
			if fetch.rank != 0 || fetch.chunk < available {
				continue
			}
			due++
			if fetch.chunk < available+window {
				assert.Assert(t, read[fetch.chunk], "chunk %d inside the window was not read", fetch.chunk)
			}
			if missing := fetch.chunk - available - len(read); missing >= window {
				assert.Assert(t, !read[fetch.chunk], "chunk %d outside the window was read", fetch.chunk)
			}
		}
		assert.Assert(t, due > 0)
		if available == 64-window {
			assert.Equal(t, len(read), due, "all chunks are inside the window")
		}
	}
}

// TestUnresponsiveBoxIsSkipped checks that the first fetch of an unresponsive box is
// taken over without delay, and only by the box of the next rank.
func TestUnresponsiveBoxIsSkipped(t *testing.T) {
	p := testParams(12, 48)
	p.TakeOverDelay = time.Second
	o := NewOrder(p)
	first := o.ranking["A"][0][0]
	for rank, box := range o.ranking["A"][0] {
		if rank == 0 {
			continue
		}
		s := newTestSwarm(p, box)
		s.MarkUnresponsive(first, epoch)
		s.MarkUnresponsive(first, epoch) // a repeated report has no effect
		takesOver := false
		now := epoch.Add(time.Duration(p.Chunks) * p.ChunkInterval)
		for {
			next := s.NextFirstFetch(now)
			if next.Kind == None {
				break
			}
			takesOver = takesOver || next.Chunk == 0
			s.Arrived(next, Availability{}, time.Millisecond, now)
		}
		assert.Equal(t, takesOver, rank == 1, "the box of rank %d", rank)
	}
}

// TestPartnersAreBounded checks that the number of partners is bounded by the
// number of chunks in a large region, and that a small one has all as partners.
func TestPartnersAreBounded(t *testing.T) {
	for _, n := range []int{8, 240, 1220} {
		p := testParams(n, 64)
		o := NewOrder(p)
		total := 0
		for _, peer := range p.Peers {
			partners := o.Partners(peer.Region, peer.Box)
			assert.Assert(t, !slices.Contains(partners, peer.Box))
			total += len(partners)
			if n == 8 {
				assert.Equal(t, len(partners), 3, "all others of its region")
			}
		}
		regions := 2
		assert.Assert(t, total <= regions*p.Chunks*partnerRanks*(partnerRanks-1), "%d boxes have %d partners", n, total)
	}
}

// TestUnresponsivePeerBackoff checks that the backoff of a peer that does not
// respond is longer than that of one that refuses the connection, such as one
// that restarts.
func TestUnresponsivePeerBackoff(t *testing.T) {
	p := testParams(4, 64) // one peer in the same region
	pulls := func(report func(*Swarm, Pull, time.Time)) int {
		s := newTestSwarm(p, "b0")
		n := 0
		for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
			now := epoch.Add(at)
			pull, ok := s.pullFromPeer(at)
			if ok {
				n++
				report(s, pull, now)
			}
		}
		return n
	}
	assert.Equal(t, pulls((*Swarm).Unresponsive), 2)
	assert.Assert(t, pulls((*Swarm).ConnectionFailed) >= 4)
}

// TestMissingChunksReadAboutOnceAfterOutage guards against redundant reads when
// the origin recovers from an outage late in a transfer and all boxes of the
// region lack the same chunks.
func TestMissingChunksReadAboutOnceAfterOutage(t *testing.T) {
	const (
		boxes, chunks, initial = 24, 64, 51
		outage                 = 6 * time.Second
		readTime               = 40 * time.Millisecond // of one chunk; the origin sends one at a time
	)
	p := Params{Chunks: chunks, OriginRegions: []string{"r"}, ChunkInterval: readTime, TakeOverDelay: 900 * time.Millisecond, IdleTimeout: 400 * time.Millisecond, PauseTakeOver: true}
	for b := range boxes {
		p.Peers = append(p.Peers, Peer{Box: fmt.Sprint("b", b), Region: "r"})
	}
	o := NewOrder(p)
	held := bitset.New(chunks)
	for c := range uint(initial) {
		held.Set(c)
	}
	var swarms []*Swarm
	for _, peer := range p.Peers {
		s := NewSwarm(p, o, peer.Box, held, epoch)
		s.lastArrival = epoch.Add(initial * readTime)
		swarms = append(swarms, s)
	}
	type originRead struct {
		by   *Swarm
		pull Pull
	}
	var queue []originRead // at the origin
	read, nextSend := 0, time.Duration(0)
	for at := initial * readTime; at < outage+4*time.Second; at += 10 * time.Millisecond {
		now := epoch.Add(at)
		if len(queue) > 0 && at >= nextSend {
			first := queue[0]
			queue = queue[1:]
			first.by.Arrived(first.pull, Availability{}, readTime, now)
			nextSend = at + readTime
		}
		for _, s := range swarms {
			next := s.Next(now)
			switch next.Kind {
			case FromOrigin:
				if at < outage {
					s.ConnectionFailed(next, now)
					continue
				}
				read++
				queue = append(queue, originRead{s, next})
			case FromPeer:
				sender := swarms[slices.IndexFunc(swarms, func(o *Swarm) bool { return o.self.Box == next.Peer })]
				chunk, ok := sender.held.Difference(s.HeldOrInFlight()).NextSet(0)
				if !ok {
					s.NoUsefulChunk(next, sender.Availability(), now)
					continue
				}
				assert.Assert(t, s.Offered(&next, int(chunk)))
				s.Arrived(next, sender.Availability(), time.Millisecond, now)
			}
		}
	}
	for _, s := range swarms {
		assert.Assert(t, s.Done())
	}
	assert.Assert(t, read <= (chunks-initial)*3/2, "%d reads of %d chunks", read, chunks-initial)
}

// TestInheritTiming checks that a swarm that replaces another after an outage reads the
// overdue chunks for which the box has rank 0 at once, and no others.
func TestInheritTiming(t *testing.T) {
	p := testParams(8, 64)
	p.PauseTakeOver, p.IdleTimeout = true, 400*time.Millisecond
	o := NewOrder(p)
	const outage = 6 * time.Second
	earlier := newTestSwarm(p, "b0")
	now := epoch.Add(outage)
	s := NewSwarm(p, o, "b0", earlier.held, now)
	s.InheritTiming(earlier)
	for c, ranked := range o.ranking["A"] {
		if ranked[0] != "b0" { // other boxes hold theirs, so that all chunks are inside the read window
			s.exists.Set(uint(c))
		}
	}
	read := make(map[int]bool)
	for {
		next := s.Next(now)
		if next.Kind != FromOrigin {
			break
		}
		read[next.Chunk] = true
		s.Arrived(next, Availability{}, time.Millisecond, now)
	}
	for c, ranked := range o.ranking["A"] {
		assert.Equal(t, read[c], ranked[0] == "b0", "chunk %d", c)
	}
}

// TestNoTakeOverWhileCatchingUp checks that after an outage of the remote region no rank
// above 0 takes over a chunk too early: the region needs time to send all missing
// chunks, and a TakeOverDelay must pass after that.
func TestNoTakeOverWhileCatchingUp(t *testing.T) {
	const (
		chunks    = 64
		initial   = 20 // chunks that arrived before the outage
		failed    = 700 * time.Millisecond
		recovered = 6 * time.Second
		interval  = 40 * time.Millisecond // between chunks from peers
	)
	p := testParams(24, chunks)
	p.PauseTakeOver, p.IdleTimeout = true, 400*time.Millisecond
	o := NewOrder(p)
	until := recovered + (chunks-initial)*p.ChunkInterval + p.TakeOverDelay
	for _, peer := range p.Peers {
		if peer.Region != "B" {
			continue
		}
		s := NewSwarm(p, o, peer.Box, bitset.New(chunks), epoch)
		arrive := func(chunk int, now time.Time) {
			s.startPull(chunk)
			s.Arrived(Pull{Kind: FromPeer, Chunk: chunk}, Availability{}, time.Millisecond, now)
		}
		for c := range initial {
			arrive(c, epoch.Add(time.Duration(c)*failed/initial))
		}
		next := initial
		for at := failed; at < until; at += interval {
			now := epoch.Add(at)
			if at >= recovered && next < chunks {
				if o.ranking["B"][next][0] != peer.Box {
					arrive(next, now)
				}
				next++
			}
			for pull := s.Next(now); pull.Kind != None; pull = s.Next(now) {
				if pull.Kind == FromRemoteRegion {
					rank := slices.Index(o.ranking["B"][pull.Chunk], peer.Box)
					assert.Equal(t, rank, 0, "%s pulls chunk %d after %s", peer.Box, pull.Chunk, at)
				}
				if pull.Kind == FromRemoteRegion && at >= recovered {
					s.Arrived(pull, Availability{}, time.Millisecond, now)
					continue
				}
				s.Busy(pull, 0, now)
			}
		}
	}
}

// TestContinueKeepsPullsInFlight guards against a second read of a chunk that is on its
// way when a swarm is replaced, and against limits that count such pulls twice or never.
func TestContinueKeepsPullsInFlight(t *testing.T) {
	p := testParams(8, 64)
	now := epoch.Add(time.Second)
	earlier := newTestSwarm(p, "b0")
	earlier.AddAvailability("b2", Availability{Held: bitset.New(64).Set(63)})
	first := earlier.Next(now)
	assert.Equal(t, first.Kind, FromOrigin)
	s := newTestSwarm(p, "b0")
	s.Continue(earlier)
	assert.Equal(t, s.AvailableChunks(), 1, "what listed peers hold is still known")
	second := s.Next(now)
	assert.Equal(t, second.Kind, FromOrigin)
	assert.Assert(t, second.Chunk != first.Chunk)
	third := s.Next(now)
	assert.Equal(t, third.Kind, FromPeer, "only maxFirstFetches are in flight")
	s.Arrived(first, Availability{}, time.Millisecond, now)
	assert.Equal(t, s.pulls, 2)
	assert.Equal(t, s.firstFetches, 1)
	assert.Equal(t, s.Next(now).Kind, FromOrigin)
}

// TestIdleBackoffEndsWithOutage guards against a slow spread after an outage, in which
// all peers are backed off because they had no useful chunk: with the first chunk that
// arrives, a box must query its peers again at once, except those that failed.
func TestIdleBackoffEndsWithOutage(t *testing.T) {
	p := testParams(16, 64)
	p.PauseTakeOver, p.IdleTimeout = true, 400*time.Millisecond
	s := newTestSwarm(p, "b0")
	now := epoch
	for ; now.Before(epoch.Add(6 * time.Second)); now = now.Add(5 * time.Millisecond) {
		for next := s.Next(now); next.Kind != None; next = s.Next(now) {
			switch {
			case next.Kind == FromOrigin:
				s.ConnectionFailed(next, now)
			case next.Peer == "b2":
				s.InvalidChunk(next, now)
			default:
				s.NoUsefulChunk(next, Availability{}, now)
			}
		}
	}
	s.startPull(0)
	s.Arrived(Pull{Kind: FromPeer, Chunk: 0, Peer: "b4"}, Availability{}, time.Millisecond, now)
	asked := make(map[string]bool)
	for next, ok := s.pullFromPeer(now.Sub(epoch)); ok; next, ok = s.pullFromPeer(now.Sub(epoch)) {
		asked[next.Peer] = true
	}
	assert.Equal(t, len(asked), 6, "%v", asked)
	assert.Assert(t, !asked["b2"], "it sends invalid chunks")
}

// TestNextFromBoxesDoesNotReadOrigin guards against reads from the origin of a version
// that is to wait for another one, and against chunks that are not spread meanwhile.
func TestNextFromBoxesDoesNotReadOrigin(t *testing.T) {
	p := testParams(8, 64)
	now := epoch.Add(time.Minute)
	for box, kinds := range map[string][]Kind{"b0": {FromPeer}, "b1": {FromPeer, FromRemoteRegion}} {
		s := newTestSwarm(p, box)
		seen := make(map[Kind]bool)
		for next := s.NextFromBoxes(now); next.Kind != None; next = s.NextFromBoxes(now) {
			seen[next.Kind] = true
			s.NoUsefulChunk(next, Availability{}, now)
		}
		assert.Equal(t, len(seen), len(kinds), "%s", box)
		for _, kind := range kinds {
			assert.Assert(t, seen[kind], "%s", box)
		}
	}
}

// Guards against a transfer that counts as idle before boxes were queried, while chunks
// arrive, or no longer after its swarm was replaced.
func TestIdle(t *testing.T) {
	p := testParams(4, 8)
	s := newTestSwarm(p, "b0")
	late := epoch.Add(time.Hour)
	assert.Equal(t, s.Idle(late), false, "no query")
	s.NoUsefulChunk(s.NextFromBoxes(epoch), Availability{}, epoch.Add(time.Millisecond))
	assert.Equal(t, s.Idle(epoch.Add(s.params.IdleTimeout)), false)
	assert.Equal(t, s.Idle(late), true)
	next := newTestSwarm(p, "b0")
	next.Continue(s)
	assert.Equal(t, next.Idle(late), true)
	read := s.Next(late)
	assert.Equal(t, read.Kind, FromOrigin)
	s.Arrived(read, Availability{}, time.Millisecond, late)
	assert.Equal(t, s.Idle(late.Add(time.Hour)), false)
}
