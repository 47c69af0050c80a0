// SPDX-License-Identifier: Apache-2.0

// Package readerset decides which gateways of a region read the store, and from which
// gateways the others get what these have read.
//
// All gateways of a region compute the same order of ranks from the same list. The first
// ReadersPerRegion read the store. Any other gateway asks gateways of lower rank, and
// reads the store itself only when none of them is left to ask. So a failed reader is
// replaced by the next in rank, and the number of gateways that read does not grow with
// the region, whatever fails: traffic to the store from each gateway would fill the links
// between regions, which then makes more of these calls fail.
//
// The package does no I/O, takes the current time as an argument, and is not safe for
// concurrent use.
package readerset

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReadersPerRegion is the number of gateways of a region that always read the store.
	// The second one covers for a failure of the first.
	ReadersPerRegion = 2
	// maxSources bounds the gateways that are asked in one round.
	maxSources = 2
	// isolatedAfter is the number of different gateways that must have failed in a row
	// before a gateway takes itself for isolated from the others and reads the store. It
	// is so high that a loss of half of the region does not make many do so.
	isolatedAfter = 6
	// StartTimeout and RestartTimeout are how long a gateway waits for the list of its
	// region's gateways before it reads the store without one: at the first start of the
	// whole deployment, when all would read at once, and later, when a gateway that starts
	// is usually one of few.
	StartTimeout   = 3 * time.Second
	RestartTimeout = 300 * time.Millisecond
	// storeRetry is how long a gateway that the store has failed asks others instead. Unless
	// it is one of the first ReadersPerRegion that respond, it doubles with each failure up
	// to maxStoreRetry: reads that time out are a sign of a full link, and more of them would
	// keep it full.
	storeRetry    = time.Second
	maxStoreRetry = 8 * time.Second
)

// Member is a gateway of a region.
type Member struct {
	IP string
	// LinkRate is the bandwidth of its box in bytes a second. A gateway with a fast link
	// is a reader before others, since it serves all followers.
	LinkRate float64
}

// Set is one gateway's view of its region's gateways.
type Set struct {
	own string
	// readFrom is the time from which the store is read although the others are unknown.
	readFrom time.Time
	// ranked holds the gateways by rank; it is empty while they are unknown. rank is the
	// index of this gateway.
	ranked []string
	rank   int
	// failedUntil is the time until which a gateway is not asked, by IP.
	failedUntil map[string]time.Time
	// silent holds the gateways that have not responded since one last did. unresponsive
	// holds those that did not respond when they were last asked.
	silent, unresponsive map[string]bool
	// storeFailures is the number of reads of the store that have failed since the last
	// success, and storeRetryAt the time until which others are asked instead.
	storeFailures int
	storeRetryAt  time.Time
}

// New returns the set of the gateway with the address own, which does not know the other
// gateways yet and waits for timeout until it reads the store without knowing them.
func New(own string, timeout time.Duration, now time.Time) *Set {
	return &Set{own: own, readFrom: now.Add(timeout), failedUntil: make(map[string]time.Time), silent: make(map[string]bool), unresponsive: make(map[string]bool)}
}

// Update sets the gateways of the region, and reports whether the order of ranks changed.
// This gateway is added if it is missing.
func (s *Set) Update(members []Member) bool {
	ranked := Rank(members)
	if !slices.Contains(ranked, s.own) {
		ranked = append(ranked, s.own)
	}
	if slices.Equal(ranked, s.ranked) {
		return false
	}
	s.ranked, s.rank = ranked, slices.Index(ranked, s.own)
	maps.DeleteFunc(s.unresponsive, func(ip string, _ bool) bool { return !slices.Contains(ranked, ip) })
	return true
}

// Rank returns the addresses of gateways by rank: those with faster links first, within a
// factor of two, and equal ones by the hash of their addresses.
func Rank(members []Member) []string {
	class := func(m Member) int { return bits.Len64(uint64(max(m.LinkRate, 0))) }
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(class(b), class(a)), cmp.Compare(xxhash.Sum64String(a.IP), xxhash.Sum64String(b.IP)), cmp.Compare(a.IP, b.IP))
	})
	var out []string
	for _, m := range members {
		if !slices.Contains(out, m.IP) {
			out = append(out, m.IP)
		}
	}
	return out
}

