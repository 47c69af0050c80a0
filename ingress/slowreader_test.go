// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/tcpconn"
	"github.com/mintlift/mintlift/sendbuffer"
)

// The load of TestSlowReadersDoNotHoldUpOthers.
const (
	// slowReaders is the number of callers that read slowReadRate bytes a second.
	slowReaders  = 2000
	slowReadRate = 1 << 10
	// slowEvents is the number of events of a slow reader's stream, of eventBytes each.
	slowEvents = 20
	eventBytes = 512
	// maxFirstEventDelay is how much later the first event of others may arrive at the
	// median than without slow readers.
	maxFirstEventDelay = 10 * time.Millisecond
	// sendBufferLimit is the bound of the buffers, an eighth of a gateway's 136 MB.
	sendBufferLimit = 17 << 20
	// maxKeptBytes is what the slow readers may cost: the memory limit of a gateway, 136
	// MB, without the 24 MB of one that is busy with others.
	maxKeptBytes = (136 - 24) << 20
)

// Callers that read slowly must not delay the others, must be kept in bounded memory, and
// must get their whole responses.
func TestSlowReadersDoNotHoldUpOthers(t *testing.T) {
	if testing.Short() {
		t.Skip("opens thousands of connections")
	}
	g := newTestGateway(t)
	slow := route("streaming", "/slow/", "plain", 1)
	slow.Timeout = time.Minute
	g.configure(1, slow, route("streaming", "/quick/", "plain", 1))
	event := strings.Repeat("x", eventBytes)
	g.startEndpoint("a", "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testHeaders.Seal, "seal")
		for n := range slowEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, event)
			w.(http.Flusher).Flush()
		}
	})
	listener, err := tcpconn.Listen(context.Background(), "127.0.0.1:0", tcpconn.ProbeLater)
	assert.NilError(t, err)
	var evicted atomic.Int64
	pool := sendbuffer.NewPool(sendBufferLimit, func(string, int, time.Duration) { evicted.Add(1) })
	front := &http.Server{ConnContext: ConnContext, Handler: g.server}
	go func() { _ = front.Serve(pool.Listen(g.server.WatchAccepts(smallBuffers{listener}))) }()
	t.Cleanup(func() { _ = front.Close() })
	g.address = "http://" + listener.Addr().String()

	alone := g.firstEventDelays(t, 50)
	before := heapAndStacks()
	var served atomic.Int64
	var readers sync.WaitGroup
	measured := make(chan struct{}) // closed when the slow readers may read the rest at once
	for n := range slowReaders {
		readers.Go(func() {
			if readSlowly(listener.Addr().String(), fmt.Sprint("/slow/", n), measured) == nil {
				served.Add(1)
			}
		})
		if n%50 == 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if behind, _ := pool.Buffered(); behind > slowReaders/2 {
			break
		}
		assert.Assert(t, time.Since(began) < 30*time.Second, "the load must need the buffers")
	}
	among := g.firstEventDelays(t, 50)
	kept := heapAndStacks() - before
	behind, buffered := pool.Buffered()
	t.Logf("first event at the median: %s alone, %s among; %d readers behind with %d bytes; heap and stacks grew by %d bytes", alone, among, behind, buffered, kept)
	assert.Check(t, among-alone < maxFirstEventDelay, "%s, %s alone", among, alone)
	assert.Check(t, buffered <= sendBufferLimit)
	// The test's callers and its endpoint are in the same process.
	assert.Check(t, raceDetector || kept < maxKeptBytes, "%d bytes", kept)
	close(measured)
	readers.Wait()
	assert.Equal(t, served.Load(), int64(slowReaders))
	assert.Equal(t, evicted.Load(), int64(0))
}

// heapAndStacks returns the bytes of the process's heap, after a collection, and stacks.
func heapAndStacks() int64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapInuse + memory.StackInuse)
}

// smallBuffers makes the sockets of accepted connections hold little, so that what callers
// have not read stays in the gateway's own buffers.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(2 << 10)
	}
	return c, err
}

// firstEventDelays returns the median time until the first event of n streams, one after
// the other.
func (g *testGateway) firstEventDelays(t *testing.T, n int) time.Duration {
	t.Helper()
	var delays []time.Duration
	for i := range n {
		began := time.Now()
		response, err := g.send(context.Background(), "POST", fmt.Sprint("/quick/", i), "x")
		assert.NilError(t, err)
		_, err = bufio.NewReader(response.Body).ReadString('\n')
		assert.NilError(t, err)
		delays = append(delays, time.Since(began))
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	slices.Sort(delays)
	return delays[n/2]
}

// readSlowly requests a stream as readStream does, again and again while it is refused as
// not run.
func readSlowly(address, path string, done <-chan struct{}) error {
	for {
		err := readStream(address, path, done)
		if !errors.Is(err, errRefused) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// errRefused reports that a request was refused as not run.
const errRefused = errors.ConstError("refused")

// readStream requests a stream and reads slowReadRate bytes of the response a second, until
// done is closed. It returns an error unless the response is complete.
func readStream(address, path string, done <-chan struct{}) error {
	// The small receive buffer makes what is unread stay at the gateway.
	dialer := net.Dialer{Timeout: 10 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<10) })
	}}
	raw, err := dialer.Dial("tcp4", address)
	if err != nil {
		return err
	}
	defer raw.Close()
	if _, err := fmt.Fprintf(raw, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n%s: 60000\r\nContent-Length: 1\r\n\r\nx", path, testKey, testHeaders.Deadline); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(&slowReader{raw, done}, 512), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable {
		return errRefused
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && strings.Count(string(body), "data: ") != slowEvents {
		return io.ErrUnexpectedEOF
	}
	return err
}

// slowReader reads slowReadRate bytes a second, until done is closed.
type slowReader struct {
	from io.Reader
	done <-chan struct{}
}

func (r *slowReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b[:min(len(b), slowReadRate/4)])
	select {
	case <-r.done:
	case <-time.After(time.Duration(n) * time.Second / slowReadRate):
	}
	return n, err
}
