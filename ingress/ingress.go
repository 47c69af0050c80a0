// SPDX-License-Identifier: Apache-2.0

// Package ingress serves callers on an entry box: it matches a request to
// its route, checks the key, waits for an endpoint with room, sends the
// request there, and passes the answer on.
//
// All tables (fleet, waiting requests, retry budgets, named versions) are
// under Server.mu; nothing blocks while it is held, and no other lock is
// taken under it but those inside telemetry and quarantine. The configuration
// is read without a lock.
package ingress

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/retrybudget"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/upstream"
)

// Headers are the names of the headers by which callers, gateways and
// endpoints speak. The deployment's adapter sets them.
type Headers struct {
	RequestID      string
	Deadline       string // milliseconds that the sender will wait
	Seal           string // the endpoint's signature
	NotRun         string // the endpoint did not run the request
	ExpectEndpoint string
	ExpectVersion  string
	Workspace      string
	Priority       string
	Model          string
	TokenUsage     string // "IN,OUT", the prompt's and the most of the answer
}

// Settings of a Server.
type Settings struct {
	// Place is where the gateway is.
	Place   fleet.Place
	Headers Headers
	// Signal decodes what the head of an answer says of its endpoint; nil is
	// nothing.
	Signal func(status int, head http.Header) backpressure.Signal
	Budget retrybudget.Params
	// VersionDeadline is how long after a version was named older ones may
	// still start requests.
	VersionDeadline time.Duration
	// Current reports whether the configuration in force is known to be the
	// newest; nil stands for always. While it is not, what the configuration
	// does not know is not denied but refused: the caller may be right.
	Current func() bool
	// ConfigAge is how long ago the configuration in force was last known to
	// be the newest; nil if nobody knows.
	ConfigAge func() time.Duration
}

// Server is the request path of one gateway. It is an http.Handler.
type Server struct {
	settings              Settings
	log                   logr.Logger // lines about single requests
	events                logr.Logger // lines about what the process believes
	metrics               *telemetry.Metrics
	routes                routing.Table
	pool                  *upstream.Pool
	stopping              atomic.Bool
	refusing              atomic.Bool
	inFlight              atomic.Int64
	noticeDue             chan struct{} // holds one
	permitRequestsPending chan struct{} // holds one
	acceptState           acceptState
	// suspects are the requests under which endpoints crashed.
	suspects *quarantine.Table

	mu            sync.Mutex
	fleet         *fleet.Fleet
	queues        map[string]*queue
	budgets       map[string]*retrybudget.Budget
	namedVersions map[string][]NamedVersion
	stats         map[string]*requestStats
	timeouts      map[string]*timeoutHistogram // by route
	// gateways is the number that shares what all may do together.
	gateways  int
	listKnown bool // the list of endpoints is known
	list      listState
	rollback  storeRollback
	// unnamed are endpoints on the list whose service the configuration does
	// not name, by id.
	unconfigured map[string]fleet.Record
	// crashedAt is when endpoints crashed lately, by id.
	crashedAt map[string]time.Time
	// asks are what is to be asked of sidecars.
	permitRequests []PermitRequest
}

// Naming is a version of a model that the operator named.
type NamedVersion struct {
	Version int
	// Learned is when this gateway heard of it. First says that it was named
	// before, at an unknown time.
	Learned time.Time
	First   bool
	// due is from when on older versions may start no requests.
	cutoff time.Time
}

// Overdue reports whether older versions get no requests any more.
func (n NamedVersion) Overdue(now time.Time) bool { return !now.Before(n.cutoff) }

