// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/mintlift/mintlift/internal/daycheck"
	"github.com/mintlift/mintlift/platform"
)

const (
	// dayFirstPart is the first part of all prompts of a day.
	dayFirstPart = "f1"
	// badPartPrefix precedes the number of a bad part in its name.
	badPartPrefix = "badbad"
	// badRequestInterval is the time between two requests with a bad part.
	badRequestInterval = 150 * time.Millisecond
	// dayCrashDelay is the time from the start of a run with a bad part to the crash, and
	// dayRestartTime the time after which the endpoint runs again.
	dayCrashDelay  = 60 * time.Millisecond
	dayRestartTime = 700 * time.Millisecond
)

// ownPart returns the name of the last part of a prompt, that of one request alone.
func ownPart(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return fmt.Sprintf("%08x", h.Sum32())
}

// sendBadRequests sends requests with a bad part to all gateways in turn, no two of them
// alike.
func (d *dayRun) sendBadRequests(x trouble) {
	part := &daycheck.BadPart{Name: fmt.Sprintf("%s%x", badPartPrefix, x.N)}
	d.mu.Lock()
	d.badParts[part.Name] = part
	d.seen.BadParts = append(d.seen.BadParts, part)
	d.mu.Unlock()
	rng := rand.New(rand.NewPCG(d.Seed, uint64(x.N)))
	var all sync.WaitGroup
	for n := 0; n < int(x.For/badRequestInterval); n++ {
		p := &dayPlan{
			at: x.At + time.Duration(n)*badRequestInterval, gateway: n % d.Gateways, route: dayRoutes[0], events: 3 + rng.IntN(5),
			gap: 50 * time.Millisecond, deadline: 3 * time.Second, parts: dayFirstPart + ":40," + part.Name,
		}
		all.Go(func() { d.send(fmt.Sprintf("%d-%s-%d", d.Seed, part.Name, n), p) })
	}
	all.Wait()
}

// crashOnBadPart crashes the endpoint if the prompt has a bad part. It does not return then.
func (x *dayExchange) crashOnBadPart() {
	_, rest, _ := strings.Cut(x.r.Header.Get(platform.Headers().PromptParts), badPartPrefix)
	if rest == "" {
		return
	}
	name, _, _ := strings.Cut(rest, ":")
	x.day.mu.Lock()
	part := x.day.badParts[badPartPrefix+name]
	part.Received = append(part.Received, x.run.At) // it may have waited since
	x.day.mu.Unlock()
	x.sleep(dayCrashDelay)
	x.day.mu.Lock()
	part.Crashes = append(part.Crashes, time.Now())
	x.day.mu.Unlock()
	go x.crash(dayRestartTime)
	<-x.dead
	x.breakOff(daycheck.Broke)
}
