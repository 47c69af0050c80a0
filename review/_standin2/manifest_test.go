// SPDX-License-Identifier: Apache-2.0

package standin2

import (
	"fmt"
	"os"
	"time"

	"github.com/mintlift/mintlift/platform/storetest"
)

// spoiltManifest is case 4: new weights are named, all processes are killed right after the
// acknowledgement, and one answer of the origin arrives spoilt.
func spoiltManifest(w *world) verdict {
	w.listen(w.storeAddress(), w.store)
	w.origin = &origin{world: w}
	w.listen(w.originAddress(), w.origin)
	for n := range engineCount {
		w.addEngine(n)
	}
	w.configure(3, []route{{"stream", "streaming", engineName, 6000, 2}}, nil)
	for n := range gatewayCount {
		w.addDaemon("front", "gateway", fmt.Sprintf("front-%d", n), w.gatewayIP(n), w.zoneOf(n))
	}
	for n := range engineCount {
		w.addDaemon("side", "sidecar", fmt.Sprintf("side-%d", n), w.sideIP(n), w.zoneOf(n))
	}
	w.launchAll()
	w.awaitReady(15 * time.Second)
	stop := make(chan struct{})
	t := &traffic{}
	begun := time.Now()
	t.run(w, 20, func() request {
		return request{method: "POST", route: "stream", body: []byte("prompt"), deadline: 6 * time.Second}
	}, stop)
	time.Sleep(5 * time.Second)

	spoil, kill := w.trouble && os.Getenv("ONLY") != "kill", w.trouble && os.Getenv("ONLY") != "spoil"
	if spoil {
		w.origin.mu.Lock()
		w.origin.spoilManifests, w.origin.spoilVersion = 1, 2
		w.origin.mu.Unlock()
	}
	fault := time.Now()
	w.put(storetest.Operator, "version/"+modelName, map[string]any{"model": modelName, "version": 2})
	w.note("operator: version 2 named and acknowledged")
	if kill {
		w.killAll()
		w.note("all processes killed")
		time.Sleep(1300 * time.Millisecond)
		w.launchAll()
	}
	back := time.Now()
	w.note("all processes are back")
	time.Sleep(recovery + 20*time.Second)
	close(stop)
	t.group.Wait()
	sentBefore, servedBefore := t.between(begun, fault)
	sent, served := t.between(back.Add(recovery), time.Now())
	w.origin.mu.Lock()
	answers, spoilt := w.origin.answers, w.origin.spoilt
	w.origin.mu.Unlock()
	text := fmt.Sprintf("before the fault %d of %d served; later than %v after the processes were back %d of %d served; the origin spoilt %d of %d answers", servedBefore, sentBefore, recovery, served, sent, spoilt, answers)
	if sentBefore < 50 || 4*servedBefore < sentBefore {
		panic("not served before the fault: " + text)
	}
	return verdict{broken: 4*served < sent, text: text}
}
