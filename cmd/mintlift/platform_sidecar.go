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

// sidecarView gives what the store or a gateway tells to a sidecar.
type sidecarView struct {
	settings  *platform.Settings
	installer *installer.Installer

	mu      sync.Mutex
	weights routing.WeightsConfig
}

// Configured implements platform.Operator.
func (v *sidecarView) HandleConfiguration(c *routing.Configuration) {
	if weights, ok := c.Weights(v.settings.Service); ok {
		v.apply(weights)
	}
}

// apply takes how weights come, unless something newer is known.
func (v *sidecarView) apply(w routing.WeightsConfig) {
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
func (v *sidecarView) HandleNamedVersion(n platform.NamedVersion, first bool) {
	named := time.Time{}
	if !first {
		named = clock.Now()
	}
	v.installer.AddTarget(n.Model, n.Version, named)
}

// told takes what a gateway tells.
func (v *sidecarView) told(n loadreport.Notice) {
	if n.Weights != nil {
		v.apply(*n.Weights)
	}
	now := clock.Now()
	for _, named := range n.NamedVersions {
		if since := named.NamedAt(now); !since.IsZero() {
			v.installer.AddTarget(n.Model, named.Version, since)
			continue
		}
		v.installer.AddTargetOfUnknownAge(n.Model, named.Version, named.PastCutoff, now)
	}
}

// known returns how weights come, as far as that is known.
func (v *sidecarView) known() routing.WeightsConfig {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.weights
}

// sum is the checksum of how weights come, or 0 while that is not known.
func (v *sidecarView) sum() uint32 {
	w := v.known()
	if w.Chunks == 0 {
		return 0
	}
	return w.Checksum()
}

// layers is how many layers the service's model has, or 0.
func (v *sidecarView) layers(service string) int {
	if service != v.settings.Service {
		return 0
	}
	return v.known().Layers
}

// gatewaysAsked is how many gateways are asked for the list before the store.
const gatewaysAsked = 2

// peers returns the sidecars of the service as a gateway lists them, or the
// store if no gateway answers.
func (v *sidecarView) peers(ctx context.Context, p *platformProcess, lists *storerelay.Client, publisher *loadreport.Publisher) ([]installer.Peer, error) {
	gateways := publisher.Gateways(v.settings.Region, gatewaysAsked, clock.Now())
	for at, ip := range gateways {
		gateways[at] = v.settings.InternalAddress(ip, portRelay)
	}
	list, err := lists.Service(ctx, gateways, v.settings.Service)
	if err != nil {
		p.events.Info("list of gateways not had", "asked", len(gateways), "error", err.Error())
		if list, err = v.storedList(ctx, p.watcher); err != nil {
			return nil, err
		}
	}
	var out []installer.Peer
	for _, e := range list {
		box, _, err := net.SplitHostPort(e.Address)
		if err != nil {
			p.events.Info("endpoint left out", "address", e.Address, "error", err.Error())
			continue
		}
		out = append(out, installer.Peer{
			Box: box, Address: v.settings.InternalAddress(e.Address, portSidecars), Zone: e.Zone, Region: v.settings.Regions[e.Zone], Draining: e.Draining,
		})
	}
	return out, nil
}

// storedList reads the list from the store.
func (v *sidecarView) storedList(ctx context.Context, w *platform.Watcher) ([]storerelay.Endpoint, error) {
	list, err := w.List(ctx, v.layers)
	if err != nil {
		return nil, err
	}
	return storerelay.EndpointsOf(list, v.settings.Service), nil
}

const (
	// unheardAfter is how long a sidecar goes without a gateway's word before
	// it reads on its own, longer by up to unheardMore so that not all do so
	// at once, and rereadPause how often then.
	unheardAfter = 2 * time.Second
	unheardMore  = 2 * time.Second
	rereadPause  = 1500 * time.Millisecond
)

// watchOperatorSparingly reads what the operator wrote while no gateway tells
// it: each configuration is large, a sidecar needs next to nothing of it, and
// hundreds that read it at once fill the links between regions.
func (p *platformProcess) watchOperatorSparingly(ctx context.Context, o platform.OperatorHandler, publisher *loadreport.Publisher) {
	const look = 250 * time.Millisecond
	reader := p.watcher.OperatorReader(o)
	patience := unheardAfter + rand.N(unheardMore)
	read, began := time.Time{}, clock.Now()
	lost := false
	for ctx.Err() == nil {
		clock.Sleep(ctx, look)
		now := clock.Now()
		heard := publisher.LastSubscribed()
		if heard.IsZero() {
			heard = began
		}
		if now.Sub(heard) < patience || now.Sub(read) < rereadPause {
			continue
		}
		err := reader.Read(ctx)
		switch {
		case err == nil:
			read = clock.Now()
			if lost {
				p.events.Info("store regained", "topic", "operator")
			}
			lost = false
		case !lost:
			lost = true
			p.events.Info("store lost", "topic", "operator", "error", err.Error())
		}
	}
}

// reportEvery is how often the engine's report is read.
const reportEvery = 40 * time.Millisecond

func startPlatformSidecar(ctx context.Context, p *platformProcess) (all *running, err error) {
	all = newRunning(ctx)
	ctx = all.ctx
	defer func() {
		if err != nil {
			all.end(ctx)
		}
	}()
	s := p.settings
	view := &sidecarView{settings: s}
	engine := platform.NewEngine(s.EngineAddress, func() int { return view.layers(s.Service) })
	all.onEnd(engine.Close)
	origin := platform.NewOrigin(func() string { return view.known().Origin })
	listener, err := all.listen(s.InternalAddress(s.IP, portSidecars))
	if err != nil {
		return all, errors.Trace(err)
	}
	publisher, err := loadreport.NewPublisher(s.InternalAddress(s.IP, portPublish))
	if err != nil {
		return all, err
	}
	all.onEnd(func() { _ = publisher.Close() })
	lists := storerelay.NewClient()
	all.onEnd(lists.Close)
	all.onEnd(p.watcher.Close)
	view.installer = installer.New(installer.Settings{Box: s.IP, Region: s.Region, Zone: s.Zone, LinkRate: s.LinkRate()}, engine, origin,
		func(ctx context.Context) ([]installer.Peer, error) { return view.peers(ctx, p, lists, publisher) }, p.events, p.metrics)
	all.onEnd(view.installer.Close)
	all.spawn(func() { publisher.Run(view.told) })
	all.serve(listener, &http.Server{Handler: view.installer.Handler(), ReadHeaderTimeout: headerTimeout})
	p.serveMetrics(all, nil)
	all.spawn(func() { p.watchOperatorSparingly(ctx, view, publisher) })
	all.spawn(func() { view.installer.Run(ctx) })
	all.spawn(func() { reportLoad(ctx, view, engine, publisher) })
	return all, nil
}

// reportLoad reads the engine's state and publishes it.
func reportLoad(ctx context.Context, view *sidecarView, engine *platform.Engine, publisher *loadreport.Publisher) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	i := view.installer
	for {
		if state, err := engine.State(ctx); err == nil {
			i.UpdateEngineState(state)
			publisher.Publish(fleet.Report{
				Address: view.settings.EngineAddress, Model: state.Model, Version: state.Version, Busy: state.Busy || i.Draining(), UpdateScheduled: i.UpdateScheduled(),
				Unverified: i.Unverified(), Running: state.Running, Queued: state.Queued, Pace: state.Pace, StartedMS: state.StartedMS, WeightsChecksum: view.sum(),
				Draining: state.Signal.Draining, Limited: state.Signal.Limit.Set, Limit: state.Signal.Limit.Rate,
			}, i.UpdatePending(), clock.Now())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
