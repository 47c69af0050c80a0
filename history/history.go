// SPDX-License-Identifier: Apache-2.0

// Package history orders positions in a topic of the platform's event log.
//
// The log may be restored from an older copy. Records written since that copy are
// then lost, and their offsets are assigned to other records. An offset is therefore
// only valid within its era, a number that increases with each restore.
package history

import "cmp"

// Position is a read position in a topic.
type Position struct {
	// Era is the era of the log.
	Era int64
	// Offset is the offset of the next record in the era; negative if nothing has
	// been read.
	Offset int64
}

// Unread is the position of a reader that has read nothing.
var Unread = Position{Offset: -1}

// Known reports whether anything has been read.
func (p Position) Known() bool { return p.Offset >= 0 }

// Before reports whether p is before q. A position that is not Known is before each
// that is; others are ordered by era and offset.
func (p Position) Before(q Position) bool {
	if !p.Known() || !q.Known() {
		return !p.Known() && q.Known()
	}
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset)) < 0
}

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}
