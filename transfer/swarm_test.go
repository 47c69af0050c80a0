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

var epoch = time.Unix(1000, 0)

func params(boxes, chunks int) Params {
	p := Params{Chunks: chunks, OriginRegions: []string{"A"}, ChunkTurn: 10 * time.Millisecond, TakeOver: time.Second}
	for i := range boxes {
		region := "A"
		if i%2 == 1 {
			region = "B"
		}
		p.Peers = append(p.Peers, Peer{Box: fmt.Sprintf("b%d", i), Region: region})
	}
	return p
}

func swarm(p Params, box string) *Swarm {
	return NewSwarm(p, NewOrder(p), box, bitset.New(uint(p.Chunks)), epoch)
}

// originReads asks a swarm, whose peers have nothing, what it reads from
// the origin until the given time; nothing arrives.
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
				s.end(p) // let it be read again only if the rules say so
				s.held.Set(uint(p.Chunk))
			default:
				s.Nothing(p, Knowledge{}, epoch.Add(at))
			}
		}
	}
	return out
}

// TestOneReaderAChunk checks that in time every chunk is read by exactly
// one box, and none by a region that does not read from the origin.
func TestOneReaderAChunk(t *testing.T) {
	p := params(8, 64)
	p.TakeOver = 10 * time.Second
	readers := map[int][]string{}
	for _, peer := range p.Peers {
		for _, c := range originReads(swarm(p, peer.Box), time.Duration(p.Chunks+1)*p.ChunkTurn) {
			readers[c] = append(readers[c], peer.Box)
			assert.Equal(t, peer.Region, "A", "a region that must not read from the origin did")
		}
	}
	for c := range p.Chunks {
		assert.Equal(t, len(readers[c]), 1, "chunk %d is read by %v", c, readers[c])
	}
}

// TestOneSuccessorTakesOver lets the reader of each chunk die: one more box
// wakes after each wait, not all.
func TestOneSuccessorTakesOver(t *testing.T) {
	p := params(8, 16)
	o := NewOrder(p)
	for c := range p.Chunks {
		ranked := o.first["A"][c]
		for rank, box := range ranked {
			s := swarm(p, box)
			at := time.Duration(c)*p.ChunkTurn + time.Duration(rank)*p.TakeOver
			for _, turn := range s.turns {
				if turn.chunk == c {
					assert.Equal(t, turn.at, at)
				}
			}
		}
	}
}

// TestKnownChunksAreNotReadAgain tells a successor that the chunk exists.
func TestKnownChunksAreNotReadAgain(t *testing.T) {
	p := params(8, 64)
	all := bitset.New(64).Complement()
	for _, peer := range p.Peers {
		if peer.Region != "A" {
			continue
		}
		s := swarm(p, peer.Box)
		other := s.peers[0].Box
		s.Known(other, Knowledge{Held: all, Exists: all})
		s.lastNew = epoch.Add(time.Hour) // chunks go on arriving
		assert.Equal(t, len(originReads(s, 20*time.Second)), 0, "%s reads what is known to exist", peer.Box)
	}
}

// TestCrossingOnce checks that in the other region each chunk is fetched
// across the border by one box, from the far region.
func TestCrossingOnce(t *testing.T) {
	p := params(8, 64)
	crossed := map[int]int{}
	for _, peer := range p.Peers {
		if peer.Region != "B" {
			continue
		}
		s := swarm(p, peer.Box)
		for at := time.Duration(0); at < time.Duration(p.Chunks+2)*p.ChunkTurn; at += 5 * time.Millisecond {
			for {
				pull := s.Next(epoch.Add(at))
				if pull.Kind == None {
					break
				}
				if pull.Kind == FromFar {
					crossed[pull.Chunk]++
					assert.Equal(t, s.byBox[pull.Peer].Region, "A")
					s.Arrived(pull, Knowledge{}, time.Millisecond, epoch.Add(at))
					continue
				}
				assert.Assert(t, pull.Kind != FromOrigin)
				s.Nothing(pull, Knowledge{}, epoch.Add(at))
			}
		}
	}
	for c := range p.Chunks {
		assert.Equal(t, crossed[c], 1, "chunk %d", c)
	}
}

