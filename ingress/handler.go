// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
)

// exchange is one request of a caller, from its admission to its answer.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	config  *routing.Configuration
	route   *routing.Route
	service string
	model   string
	id      string
	// identity is the same for each try of one request.
	identity quarantine.ID
	// trial says that this try runs although the request is in quarantine.
	trial bool
	// life is that of the endpoint when the attempt was sent, as fleet.Life.
	startedMS int64
	body      []byte
	header    http.Header // for the endpoint, without what each attempt adds
	start     time.Time
	// configAge is how long before start config was last known to be the
	// newest.
	configAge time.Duration
	// end is when the request is given up: the caller's deadline or the
	// route's time-out, whichever is first.
	expiresAt time.Time
	// deadline is the caller's, handed on to endpoints; zero if none.
	callerDeadline time.Time
	priority       int
	// returned says that the caller was refused before.
	callerRetry bool

	// work is how long an engine reads the prompt, in milliseconds.
	prefillMS float64
	// usual is the same of a usual prompt.
	meanPrefillMS float64
	// sent is when the attempt in progress was sent, and expected how long it
	// should take to its first bytes.
	sentAt            time.Time
	expectedFirstByte time.Duration
	// begun says that the attempt in progress has brought bytes.
	gotBytes bool

	// late says that the request takes an endpoint that will be late.
	acceptsLate   bool
	attempts      int             // sent to an endpoint
	tried         map[string]bool // ids of endpoints
	mayHaveRun    bool            // an endpoint may have run, or may yet run it
	retryReserved bool            // one more attempt is allowed already
	// alone says that the attempt in progress was chosen with Query.Alone, and
	// permitted that it has a permit of an endpoint with a limit.
	isolated, hasPermit bool
	// crashes counts the endpoints that crashed under attempts of this try.
	crashes   int
	lastCause string
}

// Bounds of reading a request.
const (
	defaultMaxBodyBytes = 4 << 20
	bodyReadTimeout     = 3 * time.Second
	maxPriority         = 9
)

// ServeHTTP serves a caller's request.
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

// accept checks the request against the configuration in force and reads
// its body; if it returns false, the answer has been given.
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
		key, _ := strings.CutPrefix(x.request.Header.Get("Authorization"), "Bearer ")
		owner := x.config.Workspace(key)
		if owner == nil {
			x.denyIfCurrent(http.StatusUnauthorized, "unknown key")
			return false
		}
		workspace = owner.Name
		x.priority = owner.Priority
	}
	x.service = x.route.Service(rand.Float64())
	x.setDeadlines()
	x.buildHeader(workspace)
	if !x.readBody() {
		return false
	}
	x.identity = quarantine.Identify(quarantine.Request{
		Method: x.request.Method, Host: x.request.Host, Target: x.target(), Workspace: workspace, Body: x.body,
	})
	return true
}

// target is the request target, as the caller wrote it where it is a path.
func (x *exchange) target() string {
	if strings.HasPrefix(x.request.RequestURI, "/") {
		return x.request.RequestURI
	}
	return x.request.URL.RequestURI()
}

// setTimes sets deadline and end.
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
}

// connectionHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

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
			tokens = engine.UsualPrompt
		}
		x.prefillMS = prefillMS(engine, tokens)
		x.meanPrefillMS = prefillMS(engine, engine.UsualPrompt)
		h.Set(names.Priority, strconv.Itoa(min(max(x.priority, 0), maxPriority)))
	}
}

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
	_ = control.SetReadDeadline(clock.Steady(x.start.Add(bodyReadTimeout))) // real connections support it
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			x.deny(http.StatusRequestEntityTooLarge, "body too large")
		} else {
			x.deny(http.StatusRequestTimeout, "body did not arrive")
		}
		return false
	}
	x.body = body
	return true
}
