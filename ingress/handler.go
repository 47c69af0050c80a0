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
	life   int64
	body   []byte
	header http.Header // for the endpoint, without what each attempt adds
	start  time.Time
	// configAge is how long before start config was last known to be the
	// newest.
	configAge time.Duration
	// end is when the request is given up: the caller's deadline or the
	// route's time-out, whichever is first.
	end time.Time
	// deadline is the caller's, handed on to endpoints; zero if none.
	deadline time.Time
	priority int
	// returned says that the caller was refused before.
	returned bool

	// work is how long an engine reads the prompt, in milliseconds.
	work float64
	// usual is the same of a usual prompt.
	usual float64
	// sent is when the attempt in progress was sent, and expected how long it
	// should take to its first bytes.
	sent     time.Time
	expected time.Duration
	// begun says that the attempt in progress has brought bytes.
	begun bool

	// late says that the request takes an endpoint that will be late.
	late     bool
	attempts int             // sent to an endpoint
	tried    map[string]bool // ids of endpoints
	mayRun   bool            // an endpoint may have run, or may yet run it
	granted  bool            // one more attempt is allowed already
	// alone says that the attempt in progress was chosen with Query.Alone, and
	// permitted that it has a permit of an endpoint with a limit.
	alone, permitted bool
	// crashes counts the endpoints that crashed under attempts of this try.
	crashes   int
	lastCause string
}

// Bounds of reading a request.
const (
	defaultBodyBytes = 4 << 20
	bodyReadTime     = 3 * time.Second
	maxPriority      = 9
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
	if s.closed.Load() {
		x.refuse("stopping", retryAfterMin)
		return
	}
	if !x.accept() {
		return
	}
	if x.keptOut() {
		x.rejectQuarantined()
		return
	}
	ctx, cancel := clock.WithDeadline(r.Context(), x.end)
	defer cancel()
	if x.route.Kind == routing.Streaming {
		x.stream(ctx)
		return
	}
	x.plain(ctx)
}

// accept checks the request against the configuration in force and reads
// its body; if it returns false, the answer has been given.
func (x *exchange) accept() bool {
	x.config = x.server.routes.Get()
	if age := x.server.settings.ConfigAge; age != nil {
		x.configAge = age()
	}
	if x.config == nil {
		x.refuse("no configuration yet", retryAfterUnknown())
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
		holder := x.config.Workspace(key)
		if holder == nil {
			x.denyIfCurrent(http.StatusUnauthorized, "unknown key")
			return false
		}
		workspace = holder.Name
		x.priority = holder.Priority
	}
	x.service = x.route.Service(rand.Float64())
	x.setTimes()
	x.setHeader(workspace)
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
func (x *exchange) setTimes() {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = time.Hour
	}
	x.end = x.start.Add(timeout)
	ms, err := strconv.ParseFloat(x.request.Header.Get(x.server.settings.Headers.Deadline), 64)
	if err != nil || ms <= 0 {
		return
	}
	left := time.Duration(ms * float64(time.Millisecond))
	x.deadline = x.start.Add(left)
	if x.deadline.Before(x.end) {
		x.end = x.deadline
	}
	x.returned = x.server.hasReturned(x.route, x.service, left, timeout, x.start)
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func (x *exchange) setHeader(workspace string) {
	names := &x.server.settings.Headers
	h := x.request.Header.Clone()
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, names.RequestID) {
			h.Del(name)
		}
	}
	for _, name := range connectionHeaders {
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
	if engine := engineOf(x.config, x.service); engine != nil {
		x.model = h.Get(names.Model)
		if x.model == "" {
			x.model = engine.Model
		}
		prompt, _, _ := strings.Cut(h.Get(names.TokenUsage), ",")
		tokens, err := strconv.Atoi(prompt)
		if err != nil || tokens < 0 {
			tokens = engine.UsualPrompt
		}
		x.work = readMillis(engine, tokens)
		x.usual = readMillis(engine, engine.UsualPrompt)
		h.Set(names.Priority, strconv.Itoa(min(max(x.priority, 0), maxPriority)))
	}
}

func (x *exchange) readBody() bool {
	if x.request.Body == nil || x.request.Body == http.NoBody {
		return true
	}
	limit := x.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.request.ContentLength > limit {
		x.deny(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	control := http.NewResponseController(x.writer)
	_ = control.SetReadDeadline(clock.Steady(x.start.Add(bodyReadTime))) // real connections support it
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
