// SPDX-License-Identifier: Apache-2.0

// Package routing is the operator's configuration of the request path:
// which service answers which host and path, how long an answer may take,
// who may ask, and the limits of connections.
//
// A Configuration never changes once it is built, so that a request sees
// one version from its admission to its end. Table keeps the newest one and
// never goes back to an older version. The package does no I/O.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Kind says what may be done again with a route's requests.
type Kind string

// The kinds of a route.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Streaming requests are answered by server-sent events.
	Streaming Kind = "streaming"
)

// Share is one service of a split route.
type Share struct {
	Service string
	// Weight is relative to the other shares.
	Weight int
}

// Route is one rule of the configuration.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds how long a request may be held; zero is no bound.
	Timeout time.Duration
	// TargetLatency earns full credit: to the end of an answer, or to the
	// first event of a stream.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events that is still in time.
	TargetGap time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts bounds the endpoints that one request may be sent to.
	MaxAttempts int
	Public      bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request; draw is uniform in [0, 1).
func (r *Route) Service(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	at := int(draw * float64(total))
	for _, s := range r.Shares {
		at -= max(s.Weight, 0)
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[0].Service
}

// Engine are the figures of a service of model engines.
type Engine struct {
	// Slots is how many requests an endpoint works on at once.
	Slots int
	// Model is the name of the model that the endpoints run.
	Model string
	// Chunks and ChunkBytes say how the weights come.
	Chunks     int
	ChunkBytes int
	Layers     int
	// Step is the time of one token step without other writers.
	Step time.Duration
	// Stride is how many steps are played between two looks at the queue.
	Stride int
	// ReadRate is in prompt tokens a second.
	ReadRate float64
	// UsualPrompt and UsualAnswer are mean tokens of a request.
	UsualPrompt, UsualAnswer int
}

// Service is a group of endpoints, or the origin of weights.
type Service struct {
	Name           string
	MaxConnections int
	// Origin is the address of the origin of weights, or empty, and Zone
	// where it is.
	Origin string
	Zone   string
	// OriginRate is the origin's link in bytes a second, or zero.
	OriginRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int
}

// Limits bound what callers may send, and how long they may rest.
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
}

// New builds a configuration. The slices belong to it afterwards.
func New(version int64, routes []*Route, services []*Service, workspaces []*Workspace, limits Limits) *Configuration {
	c := &Configuration{
		Version:    version,
		Services:   make(map[string]*Service, len(services)),
		Limits:     limits,
		hosts:      make(map[string][]*Route),
		keys:       make(map[string]*Workspace),
		workspaces: len(workspaces),
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

// Match returns the route of host with the longest prefix of path, or nil.
// A port in host does not count.
func (c *Configuration) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Authenticated reports whether requests need a key at all.
func (c *Configuration) Authenticated() bool { return c.workspaces > 0 }

// Workspace returns the holder of a key, or nil.
func (c *Configuration) Workspace(key string) *Workspace { return c.keys[key] }

// Origin returns the origin of weights, or nil.
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

// Apply takes c if it is newer than what is held.
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
