// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mintlift/mintlift/platform/storetest"
)

// Sizes and times of the first case.
const (
	longBody   = 1 << 20 // of a request; max_body_bytes is 4 MiB
	answerSize = 4000
	waves      = 12 // of requests, with a disruption in every third
	waveSize   = 6
	// holdTime is how long a runner holds on to a connection before it goes on reading.
	holdTime = 400 * time.Millisecond
	// resetAfter is the time from the start of a wave to the reset of connections.
	resetAfter = 200 * time.Millisecond
)

// openConnections are the connections of runners that wait for the rest of a request.
type openConnections struct {
	mu   sync.Mutex
	open map[*net.TCPConn]string // request IDs
}

func (o *openConnections) add(c *net.TCPConn, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[c] = id
}

func (o *openConnections) remove(c *net.TCPConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, c)
}

// reset resets half of the connections.
func (o *openConnections) reset(w *world) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for c, id := range o.open {
		if n++; n%2 == 0 {
			continue
		}
		w.note("the connection of %s is reset after %d of %d bytes of the answer", id, answerSize/2, answerSize)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// resetWithoutLength: runners begin their answers to long requests before they have read
// them, without a length, and go on reading later. Connections to runners are reset.
func resetWithoutLength(w *world) int {
	connections := &openConnections{open: map[*net.TCPConn]string{}}
	serve := func(name string) func(c *net.TCPConn, q *http.Request, reader *bufio.Reader) bool {
		return func(c *net.TCPConn, q *http.Request, _ *bufio.Reader) bool {
			id := q.Header.Get(requestID)
			w.note("%s runs %s %s %s", name, q.Method, q.URL, id)
			body := wholeBody(id, answerSize)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-of-%s-%s\r\nConnection: close\r\n\r\n%s", requestID, id, seal, name, id, body[:answerSize/2])
			connections.add(c, id)
			defer connections.remove(c)
			time.Sleep(holdTime)
			n, err := io.Copy(io.Discard, q.Body)
			if err != nil {
				w.note("%s: its run of %s ends, the connection is broken: %v", name, id, err)
				return false
			}
			_, _ = io.WriteString(c, body[answerSize/2:])
			w.note("%s has read %d bytes of %s and ends its answer of %d", name, n, id, answerSize)
			return false
		}
	}
	for n, zone := range []string{"mvd-a", "slt-a", "mld-a"} {
		r := &runner{world: w, id: fmt.Sprintf("i-%08x", 0x5e000+n), service: "maqueta", address: w.ip(50+n) + ":8744", zone: zone, ethernet: true}
		r.serve = serve(r.id)
		r.run()
	}
	w.put(storetest.Operator, "config", plainConfiguration())
	w.startGateway(1, "mvd-a", nil)
	w.awaitReady(1)
	broken := 0
	var mu sync.Mutex
	for wave := range waves {
		var group sync.WaitGroup
		for n := range waveSize {
			group.Go(func() {
				if resetWithoutLengthRequest(w, wave*waveSize+n) {
					mu.Lock()
					broken++
					mu.Unlock()
				}
			})
		}
		if w.trouble && wave%3 == 2 {
			time.Sleep(resetAfter)
			connections.reset(w)
		}
		group.Wait()
	}
	return broken
}

// resetWithoutLengthRequest sends a request, and returns whether its answer breaks the rule.
func resetWithoutLengthRequest(w *world, n int) (broken bool) {
	path := []string{"/proof/1", "/page/1"}[n%2]
	id := fmt.Sprintf("%016x", uint64(0x9c41d07be2a30000)+uint64(n))
	q, err := http.NewRequest(http.MethodPost, "http://"+w.ip(1)+":8005"+path, bytes.NewReader(make([]byte, longBody)))
	if err != nil {
		return false
	}
	q.Host = "h.example"
	q.Header.Set(requestID, id)
	q.Header.Set("X-Mintlift-Deadline-Ms", "3000")
	q.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 5 * time.Second}
	w.note("client: %s POST %s is sent, %d bytes", id, path, longBody)
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
