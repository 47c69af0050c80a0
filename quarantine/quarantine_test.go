// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// begin is an arbitrary start time of the tests.
var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after begin.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// nth returns the n-th ID.
func nth(n int) (id ID) {
	binary.BigEndian.PutUint32(id[:], uint32(n))
	return id
}

// identity returns the traits of a request that has no parts in common with others.
func identity(n int) Traits { return Traits{Identity: nth(n)} }

// endpoints counts the endpoints that have crashed in recordCrash.
var endpoints atomic.Int64

// recordCrash records the crash of another endpoint on each call.
func recordCrash(table *Table, n int, sent, now time.Time) Status {
	return table.RecordCrash(identity(n), Observation{Endpoint: fmt.Sprint("e", endpoints.Add(1)), Sent: sent, At: now})
}

// A request must be in quarantine after Threshold separate endpoint crashes and not
// before. Other requests must not be affected.
func TestThreeCrashesPutARequestInQuarantine(t *testing.T) {
	table := New()
	assert.Equal(t, table.Status(identity(1), at(0)), Status{})
	for n := range Threshold {
		assert.Assert(t, !table.Status(identity(1), at(1000*n)).Quarantined)
		s := recordCrash(table, 1, at(1000*n), at(1000*n+50))
		assert.Equal(t, s, Status{Crashes: n + 1, Quarantined: n+1 == Threshold, Trait: nth(1)})
		assert.Assert(t, s.Suspected())
	}
	assert.Assert(t, table.Status(identity(1), at(5000)).Quarantined)
	assert.Assert(t, !table.Status(identity(2), at(5000)).Suspected())
	suspected, quarantined := table.Counts(at(5000))
	assert.Equal(t, suspected, 1)
	assert.Equal(t, quarantined, 1)
}

// A request that completes at another endpoint is not the cause of the crashes, and must
// no longer be suspected.
func TestOneCompletionClears(t *testing.T) {
	table := New()
	assert.Assert(t, !table.RecordCompletion(identity(1), at(0)), "no crash to clear")
	recordCrash(table, 1, at(0), at(50))
	recordCrash(table, 1, at(100), at(150))
	assert.Assert(t, table.RecordCompletion(identity(1), at(300)))
	assert.Assert(t, !table.Status(identity(1), at(300)).Suspected())
	assert.Equal(t, recordCrash(table, 1, at(400), at(450)).Crashes, 1)
}

// Simultaneous crashes, such as those of a rack that loses power, must count as one. A
// crash counts separately if the request was sent to the endpoint after the previous one.
func TestCrashesAtOneMomentCountOnce(t *testing.T) {
	table := New()
	for n := range 2 * maxCrashes {
		s := recordCrash(table, 1, at(0), at(500+n))
		assert.Equal(t, s.Crashes, 1)
	}
	assert.Equal(t, recordCrash(table, 1, at(501), at(505)).Crashes, 1, "sent to one of them before its crash was detected")
	assert.Equal(t, recordCrash(table, 1, at(600), at(650)).Crashes, 2, "sent after them")
	assert.Equal(t, recordCrash(table, 1, at(0), at(900)).Crashes, 3, "long after them")
}

// A request must leave quarantine CrashTTL after its last crash, and its earlier crashes
// must no longer count.
func TestACrashExpires(t *testing.T) {
	table := New()
	for n := range Threshold {
		recordCrash(table, 1, at(1000*n), at(1000*n+50))
	}
	last := at(1000*(Threshold-1) + 50)
	assert.Assert(t, table.Status(identity(1), last.Add(CrashTTL)).Quarantined)
	assert.Assert(t, !table.Status(identity(1), last.Add(CrashTTL+1)).Suspected())
	assert.Equal(t, recordCrash(table, 1, last.Add(CrashTTL), last.Add(CrashTTL+time.Second)).Crashes, 1)
}

// The table is bounded, and many other requests do not evict one in quarantine.
func TestTheTableIsBounded(t *testing.T) {
	table := New()
	for n := range Threshold {
		recordCrash(table, 0, at(1000*n), at(1000*n+50))
	}
	for n := range 3 * maxTraits {
		recordCrash(table, 1+n, at(5000+n), at(5000+n))
	}
	assert.Equal(t, len(table.entries), maxTraits)
	assert.Assert(t, table.Status(identity(0), at(9000)).Quarantined)
	assert.Assert(t, table.Status(identity(3*maxTraits), at(9000)).Suspected(), "the newest is kept")
	assert.Assert(t, !table.Status(identity(1), at(9000)).Suspected(), "the oldest is evicted")
}

