// SPDX-License-Identifier: Apache-2.0

// Package sidecar is the process beside each endpoint. It wires the
// decision packages to the network and decides nothing by itself:
//
//   - copies.go carries out the plans that name this box: fetch, verify,
//     load, serve, drain.
//   - fetch.go pulls chunks as package transfer decides; pulls.go passes
//     them on to other boxes.
//   - orders.go gives the engine fenced orders.
//   - requests.go is the only path to the endpoint: it admits, refuses and
//     forwards, and holds the memory of package dedup.
//
// The weights themselves stand in the engine's staging memory: a chunk
// streams through the sidecar into it and is read back from it to be passed
// on, so the sidecar's own memory does not grow with the model.
//
// Locks, in the order in which they may be taken: copies.mu, then a job's
// mu, then the leaves (state.Replica, prio.Gate, dedup.Memory).
package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/mintlift/mintlift/dedup"
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
	"github.com/mintlift/mintlift/settings"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/transfer"
)

// Daemon is a running sidecar. Use Start.
type Daemon struct {
	settings    settings.Sidecar
	log         logr.Logger
	metrics     *telemetry.Metrics
	meter       meter.Meter // all connections but those to the endpoint
	incarnation string
	replica     *state.Replica
	directory   *relay.Directory

	platform *call.Client // log, weight store, origin
	peers    *call.Client // other processes of mintlift
	endpoint *call.Client // the endpoint on this box
	once     *call.Client // the endpoint, without reuse of connections
	engine   *engine.Client
	token    peer.Token

	copies  copies
	orders  orders
	uploads *prio.Gate
	gate    *prio.Gate
	memory  dedup.Memory

	requests drain.Tracker
	server   *httpserve.Server
	stop     context.CancelFunc
	loops    sync.WaitGroup
}

// Start runs a sidecar until Stop or Kill. It returns once the peer port is
// bound; everything else starts behind it.
func Start(s settings.Sidecar, log logr.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		log:         log,
		metrics:     telemetry.NewMetrics(),
		incarnation: uuid.NewString(),
		replica:     state.NewReplica(),
		uploads:     prio.NewGate(transfer.UploadSlots, transfer.UploadWaiting),
		gate:        prio.NewGate(s.MaxInFlight, s.Queue),
	}
	d.metrics.Traffic(&d.meter)
	d.metrics.State(d.replica.Offset, d.replica.Contact, d.gate.Load)
	if err := d.connect(); err != nil {
		return nil, err
	}
	serverTLS, err := keys.ServerTLS(s.PeerTLS)
	if err != nil {
		return nil, err
	}
	d.server, err = httpserve.Listen(httpserve.Options{Name: "mintlift-sidecar", Address: s.PeerListen, TLS: serverTLS, Meter: &d.meter}, d.routes())
	if err != nil {
		return nil, err
	}
	d.run()
	d.log.Info("started", "box", s.Node.Box, "address", d.server.Address(), "incarnation", d.incarnation)
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
	d.endpoint = call.New("endpoint", call.Options{})
	d.once = call.New("endpoint", call.Options{NoReuse: true})
	d.engine = &engine.Client{Call: d.endpoint, Address: d.settings.Endpoint}
	d.directory = &relay.Directory{
		Self:     d.settings.Node.Box,
		Platform: d.platform,
		Peers:    d.peers,
		BoxList:  d.settings.Platform.BoxList,
		Log:      &journal.Client{Call: d.platform, Address: d.settings.Platform.Log},
		Logger:   telemetry.Part(d.log, "relay"),
	}
	return nil
}

func (d *Daemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	follower := &state.Follower{
		Replica: d.replica,
		Sources: d.directory.Sources(),
		Log:     d.directory.Log,
		Peers:   d.directory.Checkpoint,

		PeersFirst: true,
		Logger:     telemetry.Part(d.log, "state"),
	}
	d.loop(ctx, d.directory.Run)
	d.loop(ctx, follower.Run)
	d.loop(ctx, d.watchClock)
	if d.settings.Service == "" {
		d.loop(ctx, d.runCopies)
	}
}

func (d *Daemon) loop(ctx context.Context, f func(context.Context)) {
	d.loops.Add(1)
	go func() {
		defer d.loops.Done()
		f(ctx)
	}()
}

