// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/admission"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/membudget"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/residency"
	"github.com/mintlift/mintlift/routing"
)

// exchange is the state of one caller's request, from arrival to response.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	config  *routing.Configuration
	route   *routing.Route
	service string
	// key is the caller's key, or empty if the route is public.
	key string
	// workspace is the name of the key's owner, or empty if the route is public.
	workspace string
	// overShare reports that the request waits, or has waited, after others of the same
	// urgency because its workspace is over its share.
	overShare bool
	// regions are the regions in which the request may be served under regionsConfig, the
	// newest configuration so far. Server.mu guards both once the request waits.
	regions       residency.Regions
	regionsConfig *routing.Configuration
	model         string // requested model, or empty for plain services
	id            string // the caller's request ID, or empty
	// traits are those by which the request may be in quarantine. Their identity is the same
	// for all attempts and caller retries of one request, at every gateway.
	traits quarantine.Traits
	// trial reports that the request is allowed to run once although it is in
	// quarantine.
	trial bool
	body  []byte
	// requestMemory and responseMemory hold what the exchange takes from the Server's budgets.
	requestMemory  *membudget.Account
	responseMemory *membudget.Account
	header         http.Header // for the endpoint, without per-attempt headers
	start          time.Time
	// configAge is the time from when the configuration was last known to be the newest
	// until start.
	configAge time.Duration
	// expiresAt is the earlier of the caller's deadline and the route's timeout.
	expiresAt time.Time
	// callerDeadline is the caller's own deadline, or zero. If set, endpoints are
	// sent the time left until expiresAt.
	callerDeadline time.Time
	// priority is the workspace's priority, or the route's for requests without a key.
	priority int
	// callerRetry reports that this request is probably the caller's retry of a request
	// that was refused.
	callerRetry bool
	// hasPlace reports that a caller's retry is served before new requests of the same
	// priority, by a promise of this gateway's return plan.
	hasPlace bool
	// arrivalCounted and servedCounted report that the return plan has counted the request
	// and its first attempt.
	arrivalCounted, servedCounted bool
	// requestCounted and refusalCounted report that requestStats has counted the request
	// and its refusal.
	requestCounted, refusalCounted bool
	// retryAfter is the Retry-After of the refusal for lack of capacity, or 0.
	retryAfter time.Duration
	// age is the time from the caller's first try until start, as far as its deadline
	// header shows it; 0 for first tries.
	age time.Duration

	// prefillMS is the expected prefill time of the prompt, in milliseconds.
	prefillMS float64
	// meanPrefillMS is the prefill time of a prompt of mean length.
	meanPrefillMS float64

	// acceptsLate reports that the request may be sent to endpoints that are expected
	// to respond after the target latency.
	acceptsLate bool
	attempts    int             // attempts that may have reached an endpoint
	tried       map[string]bool // IDs of the endpoints of previous attempts
	mayHaveRun  bool            // an endpoint may have run the request, or may still run it
	// refusal is why the request got no endpoint at its first attempt.
	refusal refusal
	// decided is the counted result of the first attempt's wait for an endpoint. timed
	// reports that the time of the response has been counted.
	decided decision
	timed   bool
	// crashes is the number of endpoints that crashed during attempts of this exchange.
	crashes   int
	lastCause string // why the last attempt failed
	failure   *reply // the last error response of an endpoint, or nil
	ending    ending // why no further attempt was made
}

// Limits on reading a request.
const (
	defaultMaxBodyBytes = 4 << 20
	bodyReadTimeout     = 3 * time.Second
	maxPriority         = 9
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{server: s, writer: w, request: r, start: clock.Now(), id: r.Header.Get(s.settings.Headers.RequestID)}
	if x.id != "" {
		w.Header().Set(s.settings.Headers.RequestID, x.id)
	}
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.refusing.Load() {
		x.refuse("stopping", retryAfterMin)
		return
	}
	x.requestMemory, x.responseMemory = s.requestMemory.Open(), s.responseMemory.Open()
	defer x.requestMemory.End()
	defer x.responseMemory.End()
	if !x.prepare() {
		return
	}
	if x.blockedByQuarantine() {
		x.rejectQuarantined()
		return
	}
	ctx, cancel := clock.WithDeadline(r.Context(), x.expiresAt)
	defer cancel()
	if x.route.Kind == routing.Streaming {
		x.serveStream(ctx)
		return
	}
	x.servePlain(ctx)
}

