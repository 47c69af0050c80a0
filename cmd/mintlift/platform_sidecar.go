// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/installer"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/storerelay"
)

// sidecarState gives what the store or a gateway tells to a sidecar.
type sidecarState struct {
	settings  *platform.Settings
	installer *installer.Installer

	mu      sync.Mutex
	weights routing.Weights
}

// Configured implements platform.Operator.
func (v *sidecarState) Configured(c *routing.Configuration) {
	if weights, ok := c.Weights(v.settings.Service); ok {
		v.apply(weights)
	}
}

// apply takes how weights come, unless something newer is known.
func (v *sidecarState) apply(w routing.Weights) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if w.Chunks == 0 || w.Version <= v.weights.Version {
		return
	}
	v.weights = w
	v.installer.Configure(installer.Params{
		Model:        w.Model,
		Chunks:       w.Chunks,
		ChunkBytes:   w.ChunkBytes,
		Deadline:     v.settings.VersionDeadline(),
		OriginRate:   w.OriginRate,
		OriginRegion: v.settings.Regions[w.OriginZone],
	})
}

// Named implements platform.Operator.
func (v *sidecarState) Named(n platform.Naming, first bool) {
	named := time.Time{}
	if !first {
		named = clock.Now()
	}
	v.installer.Name(n.Model, n.Version, named)
}

// handleNotice takes what a gateway tells.
func (v *sidecarState) handleNotice(n loadreport.Notice) {
	if n.Weights != nil {
		v.apply(*n.Weights)
	}
	now := clock.Now()
	for _, named := range n.Named {
		if since := named.Since(now); !since.IsZero() {
			v.installer.Name(n.Model, named.Version, since)
			continue
		}
		v.installer.NameAssumed(n.Model, named.Version, named.Overdue, now)
	}
}

// weightsConfig returns how weights come, as far as that is known.
func (v *sidecarState) weightsConfig() routing.Weights {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.weights
}

// weightsChecksum is the checksum of how weights come, or 0 while that is not known.
func (v *sidecarState) weightsChecksum() uint32 {
	w := v.weightsConfig()
	if w.Chunks == 0 {
		return 0
	}
	return w.Sum()
}

// layers is how many layers the service's model has, or 0.
func (v *sidecarState) layers(service string) int {
	if service != v.settings.Service {
		return 0
	}
	return v.weightsConfig().Layers
}

// maxGatewaysQueried is how many gateways are asked for the list before the store.
const maxGatewaysQueried = 2

// listPeers returns the sidecars of the service as a gateway lists them, or the
// store if no gateway answers.
func (v *sidecarState) listPeers(ctx context.Context, p *platformProcess, lists *storerelay.Client, publisher *loadreport.Publisher) ([]installer.Peer, error) {
	gateways := publisher.Gateways(v.settings.Region, maxGatewaysQueried, clock.Now())
	for at, ip := range gateways {
		gateways[at] = v.settings.Internal(ip, portRelay)
	}
	list, err := lists.Service(ctx, gateways, v.settings.Service)
	if err != nil {
		p.log.Info("list of gateways not had", "asked", len(gateways), "error", err.Error())
		if list, err = v.endpointsFromStore(ctx, p.watcher); err != nil {
			return nil, err
		}
	}
	var out []installer.Peer
	for _, e := range list {
		box, _, err := net.SplitHostPort(e.Address)
		if err != nil {
			p.log.Info("endpoint left out", "address", e.Address, "error", err.Error())
			continue
		}
		out = append(out, installer.Peer{
			Box: box, Address: v.settings.Internal(e.Address, portSidecars), Zone: e.Zone, Region: v.settings.Regions[e.Zone], Leaving: e.Draining,
		})
	}
	return out, nil
}

// endpointsFromStore reads the list from the store.
func (v *sidecarState) endpointsFromStore(ctx context.Context, w *platform.Watcher) ([]storerelay.Endpoint, error) {
	list, err := w.List(ctx, v.layers)
	if err != nil {
		return nil, err
	}
	return storerelay.Of(list, v.settings.Service), nil
}

