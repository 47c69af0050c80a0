// SPDX-License-Identifier: Apache-2.0

// Package relay keeps a process in touch with the platform without 1,030
// processes asking it at once. Gateways, which are few, read the log and
// the box list directly and serve both to sidecars; a sidecar asks one
// gateway, chosen by rendezvous so that they share the sidecars evenly, and
// turns to the platform itself only when no gateway answers.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/state"
)

// Timing of a Directory.
const (
	listEvery = 2 * time.Second
	listSoon  = 300 * time.Millisecond
	// listRelayed is a sidecar's time between two looks when its gateway's
	// answers do not tell of a change.
	listRelayed = 15 * time.Second
	lookEvery   = 250 * time.Millisecond
	listTimeout = 3 * time.Second
	// startSpread spreads the first look of many sidecars that start at once.
	startSpread = time.Second
	// leaveAlone is how long a gateway that failed is not asked.
	leaveAlone = 5 * time.Second
	// directEvery spaces a sidecar's turns to the platform itself while it
	// knows of gateways and none answers.
	directEvery = 30 * time.Second
	// checkpointPeers is how many peers are asked for a checkpoint.
	checkpointPeers = 5
)

// ErrNoPeer says that no peer had a checkpoint.
const ErrNoPeer = errors.ConstError("no peer has a checkpoint")

// Directory is a process's knowledge of the box list and of where to read
// the log. All exported fields but Direct are needed; its lock is a leaf.
type Directory struct {
	Self     string
	Platform *call.Client
	Peers    *call.Client
	BoxList  string
	Log      *eventlog.Client
	Logger   logr.Logger
	// Direct makes the process read the platform itself, as gateways do.
	Direct bool

	mu      sync.Mutex
	boxes   []membership.Box
	version int
	tag     string // of boxes, as the one who served them gave it
	avoid   map[string]time.Time
	direct  time.Time // when the platform was last chosen for want of gateways
	stale   bool
	ownTag  string // of boxes' content, at version tagOf
	tagOf   int
}

// Stale asks for the box list to be read again soon, because a box that
// should be on it is not.
func (d *Directory) Stale() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stale = true
}

func (d *Directory) isStale() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stale
}

// saw takes the tag of the box list that a gateway now has.
func (d *Directory) saw(tag string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if tag != "" && tag != d.tag {
		d.stale = true
	}
}

// Tagged returns the box list with a tag of its content.
func (d *Directory) Tagged() ([]membership.Box, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tagOf != d.version || d.ownTag == "" {
		d.ownTag, d.tagOf = httpserve.Tag(d.boxes), d.version
	}
	return slices.Clone(d.boxes), d.ownTag
}

// pause is the time until the next look at the list.
func (d *Directory) pause() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	every := listEvery
	if !d.Direct {
		every = listRelayed
	}
	if d.stale || len(d.boxes) == 0 {
		every = listSoon
	}
	d.stale = false
	return every/2 + rand.N(every)
}

// Boxes returns the box list as last read, and a number that grows with
// each change.
func (d *Directory) Boxes() ([]membership.Box, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.boxes), d.version
}

// Run reads the box list until ctx ends. A list that cannot be read leaves
// the former in force.
func (d *Directory) Run(ctx context.Context) {
	if !d.Direct {
		clock.Sleep(ctx, rand.N(startSpread))
	}
	for ctx.Err() == nil {
		if err := d.refresh(ctx); err != nil && ctx.Err() == nil {
			d.Logger.V(1).Info("box list not read", "error", err.Error())
		}
		for left := d.pause(); left > 0 && ctx.Err() == nil && !d.isStale(); left -= lookEvery {
			clock.Sleep(ctx, min(left, lookEvery))
		}
	}
}

func (d *Directory) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var boxes []membership.Box
	if g, ok := d.gateway(time.Now()); ok && !d.Direct {
		tag, err := d.Peers.JSONIfChanged(ctx, d.Peers.URL(g.Address, peer.PathBoxes), d.tagNow(), &boxes)
		if errors.Is(err, call.ErrNotModified) {
			return nil
		}
		if err == nil && len(boxes) > 0 {
			d.set(boxes, tag)
			return nil
		}
		d.failed(g.ID)
	}
	tag, err := d.Platform.JSONIfChanged(ctx, d.Platform.URL(d.BoxList, "/boxes"), d.tagNow(), &boxes)
	if errors.Is(err, call.ErrNotModified) {
		return nil
	}
	if err != nil {
		return err
	}
	d.set(boxes, tag)
	return nil
}

