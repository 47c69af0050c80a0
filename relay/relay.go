// SPDX-License-Identifier: Apache-2.0

// Package relay supplies a process with the box list and with a source of the
// event log. It limits the load on the platform: gateways, which are few, read
// both from the platform and serve them to sidecars. A sidecar reads from one
// gateway, and from the platform only when no gateway responds. It chooses the
// gateway by rendezvous hashing, which distributes the sidecars evenly.
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
	// directRefreshInterval is the mean time between two reads of the box list
	// from the platform by a gateway.
	directRefreshInterval = 2 * time.Second
	// staleRefreshInterval replaces the regular interval while the list is empty
	// or stale.
	staleRefreshInterval = 300 * time.Millisecond
	// relayedRefreshInterval is the mean time between two reads of the box list
	// from a gateway. The list is read earlier if the tag in the gateway's log
	// pages shows that it has changed.
	relayedRefreshInterval = 15 * time.Second
	// staleCheckInterval is how often a waiting refresh loop checks whether the
	// list has become stale.
	staleCheckInterval = 250 * time.Millisecond
	// requestTimeout bounds a refresh of the box list. It also bounds the time for
	// requesting checkpoints from all peers.
	requestTimeout = 3 * time.Second
	// startJitter spreads the first refresh of sidecars that start
	// simultaneously.
	startJitter = time.Second
	// gatewayBackoff is how long a gateway is backed off after a failure. A gateway
	// that is backed off is not chosen while there is another one.
	gatewayBackoff = 5 * time.Second
	// directFallbackInterval is the minimum time between two reads from the
	// platform by a sidecar whose gateways are all backed off.
	directFallbackInterval = 30 * time.Second
	// maxCheckpointPeers is how many peers are queried for a checkpoint.
	maxCheckpointPeers = 5
)

// ErrNoPeer is returned when no peer has returned a checkpoint.
const ErrNoPeer = errors.ConstError("no peer has a checkpoint")

// Directory holds the box list and chooses the source from which to read the
// log. All exported fields but Direct are required. It is safe for concurrent
// use; no other lock is acquired while its lock is held.
type Directory struct {
	Self     string // ID of the process's own box
	Platform *call.Client
	Peers    *call.Client
	BoxList  string // address of the platform's box list
	Log      *eventlog.Client
	Logger   logr.Logger
	// Direct makes the process read from the platform only, as gateways do.
	Direct bool

	mu                sync.Mutex
	boxes             []membership.Box
	version           int                  // incremented with each change of boxes
	sourceTag         string               // entity tag of boxes, as returned by the source that served them
	backedOffUntil    map[string]time.Time // by gateway ID
	lastDirect        time.Time            // when the platform was last chosen because all gateways were backed off
	stale             bool                 // a refresh is due soon
	contentTag        string               // entity tag computed here from boxes
	contentTagVersion int                  // value of version for which contentTag was computed
}

// RequestRefresh causes the box list to be read again soon. It is called when an
// expected box is missing from the list.
func (d *Directory) RequestRefresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stale = true
}

// isStale reports whether the box list should be read again soon, before the next regular
// refresh.
func (d *Directory) isStale() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stale
}

// compareTag marks the box list as stale if tag, the entity tag of a gateway's
// box list, differs from the tag of the list held here. An empty tag is ignored.
func (d *Directory) compareTag(tag string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if tag != "" && tag != d.sourceTag {
		d.stale = true
	}
}

// Tagged returns the box list and an entity tag computed from its content.
func (d *Directory) Tagged() ([]membership.Box, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.contentTagVersion != d.version || d.contentTag == "" {
		d.contentTag, d.contentTagVersion = httpserve.ETag(d.boxes), d.version
	}
	return slices.Clone(d.boxes), d.contentTag
}

// nextRefreshDelay returns how long to wait before the next refresh. It also resets the
// flag that marks the box list as stale.
func (d *Directory) nextRefreshDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	interval := directRefreshInterval
	if !d.Direct {
		interval = relayedRefreshInterval
	}
	if d.stale || len(d.boxes) == 0 {
		interval = staleRefreshInterval
	}
	d.stale = false
	return interval/2 + rand.N(interval)
}

// Boxes returns the box list as last read, and its version, which increases with
// each change.
func (d *Directory) Boxes() ([]membership.Box, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.boxes), d.version
}

// Run refreshes the box list until ctx ends. If a read fails, the previous list
// stays in use.
func (d *Directory) Run(ctx context.Context) {
	if !d.Direct {
		clock.Sleep(ctx, rand.N(startJitter))
	}
	for ctx.Err() == nil {
		if err := d.refresh(ctx); err != nil && ctx.Err() == nil {
			d.Logger.V(1).Info("cannot read box list", "error", err.Error())
		}
		for left := d.nextRefreshDelay(); left > 0 && ctx.Err() == nil && !d.isStale(); left -= staleCheckInterval {
			clock.Sleep(ctx, min(left, staleCheckInterval))
		}
	}
}

