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

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/dedup"
	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/prio"
	"github.com/mintlift/mintlift/process"
	"github.com/mintlift/mintlift/settings"
	"github.com/mintlift/mintlift/transfer"
)

// Daemon is a running sidecar. Use Start.
type Daemon struct {
	*process.Process

	settings settings.Sidecar
	endpoint *call.Client // the endpoint on this box
	endpointNoReuse     *call.Client // the endpoint, without reuse of connections
	engine   *engine.Client

	copies  copies
	orders  orders
	uploadGate *prio.Gate
	requestGate    *prio.Gate
	endpointState *endpointState
	keys  dedup.Table
	server  *httpserve.Server
}

// Start runs a sidecar until Stop or Kill. It returns once the peer port is
// bound; everything else starts behind it.
func Start(s settings.Sidecar, log logr.Logger) (*Daemon, error) {
	common, err := process.New(process.Config{Node: s.Node, Platform: s.Platform, PeerTLS: s.PeerTLS, PeerKeyFile: s.PeerKeyFile, Log: log})
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		Process:  common,
		settings: s,
		endpointState:  newEndpointState(),
		endpoint: call.New("endpoint", call.Options{}),
		endpointNoReuse:     call.New("endpoint", call.Options{NoReuse: true}),
		uploadGate:  prio.NewGate(prio.Queue{Slots: transfer.UploadSlots, Waiting: transfer.UploadWaiting}),
		requestGate:     prio.NewGate(prio.Queue{Slots: s.MaxInFlight, Waiting: s.Queue, ClassSlots: s.MaxInFlight - reservedSlots(s.MaxInFlight)}),
	}
	d.engine = &engine.Client{Call: d.endpoint, Address: s.Endpoint}
	d.Metrics.State(d.Replica.Offset, d.Replica.Contact, d.requestGate.Load)
	d.server, err = d.Listen("mintlift-sidecar", s.PeerListen, s.PeerTLS, d.routes())
	if err != nil {
		return nil, err
	}
	d.Follow()
	d.Go(d.detectPauses)
	if s.Service == "" {
		d.Go(d.runCopies)
	}
	d.Log.Info("started", "box", s.Node.Box, "address", d.server.Address(), "incarnation", d.Incarnation)
	return d, nil
}

// reserved is how many of an endpoint's slots one workspace alone cannot
// take, so that another's request finds one free whatever the first floods.
func reservedSlots(slots int) int {
	const share = 8
	return (slots + share - 1) / share % slots
}

// Address is the address of the peer port.
func (d *Daemon) Address() string { return d.server.Address() }

// Stop drains: it refuses new work, lets requests in progress end, and
// returns nil once they have, or an error when the bound of the settings
// has passed.
func (d *Daemon) Stop(ctx context.Context) error {
	return d.Process.Stop(ctx, d.settings.DrainTimeout, d.server)
}

// Kill ends at once, as a crash would, for tests.
func (d *Daemon) Kill() { d.Process.Kill(d.server) }

// status describes this process.
func (d *Daemon) status() peer.Status {
	active, waiting := d.requestGate.Load()
	s := d.Status()
	s.Service, s.Load, s.Slots = d.settings.Service, active+waiting, d.settings.MaxInFlight
	s.Copies, s.Loaded, s.MemoryBytes = d.copies.report()
	s.EngineKnown = d.copies.engineKnown()
	s.Draining = s.Draining || d.endpointState.draining(clock.Now())
	return s
}

func (d *Daemon) routes() []httpserve.Route {
	routes := append(d.Routes(d.status), []httpserve.Route{
		{Method: http.MethodPost, Path: "/peer/v1/weights/:model/:version/pull", Handler: d.Guard(d.handlePull)},
		{Method: http.MethodGet, Path: "/peer/v1/weights/:model/:version/manifest", Handler: d.Guard(d.handleManifest)},
		{Method: http.MethodGet, Path: peer.PathResume + ":id", Handler: d.Guard(d.handleResume)},
		{Method: http.MethodPost, Path: peer.PathCancel + ":id", Handler: d.Guard(d.handleCancel)},
		{Method: http.MethodPost, Path: peer.PathClaim, Handler: d.Guard(d.handleClaim)},
		{Method: http.MethodPost, Path: peer.PathFinish, Handler: d.Guard(d.handleFinish)},
		{Method: http.MethodPost, Path: peer.PathRun + engine.PathChat, Handler: d.Guard(d.handleRun)},
		{Method: http.MethodPost, Path: peer.PathRun + engine.PathCompletions, Handler: d.Guard(d.handleRun)},
	}...)
	for _, method := range httpserve.Methods {
		routes = append(routes, httpserve.Route{Method: method, Path: peer.PathRun + "/v1/services/:service", Handler: d.Guard(d.handleRun)})
		routes = append(routes, httpserve.DeepRoutes(method, peer.PathRun+"/v1/services/:service", d.Guard(d.handleRun))...)
	}
	return routes
}
