// SPDX-License-Identifier: Apache-2.0

// Package sidecar implements the process that runs beside each endpoint. It does the
// network I/O for the packages that decide, such as transfer, dedup and weights:
//
//   - copies.go and steps.go execute the plans that have a step for this box: fetch,
//     verify, load, serve, drain.
//   - fetch.go pulls chunks as package transfer decides; pulls.go sends chunks
//     to other boxes.
//   - orders.go sends fenced orders to the engine.
//   - requests.go is the only path to the endpoint: it admits, refuses and
//     forwards requests. signals.go enforces the endpoint's backpressure.
//   - claims.go grants the idempotency keys whose home is this sidecar. The home of a
//     key is the sidecar process that stores what is known of the key.
//
// Weights are stored only in the engine's staging memory. The sidecar streams
// received chunks into it, and reads the chunks that it sends to peers from it. The
// sidecar's memory use therefore does not depend on the size of the model.
//
// Lock order: copies.mu, then job.mu, then the locks of state.Replica, prio.Gate and
// dedup.Table. While one of the last three is held, no other lock is taken.
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

// Daemon is a running sidecar. Use Start to create one.
type Daemon struct {
	*process.Process

	settings        settings.Sidecar
	endpoint        *call.Client // for requests to the endpoint on this box
	endpointNoReuse *call.Client // like endpoint, with a new connection per request
	engine          *engine.Client

	copies        copies
	orders        orders
	uploadGate    *prio.Gate // limits concurrent uploads of chunks to peers
	requestGate   *prio.Gate // limits concurrent requests to the endpoint
	endpointState *endpointState
	keys          dedup.Table // idempotency keys whose home is this sidecar
	server        *httpserve.Server
}

// Start runs a sidecar until Stop or Kill. It returns once the peer port is bound; the
// remaining work starts in the background.
func Start(s settings.Sidecar, log logr.Logger) (*Daemon, error) {
	common, err := process.New(process.Config{Node: s.Node, Platform: s.Platform, PeerTLS: s.PeerTLS, PeerKeyFile: s.PeerKeyFile, Log: log})
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		Process:         common,
		settings:        s,
		endpointState:   newEndpointState(),
		endpoint:        call.New("endpoint", call.Options{}),
		endpointNoReuse: call.New("endpoint", call.Options{NoReuse: true}),
		uploadGate:      prio.NewGate(prio.Queue{Slots: transfer.UploadSlots, MaxWaiting: transfer.UploadQueueLength}),
		requestGate:     prio.NewGate(prio.Queue{Slots: s.MaxInFlight, MaxWaiting: s.Queue, ClassSlots: s.MaxInFlight - reservedSlots(s.MaxInFlight)}),
	}
	d.engine = &engine.Client{Call: d.endpoint, Address: s.Endpoint}
	d.Metrics.RegisterState(d.Replica.Offset, d.Replica.Contact, d.requestGate.Load)
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

// reservedSlots returns how many of an endpoint's slots a single workspace cannot use,
// so that they remain for other workspaces. A slot is room for one request in flight.
// The result is an eighth of the slots, rounded up, but never all of them.
func reservedSlots(slots int) int {
	const share = 8
	return (slots + share - 1) / share % slots
}

// Address returns the address of the peer port.
func (d *Daemon) Address() string { return d.server.Address() }

// Stop drains the sidecar and stops it: it refuses new requests and waits until no
// request is in flight. It returns an error if ctx ends or the drain timeout of the
// settings passes first, or if the server does not stop.
func (d *Daemon) Stop(ctx context.Context) error {
	return d.Process.Stop(ctx, d.settings.DrainTimeout, d.server)
}

// Kill stops the sidecar without draining, to simulate a crash in tests.
func (d *Daemon) Kill() { d.Process.Kill(d.server) }

// status returns the status that this process serves to peers.
func (d *Daemon) status() peer.Status {
	active, waiting := d.requestGate.Load()
	s := d.Status()
	s.Service, s.Load, s.Slots = d.settings.Service, active+waiting, d.settings.MaxInFlight
	s.Copies, s.Loaded, s.MemoryBytes = d.copies.report()
	s.EngineKnown = d.copies.engineKnown()
	s.Draining = s.Draining || d.endpointState.draining(clock.Now())
	return s
}

// routes returns the routes of the peer port.
func (d *Daemon) routes() []httpserve.Route {
	routes := append(d.Routes(d.status), []httpserve.Route{
		{Method: http.MethodPost, Path: "/peer/v1/weights/:model/:version/pull", Handler: d.RequirePeerKey(d.handlePull)},
		{Method: http.MethodGet, Path: "/peer/v1/weights/:model/:version/manifest", Handler: d.RequirePeerKey(d.handleManifest)},
		{Method: http.MethodGet, Path: peer.PathResume + ":id", Handler: d.RequirePeerKey(d.handleResume)},
		{Method: http.MethodPost, Path: peer.PathCancel + ":id", Handler: d.RequirePeerKey(d.handleCancel)},
		{Method: http.MethodPost, Path: peer.PathClaim, Handler: d.RequirePeerKey(d.handleClaim)},
		{Method: http.MethodPost, Path: peer.PathFinish, Handler: d.RequirePeerKey(d.handleFinish)},
		{Method: http.MethodPost, Path: peer.PathRun + engine.PathChat, Handler: d.RequirePeerKey(d.handleRun)},
		{Method: http.MethodPost, Path: peer.PathRun + engine.PathCompletions, Handler: d.RequirePeerKey(d.handleRun)},
	}...)
	for _, method := range httpserve.Methods {
		routes = append(routes, httpserve.Route{Method: method, Path: peer.PathRun + "/v1/services/:service", Handler: d.RequirePeerKey(d.handleRun)})
		routes = append(routes, httpserve.DeepRoutes(method, peer.PathRun+"/v1/services/:service", d.RequirePeerKey(d.handleRun))...)
	}
	return routes
}
