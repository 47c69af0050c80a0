// SPDX-License-Identifier: Apache-2.0

package installer

import "time"

// arriveTime is how long after a version's last chunk has left the origin its
// engines serve it: 0.9 s until the boxes hold it whole, over links that need
// 2.2 s for a copy, and 0.4 s until an engine has taken it.
const arriveTime = 1300 * time.Millisecond

// rest is what is left to do for a version.
type rest struct {
	// send is how long the origin sends what no box within reach holds.
	send time.Duration
	// due is when gateways leave engines with older versions.
	due time.Time
}

// outlook is what an order of two versions leads to.
type outlook struct {
	// gap is for how long no version may be served that engines hold, and
	// slack the least time by which one comes ahead of a deadline.
	gap, slack time.Duration
}

// better reports whether o serves callers better than other: without a gap, or
// with a shorter one, and otherwise with more time left for what goes wrong.
func (o outlook) better(other outlook) bool {
	if o.gap != other.gap {
		return o.gap < other.gap
	}
	return o.slack > other.slack
}

// olderFirst is the outlook if the origin sends the rest of an older version
// before the newer one.
func olderFirst(older, newer rest, now time.Time) outlook {
	served := now.Add(older.send + arriveTime)
	next := served.Add(newer.send)
	useful := max(newer.due.Sub(older.due), 0)
	return outlook{
		gap:   min(max(served.Sub(older.due), 0), useful) + max(next.Sub(newer.due), 0),
		slack: min(older.due.Sub(served), newer.due.Sub(next)),
	}
}

// newerOnly is the outlook if the older version is dropped.
func newerOnly(older, newer rest, now time.Time) outlook {
	slack := older.due.Sub(now.Add(newer.send + arriveTime))
	return outlook{gap: max(-slack, 0), slack: slack}
}

// rest is what is left to do for t; Installer.mu is held.
func (i *Installer) rest(t target) rest {
	lacking := i.params.Chunks
	if r := i.copyOf(t.version); r != nil {
		lacking -= r.reachable()
	}
	return rest{send: time.Duration(lacking) * chunkTurn(i.params), due: i.due(t)}
}

// completes reports whether t, a version older than the newest, is fetched to
// its end ahead of it. The newer one supersedes it, but when the origin goes
// away between two versions, or is slow, the older one bridges the time until
// the newer can be served; where both come in time it leaves more time for what
// goes wrong. Installer.mu is held.
func (i *Installer) completes(t target, now time.Time) bool {
	newest := i.newest()
	r := i.copyOf(t.version)
	if t.version >= newest.version || t.version <= i.holds() || r == nil || r.whole() {
		return false
	}
	if n := i.copyOf(newest.version); n != nil && n.whole() {
		return false
	}
	older, newer := i.rest(t), i.rest(newest)
	if older.due.IsZero() || newer.due.IsZero() {
		return float64(r.reachable()) >= nearlyWhole*float64(len(r.chunks))
	}
	if !now.Before(newer.due) {
		return false
	}
	if i.holds() == 0 {
		older.due = now // an empty engine waits for either
	}
	return olderFirst(older, newer, now).better(newerOnly(older, newer, now))
}
