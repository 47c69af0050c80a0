// SPDX-License-Identifier: Apache-2.0

package installer

import "time"

// serveDelay is the estimated delay from when the origin has sent a version's last
// chunk until engines serve the version: the boxes spread the last chunks among each other,
// and each engine loads the version.
const serveDelay = 1300 * time.Millisecond

// fetchEstimate describes how long the fetch of a target version still takes and by
// when engines must serve the version. It is the input of the forecasts.
type fetchEstimate struct {
	// originTime is how long the origin takes to send the chunks that neither this
	// box nor a known peer holds.
	originTime time.Duration
	// cutoff is the version's routing cutoff: from this time, gateways send no
	// requests to engines with older versions. It is zero if unknown.
	cutoff time.Time
}

// forecast is the estimated effect of a choice about the fetch of two versions: to
// fetch the older one first, or the newer one only.
type forecast struct {
	// gap is the total duration in which no engine has a version that gateways route to.
	// slack is the smallest duration, over the fetched versions, from when a version
	// is served until its cutoff. It is negative if a version is late.
	gap, slack time.Duration
}

// better reports whether o has a shorter gap than other or, if the gaps are equal,
// more slack.
func (o forecast) better(other forecast) bool {
	if o.gap != other.gap {
		return o.gap < other.gap
	}
	return o.slack > other.slack
}

// forecastOlderFirst returns the forecast for the case that the origin sends the rest
// of the older version before the newer one.
func forecastOlderFirst(older, newer fetchEstimate, now time.Time) forecast {
	served := now.Add(older.originTime + serveDelay)
	next := served.Add(newer.originTime)
	useful := max(newer.cutoff.Sub(older.cutoff), 0)
	return forecast{
		gap:   min(max(served.Sub(older.cutoff), 0), useful) + max(next.Sub(newer.cutoff), 0),
		slack: min(older.cutoff.Sub(served), newer.cutoff.Sub(next)),
	}
}

// forecastNewerOnly returns the forecast for the case that the fetch of the older
// version is abandoned. The newer version must then be served by the cutoff of the
// older one.
func forecastNewerOnly(older, newer fetchEstimate, now time.Time) forecast {
	slack := older.cutoff.Sub(now.Add(newer.originTime + serveDelay))
	return forecast{gap: max(-slack, 0), slack: slack}
}

// estimateFetch returns the estimate for the fetch of t. Only the chunks that neither
// this box nor a known peer holds must come from the origin. Installer.mu is held.
func (i *Installer) estimateFetch(t target) fetchEstimate {
	missing := i.params.Chunks
	if r := i.replicaLocked(t.version); r != nil {
		missing -= r.reachable()
	}
	return fetchEstimate{originTime: time.Duration(missing) * chunkInterval(i.params), cutoff: i.routingCutoff(t)}
}

// shouldFinishOlder reports whether to complete the fetch of t before that of the
// newest version. It is false if t is the newest version. Completing t first is
// useful if engines can serve t until the newest version is complete, such as after
// an outage of the origin, or if it leaves more slack. Installer.mu is held.
func (i *Installer) shouldFinishOlder(t target, now time.Time) bool {
	newest := i.newestTarget()
	r := i.replicaLocked(t.version)
	if t.version >= newest.version || t.version <= i.verifiedVersion() || r == nil || r.complete() {
		return false
	}
	if n := i.replicaLocked(newest.version); n != nil && n.complete() {
		return false
	}
	older, newer := i.estimateFetch(t), i.estimateFetch(newest)
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
