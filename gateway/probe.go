// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/route"
	"github.com/mintlift/mintlift/state"
)

// Timing of probes.
const (
	// A cycle of n probes takes n² probeSquare, so that a few endpoints are
	// looked at twice a second and 128 cost 5 probes a second, 3 KB/s; what
	// a slow cycle misses, refusals and probeNow tell.
	probeSquare  = 1600 * time.Microsecond
	probeMin     = 500 * time.Millisecond
	probeMax     = 30 * time.Second
	probeTimeout = 2 * time.Second
	probeAtOnce  = 32

	probeNowEvery   = 100 * time.Millisecond
	probeNowTimeout = 300 * time.Millisecond
)

// view is what this gateway has learnt of the boxes.
type view struct {
	mu       sync.Mutex
	members  membership.View
	statuses map[string]peer.Status
	tags     map[string]string
	listed   int
}

// probe asks the endpoints of this gateway's subset how they are.
func (d *Daemon) probe(ctx context.Context) {
	for ctx.Err() == nil {
		d.takeList()
		boxes := d.subset()
		d.probeAll(ctx, boxes)
		d.updateTable()
		cycle := min(max(probeMin, time.Duration(len(boxes)*len(boxes))*probeSquare), probeMax)
		d.view.setPatience(cycle)
		clock.Sleep(ctx, cycle)
	}
}

// probeNow probes at once, because a request found no endpoint: during a
// rollover the view of half a second ago may name none. Requests that find
// none together share one probe; it starts probeNowEvery after the last at
// the earliest, and they wait for it.
func (d *Daemon) probeNow(ctx context.Context) {
	_, _, _ = d.probes.Do("now", func() (any, error) {
		clock.Sleep(ctx, probeNowEvery-time.Since(d.probed))
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeNowTimeout)
		defer cancel()
		d.probeAll(ctx, d.subset())
		d.updateTable()
		d.probed = time.Now()
		return nil, nil
	})
}

// setPatience lets a box be silent for a few cycles.
func (v *view) setPatience(cycle time.Duration) {
	const cycles = 3
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members.Patience = max(membership.SilenceAfter, cycles*cycle)
}

func (d *Daemon) takeList() {
	boxes, version := d.Directory.Boxes()
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	if version != d.view.listed {
		d.view.members.SetList(boxes)
		d.view.listed = version
	}
}

// endpoints returns the listed endpoint boxes and the listed gateways.
func (d *Daemon) endpoints() (endpoints, gateways []membership.Box) {
	boxes, _ := d.Directory.Boxes()
	for _, b := range boxes {
		if b.Role == membership.Gateway {
			gateways = append(gateways, b)
		} else {
			endpoints = append(endpoints, b)
		}
	}
	return endpoints, gateways
}

// subset is the endpoints that this gateway sends requests to: for each
// plan in force and each service, the first ones in the gateway's order.
func (d *Daemon) subset() []membership.Box {
	endpoints, gateways := d.endpoints()
	groups := make(map[string][]string)
	for _, b := range endpoints {
		if b.Service != "" {
			groups["service "+b.Service] = append(groups["service "+b.Service], b.ID)
		}
	}
	d.Replica.View(func(s *state.State) {
		for _, p := range s.Plans {
			if p.Status == intent.Confirmed || p.Status == intent.Superseded {
				groups["plan "+p.ID] = p.Boxes()
			}
		}
	})
	names := make([]string, len(gateways))
	for i, g := range gateways {
		names[i] = g.ID
	}
	chosen := make(map[string]bool)
	for _, ids := range groups {
		for _, id := range route.Subset(d.settings.Node.Box, ids, names) {
			chosen[id] = true
		}
	}
	return slices.DeleteFunc(endpoints, func(b membership.Box) bool { return !chosen[b.ID] })
}

func (d *Daemon) probeAll(ctx context.Context, boxes []membership.Box) {
	var g errgroup.Group
	g.SetLimit(probeAtOnce)
	for _, b := range boxes {
		g.Go(func() error {
			d.probeBox(ctx, b)
			return nil
		})
	}
	_ = g.Wait() // every function returns nil
}

// probeBox asks one box, which answers in full only when something has
// changed.
func (d *Daemon) probeBox(ctx context.Context, b membership.Box) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	d.view.mu.Lock()
	known, tag := d.view.statuses[b.ID], d.view.tags[b.Address]
	d.view.mu.Unlock()
	var s peer.Status
	newTag, err := d.Peers.JSONIfChanged(ctx, d.Peers.URL(b.Address, peer.PathStatus), tag, &s)
	switch {
	case errors.Is(err, call.ErrNotModified):
		d.heard(known)
	case err == nil:
		d.heard(s)
		d.view.setTag(b.Address, newTag)
	}
}

func (v *view) setTag(address, tag string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.tags == nil {
		v.tags = make(map[string]string)
	}
	v.tags[address] = tag
}

func (d *Daemon) ask(ctx context.Context, b membership.Box) (peer.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var s peer.Status
	err := d.Peers.JSON(ctx, http.MethodGet, d.Peers.URL(b.Address, peer.PathStatus), nil, &s)
	return s, err
}

func (d *Daemon) heard(s peer.Status) {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	if d.view.statuses == nil {
		d.view.statuses = make(map[string]peer.Status)
	}
	d.view.statuses[s.Box] = s
	d.view.members.Heard(membership.Report{Box: s.Box, Incarnation: s.Incarnation, Draining: s.Draining, At: time.Now()})
}

// updateTable hands what is known of the boxes to package route.
func (d *Daemon) updateTable() {
	now := time.Now()
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	var eps []route.Endpoint
	for _, m := range d.view.members.Members(membership.Endpoint, now) {
		s, ok := d.view.statuses[m.ID]
		if !ok {
			continue
		}
		eps = append(eps, route.Endpoint{
			Box:         m.ID,
			Zone:        m.Zone.Zone,
			Address:     m.Address,
			Incarnation: m.Incarnation,
			Service:     m.Service,
			Serving:     s.Serving(),
			Usable:      m.Usable,
			Load:        s.Load,
			Slots:       s.Slots,
		})
	}
	d.table.Update(eps)
}

// Sweep implements admin.World: it asks every listed endpoint at once.
func (d *Daemon) Sweep(ctx context.Context) []admin.BoxStatus {
	endpoints, _ := d.endpoints()
	out := make([]admin.BoxStatus, len(endpoints))
	var g errgroup.Group
	g.SetLimit(probeAtOnce)
	for i, b := range endpoints {
		g.Go(func() error {
			s, err := d.ask(ctx, b)
			out[i] = admin.BoxStatus{Box: b, Status: s, Reached: err == nil}
			if err == nil {
				d.heard(s)
			}
			return nil
		})
	}
	_ = g.Wait() // every function returns nil
	return out
}

// Links implements admin.World.
func (d *Daemon) Links() intent.Links {
	return intent.Links{Origin: d.settings.Links.Origin, Box: d.settings.Links.Box}
}

// Self implements admin.World.
func (d *Daemon) Self() peer.Status { return d.status() }
