// SPDX-License-Identifier: Apache-2.0

package transfer

import (
	"time"

	"github.com/bits-and-blooms/bitset"
)

// Offered says that the peer answers p with the chunk. It returns false when
// the chunk is held or on its way already; the caller then drops the answer
// and calls Drop.
func (s *Swarm) Offered(p *Pull, chunk int) bool {
	if chunk < 0 || chunk >= s.params.Chunks {
		return false
	}
	if p.Kind != FromPeer {
		return p.Chunk == chunk
	}
	c := uint(chunk)
	if s.held.Test(c) || s.flying.Test(c) {
		return false
	}
	s.flying.Set(c)
	p.Chunk = chunk
	return true
}

// Arrived says that the pull brought its chunk, verified, and what the
// sender told along with it; took is how long the chunk was on its way.
func (s *Swarm) Arrived(p Pull, k Knowledge, took time.Duration, now time.Time) {
	s.end(p)
	s.held.Set(uint(p.Chunk))
	s.exists.Set(uint(p.Chunk))
	if s.standsStill(now) {
		s.resumed = now.Sub(s.start) + time.Duration(s.unseen())*s.params.ChunkTurn
	}
	s.lastNew = now
	s.ownStall = false
	s.chunkTime = smooth(s.chunkTime, took)
	if ps := s.byBox[p.Peer]; ps != nil {
		ps.idle, ps.penalty, ps.retry = 0, 0, 0
		s.learn(ps, k)
	}
}

// smooth is an exponentially weighted mean.
func smooth(mean, sample time.Duration) time.Duration {
	const weight = 8
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/weight
}

// StallLimit is how long a pull may go without a byte before it counts as
// stalled: a multiple of what chunks take here lately, so that a slow link
// that moves is let be.
func (s *Swarm) StallLimit() time.Duration {
	if s.chunkTime == 0 {
		return stallMax
	}
	return min(max(stallFactor*s.chunkTime, stallMin), stallMax)
}

// ChunkTime is the smoothed time that a chunk takes, or 0 before the first.
func (s *Swarm) ChunkTime() time.Duration { return s.chunkTime }

// Nothing says that the peer held nothing of use.
func (s *Swarm) Nothing(p Pull, k Knowledge, now time.Time) {
	s.end(p)
	if p.Kind == FromFar {
		s.senderFailed = now
	}
	ps := s.byBox[p.Peer]
	if ps == nil {
		return
	}
	s.learn(ps, k)
	ps.idle = min(max(2*ps.idle, idleRetry), idleRetryMax)
	ps.retry = now.Sub(s.start) + ps.idle
}

// Busy says that the sender refused for now; after is its own word on when
// to come back, or zero.
func (s *Swarm) Busy(p Pull, after time.Duration, now time.Time) {
	s.end(p)
	if ps := s.byBox[p.Peer]; ps != nil {
		ps.retry = now.Sub(s.start) + max(after, idleRetry)
	}
}

// Bad says that the sender answered with something else than the chunk.
func (s *Swarm) Bad(p Pull, now time.Time) { s.blame(p, penaltyMin, now) }

// Broken says that the sender refused or broke the connection; the origin,
// too, is then left alone for a while.
func (s *Swarm) Broken(p Pull, now time.Time) {
	s.pauseOrigin(p, now)
	s.blame(p, penaltyMin, now)
}

// Unreachable says that the sender did not answer at all. A peer behind a
// narrow or cut link takes a pull's whole time-out each time it is asked, so it
// is left alone for longer than one that refuses.
func (s *Swarm) Unreachable(p Pull, now time.Time) {
	s.pauseOrigin(p, now)
	s.blame(p, stallPenalty, now)
}

func (s *Swarm) pauseOrigin(p Pull, now time.Time) {
	if p.Kind == FromOrigin {
		s.originRetry = now.Add(originPause)
		s.senderFailed = now
	}
}

// blame leaves a peer alone, for at least a while, doubling.
func (s *Swarm) blame(p Pull, least time.Duration, now time.Time) {
	s.end(p)
	ps := s.byBox[p.Peer]
	if ps == nil {
		return
	}
	ps.penalty = min(max(2*ps.penalty, least), penaltyMax)
	ps.retry = now.Sub(s.start) + ps.penalty
}

// Stalled says that the pull went without a byte for StallLimit. Where
// chunks arrived from others meanwhile, the peer is to blame; otherwise this
// box's own link is, and nobody is left alone for it.
func (s *Swarm) Stalled(p Pull, now time.Time) {
	if now.Sub(s.lastNew) < s.StallLimit() {
		s.blame(p, stallPenalty, now)
		return
	}
	s.ownStall = true
	s.end(p)
	if ps := s.byBox[p.Peer]; ps != nil {
		ps.retry = now.Sub(s.start) + idleRetryMax
	}
}

// Drop says that an answer to p was not taken.
func (s *Swarm) Drop(p Pull) { s.end(p) }

// Gone says that a box has left the plan's boxes for good.
func (s *Swarm) Gone(box string) {
	if ps := s.byBox[box]; ps != nil {
		ps.retry = time.Duration(1<<62 - 1)
	}
}

// Known says that a box holds these chunks.
func (s *Swarm) Known(box string, k Knowledge) {
	if ps := s.byBox[box]; ps != nil {
		s.learn(ps, k)
	}
}

func (s *Swarm) learn(ps *peerState, k Knowledge) {
	if !s.fits(k.Held) {
		return
	}
	ps.held.InPlaceUnion(k.Held)
	if ps.Region != s.self.Region {
		return
	}
	s.exists.InPlaceUnion(k.Held)
	if s.fits(k.Exists) {
		s.exists.InPlaceUnion(k.Exists)
	}
}

func (s *Swarm) fits(b *bitset.BitSet) bool {
	return b != nil && b.Len() == uint(s.params.Chunks)
}

func (s *Swarm) end(p Pull) {
	s.pulls--
	if p.Kind != FromPeer {
		s.origin--
	}
	if p.Chunk >= 0 {
		s.flying.Clear(uint(p.Chunk))
	}
	if ps := s.byBox[p.Peer]; ps != nil {
		ps.pulling = false
	}
}
