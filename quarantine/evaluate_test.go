// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// prompt returns the traits of the n-th request, whose prompt has the given parts.
func prompt(n int, parts ...string) Traits {
	list := ""
	for _, p := range parts {
		list += p + ":1,"
	}
	return Traits{Identity: nth(1000 + n), Parts: Parts("m", list)}
}

// crashOf returns the observation of the crash of the n-th endpoint.
func crashOf(n int) Observation {
	return Observation{Endpoint: fmt.Sprint("e", n), Sent: at(1000 * n), At: at(1000*n + 60)}
}

// Different requests that crash endpoints must be quarantined by the part that their
// prompts have in common, and requests with their other parts must be served.
func TestCommonPartIsQuarantined(t *testing.T) {
	table := New()
	for n := range Threshold {
		table.RecordCrash(prompt(n, "aa", "bad", fmt.Sprintf("%x", n)), crashOf(n))
		table.RecordCrash(prompt(100+n, "aa", "cc"), crashOf(n))
		assert.Assert(t, table.RecordCompletion(prompt(200+n, "aa", "cc"), at(1000*n+100)))
	}
	now := at(1000 * Threshold)
	s := table.Status(prompt(300, "aa", "bad"), now)
	assert.Assert(t, s.Quarantined)
	assert.Equal(t, prompt(300, "aa", "bad").PartName(s.Trait), "bad")
	assert.Assert(t, !table.Status(prompt(301, "aa", "cc"), now).Suspected())
	assert.Assert(t, !table.Status(prompt(302, "aa", "1"), now).Suspected(), "explained by the bad part")
}

// Parts whose requests have not completed yet must not be quarantined in place of the one
// that crashes endpoints, although they are present at the same crashes.
func TestDeepestOfEquallySuspectedPartsIsQuarantined(t *testing.T) {
	table := New()
	for n := range Threshold {
		table.RecordCrash(prompt(n, "aa", "bad"), crashOf(n))
	}
	now := at(1000 * Threshold)
	assert.Assert(t, table.Status(prompt(300, "aa", "bad"), now).Quarantined)
	assert.Assert(t, !table.Status(prompt(301, "aa", "cc"), now).Suspected())
}

// If other requests with a part crash endpoints, too, the part must be quarantined, and no
// longer those that explained fewer crashes.
func TestPartWithMostCrashesIsQuarantined(t *testing.T) {
	table := New()
	for n := range Threshold {
		table.RecordCrash(prompt(n, "bad", "cc"), crashOf(n))
	}
	table.RecordCrash(prompt(50, "bad", "dd"), crashOf(Threshold))
	now := at(1000 * (Threshold + 1))
	assert.Assert(t, table.Status(prompt(300, "bad", "ee"), now).Quarantined)
	assert.Assert(t, !table.Status(prompt(301, "aa", "cc"), now).Suspected())
}

// A crash long after an endpoint began to respond must not count against parts.
func TestLateCrashIsNotHeldAgainstParts(t *testing.T) {
	table := New()
	for n := range 2 * Threshold {
		o := crashOf(n)
		o.Responding = OnsetTime
		table.RecordCrash(prompt(n, "aa"), o)
	}
	assert.Assert(t, !table.Status(prompt(300, "aa"), at(1000*2*Threshold)).Suspected())
}

// A part of completed requests must be quarantined after completedThreshold crashes, as it
// may crash endpoints since a change of their weights.
func TestCompletedPartIsQuarantinedAfterMoreCrashes(t *testing.T) {
	table := New()
	table.RecordCompletion(prompt(0, "aa"), at(0))
	for n := range completedThreshold {
		assert.Assert(t, !table.Status(prompt(300, "aa"), at(1000*n)).Quarantined)
		table.RecordCrash(prompt(1+n, "aa"), crashOf(n))
	}
	assert.Assert(t, table.Status(prompt(300, "aa"), at(1000*completedThreshold)).Quarantined)
}

// The crash of one endpoint must count once for a trait, however many processes and requests
// detect it, and again if an endpoint with the same ID crashes later.
func TestCrashOfAnIncarnationCountsOnce(t *testing.T) {
	tables := []*Table{New(), New(), New()}
	for n, table := range tables {
		o := crashOf(0)
		o.At = o.At.Add(time.Duration(n) * time.Second) // detected late
		for request := range 3 {
			table.RecordCrash(prompt(10*n+request, "bad"), o)
		}
	}
	for range 2 {
		for _, from := range tables {
			for _, to := range tables {
				to.Merge(from.Records(at(2100)), at(2100))
			}
		}
	}
	for _, table := range tables {
		assert.Equal(t, table.Status(prompt(300, "bad"), at(2100)).Crashes, 1)
	}
	again := crashOf(3)
	again.Endpoint = crashOf(0).Endpoint
	assert.Equal(t, tables[0].RecordCrash(prompt(50, "bad"), again).Crashes, 2)
}

