// SPDX-License-Identifier: Apache-2.0

// Package admission decides which requests get the slots of a service whose load exceeds
// its capacity. It does no I/O; the current time is passed in.
package admission

import "cmp"

// Urgency orders the requests for a service. In both fields, 0 is the most urgent.
type Urgency struct {
	// Priority is the workspace's priority, or the route's for requests without a key.
	Priority int
	// RoutePriority decides between requests of equal Priority.
	RoutePriority int
}

// Compare orders urgencies; a negative result means that u is more urgent than v.
func (u Urgency) Compare(v Urgency) int {
	return cmp.Or(cmp.Compare(u.Priority, v.Priority), cmp.Compare(u.RoutePriority, v.RoutePriority))
}
