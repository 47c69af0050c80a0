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
	// probeCycleFactor times n² is the length of a probe cycle over n endpoints,
	// between minProbeCycle and maxProbeCycle. The rate of probes therefore
	// decreases as the number of endpoints increases. Between probes, refusals and
	// probeNow update the routing table.
	probeCycleFactor  = 1600 * time.Microsecond
	minProbeCycle     = 500 * time.Millisecond
	maxProbeCycle     = 30 * time.Second
	probeTimeout      = 2 * time.Second
	maxParallelProbes = 32

	// probeNowInterval is the minimum time between the end of one probeNow and the
	// start of the next.
	probeNowInterval = 100 * time.Millisecond
	probeNowTimeout  = 300 * time.Millisecond
)

// boxView is this gateway's view of the boxes. mu guards all fields.
type boxView struct {
	mu          sync.Mutex
	members     membership.View
	statuses    map[string]peer.Status // by box ID
	etags       map[string]string      // entity tag of the last status, by box address
	listVersion int                    // version of the box list in members
}

// runProbes polls the status of the boxes in this gateway's subset until ctx ends.
func (d *Daemon) runProbes(ctx context.Context) {
	for ctx.Err() == nil {
		d.updateMembers()
		boxes := d.subset()
		d.probeAll(ctx, boxes)
		d.updateTable()
		cycle := min(max(minProbeCycle, time.Duration(len(boxes)*len(boxes))*probeCycleFactor), maxProbeCycle)
		d.view.setStatusTimeout(cycle)
		clock.Sleep(ctx, cycle)
	}
}

// probeNow probes the subset outside of the regular cycle. It is used when a request
// finds no endpoint, since the statuses of the last cycle may be outdated during a
// rollout. Concurrent calls share one probe, which starts at least probeNowInterval
// after the previous one.
func (d *Daemon) probeNow(ctx context.Context) {
	_, _, _ = d.probeGroup.Do("now", func() (any, error) {
		clock.Sleep(ctx, probeNowInterval-time.Since(d.lastProbeNow))
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeNowTimeout)
		defer cancel()
		d.probeAll(ctx, d.subset())
		d.updateTable()
		d.lastProbeNow = time.Now()
		return nil, nil
	})
}

// setStatusTimeout sets the time without a status after which a box counts as
// unresponsive: three probe cycles, but at least membership.DefaultReportTimeout.
func (v *boxView) setStatusTimeout(cycle time.Duration) {
	const cycles = 3
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members.ReportTimeout = max(membership.DefaultReportTimeout, cycles*cycle)
}

// updateMembers copies the box list to the view if it has changed.
func (d *Daemon) updateMembers() {
	boxes, version := d.Directory.Boxes()
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	if version != d.view.listVersion {
		d.view.members.SetList(boxes)
		d.view.listVersion = version
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

// subset returns the endpoints to which this gateway sends requests. It selects them
// with route.Subset from the boxes of each plan in effect and of each service.
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

// probeAll probes boxes concurrently and returns once all probes have ended.
func (d *Daemon) probeAll(ctx context.Context, boxes []membership.Box) {
	var group errgroup.Group
	group.SetLimit(maxParallelProbes)
	for _, b := range boxes {
		group.Go(func() error {
			d.probeBox(ctx, b)
			return nil
		})
	}
	_ = group.Wait() // every function returns nil
}

// probeBox fetches the status of one box, unless it is unchanged since the last
// probe, and records it. Errors are ignored; after a few failed probes the box counts
// as unresponsive.
func (d *Daemon) probeBox(ctx context.Context, b membership.Box) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	d.view.mu.Lock()
	known, tag := d.view.statuses[b.ID], d.view.etags[b.Address]
	d.view.mu.Unlock()
	var s peer.Status
	newTag, err := d.Peers.JSONIfChanged(ctx, d.Peers.URL(b.Address, peer.PathStatus), tag, &s)
	switch {
	case errors.Is(err, call.ErrNotModified):
		d.recordStatus(known)
	case err == nil:
		d.recordStatus(s)
		d.view.setETag(b.Address, newTag)
	}
}

// setETag stores the entity tag of the last status from an address.
func (v *boxView) setETag(address, tag string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.etags == nil {
		v.etags = make(map[string]string)
	}
	v.etags[address] = tag
}

// fetchStatus fetches the status of one box.
func (d *Daemon) fetchStatus(ctx context.Context, b membership.Box) (peer.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var s peer.Status
	err := d.Peers.JSON(ctx, http.MethodGet, d.Peers.URL(b.Address, peer.PathStatus), nil, &s)
	return s, err
}

// recordStatus stores a status that was received just now.
func (d *Daemon) recordStatus(s peer.Status) {
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	if d.view.statuses == nil {
		d.view.statuses = make(map[string]peer.Status)
	}
	d.view.statuses[s.Box] = s
	d.view.members.ApplyReport(membership.Report{Box: s.Box, Incarnation: s.Incarnation, Draining: s.Draining, At: time.Now()})
}

// updateTable replaces the endpoints of the routing table with those of the
// view.
func (d *Daemon) updateTable() {
	now := time.Now()
	d.view.mu.Lock()
	defer d.view.mu.Unlock()
	var endpoints []route.Endpoint
	for _, member := range d.view.members.Members(membership.Endpoint, now) {
		s, ok := d.view.statuses[member.ID]
		if !ok {
			continue
		}
		endpoints = append(endpoints, route.Endpoint{
			Box:         member.ID,
			Zone:        member.Zone.Zone,
			Address:     member.Address,
			Incarnation: member.Incarnation,
			Service:     member.Service,
			Serving:     s.Serving(),
			Usable:      member.Usable,
			Load:        s.Load,
			Slots:       s.Slots,
		})
	}
	d.table.Update(endpoints)
}

// ProbeEndpoints implements admin.Cluster: it fetches the status of every listed endpoint.
func (d *Daemon) ProbeEndpoints(ctx context.Context) []admin.BoxStatus {
	endpoints, _ := d.endpoints()
	statuses := make([]admin.BoxStatus, len(endpoints))
	var group errgroup.Group
	group.SetLimit(maxParallelProbes)
	for i, b := range endpoints {
		group.Go(func() error {
			s, err := d.fetchStatus(ctx, b)
			statuses[i] = admin.BoxStatus{Box: b, Status: s, Reached: err == nil}
			if err == nil {
				d.recordStatus(s)
			}
			return nil
		})
	}
	_ = group.Wait() // every function returns nil
	return statuses
}

// Links implements admin.Cluster.
func (d *Daemon) Links() intent.Links {
	return intent.Links{Origin: d.settings.Links.Origin, Box: d.settings.Links.Box}
}

// Self implements admin.Cluster.
func (d *Daemon) Self() peer.Status { return d.localStatus() }