func (d *Directory) tagNow() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tag
}

func (d *Directory) set(boxes []membership.Box, tag string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tag = tag
	if !slices.Equal(d.boxes, boxes) {
		d.boxes = boxes
		d.version++
	}
}

// Gateway returns the gateway that this process works with now.
func (d *Directory) Gateway() (membership.Box, bool) { return d.gateway(time.Now()) }

// Others returns the listed boxes among ids, but the process's own.
func (d *Directory) Others(ids []string) []membership.Box {
	boxes, _ := d.Boxes()
	return slices.DeleteFunc(boxes, func(b membership.Box) bool {
		return b.ID == d.Self || !slices.Contains(ids, b.ID)
	})
}

// gateway returns the first gateway in this process's order that has not
// failed lately. When all have, it is the first one all the same, and only
// once in a directEvery none, which sends the process to the platform
// itself: hundreds of sidecars must not turn to the log together because
// it, or all gateways, are in trouble.
func (d *Directory) gateway(now time.Time) (membership.Box, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	best, found := d.first(func(b membership.Box) bool { return !now.Before(d.avoid[b.ID]) })
	if found {
		return best, true
	}
	if now.Sub(d.direct) >= directEvery {
		d.direct = now
		return best, false
	}
	return d.first(func(membership.Box) bool { return true })
}

// first returns the gateway of the highest rendezvous weight that fits; the
// caller holds the lock.
func (d *Directory) first(fits func(membership.Box) bool) (best membership.Box, found bool) {
	var bestWeight uint64
	for _, b := range d.boxes {
		if b.Role != membership.Gateway || b.ID == d.Self || !fits(b) {
			continue
		}
		if w := xxhash.Sum64String(d.Self + "\x00" + b.ID); !found || w > bestWeight {
			best, bestWeight, found = b, w, true
		}
	}
	return best, found
}

func (d *Directory) failed(box string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoid == nil {
		d.avoid = make(map[string]time.Time)
	}
	d.avoid[box] = time.Now().Add(leaveAlone)
}

// Sources returns where a state.Follower reads.
func (d *Directory) Sources() state.Sources { return sources{d} }

type sources struct{ d *Directory }

// relayed is a gateway as a source.
type relayed struct {
	*eventlog.Client
	d   *Directory
	box string
}

// Read implements state.Source; on the way it hears of a new box list.
func (r relayed) Read(ctx context.Context, stream string, from int64, wait time.Duration) (eventlog.Page, error) {
	p, err := r.Client.Read(ctx, stream, from, wait)
	r.d.saw(p.BoxesTag)
	return p, err
}

// Next implements state.Sources.
func (s sources) Next() state.Source {
	if s.d.Direct {
		return s.d.Log
	}
	g, ok := s.d.gateway(time.Now())
	if !ok {
		return s.d.Log
	}
	return relayed{Client: &eventlog.Client{Call: s.d.Peers, Address: g.Address}, d: s.d, box: g.ID}
}

// Failed implements state.Sources.
func (s sources) Failed(src state.Source) {
	if r, ok := src.(relayed); ok {
		s.d.failed(r.box)
	}
}

// Checkpoint returns the highest checkpoint that a few other processes
// hold, gateways first.
func (d *Directory) Checkpoint(ctx context.Context) (state.Checkpoint, error) {
	if boxes, _ := d.Boxes(); len(boxes) == 0 {
		if err := d.refresh(ctx); err != nil {
			return state.Checkpoint{}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var best state.Checkpoint
	found := false
	for _, b := range d.someOthers() {
		var c state.Checkpoint
		if err := d.Peers.JSON(ctx, http.MethodGet, d.Peers.URL(b.Address, peer.PathCheckpoint), nil, &c); err != nil {
			continue
		}
		if !found || c.Offset > best.Offset {
			best, found = c, true
		}
	}
	if !found {
		return best, ErrNoPeer
	}
	return best, nil
}

func (d *Directory) someOthers() []membership.Box {
	boxes, _ := d.Boxes()
	boxes = slices.DeleteFunc(boxes, func(b membership.Box) bool { return b.ID == d.Self })
	rand.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	slices.SortStableFunc(boxes, func(a, b membership.Box) int {
		switch {
		case a.Role == b.Role:
			return 0
		case a.Role == membership.Gateway:
			return -1
		default:
			return 1
		}
	})
	return boxes[:min(len(boxes), checkpointPeers)]
}