// TestBadPeerIsLeftAlone doubles the time that a bad peer is not asked.
func TestBadPeerIsLeftAlone(t *testing.T) {
	p := params(4, 8) // b0 and b2 share region A
	s := swarm(p, "b0")
	now := epoch
	var gaps []time.Duration
	var last time.Time
	for ; len(gaps) < 4; now = now.Add(10 * time.Millisecond) {
		for pull := s.Next(now); pull.Kind != None; pull = s.Next(now) {
			if pull.Kind == FromOrigin {
				s.Arrived(pull, Knowledge{}, time.Millisecond, now)
				continue
			}
			assert.Equal(t, pull.Peer, "b2")
			if !last.IsZero() {
				gaps = append(gaps, now.Sub(last))
			}
			last = now
			s.Bad(pull, now)
		}
		if s.Done() {
			s.held.Clear(0) // keep it wanting
		}
	}
	for i := 1; i < len(gaps); i++ {
		assert.Assert(t, gaps[i] >= gaps[i-1]*3/2, "%v", gaps)
	}
}

// TestOwnStallBlamesNobody stalls every pull at once: the box's own link is
// at fault, and the peers must be asked again soon.
func TestOwnStallBlamesNobody(t *testing.T) {
	p := params(8, 64)
	s := swarm(p, "b0")
	now := epoch
	first := s.Next(now)
	for first.Kind != FromPeer {
		s.Arrived(first, Knowledge{}, 10*time.Millisecond, now)
		first = s.Next(now)
	}
	now = now.Add(s.StallLimit() + time.Second)
	s.Stalled(first, now)
	assert.Equal(t, s.byBox[first.Peer].penalty, time.Duration(0), "a peer was blamed for the box's own link")
	assert.Equal(t, s.downloads(), 1, "a stalled box probes with one pull")

	all := bitset.New(64).Complement()
	s.Known("b2", Knowledge{Held: all, Exists: all}) // nothing is left to read from the origin
	now = now.Add(idleRetryMax)
	second := s.Next(now)
	assert.Equal(t, second.Kind, FromPeer)
	s.lastNew = now // chunks come from others
	s.Stalled(second, now)
	assert.Equal(t, s.byBox[second.Peer].penalty, stallPenalty)
}

// TestExtraShareIsBounded reads beyond the rules only within the share.
func TestExtraShareIsBounded(t *testing.T) {
	p := params(4, 40)
	p.ExtraOrigin = ExtraOrigin(40, 4, 1)
	assert.Equal(t, p.ExtraOrigin, 10)
	total := 0
	for _, peer := range p.Peers {
		s := swarm(p, peer.Box)
		own := len(s.turns)
		s.lastNew = epoch.Add(time.Hour)
		reads := originReads(s, p.TakeOver/2+time.Duration(p.Chunks)*p.ChunkTurn)
		total += len(reads)
		assert.Assert(t, len(reads) <= own+p.ExtraOrigin)
	}
	assert.Assert(t, total <= 40+40, "%d chunks for 40 and one extra copy", total)
}

func TestPickerSpreadsWhatIsRare(t *testing.T) {
	p := NewPicker(10, 1)
	held, none := bitset.New(10).Complement(), bitset.New(10)
	seen := map[int]bool{}
	for range 10 {
		seen[p.Pick(held, none)] = true
	}
	assert.Equal(t, len(seen), 10, "a chunk was sent twice before another was sent once")
	assert.Equal(t, p.Pick(held, held), -1)
}

