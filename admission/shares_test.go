// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Parameters of the simulated service.
const (
	shareHold = 1380 // ms for which a request holds a slot
	shareWait = 100  // ms for which a request waits for a slot
)

// asker is a workspace with its load in requests per second.
type asker struct {
	urgency Urgency
	name    string
	rate    float64
}

// shareResult holds the requests of a workspace, and how many were put back.
type shareResult struct{ asked, served, putBack float64 }

// share returns how often the requests were served.
func (r *shareResult) share() float64 { return r.served / max(r.asked, 1) }

// add adds the requests of another workspace.
func (r *shareResult) add(o *shareResult) {
	r.asked, r.served, r.putBack = r.asked+o.asked, r.served+o.served, r.putBack+o.putBack
}

// shareService is a service with slots whose requests arrive at random.
type shareService struct {
	controllers []Controller // of the gateways
	// common is set if the gateways do not tell workspaces apart.
	common  bool
	random  *rand.Rand
	slots   int
	ends    []int // of the requests that hold slots, in ms
	waiting []shareRequest
	now     int // ms
	results map[string]*shareResult
}

// shareRequest is a request that waits.
type shareRequest struct {
	asker
	controller *Controller
	over       bool
	at         int // ms
}

// workspace returns the workspace of an asker, as gateways see it.
func (s *shareService) workspace(a asker) string {
	if s.common {
		return ""
	}
	return a.name
}

// newShareService returns a service with a capacity in requests per second, and gateways.
func newShareService(capacity float64, gateways int, seed uint64) *shareService {
	return &shareService{controllers: make([]Controller, gateways), random: rand.New(rand.NewPCG(seed, 0)), slots: int(math.Round(capacity * shareHold / 1000)), results: map[string]*shareResult{}}
}

// run offers the load of askers for a time in ms, and returns the results by workspace.
func (s *shareService) run(askers []asker, length int) map[string]*shareResult {
	s.results = map[string]*shareResult{}
	total := 0.0
	for _, a := range askers {
		s.results[a.name] = &shareResult{}
		total += a.rate
	}
	for end := s.now + length; s.now < end; s.now++ {
		for len(s.ends) > 0 && s.ends[0] <= s.now {
			s.ends = s.ends[1:]
		}
		if draw := 1000 * s.random.Float64(); draw < total {
			next := 0
			for ; next < len(askers)-1 && draw >= askers[next].rate; next++ {
				draw -= askers[next].rate
			}
			a := askers[next]
			c := &s.controllers[s.random.IntN(len(s.controllers))]
			s.waiting = append(s.waiting, shareRequest{a, c, c.OverShare(a.urgency, s.workspace(a), ms(s.now)), s.now})
		}
		for s.serveNext() {
		}
		kept := s.waiting[:0]
		for _, r := range s.waiting {
			if s.now-r.at < shareWait {
				kept = append(kept, r)
				continue
			}
			s.decide(r, false)
		}
		s.waiting = kept
	}
	return s.results
}

// serveNext serves the request that is first in order, and reports whether there was one
// that may use a slot.
func (s *shareService) serveNext() bool {
	next := -1
	for i, r := range s.waiting {
		reserve := 0.0
		if r.over {
			reserve = r.controller.ShareReserve(r.urgency, s.slots, ms(s.now))
		}
		if float64(len(s.ends)+1) > float64(s.slots)-reserve {
			continue
		}
		if next < 0 || r.urgency.Compare(s.waiting[next].urgency) < 0 || r.urgency == s.waiting[next].urgency && s.waiting[next].over && !r.over {
			next = i
		}
	}
	if next < 0 {
		return false
	}
	s.decide(s.waiting[next], true)
	s.waiting = append(s.waiting[:next], s.waiting[next+1:]...)
	s.ends = append(s.ends, s.now+shareHold-50+s.random.IntN(100))
	for i := len(s.ends) - 1; i > 0 && s.ends[i] < s.ends[i-1]; i-- {
		s.ends[i], s.ends[i-1] = s.ends[i-1], s.ends[i]
	}
	return true
}

