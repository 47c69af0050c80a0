// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/installer"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/telemetry"
)

// Internal ports of our processes, counted from the first of the settings.
const (
	portSidecars  = 0 // TCP: between sidecars
	portPublish   = 1 // UDP: subscriptions at a sidecar
	portSubscribe = 2 // UDP: reports to a gateway
	portMetrics   = 3 // TCP: metrics
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run on the users' platform, by the settings that it hands out",
		Commands: []*cli.Command{
			{
				Name:  "gateway",
				Usage: "serve callers on an entry box",
				Action: func(ctx context.Context, _ *cli.Command) error {
					return runPlatform(ctx, "gateway", startPlatformGateway)
				},
			},
			{
				Name:  "sidecar",
				Usage: "bring the engine of this box to the named version",
				Action: func(ctx context.Context, _ *cli.Command) error {
					return runPlatform(ctx, "sidecar", startPlatformSidecar)
				},
			},
		},
	}
}

// platformProcess is what the two daemons on the platform start from.
type platformProcess struct {
	settings *platform.Settings
	requests logr.Logger // lines about single requests
	events   logr.Logger // lines about what the process believes
	metrics  *telemetry.Metrics
	watcher  *platform.Watcher
}

// stopper ends a daemon; it returns once it has ended.
type stopper func(ctx context.Context)

// stopMargin is kept of the grace for closing logs.
const stopMargin = 400 * time.Millisecond

// collectAt is how much garbage may gather, in percent of what lives.
const collectAt = 75

// runPlatform runs a daemon until SIGTERM.
func runPlatform(ctx context.Context, part string, start func(context.Context, *platformProcess) (stopper, error)) error {
	debug.SetGCPercent(collectAt)
	sink := telemetry.NewSink(os.Stdout)
	defer sink.Close(stopMargin / 2)
	level := telemetry.LogSettings{Level: telemetry.LevelInfo}
	events := telemetry.Part(telemetry.NewLogger(sink.Rare(), level), part)
	settings, err := platform.LoadSettings()
	if err != nil {
		events.Error(err, "settings not usable")
		return err
	}
	p := &platformProcess{
		settings: settings,
		requests: telemetry.Part(telemetry.NewLogger(sink, level), part),
		events:   events,
		metrics:  telemetry.NewMetrics(),
		watcher:  platform.NewWatcher(platform.NewStore(settings.Store.Address), events),
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop, err := start(ctx, p)
	if err != nil {
		events.Error(err, "start failed")
		return err
	}
	events.Info("started", "release", version, "node", settings.Node, "zone", settings.Zone, "ip", settings.IP)
	for {
		s := <-signals
		if s != syscall.SIGHUP {
			break
		}
		// Settings are read at the start only: none of those in use changes
		// within a life.
		events.Info("reload without effect")
	}
	grace := settings.Grace() - stopMargin
	events.Info("stopping", "grace_ms", grace.Milliseconds())
	ending, done := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer done()
	stop(ending)
	events.Info("stopped")
	return nil
}

// gatewayView gives what the store tells to a gateway.
type gatewayView struct{ *ingress.Server }

// Configured implements platform.Operator.
func (v gatewayView) Configured(c *routing.Configuration) { v.Apply(c) }

// Named implements platform.Operator.
func (v gatewayView) Named(n platform.Naming, first bool) {
	v.NameVersion(n.Model, n.Version, first, time.Now())
}

// assumedGateways divides what all gateways may do together; the settings
// do not tell how many there are.
const assumedGateways = 8

// Limits of the callers' server.
const (
	headerTimeout  = 10 * time.Second
	callerIdle     = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// drainLead is how long a stopping gateway takes new requests, until the
	// platform has seen that it is not ready.
	drainLead     = 2500 * time.Millisecond
	maintainEvery = time.Second
)

func startPlatformGateway(ctx context.Context, p *platformProcess) (stopper, error) {
	s := p.settings
	budget := s.RetryBudget()
	budget.Gateways = assumedGateways
	server := ingress.New(ingress.Settings{
		Zone:            s.Zone,
		Headers:         platform.Headers(),
		Budget:          budget,
		VersionDeadline: s.VersionDeadline(),
	}, p.requests, p.events, p.metrics)
	front, err := net.Listen("tcp4", s.Listen.Front)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ready, err := net.Listen("tcp4", s.Listen.Ready)
	if err != nil {
		return nil, errors.Trace(err)
	}
	subscriber, err := loadreport.NewSubscriber(s.Internal(s.IP, portSubscribe))
	if err != nil {
		return nil, err
	}
	callers := &http.Server{Handler: server, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeaderBytes}
	probes := http.NewServeMux()
	probes.HandleFunc("/ready", server.ServeReady)
	go func() { _ = callers.Serve(front) }()
	go func() { _ = http.Serve(ready, probes) }()
	p.serveMetrics()

	view := gatewayView{server}
	go p.watcher.WatchOperator(ctx, view, gatewayWait)
	go p.watchEndpoints(ctx, server)
	go subscriber.Run(ctx, func() []loadreport.Audience { return audiences(s, server, time.Now()) }, server.TellSoon(), server.Heard)
	go func() {
		for range time.Tick(maintainEvery) {
			server.Maintain(time.Now())
		}
	}()
	return func(ending context.Context) { stopGateway(ending, p, server, front) }, nil
}

// audiences are the sidecars of each service of engines, and what they are
// told.
func audiences(s *platform.Settings, server *ingress.Server, now time.Time) []loadreport.Audience {
	c := server.Configuration()
	if c == nil {
		return nil
	}
	var out []loadreport.Audience
	for name, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		notice := loadreport.Notice{Model: service.Engine.Model, Named: named(server, service.Engine.Model, now)}
		weights, ok := c.Weights(name)
		knowing, others := server.EngineAddresses(name, weights.Sum(), now)
		out = append(out, loadreport.Audience{Sidecars: publishers(s, knowing), Notice: notice})
		if ok {
			notice.Weights = &weights
		}
		out = append(out, loadreport.Audience{Sidecars: publishers(s, others), Notice: notice})
	}
	return out
}

