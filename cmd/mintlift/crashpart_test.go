// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/storetest"
)

const (
	// partCrashThreshold is the number of crashes after which requests with a prompt part
	// that crashes engines must be rejected.
	partCrashThreshold = 5
	// maxPartCrashes bounds the crashes of one prompt part.
	maxPartCrashes = partCrashThreshold + maxCrashesAfterPropagation
	// partRestartDelay is the duration from a crash of an engine to its restart.
	partRestartDelay = 2500 * time.Millisecond
	// leastSoundRequests is the number of sound requests whose served share tells something.
	leastSoundRequests = 20
	// soundEvents is the number of events of a sound stream, soundEventInterval apart.
	soundEvents        = 6
	soundEventInterval = 60 * time.Millisecond
)

// crashPoint is how much of a response an engine sends before it crashes.
type crashPoint string

const (
	crashBeforeHead  crashPoint = "before the head"
	crashAfterHead   crashPoint = "after the head"
	crashInsideEvent crashPoint = "inside an event"
	crashAfterEvent  crashPoint = "after an event"
)

// partEngine is an engine that crashes when it begins to respond to crashingBody, or to a
// prompt with one of the bad parts.
type partEngine struct {
	crashingEngine
	run *partRun
}

// partRun is a run of gateways and engines in which prompt parts crash engines.
type partRun struct {
	*engineDeployment
	badParts []string
	point    crashPoint
	// unframed reports that responses have neither a length nor chunks, and end with their
	// connection.
	unframed bool
	traffic  partTraffic

	mu      sync.Mutex
	engines []*partEngine
	// received are the times at which engines received requests with each bad part.
	received map[string][]time.Time
	// crashedBy holds the times of the crashes by each bad part.
	crashedBy map[string][]time.Time
	sound     []soundResult
}

// soundResult is the result of a request that crashes no engine.
type soundResult struct {
	sent   time.Time
	served bool
}

// start starts gateways and engines, and waits until all gateways serve.
func (p *partRun) start(t *testing.T, gateways, engines int) {
	t.Helper()
	p.received, p.crashedBy = make(map[string][]time.Time), make(map[string][]time.Time)
	p.engineDeployment = startEnginesWith(t, newMemoryNetwork(), gateways, engines, func(d *engineDeployment, t *testing.T, ip, store string) {
		e := &partEngine{run: p}
		e.crashingEngine = crashingEngine{deployment: d, address: ip + ":8320", handler: e, restartDelay: partRestartDelay}
		assert.NilError(t, e.start())
		t.Cleanup(e.stop)
		p.engines = append(p.engines, e)
		startSidecarOn(t, d.on(ip), ip, store, e.address)
	})
}

// badPart returns the bad part in the header of a prompt, or "".
func (p *partRun) badPart(header string) string {
	for _, part := range p.badParts {
		if strings.Contains(header, part+":") {
			return part
		}
	}
	return ""
}

// ServeHTTP implements http.Handler.
func (e *partEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		e.crashingEngine.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p := e.run
	bad := p.badPart(r.Header.Get(platform.Headers().PromptParts))
	if bad != "" {
		p.mu.Lock()
		p.received[bad] = append(p.received[bad], time.Now())
		p.mu.Unlock()
	}
	h := w.Header()
	h.Set(platform.Headers().RequestID, r.Header.Get(platform.Headers().RequestID))
	h.Set(platform.Headers().Seal, "seal")
	h.Set("Content-Type", "text/event-stream")
	if p.unframed {
		h.Set("Transfer-Encoding", "identity")
	}
	control := http.NewResponseController(w)
	if bad != "" || string(body) == crashingBody {
		time.Sleep(p.traffic.crashDelay)
		switch p.point {
		case crashAfterHead:
			_ = control.Flush()
		case crashInsideEvent:
			_, _ = io.WriteString(w, "id: 1\nda")
			_ = control.Flush()
		case crashAfterEvent:
			_, _ = io.WriteString(w, "id: 1\ndata: token\n\n")
			_ = control.Flush()
		}
		if e.crash() && bad != "" {
			p.mu.Lock()
			p.crashedBy[bad] = append(p.crashedBy[bad], time.Now())
			p.mu.Unlock()
		}
		panic(http.ErrAbortHandler)
	}
	for n := range soundEvents {
		time.Sleep(soundEventInterval)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n+1)
		_ = control.Flush()
	}
}

