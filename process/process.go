// SPDX-License-Identifier: Apache-2.0

// Package process holds what a gateway and a sidecar have in common: the
// state that follows the log, the clients towards the platform and other
// processes, the shared key, metrics, and the way to stop.
package process

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/mintlift/mintlift/dedup"
	"github.com/mintlift/mintlift/drain"
	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/internal/meter"
	"github.com/mintlift/mintlift/keys"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/relay"
	"github.com/mintlift/mintlift/settings"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/telemetry"
)

// Config is what a Process is made from.
type Config struct {
	Node        settings.Node
	Platform    settings.Platform
	PeerTLS     settings.TLS
	PeerKeyFile string
	Log         logr.Logger
	// Direct makes the process read the log and the box list itself, as
	// gateways do.
	Direct bool
}

// Process is the common part of a daemon. Use New.
type Process struct {
	Log     logr.Logger
	Metrics *telemetry.Metrics
	// Meter counts all connections but those to an endpoint.
	Meter *meter.Meter
	// Incarnation is new at each start.
	Incarnation string
	Replica     *state.Replica
	Directory   *relay.Directory
	// Journal is the log service itself.
	Journal *eventlog.Client
	// Platform and Peers are the clients towards the platform and towards
	// other processes of mintlift.
	Platform *call.Client
	Peers    *call.Client
	// Requests counts the requests in progress.
	Requests drain.Tracker

	config     Config
	peerTLS    call.Options
	peerKey    peer.Token
	stop       context.CancelFunc
	ctx        context.Context
	background sync.WaitGroup
}

// New prepares a process; nothing runs until Follow or Go.
func New(c Config) (*Process, error) {
	key, err := keys.OpenFile(c.PeerKeyFile)
	if err != nil {
		return nil, err
	}
	peerTLS, err := keys.PeerTLS(c.PeerTLS)
	if err != nil {
		return nil, err
	}
	p := &Process{
		Log:         c.Log,
		Metrics:     telemetry.NewMetrics(),
		Meter:       new(meter.Meter),
		Incarnation: uuid.NewString(),
		Replica:     state.NewReplica(),
		config:      c,
		peerKey:     key.Key,
	}
	p.peerTLS = call.Options{TLS: peerTLS, Meter: p.Meter}
	p.Platform = call.New("platform", call.Options{Meter: p.Meter})
	p.Peers = peer.NewClient(p.peerTLS, p.peerKey)
	p.Journal = &eventlog.Client{Call: p.Platform, Address: c.Platform.Log}
	p.Directory = &relay.Directory{
		Self:     c.Node.Box,
		Platform: p.Platform,
		Peers:    p.Peers,
		BoxList:  c.Platform.BoxList,
		Log:      p.Journal,
		Logger:   telemetry.Part(c.Log, "relay"),
		Direct:   c.Direct,
	}
	p.Metrics.Traffic(p.Meter)
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p, nil
}

// PeersOnce returns a client like Peers that opens a connection for each
// request, for requests that are not repeatable.
func (p *Process) PeersOnce() *call.Client {
	o := p.peerTLS
	o.NoReuse = true
	return peer.NewClient(o, p.peerKey)
}

// Listen binds an address and serves routes under the given TLS settings.
func (p *Process) Listen(name, address string, t settings.TLS, routes []httpserve.Route) (*httpserve.Server, error) {
	c, err := keys.ServerTLS(t)
	if err != nil {
		return nil, err
	}
	return httpserve.Listen(httpserve.Options{Name: name, Address: address, TLS: c, Meter: p.Meter}, routes)
}

// Follow starts to follow the box list and the log.
func (p *Process) Follow() {
	follower := &state.Follower{
		Replica:    p.Replica,
		Sources:    p.Directory.Sources(),
		Log:        p.Journal,
		Peers:      p.Directory.Checkpoint,
		PeersFirst: !p.config.Direct,
		Logger:     telemetry.Part(p.Log, "state"),
	}
	p.Go(p.Directory.Run)
	p.Go(follower.Run)
}

// Go runs f until the process ends.
func (p *Process) Go(f func(context.Context)) {
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		f(p.ctx)
	}()
}

// Stop drains: new requests are refused, those in progress end, within the
// bound. Then the loops end and the servers close.
func (p *Process) Stop(ctx context.Context, bound time.Duration, servers ...*httpserve.Server) error {
	p.Log.Info("draining", "bound", bound.String())
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	err := p.Requests.Drain(ctx)
	p.stop()
	p.background.Wait()
	for _, s := range servers {
		if stopErr := s.Stop(ctx); err == nil {
			err = stopErr
		}
	}
	p.Log.Info("stopped")
	return err
}

// Kill ends at once, as a crash would, for tests.
func (p *Process) Kill(servers ...*httpserve.Server) {
	for _, s := range servers {
		s.Kill()
	}
	p.stop()
	p.background.Wait()
}

// Guard asks callers for the shared key and marks answers while draining.
func (p *Process) Guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.peerKey.Allowed(r) {
			p.Log.Info("peer without the key refused", "from", r.RemoteAddr)
			http.Error(w, "wrong or missing key", http.StatusUnauthorized)
			return
		}
		if p.Requests.Draining() {
			w.Header().Set(peer.HeaderDraining, "1")
		}
		h(w, r)
	}
}

// Routes are the peer routes that every process has. status describes the
// process.
func (p *Process) Routes(status func() peer.Status) []httpserve.Route {
	return []httpserve.Route{
		{Method: http.MethodGet, Path: peer.PathStatus, Handler: p.Guard(func(w http.ResponseWriter, r *http.Request) { writeStatus(w, r, status()) })},
		{Method: http.MethodGet, Path: peer.PathCheckpoint, Handler: p.Guard(func(w http.ResponseWriter, _ *http.Request) {
			httpserve.WriteJSON(w, http.StatusOK, p.Replica.Checkpoint())
		})},
		{Method: http.MethodGet, Path: peer.PathMetrics, Handler: p.Metrics.Handler},
		{Method: http.MethodGet, Path: peer.PathHealth, Handler: p.Health},
	}
}

// writeStatus answers 304 to a prober that knows all but the numbers that
// change from moment to moment.
func writeStatus(w http.ResponseWriter, r *http.Request, s peer.Status) {
	lasting := s
	lasting.Offset, lasting.ContactMS, lasting.Load = 0, 0, 0
	httpserve.WriteTagged(w, r, httpserve.Tag(lasting), s)
}

// Health answers the platform's probe: 503 while draining.
func (p *Process) Health(w http.ResponseWriter, _ *http.Request) {
	if p.Requests.Draining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // the prober has gone if this fails
}

// Status fills in what every process says about itself.
func (p *Process) Status() peer.Status {
	silent := time.Since(p.Replica.Contact())
	return peer.Status{
		Box:         p.config.Node.Box,
		Incarnation: p.Incarnation,
		Offset:      p.Replica.Offset(),
		ContactMS:   silent.Milliseconds(),
		Draining:    p.Requests.Draining(),
		Ready:       silent < dedup.Lease,
	}
}
