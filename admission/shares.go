// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"math"
	"slices"
	"time"
)

// Parameters of the shares of workspaces.
const (
	// sharesInterval is how often the counts decay and the shares are computed. Doing so for
	// each request would cost time in proportion to the number of workspaces.
	sharesInterval = 40 * time.Millisecond
	// maxWorkspaces bounds the workspaces that are counted one by one in a class. When
	// there are more, the one with the smallest demand is added to the others, and finding it
	// costs a pass over all that are counted.
	maxWorkspaces = 256
	// minOverDemand is the demand, as a decaying count, below which a workspace is never
	// over its share. With a time constant of 1.5 s, the count of a workspace whose
	// requests are independent and that has a mean count of 1 has a standard deviation of
	// 0.7, so 4 is more than four of them above its mean.
	minOverDemand = 4.0
	// overFactor and overDeviations are by how much the demand of a workspace must exceed
	// the mean demand of the others: by a quarter, so that workspaces with slightly
	// different loads count as alike, and by 4 standard deviations of the difference
	// of such counts. Without the latter, random variation of a few requests would put
	// requests back.
	overFactor     = 1.25
	overDeviations = 4
	// shareMargin is by how much the demand must exceed the share. Without it, rounding
	// would decide where nearly all requests are served.
	shareMargin = 1.01
	// underFactor is the multiple of the others' mean demand below which a workspace is no
	// longer over its share, and underDemand the count. No deviations are added, so the limit
	// is lower than the one above, and a workspace with a steady load does not change between
	// both states.
	underFactor = 1.25
	underDemand = 2.0
	// workspaceFloor is how often a workspace over its share is served at least, as a share
	// of how often the whole class is. The requirement is 0.25.
	workspaceFloor = 0.3
	// maxShareReserve is the highest reserve against workspaces over their shares, as a
	// share of an engine's slots.
	maxShareReserve = 1.0 / 12
	// negligibleDemand is the demand below which a workspace is removed.
	negligibleDemand = 0.05
	// maxShareChanges and shareChangesInterval bound the changes that are reported.
	maxShareChanges      = 8
	shareChangesInterval = time.Second
)

// Attempt is a first attempt of a workspace's request, for which it is decided whether it
// gets an engine.
type Attempt struct {
	Workspace string
	// Sent reports that the request got an engine.
	Sent bool
	// Unsent reports that the request has been counted as sent, but has reached no engine
	// and got no other one.
	Unsent bool
	// Returned reports that the request is a caller's retry. Its first try has been counted
	// as asked, here or at another gateway.
	Returned bool
	// Late reports that the request waited behind those that can be in time. OverShare
	// reports that OverShare was true for its workspace when it began to wait.
	Late, OverShare bool
}

// shares holds the recent requests of a class by workspace.
type shares struct {
	updatedAt  time.Time
	workspaces map[string]*demand
	// others sums the workspaces that are not in the map.
	others demand
	// inShare counts the attempts that were neither late nor put back.
	inShare Counts
	// share is the demand up to which a workspace is served in full: the max-min share of
	// the requests sent. It is infinite if all are served.
	share float64
	// servedShare is how often the requests of the class are served.
	servedShare float64
	// reserve is the reserve against workspaces over their shares, as a share of slots.
	reserve float64
	changes []ShareChange
	omitted int
	demands []float64 // used by updateShares
}

// demand holds the decaying numbers of requests of a workspace.
type demand struct {
	asked, sent float64
	over        bool
}

// total returns the number of requests asked. Returned requests are not counted as asked,
// and so may exceed it.
func (d *demand) total() float64 { return max(d.asked, d.sent) }

// ShareChange says that a workspace has gone over its share, or is no longer over it.
type ShareChange struct {
	Urgency   Urgency
	Workspace string
	Over      bool
	// Share, Asked and Sent are decaying counts: the workspace's share, and its requests.
	Share, Asked, Sent float64
	// TotalAsked and TotalSent are the counts of all workspaces of the urgency, and
	// Workspaces is the number of those that were counted one by one.
	TotalAsked, TotalSent float64
	Workspaces            int
	// Omitted is the number of changes that were not reported before this one.
	Omitted int
}

// RecordAttempt counts a first attempt for the share of its workspace.
func (c *Controller) RecordAttempt(u Urgency, a Attempt, now time.Time) {
	k := c.class(u, now)
	k.updateShares(now)
	s := &k.shares
	d := s.workspace(a.Workspace)
	switch {
	case a.Unsent:
		d.sent = max(d.sent-1, 0)
	case !a.Returned:
		d.asked++
	}
	if a.Sent {
		d.sent++
	}
	if a.Late || a.OverShare {
		return
	}
	if a.Unsent {
		s.inShare.Sent = max(s.inShare.Sent-1, 0)
	}
	if a.Sent {
		s.inShare.Sent++
	} else {
		s.inShare.Refused++
	}
}

// OverShare reports whether a request of a workspace goes after others of the same
// urgency: requests of the urgency are refused or late, the workspace asks for clearly more
// than its max-min share and than the others do, and it has been sent its share.
func (c *Controller) OverShare(u Urgency, workspace string, now time.Time) bool {
	c.update(now)
	at, ok := c.countedIn(u)
	if !ok {
		return false
	}
	k := c.classes[at]
	k.updateShares(now)
	d := k.shares.workspaces[workspace]
	return d != nil && d.over && d.sent >= max(k.shares.share, workspaceFloor*k.shares.servedShare*d.total())
}

// countedIn returns the index of the class in which requests of urgency u are counted. It
// returns false if none has been.
func (c *Controller) countedIn(u Urgency) (at int, ok bool) {
	if at, ok = c.find(u); ok || len(c.classes) < maxClasses {
		return at, ok
	}
	return c.nearest(u)
}