// While the origin is down nobody hammers it; when it is back, the boxes do
// not all read the same chunks.
func TestOriginBackAfterAnOutage(t *testing.T) {
	const chunks, boxes = 32, 6
	params := Params{Chunks: chunks, OriginRegions: []string{"r"}, ChunkTurn: 10 * time.Millisecond, TakeOver: 200 * time.Millisecond, Quiet: 400 * time.Millisecond, Patient: true}
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
	begin, tried, read := now, 0, 0
	for now.Sub(begin) < outage+3*time.Second {
		for _, s := range swarms {
			p := s.Next(now)
			switch p.Kind {
			case FromOrigin:
				if now.Sub(begin) < outage {
					tried++
					s.Unreachable(p, now)
					continue
				}
				read++
				s.Arrived(p, Knowledge{}, time.Millisecond, now)
			case FromPeer:
				sender := swarms[slices.IndexFunc(swarms, func(o *Swarm) bool { return o.self.Box == p.Peer })]
				useful := sender.held.Difference(s.Wants())
				chunk, ok := useful.NextSet(0)
				if !ok {
					s.Nothing(p, sender.Knows(), now)
					continue
				}
				assert.Assert(t, s.Offered(&p, int(chunk)))
				s.Arrived(p, sender.Knows(), time.Millisecond, now)
			}
		}
		now = now.Add(5 * time.Millisecond)
	}
	assert.Assert(t, tried <= boxes*int(outage/originPause+2), "tried %d times", tried)
	assert.Assert(t, read >= chunks && read <= chunks*5/4, "read %d chunks of %d", read, chunks)
}

// TestPassiveBoxesReadNothingFirst leaves the first reads to boxes that
// answer, unless a region has no such box.
func TestPassiveBoxesReadNothingFirst(t *testing.T) {
	p := params(8, 16)
	for i := range p.Peers {
		p.Peers[i].Passive = p.Peers[i].Region == "A" && i > 0 || p.Peers[i].Region == "B"
	}
	o := NewOrder(p)
	for c := range p.Chunks {
		assert.DeepEqual(t, o.first["A"][c], []string{"b0"})
		assert.Equal(t, len(o.first["B"][c]), 4)
	}
}

// TestOwnTurnsAfterAStandstill lets the origin come back. A box reads its own
// chunks at once as far as the origin is busy with few before them, and each
// other one when those have come; the turns of later ranks are moved.
func TestOwnTurnsAfterAStandstill(t *testing.T) {
	p := params(8, 64)
	p.Patient, p.Quiet = true, 400*time.Millisecond
	window := windowMore + int(newsTime/p.ChunkTurn)
	back := epoch.Add(6 * time.Second)
	for _, come := range []int{0, 10, 64 - window} {
		s := swarm(p, "b0")
		for c := range come {
			s.exists.Set(uint(c))
		}
		read := map[int]bool{}
		for next := s.NextFirst(back); next.Kind != None; next = s.NextFirst(back) {
			assert.Equal(t, next.Kind, FromOrigin)
			rank := slices.Index(NewOrder(p).first["A"][next.Chunk], "b0")
			assert.Equal(t, rank, 0, "chunk %d is another box's for now", next.Chunk)
			read[next.Chunk] = true
			s.Arrived(next, Knowledge{}, time.Millisecond, back)
		}
		own := 0
		for _, turn := range s.turns {
			if turn.rank != 0 || turn.chunk < come {
				continue
			}
			own++
			if turn.chunk < come+window {
				assert.Assert(t, read[turn.chunk], "chunk %d waits", turn.chunk)
			}
			if unseen := turn.chunk - come - len(read); unseen >= window {
				assert.Assert(t, !read[turn.chunk], "chunk %d does not wait", turn.chunk)
			}
		}
		assert.Assert(t, own > 0)
		if come == 64-window {
			assert.Equal(t, len(read), own, "none waits when all before have come")
		}
	}
}

