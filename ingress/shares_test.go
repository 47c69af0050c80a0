// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/admission"
	"github.com/mintlift/mintlift/slotgrant"
)

// evenShares returns the shares of n workspaces that ask alike, where the first one asks
// for extra times as much as the others together on top.
func evenShares(n int, extra float64) []float64 {
	var list []float64
	for range n {
		list = append(list, 1/float64(n)/(1+extra))
	}
	list[0] += extra / (1 + extra)
	return list
}

// servedShares holds the results of a simulated period: how often the workspace that floods
// and the others were answered, how often the others were in time, and how many requests
// the engines began, as a multiple of their capacity.
type servedShares struct{ hot, others, othersInTime, begun float64 }

// runShares offers a load by workspaces to several fleets, one after the other, and returns
// their mean results. With a common workspace, gateways do not tell the workspaces apart.
func runShares(t *testing.T, load float64, workspaces []float64, common bool) (mean servedShares) {
	const from, to = 3 * time.Second, 10 * time.Second
	runs := 2.0
	if raceDetector {
		runs = 1 // the simulation takes ten times as long
	}
	for range int(runs) {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(equalRoutes, 0)
			f.workspaces, f.commonWorkspace = workspaces, common
			f.run(load, to+time.Second)
			var hot, others, hotAnswered, answered, inTime, begun float64
			for _, r := range f.results {
				if at := r.at + r.latency; r.latency > 0 && at >= from && at < to {
					begun++
				}
				if r.at < from || r.at >= to {
					continue
				}
				switch {
				case r.workspace == 0:
					hot++
					if r.latency > 0 {
						hotAnswered++
					}
				default:
					others++
					if r.latency > 0 {
						answered++
					}
					if r.latency > 0 && r.latency <= f.routes[r.route].target {
						inTime++
					}
				}
			}
			mean.hot += hotAnswered / hot / runs
			mean.others += answered / others / runs
			mean.othersInTime += inTime / others / runs
			mean.begun += begun / (simCapacity * (to - from).Seconds()) / runs
		})
	}
	return mean
}

// Load: 21 workspaces ask alike, 0.9 of the capacity in all; then one of them floods, so
// that all ask 1.3 times the capacity. The last case is a flood beside workspaces that ask
// little. Guards against others that are served less than 0.9 times as often as without the
// flood, and against a total service that falls by more than a hundredth of the capacity,
// and one for random variation, in comparison with gateways that do not tell workspaces
// apart: slots kept free for nobody.
func TestFloodOfOneWorkspaceLeavesOthersTheirShares(t *testing.T) {
	for _, calm := range []float64{0.9, 0.2} {
		const load = 1.3
		flood := evenShares(21, load/calm-1)
		before := runShares(t, calm, evenShares(21, 0), false)
		without := runShares(t, load, flood, true)
		got := runShares(t, load, flood, false)
		t.Logf("others ask %.1f: before %.3f (in time %.3f), flood %.3f (%.3f), without shares %.3f (%.3f); flooding workspace %.3f, without shares %.3f; begun %.3f of the capacity, without shares %.3f",
			calm, before.others, before.othersInTime, got.others, got.othersInTime, without.others, without.othersInTime, got.hot, without.hot, got.begun, without.begun)
		assert.Check(t, got.others >= 0.9*before.others, "others %.3f, before %.3f", got.others, before.others)
		assert.Check(t, got.begun >= without.begun-0.02, "begun %.3f, without shares %.3f", got.begun, without.begun)
	}
}

// floodWorkspace records that half of the requests of one workspace were refused, among
// requests of another one that were all sent.
func floodWorkspace(s *Server, hot, other *exchange) {
	for n := range 40 {
		for _, x := range []*exchange{hot, other} {
			if x == other && n%10 > 0 {
				continue
			}
			x := *x
			x.refusal = refusalNoSlot
			s.recordDecision(&x, x.workspace == other.workspace || n%2 == 0)
		}
	}
}