// prepare matches the request against the configuration in force, sets the fields of x
// that depend on the request and the configuration, and reads the body. If it returns
// false, it has already responded.
func (x *exchange) prepare() bool {
	x.config = x.server.routes.Get()
	if age := x.server.settings.ConfigAge; age != nil {
		x.configAge = age()
	}
	if x.config == nil {
		x.refuse("no configuration yet", retryAfterNotReady())
		return false
	}
	path, _, _ := strings.Cut(x.target(), "?")
	x.route = x.config.Match(x.request.Host, path)
	if x.route == nil {
		x.denyIfCurrent(http.StatusNotFound, "no route")
		return false
	}
	x.priority = x.route.Priority
	workspace := ""
	if !x.route.Public && x.config.Authenticated() {
		x.key, _ = strings.CutPrefix(x.request.Header.Get("Authorization"), "Bearer ")
		owner := x.config.Workspace(x.key)
		if owner == nil {
			x.denyIfCurrent(http.StatusUnauthorized, "unknown key")
			return false
		}
		workspace = owner.Name
		x.workspace = workspace
		x.priority = owner.Priority
	}
	x.regionsConfig, x.regions = x.config, allowedRegions(x.config, x.route, x.key)
	if !x.server.settings.Place.HasAny(x.regions) {
		x.refuse("no region may serve it: "+x.regions.String(), retryAfterNoRegion)
		return false
	}
	x.service = x.route.Service(rand.Float64())
	x.setDeadlines()
	x.buildHeader(workspace)
	if !x.readBody() {
		return false
	}
	x.traits = quarantine.Traits{
		Identity: quarantine.Identify(quarantine.Request{
			Method: x.request.Method, Host: x.request.Host, Target: x.target(), Workspace: workspace, Body: x.body,
		}),
		Parts: quarantine.Parts(x.model, x.request.Header.Get(x.server.settings.Headers.PromptParts)),
	}
	return true
}

// target returns the request target as the caller sent it if that is a path, or
// else the URI without scheme and host.
func (x *exchange) target() string {
	if strings.HasPrefix(x.request.RequestURI, "/") {
		return x.request.RequestURI
	}
	return x.request.URL.RequestURI()
}

// setDeadlines sets expiresAt, callerDeadline and callerRetry.
func (x *exchange) setDeadlines() {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = time.Hour
	}
	x.expiresAt = x.start.Add(timeout)
	ms, err := strconv.ParseFloat(x.request.Header.Get(x.server.settings.Headers.Deadline), 64)
	if err != nil || ms <= 0 {
		return
	}
	left := time.Duration(ms * float64(time.Millisecond))
	x.callerDeadline = x.start.Add(left)
	if x.callerDeadline.Before(x.expiresAt) {
		x.expiresAt = x.callerDeadline
	}
	x.callerRetry = x.server.isCallerRetry(x.route, x.service, left, timeout, x.start)
	if x.callerRetry {
		x.age = x.server.callerAge(x.route, left, timeout)
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// buildHeader sets header, and for engines also model, prefillMS and meanPrefillMS.
func (x *exchange) buildHeader(workspace string) {
	names := &x.server.settings.Headers
	h := x.request.Header.Clone()
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, names.RequestID) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.Del(names.ExpectEndpoint)
	h.Del(names.ExpectVersion)
	h.Del(names.Workspace)
	h.Del(names.Priority)
	if x.config.Authenticated() && !x.route.Public {
		h.Del("Authorization")
		h.Set(names.Workspace, workspace)
	}
	x.header = h
	if engine := engineConfig(x.config, x.service); engine != nil {
		x.model = h.Get(names.Model)
		if x.model == "" {
			x.model = engine.Model
		}
		promptTokens, _, _ := strings.Cut(h.Get(names.TokenUsage), ",")
		tokens, err := strconv.Atoi(promptTokens)
		if err != nil || tokens < 0 {
			tokens = engine.MeanPromptTokens
		}
		x.prefillMS = prefillMS(engine, tokens)
		x.meanPrefillMS = prefillMS(engine, engine.MeanPromptTokens)
		h.Set(names.Priority, strconv.Itoa(min(max(x.enginePriority(), 0), maxPriority)))
	}
}

// urgency returns the urgency of x. The route's priority counts only if the streaming
// routes of the service differ in it.
func (x *exchange) urgency() admission.Urgency {
	u := admission.Urgency{Priority: x.priority}
	if x.config.RoutePrioritiesDiffer(x.service) {
		u.RoutePriority = x.route.Priority
	}
	return u
}

// enginePriority returns the priority that engines are sent. It is the workspace's, unless
// that distinguishes no requests and the route's does.
func (x *exchange) enginePriority() int {
	if x.config.WorkspacePrioritiesEqual() && x.config.RoutePrioritiesDiffer(x.service) {
		return x.route.Priority
	}
	return x.priority
}

// readBody reads the request body into x.body. If it returns false, it has already
// responded.
func (x *exchange) readBody() bool {
	if x.request.Body == nil || x.request.Body == http.NoBody {
		return true
	}
	limit := x.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.request.ContentLength > limit {
		x.deny(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	control := http.NewResponseController(x.writer)
	_ = control.SetReadDeadline(clock.ToMonotonic(x.start.Add(bodyReadTimeout))) // supported by network connections
	body, err := readBuffered(http.MaxBytesReader(x.writer, x.request.Body, limit), x.request.ContentLength, limit, x.requestMemory, x.requestMemory.TryReserve)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		// Without this header, net/http would read the rest of the body before it responds.
		x.writer.Header().Set("Connection", "close")
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			x.deny(http.StatusRequestEntityTooLarge, "body too large")
		case errors.Is(err, membudget.ErrExhausted):
			x.refuse("no memory for the body", retryAfterMin+rand.N(retryAfterSpread))
		default:
			x.deny(http.StatusRequestTimeout, "body did not arrive")
		}
		return false
	}
	x.body = body
	return true
}
