// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"math"
	"slices"
	"time"
)

// Parameters of a Controller.
const (
	// countDecay is the time constant with which counts decay.
	countDecay = 1500 * time.Millisecond
	// maxReserve is the highest reserve, as a share of an engine's slots. A reserve also
	// never exceeds the share of the requests that are more urgent: slots beyond that would
	// stay empty, or go to nobody who needs them more.
	maxReserve = 1.0 / 3
	// raiseTime and lowerTime are how long a reserve takes to rise from 0 to maxReserve
	// and to fall back. It must be in force before a burst has taken all slots. A slow
	// fall keeps the requests that it held back from returning at once.
	raiseTime = 250 * time.Millisecond
	lowerTime = 2500 * time.Millisecond
	// troubledShare is the share of refused and late requests from which a class needs
	// a reserve, and troubledMin the number of them. A single one shows no scarcity.
	troubledShare = 0.04
	troubledMin   = 1.5
	// floorShare is how often a class is served at least, as a share of how often the
	// more urgent classes are. The requirement is 0.5. The rest is a margin for requests
	// that are already waiting when the count falls below the floor.
	floorShare = 0.6
	// floorMin is the number of decided requests below which a class has no served share.
	floorMin = 3.0
	// negligible is the number of requests below which a class is removed.
	negligible = 0.01
	// maxClasses bounds the classes of a Controller. Requests of further urgencies are
	// counted with the next more urgent class.
	maxClasses = 16
	// loggedStep is the change of a reserve, in slots, that is logged.
	loggedStep = 2
	// minChangeInterval is the minimum time between two changes of a reserve that are
	// logged. A reserve that is bounded by the share of more urgent requests varies with
	// each request.
	minChangeInterval = time.Second
)

// Controller reserves slots of a service's engines for more urgent requests, at one
// gateway. It counts the gateway's recent requests by class, that is, by urgency. While
// requests of a class are refused or late, less urgent ones must leave a reserve of each
// engine's slots free. It is not safe for concurrent use.
type Controller struct {
	classes   []*class // most urgent first
	updatedAt time.Time
	// shareChangesAt is when ShareChanges last returned changes.
	shareChangesAt time.Time
}

// class holds the decaying counts of one urgency, and its reserve.
type class struct {
	urgency Urgency
	counts  Counts
	// reserve is a share of an engine's slots. logged is the reserve that Changes last
	// returned, in slots, and loggedAt is when it did.
	reserve  float64
	logged   int
	loggedAt time.Time
	// shares divides the class among workspaces.
	shares shares
}

// Counts are the decaying numbers of first attempts of a class. A request is sent or
// refused when that is decided. It is in time or late when its response starts, or when
// it ends without one.
type Counts struct{ Sent, Refused, InTime, Late float64 }

// each applies f to all counts.
func (c *Counts) each(f func(float64) float64) {
	c.Sent, c.Refused, c.InTime, c.Late = f(c.Sent), f(c.Refused), f(c.InTime), f(c.Late)
}

// troubled reports whether more than a few per cent of the requests are refused or late.
func (c *Counts) troubled() bool {
	bad := c.Refused + c.Late
	return bad >= troubledMin && bad > troubledShare*(bad+c.InTime)
}

// servedShare returns the share of the requests that were sent. ok is false if too few
// were decided.
func (c *Counts) servedShare() (share float64, ok bool) {
	return c.Sent / max(c.decided(), 1), c.decided() >= floorMin
}

// decided returns the number of requests that were sent or refused.
func (c *Counts) decided() float64 { return c.Sent + c.Refused }

// RecordSent counts a first attempt that got an engine.
func (c *Controller) RecordSent(u Urgency, now time.Time) {
	c.class(u, now).counts.Sent++
}

// RecordRefused counts a request that got no engine.
func (c *Controller) RecordRefused(u Urgency, now time.Time) {
	c.class(u, now).counts.Refused++
}

// RecordUnsent counts a request that was counted as sent, but has reached no engine and got
// no other one, as refused.
func (c *Controller) RecordUnsent(u Urgency, now time.Time) {
	k := c.class(u, now)
	k.counts.Sent = max(k.counts.Sent-1, 0)
	k.counts.Refused++
}

// RecordResponse counts a request that was sent, by whether its response started in time.
func (c *Controller) RecordResponse(u Urgency, inTime bool, now time.Time) {
	k := c.class(u, now)
	if inTime {
		k.counts.InTime++
	} else {
		k.counts.Late++
	}
}

