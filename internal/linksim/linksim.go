// SPDX-License-Identifier: Apache-2.0

// Package linksim is a deterministic discrete-event simulation of the transfer
// of a version to many boxes. It models upload and download rates of boxes, the
// rate of the origin, latencies, crashes, stalled links and corrupt chunks, and
// runs the real decisions of package transfer. It does not model packets: a
// transfer's rate is the lesser of its equal shares of the sender's and the
// receiver's links.
//
// Times are given as multiples of T*, the least time in which all boxes can
// receive all chunks at the given link rates.
package linksim

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/bits-and-blooms/bitset"

	"github.com/mintlift/mintlift/prio"
	"github.com/mintlift/mintlift/transfer"
)

// Config describes one run.
type Config struct {
	Boxes   int
	Chunks  int
	Regions int
	Zones   int // total over all regions
	// Window sets the link rates: in this time the origin's link carries four
	// copies of the version and a box's link carries two.
	Window time.Duration
	// OriginRegions is the number of regions that read from the origin.
	OriginRegions int
	// ExtraCopies is the number of additional copies that all boxes together
	// may read from the origin.
	ExtraCopies float64
	// One-way latencies within a zone, within a region and between regions.
	InZone, InRegion, CrossRegion time.Duration
	// CrashShare is the share of boxes that crash, at times spread evenly
	// over T*.
	CrashShare float64
	// StallShare is the share of boxes whose links stall, for 0.2 T* each.
	StallShare float64
	// CorruptShare is the probability that a transferred chunk is corrupt.
	CorruptShare float64
	Seed         uint64
	// Strategy is Swarm or one of the baselines.
	Strategy Strategy
	// Limits of package transfer per box: concurrent downloads, concurrent
	// uploads (slots) and the length of the upload queue. 0 means the default.
	Downloads, Slots, QueueLength int
}

// Strategy determines which box receives which chunk from whom.
type Strategy int

const (
	// Swarm uses package transfer.
	Swarm Strategy = iota
	// OriginOnly sends all chunks from the origin to each box.
	OriginOnly
	// Chain sends all chunks from each box to the next one.
	Chain
	// Tree sends all chunks along a binary tree.
	Tree
)

// Result holds the measurements of a run. Copies are multiples of the
// version's size.
type Result struct {
	Boxes int `json:"boxes"`
	// Times until 50%, 95% and all of the boxes that did not crash have all
	// chunks, as multiples of T*.
	P50, P95, Max      float64
	OriginCopies       float64
	CrossCopies        float64 // transferred between regions
	ControlBytesPerBox float64 // see controlBytesPerPull
	Crashes            int
	CorruptChunks      int
	UnverifiedPassed   int // always 0: no run sets it
	Unfinished         int // boxes that neither crashed nor received all chunks
	MaxOriginTransfers int // concurrent transfers from the origin
}

// controlBytesPerPull returns the bytes of a pull besides the chunk: request
// and response headers, and bitmaps.
func controlBytesPerPull(chunks int) float64 { return 400 + 3*float64(chunks)/8 }

// box is the state of a simulated box.
type box struct {
	id            int
	name          string
	region        int
	zone          int
	swarm         *transfer.Swarm
	picker        *transfer.Picker
	queue         *prio.Queue
	transfers     transferSet // in both directions
	up, down      int         // number of transfers in each direction
	crashed       bool
	stalled       bool
	doneAt        time.Duration
	done          bool                    // holds all chunks, since doneAt
	pollScheduled bool                    // a call of startPulls is scheduled
	queued        map[uint64]*pullRequest // waiting for an upload slot, by ID
	held          *bitset.BitSet          // chunks
	// Only for the baselines: the boxes that this box sends to, and the next
	// chunk to send to each of them.
	children  []int
	nextChunk map[int]int
}

// pullRequest is a request from a box to its peer for a chunk.
type pullRequest struct {
	from    *box // receives the chunk
	to      *box // sends it
	pull    transfer.Pull
	id      uint64         // of the request in the peer's upload queue
	exclude *bitset.BitSet // chunks that from holds or is receiving
}

// chunkTransfer is a transfer of one chunk.
type chunkTransfer struct {
	from      *box // nil for the origin
	to        *box
	pull      transfer.Pull
	chunk     int
	remaining float64 // share of the chunk, as of updated
	rate      float64 // chunks per second
	updated   time.Duration
	started   time.Duration
	end       *event // its end or its stall timeout at the current rate
	corrupt   bool
	ended     bool
	stalled   bool
}