// TestSilentBoxIsPassedOver lets the box of the next rank read at once what a
// box that does not answer should have read, and no other box.
func TestSilentBoxIsPassedOver(t *testing.T) {
	p := params(12, 48)
	p.TakeOver = time.Second
	o := NewOrder(p)
	first := o.first["A"][0][0]
	for rank, box := range o.first["A"][0] {
		if rank == 0 {
			continue
		}
		s := swarm(p, box)
		s.Silent(first, epoch)
		s.Silent(first, epoch) // said twice is said once
		reads := false
		now := epoch.Add(time.Duration(p.Chunks) * p.ChunkTurn)
		for {
			next := s.NextFirst(now)
			if next.Kind == None {
				break
			}
			reads = reads || next.Chunk == 0
			s.Arrived(next, Knowledge{}, time.Millisecond, now)
		}
		assert.Equal(t, reads, rank == 1, "the box of rank %d", rank)
	}
}

// TestPartnersAreFew bounds whom a box asks before it reads: in a large region
// a few boxes a chunk, in a small one all.
func TestPartnersAreFew(t *testing.T) {
	for _, n := range []int{8, 240, 1220} {
		p := params(n, 64)
		o := NewOrder(p)
		asked := 0
		for _, peer := range p.Peers {
			partners := o.Partners(peer.Region, peer.Box)
			assert.Assert(t, !slices.Contains(partners, peer.Box))
			asked += len(partners)
			if n == 8 {
				assert.Equal(t, len(partners), 3, "all others of its region")
			}
		}
		regions := 2
		assert.Assert(t, asked <= regions*p.Chunks*closePartners*(closePartners-1), "%d boxes ask %d", n, asked)
	}
}

// TestUnreachablePeerIsLeftAlone asks a peer that does not answer again only
// after seconds, and one that refuses the connection soon: it has restarted.
func TestUnreachablePeerIsLeftAlone(t *testing.T) {
	p := params(4, 64) // one peer in the own region
	asked := func(report func(*Swarm, Pull, time.Time)) int {
		s := swarm(p, "b0")
		n := 0
		for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
			now := epoch.Add(at)
			pull, ok := s.nearPeer(at)
			if ok {
				n++
				report(s, pull, now)
			}
		}
		return n
	}
	assert.Equal(t, asked((*Swarm).Unreachable), 2)
	assert.Assert(t, asked((*Swarm).Broken) >= 4)
}

// TestLackingChunksAreReadOnceAfterAnOutage lets the origin go away when most
// chunks have come, and come back seconds later: each box of the region asks,
// and what lacks is read about once.
func TestLackingChunksAreReadOnceAfterAnOutage(t *testing.T) {
	const (
		boxes, chunks, had = 24, 64, 51
		outage             = 6 * time.Second
		readTime           = 40 * time.Millisecond // of a chunk, at a time
	)
	p := Params{Chunks: chunks, OriginRegions: []string{"r"}, ChunkTurn: readTime, TakeOver: 900 * time.Millisecond, Quiet: 400 * time.Millisecond, Patient: true}
	for b := range boxes {
		p.Peers = append(p.Peers, Peer{Box: fmt.Sprint("b", b), Region: "r"})
	}
	o := NewOrder(p)
	held := bitset.New(chunks)
	for c := range uint(had) {
		held.Set(c)
	}
	var swarms []*Swarm
	for _, peer := range p.Peers {
		s := NewSwarm(p, o, peer.Box, held, epoch)
		s.lastNew = epoch.Add(had * readTime)
		swarms = append(swarms, s)
	}
	type reading struct {
		by   *Swarm
		pull Pull
	}
	var queue []reading // at the origin, which sends one chunk after the other
	read, sent := 0, time.Duration(0)
	for at := had * readTime; at < outage+4*time.Second; at += 10 * time.Millisecond {
		now := epoch.Add(at)
		if len(queue) > 0 && at >= sent {
			first := queue[0]
			queue = queue[1:]
			first.by.Arrived(first.pull, Knowledge{}, readTime, now)
			sent = at + readTime
		}
		for _, s := range swarms {
			next := s.Next(now)
			switch next.Kind {
			case FromOrigin:
				if at < outage {
					s.Broken(next, now)
					continue
				}
				read++
				queue = append(queue, reading{s, next})
			case FromPeer:
				sender := swarms[slices.IndexFunc(swarms, func(o *Swarm) bool { return o.self.Box == next.Peer })]
				chunk, ok := sender.held.Difference(s.Wants()).NextSet(0)
				if !ok {
					s.Nothing(next, sender.Knows(), now)
					continue
				}
				assert.Assert(t, s.Offered(&next, int(chunk)))
				s.Arrived(next, sender.Knows(), time.Millisecond, now)
			}
		}
	}
	for _, s := range swarms {
		assert.Assert(t, s.Done())
	}
	assert.Assert(t, read <= (chunks-had)*3/2, "%d reads of %d chunks", read, chunks-had)
}

