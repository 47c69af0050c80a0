// SPDX-License-Identifier: Apache-2.0

// Package linksim is a small fake of links in virtual time: boxes with an
// up and a down rate, an origin with a rate, latencies, and the faults that
// links have. It drives the real decisions of package transfer and gives
// the same figures every run. It models no packets: a transfer gets the
// lesser of its sender's and its receiver's equal shares.
package linksim

import (
	"cmp"
	"container/heap"
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
	Zones   int // in all, spread over the regions
	// Window is the time in which the origin's link carries four copies and
	// a box's link two.
	Window time.Duration
	// OriginRegions is how many regions read from the origin.
	OriginRegions int
	// ExtraCopies from the origin that boxes may share.
	ExtraCopies float64
	// Latencies, one way.
	InZone, InRegion, CrossRegion time.Duration
	// Faults.
	CrashShare   float64 // of the boxes, spread evenly over the transfer
	StallShare   float64 // of the boxes' links, for 0.2 T* each
	CorruptShare float64 // of the chunks
	Seed         uint64
	// Strategy replaces the swarm for the baselines.
	Strategy Strategy
	// Downloads, Slots and Waiting override the defaults of transfer.
	Downloads, Slots, QueueLength int
}

// Strategy is the way that chunks spread.
type Strategy int

// The strategies.
const (
	Swarm Strategy = iota
	OriginOnly
	Chain
	Tree
)

// Result is what a run measured, times as multiples of T*.
type Result struct {
	Boxes              int     `json:"boxes"`
	P50, P95, Max      float64 // to 50%, 95% and all of the living boxes
	OriginCopies       float64
	CrossCopies        float64
	ControlBytesPerBox float64
	Crashes            int
	CorruptChunks      int
	UnverifiedPassed   int
	Unfinished         int
	MaxOriginTransfers int
}

// controlBytes is what one pull costs besides the chunk: request and answer
// heads, and two bitmaps.
func controlBytesPerPull(chunks int) float64 { return 400 + 3*float64(chunks)/8 }

type box struct {
	id            int
	name          string
	region        int
	zone          int
	swarm         *transfer.Swarm
	picker        *transfer.Picker
	queue         *prio.Queue
	transfers     map[*chunkTransfer]bool // both directions
	up, down      int
	crashed       bool
	stalled       bool
	doneAt        time.Duration
	done          bool
	pollScheduled bool
	queued        map[uint64]*pullRequest
	// for the planned strategies
	held      *bitset.BitSet
	children  []int
	nextChunk map[int]int
}

type pullRequest struct {
	from    *box
	to      *box
	pull    transfer.Pull
	id      uint64
	exclude *bitset.BitSet
}

