// SPDX-License-Identifier: Apache-2.0

package transfer

import (
	"time"

	"github.com/bits-and-blooms/bitset"
)

// Offered records that the response to p contains the given chunk, and reports whether
// to accept the response. For a pull FromPeer it sets p.Chunk, and returns false if the
// chunk is held or in flight already. For other pulls it returns false if the chunk is
// not p.Chunk. If it returns false, the caller discards the response and calls Drop.
func (s *Swarm) Offered(p *Pull, chunk int) bool {
	if chunk < 0 || chunk >= s.params.Chunks {
		return false
	}
	if p.Kind != FromPeer {
		return p.Chunk == chunk
	}
	c := uint(chunk)
	if s.held.Test(c) || s.inFlight.Test(c) {
		return false
	}
	s.inFlight.Set(c)
	p.Chunk = chunk
	return true
}

// Arrived ends a pull whose chunk has been received and verified. a is the sender's
// availability, and elapsed the duration of the chunk's transfer.
func (s *Swarm) Arrived(p Pull, a Availability, elapsed time.Duration, now time.Time) {
	s.endPull(p)
	s.held.Set(uint(p.Chunk))
	s.exists.Set(uint(p.Chunk))
	if s.takeOverPaused(now) {
		s.catchUpAt = now.Sub(s.start) + time.Duration(s.missingInRegion())*s.params.ChunkInterval
		s.endIdleBackoffs()
	}
	s.lastArrival = now
	s.localStall = false
	s.chunkTime = ewma(s.chunkTime, elapsed)
	if ps := s.byBox[p.Peer]; ps != nil {
		ps.idleBackoff, ps.penalty, ps.retryAt = 0, 0, 0
		s.mergeAvailability(ps, a)
	}
}

// endIdleBackoffs allows queries of all boxes that are backed off only because they had
// no useful chunk. The first chunk after an outage shows that they may have one now.
func (s *Swarm) endIdleBackoffs() {
	for _, ps := range s.byBox {
		if ps.penalty == 0 && ps.idleBackoff > 0 {
			ps.idleBackoff, ps.retryAt = 0, 0
		}
	}
}

// ewma returns the exponentially weighted moving average mean after another sample. A
// mean of zero means that there is no sample yet.
func ewma(mean, sample time.Duration) time.Duration {
	const weight = 8
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/weight
}

// StallTimeout returns how long a pull may receive no byte before it counts
// as stalled. It is a multiple of the smoothed chunk time, so that a slow link
// that makes progress is not treated as stalled.
func (s *Swarm) StallTimeout() time.Duration {
	if s.chunkTime == 0 {
		return stallTimeoutMax
	}
	return min(max(stallFactor*s.chunkTime, stallTimeoutMin), stallTimeoutMax)
}

// ChunkTime returns the smoothed duration of a chunk's transfer, or 0 before
// the first chunk.
func (s *Swarm) ChunkTime() time.Duration { return s.chunkTime }

// NoUsefulChunk ends a pull whose peer does not hold the requested chunk or, of a pull
// for any chunk, holds none that this box lacks. a is the peer's availability. The peer
// is queried again after an exponential backoff.
func (s *Swarm) NoUsefulChunk(p Pull, a Availability, now time.Time) {
	s.endPull(p)
	s.lastRefusal = now
	if p.Kind == FromRemoteRegion {
		s.lastSenderFailure = now
	}
	ps := s.byBox[p.Peer]
	if ps == nil {
		return
	}
	s.mergeAvailability(ps, a)
	ps.idleBackoff = min(max(2*ps.idleBackoff, idleBackoffMin), idleBackoffMax)
	ps.retryAt = now.Sub(s.start) + ps.idleBackoff
}

// Busy ends a pull that the sender refused because of its load. retryAfter is the delay
// that the sender requested before the next pull, or zero.
func (s *Swarm) Busy(p Pull, retryAfter time.Duration, now time.Time) {
	s.endPull(p)
	if ps := s.byBox[p.Peer]; ps != nil {
		ps.retryAt = now.Sub(s.start) + max(retryAfter, idleBackoffMin)
	}
}

