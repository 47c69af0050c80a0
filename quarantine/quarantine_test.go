// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// begin is when these tests begin; nothing depends on it.
var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at is a time of a test, in milliseconds.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// nth returns the n-th ID.
func nth(n int) (id ID) {
	binary.BigEndian.PutUint32(id[:], uint32(n))
	return id
}

func TestThreeCrashesPutARequestInQuarantine(t *testing.T) {
	table := New()
	assert.Equal(t, table.Standing(nth(1), at(0)), Standing{})
	for n := range Threshold {
		assert.Assert(t, !table.Standing(nth(1), at(1000*n)).Quarantined())
		s := table.Crashed(nth(1), at(1000*n), at(1000*n+50))
		assert.Equal(t, s, Standing{Crashes: n + 1})
		assert.Assert(t, s.Suspected())
	}
	assert.Assert(t, table.Standing(nth(1), at(5000)).Quarantined())
	assert.Assert(t, !table.Standing(nth(2), at(5000)).Suspected())
	suspected, quarantined := table.Len(at(5000))
	assert.Equal(t, suspected, 1)
	assert.Equal(t, quarantined, 1)
}

// A request beside the one to blame ends well at its next endpoint.
func TestOneGoodEndClears(t *testing.T) {
	table := New()
	assert.Assert(t, !table.EndedWell(nth(1), at(0)), "there was nothing to clear")
	table.Crashed(nth(1), at(0), at(50))
	table.Crashed(nth(1), at(100), at(150))
	assert.Assert(t, table.EndedWell(nth(1), at(300)))
	assert.Assert(t, !table.Standing(nth(1), at(300)).Suspected())
	assert.Equal(t, table.Crashed(nth(1), at(400), at(450)).Crashes, 1)
}

// A rack that loses its power ends many runs of a common request at once. A
// request that crashes one endpoint after the other, however fast, was sent to
// the next after the one before had crashed.
func TestCrashesAtOneMomentCountOnce(t *testing.T) {
	table := New()
	for n := range 2 * maxCrashes {
		s := table.Crashed(nth(1), at(0), at(500+n))
		assert.Equal(t, s.Crashes, 1)
	}
	assert.Equal(t, table.Crashed(nth(1), at(501), at(505)).Crashes, 1, "sent on to one of them before its end was seen")
	assert.Equal(t, table.Crashed(nth(1), at(600), at(650)).Crashes, 2, "sent after them")
	assert.Equal(t, table.Crashed(nth(1), at(0), at(900)).Crashes, 3, "long after them")
}

func TestACrashCountsForItsLife(t *testing.T) {
	table := New()
	for n := range Threshold {
		table.Crashed(nth(1), at(1000*n), at(1000*n+50))
	}
	last := at(1000*(Threshold-1) + 50)
	assert.Assert(t, table.Standing(nth(1), last.Add(Life)).Quarantined())
	assert.Assert(t, !table.Standing(nth(1), last.Add(Life+1)).Suspected())
	assert.Equal(t, table.Crashed(nth(1), last.Add(Life), last.Add(Life+time.Second)).Crashes, 1)
}

// A caller that makes many requests frees none that is in quarantine.
func TestTheTableIsBounded(t *testing.T) {
	table := New()
	for n := range Threshold {
		table.Crashed(nth(0), at(1000*n), at(1000*n+50))
	}
	for n := range 3 * maxRequests {
		table.Crashed(nth(1+n), at(5000+n), at(5000+n))
	}
	assert.Equal(t, len(table.entries), maxRequests)
	assert.Assert(t, table.Standing(nth(0), at(9000)).Quarantined())
	assert.Assert(t, table.Standing(nth(3*maxRequests), at(9000)).Suspected(), "the newest is kept")
	assert.Assert(t, !table.Standing(nth(1), at(9000)).Suspected(), "the oldest is forgotten")
}

// A process that only relays forgets what no gateway tells any more.
func TestARelayForgets(t *testing.T) {
	gateway, relay := New(), NewRelayed()
	gateway.Crashed(nth(1), at(0), at(50))
	assert.Assert(t, relay.Merge(gateway.Tell(at(60)), at(60)))
	assert.Assert(t, !relay.Merge(gateway.Tell(at(4000)), at(4000)), "no news")
	assert.Equal(t, len(relay.Tell(at(4000).Add(relayedLife))), 1)
	assert.Equal(t, len(relay.Tell(at(4001).Add(relayedLife))), 0)
}

