// SPDX-License-Identifier: Apache-2.0

package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Evacuations and their ends must each be reported once, also if records or snapshots
// repeat them.
func TestChangesAreReportedOnce(t *testing.T) {
	table := NewTable()
	assert.DeepEqual(t, table.Apply("a", true), []Change{{"a", true}})
	assert.Equal(t, len(table.Apply("a", true)), 0)
	assert.Equal(t, len(table.ApplySnapshot([]string{"a"}, 0)), 0)
	assert.DeepEqual(t, table.ApplySnapshot([]string{"b"}, 0), []Change{{"b", true}, {"a", false}})
	assert.Equal(t, len(table.Apply("a", false)), 0)
	assert.DeepEqual(t, table.Apply("b", false), []Change{{"b", false}})
}

// A zone must stay evacuated if a restore of the store has lost its record, until the
// record is written again and removed.
func TestEvacuationOutlastsRestore(t *testing.T) {
	table := NewTable()
	table.ApplySnapshot([]string{"a"}, 1)
	assert.Equal(t, len(table.ApplySnapshot(nil, 2)), 0)
	assert.Equal(t, len(table.Apply("a", true)), 0, "rewritten by the operator")
	assert.DeepEqual(t, table.Apply("a", false), []Change{{"a", false}})
	assert.Equal(t, len(table.ApplySnapshot(nil, 2)), 0)
}

// A zone that was taken back must be evacuated again if the restored store lists it: its
// evacuation may be a new one. The operator rewrites a lost end.
func TestRestoredEvacuationCounts(t *testing.T) {
	table := NewTable()
	table.ApplySnapshot([]string{"a"}, 1)
	table.Apply("a", false)
	assert.DeepEqual(t, table.ApplySnapshot([]string{"a"}, 2), []Change{{"a", true}})
	assert.DeepEqual(t, table.Apply("a", false), []Change{{"a", false}})
}
