// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/mintlift/mintlift/platform/storetest"
)

// childRunner is a runner that is a process of its own, so that it can be killed.
type childRunner struct {
	*process
	world   *world
	id      string
	address string
	zone    string
	stopped chan struct{}
	beats   int
}

// startChildRunner starts a runner of the service maqueta. mode is an argument of runChild.
func (w *world) startChildRunner(id, address, zone, mode string) *childRunner {
	r := &childRunner{world: w, id: id, address: address, zone: zone, stopped: make(chan struct{})}
	self, err := os.Executable()
	w.must(err)
	r.process = &process{name: id, cmd: exec.Command(self, "runner", id, address, mode), exited: make(chan struct{})}
	out, err := r.cmd.StdoutPipe()
	w.must(err)
	w.must(r.cmd.Start())
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		w.fail("runner %s doesn't start", id)
	}
	go func() {
		for lines.Scan() {
			w.countRun(lines.Text())
			w.note("%s", lines.Text())
		}
		_ = r.cmd.Wait()
		close(r.exited)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, r.process)
	w.mu.Unlock()
	w.note("runner %s starts at %s", id, address)
	return r
}

// countRun counts the runs that the lines of runners tell.
func (w *world) countRun(line string) {
	words := strings.Fields(line)
	if len(words) < 2 || words[1] != "runs" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = map[string]int{}
	}
	w.runs[words[0]]++
}

// runsOf returns how many requests a runner has run.
func (w *world) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// beat writes the runner's entry in the list, with further fields.
func (r *childRunner) beat(state string, more map[string]any) {
	r.beats++
	entry := map[string]any{"service": "maqueta", "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": r.beats}
	for k, v := range more {
		entry[k] = v
	}
	r.world.put(storetest.Endpoints, r.id, entry)
}

// Times of an answer of a child.
const (
	childWork  = 100 * time.Millisecond // until the first half of the answer
	childPause = 2200 * time.Millisecond
)

// runChild is the process of a runner. With mode "unframed" its answers have no length, and
// their second half comes after childPause; with mode "framed" they have one and come at once
// after childWork.
func runChild(id, address, mode string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Println("listening")
	r := &runner{id: id}
	r.serve = func(c *net.TCPConn, q *http.Request, _ *bufio.Reader) bool {
		request := q.Header.Get(requestID)
		fmt.Printf("%s runs %s %s %s\n", id, q.Method, q.URL, request)
		body := wholeBody(request, answerSize)
		time.Sleep(childWork)
		if mode == "framed" {
			answer(c, http.StatusOK, request, seal+": seal-of-"+id+"-"+request+"\r\n", body)
			fmt.Printf("%s ends its answer to %s, %d bytes\n", id, request, answerSize)
			return true
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-of-%s-%s\r\nConnection: close\r\n\r\n%s", requestID, request, seal, id, request, body[:answerSize/2])
		time.Sleep(childPause)
		_, _ = c.Write([]byte(body[answerSize/2:]))
		fmt.Printf("%s ends its answer to %s, %d bytes\n", id, request, answerSize)
		return false
	}
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(2)
		}
		go r.serveConn(c.(*net.TCPConn))
	}
}
