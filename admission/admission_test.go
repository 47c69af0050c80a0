// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1000, 0)
	urgent = Urgency{Priority: 1, RoutePriority: 0}
	middle = Urgency{Priority: 1, RoutePriority: 1}
	least  = Urgency{Priority: 1, RoutePriority: 2}
)

const slots = 12

// ms returns the time n milliseconds after start.
func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// serve records an urgent, a middle and a least request every 20 ms from one time to
// another. refused is the interval, in requests, in which an urgent one is refused, or 0.
func serve(c *Controller, from, to, refused int) {
	for i := 0; from+20*i < to; i++ {
		now := ms(from + 20*i)
		if refused > 0 && i%refused == 0 {
			c.RecordRefused(urgent, now)
		} else {
			c.RecordSent(urgent, now)
			c.RecordResponse(urgent, true, now)
		}
		for _, u := range []Urgency{middle, least} {
			c.RecordSent(u, now)
			c.RecordResponse(u, true, now)
		}
	}
}

// Load: a tenth of the urgent requests is refused from 1 s to 3 s. Guards against a reserve
// that rises too late for the burst, exceeds a third of the slots, also holds for the most
// urgent class, or stays or ends at once after the burst.
func TestReserveFollowsRefusals(t *testing.T) {
	c := &Controller{}
	serve(c, 0, 1000, 0)
	assert.Equal(t, c.Reserve(least, slots, ms(1000)), 0.0)
	serve(c, 1000, 3000, 10)
	assert.Equal(t, c.Reserve(least, slots, ms(3000)), slots/3.0)
	assert.Equal(t, c.Reserve(middle, slots, ms(3000)), slots/6.0)
	assert.Equal(t, c.Reserve(urgent, slots, ms(3000)), 0.0)
	calm := 3000
	for r := slots / 3.0; r == slots/3.0; calm += 20 {
		serve(c, calm, calm+20, 0)
		r = c.Reserve(least, slots, ms(calm+20))
	}
	assert.Assert(t, calm < 5000, "until %d ms", calm)
	serve(c, calm, calm+1000, 0)
	assert.Assert(t, c.Reserve(least, slots, ms(calm+1000)) > 1)
	serve(c, calm+1000, calm+3000, 0)
	assert.Equal(t, c.Reserve(least, slots, ms(calm+3000)), 0.0)
}

// Load: the urgent class begins to be refused or late at 1 s. Guards against a reserve that
// is not complete 0.3 s after the second such request.
func TestReserveRisesQuickly(t *testing.T) {
	for name, fail := range map[string]func(c *Controller, now time.Time){
		"refused": func(c *Controller, now time.Time) { c.RecordRefused(urgent, now) },
		"late":    func(c *Controller, now time.Time) { c.RecordResponse(urgent, false, now) },
	} {
		t.Run(name, func(t *testing.T) {
			c := &Controller{}
			serve(c, 0, 1000, 0)
			fail(c, ms(1000))
			assert.Equal(t, c.Reserve(least, slots, ms(1010)), 0.0, "a single one")
			for at := 1010; at <= 1040; at += 10 {
				fail(c, ms(at))
			}
			serve(c, 1050, 1310, 0)
			assert.Equal(t, c.Reserve(least, slots, ms(1310)), slots/3.0)
		})
	}
}

// Load: no requests for 10 s after a burst. Guards against a reserve that rises on counts
// that are long out of date.
func TestReserveAfterPause(t *testing.T) {
	c := &Controller{}
	serve(c, 0, 1000, 2)
	assert.Equal(t, c.Reserve(least, slots, ms(11000)), 0.0)
	assert.Equal(t, len(c.Changes(slots, ms(11000))), 0)
	c.update(ms(21000))
	assert.Equal(t, len(c.classes), 0, "classes without requests are removed")
}

// Load: requests of a single urgency are refused. Guards against a reserve that is not a
// number where no class is less urgent.
func TestSingleClassHasNoReserve(t *testing.T) {
	c := &Controller{}
	for n := range 50 {
		c.RecordRefused(urgent, ms(10*n))
	}
	assert.Equal(t, c.Reserve(urgent, slots, ms(500)), 0.0)
	assert.Assert(t, !c.BelowFloor(urgent, ms(500)))
}

// Load: requests of very many urgencies. Guards against classes without a bound.
func TestClassesAreBounded(t *testing.T) {
	c := &Controller{}
	for n := range 10 * maxClasses {
		c.RecordRefused(Urgency{Priority: n}, start)
	}
	assert.Equal(t, len(c.classes), maxClasses)
	assert.Equal(t, c.Reserve(Urgency{Priority: 100}, slots, start), 0.0)
}

