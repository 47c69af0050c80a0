// SPDX-License-Identifier: Apache-2.0

// Package ingress is the request path of a gateway. It matches a caller's request
// to a route, authenticates its key, waits for an endpoint with spare capacity,
// forwards the request there and relays the response.
//
// An endpoint is an instance of a service. It is either an engine, which serves versions
// of a model and has a sidecar that reports its load, or a plain endpoint, without a
// sidecar.
//
// Server.mu guards all mutable tables: the fleet, queues of waiting requests, retry
// budgets, target versions. Nothing blocks while it is held, and no other locks are
// taken under it except those inside telemetry, quarantine and contexts. The
// configuration is read without a lock.
package ingress

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/admission"
	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/membudget"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/retrybudget"
	"github.com/mintlift/mintlift/returnplan"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/upstream"
)

// Headers are the names of the HTTP headers exchanged between callers, gateways and
// endpoints. The platform adapter sets them.
type Headers struct {
	RequestID      string
	Deadline       string // time left until the sender stops waiting for a response, in milliseconds
	Seal           string // the endpoint's signature of a successful response
	NotRun         string // set if the endpoint did not run the request
	ExpectEndpoint string
	ExpectVersion  string
	Workspace      string
	Priority       string
	Model          string
	TokenUsage     string // "IN,OUT": number of prompt tokens and maximum number of generated tokens
	PromptParts    string // "ID:TOKENS,...": parts of the prompt in order; the last is the request's own
}

// Settings configures a Server.
type Settings struct {
	// Place is the location of the gateway.
	Place   fleet.Place
	Headers Headers
	// DecodeSignal decodes the signals that an endpoint sends about itself in
	// response headers. If nil, responses carry no signals.
	DecodeSignal func(status int, head http.Header) backpressure.Signal
	Budget       retrybudget.Params
	// VersionDeadline is how long older versions of a model may still start requests
	// after the operator has set a target version.
	VersionDeadline time.Duration
	// Current reports whether the configuration in force is known to be the newest. If
	// nil, it always counts as the newest. While Current returns false, a request for a
	// route or key that the configuration lacks gets a retryable refusal instead of a
	// denial.
	Current func() bool
	// ConfigAge returns the time since the configuration in force was last known to
	// be the newest; nil if unknown.
	ConfigAge func() time.Duration
	// Network opens the connections to endpoints; nil stands for the operating system's.
	Network network.Network
	// MemoryLimit is the memory limit of the process in bytes; 0 means none.
	MemoryLimit int64
}

// Server is the part of a gateway that forwards callers' requests to endpoints. It
// implements http.Handler.
type Server struct {
	settings              Settings
	log                   logr.Logger // per request
	events                logr.Logger // state changes of the gateway
	metrics               *telemetry.Metrics
	routes                routing.Table
	pool                  *upstream.Pool
	requestMemory         *membudget.Budget // of buffered request bodies
	responseMemory        *membudget.Budget // of buffered responses
	stopping              atomic.Bool       // set by StartStopping
	refusing              atomic.Bool       // set by Refuse
	inFlight              atomic.Int64
	noticeDue             chan struct{} // see NoticeDue; capacity 1
	permitRequestsPending chan struct{} // capacity 1
	slotRequestsPending   chan struct{} // capacity 1
	acceptState           acceptState
	// suspects holds the requests that were in progress when an endpoint crashed, and
	// that may have caused the crash.
	suspects *quarantine.Table

	mu sync.Mutex // guards the fields below
	// Maps without a comment are keyed by service name.
	fleet          *fleet.Fleet
	queues         map[string]*queue
	budgets        map[string]*retrybudget.Budget
	targetVersions map[string][]TargetVersion // by model, oldest first
	stats          map[string]*requestStats
	admission      map[string]*admission.Controller // of contended services
	timeouts       map[string]*timeoutHistogram     // by route
	allTimeouts    timeoutHistogram                 // of the routes in timeouts
	returnPlans    map[string]*returnplan.Plan
	// gateways is the largest number of gateways that a sidecar has reported, or 0 before
	// the first report. See sharingGateways.
	gateways int
	// recentGateways decides which services are contended.
	recentGateways gatewayCount
	listKnown      bool // the endpoint list has been read at least once
	list           listState
	rollback       storeRollback
	// unconfigured holds the listed endpoints whose service the configuration
	// lacks, by endpoint ID.
	unconfigured map[string]fleet.Record
	// crashedAt holds the times of recent endpoint crashes, by endpoint ID.
	crashedAt map[string]time.Time
	// permitRequests holds the permit requests not yet sent to sidecars.
	permitRequests []PermitRequest
	// slotRequestNumber is the number of slot requests sent to all sidecars.
	slotRequestNumber int64
	// unbegun holds the attempts at streaming engines that have received no event yet.
	unbegun map[*attempt]bool
}