// TestContinuedSwarmKeepsItsTurns reads what is due at once after the list has
// been read again, and does not let later ranks read it, too, after a
// standstill.
func TestContinuedSwarmKeepsItsTurns(t *testing.T) {
	p := params(8, 64)
	p.Patient, p.Quiet = true, 400*time.Millisecond
	o := NewOrder(p)
	const outage = 6 * time.Second
	begun := swarm(p, "b0")
	now := epoch.Add(outage)
	s := NewSwarm(p, o, "b0", begun.held, now)
	s.Continue(begun)
	for c, ranked := range o.first["A"] {
		if ranked[0] != "b0" { // the others have read theirs: no window holds this box up
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
		s.Arrived(next, Knowledge{}, time.Millisecond, now)
	}
	for c, ranked := range o.first["A"] {
		assert.Equal(t, read[c], ranked[0] == "b0", "chunk %d", c)
	}
}

// TestOneCopyCrossesAfterAStandstill lets the far sender go away amid a
// transfer and come back seconds later, when chunks come one by one. A box of a
// later rank leaves each chunk to the first one until all that was lacking
// could have come, and a TakeOver longer.
func TestOneCopyCrossesAfterAStandstill(t *testing.T) {
	const (
		chunks = 64
		had    = 20 // chunks that came before the sender went
		away   = 700 * time.Millisecond
		back   = 6 * time.Second
		every  = 40 * time.Millisecond // a chunk comes from a peer
	)
	p := params(24, chunks)
	p.Patient, p.Quiet = true, 400*time.Millisecond
	o := NewOrder(p)
	until := back + (chunks-had)*p.ChunkTurn + p.TakeOver
	for _, peer := range p.Peers {
		if peer.Region != "B" {
			continue
		}
		s := NewSwarm(p, o, peer.Box, bitset.New(chunks), epoch)
		come := func(chunk int, now time.Time) {
			s.begin(chunk)
			s.Arrived(Pull{Kind: FromPeer, Chunk: chunk}, Knowledge{}, time.Millisecond, now)
		}
		for c := range had {
			come(c, epoch.Add(time.Duration(c)*away/had))
		}
		next := had
		for at := away; at < until; at += every {
			now := epoch.Add(at)
			if at >= back && next < chunks {
				if o.first["B"][next][0] != peer.Box {
					come(next, now)
				}
				next++
			}
			for pull := s.Next(now); pull.Kind != None; pull = s.Next(now) {
				if pull.Kind == FromFar {
					rank := slices.Index(o.first["B"][pull.Chunk], peer.Box)
					assert.Equal(t, rank, 0, "%s asks for chunk %d after %s", peer.Box, pull.Chunk, at)
				}
				if pull.Kind == FromFar && at >= back {
					s.Arrived(pull, Knowledge{}, time.Millisecond, now)
					continue
				}
				s.Busy(pull, 0, now)
			}
		}
	}
}