// publishers are the addresses of the sidecars beside engines.
func publishers(s *platform.Settings, engines []string) []string {
	out := make([]string, len(engines))
	for i, address := range engines {
		out[i] = s.Internal(address, portPublish)
	}
	return out
}

// named are the named versions of a model as sidecars are told.
func named(server *ingress.Server, model string, now time.Time) []loadreport.Named {
	var out []loadreport.Named
	for _, n := range server.Named(model) {
		told := loadreport.Named{Version: n.Version, AgeMS: loadreport.UnknownAge}
		if !n.First {
			told.AgeMS = now.Sub(n.Learned).Milliseconds()
		}
		out = append(out, told)
	}
	return out
}

// watchEndpoints reads the list once the configuration, which says how many
// layers a model has, is known.
func (p *platformProcess) watchEndpoints(ctx context.Context, server *ingress.Server) {
	const look = 20 * time.Millisecond
	for server.Configuration() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(look):
		}
	}
	p.watcher.WatchEndpoints(ctx, server, func(service string) int {
		if named := server.Configuration().Services[service]; named != nil && named.Engine != nil {
			return named.Engine.Layers
		}
		return 0
	})
}

// stopGateway lets requests in progress end. Resting connections are left
// to the end of the process: net/http's Shutdown closes them also while a
// request on one of them is being read, and so loses the request.
func stopGateway(ending context.Context, p *platformProcess, server *ingress.Server, front net.Listener) {
	server.StartStopping()
	select {
	case <-time.After(drainLead):
	case <-ending.Done():
	}
	server.Refuse()
	_ = front.Close()
	for quiet := 0; ending.Err() == nil && quiet < quietLooks; quiet++ {
		if server.InFlight() > 0 {
			quiet = 0
		}
		time.Sleep(quietLook)
	}
	if n := server.InFlight(); n > 0 {
		p.events.Info("requests cut off at the end of the grace", "in_flight", n)
	}
}

// A stopping gateway ends once quietLooks looks in a row, quietLook apart,
// have found no request in progress.
const (
	quietLook  = 30 * time.Millisecond
	quietLooks = 8
)