// New returns a server without configuration and endpoints.
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
			Network:     s.Network,
		}),
		fleet:                 fleet.New(s.Place),
		queues:                make(map[string]*queue),
		budgets:               make(map[string]*retrybudget.Budget),
		targetVersions:        make(map[string][]TargetVersion),
		stats:                 make(map[string]*requestStats),
		admission:             make(map[string]*admission.Controller),
		timeouts:              make(map[string]*timeoutHistogram),
		returnPlans:           make(map[string]*returnplan.Plan),
		crashedAt:             make(map[string]time.Time),
		unconfigured:          make(map[string]fleet.Record),
		unbegun:               make(map[*attempt]bool),
		suspects:              quarantine.New(),
		noticeDue:             make(chan struct{}, 1),
		permitRequestsPending: make(chan struct{}, 1),
		slotRequestsPending:   make(chan struct{}, 1),
		list:                  newListState(),
		rollback:              newStoreRollback(),
		requestMemory:         newRequestBudget(s.MemoryLimit),
		responseMemory:        newResponseBudget(s.MemoryLimit),
	}
	server.fleet.SetGateways(s.Budget.Gateways)
	server.registerSignalGauges(m)
	server.registerBodyGauges(m)
	m.Gauge("mintlift_ingress_suspects", func() float64 {
		suspected, _ := server.suspects.Counts(clock.Now())
		return float64(suspected)
	})
	m.Gauge("mintlift_ingress_quarantined", func() float64 {
		_, quarantined := server.suspects.Counts(clock.Now())
		return float64(quarantined)
	})
	return server
}

// Parameters of the connection pool to endpoints.
const (
	dialTimeout = 350 * time.Millisecond
	idleTimeout = 5 * time.Second
	maxIdle     = 24
)

// Apply puts a configuration in force. One that is not newer than the current
// configuration is ignored.
func (s *Server) Apply(c *routing.Configuration) {
	if !s.routes.Apply(c) {
		return
	}
	s.events.Info("configuration applied", "version", c.Version, "services", len(c.Services))
	s.putConfigured()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	maps.DeleteFunc(s.timeouts, func(route string, _ *timeoutHistogram) bool { return !c.HasRoute(route) })
	s.updateCutoffs(now)
	s.dispatchAll(now) // the regions of waiting requests may have changed
}

// Configuration returns the configuration in force, or nil if there is none yet.
func (s *Server) Configuration() *routing.Configuration { return s.routes.Get() }

// requestNoticeLocked makes NoticeDue receive, so that sidecars are notified at once.
// Server.mu must be held.
func (s *Server) requestNoticeLocked() {
	select {
	case s.noticeDue <- struct{}{}:
	default:
	}
}

// HandleReport processes an engine's load report. roundTrip is the measured round-trip
// time to the sidecar, or negative if it was not measured. Reports of endpoints that
// are not on the list are ignored.
func (s *Server) HandleReport(r fleet.Report, roundTrip time.Duration) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e, changed := s.fleet.ApplyReport(r, roundTrip, now)
	if e == nil {
		return
	}
	s.recordGateways(r.Gateways, now)
	if changed {
		s.cutOffOlderVersions(r.Model, e.HeldVersion(r.Model, now), now)
		s.events.Info("engine reported", "endpoint", e.ID, "model", r.Model, "version", r.Version, "busy", r.Busy, "doubted", r.Unverified, "draining", r.Draining, "limited", r.Limited, "rate", r.Limit)
	}
	s.dispatch(e.Service, now)
}