// Known reports whether the gateways of the region are known.
func (s *Set) Known() bool { return len(s.ranked) > 0 }

// Len returns the number of gateways of the region, this one included, or 0 while they
// are unknown.
func (s *Set) Len() int { return len(s.ranked) }

// Ranked returns the addresses of the gateways by rank. The caller must not modify it.
func (s *Set) Ranked() []string { return s.ranked }

// Reader reports whether this gateway is one of the region's permanent readers.
func (s *Set) Reader() bool { return s.Known() && s.rank < ReadersPerRegion }

// Sources returns the gateways to ask now, in order. They are the gateways of lower rank
// that have not failed lately; followers begin with different readers, to spread the
// load. A reader, and a gateway that reads in place of failed ones, has none, unless the
// store has failed it: it then asks the others for a while.
func (s *Set) Sources(now time.Time) []string {
	if !s.Known() {
		return nil
	}
	if s.mustRead(now) {
		if !now.Before(s.storeRetryAt) {
			return nil
		}
		// Gateways of lower rank come first. They have failed lately unless this gateway is
		// itself a reader, and then they are readers, too.
		return s.working(s.ranked, now)
	}
	lower := s.working(s.ranked[:s.rank], now)
	if n := min(ReadersPerRegion, len(lower)); n > 0 && len(lower) > 0 {
		first := int(xxhash.Sum64String(s.own) % uint64(n))
		lower[0], lower[first] = lower[first], lower[0]
	}
	return lower
}

// working returns up to maxSources of the given gateways that have not failed lately.
func (s *Set) working(ranked []string, now time.Time) []string {
	var out []string
	for _, ip := range ranked {
		if len(out) == maxSources {
			break
		}
		if ip != s.own && !now.Before(s.failedUntil[ip]) {
			out = append(out, ip)
		}
	}
	return out
}

// MayRead reports whether this gateway may read the store now: it is a reader, no gateway
// of lower rank is left to ask, or it cannot reach any other.
func (s *Set) MayRead(now time.Time) bool {
	if !s.Known() {
		return !now.Before(s.readFrom)
	}
	if s.rank < ReadersPerRegion {
		return true
	}
	return (s.mustRead(now) || len(s.silent) >= isolatedAfter) && !now.Before(s.storeRetryAt)
}

// mustRead reports whether no gateway of lower rank reads the store for this one.
func (s *Set) mustRead(now time.Time) bool {
	return s.rank < ReadersPerRegion || len(s.working(s.ranked[:s.rank], now)) == 0
}

// FailSilent records that a gateway did not respond, and is not to be asked until the
// given time.
func (s *Set) FailSilent(ip string, until time.Time) {
	s.failedUntil[ip] = until
	s.silent[ip], s.unresponsive[ip] = true, true
}

// FailStale records that a gateway responded without recent data, and is not to be asked
// until the given time.
func (s *Set) FailStale(ip string, until time.Time) {
	s.failedUntil[ip] = until
	clear(s.silent)
	delete(s.unresponsive, ip)
}

// Succeed records that a gateway has supplied recent data.
func (s *Set) Succeed(ip string) {
	delete(s.failedUntil, ip)
	clear(s.silent)
	delete(s.unresponsive, ip)
}

// firstToRespond reports whether this gateway is one of the first ReadersPerRegion by rank, if
// those that did not respond when they were last asked are left out. Nobody else reads the store for such a gateway.
func (s *Set) firstToRespond() bool {
	responding := 0
	for _, ip := range s.ranked[:s.rank] {
		if !s.unresponsive[ip] {
			responding++
		}
	}
	return responding < ReadersPerRegion
}

// StoreRead records whether a read of the store succeeded.
func (s *Set) StoreRead(ok bool, now time.Time) {
	if ok {
		s.storeFailures, s.storeRetryAt = 0, time.Time{}
		return
	}
	pause := storeRetry
	if !s.firstToRespond() {
		pause = min(storeRetry<<min(s.storeFailures, 8), maxStoreRetry)
		// The hash spreads the gateways over the pause, so that they do not retry at once.
		pause += pause * time.Duration(xxhash.Sum64String(s.own)%256) / 256
	}
	s.storeFailures++
	s.storeRetryAt = now.Add(pause)
}