// decide counts a request.
func (s *shareService) decide(r shareRequest, sent bool) {
	result := s.results[r.name]
	if result == nil {
		result = &shareResult{}
		s.results[r.name] = result
	}
	result.asked++
	now := ms(s.now)
	if sent {
		result.served++
		r.controller.RecordSent(r.urgency, now)
	} else {
		r.controller.RecordRefused(r.urgency, now)
	}
	if r.over {
		result.putBack++
	}
	r.controller.RecordAttempt(r.urgency, Attempt{Workspace: s.workspace(r.asker), Sent: sent, OverShare: r.over}, now)
}

// askersAlike returns n workspaces of urgency middle that ask alike.
func askersAlike(n int, total float64) (list []asker) {
	for i := range n {
		list = append(list, asker{middle, fmt.Sprint("w", i), total / float64(n)})
	}
	return list
}

// sumShares returns the sum of all results but that of one workspace.
func sumShares(results map[string]*shareResult, except string) *shareResult {
	sum := &shareResult{}
	for name, r := range results {
		if name != except {
			sum.add(r)
		}
	}
	return sum
}

// Load: of 20 workspaces, one asks ten times its share and the others nine tenths of theirs,
// which is 1.35 times the capacity. Guards against others that are served less than 0.9
// times as often as without the flood; against a hot workspace that gets less than its
// share, or is served less than a quarter as often as all; and against slots that stay
// idle, in comparison with gateways that do not tell workspaces apart.
func TestWorkspaceAsksTenTimesItsShare(t *testing.T) {
	const capacity = 150
	calm := askersAlike(20, 0.9*capacity)
	flood := append([]asker{{middle, "w0", capacity / 2}}, calm[1:]...)
	for _, gateways := range []int{1, 10, 20} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d gateways, seed %d", gateways, seed), func(t *testing.T) {
				run := func(list []asker, common bool) map[string]*shareResult {
					s := newShareService(capacity, gateways, seed)
					s.common = common
					s.run(list, 5000)
					return s.run(list, 60000)
				}
				before, got, equal := sumShares(run(calm, false), ""), run(flood, false), sumShares(run(flood, true), "")
				hot, others, all := got["w0"], sumShares(got, "w0"), sumShares(got, "")
				t.Logf("others %.3f, before %.3f; hot %.3f; served %.3f of the capacity, %.3f without shares",
					others.share(), before.share(), hot.share(), all.served/60/capacity, equal.served/60/capacity)
				assert.Check(t, others.share() >= 0.9*before.share(), "%.3f, before %.3f", others.share(), before.share())
				assert.Check(t, hot.served >= 0.95*60*capacity/20, "%.0f", hot.served)
				assert.Check(t, hot.share() >= 0.25*all.share(), "%.3f, all %.3f", hot.share(), all.share())
				assert.Check(t, all.served >= 0.97*equal.served, "%.0f, %.0f without shares", all.served, equal.served)
				for name, r := range got {
					assert.Check(t, name == "w0" || r.share() >= 0.9*before.share(), "%s: %.3f", name, r.share())
				}
			})
		}
	}
}

// Load: 2, 20 and 200 workspaces ask alike, 1.3 times the capacity, with gateways of three
// sizes. Guards against requests that are put back because counts of a few requests vary.
func TestWorkspacesAskAlike(t *testing.T) {
	const capacity = 150
	for _, gateways := range []int{1, 10, 40} {
		for _, n := range []int{2, 20, 200} {
			t.Run(fmt.Sprintf("%d gateways, %d workspaces", gateways, n), func(t *testing.T) {
				s := newShareService(capacity, gateways, 1)
				all := sumShares(s.run(askersAlike(n, 1.3*capacity), 120000), "")
				t.Logf("put back %.5f, served %.3f of the capacity", all.putBack/all.asked, all.served/120/capacity)
				assert.Check(t, all.putBack <= 0.02*all.asked, "%.4f", all.putBack/all.asked)
			})
		}
	}
}