// recordGateways processes the number of gateways that a sidecar has reported. Shared
// limits are divided by the largest number ever reported, and services are contended by the
// largest recent one. Server.mu must be held.
func (s *Server) recordGateways(n int, now time.Time) {
	if n <= 0 {
		return
	}
	before := s.recentGateways.largest()
	s.recentGateways.observe(n, s.lateCutoffInForce(now), now)
	if n > s.gateways {
		s.gateways = n
		s.fleet.SetGateways(n)
		for _, b := range s.budgets {
			b.SetGateways(n)
		}
	}
	if recent := s.recentGateways.largest(); recent != before {
		s.updateCutoffs(now)
		s.events.Info("gateway count changed", "gateways", recent, "largest", s.gateways)
	}
}

// sharingGateways returns the number of gateways among which shared limits are divided.
// Before the first report, it is the number that the settings assume. Server.mu must be
// held.
func (s *Server) sharingGateways() int {
	if s.gateways > 0 {
		return s.gateways
	}
	return max(s.settings.Budget.Gateways, 1)
}

// NoticeDue returns a channel that receives when sidecars should be notified at once:
// a target version was set, an endpoint was added, or the suspects have changed, which
// are the requests that may have crashed endpoints.
func (s *Server) NoticeDue() <-chan struct{} { return s.noticeDue }

// EngineAddresses returns the addresses of a service's endpoints in two groups:
// upToDate are those whose sidecars have the weights configuration with the given
// checksum, and others are the rest.
func (s *Server) EngineAddresses(service string, checksum uint32, now time.Time) (upToDate, others []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Addresses(service, checksum, now)
}

// UnwatchedAddresses returns the addresses of a service's endpoints whose load reports the
// gateway does not receive, but whose sidecars it notifies.
func (s *Server) UnwatchedAddresses(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Unwatched(service)
}

// SetLocalGateways sets the IP addresses of the gateways of this gateway's region.
func (s *Server) SetLocalGateways(ips []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.SetLocalGateways(ips)
}

// Ready reports whether the gateway can serve new connections: it has a
// configuration and endpoints, is not stopping, and has not recently failed to
// accept a connection.
func (s *Server) Ready() bool {
	if s.stopping.Load() || s.routes.Get() == nil || s.acceptState.recentlyFailed(clock.Now()) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listKnown && s.fleet.Len() > 0
}

// ServeReady handles the readiness probe: status 200 if Ready, else 503.
func (s *Server) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if s.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// StartStopping makes the gateway unready. It continues to serve, but closes
// callers' connections after each response.
func (s *Server) StartStopping() { s.stopping.Store(true) }

// Refuse makes the gateway refuse all new requests.
func (s *Server) Refuse() { s.refusing.Store(true) }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Maintain closes expired idle connections and removes outdated state. Call it
// about once per second.
func (s *Server) Maintain(now time.Time) {
	s.pool.Sweep(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRollback(now)
	s.fleet.PruneSignals(now)
	s.logShares(now)
	if c := s.routes.Get(); c != nil {
		s.maintainAdmission(c, now)
		s.removeUnused(c)
	}
}

// removeUnused removes the request counts and the empty queues of services that the
// configuration lacks. A retry budget remains: requests of the former configuration may be
// in progress, and would start a new one with each retry. Server.mu must be held.
func (s *Server) removeUnused(c *routing.Configuration) {
	maps.DeleteFunc(s.stats, func(service string, _ *requestStats) bool { return c.Services[service] == nil })
	maps.DeleteFunc(s.queues, func(service string, q *queue) bool {
		return c.Services[service] == nil && len(q.waiters) == 0 && len(q.wishing) == 0
	})
}

// Close closes the idle connections to endpoints.
func (s *Server) Close() { s.pool.CloseAllIdle() }

// budget returns the retry budget of a service. Server.mu must be held.
func (s *Server) budget(service string, now time.Time) *retrybudget.Budget {
	b := s.budgets[service]
	if b == nil {
		b = retrybudget.New(s.settings.Budget, now)
		b.SetGateways(s.sharingGateways())
		s.budgets[service] = b
	}
	return b
}
