// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/upstream"
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

// send makes one attempt at e and reads the head of the answer.
func (x *exchange) send(ctx context.Context, e *fleet.Endpoint, lastEvent string) (*upstream.Response, error) {
	names := &x.server.settings.Headers
	h := x.header.Clone()
	h.Set(names.ExpectEndpoint, e.ID)
	if !x.deadline.IsZero() {
		left := max(clock.Until(x.end).Milliseconds(), 1)
		h.Set(names.Deadline, strconv.FormatInt(left, 10))
	}
	if lastEvent != "" {
		h.Set("Last-Event-Id", lastEvent)
	}
	if x.request.Header.Get("User-Agent") == "" {
		h.Del("User-Agent")
	}
	return x.server.pool.Do(ctx, e.Address, &upstream.Request{
		Method:  x.request.Method,
		URI:     x.target(),
		Host:    x.request.Host,
		Header:  h,
		Body:    x.body,
		Fresh:   !x.route.Idempotent(),
		Proceed: func() bool { return !x.callerLeft() && x.server.mayStill(x, e) },
		Accept: func(answer http.Header) bool {
			id := answer.Get(names.RequestID)
			return id == x.id
		},
	})
}

// mayStill reports whether e may get the request that it was chosen for: on a
// busy box, a version may have come due or e have begun to leave meanwhile.
func (s *Server) mayStill(x *exchange, e *fleet.Endpoint) bool {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Said.Leaving() || e.Said.Resting(now) || x.quarantined(now) || !x.permit(e, now) {
		return false
	}
	return x.model == "" || e.MayServe(e.Holds(x.model, now), s.minVersion(x.model, now), s.minVersion(x.model, now.Add(-promiseLead)), now)
}

// verdict is what the head of an answer means.
type verdict int

const (
	good     verdict = iota // success, as far as the head tells
	notRun                  // the endpoint did not run the request
	answered                // a failure of the endpoint's own
	spoilt                  // no answer to this request
)

func (x *exchange) judge(r *upstream.Response) verdict {
	names := &x.server.settings.Headers
	switch {
	case r.Status == http.StatusMisdirectedRequest, r.Header.Get(names.NotRun) != "":
		return notRun
	case r.Status >= 200 && r.Status < 300:
		if r.Header.Get(names.Seal) == "" || r.Header.Get("Content-Encoding") != "" {
			return spoilt
		}
		return good
	default:
		return answered
	}
}

// mayRepeat asks for one more attempt after one that reached an endpoint.
func (x *exchange) mayRepeat(now time.Time) bool {
	if x.granted {
		x.granted = false
		return true
	}
	return x.askRepeat(now)
}

// grantRepeat asks for the attempt that follows one in progress, and keeps it
// for mayRepeat: an attempt is broken off only if another may be made. A
// breaker calls it beside the attempt, but not after its end.
func (x *exchange) grantRepeat(now time.Time) bool {
	x.granted = x.askRepeat(now)
	return x.granted
}

func (x *exchange) askRepeat(now time.Time) bool {
	if x.attempts >= max(x.route.MaxAttempts, 1) || now.After(x.end) {
		return false
	}
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(x.service, now).Take(now)
}

// countRequest tells the service's budget of a new request.
func (x *exchange) countRequest() {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(x.service, x.start).Request(x.start)
}

// finish tells the fleet how an attempt ended.
func (x *exchange) finish(e *fleet.Endpoint, result fleet.Result) {
	s := x.server
	now := clock.Now()
	s.mu.Lock()
	if !x.begun {
		s.fleet.Begun(e, x.work, unknownLate, now)
	}
	s.endLocked(x, e, result, now)
	s.dispatch(x.service, now)
	s.mu.Unlock()
}

// endLocked ends the attempt of x at e; Server.mu is held.
func (s *Server) endLocked(x *exchange, e *fleet.Endpoint, result fleet.Result, now time.Time) {
	s.fleet.End(e, result, now)
	if x.alone {
		x.alone = false
		s.fleet.EndAlone(e)
	}
}

// unknownLate says that an attempt brought no bytes.
const unknownLate = time.Duration(-1)

// usualPass is what an engine takes for a pass beside reading prompts.
const usualPass = 120 * time.Millisecond

// begin tells the fleet that the attempt at e has brought bytes.
func (x *exchange) begin(e *fleet.Endpoint) {
	if x.begun {
		return
	}
	x.begun = true
	s := x.server
	s.mu.Lock()
	now := clock.Now()
	late := now.Sub(x.sent) - x.expected
	s.fleet.Begun(e, x.work, max(late, 0), now)
	s.mu.Unlock()
}

// note logs the choice of an endpoint.
func (x *exchange) note(e *fleet.Endpoint) {
	s := x.server
	now := clock.Now()
	s.mu.Lock()
	backlog, delay := e.Backlog(x.usual, now), e.Delay(now)
	x.sent = now
	x.life = s.fleet.Life(e.Address)
	x.expected = usualPass + time.Duration((backlog+x.work)*float64(time.Millisecond))
	load, age, holds, lowest := e.Load(now), e.ReportAge(now), e.Holds(x.model, now), s.minVersion(x.model, now)
	s.mu.Unlock()
	s.log.Info("attempt", "request", x.id, "attempt", x.attempts, "endpoint", e.ID, "service", x.service,
		"load", load, "backlog_ms", int(backlog), "work_ms", int(x.work), "report_ms", age.Milliseconds(), "delay_ms", delay.Milliseconds(), "holds", holds, "min_version", lowest, "at_ms", now.Sub(x.start).Milliseconds())
}
