// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mintlift/mintlift/platform/storetest"
)

// Times of the second case.
const (
	interval  = 80 * time.Millisecond // between two requests
	caseTime  = 8 * time.Second
	noticeAt  = 3 * time.Second
	goneAfter = 2 * time.Second // from the notice
)

// crashWhileLeaving: a runner says that it is draining, and is gone two seconds later, amid
// answers without a length.
func crashWhileLeaving(w *world) int {
	var runners []*childRunner
	for n, zone := range []string{"mvd-a", "slt-a", "mld-a"} {
		r := w.startChildRunner(fmt.Sprintf("i-%08x", 0x7a100+n), w.ip(50+n)+":8744", zone, "unframed")
		r.beat("ready", nil)
		runners = append(runners, r)
	}
	w.put(storetest.Operator, "config", plainConfiguration())
	w.startGateway(1, "mvd-a", nil)
	w.awaitReady(1)
	var group sync.WaitGroup
	var broken atomic.Int64
	group.Go(func() {
		for n := range int(caseTime / interval) {
			group.Go(func() {
				if plainRequest(w, n) {
					broken.Add(1)
				}
			})
			time.Sleep(interval)
		}
	})
	stopBeats := make(chan struct{})
	for _, r := range runners[1:] {
		go func() {
			for {
				select {
				case <-stopBeats:
					return
				case <-time.After(1200 * time.Millisecond):
					r.beat("ready", nil)
				}
			}
		}()
	}
	time.Sleep(noticeAt)
	runners[0].beat("draining", nil)
	w.note("store: %s is draining, acknowledged", runners[0].id)
	time.Sleep(goneAfter)
	if w.trouble {
		_ = runners[0].cmd.Process.Signal(syscall.SIGKILL)
		<-runners[0].exited
		w.note("%s is gone: SIGKILL", runners[0].id)
	}
	group.Wait()
	close(stopBeats)
	return int(broken.Load())
}

// plainRequest sends a request without a body, and returns whether its answer breaks MIXED.
func plainRequest(w *world, n int) (broken bool) {
	method, path := http.MethodPost, "/proof/1"
	if n%2 == 0 {
		method, path = http.MethodGet, "/page/1"
	}
	id := fmt.Sprintf("%016x", uint64(0x9c41d07be2a30000)+uint64(n))
	q, err := http.NewRequest(method, "http://"+w.ip(1)+":8005"+path, nil)
	if err != nil {
		return false
	}
	q.Host = "h.example"
	q.Header.Set(requestID, id)
	q.Header.Set("X-Mintlift-Deadline-Ms", "3000")
	q.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 5 * time.Second}
	w.note("client: %s %s %s is sent", id, method, path)
	response, err := client.Do(q)
	if err != nil {
		w.note("client: %s: %v", id, err)
		return false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	w.note("client: %s gets %d, signature %q, length %d, %d bytes, error %v", id, response.StatusCode, response.Header.Get(seal), response.ContentLength, len(body), err)
	if response.StatusCode/100 != 2 || err != nil || string(body) == wholeBody(id, answerSize) {
		return false
	}
	w.note("MIXED: %s is a success whose body is not the runner's whole body: %d of %d bytes", id, len(body), answerSize)
	return true
}
