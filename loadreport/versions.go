// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"cmp"
	"slices"
	"time"
)

// maxVersionTimes is the maximum number of target versions whose time a sidecar remembers:
// the newest, and those that may have reached their cutoff while it is fetched.
const maxVersionTimes = 3

// versionTimes holds when the target versions of a model were set, as gateways have
// reported. A gateway that starts does not know this, and learns it from sidecars.
type versionTimes struct {
	model string
	times []versionTime // by version, at most maxVersionTimes
}

// versionTime is when a target version was set.
type versionTime struct {
	version int
	setAt   time.Time
}

// merge records the times known in a gateway's notice. Of several times of a version the
// earliest is kept.
func (t *versionTimes) merge(n Notice, now time.Time) {
	if n.Model == "" {
		return // the gateway has no configuration yet
	}
	if n.Model != t.model {
		*t = versionTimes{model: n.Model}
	}
	for _, target := range n.TargetVersions {
		setAt := target.SetAt(now)
		if setAt.IsZero() {
			continue
		}
		at, found := slices.BinarySearchFunc(t.times, target.Version, func(known versionTime, version int) int { return cmp.Compare(known.version, version) })
		switch {
		case !found:
			t.times = slices.Insert(t.times, at, versionTime{target.Version, setAt})
		case setAt.Before(t.times[at].setAt):
			t.times[at].setAt = setAt
		}
	}
	t.times = t.times[max(0, len(t.times)-maxVersionTimes):]
}

// minLearnedLater is the least difference of the times at which two gateways learned of a
// target version that counts. It covers the transmission of notices.
const minLearnedLater = 50 * time.Millisecond

// missing returns the known ages of the target versions that have an unknown age in a
// gateway's notice. If the gateway uses a late cutoff, which leaves little time for
// versions that it learned of late, it also returns those that another gateway learned of
// earlier.
func (t *versionTimes) missing(n Notice, now time.Time) []TargetVersion {
	var out []TargetVersion
	for _, known := range t.times {
		for _, target := range n.TargetVersions {
			earlier := n.CutoffMarginMS > 0 && known.setAt.Add(minLearnedLater).Before(target.SetAt(now))
			if target.Version == known.version && (target.AgeMS < 0 || earlier) {
				out = append(out, TargetVersion{Version: known.version, AgeMS: now.Sub(known.setAt).Milliseconds()})
			}
		}
	}
	return out
}