// New returns a server that knows nothing yet.
func New(s Settings, log, events logr.Logger, m *telemetry.Metrics) *Server {
	server := &Server{
		settings: s,
		log:      log,
		events:   events,
		metrics:  m,
		pool: upstream.NewPool(upstream.Options{
			DialTimeout: dialTimeout,
			IdleTimeout: idleTimeout,
			MaxIdle:     maxIdle,
		}),
		fleet:                 fleet.New(s.Place),
		queues:                make(map[string]*queue),
		budgets:               make(map[string]*retrybudget.Budget),
		namedVersions:         make(map[string][]NamedVersion),
		stats:                 make(map[string]*requestStats),
		timeouts:              make(map[string]*timeoutHistogram),
		crashedAt:             make(map[string]time.Time),
		unconfigured:          make(map[string]fleet.Record),
		suspects:              quarantine.New(),
		noticeDue:             make(chan struct{}, 1),
		permitRequestsPending: make(chan struct{}, 1),
		list:                  newListState(),
		rollback:              newStoreRollback(),
	}
	server.fleet.Share(s.Budget.Gateways)
	server.registerSignalGauges(m)
	m.Gauge("mintlift_ingress_suspects", func() float64 {
		suspected, _ := server.suspects.Len(clock.Now())
		return float64(suspected)
	})
	m.Gauge("mintlift_ingress_quarantined", func() float64 {
		_, quarantined := server.suspects.Len(clock.Now())
		return float64(quarantined)
	})
	return server
}

// Connections to endpoints.
const (
	dialTimeout = 350 * time.Millisecond
	idleTimeout = 5 * time.Second
	maxIdle     = 24
)

// Apply takes a configuration; an older one than held is left alone.
func (s *Server) Apply(c *routing.Configuration) {
	if !s.routes.Apply(c) {
		return
	}
	s.events.Info("configuration applied", "version", c.Version, "services", len(c.Services))
	s.putConfigured()
}

// Configuration returns the configuration in force, or nil.
func (s *Server) Configuration() *routing.Configuration { return s.routes.Get() }

// NameVersion takes a model's newest named version. first says that the
// version was found when the process started, so that its age is unknown.
func (s *Server) NameVersion(model string, version int, first bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.namedVersions[model]
	if len(list) > 0 && list[len(list)-1].Version >= version {
		return
	}
	cutoff := now.Add(s.settings.VersionDeadline - s.versionMargin())
	if first && s.anyEndpointHolds(model, version, now) {
		cutoff = now
	}
	s.namedVersions[model] = append(list, NamedVersion{Version: version, Learned: now, First: first, cutoff: cutoff})
	s.events.Info("version named", "model", model, "version", version, "age_unknown", first, "due", cutoff)
	s.sendNoticeLocked()
}

// tellSoonLocked asks for a round of notices to sidecars; Server.mu is held.
func (s *Server) sendNoticeLocked() {
	select {
	case s.noticeDue <- struct{}{}:
	default:
	}
}

// overdue leaves older versions at once where a version of unknown age is
// seen to be served: by then it has been named for seconds, and for how many
// nobody here knows. Server.mu is held.
func (s *Server) cutOffOlderVersions(model string, reported int, now time.Time) {
	list := s.namedVersions[model]
	for i := range list {
		n := &list[i]
		if !n.First || n.Version > reported || !n.cutoff.After(now) {
			continue
		}
		n.cutoff = now
		s.events.Info("version overdue", "model", model, "version", n.Version, "served", reported)
	}
}

// versionMargin is how long before the deadline older versions are left: a
// request of which a packet is lost arrives after firstRetransmit, and an
// engine that begins it at once, which is all that it gets then, has begun it
// after beginTime. versionMarginShare bounds it for short deadlines.
const (
	// firstRetransmit is the initial retransmission time of TCP (RFC 6298).
	initialRTO            = time.Second
	engineStartTime       = 900 * time.Millisecond
	maxVersionMargin      = initialRTO + engineStartTime
	maxVersionMarginShare = 0.25
)

func (s *Server) versionMargin() time.Duration {
	return min(maxVersionMargin, time.Duration(maxVersionMarginShare*float64(s.settings.VersionDeadline)))
}

func (s *Server) anyEndpointHolds(model string, version int, now time.Time) bool {
	c := s.routes.Get()
	if c == nil {
		return false
	}
	for name := range c.Services {
		for _, e := range s.fleet.Endpoints(name) {
			if e.Holds(model, now) >= version {
				return true
			}
		}
	}
	return false
}