// A trait must stay in quarantine while requests with it are rejected, in all processes, and
// its trial must not be repeated.
func TestQuarantineLastsWhileRequestsAreRejected(t *testing.T) {
	table, other := New(), New()
	for n := range Threshold {
		table.RecordCrash(prompt(n, "bad"), crashOf(n))
	}
	now := at(1000 * Threshold)
	request := prompt(300, "bad")
	trials := 0
	for range 100 {
		if table.Trial(request, now) {
			trials++
			table.RecordCrash(request, Observation{Endpoint: fmt.Sprint("trial", trials), Sent: now, At: now.Add(60 * time.Millisecond)})
		}
		if other.Trial(request, now) {
			trials++
		}
		s := table.Status(request, now)
		assert.Assert(t, s.Quarantined)
		table.RecordRejection(s.Trait, now)
		now = now.Add(time.Minute)
		other.Merge(table.Records(now), now)
		assert.Assert(t, other.Status(request, now).Quarantined)
	}
	assert.Equal(t, trials, 1)
	late := New()
	late.Merge(table.Records(now), now)
	assert.Assert(t, late.Status(request, now).Quarantined, "a process that starts later")
	assert.Assert(t, !table.Status(request, now.Add(CrashTTL)).Suspected())
}

// soundRun is a request of TestSoundPartsAreNotQuarantinedByOtherCrashes in progress.
type soundRun struct {
	traits      Traits
	endpoint    int
	sent, began int // ms
	onset       bool
}

// Sound parts must not be quarantined by crashes that no request causes, of single endpoints
// or of many at the same moment, with any mix of common and rare parts. QUARANTINE_SEEDS
// overrides the number of seeds.
func TestSoundPartsAreNotQuarantinedByOtherCrashes(t *testing.T) {
	const endpoints, rate, seconds, runMS, stepMS = 20, 40, 30, 1500, 25
	seeds, err := strconv.Atoi(os.Getenv("QUARANTINE_SEEDS"))
	if err != nil {
		seeds = 100
	}
	found := 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		waves := random.IntN(2) == 0 // of 40 % of the endpoints, 1.5 s apart
		table := New()
		var runs []*soundRun
		incarnation := make([]int, endpoints)
		for ms := 0; ms < seconds*1000; ms += stepMS {
			first := "f0" // half of all requests have it
			if random.IntN(2) == 0 {
				first = fmt.Sprintf("f%x", 1+random.IntN(200)) // seen once in ten seconds
			}
			runs = append(runs, &soundRun{traits: prompt(ms, first), endpoint: random.IntN(endpoints), sent: ms, began: ms + 100 + random.IntN(300)})
			crashed := make(map[int]bool)
			switch {
			case waves && ms >= 5000 && ms < 14_000 && ms%1500 == 0:
				for range endpoints * 4 / 10 {
					crashed[random.IntN(endpoints)] = true
				}
			case !waves && random.IntN(rate) == 0:
				crashed[random.IntN(endpoints)] = true
			}
			for e := range crashed {
				incarnation[e]++
			}
			runs = slices.DeleteFunc(runs, func(r *soundRun) bool {
				responding := time.Duration(max(0, ms-r.began)) * time.Millisecond
				switch {
				case crashed[r.endpoint]:
					table.RecordCrash(r.traits, Observation{Endpoint: fmt.Sprint(r.endpoint, "/", incarnation[r.endpoint]), Sent: at(r.sent), At: at(ms), Responding: responding})
				case ms >= r.began+runMS:
					table.RecordCompletion(r.traits, at(ms))
				default:
					if !r.onset && responding >= OnsetTime {
						r.onset = true
						table.RecordOnset(r.traits, at(ms))
					}
					return false
				}
				return true
			})
			for _, e := range table.TakeTransitions(at(ms)) {
				if e.Depth > 0 && e.Quarantined {
					found++
					t.Logf("seed %d, waves %t, at %d ms: part in quarantine: %+v", seed, waves, ms, e)
				}
			}
		}
	}
	t.Logf("%d seeds, %d sound parts in quarantine", seeds, found)
	assert.Equal(t, found, 0)
}

