// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/evacuation"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/installer"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/loadtrust"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/slotgrant"
	"github.com/mintlift/mintlift/storerelay"
)

// sidecarState applies configurations and target versions, which the sidecar gets from
// gateways or from the store, to the sidecar's installer. The target versions of a model
// are those that the operator has set to be served.
type sidecarState struct {
	settings  *platform.Settings
	installer *installer.Installer

	mu sync.Mutex
	// weights is the newest weights configuration; Chunks is 0 while there is none.
	weights routing.WeightsConfig
	// cutoffMargin is installer.Params.CutoffMargin.
	cutoffMargin time.Duration
}

// HandleConfiguration implements platform.OperatorHandler.
func (s *sidecarState) HandleConfiguration(c *routing.Configuration) {
	weights, ok := c.Weights(s.settings.Service)
	s.installer.SetNoWeights(!ok)
	if ok {
		s.apply(weights)
	}
}

// apply installs a weights configuration unless it is empty or not newer than the
// current one.
func (s *sidecarState) apply(w routing.WeightsConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Chunks == 0 || w.Version <= s.weights.Version {
		return
	}
	s.weights = w
	s.configureInstaller()
}

// setCutoffMargin sets the time from the gateways' routing cutoff to the deadline of a
// target version; 0 stands for the usual time.
func (s *sidecarState) setCutoffMargin(margin time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if margin == s.cutoffMargin {
		return
	}
	s.cutoffMargin = margin
	if s.weights.Chunks > 0 {
		s.configureInstaller()
	}
}

// configureInstaller sets the installer's parameters. sidecarState.mu must be held.
func (s *sidecarState) configureInstaller() {
	w := s.weights
	s.installer.Configure(installer.Params{
		Model:        w.Model,
		Chunks:       w.Chunks,
		ChunkBytes:   w.ChunkBytes,
		Deadline:     s.settings.VersionDeadline(),
		OriginRate:   w.OriginRate,
		OriginRegion: s.settings.Regions[w.OriginZone],
		CutoffMargin: s.cutoffMargin,
	})
}

// HandleTargetVersion implements platform.OperatorHandler.
func (s *sidecarState) HandleTargetVersion(n platform.TargetVersion, first bool) {
	setAt := time.Time{}
	if !first {
		setAt = clock.Now()
	}
	s.installer.AddTarget(n.Model, n.Version, setAt)
}

// HandleEvacuation implements platform.OperatorHandler. An engine of an evacuated zone is
// kept up to date like any other, so that it can serve once the zone is taken back.
func (s *sidecarState) HandleEvacuation(evacuation.Change) {}

// handleNotice applies a notice, the message in which a gateway sends a sidecar the
// weights configuration and the target versions.
func (s *sidecarState) handleNotice(n loadreport.Notice) {
	s.installer.SetNoWeights(n.NoWeights)
	if n.Weights != nil {
		s.apply(*n.Weights)
	}
	now := clock.Now()
	for _, version := range n.TargetVersions {
		if setAt := version.SetAt(now); !setAt.IsZero() {
			s.installer.AddTarget(n.Model, version.Version, setAt)
			continue
		}
		s.installer.AddTargetOfUnknownAge(n.Model, version.Version, version.PastCutoff, now)
	}
}

// weightsConfig returns the current weights configuration, or the zero value if
// there is none.
func (s *sidecarState) weightsConfig() routing.WeightsConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.weights
}

// weightsChecksum returns the checksum of the current weights configuration, or 0 if
// there is none.
func (s *sidecarState) weightsChecksum() uint32 {
	w := s.weightsConfig()
	if w.Chunks == 0 {
		return 0
	}
	return w.Checksum()
}

// layers returns the number of layers of the service's model. It returns 0 while the
// number is unknown, and for services other than this sidecar's.
func (s *sidecarState) layers(service string) int {
	if service != s.settings.Service {
		return 0
	}
	return s.weightsConfig().Layers
}

// errNoEndpointList means that no gateway supplies the endpoint list, and that the store
// may not be read yet.
const errNoEndpointList = errors.ConstError("no gateway supplies the endpoint list")

// listPeers returns the sidecars of the service. It reads the endpoint list from a
// gateway or, if none answers, from the store, as seldom as takeStoreRead allows: the list
// is long, and all sidecars need it at the same moments. Endpoints with an invalid address
// are logged and left out.
func (s *sidecarState) listPeers(ctx context.Context, p *platformProcess, lists *storerelay.Client, gateways *sidecarGateways) ([]installer.Peer, error) {
	addresses := gateways.pick(ctx)
	list, err := lists.Service(ctx, addresses, s.settings.Service)
	if err != nil {
		p.log.Info("endpoint list not available from gateways", "asked", len(addresses), "error", err.Error())
		if !gateways.takeStoreRead() {
			return nil, errNoEndpointList
		}
		if list, err = s.endpointsFromStore(ctx, p.watcher); err != nil {
			return nil, err
		}
	}
	var out []installer.Peer
	for _, e := range list {
		box, _, err := net.SplitHostPort(e.Address)
		if err != nil {
			p.log.Info("endpoint with invalid address ignored", "address", e.Address, "error", err.Error())
			continue
		}
		out = append(out, installer.Peer{
			Box: box, Address: s.settings.InternalAddress(e.Address, portSidecars), Zone: e.Zone, Region: s.settings.Regions[e.Zone], Draining: e.Draining,
		})
	}
	return out, nil
}

