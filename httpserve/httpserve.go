// SPDX-License-Identifier: Apache-2.0

// Package httpserve runs go-zero rest servers for mintlift's daemons.
//
// Of rest's middlewares, only tracing is enabled. The timeout, breaker, load
// shedding and connection limit are disabled because they buffer responses or
// reject requests. Only mintlift may reject requests, because it reports whether a
// request ran. The recovery is disabled because it would end a truncated response
// normally, whereas net/http closes the connection.
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
	"github.com/mintlift/mintlift/internal/network"
)

// Limits of every server.
const (
	// MaxBody is the largest request body, in bytes.
	MaxBody           = 8 << 20
	readHeaderTimeout = 10 * time.Second // for the header of a request
	idleTimeout       = 2 * time.Minute  // of a connection without requests
)

// Route is a method, a path and a handler.
type Route = rest.Route

// Methods are the HTTP methods that are routed to plain services.
var Methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// maxSubpathSegments is the maximum number of path segments that DeepRoutes
// matches. Package rest has no routes for paths of any length.
const maxSubpathSegments = 8

// DeepRoutes returns routes for all paths that extend path by one to
// maxSubpathSegments segments.
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

// DisableGoZeroLogs disables go-zero's own log lines and statistics. Daemons, which log
// through logr, call it once.
func DisableGoZeroLogs() {
	logx.Disable()
	stat.DisableLog()
}

// Options configure a Server.
type Options struct {
	// Name is the server's name in traces.
	Name string
	// Address is the IP and port to bind.
	Address string
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Meter counts the connections' bytes. If it is nil, they are not counted.
	Meter *meter.Meter
	// Network opens the listener; nil stands for the operating system's.
	Network network.Network
}

// Listen binds an address and serves routes in the background.
func Listen(o Options, routes []Route) (*Server, error) {
	handler, err := Handler(o.Name, routes)
	if err != nil {
		return nil, err
	}
	ln, err := network.OrSystem(o.Network).Listen(context.Background(), "tcp", o.Address, 0)
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
	go func() { _ = s.server.Serve(ln) }() // returns ErrServerClosed after Stop or Kill
	return s, nil
}

// Handler returns a handler that serves routes.
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

// Address returns the address that the server is bound to.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop stops listening and waits for the requests in flight. If ctx ends first,
// it closes their connections and returns ctx's error.
func (s *Server) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	return err
}

// Kill closes the listener and all connections immediately, as a crash would.
func (s *Server) Kill() { _ = s.server.Close() }

// WriteJSON writes a response with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

// WriteWithETag writes a JSON body whose ETag is tag. If the request's If-None-Match
// header equals tag, it writes status 304 without the body.
func WriteWithETag(w http.ResponseWriter, r *http.Request, tag string, body any) {
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	WriteJSON(w, http.StatusOK, body)
}

// ETag returns an ETag for a body: a hash of its JSON. It returns "" if body cannot be
// encoded as JSON.
func ETag(body any) string {
	b, err := json.Marshal(body)
	if err != nil {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(b), 36)
}

// ReadJSON decodes a request's JSON body of up to MaxBody bytes into out. Unknown
// fields are an errors.NotValid error.
func ReadJSON(r *http.Request, out any) error {
	dec := json.NewDecoder(io.LimitReader(r.Body, MaxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return errors.NewNotValid(err, "request body")
	}
	return nil
}
