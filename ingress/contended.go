// SPDX-License-Identifier: Apache-2.0

package ingress

import "github.com/mintlift/mintlift/routing"

// contendedLocked reports whether a service is contended: more gateways receive the
// reports of its engines than an engine has slots, so that more gateways can see a free
// slot than can use it. It goes by the largest number of gateways known. service may be
// nil. Server.mu must be held.
func (s *Server) contendedLocked(service *routing.Service) bool {
	return service != nil && service.Engine != nil && service.Engine.Slots > 0 && s.gateways > service.Engine.Slots
}