// Of two parts that crash endpoints, often the same ones, each must be quarantined and stay
// so, although the other explains most of its crashes.
func TestPartsThatCrashTheSameEndpointsAreBothQuarantined(t *testing.T) {
	table := New()
	for n := range 3 * maxCrashes {
		now := at(1000 * n)
		for m, part := range []string{"aa", "bb"} {
			if m == 1 || n%3 > 0 {
				table.RecordCrash(prompt(10*n+m, part), crashOf(n))
			}
		}
		if n > 6 {
			assert.Assert(t, table.Status(prompt(900, "bb"), now).Quarantined, "after %d crashes", n+1)
		}
	}
	for n := range Threshold { // aa alone
		table.RecordCrash(prompt(500+n, "aa"), crashOf(100+n))
	}
	now := at(1000 * 110)
	assert.Assert(t, table.Status(prompt(901, "aa"), now).Quarantined)
	assert.Assert(t, table.Status(prompt(902, "bb"), now).Quarantined)
}

// A sound part that several bad ones have in common must be released once the others explain
// all but a few of its crashes, if it is known to have completed elsewhere.
func TestSharedPartIsReleasedWhenACompletionIsKnown(t *testing.T) {
	table, other := New(), New()
	other.RecordCompletion(prompt(0, "aa"), at(0))
	for n := range 2*Threshold + 1 {
		bad := []string{"bad0", "bad1", "bad2"}[n/Threshold]
		table.RecordCrash(prompt(1+n, "aa", bad), crashOf(n))
	}
	now := at(1000 * (2*Threshold + 1))
	records := table.Records(now)
	assert.Assert(t, table.Status(prompt(900, "aa"), now).Quarantined)
	assert.Assert(t, other.Merge(records, now))
	assert.Assert(t, other.KnowsCompletion(records))
	table.Merge(other.Records(now), now)
	assert.Assert(t, !table.Status(prompt(900, "aa"), now).Quarantined)
	assert.Assert(t, table.Status(prompt(901, "aa", "bad0"), now).Quarantined)
}

// A trial of a part must not run with a request that another trait may crash: it would be
// blamed for the crash, and not be repeated.
func TestTrialRunsWithoutOtherSuspects(t *testing.T) {
	table := New()
	for n := range Threshold {
		table.RecordCrash(prompt(n, "aa"), crashOf(n))
	}
	table.RecordCrash(prompt(50, "cc"), crashOf(Threshold))
	now := at(1000 * 60)
	assert.Assert(t, !table.Trial(prompt(900, "aa", "cc"), now))
	assert.Assert(t, table.Trial(prompt(901, "aa"), now))
}

// A part must be quarantined rather than requests with it that come repeatedly, although
// correlated crashes leave it with no more that count separately.
func TestPartIsQuarantinedBeforeItsRequests(t *testing.T) {
	table := New()
	for n := range Threshold {
		for m := range 3 { // endpoints that crash at the same time
			o := crashOf(n)
			o.Endpoint = fmt.Sprint("e", n, "/", m)
			table.RecordCrash(prompt(m, "bad"), o)
		}
	}
	now := at(1000 * Threshold)
	s := table.Status(prompt(900, "bad"), now)
	assert.Assert(t, s.Quarantined)
	assert.Equal(t, prompt(900, "bad").PartName(s.Trait), "bad")
}

// An endpoint that has been responding for OnsetTime must clear the parts of the prompt, in
// all processes, but not the request.
func TestOnsetClearsParts(t *testing.T) {
	table, other := New(), New()
	request := prompt(0, "aa")
	for n := range Threshold {
		table.RecordCrash(request, crashOf(n))
		table.RecordCrash(prompt(50+n, "aa"), crashOf(10+n))
	}
	now := at(1000 * 20)
	other.Merge(table.Records(now), now)
	assert.Assert(t, other.Status(prompt(900, "aa"), now).Quarantined)
	assert.Assert(t, table.RecordOnset(request, now))
	assert.Assert(t, !table.Status(prompt(900, "aa"), now).Suspected())
	assert.Assert(t, table.Status(request, now).Suspected())
	other.Merge(table.Records(now), now)
	assert.Assert(t, !other.Status(prompt(900, "aa"), now).Suspected())
}
