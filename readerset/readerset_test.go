// SPDX-License-Identifier: Apache-2.0

package readerset

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Times of a simulated region.
const (
	// tick is the time between two rounds in which each gateway makes at most one call.
	tick = 50 * time.Millisecond
	// staleAge is the age from which data is not accepted from another gateway.
	staleAge = 3 * time.Second
	// bound is the age that the data of a gateway in touch must never reach.
	bound = 5 * time.Second
	// backoff and staleBackoff are how long a failed source is left out.
	backoff      = 2 * time.Second
	staleBackoff = 300 * time.Millisecond
)

// member is a gateway of a simulated region.
type member struct {
	ip  string
	set *Set
	// confirmed is the time of the store's state that it has, or zero.
	confirmed time.Time
	// down: the process does not run; refused: the store turns it away.
	down, refused bool
}

// region is a simulated region. Its link to the store carries at most capacity reads in a
// tick; if more are made, all of them fail, as on a full link.
type region struct {
	members  []*member
	byIP     map[string]*member
	capacity int
	// reads are the reads of the store in each tick.
	reads []int
}

// newRegion returns a region of n gateways, all of which know each other.
func newRegion(n, capacity int, now time.Time) *region {
	r := &region{byIP: make(map[string]*member), capacity: capacity}
	var list []Member
	for i := range n {
		m := &member{ip: fmt.Sprint("10.0.", i/256, ".", i%256)}
		r.members = append(r.members, m)
		r.byIP[m.ip] = m
		list = append(list, Member{IP: m.ip, LinkRate: []float64{5e6, 125e6}[i%2]})
	}
	for _, m := range r.members {
		m.set = New(m.ip, StartTimeout, now)
		m.set.Update(list)
	}
	return r
}

// step lets each gateway make one call: to other gateways or, if none has supplied data
// and it may, to the store.
func (r *region) step(now time.Time) {
	var reading []*member
	for _, i := range rand.Perm(len(r.members)) {
		m := r.members[i]
		if m.down || r.ask(m, now) {
			continue
		}
		if m.set.MayRead(now) {
			reading = append(reading, m)
		}
	}
	r.reads = append(r.reads, len(reading))
	for _, m := range reading {
		ok := !m.refused && len(reading) <= r.capacity
		m.set.StoreRead(ok, now)
		if ok {
			m.confirmed = now
		}
	}
}

// ask queries the sources of m and reports whether one has supplied recent data.
func (r *region) ask(m *member, now time.Time) bool {
	for _, ip := range m.set.Sources(now) {
		source := r.byIP[ip]
		switch {
		case source.down:
			m.set.FailSilent(ip, now.Add(backoff))
		case source.confirmed.IsZero() || now.Sub(source.confirmed) > staleAge:
			m.set.FailStale(ip, now.Add(staleBackoff))
		default:
			m.set.Succeed(ip)
			if source.confirmed.After(m.confirmed) {
				m.confirmed = source.confirmed
			}
			return true
		}
	}
	return false
}

// run makes steps for a duration and returns the end, the most reads in a tick, and the
// highest age of the data of a gateway that runs.
func (r *region) run(now time.Time, duration time.Duration) (end time.Time, most int, oldest time.Duration) {
	r.reads = nil
	for end = now; end.Before(now.Add(duration)); end = end.Add(tick) {
		r.step(end)
		for _, m := range r.members {
			if !m.down {
				oldest = max(oldest, end.Sub(m.confirmed))
			}
		}
	}
	for _, n := range r.reads {
		most = max(most, n)
	}
	return end, most, oldest
}

// sizes are the numbers of gateways of a region that the tests simulate.
var sizes = []int{3, 20, 61, 200, 400}

// maxReads is the highest number of reads in a tick that a region of any size may make while
// some gateways are lost: those of the readers, and a few that replace them.
const maxReads = 8

// However many gateways a region has, few may read the store, and all must have recent data:
// in calm, when readers are lost, when the store turns a third of the gateways away, when a
// third or half of them are lost, and when these return.
func TestReadsDoNotGrowWithTheRegion(t *testing.T) {
	for _, n := range sizes {
		for name, harm := range map[string]func(r *region){
			"calm":              func(*region) {},
			"first reader lost": func(r *region) { r.byIP[r.members[0].set.Ranked()[0]].down = true },
			"readers lost": func(r *region) {
				for _, ip := range r.members[0].set.Ranked()[:ReadersPerRegion] {
					r.byIP[ip].down = true
				}
			},
			"readers turned away": func(r *region) {
				for _, ip := range r.members[0].set.Ranked()[:ReadersPerRegion] {
					r.byIP[ip].refused = true
				}
			},
			"a third turned away": func(r *region) { r.each(3, func(m *member) { m.refused = true }) },
			"a third lost":        func(r *region) { r.each(3, func(m *member) { m.down = true }) },
			"half lost":           func(r *region) { r.each(2, func(m *member) { m.down = true }) },
		} {
			t.Run(fmt.Sprint(n, " gateways, ", name), func(t *testing.T) {
				now := time.Unix(1000, 0)
				r := newRegion(n, n, now)
				now, _, _ = r.run(now, 2*time.Second)
				harm(r)
				now, most, oldest := r.run(now, 20*time.Second)
				t.Logf("at most %d reads at once, data at most %s old", most, oldest)
				assert.Check(t, most <= maxReads, "%d reads at once", most)
				assert.Check(t, oldest < bound, "%s", oldest)
				r.each(1, func(m *member) { m.down, m.refused = false, false })
				_, most, _ = r.run(now, 10*time.Second)
				assert.Check(t, most <= maxReads, "%d reads at once after the end", most)
				assert.Check(t, r.reads[len(r.reads)-1] <= ReadersPerRegion, "%d reads in the end", r.reads[len(r.reads)-1])
			})
		}
	}
}

