// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mintlift/mintlift/platform/storetest"
)

// Names of the platform's headers.
const (
	requestID      = "X-Mintlift-Request-Id"
	seal           = "X-Mintlift-Response-Seal"
	expectInstance = "X-Mintlift-Expect-Instance"
	notExecuted    = "X-Mintlift-Not-Executed"
	instanceID     = "X-Mintlift-Instance-Id"
)

// runner is a runner of a plain service. serve gets each request that it runs, and returns
// whether the connection may be used again.
type runner struct {
	world    *world
	id       string
	service  string
	address  string
	zone     string
	listener net.Listener
	sequence atomic.Int64
	state    atomic.Value // string
	stopped  chan struct{}
	// ethernet gives connections the segments of an Ethernet and a small receive buffer, as
	// on the machines of a small deployment: a caller can't hand a long request over to its
	// kernel at once, as it can on the loopback interface.
	ethernet bool
	serve    func(c *net.TCPConn, q *http.Request, reader *bufio.Reader) bool
}

// run starts the runner and its entry in the list, which it writes every heartbeat.
func (r *runner) run() {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if !r.ethernet {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1448)
		})
	}}
	var err error
	r.listener, err = config.Listen(context.Background(), "tcp4", r.address)
	r.world.must(err)
	r.stopped = make(chan struct{})
	r.state.Store("ready")
	r.beat()
	go func() {
		for {
			select {
			case <-time.After(1200 * time.Millisecond):
				r.beat()
			case <-r.stopped:
				return
			}
		}
	}()
	go func() {
		for {
			c, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serveConn(c.(*net.TCPConn))
		}
	}()
}

// entry is the runner's entry in the list.
func (r *runner) entry() map[string]any {
	return map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": r.state.Load(), "cold_remaining_ms": 0, "sequence": r.sequence.Add(1)}
}

func (r *runner) beat() { r.world.put(storetest.Endpoints, r.id, r.entry()) }

// serveConn serves the requests of a connection, one at a time.
func (r *runner) serveConn(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, 4<<10)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := q.Header.Get(requestID)
		if expected := q.Header.Get(expectInstance); expected != "" && expected != r.id {
			_, _ = io.Copy(io.Discard, q.Body)
			answer(c, 421, id, notExecuted+": 1\r\n"+instanceID+": "+r.id+"\r\n", "")
			continue
		}
		if !r.serve(c, q, reader) {
			return
		}
	}
}

// answer sends a complete answer with a length.
func answer(c net.Conn, status int, id, header, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), requestID, id, header, len(body), body)
}

// wholeBody returns the body of the answer to a request.
func wholeBody(id string, size int) string {
	line := "answer to " + id + ";"
	return strings.Repeat(line, size/len(line)+1)[:size]
}