// refresh reads the box list from a gateway. It reads it from the platform if
// this process is Direct, if no gateway is available, or if the gateway's
// response is not usable.
func (d *Directory) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var boxes []membership.Box
	if gateway, ok := d.chooseGateway(time.Now()); ok && !d.Direct {
		tag, err := d.Peers.JSONIfChanged(ctx, d.Peers.URL(gateway.Address, peer.PathBoxes), d.currentSourceTag(), &boxes)
		if errors.Is(err, call.ErrNotModified) {
			return nil
		}
		if err == nil && len(boxes) > 0 {
			d.setBoxes(boxes, tag)
			return nil
		}
		d.backOff(gateway.ID)
	}
	tag, err := d.Platform.JSONIfChanged(ctx, d.Platform.URL(d.BoxList, "/boxes"), d.currentSourceTag(), &boxes)
	if errors.Is(err, call.ErrNotModified) {
		return nil
	}
	if err != nil {
		return err
	}
	d.setBoxes(boxes, tag)
	return nil
}

// currentSourceTag returns the tag for a conditional read of the box list.
func (d *Directory) currentSourceTag() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sourceTag
}

// setBoxes stores a box list and the source's tag.
func (d *Directory) setBoxes(boxes []membership.Box, tag string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sourceTag = tag
	if !slices.Equal(d.boxes, boxes) {
		d.boxes = boxes
		d.version++
	}
}

// Gateway returns the gateway that this process currently reads from, or false
// if it should read from the platform.
func (d *Directory) Gateway() (membership.Box, bool) { return d.chooseGateway(time.Now()) }

// ListedPeers returns the boxes of the list whose IDs are in ids, without the
// process's own box.
func (d *Directory) ListedPeers(ids []string) []membership.Box {
	boxes, _ := d.Boxes()
	return slices.DeleteFunc(boxes, func(b membership.Box) bool {
		return b.ID == d.Self || !slices.Contains(ids, b.ID)
	})
}

// chooseGateway returns the preferred gateway among those that are not backed
// off, or false if the caller should read from the platform.
//
// If all gateways are backed off, it returns false once per
// directFallbackInterval, and the preferred gateway otherwise. The interval
// limits the load on the platform while all gateways fail. If no gateway is
// listed, it always returns false.
func (d *Directory) chooseGateway(now time.Time) (membership.Box, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	best, found := d.preferredGateway(func(b membership.Box) bool { return !now.Before(d.backedOffUntil[b.ID]) })
	if found {
		return best, true
	}
	if now.Sub(d.lastDirect) >= directFallbackInterval {
		d.lastDirect = now
		return best, false
	}
	return d.preferredGateway(func(membership.Box) bool { return true })
}

// preferredGateway returns the gateway with the highest rendezvous weight among
// those for which accept returns true. The caller holds the lock.
func (d *Directory) preferredGateway(accept func(membership.Box) bool) (best membership.Box, found bool) {
	var bestWeight uint64
	for _, b := range d.boxes {
		if b.Role != membership.Gateway || b.ID == d.Self || !accept(b) {
			continue
		}
		if weight := xxhash.Sum64String(d.Self + "\x00" + b.ID); !found || weight > bestWeight {
			best, bestWeight, found = b, weight, true
		}
	}
	return best, found
}

// backOff excludes a gateway for gatewayBackoff.
func (d *Directory) backOff(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backedOffUntil == nil {
		d.backedOffUntil = make(map[string]time.Time)
	}
	d.backedOffUntil[id] = time.Now().Add(gatewayBackoff)
}

// Sources returns the sources of the log for a state.Follower.
func (d *Directory) Sources() state.Sources { return directorySources{d} }

// directorySources implements state.Sources with the gateways that a Directory
// chooses.
type directorySources struct{ d *Directory }

// gatewaySource is a gateway as a source of the log.
type gatewaySource struct {
	*eventlog.Client
	d   *Directory
	box string
}

// Read implements state.Source. It also compares the tag of the gateway's box
// list with the list held.
func (r gatewaySource) Read(ctx context.Context, stream string, from int64, wait time.Duration) (eventlog.Page, error) {
	page, err := r.Client.Read(ctx, stream, from, wait)
	r.d.compareTag(page.BoxesTag)
	return page, err
}

// Next implements state.Sources.
func (s directorySources) Next() state.Source {
	if s.d.Direct {
		return s.d.Log
	}
	gateway, ok := s.d.chooseGateway(time.Now())
	if !ok {
		return s.d.Log
	}
	return gatewaySource{Client: &eventlog.Client{Call: s.d.Peers, Address: gateway.Address}, d: s.d, box: gateway.ID}
}

// Failed implements state.Sources.
func (s directorySources) Failed(source state.Source) {
	if r, ok := source.(gatewaySource); ok {
		s.d.backOff(r.box)
	}
}

// Checkpoint returns the checkpoint with the highest offset among those of up to
// maxCheckpointPeers other processes, gateways first, or ErrNoPeer.
func (d *Directory) Checkpoint(ctx context.Context) (state.Checkpoint, error) {
	if boxes, _ := d.Boxes(); len(boxes) == 0 {
		if err := d.refresh(ctx); err != nil {
			return state.Checkpoint{}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var best state.Checkpoint
	found := false
	for _, b := range d.checkpointCandidates() {
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

// checkpointCandidates returns up to maxCheckpointPeers other boxes in random
// order, gateways first.
func (d *Directory) checkpointCandidates() []membership.Box {
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
	return boxes[:min(len(boxes), maxCheckpointPeers)]
}
