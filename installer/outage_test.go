// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/transfer"
)

// Figures of the second deployment in docs/contended-fleets.md. Times count from the
// announcement of version 2.
const (
	outageChunks     = 64
	outageBoxes      = 60
	outageRegions    = 3
	outageAnnounced3 = 2 * time.Second
	outageDown       = 2500 * time.Millisecond
	outageUp         = 8500 * time.Millisecond
	outageOrigin     = 44100 * time.Microsecond // of a chunk on the origin's link
	outageLink       = 39200 * time.Microsecond // of a chunk on a box's link, paced
	outageCutoff     = 9450 * time.Millisecond  // of version 2
	outageTick       = 10 * time.Millisecond
	outageHoldQueue  = maxUploads + maxQueuedUploads
)

// outageBox is a box of an outageFleet, or its origin, with the number of chunks that it sends and
// receives. A link is shared equally in each direction.
type outageBox struct {
	*Installer
	interval time.Duration // that its link takes for a chunk
	up, down int
	queue    []*outageTransfer // that wait for an upload slot
}

// outageTransfer is a chunk on its way.
type outageTransfer struct {
	from, to *outageBox
	left     float64 // share of the chunk that has not been sent
	end      func()
}

// outageFleet is a fleet whose installers decide on their pulls. The pulls take the time that
// the links of the origin and of the boxes need.
type outageFleet struct {
	now       time.Time
	epoch     time.Time
	boxes     []*outageBox
	events    []outageEvent
	origin    *outageBox
	transfers []*outageTransfer
	idle      time.Duration // of the origin's link since its return
	sent      map[int]int   // chunks sent by the origin, by version
}

// outageEvent is the end of a pull.
type outageEvent struct {
	at  time.Time
	run func()
}

// newOutageFleet returns a fleet in which all boxes hold the given number of chunks of
// version 2, at the time at which the origin becomes unavailable.
func newOutageFleet(held int) *outageFleet {
	d := &outageFleet{epoch: time.Now(), sent: make(map[int]int), origin: &outageBox{interval: outageOrigin}}
	d.now = d.epoch.Add(outageDown)
	params := transfer.Params{Chunks: outageChunks, OriginRegions: []string{"r0"}, ChunkInterval: outageOrigin, TakeOverDelay: takeOverDelay, IdleTimeout: chunkLostAfter, PauseTakeOver: true}
	for k := range outageBoxes {
		params.Peers = append(params.Peers, transfer.Peer{Box: fmt.Sprint("box", k), Region: fmt.Sprint("r", k%outageRegions)})
	}
	order := transfer.NewOrder(params)
	for _, peer := range params.Peers {
		i := New(Settings{Box: peer.Box, Region: peer.Region}, nil, nil, nil, logr.Discard(), telemetry.NewMetrics())
		i.params = Params{Model: testModel, Chunks: outageChunks, ChunkBytes: 32768, OriginRate: 32768 / outageOrigin.Seconds(), Deadline: outageCutoff + routingCutoffMargin}
		i.settings.LinkRate = 32768 / outageLink.Seconds() / linkShare
		i.engineState = EngineState{Model: testModel, Version: 1}
		for n, announced := range []time.Duration{0, outageAnnounced3} {
			i.targets = append(i.targets, target{version: n + 2, setAt: d.epoch.Add(announced)})
			r := newReplica(&Manifest{Model: testModel, Version: n + 2, ChunkBytes: 32768, Digests: make([]Digest, outageChunks)}, peer.Box)
			if n == 0 {
				r.held = bitset.New(outageChunks).FlipRange(0, uint(held))
			}
			r.swarm = transfer.NewSwarm(params, order, peer.Box, r.held, d.epoch.Add(announced))
			i.replicas = append(i.replicas, r)
		}
		d.boxes = append(d.boxes, &outageBox{Installer: i, interval: outageLink})
	}
	return d
}

// after schedules run.
func (d *outageFleet) after(wait time.Duration, run func()) {
	d.events = append(d.events, outageEvent{d.now.Add(wait), run})
}

// step ends the pulls that are due and starts others.
func (d *outageFleet) step() {
	due := slices.Clone(d.events)
	d.events = slices.DeleteFunc(d.events, func(e outageEvent) bool { return !e.at.After(d.now) })
	for _, e := range due {
		if !e.at.After(d.now) {
			e.run()
		}
	}
	for _, b := range d.boxes {
		for _, version := range b.refreshPlan(d.now).Fetch {
			r := b.replicaLocked(version)
			for !r.complete() {
				p := b.nextPull(r, fetchTask{params: b.params, version: version}, d.now)
				if p.Kind == transfer.None {
					break
				}
				d.start(b, r, p)
			}
		}
	}
	if d.now.After(d.epoch.Add(outageUp)) && d.origin.up+len(d.origin.queue) == 0 {
		d.idle += outageTick
	}
	d.progress()
	d.now = d.now.Add(outageTick)
}