// ShareReserve returns how many of an engine's slots the requests of urgency u that are
// put back must leave free. It rises while requests of the urgency that are not put back are
// refused, and then falls to 0 within lowerTime.
func (c *Controller) ShareReserve(u Urgency, slots int, now time.Time) float64 {
	c.update(now)
	at, ok := c.countedIn(u)
	if !ok {
		return 0
	}
	c.classes[at].updateShares(now)
	return c.classes[at].shares.reserve * float64(slots)
}

// ShareChanges returns the workspaces that have gone over their shares, or under them
// again, since it last returned some: for each urgency at most maxShareChanges, and at most
// once in shareChangesInterval.
func (c *Controller) ShareChanges(now time.Time) (changes []ShareChange) {
	c.update(now)
	if now.Sub(c.shareChangesAt) < shareChangesInterval {
		return nil
	}
	for _, k := range c.classes {
		k.updateShares(now)
		changes = append(changes, k.shares.changes...)
		if len(k.shares.changes) > 0 {
			changes[len(changes)-1].Omitted = k.shares.omitted
		}
		k.shares.changes, k.shares.omitted = nil, 0
	}
	if len(changes) > 0 {
		c.shareChangesAt = now
	}
	return changes
}

// workspace returns the counts of a workspace, which it adds if needed.
func (s *shares) workspace(name string) *demand {
	if d := s.workspaces[name]; d != nil {
		return d
	}
	if s.workspaces == nil {
		s.workspaces = make(map[string]*demand)
	}
	if len(s.workspaces) >= maxWorkspaces {
		s.mergeSmallest()
	}
	d := &demand{}
	s.workspaces[name] = d
	return d
}

// mergeSmallest moves the workspace with the smallest demand to the others. It is not over
// its share, since its demand is below the mean.
func (s *shares) mergeSmallest() {
	smallest, least := "", math.Inf(1)
	for name, d := range s.workspaces {
		if total := d.total(); total < least || total == least && name < smallest {
			smallest, least = name, total
		}
	}
	d := s.workspaces[smallest]
	s.others.asked += d.total()
	s.others.sent += d.sent
	delete(s.workspaces, smallest)
}

// updateShares brings the counts of the workspaces to the time now.
func (k *class) updateShares(now time.Time) {
	s := &k.shares
	elapsed := now.Sub(s.updatedAt)
	switch {
	case s.updatedAt.IsZero():
		s.updatedAt, s.share = now, math.Inf(1)
		return
	case elapsed < sharesInterval:
		return
	}
	s.updatedAt = now
	keep := math.Exp(-float64(elapsed) / float64(countDecay))
	s.inShare.each(func(n float64) float64 { return n * keep })
	s.others.decay(keep)
	asked, sent := s.others.total(), s.others.sent
	s.demands = s.demands[:0]
	for _, d := range s.workspaces {
		d.decay(keep)
		asked += d.total()
		sent += d.sent
		s.demands = append(s.demands, d.total())
	}
	s.share = maxMinShare(s.demands, sent-s.others.total())
	s.servedShare = sent / max(asked, 1)
	overAsked := 0.0
	for name, d := range s.workspaces {
		mean := (asked - s.others.total() - d.total()) / float64(max(len(s.workspaces)-1, 1))
		if over := k.counts.troubled() && s.isOver(d, mean); over != d.over {
			d.over = over
			s.addChange(ShareChange{Urgency: k.urgency, Workspace: name, Over: over, Share: s.share, Asked: d.asked, Sent: d.sent,
				TotalAsked: asked, TotalSent: sent, Workspaces: len(s.workspaces)})
		}
		if d.over {
			overAsked += d.total()
		}
		if d.total() < negligibleDemand {
			delete(s.workspaces, name)
		}
	}
	if overAsked > 0 && s.inShare.troubled() {
		limit := min(maxShareReserve, (asked-overAsked)/asked)
		s.reserve = min(s.reserve+maxShareReserve*float64(elapsed)/float64(raiseTime), limit)
	} else {
		s.reserve = max(s.reserve-maxShareReserve*float64(elapsed)/float64(lowerTime), 0)
	}
}

// isOver reports whether a workspace is over its share while requests are refused. mean is
// the mean demand of the other workspaces that are counted.
func (s *shares) isOver(d *demand, mean float64) bool {
	total := d.total()
	alone := len(s.workspaces) == 1 && s.others.total() < negligibleDemand
	switch {
	case alone || total <= shareMargin*s.share:
		return false
	case d.over:
		return total >= max(underDemand, underFactor*mean)
	default:
		// The variance of a decaying count of independent requests is half its mean.
		n := float64(max(len(s.workspaces)-1, 1))
		return total >= max(minOverDemand, overFactor*mean+overDeviations*math.Sqrt(mean/2*(1+1/n)))
	}
}

// decay multiplies the counts by keep.
func (d *demand) decay(keep float64) {
	d.asked *= keep
	d.sent *= keep
}

// addChange adds a change, unless there are too many.
func (s *shares) addChange(c ShareChange) {
	if len(s.changes) >= maxShareChanges {
		s.omitted++
		return
	}
	s.changes = append(s.changes, c)
}

// maxMinShare returns the share up to which each demand is met if a number of requests is
// divided by max-min fairness, or infinity if all demands can be met. It sorts demands.
func maxMinShare(demands []float64, available float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		share := max(available, 0) / float64(len(demands)-i)
		if share < d {
			return share
		}
		available -= d
	}
	return math.Inf(1)
}
