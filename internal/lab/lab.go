// SPDX-License-Identifier: Apache-2.0

// Package lab runs gateways, sidecars and stand-ins for the platform in one
// process, each on its own TCP port of a loopback address, for the demo and for
// tests.
// Gateways and sidecars are the daemons that also run in production.
package lab

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/gateway"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/internal/standin"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/settings"
	"github.com/mintlift/mintlift/sidecar"
	"github.com/mintlift/mintlift/telemetry"
)

// OperatorKey is the bootstrap operator's key in a lab.
const OperatorKey = "lab-operator-key-0123456789"

// defaultIP is the IP address of labs whose configuration has none.
const defaultIP = "127.0.0.1"

// anyLoopbackPort is a listen address of 127.0.0.1 with a free port, which the
// system chooses.
const anyLoopbackPort = defaultIP + ":0"

// Config describes a lab.
type Config struct {
	Gateways int
	Engines  int
	Services int
	// IP is the loopback address of all listeners. The default is 127.0.0.1. Labs
	// that run at the same time need one each: otherwise one of them may get the
	// port of a killed process of another, and the calls meant for that process.
	IP string
	// Zones are assigned to the boxes round-robin. By default there is one
	// zone.
	Zones []membership.AvailabilityZone
	// EngineMemory limits the bytes of each engine's loaded versions; 0 means
	// no limit.
	EngineMemory int64
	// ChecksFences makes the engines reject an order whose epoch or fence (the
	// fencing token of its plan) is older than that of an accepted order.
	ChecksFences bool
	// TokenTime is the time that the engines take to generate each token.
	TokenTime time.Duration
	// Links are the link rates in the settings of all daemons. Links.Origin
	// also limits the origin's bandwidth.
	Links settings.Links
	// LogOutput receives the daemons' logs; nil discards them.
	LogOutput io.Writer
	// LogLevel is a level of package telemetry. The default is info.
	LogLevel string
	// GatewaySettings and SidecarSettings, if not nil, are called before the
	// start of each daemon and may change its settings.
	GatewaySettings func(*settings.Gateway)
	SidecarSettings func(*settings.Sidecar)
}

// Box is a machine of the lab that runs an endpoint and its sidecar.
type Box struct {
	Entry    membership.Box   // its entry in the box list
	Engine   *standin.Engine  // nil if the endpoint is a plain service
	Service  *standin.Service // nil if the endpoint is a model engine
	Sidecar  *sidecar.Daemon  // nil after KillBox
	endpoint *standin.Server
}

// Lab is a set of running gateways, boxes and stand-ins.
type Lab struct {
	Config
	Log      *standin.Log
	Store    *standin.Store
	BoxList  *standin.BoxList
	Gateways []*gateway.Daemon
	Boxes    []*Box

	log      logr.Logger
	servers  []*standin.Server
	platform settings.Platform // addresses of the stand-ins
	dir      string
	initial  []membership.Box // boxes to publish when all of them have started
	started  bool             // the initial boxes are published
}

// ServiceName is the name of a lab's plain service.
const ServiceName = "orders"