// Load: one workspace floods a contended service, whose engines are full, while another
// asks little. Guards against requests of the flood that wait before others of the same
// urgency, at the gateway or at the sidecar, against requests of the other workspace or
// retries of started streams that are put back, against a flood that leaves no slot free for
// others, against any effect in a service that is
// not contended, and against a change that is not logged.
func TestRequestsOverShareWaitAfterOthers(t *testing.T) {
	for _, gateways := range []int{1, 2 * contendedSlots} {
		synctest.Test(t, func(t *testing.T) {
			var lines []string
			s := newContendedServer(1)
			reportLoad(s, "a", contendedSlots, gateways)
			s.events = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
			contended := gateways > contendedSlots
			hot, other := newContendedExchange(s), newContendedExchange(s)
			hot.workspace, other.workspace = "hot", "other"
			floodWorkspace(s, hot, other)
			time.Sleep(50 * time.Millisecond)
			floodWorkspace(s, hot, other)
			s.Maintain(time.Now())
			logged := strings.Contains(strings.Join(lines, "\n"), `"workspace share changed" "service"="engine" "priority"=0 "route_priority"=0 "workspace"="hot" "over"=true`)
			assert.Equal(t, logged, contended, "%q", lines)

			for range 5 { // the flood takes slots of the other workspace
				x := *other
				x.refusal = refusalNoSlot
				s.recordDecision(&x, false)
			}
			time.Sleep(400 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			now := time.Now()
			assert.Equal(t, s.putBackOverShare(hot, now), contended)
			assert.Equal(t, s.putBackOverShare(other, now), false)
			retry := *hot
			retry.attempts = 1
			assert.Equal(t, s.putBackOverShare(&retry, now), false)
			place := *hot
			place.hasPlace = true
			assert.Equal(t, s.putBackOverShare(&place, now), false)
			assert.Equal(t, s.attemptQuery(other, now).MaxLoad, float64(contendedSlots))
			maxLoad := s.attemptQuery(hot, now).MaxLoad
			assert.Check(t, maxLoad >= contendedSlots-1.001 && (maxLoad < contendedSlots-0.5) == contended, "hot workspace up to a load of %.2f", maxLoad)
			assert.Equal(t, s.attemptQuery(&retry, now).MaxLoad, float64(contendedSlots+retryExtraLoad))
		})
	}
}

// Guards against requests over their shares that wait after less urgent or late ones, or
// before those of the same urgency at another stage or due later.
func TestOverShareOrder(t *testing.T) {
	now := time.Now()
	due := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	urgency := func(p int) admission.Urgency { return admission.Urgency{Priority: p} }
	ranks := []rank{ // in the order in which they are served
		{urgency: urgency(0), overShare: true, stage: stageFirst, responseDue: due(5000)},
		{urgency: urgency(1), stage: stageFirst, responseDue: due(400)},
		{urgency: urgency(1), stage: stageFirst, responseDue: due(5000)},
		{urgency: urgency(1), overShare: true, stage: stageFirst, responseDue: due(100)},
		{urgency: urgency(2), stage: stageFirst, responseDue: due(100)},
		{late: true, urgency: urgency(0), stage: stageCallerRetry, responseDue: due(-4000)},
		{late: true, urgency: urgency(0), overShare: true, stage: stageCallerRetry, responseDue: due(-5000)},
	}
	gateway := func(n int) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1) }
	ledger := slotgrant.NewLedger(now)
	later := now.Add(200 * time.Millisecond)
	ledger.Observe(slotgrant.Observation{Running: contendedSlots - 1}, later, later)
	for i := range ranks {
		assert.Check(t, i == 0 || compareRank(ranks[i-1], ranks[i]) < 0, "rank %d", i)
		wish := slotgrant.Wish{Priority: ranks[i].wishPriority(), DueMS: ranks[i].wishDue(later).Milliseconds()}
		ledger.Request(gateway(i), slotgrant.Request{Number: 1, Slots: contendedSlots, Wishes: []slotgrant.Wish{wish}}, later)
	}
	for i := range ranks {
		ledger.Observe(slotgrant.Observation{Running: contendedSlots}, later, later)
		grants := ledger.Grants(later)
		assert.Equal(t, len(grants), 1, "grant %d", i)
		assert.Equal(t, grants[0].Gateway, gateway(i))
		later = later.Add(40 * time.Millisecond)
	}
}
