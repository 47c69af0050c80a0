// SPDX-License-Identifier: Apache-2.0

// Package gateway is the process on each entry box. It wires the decision
// packages to the network:
//
//   - requests.go takes callers' requests: who asks, what may run, which
//     endpoint, what became of it. once.go adds the requests that are not
//     repeatable, stream.go the streamed answers.
//   - probe.go keeps the view of the boxes; duties.go does what any gateway
//     may do for all: record homes, open waves, write checkpoints.
//   - relay.go serves the log and the box list to sidecars.
//   - The administration API is package admin.
//
// A gateway holds nothing that must last and needs no other gateway.
//
// Locks: view.mu is taken before route.Table's; both before the leaves.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"golang.org/x/sync/singleflight"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/drain"
	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/internal/meter"
	"github.com/mintlift/mintlift/journal"
	"github.com/mintlift/mintlift/keys"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/prio"
	"github.com/mintlift/mintlift/relay"
	"github.com/mintlift/mintlift/route"
	"github.com/mintlift/mintlift/settings"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/telemetry"
)

// Daemon is a running gateway. Use Start.
type Daemon struct {
	settings    settings.Gateway
	log         logr.Logger
	metrics     *telemetry.Metrics
	meter       meter.Meter
	incarnation string
	replica     *state.Replica
	directory   *relay.Directory
	journal     *journal.Client

	platform *call.Client
	peers    *call.Client
	once     *call.Client // sidecars, without reuse of connections
	token    peer.Token

	manifests manifests

	view   view
	probes singleflight.Group
	probed time.Time // of the last probeNow; only probes touches it
	table  route.Table
	limits route.Limits
	budget route.Budget
	gate   *prio.Gate

	requests drain.Tracker
	callers  *httpserve.Server
	admins   *httpserve.Server
	sidecars *httpserve.Server
	stop     context.CancelFunc
	loops    sync.WaitGroup
}

// Start runs a gateway until Stop or Kill. It returns once all three ports
// are bound.
func Start(s settings.Gateway, log logr.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		log:         log,
		metrics:     telemetry.NewMetrics(),
		incarnation: uuid.NewString(),
		replica:     state.NewReplica(),
		gate:        prio.NewGate(s.MaxInFlight, s.Queue),
	}
	d.metrics.Traffic(&d.meter)
	d.metrics.State(d.replica.Offset, d.replica.Contact, d.gate.Load)
	if err := d.connect(); err != nil {
		return nil, err
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.startLoops()
	d.log.Info("started", "box", s.Node.Box, "callers", d.CallerAddress(), "operators", d.AdminAddress(), "peers", d.PeerAddress())
	return d, nil
}

func (d *Daemon) connect() error {
	key, err := keys.OpenFile(d.settings.PeerKeyFile)
	if err != nil {
		return err
	}
	peerTLS, err := keys.PeerTLS(d.settings.PeerTLS)
	if err != nil {
		return err
	}
	d.token = key.Key
	d.platform = call.New("platform", call.Options{Meter: &d.meter})
	d.peers = peer.NewClient(call.Options{TLS: peerTLS, Meter: &d.meter}, d.token)
	d.once = peer.NewClient(call.Options{TLS: peerTLS, NoReuse: true, Meter: &d.meter}, d.token)
	d.journal = &journal.Client{Call: d.platform, Address: d.settings.Platform.Log}
	d.directory = &relay.Directory{
		Self:     d.settings.Node.Box,
		Platform: d.platform,
		Peers:    d.peers,
		BoxList:  d.settings.Platform.BoxList,
		Log:      d.journal,
		Logger:   telemetry.Part(d.log, "relay"),
		Direct:   true,
	}
	return nil
}