// Load: a hot workspace asks as the others do from one second to the next, while all still
// ask 1.3 times the capacity. Guards against one that goes on paying for its earlier requests.
func TestHotWorkspaceStops(t *testing.T) {
	const capacity = 100
	list := askersAlike(20, 1.3*capacity)
	flood := append([]asker{{middle, "w0", capacity}}, list[1:]...)
	stopped, others := &shareResult{}, &shareResult{}
	for seed := range uint64(8) {
		s := newShareService(capacity, 1, seed)
		assert.Check(t, s.run(flood, 10000)["w0"].putBack > 0)
		s.run(list, 4000)
		got := s.run(list, 30000)
		stopped.add(got["w0"])
		others.add(sumShares(got, "w0"))
	}
	t.Logf("put back %.4f, others %.4f; served %.3f, others %.3f", stopped.putBack/stopped.asked, others.putBack/others.asked, stopped.share(), others.share())
	assert.Check(t, stopped.putBack <= 0.02*stopped.asked, "%+v", stopped)
	assert.Check(t, stopped.share() >= 0.9*others.share(), "%+v", stopped)
}

// Load: each of thousands of workspaces sends one request, without and with one that sends
// many. Guards against state that grows with the number of workspaces, against workspaces
// that are over their share with a single request, and against a flood that hides among them.
func TestThousandsOfWorkspaces(t *testing.T) {
	c := &Controller{}
	putBack, hot := 0, 0
	for i := range 20000 {
		now := ms(2 * i)
		name := fmt.Sprint(i)
		if i >= 10000 && i%4 == 0 {
			name = "hot"
		}
		over := c.OverShare(middle, name, now)
		switch {
		case over && name == "hot":
			hot++
		case over:
			putBack++
		}
		sent := i%4 != 1
		if sent {
			c.RecordSent(middle, now)
		} else {
			c.RecordRefused(middle, now)
		}
		c.RecordAttempt(middle, Attempt{Workspace: name, Sent: sent, OverShare: over}, now)
		assert.Assert(t, len(c.classes[0].shares.workspaces) <= maxWorkspaces)
		assert.Assert(t, len(c.classes[0].shares.changes) <= maxShareChanges)
	}
	assert.Equal(t, putBack, 0)
	assert.Assert(t, hot > 2000, "%d of 2500", hot)
	s := &c.classes[0].shares
	total := s.others.total()
	for _, d := range s.workspaces {
		total += d.total()
	}
	assert.Assert(t, total > 700 && total < 800, "%.0f requests of 500 per second in 1.5 s", total)
}

// Load: the same workspace floods both of two urgencies, and another asks little in each;
// the urgent requests alone exceed the capacity half of the time. Guards against a
// workspace that is over its share in one urgency and is put back in the other one, where
// all are served.
func TestSharesOfTwoUrgencies(t *testing.T) {
	c := &Controller{}
	record := func(u Urgency, name string, sent bool, now time.Time) {
		if sent {
			c.RecordSent(u, now)
		} else {
			c.RecordRefused(u, now)
		}
		c.RecordAttempt(u, Attempt{Workspace: name, Sent: sent}, now)
	}
	for i := range 1000 {
		now := ms(3 * i)
		record(urgent, "hot", i%2 == 0, now)
		record(least, "hot", true, now)
		if i%10 == 0 {
			record(urgent, "other", true, now)
			record(least, "other", true, now)
		}
	}
	now := ms(3000)
	assert.Check(t, c.OverShare(urgent, "hot", now))
	assert.Check(t, !c.OverShare(urgent, "other", now))
	assert.Check(t, !c.OverShare(least, "hot", now))
	assert.Check(t, !c.OverShare(middle, "hot", now), "no requests of this urgency")
}

