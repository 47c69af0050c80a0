// SPDX-License-Identifier: Apache-2.0

package backpressure

import "time"

// Quotas deals the limits of endpoints out to the gateways that ask. All gateways
// ask one process for an endpoint; it need not be the one beside it.
//
// In any window of 4 s gateways send at most what was dealt out in it and in the
// grantLife before, and a connection's wait: rate * 5.4 s and a bucket.
type Quotas struct {
	table   *Table
	buckets map[*State]*bucket
}

// bucket is a token bucket; a token is a permit.
type bucket struct {
	level float64
	at    time.Time
}

// bucketMin and bucketShare give the size of a bucket, in permits and seconds of its
// rate.
const (
	bucketMin   = 2
	bucketShare = 0.25
)

// NewQuotas returns empty quotas.
func NewQuotas() *Quotas {
	return &Quotas{table: NewTable(), buckets: make(map[*State]*bucket)}
}

// Ask takes what a gateway tells and answers its wish. news says that other
// gateways should observe of it.
func (q *Quotas) Ask(a Ask, now time.Time) (g Grant, news bool) {
	news = len(q.table.Merge(a.Record, now)) > 0
	s := q.table.Of(a.ID, a.Born)
	g.Record = s.record(now)
	if a.Want > 0 && s.limit.Named {
		g.Permits, g.AfterMS = q.bucketOf(s, now).take(a.Want, s.limit.Rate)
	}
	q.forget(now)
	return g, news
}

// Tell returns what endpoints said last.
func (q *Quotas) Tell(now time.Time) []Record { return q.table.Tell(now) }

func (q *Quotas) bucketOf(s *State, now time.Time) *bucket {
	b := q.buckets[s]
	if b == nil {
		b = &bucket{level: 1, at: now}
		q.buckets[s] = b
	}
	rate := max(s.limit.Rate, probeRate)
	b.level = min(b.level+rate*now.Sub(b.at).Seconds(), bucketMin+bucketShare*rate)
	b.at = now
	return b
}

// take takes up to want permits; if there are fewer, afterMS is when there is the
// next.
func (b *bucket) take(want int, rate float64) (permits int, afterMS int64) {
	permits = min(want, int(b.level))
	b.level -= float64(permits)
	if permits < want {
		missing := (1 - b.level) / max(rate, probeRate)
		afterMS = int64(missing*1000) + 1
	}
	return permits, afterMS
}

// forget drops what no gateway has told for long.
func (q *Quotas) forget(now time.Time) {
	q.table.Forget(func(id string) bool { return now.Sub(q.table.states[id].heardAt) < toldFor }, now)
	for s := range q.buckets {
		if q.table.states[s.id] != s {
			delete(q.buckets, s)
		}
	}
}
