// SPDX-License-Identifier: Apache-2.0

package backpressure

import "time"

// Quotas is the permit allocator: it divides the rate limits of endpoints among the
// gateways by granting them permits, each for one request to an endpoint. All gateways
// request the permits of an endpoint from the same process, which need not be the sidecar
// of that endpoint.
//
// Permits are granted at the rate of the limit, plus a burst of at most the capacity of
// a bucket. A permit may be used up to grantTTL later, and its request may then wait
// for a connection. So in any period, the requests sent with permits are at most a
// bucket's capacity plus the rate times the sum of the period, grantTTL and that wait.
type Quotas struct {
	table   *Table
	buckets map[*State]*bucket
}

// bucket is a token bucket; a token is a permit.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// The capacity of a bucket, in permits, is minBucket plus bucketSeconds times the rate.
const (
	minBucket     = 2
	bucketSeconds = 0.25
)

// NewQuotas returns an empty Quotas.
func NewQuotas() *Quotas {
	return &Quotas{table: NewTable(), buckets: make(map[*State]*bucket)}
}

// Allocate applies the endpoint state that a permit request reports, and grants permits
// to its sender. changed reports that the state is new to the allocator, so that the
// caller must send the grant's record to the other gateways as well.
func (q *Quotas) Allocate(r PermitRequest, now time.Time) (g Grant, changed bool) {
	changed = len(q.table.Merge(r.Record, now)) > 0
	s := q.table.State(r.ID, r.StartedMS)
	g.Record = s.record(now)
	if limit := s.inForce(now); r.Want > 0 && limit.Set {
		g.Permits, g.AfterMS = q.refill(s, limit.Rate, now).take(r.Want, limit.Rate)
	}
	q.evict(now)
	return g, changed
}

// Records returns the records of endpoints to send to gateways; see Table.Records.
func (q *Quotas) Records(now time.Time) []Record { return q.table.Records(now) }

// refill adds the tokens earned since the last call to an endpoint's bucket, at a rate a
// second, and returns the bucket.
func (q *Quotas) refill(s *State, rate float64, now time.Time) *bucket {
	b := q.buckets[s]
	if b == nil {
		b = &bucket{tokens: 1, updatedAt: now}
		q.buckets[s] = b
	}
	rate = max(rate, minRate)
	capacity := minBucket + bucketSeconds*rate
	if s.limitedByWarmUp(now) {
		capacity = minColdBucket + coldBucketSeconds*rate
	}
	b.tokens = min(b.tokens+rate*now.Sub(b.updatedAt).Seconds(), capacity)
	b.updatedAt = now
	return b
}

// take takes up to want permits from the bucket. If it has fewer, afterMS is the time
// until the next permit, in milliseconds.
func (b *bucket) take(want int, rate float64) (permits int, afterMS int64) {
	permits = min(want, int(b.tokens))
	b.tokens -= float64(permits)
	if permits < want {
		missing := (1 - b.tokens) / max(rate, minRate)
		afterMS = int64(missing*1000) + 1
	}
	return permits, afterMS
}

// evict calls Table.Evict, and removes the buckets of evicted endpoints. The allocator
// has no endpoint list: it treats an endpoint as listed if its last signal is newer
// than recordWindow.
func (q *Quotas) evict(now time.Time) {
	q.table.Evict(func(id string) bool { return now.Sub(q.table.states[id].signalAt) < recordWindow }, now)
	for s := range q.buckets {
		if q.table.states[s.id] != s {
			delete(q.buckets, s)
		}
	}
}
