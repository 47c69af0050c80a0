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
	DeathShare   float64 // of the boxes, spread evenly over the transfer
	StallShare   float64 // of the boxes' links, for 0.2 T* each
	CorruptShare float64 // of the chunks
	Seed         uint64
	// Strategy replaces the swarm for the baselines.
	Strategy Strategy
	// Downloads, Slots and Waiting override the defaults of transfer.
	Downloads, Slots, Waiting int
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
	Boxes             int     `json:"boxes"`
	Half, Most, All   float64 // to 50%, 95% and all of the living boxes
	OriginCopies      float64
	CrossCopies       float64
	ControlBytesABox  float64
	Deaths            int
	CorruptChunks     int
	UnverifiedPassed  int
	Unfinished        int
	MaxOriginTogether int
}

// controlBytes is what one pull costs besides the chunk: request and answer
// heads, and two bitmaps.
func controlBytes(chunks int) float64 { return 400 + 3*float64(chunks)/8 }

type box struct {
	id       int
	name     string
	region   int
	zone     int
	swarm    *transfer.Swarm
	picker   *transfer.Picker
	queue    *prio.Queue
	active   map[*flight]bool // both directions
	up, down int
	dead     bool
	stalled  bool
	doneAt   time.Duration
	done     bool
	asking   bool
	waiting  map[uint64]*request
	// for the planned strategies
	held     *bitset.BitSet
	children []int
	next     map[int]int
}

type request struct {
	from *box
	to   *box
	pull transfer.Pull
	id   uint64
	has  *bitset.BitSet
}