// A process that only relays must evict entries that gateways no longer send.
func TestARelayEvictsEntries(t *testing.T) {
	gateway, relay := New(), NewRelayed()
	recordCrash(gateway, 1, at(0), at(50))
	assert.Assert(t, relay.Merge(gateway.Records(at(60)), at(60)))
	assert.Assert(t, !relay.Merge(gateway.Records(at(4000)), at(4000)), "unchanged")
	assert.Equal(t, len(relay.Records(at(4000).Add(relayedTTL))), 1)
	assert.Equal(t, len(relay.Records(at(4001).Add(relayedTTL))), 0)
}

// A delayed message, such as one to a suspended process, must neither duplicate a crash
// nor change its time to a later one.
func TestADelayedMessageChangesNothing(t *testing.T) {
	one, other := New(), New()
	recordCrash(one, 1, at(0), at(50))
	early := one.Records(at(60))
	assert.Assert(t, other.Merge(early, at(70)))
	assert.Assert(t, !other.Merge(early, at(8000)))
	assert.Assert(t, !one.Merge(other.Records(at(8000)), at(12000)))
	assert.Equal(t, one.Status(identity(1), at(12000)).Crashes, 1)
	assert.Equal(t, one.entries[nth(1)].crashes[0].at, at(50))
}

// A cleared request must not become suspected again because another process still sends
// crashes from before it was cleared.
func TestAClearedRequestStaysCleared(t *testing.T) {
	one, other := New(), New()
	for n := range Threshold {
		recordCrash(one, 1, at(1000*n), at(1000*n+50))
	}
	other.Merge(one.Records(at(3000)), at(3000))
	assert.Assert(t, other.Status(identity(1), at(3000)).Quarantined)
	other.RecordCompletion(identity(1), at(3100))
	other.Merge(one.Records(at(3200)), at(3200))
	assert.Assert(t, !other.Status(identity(1), at(3200)).Suspected())
	one.Merge(other.Records(at(3300)), at(3300))
	assert.Assert(t, !one.Status(identity(1), at(3300)).Suspected())
}

// All processes must agree on which requests have reached Threshold, also if messages
// are reordered, delayed, duplicated or lost. None may count more crashes than happened.
func TestProcessesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const requests, processes = 3, 3
		tables := make([]*Table, processes)
		for n := range tables {
			tables[n] = New()
		}
		type message struct {
			to      int
			records []Record
		}
		var inFlight []message
		var crashes [requests]int
		now := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(201, 1500).Draw(t, "pause")
			process := rapid.IntRange(0, processes-1).Draw(t, "process")
			request := rapid.IntRange(0, requests-1).Draw(t, "request")
			switch rapid.SampledFrom([]string{"crash", "crash", "complete", "send", "send", "deliver"}).Draw(t, "event") {
			case "crash":
				crashes[request]++
				recordCrash(tables[process], request, at(now-100), at(now))
			case "complete":
				if tables[process].RecordCompletion(identity(request), at(now)) {
					crashes[request] = 0
					for _, other := range tables { // all receive it before the next crash
						other.Merge(tables[process].Records(at(now)), at(now))
					}
				}
			case "send":
				inFlight = append(inFlight, message{rapid.IntRange(0, processes-1).Draw(t, "to"), tables[process].Records(at(now))})
			case "deliver":
				if len(inFlight) == 0 {
					continue
				}
				m := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")]
				tables[m.to].Merge(m.records, at(now))
			}
		}
		for range processes {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(from.Records(at(now)), at(now))
				}
			}
		}
		for request := range requests {
			for _, table := range tables {
				s := table.Status(identity(request), at(now))
				assert.Assert(t, s.Crashes <= crashes[request])
				assert.Equal(t, s.Crashes >= Threshold, crashes[request] >= Threshold, "request %d: %d crashes, %v", request, crashes[request], s)
				completed := table.entries[nth(request)] != nil && table.entries[nth(request)].completed
				assert.Assert(t, completed || s.Quarantined == (crashes[request] >= Threshold))
			}
		}
	})
}

// Repeated calls of Records must return all entries of a full table, and the records of
// each call must fit a datagram.
func TestRecordsFitADatagramAndAllAreSent(t *testing.T) {
	table := New()
	for n := range maxTraits * maxCrashes {
		recordCrash(table, n%maxTraits, at(n*50), at(n*50+9999))
	}
	seen := make(map[ID]bool)
	const datagram = 1300
	for range maxTraits {
		records := table.Records(at(maxTraits * maxCrashes * 50))
		assert.Equal(t, len(records), maxRecords)
		assert.Equal(t, len(records[0].Crashes), maxRecordCrashes)
		text, err := json.Marshal(records)
		assert.NilError(t, err)
		assert.Assert(t, len(text) < datagram, "%d bytes", len(text))
		for _, r := range records {
			seen[r.ID] = true
		}
	}
	assert.Equal(t, len(seen), maxTraits)
}