const (
	// gatewayTimeout is how long a sidecar goes without a gateway's word before
	// it reads on its own, longer by up to unheardMore so that not all do so
	// at once, and rereadPause how often then.
	gatewayTimeout       = 2 * time.Second
	gatewayTimeoutJitter = 2 * time.Second
	storeReadInterval    = 1500 * time.Millisecond
)

// watchOperatorFallback reads what the operator wrote while no gateway tells
// it: each configuration is large, a sidecar needs next to nothing of it, and
// hundreds that read it at once fill the links between regions.
func (p *platformProcess) watchOperatorFallback(ctx context.Context, o platform.Operator, publisher *loadreport.Publisher) {
	const look = 250 * time.Millisecond
	reader := p.watcher.OperatorReader(o)
	patience := gatewayTimeout + rand.N(gatewayTimeoutJitter)
	read, began := time.Time{}, clock.Now()
	lost := false
	for ctx.Err() == nil {
		clock.Sleep(ctx, look)
		now := clock.Now()
		heard := publisher.Asked()
		if heard.IsZero() {
			heard = began
		}
		if now.Sub(heard) < patience || now.Sub(read) < storeReadInterval {
			continue
		}
		err := reader.Read(ctx)
		switch {
		case err == nil:
			read = clock.Now()
			if lost {
				p.log.Info("store regained", "topic", "operator")
			}
			lost = false
		case !lost:
			lost = true
			p.log.Info("store lost", "topic", "operator", "error", err.Error())
		}
	}
}

// reportInterval is how often the engine's report is read.
const reportInterval = 40 * time.Millisecond

func startPlatformSidecar(ctx context.Context, p *platformProcess) (all *taskGroup, err error) {
	all = newTaskGroup(ctx)
	ctx = all.ctx
	defer func() {
		if err != nil {
			all.close(ctx)
		}
	}()
	s := p.settings
	view := &sidecarState{settings: s}
	engine := platform.NewEngine(s.App, func() int { return view.layers(s.Service) })
	all.addCloser(engine.Close)
	origin := platform.NewOrigin(func() string { return view.weightsConfig().Origin })
	listener, err := all.listen(s.Internal(s.IP, portSidecars))
	if err != nil {
		return all, errors.Trace(err)
	}
	publisher, err := loadreport.NewPublisher(s.Internal(s.IP, portPublish))
	if err != nil {
		return all, err
	}
	all.addCloser(func() { _ = publisher.Close() })
	lists := storerelay.NewClient()
	all.addCloser(lists.Close)
	all.addCloser(p.watcher.Close)
	view.installer = installer.New(installer.Settings{Box: s.IP, Region: s.Region, Zone: s.Zone, LinkRate: s.LinkRate()}, engine, origin,
		func(ctx context.Context) ([]installer.Peer, error) { return view.listPeers(ctx, p, lists, publisher) }, p.log, p.metrics)
	all.addCloser(view.installer.Close)
	all.spawn(func() { publisher.Run(view.handleNotice) })
	all.serve(listener, &http.Server{Handler: view.installer.Handler(), ReadHeaderTimeout: headerTimeout})
	p.serveMetrics(all, nil)
	all.spawn(func() { p.watchOperatorFallback(ctx, view, publisher) })
	all.spawn(func() { view.installer.Run(ctx) })
	all.spawn(func() { reportLoad(ctx, view, engine, publisher) })
	return all, nil
}

// reportLoad reads the engine's state and publishes it.
func reportLoad(ctx context.Context, view *sidecarState, engine *platform.Engine, publisher *loadreport.Publisher) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	i := view.installer
	for {
		if state, err := engine.State(ctx); err == nil {
			i.Heard(state)
			publisher.Publish(fleet.Report{
				Address: view.settings.App, Model: state.Model, Version: state.Version, Busy: state.Busy || i.Leaving(), Promised: i.Promised(),
				Doubted: i.Doubted(), Running: state.Running, Queued: state.Queued, Pace: state.Pace, Born: state.Born, Weights: view.weightsChecksum(),
				Draining: state.Signal.Draining, Limited: state.Signal.Limit.Named, Limit: state.Signal.Limit.Rate,
			}, i.Changing(), clock.Now())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