// progress moves the transfers on by one tick.
func (d *outageFleet) progress() {
	for _, b := range append(d.boxes, d.origin) {
		for len(b.queue) > 0 && (b == d.origin || b.up < maxUploads) {
			b.up++
			b.queue[0].to.down++
			d.transfers, b.queue = append(d.transfers, b.queue[0]), b.queue[1:]
		}
	}
	for _, t := range d.transfers {
		t.left -= min(outageTick.Seconds()/t.from.interval.Seconds()/float64(t.from.up), outageTick.Seconds()/t.to.interval.Seconds()/float64(t.to.down))
	}
	for _, t := range d.transfers {
		if t.left <= 0 {
			t.from.up--
			t.to.down--
			t.end()
		}
	}
	d.transfers = slices.DeleteFunc(d.transfers, func(t *outageTransfer) bool { return t.left <= 0 })
}

// start carries out a pull.
func (d *outageFleet) start(b *outageBox, r *replica, p transfer.Pull) {
	end := func(wait time.Duration, report func()) {
		d.after(wait, func() {
			r.pulls--
			report()
		})
	}
	arrive := func(from *outageBox, p transfer.Pull, a transfer.Availability) {
		began := d.now
		from.queue = append(from.queue, &outageTransfer{from, b, 1, func() {
			end(0, func() {
				r.held.Set(uint(p.Chunk))
				if r.complete() {
					r.completedAt = d.now
				}
				r.swarm.Arrived(p, a, d.now.Sub(began), d.now)
			})
		}})
	}
	if p.Kind == transfer.FromOrigin {
		if d.now.Before(d.epoch.Add(outageUp)) {
			end(20*time.Millisecond, func() { r.swarm.ConnectionFailed(p, d.now) })
			return
		}
		d.sent[r.manifest.Version]++
		arrive(d.origin, p, transfer.Availability{})
		return
	}
	sender := d.boxes[slices.IndexFunc(d.boxes, func(o *outageBox) bool { return o.settings.Box == p.Peer })]
	held := sender.replicaLocked(r.manifest.Version)
	has := r.swarm.HeldOrInFlight()
	hold := chunkWaitTimeout
	if p.Kind == transfer.FromPeer {
		hold = anyChunkWaitTimeout
	}
	d.serve(sender, held, p.Chunk, has, d.now.Add(hold), func(chunk int) {
		a := held.swarm.Availability()
		r.swarm.AddAvailability(p.Peer, a)
		switch {
		case chunk < 0:
			end(time.Millisecond, func() { r.swarm.NoUsefulChunk(p, a, d.now) })
		case sender.up+len(sender.queue) >= outageHoldQueue:
			end(time.Millisecond, func() { r.swarm.Busy(p, 0, d.now) })
		case !r.swarm.Offered(&p, chunk):
			end(time.Millisecond, func() { r.swarm.Drop(p) })
		default:
			arrive(sender, p, a)
		}
	})
}

// serve calls respond with the chunk that the sender sends for a pull, or -1, at the
// time at which Installer.Handler responds.
func (d *outageFleet) serve(sender *outageBox, held *replica, chunk int, has *bitset.BitSet, until time.Time, respond func(chunk int)) {
	if !held.canRespond(chunk, has) && d.now.Before(until) {
		d.after(outageTick, func() { d.serve(sender, held, chunk, has, until, respond) })
		return
	}
	switch {
	case chunk < 0:
		chunk = held.picker.Pick(held.held, has)
	case !held.held.Test(uint(chunk)):
		chunk = -1
	}
	respond(chunk)
}

// complete returns the number of boxes that hold a version completely, and when after
// the return of the origin the first of them did.
func (d *outageFleet) complete(version int) (boxes int, first time.Duration) {
	first = time.Hour
	for _, b := range d.boxes {
		if r := b.replicaLocked(version); r.complete() {
			boxes++
			first = min(first, r.completedAt.Sub(d.epoch)-outageUp)
		}
	}
	return boxes, first
}

// After an outage, a partly held version must be complete on nearly all boxes before
// its use ends, and the newer one follow without a pause of the origin's link. Guards
// against chunks that are sent twice, against boxes that learn too late what their
// region holds, and against a plan that abandons the version meanwhile.
func TestSpreadAfterOutage(t *testing.T) {
	for _, held := range []int{51, 57} {
		d := newOutageFleet(held)
		idle := time.Duration(0)
		for d.sent[3] < outageChunks {
			d.step()
			assert.Assert(t, d.now.Before(d.epoch.Add(outageUp+10*time.Second)), "%d chunks held, %v sent", held, d.sent)
			idle = d.idle
		}
		for boxes := 0; boxes < outageBoxes && d.now.Before(d.epoch.Add(outageUp+10*time.Second)); boxes, _ = d.complete(3) {
			d.step()
		}
		older, first2 := d.complete(2)
		newer, first3 := d.complete(3)
		t.Logf("%d of version 2 held: version 2 on %d boxes, first after %s; version 3 on %d, first after %s, last %s; sent %v; origin idle %s",
			held, older, first2, newer, first3, d.now.Sub(d.epoch)-outageUp, d.sent, idle)
		assert.Assert(t, older >= outageBoxes*9/10, "version 2 on %d boxes", older)
		assert.Equal(t, newer, outageBoxes)
		assert.Assert(t, first2 < 1500*time.Millisecond && first3 < 5*time.Second, "%s, %s", first2, first3)
		assert.Assert(t, d.sent[2] <= (outageChunks-held)*4/3 && d.sent[3] <= outageChunks*11/10, "%v", d.sent)
		assert.Assert(t, idle <= 300*time.Millisecond, "%s", idle)
	}
}
