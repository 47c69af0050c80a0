// SPDX-License-Identifier: Apache-2.0

package backpressure

import "time"

// An endpoint is cold for some time after it has started, and may become cold again. It
// then takes only a few requests a second, from all gateways together, and fails if it
// gets many more. This rate is shared like a rate limit, by permits.
const (
	// coldShare is the share of the cold rate for which permits are granted. With the
	// permits of coldGrantTTL before it and a full bucket, any second then stays well
	// below one and a half times the cold rate.
	coldShare = 0.9
	// coldGrantTTL is how long a permit of a cold endpoint is valid. It is short, so
	// that permits of one second are not used together with those of the next.
	coldGrantTTL = 200 * time.Millisecond
	// minColdBucket and coldBucketSeconds give the capacity of a bucket of permits of a
	// cold endpoint, like minBucket and bucketSeconds of others.
	minColdBucket     = 1
	coldBucketSeconds = 0.1
)

// Cold is what one source reports of an endpoint's warm-up.
type Cold struct {
	// Remaining is the time until the endpoint is warm; 0 if it is warm.
	Remaining time.Duration
	// Rate is how many requests a second the endpoint takes while it is cold, from all
	// gateways together; 0 is no bound.
	Rate float64
	// Listed reports that the source is the endpoint list. Its entries may be some
	// seconds old, so one that calls the endpoint warm does not contradict a response.
	Listed bool
}

// warmUp is the state of an endpoint's warm-up.
type warmUp struct {
	until time.Time
	rate  float64
	// heardAt is when the endpoint itself last reported on its warm-up; zero if it has
	// not.
	heardAt time.Time
}

// lasts reports whether the endpoint is cold.
func (w *warmUp) lasts(now time.Time) bool { return w.rate > 0 && now.Before(w.until) }

// ObserveCold applies a report of the endpoint's warm-up and returns the change, if any.
// Of reports that disagree, the longest warm-up counts until the endpoint itself reports
// anew. sent is when the request was sent whose response contains the report; responses
// may arrive out of order.
func (s *State) ObserveCold(c Cold, sent, now time.Time) []Change {
	until := now.Add(c.Remaining)
	newer := !c.Listed && sent.After(s.warmUp.heardAt)
	if !newer && !until.After(s.warmUp.until) {
		return nil
	}
	was, rate := s.warmUp.lasts(now), s.warmUp.rate
	s.warmUp.until = until
	if c.Rate > 0 {
		s.warmUp.rate = c.Rate
	}
	if !c.Listed {
		s.warmUp.heardAt = now
	}
	return s.warmUpChange(was, rate, !c.Listed, now)
}

// warmUpChange returns the change from a state in which the endpoint was cold, with the
// given rate, or not. notify requests that other gateways are notified.
func (s *State) warmUpChange(was bool, rate float64, notify bool, now time.Time) []Change {
	lasts := s.warmUp.lasts(now)
	s.table.anySignal = s.table.anySignal || lasts
	if lasts == was && (!lasts || rate == s.warmUp.rate) {
		return nil
	}
	s.notify = s.notify || notify
	s.signalAt = now
	if !lasts {
		return []Change{{Kind: WarmedUp}}
	}
	return []Change{{Kind: TurnedCold, Rate: s.warmUp.rate, Remaining: s.warmUp.until.Sub(now)}}
}

// Cold reports whether the endpoint is cold.
func (s *State) Cold(now time.Time) bool { return s.warmUp.lasts(now) }

// ColdRemaining returns the time until the endpoint is warm; 0 if it is.
func (s *State) ColdRemaining(now time.Time) time.Duration { return max(0, s.warmUp.until.Sub(now)) }

// inForce returns the limit that applies now: the endpoint's own, or the one of its
// warm-up if that is tighter.
func (s *State) inForce(now time.Time) Limit {
	if cold := Limited(coldShare * s.warmUp.rate); s.warmUp.lasts(now) && cold.tighter(s.limit) {
		return cold
	}
	return s.limit
}

// limitedByWarmUp reports whether the limit in force is the one of the warm-up.
func (s *State) limitedByWarmUp(now time.Time) bool { return s.inForce(now) != s.limit }

// ColdRecord is the part of a Record about an endpoint's warm-up.
type ColdRecord struct {
	RemainingMS int64   `json:"t,omitempty"`
	Rate        float64 `json:"r,omitempty"`
	// AgeMS is the time, in milliseconds, since the endpoint itself reported on its
	// warm-up; negative if it has not.
	AgeMS int64 `json:"a"`
}

// coldRecord returns the warm-up as a message to other processes, or nil if the endpoint
// has never been cold.
func (s *State) coldRecord(now time.Time) *ColdRecord {
	if s.warmUp.until.IsZero() {
		return nil
	}
	r := &ColdRecord{RemainingMS: s.ColdRemaining(now).Milliseconds(), Rate: s.warmUp.rate, AgeMS: -1}
	if !s.warmUp.heardAt.IsZero() {
		r.AgeMS = now.Sub(s.warmUp.heardAt).Milliseconds()
	}
	return r
}

// mergeCold applies the warm-up that another process reported.
func (s *State) mergeCold(r *ColdRecord, now time.Time) []Change {
	if r == nil {
		return nil
	}
	remaining := time.Duration(r.RemainingMS) * time.Millisecond
	if r.AgeMS < 0 {
		return s.ObserveCold(Cold{Remaining: remaining, Rate: r.Rate, Listed: true}, now, now)
	}
	at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	if remaining == 0 {
		at = at.Add(-mergeMargin)
	}
	was, rate := s.warmUp.lasts(now), s.warmUp.rate
	if !at.After(s.warmUp.heardAt) {
		return nil
	}
	s.warmUp = warmUp{until: now.Add(remaining), rate: r.Rate, heardAt: at}
	return s.warmUpChange(was, rate, false, now)
}