// Start starts a lab. The caller must call Close.
func Start(c Config) (*Lab, error) {
	httpserve.DisableGoZeroLogs()
	if len(c.Zones) == 0 {
		c.Zones = []membership.AvailabilityZone{{Region: "r1", Zone: "a"}}
	}
	l := &Lab{Config: c, Log: standin.NewLog(), Store: standin.NewStore(c.Links.Origin), BoxList: new(standin.BoxList), log: logr.Discard()}
	if c.LogOutput != nil {
		l.log = telemetry.NewLogger(c.LogOutput, telemetry.LogSettings{Level: cmp.Or(c.LogLevel, telemetry.LevelInfo)})
	}
	if err := l.start(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// start starts the stand-ins (test doubles of the platform's services), the gateways
// and the boxes.
func (l *Lab) start() error {
	dir, err := os.MkdirTemp("", "mintlift-lab-")
	if err != nil {
		return err
	}
	l.dir = dir
	if err := os.WriteFile(l.keyFile(), []byte(OperatorKey), 0o600); err != nil {
		return err
	}
	if err := l.startPlatform(); err != nil {
		return err
	}
	for i := range l.Config.Gateways {
		if err := l.AddGateway(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	for i := range l.Engines {
		if err := l.AddBox(fmt.Sprintf("engine-%02d", i+1), i, ""); err != nil {
			return err
		}
	}
	for i := range l.Services {
		if err := l.AddBox(fmt.Sprintf("orders-%02d", i+1), i, ServiceName); err != nil {
			return err
		}
	}
	l.BoxList.Set(l.initial)
	l.started = true
	return nil
}

// publish adds a box to the box list. Before the lab has started, it only collects
// the boxes, which are then published together.
func (l *Lab) publish(b membership.Box) {
	if l.started {
		l.BoxList.Put(b)
		return
	}
	l.initial = append(l.initial, b)
}

// keyFile returns the path of the file with the operator's key.
func (l *Lab) keyFile() string { return filepath.Join(l.dir, "operator.key") }

// startPlatform starts the stand-ins for the log, the store and the box list.
func (l *Lab) startPlatform() error {
	addresses := make([]string, 3)
	for i, h := range []http.Handler{l.Log.Handler(), l.Store.Handler(), l.BoxList.Handler()} {
		s, err := standin.Serve(l.anyPort(), h)
		if err != nil {
			return err
		}
		l.servers = append(l.servers, s)
		addresses[i] = s.Address()
	}
	l.platform = settings.Platform{Log: addresses[0], WeightStore: addresses[1], Origin: addresses[1], BoxList: addresses[2]}
	return nil
}

// zone returns the zone with the given index, modulo the number of zones.
func (l *Lab) zone(i int) membership.AvailabilityZone { return l.Zones[i%len(l.Zones)] }

// anyPort returns a listen address with a free port, which the system chooses.
func (l *Lab) anyPort() string { return net.JoinHostPort(cmp.Or(l.IP, defaultIP), "0") }

// nodeSettings returns the settings of a process on the given box and zone.
func nodeSettings(box string, z membership.AvailabilityZone) settings.Node {
	return settings.Node{Box: box, Region: z.Region, Zone: z.Zone}
}

// AddGateway starts another gateway.
func (l *Lab) AddGateway(box string) error {
	z := l.zone(len(l.Gateways))
	s := settings.DefaultGateway()
	s.Node, s.Platform, s.Links = nodeSettings(box, z), l.platform, l.Links
	s.CallerListen, s.AdminListen, s.PeerListen = l.anyPort(), l.anyPort(), l.anyPort()
	s.OperatorKeyFile = l.keyFile()
	if l.GatewaySettings != nil {
		l.GatewaySettings(&s)
	}
	g, err := gateway.Start(s, l.log.WithName(box))
	if err != nil {
		return err
	}
	l.Gateways = append(l.Gateways, g)
	l.publish(membership.Box{ID: box, Zone: z, Role: membership.Gateway, Address: g.PeerAddress(), State: membership.Live})
	return nil
}

// AddBox starts another endpoint with its sidecar in the zone with the given
// index, modulo the number of zones. The endpoint is a model engine if service
// is empty.
func (l *Lab) AddBox(id string, zone int, service string) error {
	b := &Box{Entry: membership.Box{ID: id, Zone: l.zone(zone), Role: membership.Endpoint, Service: service, State: membership.Live}}
	var h http.Handler
	if service == "" {
		b.Engine = standin.NewEngine()
		b.Engine.MemoryBytes, b.Engine.ChecksFences = l.EngineMemory, l.ChecksFences
		b.Engine.TokenTime, b.Engine.FirstTokenTime = l.TokenTime, l.TokenTime
		h = b.Engine.Handler()
	} else {
		b.Service = new(standin.Service)
		h = b.Service.Handler()
	}
	var err error
	if b.endpoint, err = standin.Serve(l.anyPort(), h); err != nil {
		return err
	}
	l.Boxes = append(l.Boxes, b)
	return l.StartSidecar(b)
}

// StartSidecar starts a box's sidecar. A previous sidecar of the box must have
// ended.
func (l *Lab) StartSidecar(b *Box) error {
	s := settings.DefaultSidecar()
	s.Node, s.Platform, s.Links = nodeSettings(b.Entry.ID, b.Entry.Zone), l.platform, l.Links
	s.PeerListen, s.Endpoint, s.Service = l.anyPort(), b.endpoint.Address(), b.Entry.Service
	if l.SidecarSettings != nil {
		l.SidecarSettings(&s)
	}
	d, err := sidecar.Start(s, l.log.WithName(b.Entry.ID))
	if err != nil {
		return err
	}
	b.Sidecar = d
	b.Entry.Address = d.Address()
	l.publish(b.Entry)
	return nil
}

// KillBox simulates a power failure of a box: it kills the endpoint and the
// sidecar. If delist is set, it then also removes the box from the box list.
func (l *Lab) KillBox(b *Box, delist bool) {
	b.endpoint.Close()
	b.Sidecar.Kill()
	b.Sidecar = nil
	if delist {
		l.BoxList.Remove(b.Entry.ID)
	}
}

// Admin returns a client of a gateway's administration API.
func (l *Lab) Admin(gateway int) *admin.Client {
	return admin.NewClient(l.Gateways[gateway].AdminAddress(), OperatorKey, call.Options{})
}

// AddWorkspace adds a workspace with the key WorkspaceKey(name). floor is the
// minimum number of boxes that must keep serving the workspace during a rollout.
func (l *Lab) AddWorkspace(ctx context.Context, name string, priority, floor int) error {
	key := WorkspaceKey(name)
	_, err := l.Admin(0).SetWorkspace(ctx, name, admin.WorkspaceChange{Key: &key, Priority: &priority, Floor: &floor})
	return err
}

// WorkspaceKey returns the key of a workspace added by AddWorkspace.
func WorkspaceKey(name string) string { return "lab-workspace-key-" + name }

// Rollout creates an intent through the first gateway and confirms its plan.
func (l *Lab) Rollout(ctx context.Context, in intent.Intent) (*intent.Plan, error) {
	client := l.Admin(0)
	p, err := client.CreateIntent(ctx, in)
	if err != nil {
		return nil, err
	}
	return client.Confirm(ctx, p.ID)
}

// AwaitDone polls a plan until it is done, that is, until all its boxes that
// respond serve its version. It returns the last progress.
func (l *Lab) AwaitDone(ctx context.Context, plan string) (*admin.Progress, error) {
	const interval = 50 * time.Millisecond
	for {
		p, err := l.Admin(0).Progress(ctx, plan)
		if err != nil {
			return nil, err
		}
		if p.Done() {
			return p, nil
		}
		select {
		case <-ctx.Done():
			return p, fmt.Errorf("plan %s is not done: %d of %d boxes serve: %w", plan, p.Serving, len(p.Boxes), ctx.Err())
		case <-time.After(interval):
		}
	}
}

// AwaitBoxes waits until each gateway reports at least n boxes as reached.
func (l *Lab) AwaitBoxes(ctx context.Context, n int) error {
	for i := range l.Gateways {
		if err := l.awaitBoxes(ctx, i, n); err != nil {
			return err
		}
	}
	return nil
}

// awaitBoxes waits until one gateway reports at least n boxes as reached. A box
// with an engine counts once the engine's state is known.
func (l *Lab) awaitBoxes(ctx context.Context, gateway, n int) error {
	const interval = 50 * time.Millisecond
	for {
		boxes, err := l.Admin(gateway).Boxes(ctx)
		reached := 0
		for _, b := range boxes {
			if b.Reached && (b.Box.Service != "" || b.Status.EngineKnown) {
				reached++
			}
		}
		if err == nil && reached >= n {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d boxes reached: %w", reached, n, ctx.Err())
		case <-time.After(interval):
		}
	}
}

// Close kills all daemons, stops the stand-ins and removes the temporary
// folder.
func (l *Lab) Close() {
	for _, b := range l.Boxes {
		if b.Sidecar != nil {
			b.Sidecar.Kill()
		}
		b.endpoint.Close()
	}
	for _, g := range l.Gateways {
		g.Kill()
	}
	for _, s := range l.servers {
		s.Close()
	}
	_ = os.RemoveAll(l.dir) // a leftover temporary folder does no harm
}
