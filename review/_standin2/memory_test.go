// SPDX-License-Identifier: Apache-2.0

package standin2

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rss returns the resident memory of a process in MB.
func rss(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// memory is an experiment.
func memory(w *world) verdict {
	w.listen(w.storeAddress(), w.store)
	for n := range 6 {
		w.addPlain(n, 40, 4*time.Second)
	}
	w.addEngine(0)
	w.configure(3, []route{{"post", "unsafe", plainName, 6000, 1}}, nil)
	for n := range gatewayCount {
		w.addDaemon("front", "gateway", fmt.Sprintf("front-%d", n), w.gatewayIP(n), w.zoneOf(n))
	}
	w.launchAll()
	w.awaitReady(15 * time.Second)
	n, _ := strconv.Atoi(os.Getenv("N"))
	kb, _ := strconv.Atoi(os.Getenv("KB"))
	body := bytes.Repeat([]byte("x"), kb<<10)
	var group sync.WaitGroup
	most := 0
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				most = max(most, rss(w.daemons[0].cmd.Process.Pid))
			}
		}
	}()
	for range 3 {
		for range n {
			group.Go(func() { w.send(0, request{method: "POST", route: "post", body: body, deadline: 6 * time.Second}) })
			time.Sleep(20 * time.Millisecond)
		}
	}
	group.Wait()
	close(stop)
	return verdict{text: fmt.Sprint("most MB ", most)}
}