// InvalidChunk ends a pull that did not return the expected chunk, and backs off the
// peer.
func (s *Swarm) InvalidChunk(p Pull, now time.Time) { s.penalize(p, penaltyMin, now) }

// ConnectionFailed ends a pull whose connection was refused or broken. It
// applies a backoff to the sender, which may be the origin.
func (s *Swarm) ConnectionFailed(p Pull, now time.Time) {
	s.backOffOrigin(p, now)
	s.penalize(p, penaltyMin, now)
}

// Unresponsive ends a pull that timed out without a response. Each further pull from
// such a sender may take the whole timeout again, so the backoff is longer than after a
// refused connection.
func (s *Swarm) Unresponsive(p Pull, now time.Time) {
	s.backOffOrigin(p, now)
	s.penalize(p, stallPenalty, now)
}

// backOffOrigin delays the next read from the origin if p was a read from the origin.
func (s *Swarm) backOffOrigin(p Pull, now time.Time) {
	if p.Kind == FromOrigin {
		s.originRetry = now.Add(originBackoff)
		s.lastSenderFailure = now
	}
}

// penalize ends p and backs off its peer. The backoff doubles with each failure; it is
// at least minimum and at most penaltyMax.
func (s *Swarm) penalize(p Pull, minimum time.Duration, now time.Time) {
	s.endPull(p)
	ps := s.byBox[p.Peer]
	if ps == nil {
		return
	}
	ps.penalty = min(max(2*ps.penalty, minimum), penaltyMax)
	ps.retryAt = now.Sub(s.start) + ps.penalty
}

// Stalled ends a pull that received no byte for StallTimeout. If another chunk has
// arrived in that time, the peer is backed off like after a failure. Otherwise this
// box's own link is presumed to be stalled.
func (s *Swarm) Stalled(p Pull, now time.Time) {
	if now.Sub(s.lastArrival) < s.StallTimeout() {
		s.penalize(p, stallPenalty, now)
		return
	}
	s.localStall = true
	s.endPull(p)
	if ps := s.byBox[p.Peer]; ps != nil {
		ps.retryAt = now.Sub(s.start) + idleBackoffMax
	}
}

// Drop ends a pull that was cancelled, or whose response was discarded after Offered
// returned false.
func (s *Swarm) Drop(p Pull) { s.endPull(p) }

// RemovePeer excludes a box that has left the plan from all further pulls.
func (s *Swarm) RemovePeer(box string) {
	if ps := s.byBox[box]; ps != nil {
		ps.retryAt = time.Duration(1<<62 - 1)
	}
}

// AddAvailability records which chunks a box has reported to hold and which its region.
func (s *Swarm) AddAvailability(box string, a Availability) {
	if ps := s.byBox[box]; ps != nil {
		s.mergeAvailability(ps, a)
	}
}

// mergeAvailability adds the chunks of a to the chunks that ps is known to hold. If ps
// is in the same region, it also adds them to the chunks that the region is known to
// hold. Bitmaps that are missing or of the wrong length are ignored.
func (s *Swarm) mergeAvailability(ps *peerState, a Availability) {
	if !s.validBitmap(a.Held) {
		return
	}
	ps.held.InPlaceUnion(a.Held)
	if ps.Region != s.self.Region {
		return
	}
	s.exists.InPlaceUnion(a.Held)
	if s.validBitmap(a.Exists) {
		s.exists.InPlaceUnion(a.Exists)
	}
}

// validBitmap reports whether b is set and has one bit for each chunk.
func (s *Swarm) validBitmap(b *bitset.BitSet) bool {
	return b != nil && b.Len() == uint(s.params.Chunks)
}

// endPull removes a pull that has ended from the counters and bitmaps of pulls in
// flight.
func (s *Swarm) endPull(p Pull) {
	s.pulls--
	if p.Kind != FromPeer {
		s.firstFetches--
	}
	if p.Chunk >= 0 {
		s.inFlight.Clear(uint(p.Chunk))
	}
	if ps := s.byBox[p.Peer]; ps != nil {
		ps.pulling = false
	}
}