// each calls harm for one in k of the gateways.
func (r *region) each(k int, harm func(*member)) {
	for i, m := range r.members {
		if i%k == 0 {
			harm(m)
		}
	}
}

// A region whose gateways all read the store, over a link that then carries none of these
// reads, must return to few reads and recent data by itself.
func TestRegionLeavesCollapse(t *testing.T) {
	for _, n := range sizes {
		now := time.Unix(1000, 0)
		r := newRegion(n, 6, now)
		for _, m := range r.members {
			for _, other := range r.members {
				if other != m {
					m.set.FailSilent(other.ip, now.Add(backoff))
				}
			}
		}
		r.step(now)
		if n > 6 {
			assert.Equal(t, r.reads[0], n, "the region begins in the collapsed state")
		}
		now, _, _ = r.run(now.Add(tick), bound)
		_, most, oldest := r.run(now, bound)
		assert.Check(t, most <= maxReads, "%d gateways: %d reads at once", n, most)
		assert.Check(t, oldest < bound, "%d gateways: %s", n, oldest)
	}
}

// A gateway that does not know the others must wait for them before it reads the store, and
// not for ever.
func TestUnknownRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New("a", RestartTimeout, now)
	assert.Assert(t, !s.MayRead(now) && s.Sources(now) == nil && !s.Reader())
	assert.Assert(t, s.MayRead(now.Add(RestartTimeout)))
	assert.Assert(t, !New("a", StartTimeout, now).MayRead(now.Add(RestartTimeout)))
	assert.Assert(t, s.Update([]Member{{IP: "b"}}))
	assert.Assert(t, s.Reader() && s.MayRead(now))
	assert.Assert(t, !s.Update([]Member{{IP: "b"}}))
}

// Gateways with fast links must be readers before others.
func TestFastGatewaysReadFirst(t *testing.T) {
	ranked := Rank([]Member{{IP: "a", LinkRate: 5e6}, {IP: "b", LinkRate: 125e6}, {IP: "c", LinkRate: 5e6}, {IP: "d", LinkRate: 120e6}, {IP: "b", LinkRate: 125e6}})
	assert.Equal(t, len(ranked), 4)
	assert.Assert(t, ranked[0] == "b" && ranked[1] == "d" || ranked[0] == "d" && ranked[1] == "b", "%v", ranked)
}

// A reader that the store turns away must get recent data from another gateway, whichever
// rank that has: in a region of two, the other reader is all there is.
func TestReaderTurnedAwayAsksAnyOther(t *testing.T) {
	for _, n := range []int{2, 3, 61} {
		for rank := range ReadersPerRegion {
			t.Run(fmt.Sprint(n, " gateways, rank ", rank), func(t *testing.T) {
				now := time.Unix(1000, 0)
				r := newRegion(n, n, now)
				r.byIP[r.members[0].set.Ranked()[rank]].refused = true
				now, _, _ = r.run(now, 2*time.Second)
				_, most, oldest := r.run(now, 20*time.Second)
				assert.Check(t, most <= maxReads, "%d reads at once", most)
				assert.Check(t, oldest < bound, "%s", oldest)
			})
		}
	}
}

// Guards against a gateway that reads in place of lost readers and pauses for many seconds after
// an outage of the store, whatever its length: changes would come into force late, as there is
// nobody else to ask.
func TestReadsResumeSoonAfterOutage(t *testing.T) {
	const resumed = storeRetry + 2*tick
	for _, n := range []int{3, 4, 20, 61} {
		for lost := range min(n, 5) {
			for outage := time.Second; outage < 40*time.Second; outage += 1300 * time.Millisecond {
				now := time.Unix(1000, 0)
				r := newRegion(n, n, now)
				now, _, _ = r.run(now, 2*time.Second)
				for _, ip := range r.members[0].set.Ranked()[:lost] {
					r.byIP[ip].down = true
				}
				now, _, _ = r.run(now, 4*time.Second)
				r.capacity = 0
				now, _, _ = r.run(now, outage)
				r.capacity = n
				end, _, _ := r.run(now, resumed)
				newest := time.Time{}
				for _, m := range r.members {
					if !m.down && m.confirmed.After(newest) {
						newest = m.confirmed
					}
				}
				assert.Check(t, newest.After(now), "%d gateways, %d lost, an outage of %s: not read until %s after it", n, lost, outage, end.Sub(now))
			}
		}
	}
}
