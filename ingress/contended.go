// SPDX-License-Identifier: Apache-2.0

package ingress

import "github.com/mintlift/mintlift/routing"

// contendedLocked reports whether more gateways subscribe to an engine of the service than
// the engine has slots. Only then can more gateways see a free slot, and send to it, than
// can use it. Server.mu must be held.
func (s *Server) contendedLocked(service *routing.Service) bool {
	return service != nil && service.Engine != nil && service.Engine.Slots > 0 && service.Engine.Slots < s.gateways
}
