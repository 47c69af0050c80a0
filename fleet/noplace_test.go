// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/residency"
)

// Where the endpoints of a service are must follow each change of the list and of the
// evacuated zones.
func TestNoPlaceFollowsListAndEvacuations(t *testing.T) {
	f := New(Place{Zone: "a1", Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b"}})
	a, b := residency.Of("a"), residency.Of("b")
	check := func(step string, any, inA, inB bool) {
		t.Helper()
		assert.Check(t, f.NoPlace("s", residency.Of()) == !any, step)
		assert.Check(t, f.NoPlace("s", a) == !inA, step)
		assert.Check(t, f.NoPlace("s", b) == !inB, step)
	}
	check("an unknown service is not known to have no place", true, true, true)
	f.Put(Record{ID: "1", Service: "s", Address: "1:1", Zone: "a1"})
	check("one in a", true, true, false)
	f.Put(Record{ID: "2", Service: "s", Address: "2:1", Zone: "b1"})
	check("one in each", true, true, true)
	f.SetEvacuated("a1", true)
	check("a1 evacuated", true, false, true)
	f.SetEvacuated("b1", true)
	check("both evacuated", false, false, false)
	f.Put(Record{ID: "1", Service: "s", Address: "1:1", Zone: "a2", Draining: true})
	check("moved to a2", true, true, false)
	f.Remove("1")
	check("removed", false, false, false)
	f.SetEvacuated("b1", false)
	check("b1 taken back", true, false, true)
	f.Replace([]Record{{ID: "3", Service: "s", Address: "3:1", Zone: "a1"}})
	check("list replaced", false, false, false)
}