// BenchmarkStatus measures Status, which is called for each attempt, with an empty and a
// full table.
func BenchmarkStatus(b *testing.B) {
	for name, n := range map[string]int{"none": 0, "full": maxTraits} {
		table := New()
		for n := range n {
			recordCrash(table, n, begin, begin)
		}
		id := identity(rand.IntN(n + 1))
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				table.Status(id, begin)
			}
		})
	}
}

// A request that completed before must not be quarantined only because it is in progress
// at each crash that another request causes, also in a process in which it has not completed.
func TestACommonRequestIsNotQuarantinedWithTheOneThatCrashes(t *testing.T) {
	table := New()
	table.RecordCompletion(identity(1), at(0))
	for n := range 2 * Threshold {
		o := Observation{Endpoint: fmt.Sprint("e", n), Sent: at(1000 * n), At: at(1000*n + 50)}
		table.RecordCrash(identity(2), o)
		s := table.RecordCrash(identity(1), o)
		assert.Assert(t, !s.Quarantined, "after %d crashes", n+1)
		assert.Equal(t, s.Suspected(), n+1 < Threshold, "until the other request explains its crashes")
	}
	assert.Assert(t, table.Status(identity(2), at(9000)).Quarantined)
	other := New()
	other.Merge(table.Records(at(9000)), at(9000))
	assert.Assert(t, other.Status(identity(2), at(9000)).Quarantined)
	assert.Assert(t, !other.Status(identity(1), at(9000)).Suspected(), "a gateway in which it has not completed")
	table.RecordCompletion(identity(1), at(9500))
	other.Merge(table.Records(at(9600)), at(9600))
	assert.Assert(t, !other.Status(identity(1), at(9600)).Suspected(), "cleared by a completion elsewhere")
}

// A request that completed before must be quarantined after completedThreshold crashes.
// The set of completed requests must be bounded.
func TestACompletedRequestIsQuarantinedAfterMoreCrashes(t *testing.T) {
	table := New()
	table.RecordCompletion(identity(1), at(0))
	crashes := 0
	for !table.Status(identity(1), at(1000*crashes)).Quarantined {
		assert.Assert(t, crashes < completedThreshold)
		recordCrash(table, 1, at(1000*crashes), at(1000*crashes+50))
		crashes++
	}
	assert.Equal(t, crashes, completedThreshold)
	table.RecordCompletion(identity(2), at(0))
	for n := range maxCompleted {
		table.RecordCompletion(identity(3+n), at(0))
	}
	assert.Assert(t, len(table.completedRequests.ids) <= maxCompleted)
	assert.Assert(t, !table.completedRequests.has(nth(2)), "the oldest is evicted")
	assert.Assert(t, table.completedRequests.has(nth(2+maxCompleted)))
}

// BenchmarkRecordCompletion measures RecordCompletion, which is called for each completed
// request.
func BenchmarkRecordCompletion(b *testing.B) {
	table := New()
	n := 0
	for b.Loop() {
		n++
		table.RecordCompletion(identity(n), begin)
	}
}

// The record of a suspected request must be sent for reportTime, and that of a request in
// quarantine for longer.
func TestSuspectsAreSentForReportTime(t *testing.T) {
	table := New()
	for n := range Threshold {
		recordCrash(table, 0, at(1000*n), at(1000*n+50))
	}
	recordCrash(table, 1, at(2000), at(2050))
	recordCrash(table, 2, at(2000), at(2050))
	table.RecordCompletion(identity(2), at(2100))
	assert.Equal(t, len(table.Records(at(2050).Add(reportTime))), 3)
	later := table.Records(at(2101).Add(reportTime))
	assert.Equal(t, len(later), 1)
	assert.Equal(t, later[0].ID, nth(0))
	assert.Assert(t, table.Status(identity(1), at(2101).Add(reportTime)).Suspected(), "still suspected in this process")
}

// BenchmarkFullTable measures the memory of a full table and set of completed requests.
func BenchmarkFullTable(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		table := New()
		for n := range maxCompleted {
			table.RecordCompletion(identity(n), begin)
		}
		for n := range maxTraits * maxCrashes {
			recordCrash(table, n%maxTraits, at(n*50), at(n*50+9999))
		}
	}
}
