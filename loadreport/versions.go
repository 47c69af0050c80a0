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

// listedVersions is the number of target versions that a gateway lists in its notices, the
// newest, if it holds as many.
const listedVersions = 2

// missing returns the known ages of the target versions that have an unknown age in a
// gateway's notice. If the gateway uses a late cutoff, which leaves little time for
// versions that it learned of late, it also returns those that another gateway learned of
// earlier, and those before the newest that the gateway lacks. A gateway that starts reads
// the newest version only, but the deadlines of those before it hold, too.
func (t *versionTimes) missing(n Notice, now time.Time) []TargetVersion {
	var out []TargetVersion
	late := n.CutoffMarginMS > 0
	for _, known := range t.times {
		tell := late && n.Model == t.model && lacks(n.TargetVersions, known.version)
		for _, target := range n.TargetVersions {
			earlier := late && known.setAt.Add(minLearnedLater).Before(target.SetAt(now))
			tell = tell || target.Version == known.version && (target.AgeMS < 0 || earlier)
		}
		if tell {
			out = append(out, TargetVersion{Version: known.version, AgeMS: now.Sub(known.setAt).Milliseconds()})
		}
	}
	return out
}

// lacks reports whether a gateway that lists the given target versions, in ascending order,
// lacks a version before the newest of them. It may hold further ones before the oldest if
// it lists listedVersions.
func lacks(listed []TargetVersion, version int) bool {
	if len(listed) == 0 || version >= listed[len(listed)-1].Version {
		return false
	}
	if len(listed) >= listedVersions && version < listed[0].Version {
		return false
	}
	return !slices.ContainsFunc(listed, func(t TargetVersion) bool { return t.Version == version })
}