// flight is a chunk on its way.
type chunkTransfer struct {
	from      *box // nil for the origin
	to        *box
	pull      transfer.Pull
	chunk     int
	remaining float64 // share of a chunk still to go
	rate      float64 // chunks a second
	updated   time.Duration
	started   time.Duration
	revision  int
	corrupt   bool
	ended     bool
	stalled   bool
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type sim struct {
	Config
	now               time.Duration
	seq               int
	lastID            uint64
	events            eventQueue
	rng               *rand.Rand
	boxes             []*box
	byName            map[string]*box
	originTransfers   map[*chunkTransfer]bool
	boxRate           float64 // chunks a second
	minTime           time.Duration
	res               Result
	originChunks      float64
	crossRegionChunks float64
	pulls             float64
	running           int
	finished          int
	epoch             time.Time
}

// stopAfter is when a run is stopped, as a multiple of T*.
const stopAfter = 40

// Floor is T* for the configuration.
func (c Config) MinTime() time.Duration {
	u, o, n := 2/c.Window.Seconds(), 4/c.Window.Seconds(), float64(c.Boxes)
	return time.Duration(max(1/u, 1/o, n/(o+n*u)) * float64(time.Second))
}

// Run plays one transfer to its end.
func Run(c Config) Result {
	s := &sim{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 7)), byName: make(map[string]*box), originTransfers: make(map[*chunkTransfer]bool)}
	s.epoch = time.Unix(0, 0)
	s.minTime = c.MinTime()
	s.boxRate = 2 / c.Window.Seconds() * float64(c.Chunks)
	s.res.Boxes = c.Boxes
	s.build()
	s.scheduleFaults()
	for len(s.events) > 0 && s.finished < s.running && s.now < stopAfter*s.minTime {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.result()
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) build() {
	p := transfer.Params{
		Chunks:      s.Chunks,
		ChunkTurn:   time.Duration(s.Window.Seconds() / 4 / float64(s.Chunks) * float64(time.Second)),
		TakeOver:    transfer.TakeOver(s.minTime),
		Downloads:   s.Downloads,
		ExtraOrigin: transfer.ExtraOrigin(s.Chunks, s.Boxes, s.ExtraCopies),
	}
	for r := range s.OriginRegions {
		p.OriginRegions = append(p.OriginRegions, regionName(r))
	}
	for i := range s.Boxes {
		zone := i % s.Zones
		b := &box{id: i, name: boxName(i), zone: zone, region: zone % s.Regions, transfers: make(map[*chunkTransfer]bool), queued: make(map[uint64]*pullRequest), held: bitset.New(uint(s.Chunks))}
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
		b.queue = &prio.Queue{Slots: cmp.Or(s.Slots, transfer.UploadSlots), Waiting: cmp.Or(s.QueueLength, transfer.UploadWaiting)}
		s.schedule(0, func() { s.startPulls(b) })
	}
}

func regionName(r int) string { return string(rune('A' + r)) }
func zoneName(z int) string   { return "zone-" + string(rune('a'+z)) }
func boxName(i int) string {
	return "box-" + string([]byte{byte('0' + i/1000%10), byte('0' + i/100%10), byte('0' + i/10%10), byte('0' + i%10)})
}

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

// ask lets a box start pulls until it has nothing more to start.
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
		r := &pullRequest{from: b, to: s.byName[p.Peer], pull: p, id: s.lastID, exclude: b.swarm.Wants()}
		s.schedule(s.latency(b, r.to), func() { s.receiveRequest(r) })
	}
}

func (s *sim) pullFromOrigin(b *box, p transfer.Pull) {
	s.schedule(2*s.latency(nil, b), func() {
		s.startTransfer(&chunkTransfer{to: b, pull: p, chunk: p.Chunk})
		s.res.MaxOriginTransfers = max(s.res.MaxOriginTransfers, len(s.originTransfers))
	})
}