// cautionLead is how long before a version is due older ones get only what
// they can begin at once.
const nextVersionLead = 1700 * time.Millisecond

// promiseLead is for how much longer an engine with an older version gets what
// it begins at once, if its sidecar promises to drain it in time. The sidecar
// does so 1.2 s before the deadline; the gateway's own bound holds also if its
// word of that is late, and leaves an engine that is not drained after all
// beginTime and 100 ms more.
const scheduledUpdateLead = maxVersionMargin - engineStartTime - 100*time.Millisecond

// minVersion is the lowest version of model that may start a request at a
// time.
func (s *Server) minVersion(model string, at time.Time) int {
	lowest := 0
	for _, n := range s.namedVersions[model] {
		if at.After(n.cutoff) {
			lowest = n.Version
		}
	}
	return lowest
}

// Heard takes an engine's report; roundTrip is as for fleet.Fleet.
func (s *Server) Heard(r fleet.Report, roundTrip time.Duration) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e, changed := s.fleet.Heard(r, roundTrip, now)
	if e == nil {
		return
	}
	s.raiseGateways(r.Gateways)
	if changed {
		s.cutOffOlderVersions(r.Model, e.Holds(r.Model, now), now)
		s.events.Info("engine reported", "endpoint", e.ID, "model", r.Model, "version", r.Version, "busy", r.Busy, "doubted", r.Doubted, "draining", r.Draining, "limited", r.Limited, "rate", r.Limit)
	}
	s.dispatch(e.Service, now)
}

// countGateways takes the number of gateways that a sidecar knows; what is
// shared between them is shared by the most that were ever seen.
func (s *Server) raiseGateways(n int) {
	if n <= s.gateways {
		return
	}
	s.gateways = n
	s.fleet.Share(n)
	for _, b := range s.budgets {
		b.Share(n)
	}
	s.events.Info("more gateways seen", "gateways", n)
}

// TellSoon tells that sidecars should hear something at once: a version has
// been named, or an engine was added.
func (s *Server) TellSoon() <-chan struct{} { return s.noticeDue }

// Named returns the last named versions of a model, the newest last.
func (s *Server) Named(model string) []NamedVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.namedVersions[model]
	return slices.Clone(list[max(0, len(list)-maxNamedVersions):])
}

// namedTold is how many named versions are told: the deadline of one may
// come before the next is served.
const maxNamedVersions = 2

// EngineAddresses returns the addresses of a service's endpoints, apart those
// whose sidecars know weights with the checksum sum.
func (s *Server) EngineAddresses(service string, checksum uint32, now time.Time) (upToDate, others []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Addresses(service, checksum, now)
}

// Ready reports whether the gateway can serve new connections.
func (s *Server) Ready() bool {
	if s.stopping.Load() || s.routes.Get() == nil || s.acceptState.recentlyFailed(clock.Now()) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listKnown && s.fleet.Len() > 0
}

// ServeReady answers the readiness probe.
func (s *Server) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if s.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// StartStopping makes the gateway unready. It goes on serving; each answer
// asks the caller to use another connection.
func (s *Server) StartStopping() { s.stopping.Store(true) }

// Refuse turns away every request from now on.
func (s *Server) Refuse() { s.refusing.Store(true) }

// InFlight is the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Maintain closes connections that have rested too long; call it every
// second or so.
func (s *Server) Maintain(now time.Time) {
	s.pool.Sweep(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRollback(now)
	s.fleet.Forget(now)
}

// Close closes connections to endpoints that rest.
func (s *Server) Close() { s.pool.ForgetAll() }

// budget returns the account of a service.
func (s *Server) budget(service string, now time.Time) *retrybudget.Budget {
	b := s.budgets[service]
	if b == nil {
		b = retrybudget.New(s.settings.Budget, now)
		b.Share(s.gateways)
		s.budgets[service] = b
	}
	return b
}
