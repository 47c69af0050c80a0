// SPDX-License-Identifier: Apache-2.0

// Package history names places in a topic of the platform's log, and orders
// them.
//
// The log may come back from an older copy. What was written since is gone then,
// and its offsets are given out again for other records: an offset says nothing
// without the era that it belongs to, which rises with each return.
package history

import "cmp"

// Position is how far a topic has been read.
type Position struct {
	// Era of the log, and the offset of the next record in it.
	Era    int64
	Offset int64
}

// Unread is the position of who has read nothing.
var Unread = Position{Offset: -1}

// Known reports whether anything has been read.
func (p Position) Known() bool { return p.Offset >= 0 }

// Before reports whether q is further: in a later era, whatever the offsets, or
// in the same one at a higher offset.
func (p Position) Before(q Position) bool {
	if !p.Known() || !q.Known() {
		return !p.Known() && q.Known()
	}
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset)) < 0
}

// Later returns the further one of two positions.
func Later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}