// A message that was long under way, as to a process that stood still, makes no
// second crash of the first, and does not make it younger.
func TestALateMessageIsNoNews(t *testing.T) {
	one, other := New(), New()
	one.Crashed(nth(1), at(0), at(50))
	early := one.Tell(at(60))
	assert.Assert(t, other.Merge(early, at(70)))
	assert.Assert(t, !other.Merge(early, at(8000)))
	assert.Assert(t, !one.Merge(other.Tell(at(8000)), at(12000)))
	assert.Equal(t, one.Standing(nth(1), at(12000)).Crashes, 1)
	assert.Equal(t, one.entries[nth(1)].crashes[0].at, at(50))
}

// What was cleared stays cleared, though others tell the older crashes on.
func TestAClearedRequestStaysCleared(t *testing.T) {
	one, other := New(), New()
	for n := range Threshold {
		one.Crashed(nth(1), at(1000*n), at(1000*n+50))
	}
	other.Merge(one.Tell(at(3000)), at(3000))
	assert.Assert(t, other.Standing(nth(1), at(3000)).Quarantined())
	other.EndedWell(nth(1), at(3100))
	other.Merge(one.Tell(at(3200)), at(3200))
	assert.Assert(t, !other.Standing(nth(1), at(3200)).Suspected())
	one.Merge(other.Tell(at(3300)), at(3300))
	assert.Assert(t, !one.Standing(nth(1), at(3300)).Suspected())
}

// Whatever is told among several processes, in whatever order, late, twice or
// not at all: in the end all know the same, no request has more crashes than it
// had, and one that crashed Threshold endpoints after its last good end is known
// for it everywhere, and in quarantine where it has not ended well.
func TestProcessesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const requests, processes = 3, 3
		tables := make([]*Table, processes)
		for n := range tables {
			tables[n] = New()
		}
		type letter struct {
			to      int
			records []Record
		}
		var underway []letter
		var crashes [requests]int
		now := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(201, 1500).Draw(t, "pause")
			who := rapid.IntRange(0, processes-1).Draw(t, "process")
			what := rapid.IntRange(0, requests-1).Draw(t, "request")
			switch rapid.SampledFrom([]string{"crash", "crash", "end", "tell", "tell", "deliver"}).Draw(t, "event") {
			case "crash":
				crashes[what]++
				tables[who].Crashed(nth(what), at(now-100), at(now))
			case "end":
				if tables[who].EndedWell(nth(what), at(now)) {
					crashes[what] = 0
					for _, other := range tables { // the rest is heard of before the next crash
						other.Merge(tables[who].Tell(at(now)), at(now))
					}
				}
			case "tell":
				underway = append(underway, letter{rapid.IntRange(0, processes-1).Draw(t, "to"), tables[who].Tell(at(now))})
			case "deliver":
				if len(underway) == 0 {
					continue
				}
				l := underway[rapid.IntRange(0, len(underway)-1).Draw(t, "letter")]
				tables[l.to].Merge(l.records, at(now))
			}
		}
		for range processes {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(from.Tell(at(now)), at(now))
				}
			}
		}
		for what := range requests {
			for _, table := range tables {
				s := table.Standing(nth(what), at(now))
				assert.Assert(t, s.Crashes <= crashes[what])
				assert.Equal(t, s.Crashes >= Threshold, crashes[what] >= Threshold, "request %d: %d crashes, %v", what, crashes[what], s)
				assert.Assert(t, s.Proven || s.Quarantined() == (crashes[what] >= Threshold))
			}
		}
	})
}

