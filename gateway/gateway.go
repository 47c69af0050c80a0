// SPDX-License-Identifier: Apache-2.0

// Package gateway implements the gateway process, which receives callers' requests
// and forwards them to the sidecars of endpoints. It does the network I/O for the
// packages that decide, such as route, dedup and intent:
//
//   - requests.go serves callers' requests: authentication (accept.go), choice
//     of an endpoint, attempts (attempt.go) and outcome. idempotency.go adds
//     requests with an idempotency key, stream.go streamed responses.
//   - probe.go polls the boxes for their status. cluster_tasks.go runs the tasks
//     that any gateway does for the whole cluster: recording the homes of
//     idempotency keys and advancing rollouts.
//   - relay.go serves the log and the box list to sidecars, manifest.go the
//     manifests.
//   - The administration API is package admin.
//
// A gateway keeps no durable state and does not depend on other gateways.
//
// Lock order: boxView.mu is acquired before the lock of route.Table. While any other
// lock is held, no further lock is acquired.
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

// Daemon is a running gateway, created by Start.
type Daemon struct {
	*process.Process

	settings       settings.Gateway
	startedAt      time.Time
	singleUsePeers *call.Client // client for sidecars that opens a connection for each request
	manifests      manifestCache

	view            boxView
	probeGroup      singleflight.Group // shares one probeNow between concurrent calls
	lastProbeNow    time.Time          // end of the last probeNow; used only within probeGroup
	table           route.Table
	workspaceLimits route.Limits // bounds the requests in flight of each workspace
	retryBudget     route.Budget
	gate            *prio.Gate // bounds the requests in flight of this gateway

	callerServer *httpserve.Server
	adminServer  *httpserve.Server
	peerServer   *httpserve.Server
}

// Start starts a gateway, which runs until Stop or Kill. It returns once all
// three ports are bound.
func Start(s settings.Gateway, log logr.Logger) (*Daemon, error) {
	common, err := process.New(process.Config{Node: s.Node, Platform: s.Platform, PeerTLS: s.PeerTLS, PeerKeyFile: s.PeerKeyFile, Log: log, Direct: true})
	if err != nil {
		return nil, err
	}
	d := &Daemon{Process: common, settings: s, startedAt: time.Now(), singleUsePeers: common.PeersWithoutReuse(), gate: prio.NewGate(prio.Queue{Slots: s.MaxInFlight, MaxWaiting: s.Queue})}
	d.Metrics.RegisterState(d.Replica.Offset, d.Replica.Contact, d.gate.Load)
	if err := d.listen(); err != nil {
		return nil, err
	}
	checkpoints := &state.Checkpointer{Replica: d.Replica, Log: d.EventLog, Logger: telemetry.NamedLogger(d.Log, "state")}
	d.Follow()
	d.Go(checkpoints.Run)
	d.Go(d.runProbes)
	d.Go(d.runClusterTasks)
	d.Log.Info("started", "box", s.Node.Box, "callers", d.CallerAddress(), "operators", d.AdminAddress(), "peers", d.PeerAddress())
	return d, nil
}

// listen starts the servers for callers, operators and peers. On an error none
// of them is left running.
func (d *Daemon) listen() (err error) {
	operatorKey, err := keys.OpenFile(d.settings.OperatorKeyFile)
	if err != nil {
		return err
	}
	api := &admin.Server{
		Replica:   d.Replica,
		EventLog:  d.EventLog,
		Cluster:   d,
		Bootstrap: operatorKey.Key,
		Logger:    telemetry.NamedLogger(d.Log, "admin"),
		Weighing:  d.settings.Weighing,
		PlanTTL:   d.settings.PlanTTL,
	}
	s := d.settings
	const name = "mintlift-gateway"
	if d.callerServer, err = d.Listen(name, s.CallerListen, s.CallerTLS, d.callerRoutes()); err != nil {
		return err
	}
	if d.adminServer, err = d.Listen(name, s.AdminListen, s.AdminTLS, api.Routes()); err != nil {
		d.callerServer.Kill()
		return err
	}
	if d.peerServer, err = d.Listen(name, s.PeerListen, s.PeerTLS, d.peerRoutes()); err != nil {
		d.callerServer.Kill()
		d.adminServer.Kill()
	}
	return err
}

// CallerAddress returns the address that callers use.
func (d *Daemon) CallerAddress() string { return d.callerServer.Address() }

// AdminAddress returns the address that operators use.
func (d *Daemon) AdminAddress() string { return d.adminServer.Address() }

// PeerAddress returns the address that sidecars use.
func (d *Daemon) PeerAddress() string { return d.peerServer.Address() }

// Stop drains the gateway and stops it. While it drains, the health check fails,
// new requests are refused, and requests in progress may complete. Stop returns an
// error if requests are still in progress after the drain timeout of the settings.
func (d *Daemon) Stop(ctx context.Context) error {
	return d.Process.Stop(ctx, d.settings.DrainTimeout, d.callerServer, d.adminServer, d.peerServer)
}

// Kill stops the gateway without draining, to simulate a crash in tests.
func (d *Daemon) Kill() { d.Process.Kill(d.callerServer, d.adminServer, d.peerServer) }

// callerRoutes returns the routes of the callers' port.
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

// localStatus returns the status of this process.
func (d *Daemon) localStatus() peer.Status {
	active, waiting := d.gate.Load()
	s := d.Status()
	s.Load, s.Slots = active+waiting, d.settings.MaxInFlight
	return s
}
