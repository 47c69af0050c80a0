// SPDX-License-Identifier: Apache-2.0

package ingress

import "github.com/mintlift/mintlift/routing"

// contendedLocked reports whether more gateways use an engine of the service than it has
// slots. Only then can more gateways send a request for one free slot than can use it.
// Server.mu must be held.
func (s *Server) contendedLocked(service *routing.Service) bool {
	return service != nil && service.Engine != nil && service.Engine.Slots > 0 && s.gateways > service.Engine.Slots
}
