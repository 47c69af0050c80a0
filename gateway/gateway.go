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
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/singleflight"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/keys"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/prio"
	"github.com/mintlift/mintlift/process"
	"github.com/mintlift/mintlift/route"
	"github.com/mintlift/mintlift/settings"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/telemetry"
)

// Daemon is a running gateway. Use Start.
type Daemon struct {
	*process.Process

	settings  settings.Gateway
	started   time.Time
	once      *call.Client // sidecars, without reuse of connections
	manifests manifests

	view   view
	probes singleflight.Group
	probed time.Time // of the last probeNow; only probes touches it
	table  route.Table
	limits route.Limits
	budget route.Budget
	gate   *prio.Gate

	callers  *httpserve.Server
	admins   *httpserve.Server
	sidecars *httpserve.Server
}

// Start runs a gateway until Stop or Kill. It returns once all three ports
// are bound.
func Start(s settings.Gateway, log logr.Logger) (*Daemon, error) {
	common, err := process.New(process.Config{Node: s.Node, Platform: s.Platform, PeerTLS: s.PeerTLS, PeerKeyFile: s.PeerKeyFile, Log: log, Direct: true})
	if err != nil {
		return nil, err
	}
	d := &Daemon{Process: common, settings: s, started: time.Now(), once: common.PeersOnce(), gate: prio.NewGate(prio.Queue{Slots: s.MaxInFlight, Waiting: s.Queue})}
	d.Metrics.State(d.Replica.Offset, d.Replica.Contact, d.gate.Load)
	if err := d.listen(); err != nil {
		return nil, err
	}
	checkpoints := &state.Checkpointer{Replica: d.Replica, Log: d.Journal, Logger: telemetry.Part(d.Log, "state")}
	d.Follow()
	d.Go(checkpoints.Run)
	d.Go(d.probe)
	d.Go(d.duties)
	d.Log.Info("started", "box", s.Node.Box, "callers", d.CallerAddress(), "operators", d.AdminAddress(), "peers", d.PeerAddress())
	return d, nil
}

func (d *Daemon) listen() (err error) {
	operatorKey, err := keys.OpenFile(d.settings.OperatorKeyFile)
	if err != nil {
		return err
	}
	api := &admin.Server{
		Replica:   d.Replica,
		Journal:   d.Journal,
		World:     d,
		Bootstrap: operatorKey.Key,
		Logger:    telemetry.Part(d.Log, "admin"),
		Weighing:  d.settings.Weighing,
		PlanTTL:   d.settings.PlanTTL,
	}
	s := d.settings
	const name = "mintlift-gateway"
	if d.callers, err = d.Listen(name, s.CallerListen, s.CallerTLS, d.callerRoutes()); err != nil {
		return err
	}
	if d.admins, err = d.Listen(name, s.AdminListen, s.AdminTLS, api.Routes()); err != nil {
		d.callers.Kill()
		return err
	}
	if d.sidecars, err = d.Listen(name, s.PeerListen, s.PeerTLS, d.peerRoutes()); err != nil {
		d.callers.Kill()
		d.admins.Kill()
	}
	return err
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
	return d.Process.Stop(ctx, d.settings.DrainTimeout, d.callers, d.admins, d.sidecars)
}

// Kill ends at once, as a crash would, for tests.
func (d *Daemon) Kill() { d.Process.Kill(d.callers, d.admins, d.sidecars) }

func (d *Daemon) callerRoutes() []httpserve.Route {
	routes := []httpserve.Route{
		{Method: http.MethodPost, Path: engine.PathChat, Handler: d.handleModel},
		{Method: http.MethodPost, Path: engine.PathCompletions, Handler: d.handleModel},
		{Method: http.MethodGet, Path: "/v1/models", Handler: d.handleModels},
		{Method: http.MethodGet, Path: peer.PathHealth, Handler: d.Health},
	}
	for _, method := range httpserve.Methods {
		routes = append(routes, httpserve.Route{Method: method, Path: "/v1/services/:service", Handler: d.handleService})
		routes = append(routes, httpserve.DeepRoutes(method, "/v1/services/:service", d.handleService)...)
	}
	return routes
}

// status describes this process.
func (d *Daemon) status() peer.Status {
	active, waiting := d.gate.Load()
	s := d.Status()
	s.Load, s.Slots = active+waiting, d.settings.MaxInFlight
	return s
}