// Reserve returns how many of an engine's slots requests of urgency u must leave free. It
// is 0 for the most urgent class and rises evenly to the least urgent one, so that a class
// between them keeps an advantage over those below it. It is 0 while the class is below its
// floor; see BelowFloor.
func (c *Controller) Reserve(u Urgency, slots int, now time.Time) float64 {
	c.update(now)
	at, ok := c.nearest(u)
	if !ok || c.belowFloor(at) {
		return 0
	}
	return c.classes[at].reserve * float64(slots) * c.gradient(at)
}

// gradient returns the part of the reserve that applies to the class at an index, from 0 for
// the most urgent class to 1 for the least urgent one.
func (c *Controller) gradient(at int) float64 { return float64(at) / float64(max(len(c.classes)-1, 1)) }

// BelowFloor reports whether requests of urgency u are served too rarely in comparison with
// more urgent ones. They then go first until they are not.
func (c *Controller) BelowFloor(u Urgency, now time.Time) bool {
	c.update(now)
	at, ok := c.nearest(u)
	return ok && c.belowFloor(at)
}

// belowFloor is BelowFloor for the class at an index.
func (c *Controller) belowFloor(at int) bool {
	share, ok := c.classes[at].counts.servedShare()
	return ok && slices.ContainsFunc(c.classes[:at], func(k *class) bool {
		other, ok := k.counts.servedShare()
		return ok && share < floorShare*other
	})
}

// Change is a reserve that has changed.
type Change struct {
	Urgency Urgency
	// Slots is the new reserve in whole slots of an engine.
	Slots int
	// Counts are those of all more urgent classes.
	Counts Counts
}

// Changes returns the reserves that have changed since they were last returned: from or to
// 0, or by at least loggedStep. Each reserve is returned once per minChangeInterval at most.
func (c *Controller) Changes(slots int, now time.Time) (changes []Change) {
	c.update(now)
	var above Counts
	for at, k := range c.classes {
		n := int(math.Round(k.reserve * float64(slots) * c.gradient(at)))
		changed := (n == 0) != (k.logged == 0) || max(n-k.logged, k.logged-n) >= loggedStep
		if changed && (k.loggedAt.IsZero() || now.Sub(k.loggedAt) >= minChangeInterval) {
			k.logged, k.loggedAt = n, now
			changes = append(changes, Change{Urgency: k.urgency, Slots: n, Counts: above})
		}
		above.Sent += k.counts.Sent
		above.Refused += k.counts.Refused
		above.InTime += k.counts.InTime
		above.Late += k.counts.Late
	}
	return changes
}

// find returns the index of the class of u, or where it would be.
func (c *Controller) find(u Urgency) (at int, ok bool) {
	return slices.BinarySearchFunc(c.classes, u, func(k *class, u Urgency) int { return k.urgency.Compare(u) })
}

// nearest returns the index of the class of u. If there is none, it returns that of the next
// more urgent class, or of the most urgent one if u is more urgent than all, so that requests
// that are not counted have no advantage over more urgent ones. It returns false if there are
// no classes.
func (c *Controller) nearest(u Urgency) (at int, ok bool) {
	at, ok = c.find(u)
	if !ok {
		at = max(at-1, 0)
	}
	return at, len(c.classes) > 0
}

// class returns the class of u, which it adds if needed, with the state at now. If there are
// too many classes, it returns the nearest one.
func (c *Controller) class(u Urgency, now time.Time) *class {
	c.update(now)
	at, ok := c.find(u)
	if !ok {
		if len(c.classes) >= maxClasses {
			at, _ = c.nearest(u)
			return c.classes[at]
		}
		c.classes = slices.Insert(c.classes, at, &class{urgency: u})
	}
	return c.classes[at]
}

// update brings the counts and the reserves to the time now.
func (c *Controller) update(now time.Time) {
	elapsed := now.Sub(c.updatedAt)
	if c.updatedAt.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	c.updatedAt = now
	keep := math.Exp(-float64(elapsed) / float64(countDecay))
	total := 0.0 // requests of all classes
	for _, k := range c.classes {
		k.counts.each(func(n float64) float64 { return n * keep })
		total += k.counts.decided()
	}
	troubled := false // whether a more urgent class is
	above := 0.0      // requests of more urgent classes
	for _, k := range c.classes {
		if troubled {
			limit := min(maxReserve, above/max(total, 1))
			k.reserve = min(k.reserve+maxReserve*float64(elapsed)/float64(raiseTime), limit)
		} else {
			k.reserve = max(k.reserve-maxReserve*float64(elapsed)/float64(lowerTime), 0)
		}
		troubled = troubled || k.counts.troubled()
		above += k.counts.decided()
	}
	c.classes = slices.DeleteFunc(c.classes, func(k *class) bool {
		return k.counts.Sent+k.counts.Refused+k.counts.InTime+k.counts.Late < negligible && k.reserve == 0 && k.logged == 0
	})
}