// sendParts sends a request with a prompt of the given parts to a gateway, and returns
// whether it was served completely.
func (p *partRun) sendParts(n int, body, parts string) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.gateways[n%len(p.gateways)]+"/s/x", strings.NewReader(body))
	if err != nil {
		return false
	}
	names := platform.Headers()
	r.Host = "h.example"
	r.Header.Set(names.RequestID, fmt.Sprintf("id-%d-%s", n, body))
	r.Header.Set(names.Deadline, "2500")
	r.Header.Set(names.PromptParts, parts)
	response, err := p.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && strings.Count(string(text), "data:") == soundEvents
}

// partTraffic is the traffic of a partRun.
type partTraffic struct {
	soundRate, badRate int // requests per second
	// sharedEvery is n if every n-th sound request has the first part of all bad ones.
	sharedEvery int
	// badPosition is the position of the bad part, from 0 on. The parts before it are
	// shared with sound requests.
	badPosition int
	crashDelay  time.Duration // from the start of a bad request to the crash
	// otherCrashes is the mean time between crashes that no request causes; 0 for none.
	otherCrashes time.Duration
}

// usualPartTraffic is the traffic of most runs.
var usualPartTraffic = partTraffic{soundRate: 80, badRate: 10, sharedEvery: 4, badPosition: 1, crashDelay: crashDelay}

// sharedFirstPart is the first part of the prompts of all bad requests, unless that is the
// bad one, and of some sound ones.
const sharedFirstPart = "f1f1f1f1"

// badPrompt returns the parts of the n-th bad request.
func (p *partRun) badPrompt(n int, part string) string {
	parts := []string{sharedFirstPart, fmt.Sprintf("b%07x", n%200), fmt.Sprintf("d%07x", n)}
	parts = slices.Insert(parts, p.traffic.badPosition, part)
	return strings.Join(parts, ":40,") + ":77"
}

// sendTraffic sends sound requests for d, and bad ones from badAfter on.
func (p *partRun) sendTraffic(d, badAfter time.Duration) {
	began := time.Now()
	interval := time.Second / time.Duration(p.traffic.soundRate)
	var requests sync.WaitGroup
	bad := 0
	nextCrash := p.traffic.otherCrashes
	for n := 0; time.Since(began) < d; n++ {
		first := sharedFirstPart
		shares := n%p.traffic.sharedEvery == 0
		if !shares {
			first = fmt.Sprintf("a%07x", rand.IntN(20))
		}
		requests.Go(func() {
			result := soundResult{sent: time.Now()}
			result.served = p.sendParts(n, fmt.Sprint("sound-", n), fmt.Sprintf("%s:40,b%07x:300,c%07x:77", first, rand.IntN(200), n))
			if shares {
				p.mu.Lock()
				p.sound = append(p.sound, result)
				p.mu.Unlock()
			}
		})
		for ; time.Since(began) >= badAfter+time.Duration(bad)*time.Second/time.Duration(p.traffic.badRate); bad++ {
			part := p.badParts[bad%len(p.badParts)]
			requests.Go(func() {
				p.sendParts(bad, fmt.Sprint("bad-", bad), p.badPrompt(bad, part))
			})
		}
		if nextCrash > 0 && time.Since(began) >= nextCrash {
			p.engines[rand.IntN(len(p.engines))].crash()
			nextCrash += time.Duration(rand.ExpFloat64() * float64(p.traffic.otherCrashes))
		}
		time.Sleep(interval)
	}
	requests.Wait()
}

// servedShare returns the share of the sound requests sent in a period that were served, and
// the number of those sent.
func (p *partRun) servedShare(from, to time.Time) (share float64, sent int) {
	served := 0
	for _, s := range p.sound {
		if s.sent.Before(from) || s.sent.After(to) {
			continue
		}
		sent++
		if s.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1)), sent
}

// badPartNames returns the names of count bad parts.
func badPartNames(count int) []string {
	var out []string
	for n := range count {
		out = append(out, fmt.Sprintf("bad0000%x", n))
	}
	return out
}