// Load: the urgent requests alone exceed the capacity, or the least urgent ones do, or only
// both together. Each request waits 100 ms for a slot; a reserve keeps its class from all
// slots. Guards against a class that is served less than half as often as a more urgent one,
// and against a less urgent one that is served more often than a more urgent one.
func TestEachClassKeepsItsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		urgencies := []Urgency{urgent, middle, least}
		demand := make([]float64, 3) // requests per second
		total := 0.0
		for i := range demand {
			demand[i] = rapid.Float64Range(10, 60).Draw(t, "demand")
			total += demand[i]
		}
		capacity := rapid.Float64Range(0.3, 1.1).Draw(t, "capacity") * total
		c := &Controller{}
		type request struct {
			class      int
			belowFloor bool
			at         int // ms
		}
		var waiting []request
		var due, served, refused [3]float64
		free := 0.0
		for at := 0; at < 20000; at += 5 {
			now := ms(at)
			for i, d := range demand {
				for due[i] += d * 0.005; due[i] >= 1; due[i]-- {
					waiting = append(waiting, request{i, c.BelowFloor(urgencies[i], now), at})
				}
			}
			free = min(free+capacity*0.005, 1)
			next := -1
			kept := waiting[:0]
			for _, r := range waiting {
				if at-r.at >= 100 {
					c.RecordRefused(urgencies[r.class], now)
					if at > 3000 {
						refused[r.class]++
					}
					continue
				}
				kept = append(kept, r)
				first := next < 0 || r.belowFloor && !kept[next].belowFloor || r.belowFloor == kept[next].belowFloor && r.class < kept[next].class
				if c.Reserve(urgencies[r.class], slots, now) == 0 && first {
					next = len(kept) - 1
				}
			}
			waiting = kept
			if next >= 0 && free >= 1 {
				free--
				r := waiting[next]
				waiting = append(waiting[:next], waiting[next+1:]...)
				c.RecordSent(urgencies[r.class], now)
				c.RecordResponse(urgencies[r.class], true, now)
				if at > 3000 {
					served[r.class]++
				}
			}
		}
		share := func(i int) float64 { return served[i] / (served[i] + refused[i]) }
		for i := range urgencies {
			for j := range i {
				assert.Assert(t, share(i) >= 0.5*share(j), "class %d: %.2f, more urgent %d: %.2f", i, share(i), j, share(j))
				assert.Assert(t, share(i) <= share(j)+0.05, "class %d: %.2f, more urgent %d: %.2f", i, share(i), j, share(j))
			}
		}
	})
}

// Load: one request in 50 is urgent, and half of these are refused. Guards against a reserve
// that takes a third of the slots from nearly all requests for the sake of a few.
func TestReserveIsBoundedByUrgentDemand(t *testing.T) {
	c := &Controller{}
	for i := range 1000 {
		now := ms(2 * i)
		switch {
		case i%50 > 0:
			c.RecordSent(least, now)
			c.RecordResponse(least, true, now)
		case i%100 == 0:
			c.RecordRefused(urgent, now)
		default:
			c.RecordSent(urgent, now)
		}
	}
	reserve := c.Reserve(least, slots, ms(2000))
	assert.Assert(t, reserve > 0 && reserve < 0.03*slots, "%.2f slots", reserve)
}

// Load: the urgent share of the requests, by which the reserve is bounded, varies around half
// a slot. Guards against a log line for nearly every request, and against a last change that
// is never returned.
func TestChangesAreBounded(t *testing.T) {
	c := &Controller{}
	changes, last, at := 0, 0, 0
	for ; at < 20000; at += 10 {
		if at%230 == 0 {
			c.RecordRefused(urgent, ms(at))
		} else {
			c.RecordSent(least, ms(at))
		}
		for _, change := range c.Changes(slots, ms(at)) {
			changes++
			last = change.Slots
		}
	}
	assert.Assert(t, changes > 0 && changes <= 20, "%d changes", changes)
	for ; at < 40000; at += 100 {
		for _, change := range c.Changes(slots, ms(at)) {
			last = change.Slots
		}
	}
	assert.Equal(t, last, 0)
	assert.Equal(t, len(c.classes), 0)
}

// Load: urgent requests are refused, and requests of further urgencies come too rarely to be
// counted at all times, or are of more urgencies than are counted. Guards against requests
// that escape the reserve although more urgent ones are held to it, and against a class
// without a floor.
func TestUncountedUrgencyHasReserveAndFloor(t *testing.T) {
	c := &Controller{}
	serve(c, 0, 2000, 4)
	further := Urgency{Priority: least.Priority, RoutePriority: least.RoutePriority + 1}
	assert.Equal(t, c.Reserve(further, slots, ms(2000)), c.Reserve(least, slots, ms(2000)))
	assert.Equal(t, c.Reserve(Urgency{}, slots, ms(2000)), 0.0, "more urgent than all")

	c = &Controller{}
	for n := range maxClasses {
		c.RecordSent(Urgency{Priority: n}, start)
	}
	for range 10 {
		c.RecordSent(Urgency{}, start)
		c.RecordRefused(Urgency{Priority: maxClasses + 1}, start)
	}
	assert.Assert(t, c.BelowFloor(Urgency{Priority: maxClasses + 1}, start))
	assert.Equal(t, len(c.classes), maxClasses)
}
