// SPDX-License-Identifier: Apache-2.0

// Package fetchplan decides which versions of a model the origin sends first while
// several versions are in force. It does no I/O, and the time is passed in.
//
// From a version's cutoff on, only that version or a newer one may serve. A version
// therefore bridges a gap only until the cutoff of the next newer version, even if
// that version is not served by then. The best plan has the shortest gap, the time in
// which no version that may serve is held. Among equals it has the most slack before a
// cutoff, and then the fewest chunks.
package fetchplan

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// minUseful is the shortest time of service that is worth the chunks of a version.
	// An engine that loads a version for less time loses more to the load itself.
	minUseful = 250 * time.Millisecond
	// unknownMinShare is the share of a version's chunks that boxes must hold for its
	// fetch to be continued if a cutoff is unknown.
	unknownMinShare = 0.6
	// forever is longer than every fetch. It stands for the use of a version that no
	// newer one replaces.
	forever = 24 * time.Hour
)

// Version is a version in force that is newer than the one the engine serves.
type Version struct {
	Number int
	// Cutoff is the time from which only this version or a newer one may serve. It is
	// zero if unknown.
	Cutoff time.Time
	// FromOrigin is the number of chunks that no known box holds. Missing is the number
	// that this box lacks, and includes FromOrigin.
	FromOrigin, Missing int
	// Unopened is set while the version's manifest is not held, so that its chunks are
	// not counted. Such a version is fetched only if it is the newest.
	Unopened bool
}

// Input is the state that a plan is computed from.
type Input struct {
	Now time.Time
	// Serving is the version that the engine serves, or 0.
	Serving int
	// Versions are the versions newer than Serving, in ascending order. All subsets of
	// them are compared, so there must be only a few.
	Versions []Version
	// Chunks is the number of chunks of each version.
	Chunks int
	// OriginInterval and BoxInterval are the times that the links of the origin and of
	// this box need for a chunk.
	OriginInterval, BoxInterval time.Duration
	// Spread is the time from the origin's last chunk until the first boxes hold the
	// version. Drain is the time to drain an engine that serves, and Load the time from
	// a complete copy in a drained engine to its first request.
	Spread, Drain, Load time.Duration
	// OriginDown is for how long the origin has not answered, or 0. Its return cannot
	// be foreseen. The plan is therefore the one to follow if it returns now.
	OriginDown time.Duration
	// Current is Plan.Fetch of the plan in use, or nil.
	Current []int
}

// Plan is what to fetch.
type Plan struct {
	// Fetch are the versions to fetch, in this order, including those that are complete
	// and are to be loaded.
	Fetch []int
	// Keep are the versions that are not fetched, but whose chunks may still become
	// useful. Drop are those whose last use has passed.
	Keep, Drop []int
	// Served are the times at which the versions of Fetch are expected to be served by
	// the first engines.
	Served []time.Time
	// Gap is the expected time in which no version that may serve is held. Slack is the
	// smallest time, over the cutoffs, from when a version that may serve is expected to
	// the cutoff. It is negative if a version is late.
	Gap, Slack time.Duration
	// chunks is the number of chunks that this box receives.
	chunks int
}

// Choose returns the best plan for in.
func Choose(in Input) Plan {
	if len(in.Versions) == 0 {
		return Plan{}
	}
	var best Plan
	if in.cutoffUnknown() {
		best = in.evaluate(in.mostlyHeld())
	} else {
		best = in.search()
	}
	for _, v := range in.Versions {
		switch {
		case slices.Contains(best.Fetch, v.Number):
		case in.lastUsePassed(v.Number):
			best.Drop = append(best.Drop, v.Number)
		default:
			best.Keep = append(best.Keep, v.Number)
		}
	}
	return best
}

// ServedAt returns when version is expected to be served, and whether the plan has it.
func (p Plan) ServedAt(version int) (time.Time, bool) {
	at := slices.Index(p.Fetch, version)
	if at < 0 {
		return time.Time{}, false
	}
	return p.Served[at], true
}

// search returns the best plan of all sets of versions that include the newest. The
// versions of a set are fetched in ascending order: a version that is complete after a
// newer one is never loaded.
func (in Input) search() Plan {
	newest := uint(1) << (len(in.Versions) - 1)
	best := in.evaluate(in.subset(newest))
	current := best
	for set := newest + 1; set < 2*newest; set++ {
		versions := in.subset(set)
		if slices.ContainsFunc(versions[:bits.OnesCount(set)-1], func(v Version) bool { return v.Unopened }) {
			continue
		}
		p := in.evaluate(versions)
		isCurrent := slices.Equal(p.Fetch, in.Current)
		if !in.worthwhile(p, isCurrent) {
			continue
		}
		if isCurrent {
			current = p
		}
		if p.better(best) {
			best = p
		}
	}
	// Boxes of different regions see each other's chunks with a delay of about Spread. If
	// a smaller gain replaced the plan in use, some would abandon a version that the origin
	// is sending to the others, and both versions would be late.
	if slices.Equal(current.Fetch, in.Current) && !best.betterBy(current, in.Spread) {
		return current
	}
	return best
}