func (d *Daemon) listen() (err error) {
	operatorKey, err := keys.OpenFile(d.settings.OperatorKeyFile)
	if err != nil {
		return err
	}
	api := &admin.Server{
		Replica:   d.replica,
		Journal:   d.journal,
		World:     d,
		Bootstrap: operatorKey.Key,
		Logger:    telemetry.Part(d.log, "admin"),
		Weighing:  d.settings.Weighing,
		PlanTTL:   d.settings.PlanTTL,
	}
	d.callers, err = d.bind(d.settings.CallerListen, d.settings.CallerTLS, d.callerRoutes())
	if err != nil {
		return err
	}
	d.admins, err = d.bind(d.settings.AdminListen, d.settings.AdminTLS, api.Routes())
	if err != nil {
		d.callers.Kill()
		return err
	}
	d.sidecars, err = d.bind(d.settings.PeerListen, d.settings.PeerTLS, d.peerRoutes())
	if err != nil {
		d.callers.Kill()
		d.admins.Kill()
	}
	return err
}

func (d *Daemon) bind(address string, t settings.TLS, routes []httpserve.Route) (*httpserve.Server, error) {
	c, err := keys.ServerTLS(t)
	if err != nil {
		return nil, err
	}
	return httpserve.Listen(httpserve.Options{Name: "mintlift-gateway", Address: address, TLS: c, Meter: &d.meter}, routes)
}

func (d *Daemon) startLoops() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	follower := &state.Follower{
		Replica: d.replica,
		Sources: d.directory.Sources(),
		Log:     d.journal,
		Peers:   d.directory.Checkpoint,
		Logger:  telemetry.Part(d.log, "state"),
	}
	checkpoints := &state.Checkpointer{Replica: d.replica, Log: d.journal, Logger: telemetry.Part(d.log, "state")}
	for _, f := range []func(context.Context){d.directory.Run, follower.Run, checkpoints.Run, d.probe, d.duties} {
		d.loops.Add(1)
		go func() {
			defer d.loops.Done()
			f(ctx)
		}()
	}
}

// CallerAddress is the address that callers use.
func (d *Daemon) CallerAddress() string { return d.callers.Address() }

// AdminAddress is the address that operators use.
func (d *Daemon) AdminAddress() string { return d.admins.Address() }

// PeerAddress is the address that sidecars use.
func (d *Daemon) PeerAddress() string { return d.sidecars.Address() }

// Stop drains: the health probe fails and new requests are refused, those
// in progress end. It returns nil once they have, or an error when the
// bound of the settings has passed.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("draining", "bound", d.settings.DrainTimeout.String())
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	err := d.requests.Drain(ctx)
	d.stop()
	d.loops.Wait()
	for _, s := range []*httpserve.Server{d.callers, d.admins, d.sidecars} {
		if stopErr := s.Stop(ctx); err == nil {
			err = stopErr
		}
	}
	d.log.Info("stopped")
	return err
}

// Kill ends at once, as a crash would, for tests.
func (d *Daemon) Kill() {
	for _, s := range []*httpserve.Server{d.callers, d.admins, d.sidecars} {
		s.Kill()
	}
	d.stop()
	d.loops.Wait()
}

func (d *Daemon) callerRoutes() []httpserve.Route {
	routes := []httpserve.Route{
		{Method: http.MethodPost, Path: engine.PathChat, Handler: d.handleModel},
		{Method: http.MethodPost, Path: engine.PathCompletions, Handler: d.handleModel},
		{Method: http.MethodGet, Path: "/v1/models", Handler: d.handleModels},
		{Method: http.MethodGet, Path: peer.PathHealth, Handler: d.handleHealth},
	}
	for _, method := range httpserve.Methods {
		routes = append(routes, httpserve.Route{Method: method, Path: "/v1/services/:service", Handler: d.handleService})
		routes = append(routes, httpserve.DeepRoutes(method, "/v1/services/:service", d.handleService)...)
	}
	return routes
}

func (d *Daemon) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if d.requests.Draining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // the prober has gone if this fails
}

// status describes this process.
func (d *Daemon) status() peer.Status {
	active, waiting := d.gate.Load()
	return peer.Status{
		Box:         d.settings.Node.Box,
		Incarnation: d.incarnation,
		Offset:      d.replica.Offset(),
		ContactMS:   time.Since(d.replica.Contact()).Milliseconds(),
		Draining:    d.requests.Draining(),
		Load:        active + waiting,
		Slots:       d.settings.MaxInFlight,
	}
}
