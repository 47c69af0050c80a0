// SPDX-License-Identifier: Apache-2.0

package ingress

// lateLocked reports whether x waits for its first attempt in a contended service and accepts
// late endpoints, without a place in the return plan. Server.mu must be held.
func (s *Server) lateLocked(x *exchange) bool {
	return x.attempts == 0 && x.acceptsLate && !x.hasPlace && s.controllerLocked(x) != nil
}
