// SPDX-License-Identifier: Apache-2.0

// Package routing holds the operator's configuration of the request path: the
// routes from hosts and paths to services, their timeouts and latency targets, the
// workspaces' keys, and limits on connections.
//
// A Configuration is immutable, so that a request uses a single version from
// admission to completion. A Table holds the newest version and rejects older ones.
// The package does no I/O.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mintlift/mintlift/residency"
)

// Kind is the kind of a route's requests; it determines whether they may be retried.
type Kind string

// The kinds of a route.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests must run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered with server-sent events.
	Streaming Kind = "streaming"
)

// Share is the share of a route's requests that is sent to one service.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares. A negative weight
	// counts as 0.
	Weight int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds how long a request may be held; zero is no bound.
	Timeout time.Duration
	// TargetLatency is the operator's target for the time until the end of a response
	// or, of a stream, until its first event.
	TargetLatency time.Duration
	// TargetGap is the operator's target for the longest time between two successive
	// events of a stream.
	TargetGap time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts bounds how many endpoints one request may be sent to.
	MaxAttempts int
	// Public is set if requests need no key.
	Public bool
	// Resumable is set if another endpoint may continue a stream that was interrupted.
	Resumable bool
	// Regions are the regions in which requests of the route may be served.
	Regions residency.Regions
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request, chosen by weight; draw must be uniform
// in [0, 1). It returns the first service if all weights are 0, and "" without
// shares.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	remaining := int(draw * float64(total))
	for _, s := range r.Shares {
		remaining -= max(s.Weight, 0)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[0].Service
}

// Engine holds the parameters of a service of model engines.
type Engine struct {
	// Slots is how many requests an endpoint runs concurrently.
	Slots int
	// Model is the name of the model that the endpoints run.
	Model string
	// Chunks is the number of chunks that the model's weights are divided into, and
	// ChunkBytes the size of each in bytes.
	Chunks     int
	ChunkBytes int
	// Layers is the number of layers of the model.
	Layers int
	// Step is how long an engine takes for one token if it runs a single request.
	Step time.Duration
	// Stride is how many steps an engine runs between two checks of its queue.
	Stride int
	// PrefillRate is the rate at which an engine reads prompts, in tokens a second.
	PrefillRate float64
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of a prompt and of
	// its response.
	MeanPromptTokens, MeanAnswerTokens int
}

// Service is a group of endpoints, or the origin server, from which model weights are
// fetched.
type Service struct {
	Name string
	// MaxConnections is the number of connections that each endpoint accepts, from all
	// gateways together; 0 is no bound.
	MaxConnections int
	// Origin is the address of the origin server, and Zone its availability zone.
	// Origin is empty for other services.
	Origin string
	Zone   string
	// OriginRate is the bandwidth of the origin server's link in bytes a second, or
	// zero if it is not configured.
	OriginRate float64
	// Engine is nil for a plain service.
	Engine *Engine
	// ColdRate is how many requests a second an endpoint takes while it is cold, from
	// all gateways together; 0 is no bound.
	ColdRate float64
	// ColdStart is how long an endpoint stays cold after its start.
	ColdStart time.Duration
}

// Workspace is a customer with the keys that authenticate its requests.
type Workspace struct {
	Name string
	Keys []string
	// Priority is 0 for the most urgent.
	Priority int
	// Regions are the regions in which requests of the workspace may be served.
	Regions residency.Regions
}

// Limits bound the size of requests, the time to receive their headers, and the
// idle time of connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version    int64
	Services   map[string]*Service
	Limits     Limits
	hosts      map[string][]*Route
	keys       map[string]*Workspace
	workspaces int
	// mixed holds the services whose streaming routes differ in priority, and
	// equalWorkspaces is set if no two workspaces do.
	mixed           map[string]bool
	equalWorkspaces bool
}

// New builds a configuration. It takes ownership of the slices and what they point to.
func New(version int64, routes []*Route, services []*Service, workspaces []*Workspace, limits Limits) *Configuration {
	c := &Configuration{
		Version:    version,
		Services:   make(map[string]*Service, len(services)),
		Limits:     limits,
		hosts:      make(map[string][]*Route),
		keys:       make(map[string]*Workspace),
		workspaces: len(workspaces),
		mixed:      mixedServices(routes),
		equalWorkspaces: !slices.ContainsFunc(workspaces, func(w *Workspace) bool {
			return w.Priority != workspaces[0].Priority
		}),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, w := range workspaces {
		for _, k := range w.Keys {
			c.keys[k] = w
		}
	}
	return c
}

// mixedServices returns the services whose streaming routes differ in priority.
func mixedServices(routes []*Route) map[string]bool {
	first, mixed := make(map[string]int), make(map[string]bool)
	for _, r := range routes {
		if r.Kind != Streaming {
			continue
		}
		for _, s := range r.Shares {
			if p, ok := first[s.Service]; !ok {
				first[s.Service] = r.Priority
			} else if p != r.Priority {
				mixed[s.Service] = true
			}
		}
	}
	return mixed
}

// HasRoute reports whether the configuration has a route with a name.
func (c *Configuration) HasRoute(name string) bool {
	for _, list := range c.hosts {
		if slices.ContainsFunc(list, func(r *Route) bool { return r.Name == name }) {
			return true
		}
	}
	return false
}

// RoutePrioritiesDiffer reports whether the streaming routes of a service differ in
// priority.
func (c *Configuration) RoutePrioritiesDiffer(service string) bool { return c.mixed[service] }

// WorkspacePrioritiesEqual reports whether all workspaces have the same priority.
func (c *Configuration) WorkspacePrioritiesEqual() bool { return c.equalWorkspaces }

// Match returns the route of host with the longest matching path prefix, or nil. It
// ignores case and a port in host.
func (c *Configuration) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// StreamsResumable reports whether streaming routes lead to a service and all of them are
// resumable.
func (c *Configuration) StreamsResumable(service string) bool {
	found := false
	for _, list := range c.hosts {
		for _, r := range list {
			if r.Kind != Streaming || !slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) {
				continue
			}
			if !r.Resumable {
				return false
			}
			found = true
		}
	}
	return found
}

// Authenticated reports whether requests to routes that are not public need a key.
// They do if any workspace is configured.
func (c *Configuration) Authenticated() bool { return c.workspaces > 0 }

// Workspace returns the workspace that a key belongs to, or nil.
func (c *Configuration) Workspace(key string) *Workspace { return c.keys[key] }

// ColdRate returns the ColdRate of a service, or 0 if the service is not configured.
func (c *Configuration) ColdRate(service string) float64 {
	if s := c.Services[service]; s != nil {
		return s.ColdRate
	}
	return 0
}

// Origin returns a service that is an origin server of weights, or nil.
func (c *Configuration) Origin() *Service {
	for _, s := range c.Services {
		if s.Origin != "" {
			return s
		}
	}
	return nil
}

// Table holds the newest configuration. It is safe for concurrent use.
type Table struct{ current atomic.Pointer[Configuration] }

// Get returns the newest configuration, or nil before the first.
func (t *Table) Get() *Configuration { return t.current.Load() }

// Apply stores c if its version is higher than that of the current configuration, and
// reports whether it did.
func (t *Table) Apply(c *Configuration) bool {
	for {
		held := t.current.Load()
		if held != nil && held.Version >= c.Version {
			return false
		}
		if t.current.CompareAndSwap(held, c) {
			return true
		}
	}
}
