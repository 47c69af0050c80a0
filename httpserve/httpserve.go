// SPDX-License-Identifier: Apache-2.0

// Package httpserve runs go-zero rest servers for mintlift's daemons.
//
// It chooses each of rest's middlewares on purpose: tracing stays. rest's
// time-out, breaker, shedder and connection bound are off, because they
// buffer or refuse by themselves, and a refusal must come from mintlift,
// which knows that the request did not run. Its recovery is off too: it
// would end a cut answer as if it were whole, where net/http's own closes
// the connection. Stopping waits for requests in progress up to a stated
// bound.
package httpserve

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/stat"
	"github.com/zeromicro/go-zero/rest"

	"github.com/mintlift/mintlift/internal/meter"
)

// Bounds of every server.
const (
	// MaxBody is the largest request body, in bytes.
	MaxBody           = 8 << 20
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Route is a method, a path and a handler.
type Route = rest.Route

// Methods are the methods that plain services are called with.
var Methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// maxSubpathSegments is how many path segments may follow a route of DeepRoutes:
// rest's router knows no catch-all.
const maxSubpathSegments = 8

// DeepRoutes returns routes for one to maxDepth path segments below path.
func DeepRoutes(method, path string, h http.HandlerFunc) []Route {
	var out []Route
	for i := range maxSubpathSegments {
		path += "/:p" + strconv.Itoa(i)
		out = append(out, Route{Method: method, Path: path, Handler: h})
	}
	return out
}

// Server is a listening HTTP server. Use Listen.
type Server struct {
	server   *http.Server
	listener net.Listener
}

// Quiet turns off the log lines and statistics that go-zero writes by
// itself. Daemons call it once; their own logs go through logr.
func Quiet() {
	logx.Disable()
	stat.DisableLog()
}

// Options configure a Server.
type Options struct {
	// Name appears in traces.
	Name string
	// Address is the IP and port to bind.
	Address string
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Meter, when set, counts the connections' bytes.
	Meter *meter.Meter
}

// Listen binds an address and serves routes.
func Listen(o Options, routes []Route) (*Server, error) {
	handler, err := Handler(o.Name, routes)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", o.Address)
	}
	ln = o.Meter.Listener(ln)
	if o.TLS != nil {
		ln = tls.NewListener(ln, o.TLS)
	}
	s := &Server{
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout},
		listener: ln,
	}
	go func() { _ = s.server.Serve(ln) }() // ends with ErrServerClosed at Close
	return s, nil
}

// Handler builds the routes' handler without listening.
func Handler(name string, routes []Route) (http.Handler, error) {
	conf := rest.RestConf{MaxBytes: MaxBody}
	conf.Name = name
	conf.Middlewares = rest.MiddlewaresConf{Trace: true}
	server, err := rest.NewServer(conf)
	if err != nil {
		return nil, errors.Trace(err)
	}
	server.AddRoutes(routes, rest.WithTimeout(0))
	h, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return http.HandlerFunc(h.Serve), nil
}

// Address is the address that the server is bound to.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop stops listening and waits for requests in progress until ctx ends;
// then it cuts them and returns ctx's error.
func (s *Server) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close() // the bound has passed: cut what is left
	}
	return err
}

// Kill closes the listener and every connection at once, as a crash would.
func (s *Server) Kill() { _ = s.server.Close() }

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client has gone if this fails
}

// WriteTagged answers with a JSON body and its tag, or with 304 when the
// request names the tag.
func WriteTagged(w http.ResponseWriter, r *http.Request, tag string, body any) {
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	WriteJSON(w, http.StatusOK, body)
}

// Tag returns the tag of a body.
func Tag(body any) string {
	b, err := json.Marshal(body)
	if err != nil {
		return "" // matches no request's tag
	}
	return strconv.FormatUint(xxhash.Sum64(b), 36)
}

// ReadJSON decodes a request's body strictly.
func ReadJSON(r *http.Request, out any) error {
	dec := json.NewDecoder(io.LimitReader(r.Body, MaxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return errors.NewNotValid(err, "request body")
	}
	return nil
}