// asked is a pull reaching its peer.
func (s *sim) receiveRequest(r *pullRequest) {
	if r.to.crashed {
		s.schedule(s.latency(r.from, r.to), func() { s.pullFailed(r.from, r.pull) })
		return
	}
	granted, queued, out := r.to.queue.Admit(prio.Waiter{ID: r.id})
	if out != nil {
		pushed := r.to.queued[out.ID]
		delete(r.to.queued, out.ID)
		s.refuse(pushed)
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

func (s *sim) refuse(r *pullRequest) {
	s.schedule(s.latency(r.from, r.to), func() {
		r.from.swarm.Busy(r.pull, 0, s.time())
		s.startPulls(r.from)
	})
}

// serve picks the chunk for a pull that has got a slot.
func (s *sim) serve(r *pullRequest) {
	known := r.to.swarm.Knows()
	held := known.Held
	chunk := r.pull.Chunk
	if chunk < 0 {
		chunk = r.to.picker.Pick(held, r.exclude)
	} else if !held.Test(uint(chunk)) {
		chunk = -1
	}
	if chunk < 0 {
		s.releaseSlot(r.to)
		s.schedule(s.latency(r.from, r.to), func() {
			r.from.swarm.Nothing(r.pull, known, s.time())
			s.startPulls(r.from)
		})
		return
	}
	s.schedule(s.latency(r.from, r.to), func() { s.receiveOffer(r, chunk) })
}

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

func (s *sim) pullFailed(b *box, p transfer.Pull) {
	if b.crashed {
		return
	}
	b.swarm.Bad(p, s.time())
	s.startPulls(b)
}

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

// launch starts a flight and shares the links anew.
func (s *sim) startTransfer(t *chunkTransfer) {
	t.remaining, t.updated, t.started = 1, s.now, s.now
	t.corrupt = s.rng.Float64() < s.CorruptShare
	t.to.transfers[t] = true
	t.to.down++
	if t.from == nil {
		s.originTransfers[t] = true
	} else {
		t.from.transfers[t] = true
		t.from.up++
	}
	s.updateRates(t.from, t.to)
}

// reshare recomputes the rates of all flights at the given ends.
func (s *sim) updateRates(ends ...*box) {
	for _, b := range ends {
		flights := s.originTransfers
		if b != nil {
			flights = b.transfers
		}
		for _, t := range s.sorted(flights) {
			s.updateRate(t)
		}
	}
}

// ordered makes the walk over a set the same in every run.
func (s *sim) sorted(set map[*chunkTransfer]bool) []*chunkTransfer {
	out := make([]*chunkTransfer, 0, len(set))
	for t := range set {
		out = append(out, t)
	}
	for i := 1; i < len(out); i++ {
		for j := i; j > 0 && less(out[j], out[j-1]); j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

func less(a, b *chunkTransfer) bool {
	if a.to.id != b.to.id {
		return a.to.id < b.to.id
	}
	return a.chunk < b.chunk
}

func (s *sim) updateRate(t *chunkTransfer) {
	t.remaining -= t.rate * (s.now - t.updated).Seconds()
	t.updated = s.now
	t.revision++
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
	gen := t.revision
	if t.rate == 0 {
		s.schedule(s.stallTimeout(t), func() {
			if t.revision == gen && !t.ended {
				t.stalled = true
				s.endTransfer(t, false)
			}
		})
		return
	}
	s.schedule(time.Duration(max(t.remaining, 0)/t.rate*float64(time.Second))+1, func() {
		if t.revision == gen && !t.ended {
			s.endTransfer(t, true)
		}
	})
}

func (s *sim) stallTimeout(t *chunkTransfer) time.Duration {
	if t.to.swarm == nil {
		return time.Hour
	}
	return t.to.swarm.StallLimit()
}

// land ends a flight, whole or not.
func (s *sim) endTransfer(t *chunkTransfer, whole bool) {
	if t.ended {
		return
	}
	t.ended = true
	t.remaining -= t.rate * (s.now - t.updated).Seconds()
	t.rate = 0
	delete(t.to.transfers, t)
	t.to.down--
	s.countBytes(t)
	if t.from == nil {
		delete(s.originTransfers, t)
	} else {
		delete(t.from.transfers, t)
		t.from.up--
		if s.Strategy == Swarm {
			s.releaseSlot(t.from)
		}
	}
	s.updateRates(t.from, t.to)
	s.handleTransferEnd(t, whole)
}

func (s *sim) countBytes(t *chunkTransfer) {
	moved := 1 - max(t.remaining, 0)
	if t.from == nil {
		s.originChunks += moved
	} else if t.from.region != t.to.region {
		s.crossRegionChunks += moved
	}
}

func (s *sim) handleTransferEnd(t *chunkTransfer, whole bool) {
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
	if !whole || t.corrupt {
		if t.corrupt {
			s.res.CorruptChunks++
		}
		b.swarm.Bad(t.pull, s.time())
		s.startPulls(b)
		return
	}
	var known transfer.Knowledge
	if t.from != nil && !t.from.crashed {
		known = t.from.swarm.Knows()
	}
	b.swarm.Arrived(t.pull, known, s.now-t.started, s.time())
	if b.swarm.Done() {
		s.finish(b)
		return
	}
	s.startPulls(b)
}

func (s *sim) finish(b *box) {
	b.done, b.doneAt = true, s.now
	s.finished++
}

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