// Load: twice the capacity from a single workspace, or from requests without a workspace.
// Guards against a workspace that is put back, and so leaves slots free, where there is no
// other.
func TestSingleWorkspaceIsNeverOverItsShare(t *testing.T) {
	for _, name := range []string{"w", ""} {
		s := newShareService(30, 1, 1)
		assert.Equal(t, s.run([]asker{{middle, name, 60}}, 20000)[name].putBack, 0.0)
	}
}

// Load: one workspace asks 1.2 times the capacity and another asks only now and then.
// Guards against a reserve or an order that leaves slots idle while nobody else wants them.
func TestIdleSharesGoToWorkspaceThatAsksForMore(t *testing.T) {
	served := func(common bool) float64 {
		s := newShareService(30, 1, 1)
		s.common = common
		return sumShares(s.run([]asker{{middle, "hot", 36}, {middle, "other", 0.5}}, 60000), "").served
	}
	got, without := served(false), served(true)
	assert.Check(t, got >= 0.98*without, "%.0f, %.0f without shares", got, without)
}

// Load: a flood that is served in full. Guards against shares that are enforced while
// nothing is scarce.
func TestNobodyIsOverItsShareWithoutScarcity(t *testing.T) {
	s := newShareService(100, 1, 1)
	got := s.run(append(askersAlike(19, 15), asker{middle, "hot", 60}), 30000)
	assert.Equal(t, got["hot"].putBack, 0.0)
}

// Load: all workspaces of a class go over their shares one after the other. Guards against
// log lines without a bound, and against one for the end of a flood that is missing.
func TestShareChangesAreBounded(t *testing.T) {
	s := newShareService(100, 1, 1)
	list := append(askersAlike(19, 80), asker{middle, "hot", 100})
	s.run(list, 5000)
	first := s.controllers[0].ShareChanges(ms(s.now))
	assert.Assert(t, len(first) > 0 && len(first) <= maxShareChanges)
	assert.Equal(t, first[0].Workspace, "hot")
	assert.Check(t, first[0].Over && first[0].Asked > first[0].Share && first[0].TotalSent > 0 && first[0].Workspaces > 1, "%+v", first[0])
	s.run(list[:19], 500)
	assert.Equal(t, len(s.controllers[0].ShareChanges(ms(s.now))), 0, "within a second")
	s.run(list[:19], 9500)
	last := s.controllers[0].ShareChanges(ms(s.now))
	assert.Assert(t, len(last) > 0)
	assert.Equal(t, last[0].Workspace, "hot")
	assert.Check(t, !last[0].Over)
	s.controllers[0].shareChangesAt = time.Time{}
	k := s.controllers[0].classes[0]
	for range 3 * maxShareChanges {
		k.shares.addChange(ShareChange{})
	}
	many := s.controllers[0].ShareChanges(ms(s.now))
	assert.Equal(t, len(many), maxShareChanges)
	assert.Equal(t, many[maxShareChanges-1].Omitted, 2*maxShareChanges)
}

// Guards against a share at which more or fewer requests are served than are available.
func TestMaxMinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 10), 0, 20).Draw(t, "demands")
		total, served := 0.0, 0.0
		for _, d := range demands {
			total += d
		}
		available := rapid.Float64Range(0, 1.2).Draw(t, "available") * total
		share := maxMinShare(demands, available)
		for _, d := range demands {
			served += min(d, share)
		}
		assert.Assert(t, math.Abs(served-min(available, total)) < 1e-9, "share %v: served %v of %v, demand %v", share, served, available, total)
	})
}

// BenchmarkRecordAttempt measures the cost of a request with more workspaces than are
// counted one by one.
func BenchmarkRecordAttempt(b *testing.B) {
	c := &Controller{}
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		c.RecordSent(middle, now)
		c.RecordAttempt(middle, Attempt{Workspace: names[i%1000], Sent: true}, now)
		c.OverShare(middle, names[i%1000], now)
	}
}
