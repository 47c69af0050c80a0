// SPDX-License-Identifier: Apache-2.0

// Package process is the common part of the gateway and sidecar daemons: the
// state replica, the clients for the platform and other processes, shared-key
// authentication, metrics and graceful shutdown.
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

// Config configures a Process.
type Config struct {
	Node     settings.Node
	Platform settings.Platform
	PeerTLS  settings.TLS
	// PeerKeyFile is the path of the key that mintlift's processes share; see
	// settings.Gateway.
	PeerKeyFile string
	Log         logr.Logger
	// Direct makes the process read the event log and the box list from the
	// platform, as gateways do. Sidecars read them from a gateway.
	Direct bool
}

// Process is the common part of a daemon. Use New.
type Process struct {
	Log     logr.Logger
	Metrics *telemetry.Metrics
	// Meter counts the bytes of all connections except those to an endpoint.
	Meter *meter.Meter
	// Incarnation is a random id of this run of the process.
	Incarnation string
	// Replica is the process's copy of the state, which the event log determines.
	Replica *state.Replica
	// Directory reads the box list, and finds the sources to read the event log
	// from.
	Directory *relay.Directory
	// EventLog is the client of the platform's log service.
	EventLog *eventlog.Client
	// Platform is the client for the platform's services. Peers is the client for
	// other mintlift processes.
	Platform *call.Client
	Peers    *call.Client
	// Requests tracks the requests in flight, for draining.
	Requests drain.Tracker

	config     Config
	peerTLS    call.Options
	peerKey    peer.Token
	stop       context.CancelFunc // cancels ctx
	ctx        context.Context    // of the background functions
	background sync.WaitGroup     // functions started by Go
}

// New returns a process. Its goroutines are started by Follow and Go.
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
	p.EventLog = &eventlog.Client{Call: p.Platform, Address: c.Platform.Log}
	p.Directory = &relay.Directory{
		Self:     c.Node.Box,
		Platform: p.Platform,
		Peers:    p.Peers,
		BoxList:  c.Platform.BoxList,
		Log:      p.EventLog,
		Logger:   telemetry.NamedLogger(c.Log, "relay"),
		Direct:   c.Direct,
	}
	p.Metrics.RegisterTraffic(p.Meter)
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p, nil
}

// PeersWithoutReuse returns a client like Peers that opens a new connection for each
// request. It is for non-idempotent requests, because net/http may retry a request by
// itself on a reused connection.
func (p *Process) PeersWithoutReuse() *call.Client {
	o := p.peerTLS
	o.NoReuse = true
	return peer.NewClient(o, p.peerKey)
}

// Listen binds an address and serves routes with the given TLS settings.
func (p *Process) Listen(name, address string, t settings.TLS, routes []httpserve.Route) (*httpserve.Server, error) {
	c, err := keys.ServerTLS(t)
	if err != nil {
		return nil, err
	}
	return httpserve.Listen(httpserve.Options{Name: name, Address: address, TLS: c, Meter: p.Meter}, routes)
}

// Follow starts following the box list and the event log in the background.
func (p *Process) Follow() {
	follower := &state.Follower{
		Replica:    p.Replica,
		Sources:    p.Directory.Sources(),
		Log:        p.EventLog,
		Peers:      p.Directory.Checkpoint,
		PeersFirst: !p.config.Direct,
		Logger:     telemetry.NamedLogger(p.Log, "state"),
	}
	p.Go(p.Directory.Run)
	p.Go(follower.Run)
}

// Go runs f in the background. The context of f is canceled when the process stops.
func (p *Process) Go(f func(context.Context)) {
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		f(p.ctx)
	}()
}

// Stop drains and stops the process. New requests are refused, and requests in
// flight may finish until timeout. Then Stop cancels the background functions and
// stops the servers. It returns the first error.
func (p *Process) Stop(ctx context.Context, timeout time.Duration, servers ...*httpserve.Server) error {
	p.Log.Info("draining", "bound", timeout.String())
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// Kill stops without draining, as a crash would. It is for tests.
func (p *Process) Kill(servers ...*httpserve.Server) {
	for _, s := range servers {
		s.Kill()
	}
	p.stop()
	p.background.Wait()
}

// RequirePeerKey wraps the handler of a peer route. Requests without the shared key get
// status 401. While the process drains, other responses have the draining header.
func (p *Process) RequirePeerKey(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.peerKey.Authorized(r) {
			p.Log.Info("peer request refused: wrong or missing shared key", "from", r.RemoteAddr)
			http.Error(w, "wrong or missing key", http.StatusUnauthorized)
			return
		}
		if p.Requests.Draining() {
			w.Header().Set(peer.HeaderDraining, "1")
		}
		h(w, r)
	}
}

// Routes returns the peer routes common to all processes. status returns the
// body of the status route.
func (p *Process) Routes(status func() peer.Status) []httpserve.Route {
	return []httpserve.Route{
		{Method: http.MethodGet, Path: peer.PathStatus, Handler: p.RequirePeerKey(func(w http.ResponseWriter, r *http.Request) { writeStatus(w, r, status()) })},
		{Method: http.MethodGet, Path: peer.PathCheckpoint, Handler: p.RequirePeerKey(func(w http.ResponseWriter, _ *http.Request) {
			httpserve.WriteJSON(w, http.StatusOK, p.Replica.Checkpoint())
		})},
		{Method: http.MethodGet, Path: peer.PathMetrics, Handler: p.Metrics.Handler},
		{Method: http.MethodGet, Path: peer.PathHealth, Handler: p.Health},
	}
}

// writeStatus writes a status with an ETag. The ETag does not depend on the offset,
// the time since the last contact with the event log and the load, so that a prober
// gets status 304 if only these have changed.
func writeStatus(w http.ResponseWriter, r *http.Request, s peer.Status) {
	tagged := s
	tagged.Offset, tagged.ContactMS, tagged.Load = 0, 0, 0
	httpserve.WriteWithETag(w, r, httpserve.ETag(tagged), s)
}

// Health handles the platform's health checks: 503 while draining, else 200.
func (p *Process) Health(w http.ResponseWriter, _ *http.Request) {
	if p.Requests.Draining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // fails only if the client has disconnected
}

// Status returns the status fields common to all processes. The process is ready
// if its last contact with the event log was less than dedup.Lease ago.
func (p *Process) Status() peer.Status {
	sinceContact := time.Since(p.Replica.Contact())
	return peer.Status{
		Box:         p.config.Node.Box,
		Incarnation: p.Incarnation,
		Offset:      p.Replica.Offset(),
		ContactMS:   sinceContact.Milliseconds(),
		Draining:    p.Requests.Draining(),
		Ready:       sinceContact < dedup.Lease,
	}
}