// checkPartQuarantine sends sound requests, and requests with bad parts, no two of them
// alike, to all gateways in turn. It checks that few engines crash, and that sound requests
// with the same first part are served.
func checkPartQuarantine(t *testing.T, p *partRun, gateways, engines int) {
	t.Helper()
	p.start(t, gateways, engines)
	const badAfter = 4 * time.Second
	began := time.Now()
	p.sendTraffic(20*time.Second, badAfter)
	before, _ := p.servedShare(began, began.Add(badAfter))
	for _, part := range p.badParts {
		crashes := p.crashedBy[part]
		t.Logf("part %s: %d requests received, %d engines have crashed", part, len(p.received[part]), len(crashes))
		// An engine that runs requests with several bad parts crashes because of one of them.
		assert.Assert(t, len(crashes) > 0 && len(p.received[part]) >= crashThreshold, "%d crashes, %d requests received", len(crashes), len(p.received[part]))
		assert.Check(t, len(crashes) <= maxPartCrashes, "%d engines have crashed", len(crashes))
		last := crashes[min(len(crashes), partCrashThreshold)-1]
		late := 0
		for _, at := range p.received[part] {
			if at.Sub(last) > propagationTimeout {
				late++
			}
		}
		assert.Check(t, late <= maxCrashesAfterPropagation, "%d requests received later than %s", late, propagationTimeout)
		share, sent := p.servedShare(last.Add(2*propagationTimeout), time.Now())
		t.Logf("%d late; sound requests served: %.2f before, %.2f after", late, before, share)
		assert.Check(t, sent >= leastSoundRequests, "%d sound requests", sent)
		assert.Check(t, share >= 0.95*before, "sound requests served: %.2f before, %.2f after", before, share)
	}
}

// Guards against prompt parts that crash each engine which begins to respond: the requests
// that have one in common differ in all else, and arrive at all gateways.
func TestCrashingPromptPartIsQuarantined(t *testing.T) {
	for _, test := range []struct {
		gateways, engines, parts int
		unframed                 bool
	}{
		{1, 8, 1, false}, {3, 12, 1, false}, {3, 12, 1, true}, {9, 24, 1, false}, {3, 24, 3, false}, {20, 40, 1, false}, {20, 40, 3, true},
	} {
		t.Run(fmt.Sprintf("%d gateways, %d engines, %d parts, unframed %t", test.gateways, test.engines, test.parts, test.unframed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := &partRun{badParts: badPartNames(test.parts), point: crashBeforeHead, unframed: test.unframed, traffic: usualPartTraffic}
				checkPartQuarantine(t, p, test.gateways, test.engines)
			})
		})
	}
}

// Guards against a crash that is taken for the end of a response without length: the
// request that caused it must be quarantined, and its response must not look complete.
func TestCrashDuringUnframedStreamIsDetected(t *testing.T) {
	const maxCrashes = 6
	for _, point := range []crashPoint{crashAfterHead, crashInsideEvent, crashAfterEvent} {
		t.Run(string(point), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := &partRun{point: point, unframed: true, traffic: usualPartTraffic}
				p.start(t, 3, 12)
				complete := 0
				for n := range 60 {
					if status, _ := p.sendForHeader(n, crashingBody); status == http.StatusOK {
						complete++
					}
					time.Sleep(100 * time.Millisecond)
				}
				assert.Check(t, len(p.crashTimes()) <= maxCrashes, "%d engines have crashed", len(p.crashTimes()))
				assert.Check(t, complete == 0, "%d responses looked complete", complete)
			})
		})
	}
}

// Guards against a lost quarantine: it must hold without the store, at gateways and after a
// restart of the gateway that detected the crashes.
func TestPartQuarantineHoldsWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &partRun{badParts: badPartNames(1), point: crashBeforeHead, traffic: usualPartTraffic}
		p.start(t, 3, 12)
		p.store.Change(func(f *storetest.Faults) { f.Unresponsive = map[string]bool{"": true} })
		for n := range 60 {
			p.sendParts(n, fmt.Sprint("bad-", n), p.badPrompt(n, p.badParts[0]))
			time.Sleep(100 * time.Millisecond)
		}
		crashes := len(p.crashTimes())
		assert.Assert(t, crashes >= crashThreshold && crashes <= maxPartCrashes, "%d engines have crashed", crashes)
	})
}