// endpointsFromStore reads the service's endpoints from the store.
func (s *sidecarState) endpointsFromStore(ctx context.Context, w *platform.Watcher) ([]storerelay.Endpoint, error) {
	list, err := w.ReadEndpoints(ctx, s.layers)
	if err != nil {
		return nil, err
	}
	return storerelay.EndpointsOf(list, s.settings.Service), nil
}

// loadMemories asks gateways of the region which load of the engine at address they last
// knew as verified. Gateways that do not answer or know none are left out.
func loadMemories(ctx context.Context, address string, lists *storerelay.Client, gateways *sidecarGateways) []loadtrust.Memory {
	var out []loadtrust.Memory
	for _, gateway := range gateways.pick(ctx) {
		asked := clock.Now()
		l, err := lists.EngineLoad(ctx, gateway, address)
		if err != nil {
			continue // another gateway is asked at the next attempt
		}
		out = append(out, loadtrust.Memory{
			Load:          loadtrust.Load{StartedMS: l.StartedMS, Orders: l.Orders, Version: l.Version},
			ReportedFor:   time.Duration(l.ReportedMS) * time.Millisecond,
			ListConfirmed: asked.Add(-time.Duration(l.ListAgeMS) * time.Millisecond),
		})
	}
	return out
}

// reportInterval is the interval at which the engine's state is read and published.
const reportInterval = 40 * time.Millisecond

// startPlatformSidecar starts a sidecar. The caller must stop or close the group. If it
// returns an error, it has closed the group itself.
func startPlatformSidecar(ctx context.Context, p *platformProcess) (group *taskGroup, err error) {
	group = newTaskGroup(ctx, p.network)
	ctx = group.ctx
	defer func() {
		if err != nil {
			group.closeAll(ctx)
		}
	}()
	s := p.settings
	state := &sidecarState{settings: s}
	engine := platform.NewEngine(p.network, s.EngineAddress, func() int { return state.layers(s.Service) })
	group.addCloser(engine.Close)
	origin := platform.NewOrigin(p.network, func() string { return state.weightsConfig().Origin })
	listener, err := group.listen(s.InternalAddress(s.IP, portSidecars))
	if err != nil {
		return group, errors.Trace(err)
	}
	publisher, err := loadreport.NewPublisher(p.network, s.InternalAddress(s.IP, portPublish))
	if err != nil {
		return group, err
	}
	group.addCloser(func() { _ = publisher.Close() })
	gateways := newSidecarGateways(p, publisher)
	lists := storerelay.NewClient(p.network)
	group.addCloser(lists.Close)
	group.addCloser(p.watcher.Close)
	memories := func(ctx context.Context) []loadtrust.Memory {
		return loadMemories(ctx, s.EngineAddress, lists, gateways)
	}
	archive := installer.NewArchive(p.watcher.Store().OwnTopic(installer.ArchiveTopic))
	state.installer = installer.New(installer.Settings{Box: s.IP, Region: s.Region, Zone: s.Zone, LinkRate: s.LinkRate(), Network: p.network, LoadMemories: memories, Archive: archive}, engine, origin,
		func(ctx context.Context) ([]installer.Peer, error) { return state.listPeers(ctx, p, lists, gateways) }, p.log, p.metrics)
	group.addCloser(state.installer.Close)
	group.spawn(func() { publisher.Run(state.handleNotice) })
	group.serve(listener, &http.Server{Handler: state.installer.Handler(), ReadHeaderTimeout: headerTimeout})
	p.serveMetrics(group, nil)
	group.spawn(func() { newFallback(p, state, state.handleNotice, gateways, lists).run(ctx) })
	group.spawn(func() { state.installer.Run(ctx) })
	group.spawn(func() { reportLoad(ctx, state, engine, publisher) })
	group.spawn(func() { logSlotCounts(ctx, p, publisher) })
	return group, nil
}

// reportLoad reads the engine's state every reportInterval and publishes it, until ctx
// ends. A state that cannot be read is not published, nor one with a load of which it is
// not known yet whether to trust it: gateways then go on with what they know.
func reportLoad(ctx context.Context, sidecar *sidecarState, engine *platform.Engine, publisher *loadreport.Publisher) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	i := sidecar.installer
	for {
		sidecar.setCutoffMargin(publisher.CutoffMargin(clock.Now()))
		began := clock.Now()
		state, err := engine.State(ctx)
		if err == nil {
			i.UpdateEngineState(state)
			busy, undecided := state.Busy || i.Draining(), i.Undecided()
			if !undecided {
				servesIn, _ := i.ServesIn(clock.Now())
				publisher.Publish(fleet.Report{
					Address: sidecar.settings.EngineAddress, Model: state.Model, Version: state.Version, Busy: busy, UpdateScheduled: i.UpdateScheduled(),
					Unverified: i.Unverified(), Running: state.Running, Queued: state.Queued, Pace: state.Pace, StartedMS: state.StartedMS, Orders: state.Orders, WeightsChecksum: sidecar.weightsChecksum(),
					Draining: state.Signal.Draining, Limited: state.Signal.Limit.Set, Limit: state.Signal.Limit.Rate,
					ServesInMS: servesIn.Milliseconds(),
				}, i.UpdatePending(), began)
			}
			publisher.ObserveEngine(slotgrant.Observation{
				StartedMS: state.StartedMS, Running: state.Running, Queued: state.Queued, Pace: state.Pace, Closed: busy || undecided || i.Unverified() || state.Signal.Draining,
			}, began, clock.Now())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