// sim is the state of a run.
type sim struct {
	Config
	now               time.Duration // virtual, since the start
	seq               int
	lastID            uint64
	events            eventQueue
	rng               *rand.Rand
	boxes             []*box
	byName            map[string]*box
	originTransfers   transferSet
	boxRate           float64       // of a box's link in each direction, in chunks per second
	minTime           time.Duration // T*
	res               Result
	originChunks      float64
	crossRegionChunks float64
	pulls             float64
	running           int // boxes that have not crashed
	finished          int // running boxes that have all chunks
	epoch             time.Time
}

// stopAfter is the maximum duration of a run as a multiple of T*.
const stopAfter = 40

// MinTime returns T* for the configuration.
func (c Config) MinTime() time.Duration {
	// Copies per second of a box's link and of the origin's.
	boxRate, originRate, n := 2/c.Window.Seconds(), 4/c.Window.Seconds(), float64(c.Boxes)
	return time.Duration(max(1/boxRate, 1/originRate, n/(originRate+n*boxRate)) * float64(time.Second))
}

// Run simulates one transfer until all boxes that have not crashed hold all
// chunks, at most for stopAfter.
func Run(c Config) Result {
	s := &sim{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 7)), byName: make(map[string]*box)}
	s.epoch = time.Unix(0, 0)
	s.minTime = c.MinTime()
	s.boxRate = 2 / c.Window.Seconds() * float64(c.Chunks)
	s.res.Boxes = c.Boxes
	s.build()
	s.scheduleFaults()
	for len(s.events) > 0 && s.finished < s.running && s.now < stopAfter*s.minTime {
		at, run := s.events.pop()
		s.now = at
		run()
	}
	return s.result()
}

// schedule runs a function after virtual time d.
func (s *sim) schedule(d time.Duration, run func()) { s.reschedule(&event{index: unscheduled}, d, run) }

// reschedule schedules an event after virtual time d, in place of its previous
// schedule, if any.
func (s *sim) reschedule(e *event, d time.Duration, run func()) {
	s.seq++
	e.run = run
	s.events.set(e, s.now+d, s.seq)
}

// build creates the boxes and schedules their first events.
func (s *sim) build() {
	p := transfer.Params{
		Chunks:        s.Chunks,
		ChunkInterval: time.Duration(s.Window.Seconds() / 4 / float64(s.Chunks) * float64(time.Second)),
		TakeOverDelay: transfer.TakeOverDelay(s.minTime),
		Downloads:     s.Downloads,
		ExtraOrigin:   transfer.ExtraOrigin(s.Chunks, s.Boxes, s.ExtraCopies),
	}
	for r := range s.OriginRegions {
		p.OriginRegions = append(p.OriginRegions, regionName(r))
	}
	for i := range s.Boxes {
		zone := i % s.Zones
		b := &box{id: i, name: boxName(i), zone: zone, region: zone % s.Regions, queued: make(map[uint64]*pullRequest), held: bitset.New(uint(s.Chunks))}
		s.boxes = append(s.boxes, b)
		s.byName[b.name] = b
		p.Peers = append(p.Peers, transfer.Peer{Box: b.name, Region: regionName(b.region), Zone: zoneName(zone)})
	}
	s.running = s.Boxes
	if s.Strategy != Swarm {
		s.startPlanned()
		return
	}
	o := transfer.NewOrder(p)
	for _, b := range s.boxes {
		b.swarm = transfer.NewSwarm(p, o, b.name, b.held, s.epoch)
		b.picker = transfer.NewPicker(s.Chunks, uint64(b.id))
		b.queue = &prio.Queue{Slots: cmp.Or(s.Slots, transfer.UploadSlots), MaxWaiting: cmp.Or(s.QueueLength, transfer.UploadQueueLength)}
		s.schedule(0, func() { s.startPulls(b) })
	}
}

func regionName(r int) string { return string(rune('A' + r)) }
func zoneName(z int) string   { return "zone-" + string(rune('a'+z)) }
func boxName(i int) string {
	return "box-" + string([]byte{byte('0' + i/1000%10), byte('0' + i/100%10), byte('0' + i/10%10), byte('0' + i%10)})
}

// latency returns the one-way latency between two boxes; nil is the origin.
func (s *sim) latency(a, b *box) time.Duration {
	switch {
	case a == nil || b == nil || a.region != b.region:
		return s.CrossRegion
	case a.zone != b.zone:
		return s.InRegion
	default:
		return s.InZone
	}
}

func (s *sim) time() time.Time { return s.epoch.Add(s.now) }

