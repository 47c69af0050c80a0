// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// drawPartRun draws a run in which prompt parts crash engines, and its size.
func drawPartRun(seed uint64) (p *partRun, gateways, engines int) {
	r := rand.New(rand.NewPCG(seed, 0))
	among := func(n ...int) int { return n[r.IntN(len(n))] }
	p = &partRun{
		badParts: badPartNames(1 + r.IntN(3)),
		point:    []crashPoint{crashBeforeHead, crashAfterHead, crashInsideEvent, crashAfterEvent}[r.IntN(4)],
		unframed: r.IntN(2) == 0,
		traffic: partTraffic{
			soundRate: among(40, 80, 160), badRate: among(1, 3, 10, 20), sharedEvery: among(2, 4, 20, 80), badPosition: r.IntN(3),
			crashDelay: time.Duration(20+r.IntN(250)) * time.Millisecond,
		},
	}
	if r.IntN(3) == 0 {
		p.traffic.otherCrashes = time.Duration(500+r.IntN(2000)) * time.Millisecond
	}
	gateways = among(1, 2, 3, 5, 9, 14)
	return p, gateways, max(8, gateways) + r.IntN(20)
}

// MINTLIFT_PARTRUNS is the number of drawn runs, and MINTLIFT_PARTRUN the first seed.
func partRunSeeds() (first uint64, count int) {
	first, _ = strconv.ParseUint(os.Getenv("MINTLIFT_PARTRUN"), 10, 64)
	count, err := strconv.Atoi(os.Getenv("MINTLIFT_PARTRUNS"))
	if err != nil {
		count = 2
	}
	return first, count
}

// Guards against prompt parts that crash engines, in drawn deployments with drawn traffic.
// The bound on the crashes is that of the users' rule, with the requests that were in
// progress when a part reached its threshold.
func TestDrawnCrashingPromptParts(t *testing.T) {
	first, count := partRunSeeds()
	for n := range count {
		seed := first + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p, gateways, engines := drawPartRun(seed)
				t.Logf("%d gateways, %d engines, %d bad parts, crash %s, unframed %t, %+v", gateways, engines, len(p.badParts), p.point, p.unframed, p.traffic)
				p.start(t, gateways, engines)
				const badAfter = 4 * time.Second
				began := time.Now()
				p.sendTraffic(60*time.Second, badAfter) // a trial may cause the fifth crash
				before, _ := p.servedShare(began, began.Add(badAfter))
				for _, part := range p.badParts {
					p.checkPart(t, part, before)
				}
			})
		})
	}
}

// checkPart checks the rules on one bad part. before is the share of sound requests with
// the same first part that were served before there were bad requests.
func (p *partRun) checkPart(t *testing.T, part string, before float64) {
	t.Helper()
	crashes, received := p.crashedBy[part], p.received[part]
	assert.Assert(t, len(crashes) > 0)
	last := crashes[min(len(crashes), partCrashThreshold)-1]
	late := 0
	if len(crashes) >= partCrashThreshold {
		for _, at := range received {
			if at.Sub(last) > propagationTimeout {
				late++
			}
		}
	}
	share, sent := p.servedShare(last.Add(2*propagationTimeout), time.Now())
	t.Logf("part %s: %d received, %d crashes, %d late; sound requests served: %.2f before, %.2f after", part, len(received), len(crashes), late, before, share)
	assert.Check(t, late <= maxCrashesAfterPropagation, "%d requests received later than %s after the fifth crash", late, propagationTimeout)
	assert.Check(t, sent < leastSoundRequests || share >= before/2, "sound requests served: %.2f before, %.2f after", before, share)
}