func (p *platformProcess) serveMetrics() {
	listener, err := net.Listen("tcp4", p.settings.Internal(p.settings.IP, portMetrics))
	if err != nil {
		p.events.Error(err, "metrics not served")
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", p.metrics.Handler)
	go func() { _ = http.Serve(listener, mux) }()
}

// sidecarView gives what the store or a gateway tells to a sidecar.
type sidecarView struct {
	settings  *platform.Settings
	installer *installer.Installer

	mu      sync.Mutex
	weights routing.Weights
}

// Configured implements platform.Operator.
func (v *sidecarView) Configured(c *routing.Configuration) {
	if weights, ok := c.Weights(v.settings.Service); ok {
		v.apply(weights)
	}
}

// apply takes how weights come, unless something newer is known.
func (v *sidecarView) apply(w routing.Weights) {
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
func (v *sidecarView) Named(n platform.Naming, first bool) {
	named := time.Time{}
	if !first {
		named = time.Now()
	}
	v.installer.Name(n.Model, n.Version, named)
}

// told takes what a gateway tells.
func (v *sidecarView) told(n loadreport.Notice) {
	if n.Weights != nil {
		v.apply(*n.Weights)
	}
	// A gateway that does not know since when a version is named says no more
	// than that it is: all would change at once if they took it for overdue.
	now := time.Now()
	for _, named := range n.Named {
		since := named.Since(now)
		if since.IsZero() {
			since = now
		}
		v.installer.Name(n.Model, named.Version, since)
	}
}

// known returns how weights come, as far as that is known.
func (v *sidecarView) known() routing.Weights {
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
	return w.Sum()
}

// layers is how many layers the service's model has, or 0.
func (v *sidecarView) layers(service string) int {
	if service != v.settings.Service {
		return 0
	}
	return v.known().Layers
}

// peers reads the sidecars of the service from the list of endpoints.
func (v *sidecarView) peers(ctx context.Context, w *platform.Watcher) ([]installer.Peer, error) {
	list, err := w.List(ctx, v.layers)
	if err != nil {
		return nil, err
	}
	var out []installer.Peer
	for _, e := range list {
		if e.Service != v.settings.Service {
			continue
		}
		box, _, err := net.SplitHostPort(e.Address)
		if err != nil {
			continue
		}
		out = append(out, installer.Peer{
			Box: box, Address: v.settings.Internal(e.Address, portSidecars), Zone: e.Zone, Region: v.settings.Regions[e.Zone],
		})
	}
	return out, nil
}

const (
	// gatewayWait is how long one read of the operator's records waits.
	gatewayWait = 10 * time.Second
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
func (p *platformProcess) watchOperatorSparingly(ctx context.Context, o platform.Operator, publisher *loadreport.Publisher) {
	const look = 250 * time.Millisecond
	reader := p.watcher.OperatorReader(o)
	patience := unheardAfter + rand.N(unheardMore)
	read, began := time.Time{}, time.Now()
	lost := false
	for ctx.Err() == nil {
		clock.Sleep(ctx, look)
		now := time.Now()
		heard := publisher.Asked()
		if heard.IsZero() {
			heard = began
		}
		if now.Sub(heard) < patience || now.Sub(read) < rereadPause {
			continue
		}
		err := reader.Read(ctx)
		switch {
		case err == nil:
			read = time.Now()
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

func startPlatformSidecar(ctx context.Context, p *platformProcess) (stopper, error) {
	s := p.settings
	view := &sidecarView{settings: s}
	engine := platform.NewEngine(s.App, func() int { return view.layers(s.Service) })
	origin := platform.NewOrigin(func() string { return view.known().Origin })
	view.installer = installer.New(installer.Settings{Box: s.IP, Region: s.Region, Zone: s.Zone, LinkRate: s.LinkRate()}, engine, origin,
		func(ctx context.Context) ([]installer.Peer, error) { return view.peers(ctx, p.watcher) }, p.events, p.metrics)
	listener, err := net.Listen("tcp4", s.Internal(s.IP, portSidecars))
	if err != nil {
		return nil, errors.Trace(err)
	}
	publisher, err := loadreport.NewPublisher(s.Internal(s.IP, portPublish), view.told)
	if err != nil {
		return nil, err
	}
	peers := &http.Server{Handler: view.installer.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = peers.Serve(listener) }()
	p.serveMetrics()
	go p.watchOperatorSparingly(ctx, view, publisher)
	go view.installer.Run(ctx)
	go reportLoad(ctx, view, engine, publisher)
	return func(context.Context) { _ = peers.Close() }, nil
}

// reportLoad reads the engine's state and publishes it.
func reportLoad(ctx context.Context, view *sidecarView, engine *platform.Engine, publisher *loadreport.Publisher) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	i := view.installer
	for {
		if state, err := engine.State(ctx); err == nil {
			i.Heard(state)
			publisher.Publish(fleet.Report{
				Address: view.settings.App, Model: state.Model, Version: state.Version, Busy: state.Busy || i.Leaving(),
				Running: state.Running, Queued: state.Queued, Pace: state.Pace, Weights: view.sum(),
			}, i.Changing(), time.Now())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