// Address is the address of the peer port.
func (d *Daemon) Address() string { return d.server.Address() }

// Stop drains: it refuses new work, lets requests in progress end, and
// returns nil once they have, or an error when the bound of the settings
// has passed.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("draining", "bound", d.settings.DrainTimeout.String())
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	err := d.requests.Drain(ctx)
	d.stop()
	d.loops.Wait()
	if stopErr := d.server.Stop(ctx); err == nil {
		err = stopErr
	}
	d.log.Info("stopped")
	return err
}

// Kill ends at once, as a crash would, for tests.
func (d *Daemon) Kill() {
	d.server.Kill()
	d.stop()
	d.loops.Wait()
}

// status describes this process.
func (d *Daemon) status() peer.Status {
	active, waiting := d.gate.Load()
	s := peer.Status{
		Box:         d.settings.Node.Box,
		Incarnation: d.incarnation,
		Offset:      d.replica.Offset(),
		ContactMS:   time.Since(d.replica.Contact()).Milliseconds(),
		Draining:    d.requests.Draining(),
		Service:     d.settings.Service,
		Load:        active + waiting,
		Slots:       d.settings.MaxInFlight,
	}
	s.Copies, s.Loaded, s.MemoryBytes = d.copies.report()
	return s
}

func (d *Daemon) routes() []httpserve.Route {
	routes := []httpserve.Route{
		{Method: http.MethodGet, Path: peer.PathStatus, Handler: d.guard(d.handleStatus)},
		{Method: http.MethodGet, Path: peer.PathCheckpoint, Handler: d.guard(d.handleCheckpoint)},
		{Method: http.MethodGet, Path: peer.PathMetrics, Handler: d.metrics.Handler},
		{Method: http.MethodGet, Path: peer.PathHealth, Handler: d.handleHealth},
		{Method: http.MethodPost, Path: "/peer/v1/weights/:model/:version/pull", Handler: d.guard(d.handlePull)},
		{Method: http.MethodGet, Path: "/peer/v1/weights/:model/:version/manifest", Handler: d.guard(d.handleManifest)},
		{Method: http.MethodGet, Path: peer.PathResume + ":id", Handler: d.guard(d.handleResume)},
		{Method: http.MethodPost, Path: peer.PathCancel + ":id", Handler: d.guard(d.handleCancel)},
		{Method: http.MethodPost, Path: peer.PathClaim, Handler: d.guard(d.handleClaim)},
		{Method: http.MethodPost, Path: peer.PathFinish, Handler: d.guard(d.handleFinish)},
		{Method: http.MethodPost, Path: peer.PathRun + engine.PathChat, Handler: d.guard(d.handleRun)},
		{Method: http.MethodPost, Path: peer.PathRun + engine.PathCompletions, Handler: d.guard(d.handleRun)},
	}
	for _, method := range httpserve.Methods {
		routes = append(routes, httpserve.Route{Method: method, Path: peer.PathRun + "/v1/services/:service", Handler: d.guard(d.handleRun)})
		routes = append(routes, httpserve.DeepRoutes(method, peer.PathRun+"/v1/services/:service", d.guard(d.handleRun))...)
	}
	return routes
}

// guard asks callers for the shared key and marks answers while draining.
func (d *Daemon) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !d.token.Allowed(r) {
			d.log.Info("peer without the key refused", "from", r.RemoteAddr)
			http.Error(w, "wrong or missing key", http.StatusUnauthorized)
			return
		}
		if d.requests.Draining() {
			w.Header().Set(peer.HeaderDraining, "1")
		}
		h(w, r)
	}
}

// handleStatus answers 304 to a prober that knows all but the numbers that
// change from moment to moment.
func (d *Daemon) handleStatus(w http.ResponseWriter, r *http.Request) {
	s := d.status()
	lasting := s
	lasting.Offset, lasting.ContactMS, lasting.Load = 0, 0, 0
	httpserve.WriteTagged(w, r, httpserve.Tag(lasting), s)
}

func (d *Daemon) handleCheckpoint(w http.ResponseWriter, _ *http.Request) {
	httpserve.WriteJSON(w, http.StatusOK, d.replica.Checkpoint())
}

func (d *Daemon) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if d.requests.Draining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // the prober has gone if this fails
}