// A full table is told in turn, the requests in quarantine each time; what is
// told fits a datagram.
func TestTellFitsAndLeavesNothingOut(t *testing.T) {
	table := New()
	for n := range maxRequests * maxCrashes {
		table.Crashed(nth(n%maxRequests), at(n*50), at(n*50+9999))
	}
	seen := make(map[ID]bool)
	const datagram = 1300
	for range maxRequests {
		records := table.Tell(at(maxRequests * maxCrashes * 50))
		assert.Equal(t, len(records), toldRequests)
		assert.Equal(t, len(records[0].Crashes), toldCrashes)
		text, err := json.Marshal(records)
		assert.NilError(t, err)
		assert.Assert(t, len(text) < datagram, "%d bytes", len(text))
		for _, r := range records {
			seen[r.ID] = true
		}
	}
	assert.Equal(t, len(seen), maxRequests)
}

func BenchmarkStanding(b *testing.B) {
	for name, n := range map[string]int{"none": 0, "full": maxRequests} {
		table := New()
		for n := range n {
			table.Crashed(nth(n), begin, begin)
		}
		id := nth(rand.IntN(n + 1))
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				table.Standing(id, begin)
			}
		})
	}
}

// A common request stands beside each crash of an outbreak; that it has ended
// well before tells it from the one to blame, which never does. Were it kept from
// endpoints, nothing could clear it any more.
func TestACommonRequestIsNotQuarantinedWithTheOneToBlame(t *testing.T) {
	table := New()
	table.EndedWell(nth(1), at(0))
	for n := range 2 * Threshold {
		table.Crashed(nth(2), at(1000*n), at(1000*n+50))
		s := table.Crashed(nth(1), at(1000*n), at(1000*n+50))
		assert.Assert(t, !s.Quarantined(), "after %d crashes", n+1)
		assert.Assert(t, s.Suspected())
	}
	assert.Assert(t, table.Standing(nth(2), at(9000)).Quarantined())
	other := New()
	other.Merge(table.Tell(at(9000)), at(9000))
	assert.Assert(t, other.Standing(nth(1), at(9000)).Quarantined(), "a gateway that has not seen it end well")
	table.EndedWell(nth(1), at(9500))
	other.Merge(table.Tell(at(9600)), at(9600))
	assert.Assert(t, !other.Standing(nth(1), at(9600)).Suspected(), "until it does")
}

// One that has turned bad is found all the same, with more crashes.
func TestAProvenRequestThatTurnsBadIsQuarantined(t *testing.T) {
	table := New()
	table.EndedWell(nth(1), at(0))
	crashes := 0
	for !table.Standing(nth(1), at(1000*crashes)).Quarantined() {
		assert.Assert(t, crashes < thresholdProven)
		table.Crashed(nth(1), at(1000*crashes), at(1000*crashes+50))
		crashes++
	}
	assert.Equal(t, crashes, thresholdProven)
	table.EndedWell(nth(2), at(0))
	for n := range maxProven {
		table.EndedWell(nth(3+n), at(0))
	}
	assert.Assert(t, len(table.proven.ids) <= maxProven)
	assert.Assert(t, !table.proven.has(nth(2)), "the oldest is forgotten")
	assert.Assert(t, table.proven.has(nth(2+maxProven)))
}

func BenchmarkEndedWell(b *testing.B) {
	table := New()
	n := 0
	for b.Loop() {
		n++
		table.EndedWell(nth(n), begin)
	}
}

// Sidecars that pass on what gateways tell hear of each suspect for a while; only
// of requests in quarantine for as long as they are in it.
func TestSuspectsAreToldForAWhile(t *testing.T) {
	table := New()
	for n := range Threshold {
		table.Crashed(nth(0), at(1000*n), at(1000*n+50))
	}
	table.Crashed(nth(1), at(2000), at(2050))
	table.Crashed(nth(2), at(2000), at(2050))
	table.EndedWell(nth(2), at(2100))
	assert.Equal(t, len(table.Tell(at(2050).Add(toldFor))), 3)
	later := table.Tell(at(2101).Add(toldFor))
	assert.Equal(t, len(later), 1)
	assert.Equal(t, later[0].ID, nth(0))
	assert.Assert(t, table.Standing(nth(1), at(2101).Add(toldFor)).Suspected(), "it is still known here")
}

// The memory of a full table, with as many requests that ended well.
func BenchmarkFullTable(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		table := New()
		for n := range maxProven {
			table.EndedWell(nth(n), begin)
		}
		for n := range maxRequests * maxCrashes {
			table.Crashed(nth(n%maxRequests), at(n*50), at(n*50+9999))
		}
	}
}
