// SPDX-License-Identifier: Apache-2.0

package standin2

import (
	"fmt"
	"os"
	"time"

	"github.com/mintlift/mintlift/platform/storetest"
)

// originLost is case 5: the origin is lost for good after all runners have got version 2,
// and later all processes are killed at the same moment.
func originLost(w *world) verdict {
	w.listen(w.storeAddress(), w.store)
	w.origin = &origin{world: w}
	w.listen(w.originAddress(), w.origin)
	originServer := w.servers[len(w.servers)-1]
	var engines []*runner
	for n := range engineCount {
		engines = append(engines, w.addEngine(n))
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
	t.run(w, 20, func() request {
		return request{method: "POST", route: "stream", body: []byte("prompt"), deadline: 6 * time.Second}
	}, stop)
	time.Sleep(3 * time.Second)
	w.put(storetest.Operator, "version/"+modelName, map[string]any{"model": modelName, "version": 2})
	w.note("operator: version 2 named and acknowledged")
	time.Sleep(12 * time.Second)
	for n, e := range engines {
		if v := e.engine.State().Version; v != 2 {
			panic(fmt.Sprintf("runner %d holds version %d", n, v))
		}
	}
	w.note("all runners hold version 2")
	if w.trouble && os.Getenv("ONLY") != "kill" {
		_ = originServer.Close()
		w.note("the origin is lost")
	}
	settled := time.Now()
	time.Sleep(6 * time.Second)
	fault := time.Now()
	if w.trouble && os.Getenv("ONLY") != "lost" {
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
	sentBefore, servedBefore := t.between(settled, fault.Add(-time.Second))
	sent, served := t.between(back.Add(recovery), time.Now())
	right := 0
	for _, e := range engines {
		if e.engine.State().Version == 2 && e.engine.StagedChunks(2) == chunkCount && len(e.engine.WrongTokens()) == 0 {
			right++
		}
	}
	text := fmt.Sprintf("before the fault %d of %d served; later than %v after the processes were back %d of %d served; %d of %d runners hold version 2 with all pieces right",
		servedBefore, sentBefore, recovery, served, sent, right, engineCount)
	if 4*servedBefore < sentBefore {
		panic("not served before the fault: " + text)
	}
	return verdict{broken: 4*served < sent, text: text}
}