// startPulls starts pulls of a box until package transfer has no further pull
// for it, and then schedules the next attempt.
func (s *sim) startPulls(b *box) {
	for !b.crashed && !b.done {
		p := b.swarm.Next(s.time())
		if p.Kind == transfer.None {
			if !b.pollScheduled {
				b.pollScheduled = true
				s.schedule(p.Wait, func() { b.pollScheduled = false; s.startPulls(b) })
			}
			return
		}
		s.pulls++
		if p.Kind == transfer.FromOrigin {
			s.pullFromOrigin(b, p)
			continue
		}
		s.lastID++
		r := &pullRequest{from: b, to: s.byName[p.Peer], pull: p, id: s.lastID, exclude: b.swarm.HeldOrInFlight()}
		s.schedule(s.latency(b, r.to), func() { s.receiveRequest(r) })
	}
}

// pullFromOrigin starts the transfer of a chunk from the origin to a box, after one
// round trip.
func (s *sim) pullFromOrigin(b *box, p transfer.Pull) {
	s.schedule(2*s.latency(nil, b), func() {
		s.startTransfer(&chunkTransfer{to: b, pull: p, chunk: p.Chunk})
		s.res.MaxOriginTransfers = max(s.res.MaxOriginTransfers, len(s.originTransfers))
	})
}

// receiveRequest handles a pull request that has reached its peer.
func (s *sim) receiveRequest(r *pullRequest) {
	if r.to.crashed {
		s.schedule(s.latency(r.from, r.to), func() { s.pullFailed(r.from, r.pull) })
		return
	}
	granted, queued, evicted := r.to.queue.Admit(prio.Waiter{ID: r.id})
	if evicted != nil {
		request := r.to.queued[evicted.ID]
		delete(r.to.queued, evicted.ID)
		s.refuse(request)
	}
	switch {
	case granted:
		s.serve(r)
	case queued:
		r.to.queued[r.id] = r
	default:
		s.refuse(r)
	}
}

// refuse responds to a pull request that the peer is busy.
func (s *sim) refuse(r *pullRequest) {
	s.schedule(s.latency(r.from, r.to), func() {
		r.from.swarm.Busy(r.pull, 0, s.time())
		s.startPulls(r.from)
	})
}

// serve selects the chunk for a pull request that has been granted a slot.
func (s *sim) serve(r *pullRequest) {
	available := r.to.swarm.Availability()
	held := available.Held
	chunk := r.pull.Chunk
	if chunk < 0 {
		chunk = r.to.picker.Pick(held, r.exclude)
	} else if !held.Test(uint(chunk)) {
		chunk = -1
	}
	if chunk < 0 {
		s.releaseSlot(r.to)
		s.schedule(s.latency(r.from, r.to), func() {
			r.from.swarm.NoUsefulChunk(r.pull, available, s.time())
			s.startPulls(r.from)
		})
		return
	}
	s.schedule(s.latency(r.from, r.to), func() { s.receiveOffer(r, chunk) })
}

// receiveOffer handles a response with a chunk. The requesting box accepts the
// chunk, or drops it if it holds or is receiving the chunk from elsewhere.
func (s *sim) receiveOffer(r *pullRequest, chunk int) {
	if r.from.crashed || r.to.crashed {
		s.pullFailed(r.from, r.pull)
		return
	}
	p := r.pull
	if !r.from.swarm.Offered(&p, chunk) {
		r.from.swarm.Drop(p)
		s.schedule(s.latency(r.from, r.to), func() { s.releaseSlot(r.to) })
		s.startPulls(r.from)
		return
	}
	s.startTransfer(&chunkTransfer{from: r.to, to: r.from, pull: p, chunk: chunk})
}

// pullFailed handles a failed pull of box b from a peer that has crashed.
func (s *sim) pullFailed(b *box, p transfer.Pull) {
	if b.crashed {
		return
	}
	b.swarm.InvalidChunk(p, s.time())
	s.startPulls(b)
}

// releaseSlot releases an upload slot of a box and serves the next request in
// its queue.
func (s *sim) releaseSlot(b *box) {
	if b.crashed {
		return
	}
	w, ok := b.queue.Release("")
	if !ok {
		return
	}
	r := b.queued[w.ID]
	delete(b.queued, w.ID)
	s.serve(r)
}

// startTransfer starts a transfer and updates the rates of the transfers that
// share a link with it.
func (s *sim) startTransfer(t *chunkTransfer) {
	t.remaining, t.updated, t.started = 1, s.now, s.now
	t.corrupt = s.rng.Float64() < s.CorruptShare
	t.end = &event{index: unscheduled}
	t.to.transfers.add(t)
	t.to.down++
	if t.from == nil {
		s.originTransfers.add(t)
	} else {
		t.from.transfers.add(t)
		t.from.up++
	}
	s.updateRates(t.from, t.to)
}

