// SPDX-License-Identifier: Apache-2.0

// Package evacuation holds which availability zones the operator has evacuated. The
// endpoints of an evacuated zone get no new requests until the zone is taken back;
// requests that they run already end there.
//
// The package does no I/O.
package evacuation

import (
	"maps"
	"slices"
)

// Change is the evacuation of a zone, or its end.
type Change struct {
	Zone      string
	Evacuated bool
}

// Table holds the evacuated zones as read from the store. It is not safe for concurrent
// use.
type Table struct {
	// era is the store's era of the last snapshot. It rises each time that the store is
	// restored from an older copy.
	era   int64
	zones map[string]bool
}

// NewTable returns a table in which no zone is evacuated.
func NewTable() *Table { return &Table{zones: make(map[string]bool)} }

// Apply records that a zone was evacuated or taken back, and returns the change, if any.
func (t *Table) Apply(zone string, evacuated bool) []Change {
	if t.zones[zone] == evacuated {
		return nil
	}
	if evacuated {
		t.zones[zone] = true
	} else {
		delete(t.zones, zone)
	}
	return []Change{{zone, evacuated}}
}

// ApplySnapshot applies a snapshot, which contains all zones that the store lists as
// evacuated in an era, and returns the changes. A zone that the snapshot lacks was taken
// back. The first snapshot after the store was restored from an older copy may lack a zone
// although it is still evacuated: such a zone stays evacuated until the operator writes
// its record again.
func (t *Table) ApplySnapshot(zones []string, era int64) []Change {
	var out []Change
	for _, zone := range zones {
		out = append(out, t.Apply(zone, true)...)
	}
	if era != t.era {
		t.era = era
		return out
	}
	for _, zone := range slices.Sorted(maps.Keys(t.zones)) {
		if !slices.Contains(zones, zone) {
			out = append(out, t.Apply(zone, false)...)
		}
	}
	return out
}