// better reports whether p is preferable to other.
func (p Plan) better(other Plan) bool {
	if p.Gap != other.Gap {
		return p.Gap < other.Gap
	}
	if p.Slack != other.Slack {
		return p.Slack > other.Slack
	}
	return p.chunks < other.chunks
}

// betterBy reports whether p has a gap shorter than that of other by at least margin,
// or no longer gap and as much more slack.
func (p Plan) betterBy(other Plan, margin time.Duration) bool {
	return other.Gap-p.Gap >= margin || p.Gap <= other.Gap && p.Slack-other.Slack >= margin
}

// worthwhile reports whether each version of p except the newest is served for at
// least minUseful, or half of that if p is the current plan.
func (in Input) worthwhile(p Plan, current bool) bool {
	minimum := minUseful
	if current {
		minimum /= 2
	}
	for at := range len(p.Fetch) - 1 {
		end := p.Served[at+1]
		if last := in.lastUse(p.Fetch[at]); last.Before(end) {
			end = last
		}
		if end.Sub(p.Served[at]) < minimum {
			return false
		}
	}
	return true
}

// evaluate returns the plan that fetches the given versions in ascending order.
func (in Input) evaluate(versions []Version) Plan {
	var p Plan
	var origin, box time.Duration
	serving, free := in.Serving, in.Now
	for _, v := range versions {
		origin += time.Duration(v.FromOrigin) * in.OriginInterval
		box += time.Duration(v.Missing) * in.BoxInterval
		complete := in.Now
		if v.Missing > 0 {
			complete = complete.Add(max(origin, box))
		}
		if v.FromOrigin > 0 {
			complete = complete.Add(in.Spread)
		}
		if complete.Before(free) {
			complete = free
		}
		served := complete.Add(in.drainTime(serving, complete) + in.Load)
		p.Fetch, p.Served = append(p.Fetch, v.Number), append(p.Served, served)
		p.chunks += v.Missing
		serving, free = v.Number, served
	}
	p.Gap = in.gap(p)
	p.Slack = in.slack(p)
	return p
}

// gap returns the total time from Now on in which no version of p, nor the one
// that the engine serves, may serve.
func (in Input) gap(p Plan) time.Duration {
	covered := in.Now
	if in.Serving > 0 {
		covered = latest(covered, in.lastUse(in.Serving))
	}
	gap := time.Duration(0)
	for at, version := range p.Fetch {
		last := in.lastUse(version)
		if !last.After(p.Served[at]) {
			continue // it serves nothing
		}
		gap += max(p.Served[at].Sub(covered), 0)
		covered = latest(covered, last)
	}
	return gap
}

// slack returns the smallest slack of p over the known cutoffs.
func (in Input) slack(p Plan) time.Duration {
	slack := forever
	for _, v := range in.Versions {
		if v.Cutoff.IsZero() {
			continue
		}
		for at, version := range p.Fetch {
			if version >= v.Number && in.lastUse(version).After(v.Cutoff) {
				slack = min(slack, v.Cutoff.Sub(p.Served[at]))
				break
			}
		}
	}
	return slack
}

// drainTime returns how long the drain of an engine that serves the given version takes
// if it may start at begin. It ends when that version may not serve any more.
func (in Input) drainTime(serving int, begin time.Time) time.Duration {
	if serving == 0 {
		return 0
	}
	return min(in.Drain, max(in.lastUse(serving).Sub(begin), 0))
}

// lastUse returns the time until which a version may serve: the earliest cutoff of a
// newer version, or never if there is none.
func (in Input) lastUse(version int) time.Time {
	last := in.never()
	for _, v := range in.Versions {
		if v.Number > version && !v.Cutoff.IsZero() && v.Cutoff.Before(last) {
			last = v.Cutoff
		}
	}
	return last
}

// MayServe reports whether a version may serve at the given time: it is not past its last
// use.
func (in Input) MayServe(version int, at time.Time) bool { return at.Before(in.lastUse(version)) }

// lastUsePassed reports whether a version could not serve even if it were complete now.
func (in Input) lastUsePassed(version int) bool {
	return !in.Now.Add(in.Load).Before(in.lastUse(version))
}

// never returns a time after all others of the plan.
func (in Input) never() time.Time { return in.Now.Add(forever) }

// cutoffUnknown reports whether the cutoff of a version is unknown.
func (in Input) cutoffUnknown() bool {
	return slices.ContainsFunc(in.Versions, func(v Version) bool { return v.Cutoff.IsZero() })
}

// mostlyHeld returns the newest version, and those older ones of which boxes hold at
// least unknownMinShare.
func (in Input) mostlyHeld() []Version {
	newest := in.Versions[len(in.Versions)-1]
	var out []Version
	for _, v := range in.Versions[:len(in.Versions)-1] {
		if !v.Unopened && newest.Missing > 0 && float64(in.Chunks-v.FromOrigin) >= unknownMinShare*float64(in.Chunks) {
			out = append(out, v)
		}
	}
	return append(out, newest)
}

// subset returns the versions whose bits are set.
func (in Input) subset(set uint) []Version {
	var out []Version
	for at, v := range in.Versions {
		if set&(1<<at) != 0 {
			out = append(out, v)
		}
	}
	return out
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