// updateRates recomputes the rates of all transfers of the given boxes; nil is
// the origin.
func (s *sim) updateRates(boxes ...*box) {
	for _, b := range boxes {
		transfers := s.originTransfers
		if b != nil {
			transfers = b.transfers
		}
		for _, t := range transfers {
			s.updateRate(t)
		}
	}
}

// updateRate accounts for the progress of a transfer at its old rate and
// computes the new rate. It schedules the transfer's end, or its stall timeout
// if the new rate is 0.
func (s *sim) updateRate(t *chunkTransfer) {
	t.remaining -= t.rate * (s.now - t.updated).Seconds()
	t.updated = s.now
	t.rate = s.boxRate / float64(t.to.down)
	switch {
	case t.from == nil:
		t.rate = min(t.rate, 2*s.boxRate/float64(len(s.originTransfers)))
	default:
		t.rate = min(t.rate, s.boxRate/float64(t.from.up))
	}
	if t.to.stalled || t.from != nil && t.from.stalled {
		t.rate = 0
	}
	if t.rate == 0 {
		s.reschedule(t.end, s.stallTimeout(t), func() {
			t.stalled = true
			s.endTransfer(t, false)
		})
		return
	}
	left := time.Duration(max(t.remaining, 0)/t.rate*float64(time.Second)) + 1
	s.reschedule(t.end, left, func() { s.endTransfer(t, true) })
}

// stallTimeout returns the stall timeout of the receiver, or an hour for the
// baselines.
func (s *sim) stallTimeout(t *chunkTransfer) time.Duration {
	if t.to.swarm == nil {
		return time.Hour
	}
	return t.to.swarm.StallTimeout()
}

// endTransfer ends a transfer, complete or not, and updates the rates of the
// transfers that shared a link with it.
func (s *sim) endTransfer(t *chunkTransfer, complete bool) {
	if t.ended {
		return
	}
	t.ended = true
	s.events.remove(t.end)
	t.remaining -= t.rate * (s.now - t.updated).Seconds()
	t.rate = 0
	t.to.transfers.remove(t)
	t.to.down--
	s.countBytes(t)
	if t.from == nil {
		s.originTransfers.remove(t)
	} else {
		t.from.transfers.remove(t)
		t.from.up--
		if s.Strategy == Swarm {
			s.releaseSlot(t.from)
		}
	}
	s.updateRates(t.from, t.to)
	s.handleTransferEnd(t, complete)
}

// countBytes adds the transferred share of a chunk to the totals.
func (s *sim) countBytes(t *chunkTransfer) {
	transferred := 1 - max(t.remaining, 0)
	if t.from == nil {
		s.originChunks += transferred
	} else if t.from.region != t.to.region {
		s.crossRegionChunks += transferred
	}
}

// handleTransferEnd reports the result of a transfer to the receiver and
// starts its next pulls.
func (s *sim) handleTransferEnd(t *chunkTransfer, complete bool) {
	b := t.to
	if b.crashed {
		return
	}
	if s.Strategy != Swarm {
		s.handlePlannedEnd(t)
		return
	}
	if t.stalled {
		b.swarm.Stalled(t.pull, s.time())
		s.startPulls(b)
		return
	}
	if !complete || t.corrupt {
		if t.corrupt {
			s.res.CorruptChunks++
		}
		b.swarm.InvalidChunk(t.pull, s.time())
		s.startPulls(b)
		return
	}
	var available transfer.Availability
	if t.from != nil && !t.from.crashed {
		available = t.from.swarm.Availability()
	}
	b.swarm.Arrived(t.pull, available, s.now-t.started, s.time())
	if b.swarm.Done() {
		s.finish(b)
		return
	}
	s.startPulls(b)
}

// finish records that a box has all chunks.
func (s *sim) finish(b *box) {
	b.done, b.doneAt = true, s.now
	s.finished++
}

// result computes the measurements at the end of a run.
func (s *sim) result() Result {
	var times []time.Duration
	for _, b := range s.boxes {
		if b.crashed {
			continue
		}
		if !b.done {
			s.res.Unfinished++
			continue
		}
		times = append(times, b.doneAt)
	}
	s.res.P50 = relativeQuantile(times, 0.5, s.minTime)
	s.res.P95 = relativeQuantile(times, 0.95, s.minTime)
	s.res.Max = relativeQuantile(times, 1, s.minTime)
	s.res.OriginCopies = s.originChunks / float64(s.Chunks)
	s.res.CrossCopies = s.crossRegionChunks / float64(s.Chunks)
	s.res.ControlBytesPerBox = s.pulls * controlBytesPerPull(s.Chunks) / float64(s.Boxes)
	return s.res
}
