// SPDX-License-Identifier: Apache-2.0

package quarantine

// completedSet is the set of the last maxCompleted traits of requests that got a complete
// response.
type completedSet struct {
	ids map[ID]struct{}
	// ring holds the same IDs in the order in which they were added. Once it is full,
	// next is the index of the oldest.
	ring []ID
	next int
}

// has reports whether the trait is in the set.
func (c *completedSet) has(id ID) bool {
	_, ok := c.ids[id]
	return ok
}

// add adds a trait, and evicts the oldest if the set is full.
func (c *completedSet) add(id ID) {
	if c.has(id) {
		return
	}
	if c.ids == nil {
		c.ids = make(map[ID]struct{})
	}
	if len(c.ring) < maxCompleted {
		c.ring = append(c.ring, id)
	} else {
		delete(c.ids, c.ring[c.next])
		c.ring[c.next] = id
		c.next = (c.next + 1) % maxCompleted
	}
	c.ids[id] = struct{}{}
}
