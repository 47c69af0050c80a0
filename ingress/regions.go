// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"strings"

	"github.com/mintlift/mintlift/residency"
	"github.com/mintlift/mintlift/routing"
)

// allowedRegions returns the regions in which a request may be served: those that both
// its route and the workspace of its key allow. key is empty for a public route.
func allowedRegions(c *routing.Configuration, r *routing.Route, key string) residency.Regions {
	out := r.Regions
	if workspace := c.Workspace(key); workspace != nil {
		out = out.Intersect(workspace.Regions)
	}
	return out
}

// regionsOf returns the regions in which x may be served under the configuration in
// force. That may be newer than x.config, with which the request was admitted; if it lacks
// the route or the key, the regions do not change. Server.mu must be held.
func (s *Server) regionsOf(x *exchange) residency.Regions {
	c := s.routes.Get()
	if c == x.regionsConfig || c == nil || x.regionsConfig == nil {
		return x.regions
	}
	x.regionsConfig = c
	path, _, _ := strings.Cut(x.target(), "?")
	route := c.Match(x.request.Host, path)
	if route == nil || x.key != "" && c.Workspace(x.key) == nil {
		return x.regions
	}
	x.regions = allowedRegions(c, route, x.key)
	return x.regions
}

// noPlace reports whether the service of x has endpoints, none of which may serve x because
// of their regions or because of evacuated zones.
func (s *Server) noPlace(x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.NoPlace(x.service, s.regionsOf(x))
}
