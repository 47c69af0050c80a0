// SPDX-License-Identifier: Apache-2.0

package quarantine

// proven are the last requests that ended well.
type proven struct {
	ids map[ID]struct{}
	// ring are the same, by when they were added; next is the oldest once it is
	// full.
	ring []ID
	next int
}

func (p *proven) has(id ID) bool {
	_, ok := p.ids[id]
	return ok
}

// add adds a request, in the place of the oldest if there are too many. One that
// was forgotten meanwhile is added again by its next good end.
func (p *proven) add(id ID) {
	if p.has(id) {
		return
	}
	if p.ids == nil {
		p.ids = make(map[ID]struct{})
	}
	if len(p.ring) < maxProven {
		p.ring = append(p.ring, id)
	} else {
		delete(p.ids, p.ring[p.next])
		p.ring[p.next] = id
		p.next = (p.next + 1) % maxProven
	}
	p.ids[id] = struct{}{}
}
