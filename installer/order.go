// SPDX-License-Identifier: Apache-2.0

package installer

import "time"

// serveDelay is the estimated time from when a version's last chunk has left the
// origin until engines serve the version: 0.9 s until the boxes hold it completely,
// over links that need 2.2 s for a copy, and 0.4 s for the load.
const serveDelay = 1300 * time.Millisecond

// remainingWork is what is left to do until a version can be served.
type remainingWork struct {
	// originTime is how long the origin takes to send the chunks that no box
	// within reach holds.
	originTime time.Duration
	// cutoff is when gateways stop routing to engines with older versions; zero if
	// unknown.
	cutoff time.Time
}

// forecast is the estimated result of a fetch order of two versions.
type forecast struct {
	// gap is how long gateways route to no version that engines have loaded. slack
	// is the least time by which a version is served before it is due; it is
	// negative if one is late.
	gap, slack time.Duration
}

// better reports whether o has a shorter gap than other or, with the same gap,
// more slack.
func (o forecast) better(other forecast) bool {
	if o.gap != other.gap {
		return o.gap < other.gap
	}
	return o.slack > other.slack
}

// forecastOlderFirst returns the forecast if the origin sends the rest of the
// older version before the newer one.
func forecastOlderFirst(older, newer remainingWork, now time.Time) forecast {
	served := now.Add(older.originTime + serveDelay)
	next := served.Add(newer.originTime)
	useful := max(newer.cutoff.Sub(older.cutoff), 0)
	return forecast{
		gap:   min(max(served.Sub(older.cutoff), 0), useful) + max(next.Sub(newer.cutoff), 0),
		slack: min(older.cutoff.Sub(served), newer.cutoff.Sub(next)),
	}
}

// forecastNewerOnly returns the forecast if the fetch of the older version is
// abandoned.
func forecastNewerOnly(older, newer remainingWork, now time.Time) forecast {
	slack := older.cutoff.Sub(now.Add(newer.originTime + serveDelay))
	return forecast{gap: max(-slack, 0), slack: slack}
}

// remainingWork returns what is left to do for t; Installer.mu is held.
func (i *Installer) remainingWork(t target) remainingWork {
	missing := i.params.Chunks
	if r := i.replicaLocked(t.version); r != nil {
		missing -= r.reachable()
	}
	return remainingWork{originTime: time.Duration(missing) * chunkInterval(i.params), cutoff: i.routingCutoff(t)}
}

// shouldFinishOlder reports whether the fetch of t, a version older than the newest,
// is finished first. The newest version supersedes t, but if the origin is slow or
// was unavailable, t can be served until the newest is complete; if both are in
// time, finishing t first may leave more slack. Installer.mu is held.
func (i *Installer) shouldFinishOlder(t target, now time.Time) bool {
	newest := i.newestTarget()
	r := i.replicaLocked(t.version)
	if t.version >= newest.version || t.version <= i.verifiedVersion() || r == nil || r.complete() {
		return false
	}
	if n := i.replicaLocked(newest.version); n != nil && n.complete() {
		return false
	}
	older, newer := i.remainingWork(t), i.remainingWork(newest)
	if older.cutoff.IsZero() || newer.cutoff.IsZero() {
		return float64(r.reachable()) >= finishOlderMinShare*float64(len(r.chunks))
	}
	if !now.Before(newer.cutoff) {
		return false
	}
	if i.verifiedVersion() == 0 {
		older.cutoff = now // the engine serves nothing: either version is needed now
	}
	return forecastOlderFirst(older, newer, now).better(forecastNewerOnly(older, newer, now))
}
