// SPDX-License-Identifier: Apache-2.0

package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mintlift/mintlift/platform/storetest"
)

// spotEvents is the number of events of a stream of a child runner, and spotGap the time
// between two: the streams last 4 s.
const (
	spotEvents = 40
	spotGap    = 100 * time.Millisecond
	spotSlots  = 16
)

// runRunner is a runner as a process of its own, with one argument: its address, and its id.
// Its answers to streams have neither a length nor chunks: they finish with the connection.
func runRunner(address, id string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCouldNot)
	}
	slots := make(chan struct{}, spotSlots)
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(exitCouldNot)
		}
		go serveSpot(c, id, slots)
	}
}

// serveSpot serves one request on a connection and closes it.
func serveSpot(c net.Conn, id string, slots chan struct{}) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	request := r.Header.Get("X-Mintlift-Request-Id")
	head := "X-Mintlift-Request-Id: " + request + "\r\nConnection: close\r\n"
	if expected := r.Header.Get("X-Mintlift-Expect-Instance"); expected != "" && expected != id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sX-Mintlift-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", head, id)
		return
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sX-Mintlift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Mintlift-Response-Seal: seal.%s.%s\r\nContent-Type: text/event-stream\r\n\r\n", head, id, request)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= spotEvents; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s %d\n\n", n, request, n); err != nil {
			return
		}
		if n < spotEvents {
			time.Sleep(spotGap)
		}
	}
}

// child is a runner that is a process of its own.
type child struct {
	runner *runner
	cmd    *exec.Cmd
}

// addChild starts a child runner of the plain service.
func (w *world) addChild(n int) *child {
	s := &runner{world: w, id: fmt.Sprintf("i-spot%02d", n), address: w.plainIP(n) + ":9000", service: plainName, zone: w.zoneOf(n), slots: make(chan struct{}, spotSlots)}
	cmd := exec.Command(os.Args[0], "runner", s.address+" "+s.id)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	c := &child{s, cmd}
	w.ends = append(w.ends, c.kill)
	return c
}

// kill kills the child.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	_, _ = c.cmd.Process.Wait()
}

// spot is case 7: a runner is taken away two seconds after it has announced that it leaves.
func spot(w *world) verdict {
	w.listen(w.storeAddress(), w.store)
	var children []*child
	for n := range plainCount {
		children = append(children, w.addChild(n))
	}
	time.Sleep(300 * time.Millisecond)
	for _, c := range children {
		c.runner.publish()
	}
	w.configure(3, []route{{"stream", "streaming", plainName, 12000, 2}}, nil)
	for n := range gatewayCount {
		w.addDaemon("front", "gateway", fmt.Sprintf("front-%d", n), w.gatewayIP(n), w.zoneOf(n))
	}
	w.launchAll()
	w.awaitReady(15 * time.Second)
	var group sync.WaitGroup
	stop := make(chan struct{})
	t := &traffic{}
	t.run(w, 5, func() request {
		return request{method: "POST", route: "stream", body: []byte("prompt"), deadline: 10 * time.Second}
	}, stop)
	time.Sleep(6 * time.Second)
	leaving := children[0]
	if w.trouble && os.Getenv("ONLY") != "gone" {
		entry := leaving.runner.entry()
		entry["state"] = "draining"
		w.put(storetest.Endpoints, leaving.runner.id, entry)
		w.note("runner %s says draining, acknowledged", leaving.runner.id)
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		leaving.kill()
		w.note("runner %s is gone", leaving.runner.id)
		group.Go(func() {
			time.Sleep(3 * 1200 * time.Millisecond) // three heartbeats
			w.store.Put(storetest.Endpoints, leaving.runner.id, "")
		})
	}
	time.Sleep(4 * time.Second)
	close(stop)
	t.group.Wait()
	group.Wait()
	short, whole, broken, other := 0, 0, 0, 0
	for _, a := range t.all {
		events := strings.Count(a.body, "\ndata: ")
		switch {
		case a.status == http.StatusOK && events < spotEvents:
			short++
			w.note("stream %s ended as complete after %d of %d events", a.id, events, spotEvents)
		case a.status == http.StatusOK:
			whole++
		case a.err != nil:
			broken++
		default:
			other++
		}
	}
	text := fmt.Sprintf("%d streams ended as complete before their last event; %d were whole, %d broke off, %d were refused or failed", short, whole, broken, other)
	if whole < 20 {
		panic("hardly served: " + text)
	}
	return verdict{broken: short > 0, text: text}
}