// flight is a chunk on its way.
type flight struct {
	from    *box // nil for the origin
	to      *box
	pull    transfer.Pull
	chunk   int
	left    float64 // share of a chunk still to go
	rate    float64 // chunks a second
	at      time.Duration
	began   time.Duration
	gen     int
	corrupt bool
	over    bool
	stalled bool
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type sim struct {
	Config
	now       time.Duration
	seq       int
	ids       uint64
	queue     events
	rng       *rand.Rand
	boxes     []*box
	byName    map[string]*box
	origin    map[*flight]bool
	boxRate   float64 // chunks a second
	floor     time.Duration
	res       Result
	originSum float64
	crossSum  float64
	pulls     float64
	living    int
	finished  int
	epoch     time.Time
}

// stopAfter is when a run is stopped, as a multiple of T*.
const stopAfter = 40

// Floor is T* for the configuration.
func (c Config) Floor() time.Duration {
	u, o, n := 2/c.Window.Seconds(), 4/c.Window.Seconds(), float64(c.Boxes)
	return time.Duration(max(1/u, 1/o, n/(o+n*u)) * float64(time.Second))
}

// Run plays one transfer to its end.
func Run(c Config) Result {
	s := &sim{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 7)), byName: make(map[string]*box), origin: make(map[*flight]bool)}
	s.epoch = time.Unix(0, 0)
	s.floor = c.Floor()
	s.boxRate = 2 / c.Window.Seconds() * float64(c.Chunks)
	s.res.Boxes = c.Boxes
	s.build()
	s.scheduleFaults()
	for len(s.queue) > 0 && s.finished < s.living && s.now < stopAfter*s.floor {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.result()
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) build() {
	p := transfer.Params{
		Chunks:        s.Chunks,
		ChunkInterval: time.Duration(s.Window.Seconds() / 4 / float64(s.Chunks) * float64(time.Second)),
		TakeOverDelay: transfer.TakeOverDelay(s.floor),
		Downloads:     s.Downloads,
		ExtraOrigin:   transfer.ExtraOrigin(s.Chunks, s.Boxes, s.ExtraCopies),
	}
	for r := range s.OriginRegions {
		p.OriginRegions = append(p.OriginRegions, regionName(r))
	}
	for i := range s.Boxes {
		zone := i % s.Zones
		b := &box{id: i, name: boxName(i), zone: zone, region: zone % s.Regions, active: make(map[*flight]bool), waiting: make(map[uint64]*request), held: bitset.New(uint(s.Chunks))}
		s.boxes = append(s.boxes, b)
		s.byName[b.name] = b
		p.Peers = append(p.Peers, transfer.Peer{Box: b.name, Region: regionName(b.region), Zone: zoneName(zone)})
	}
	s.living = s.Boxes
	if s.Strategy != Swarm {
		s.planned()
		return
	}
	o := transfer.NewOrder(p)
	for _, b := range s.boxes {
		b.swarm = transfer.NewSwarm(p, o, b.name, b.held, s.epoch)
		b.picker = transfer.NewPicker(s.Chunks, uint64(b.id))
		b.queue = &prio.Queue{Slots: cmp.Or(s.Slots, transfer.UploadSlots), MaxWaiting: cmp.Or(s.Waiting, transfer.UploadQueueLength)}
		s.after(0, func() { s.ask(b) })
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

func (s *sim) clock() time.Time { return s.epoch.Add(s.now) }

// ask lets a box start pulls until it has nothing more to start.
func (s *sim) ask(b *box) {
	for !b.dead && !b.done {
		p := b.swarm.Next(s.clock())
		if p.Kind == transfer.None {
			if !b.asking {
				b.asking = true
				s.after(p.Wait, func() { b.asking = false; s.ask(b) })
			}
			return
		}
		s.pulls++
		if p.Kind == transfer.FromOrigin {
			s.fromOrigin(b, p)
			continue
		}
		s.ids++
		r := &request{from: b, to: s.byName[p.Peer], pull: p, id: s.ids, has: b.swarm.HeldOrInFlight()}
		s.after(s.latency(b, r.to), func() { s.asked(r) })
	}
}

func (s *sim) fromOrigin(b *box, p transfer.Pull) {
	s.after(2*s.latency(nil, b), func() {
		s.launch(&flight{to: b, pull: p, chunk: p.Chunk})
		s.res.MaxOriginTogether = max(s.res.MaxOriginTogether, len(s.origin))
	})
}

// asked is a pull reaching its peer.
func (s *sim) asked(r *request) {
	if r.to.dead {
		s.after(s.latency(r.from, r.to), func() { s.failed(r.from, r.pull) })
		return
	}
	granted, queued, out := r.to.queue.Admit(prio.Waiter{ID: r.id})
	if out != nil {
		pushed := r.to.waiting[out.ID]
		delete(r.to.waiting, out.ID)
		s.refuse(pushed)
	}
	switch {
	case granted:
		s.serve(r)
	case queued:
		r.to.waiting[r.id] = r
	default:
		s.refuse(r)
	}
}

func (s *sim) refuse(r *request) {
	s.after(s.latency(r.from, r.to), func() {
		r.from.swarm.Busy(r.pull, 0, s.clock())
		s.ask(r.from)
	})
}

// serve picks the chunk for a pull that has got a slot.
func (s *sim) serve(r *request) {
	known := r.to.swarm.Availability()
	held := known.Held
	chunk := r.pull.Chunk
	if chunk < 0 {
		chunk = r.to.picker.Pick(held, r.has)
	} else if !held.Test(uint(chunk)) {
		chunk = -1
	}
	if chunk < 0 {
		s.release(r.to)
		s.after(s.latency(r.from, r.to), func() {
			r.from.swarm.NothingUseful(r.pull, known, s.clock())
			s.ask(r.from)
		})
		return
	}
	s.after(s.latency(r.from, r.to), func() { s.offered(r, chunk) })
}

func (s *sim) offered(r *request, chunk int) {
	if r.from.dead || r.to.dead {
		s.failed(r.from, r.pull)
		return
	}
	p := r.pull
	if !r.from.swarm.Offered(&p, chunk) {
		r.from.swarm.Drop(p)
		s.after(s.latency(r.from, r.to), func() { s.release(r.to) })
		s.ask(r.from)
		return
	}
	s.launch(&flight{from: r.to, to: r.from, pull: p, chunk: chunk})
}

func (s *sim) failed(b *box, p transfer.Pull) {
	if b.dead {
		return
	}
	b.swarm.InvalidChunk(p, s.clock())
	s.ask(b)
}

func (s *sim) release(b *box) {
	if b.dead {
		return
	}
	w, ok := b.queue.Release("")
	if !ok {
		return
	}
	r := b.waiting[w.ID]
	delete(b.waiting, w.ID)
	s.serve(r)
}

// launch starts a flight and shares the links anew.
func (s *sim) launch(f *flight) {
	f.left, f.at, f.began = 1, s.now, s.now
	f.corrupt = s.rng.Float64() < s.CorruptShare
	f.to.active[f] = true
	f.to.down++
	if f.from == nil {
		s.origin[f] = true
	} else {
		f.from.active[f] = true
		f.from.up++
	}
	s.reshare(f.from, f.to)
}

// reshare recomputes the rates of all flights at the given ends.
func (s *sim) reshare(ends ...*box) {
	for _, b := range ends {
		flights := s.origin
		if b != nil {
			flights = b.active
		}
		for _, f := range s.ordered(flights) {
			s.rerate(f)
		}
	}
}

// ordered makes the walk over a set the same in every run.
func (s *sim) ordered(set map[*flight]bool) []*flight {
	out := make([]*flight, 0, len(set))
	for f := range set {
		out = append(out, f)
	}
	for i := 1; i < len(out); i++ {
		for j := i; j > 0 && less(out[j], out[j-1]); j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

func less(a, b *flight) bool {
	if a.to.id != b.to.id {
		return a.to.id < b.to.id
	}
	return a.chunk < b.chunk
}

func (s *sim) rerate(f *flight) {
	f.left -= f.rate * (s.now - f.at).Seconds()
	f.at = s.now
	f.gen++
	f.rate = s.boxRate / float64(f.to.down)
	switch {
	case f.from == nil:
		f.rate = min(f.rate, 2*s.boxRate/float64(len(s.origin)))
	default:
		f.rate = min(f.rate, s.boxRate/float64(f.from.up))
	}
	if f.to.stalled || f.from != nil && f.from.stalled {
		f.rate = 0
	}
	gen := f.gen
	if f.rate == 0 {
		s.after(s.stallLimit(f), func() {
			if f.gen == gen && !f.over {
				f.stalled = true
				s.land(f, false)
			}
		})
		return
	}
	s.after(time.Duration(max(f.left, 0)/f.rate*float64(time.Second))+1, func() {
		if f.gen == gen && !f.over {
			s.land(f, true)
		}
	})
}

func (s *sim) stallLimit(f *flight) time.Duration {
	if f.to.swarm == nil {
		return time.Hour
	}
	return f.to.swarm.StallTimeout()
}

// land ends a flight, whole or not.
func (s *sim) land(f *flight, whole bool) {
	if f.over {
		return
	}
	f.over = true
	f.left -= f.rate * (s.now - f.at).Seconds()
	f.rate = 0
	delete(f.to.active, f)
	f.to.down--
	s.account(f)
	if f.from == nil {
		delete(s.origin, f)
	} else {
		delete(f.from.active, f)
		f.from.up--
		if s.Strategy == Swarm {
			s.release(f.from)
		}
	}
	s.reshare(f.from, f.to)
	s.landed(f, whole)
}

func (s *sim) account(f *flight) {
	moved := 1 - max(f.left, 0)
	if f.from == nil {
		s.originSum += moved
	} else if f.from.region != f.to.region {
		s.crossSum += moved
	}
}

func (s *sim) landed(f *flight, whole bool) {
	b := f.to
	if b.dead {
		return
	}
	if s.Strategy != Swarm {
		s.plannedLanded(f)
		return
	}
	if f.stalled {
		b.swarm.Stalled(f.pull, s.clock())
		s.ask(b)
		return
	}
	if !whole || f.corrupt {
		if f.corrupt {
			s.res.CorruptChunks++
		}
		b.swarm.InvalidChunk(f.pull, s.clock())
		s.ask(b)
		return
	}
	var known transfer.Availability
	if f.from != nil && !f.from.dead {
		known = f.from.swarm.Availability()
	}
	b.swarm.Arrived(f.pull, known, s.now-f.began, s.clock())
	if b.swarm.Done() {
		s.finish(b)
		return
	}
	s.ask(b)
}

func (s *sim) finish(b *box) {
	b.done, b.doneAt = true, s.now
	s.finished++
}

func (s *sim) result() Result {
	var times []time.Duration
	for _, b := range s.boxes {
		if b.dead {
			continue
		}
		if !b.done {
			s.res.Unfinished++
			continue
		}
		times = append(times, b.doneAt)
	}
	s.res.Half = quantile(times, 0.5, s.floor)
	s.res.Most = quantile(times, 0.95, s.floor)
	s.res.All = quantile(times, 1, s.floor)
	s.res.OriginCopies = s.originSum / float64(s.Chunks)
	s.res.CrossCopies = s.crossSum / float64(s.Chunks)
	s.res.ControlBytesABox = s.pulls * controlBytes(s.Chunks) / float64(s.Boxes)
	return s.res
}
