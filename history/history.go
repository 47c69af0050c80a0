// SPDX-License-Identifier: Apache-2.0

// Package history orders positions in a topic of the platform's event log.
//
// The log may be restored from an older copy. Records written after that copy was made
// are then lost, and their offsets are assigned to new records. An offset is therefore
// only valid within an era, the time between two restores. Eras are numbered, and the
// number increases with each restore.
package history

import "cmp"

// Position is a read position in a topic.
type Position struct {
	// Era is the era of the log.
	Era int64
	// Offset is the offset of the next record to read in the era; negative if nothing
	// has been read.
	Offset int64
}

// Unread is the position of a reader that has read nothing.
var Unread = Position{Offset: -1}

// Known reports whether anything has been read.
func (p Position) Known() bool { return p.Offset >= 0 }

// Before reports whether p is before q. Positions are ordered by era, then by offset. A
// position where nothing has been read is before all others.
func (p Position) Before(q Position) bool {
	if !p.Known() || !q.Known() {
		return !p.Known() && q.Known()
	}
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset)) < 0
}

// Later returns the later of two positions, in the order of Before.
func Later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}
