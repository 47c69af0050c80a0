// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/settings"
)

// cutPoint is the point of a request or response at which a faultyService
// closes the connection.
type cutPoint string

const (
	refusesConnections      cutPoint = "connection refused"
	cutsBeforeRequest       cutPoint = "before the request"
	cutsInRequestBody       cutPoint = "in the middle of the request"
	cutsAfterRequest        cutPoint = "after the request, before the response"
	cutsAfterResponseHeader cutPoint = "after the response header"
	cutsInResponseBody      cutPoint = "in the middle of the response"
	cutsNever               cutPoint = "never"             // complete response of status 200
	responds500             cutPoint = "never, status 500" // complete response of status 500
)

// faultyService is a plain service over TCP that closes connections at a given
// point.
type faultyService struct {
	ln net.Listener

	mu       sync.Mutex
	cut      cutPoint
	requests int // requests read in full since setCut
}

// newFaultyService starts a faultyService on a loopback port for the time of the test.
func newFaultyService(t *testing.T) *faultyService {
	ln, err := net.Listen("tcp", anyLoopbackPort)
	assert.NilError(t, err)
	f := &faultyService{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go f.accept()
	return f
}

// accept serves connections until the listener is closed.
func (f *faultyService) accept() {
	for {
		conn, err := f.ln.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

// setCut sets the cut point and resets the request count.
func (f *faultyService) setCut(cut cutPoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.requests = cut, 0
}

// requestCount returns the number of requests read in full since setCut.
func (f *faultyService) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

// serve responds to the requests of a connection until the cut point.
func (f *faultyService) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		f.mu.Lock()
		cut := f.cut
		f.mu.Unlock()
		if cut == cutsBeforeRequest {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if cut == cutsInRequestBody {
			_, _ = io.CopyN(io.Discard, req.Body, 1)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		f.mu.Lock()
		f.requests++
		f.mu.Unlock()
		status := "200 OK"
		switch cut {
		case cutsAfterRequest:
			return
		case responds500:
			status = "500 Internal Server Error"
		}
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 10\r\nX-Request-Id: %s\r\n\r\n", status, req.Header.Get("X-Request-Id"))
		if cut == cutsAfterResponseHeader {
			return
		}
		fmt.Fprint(conn, "01234")
		if cut == cutsInResponseBody {
			return
		}
		fmt.Fprint(conn, "56789")
	}
}

// callService sends a request of workspace liceo to the lab's plain service
// through a gateway, and returns the response's status, outcome and body.
func (l *Lab) callService(t *testing.T, gateway int, method, body string, header map[string]string) (status int, o outcome.Outcome, text string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+l.Gateways[gateway].CallerAddress()+"/v1/services/"+ServiceName+"/pages/12", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey("liceo"))
	for name, v := range header {
		req.Header.Set(name, v)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, outcome.Outcome(resp.Header.Get("Mintlift-Outcome")), string(b)
}

// awaitRouting waits until each gateway completes requests with and without
// idempotency keys and has at least the given number of homes. A home is a
// sidecar process that stores what is known of an idempotency key.
func (l *Lab) awaitRouting(t *testing.T, ctx context.Context, homes int) {
	t.Helper()
	for i := range l.Gateways {
		for {
			s, err := l.Admin(i).Status(ctx)
			assert.NilError(t, err)
			if s.Homes >= homes {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		for {
			_, withoutKey, _ := l.callService(t, i, http.MethodGet, "", nil)
			completed := 0
			for range 4 * homes { // enough random keys that each home probably stores one
				_, o, _ := l.callService(t, i, http.MethodPost, "", map[string]string{"Idempotency-Key": newKey()})
				if o == outcome.Completed {
					completed++
				}
			}
			if withoutKey == outcome.Completed && completed == 4*homes {
				break
			}
			assert.NilError(t, ctx.Err(), "gateway %d: outcome %s without a key, %d of %d requests with a key completed", i, withoutKey, completed, 4*homes)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// closedIP is the IP address of ports that are closed for a test. Nothing else may
// listen there, since it could get one of these ports.
const closedIP = "127.91.0.1"

// TestOutcomeTable checks the outcome reported to the caller and how often the
// endpoint ran the request, for each point at which the endpoint may close the
// connection.
func TestOutcomeTable(t *testing.T) {
	t.Parallel()
	f := newFaultyService(t)
	f.setCut(cutsNever)
	closed, err := net.Listen("tcp", closedIP+":0")
	assert.NilError(t, err)
	closedAddress := closed.Addr().String()
	assert.NilError(t, closed.Close())
	target := f.ln.Addr().String()
	l, ctx := startLab(t, Config{Gateways: 1, Services: 1, SidecarSettings: func(s *settings.Sidecar) { s.Endpoint = target }})
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	l.awaitRouting(t, ctx, 1)

	cells := []struct {
		cut  cutPoint
		want outcome.Outcome
		runs int // how often the endpoint runs a non-idempotent request
	}{
		{cutsBeforeRequest, outcome.Unknown, 0},
		{cutsInRequestBody, outcome.Unknown, 0},
		{cutsAfterRequest, outcome.Unknown, 1},
		{cutsAfterResponseHeader, outcome.Unknown, 1},
		{cutsInResponseBody, outcome.Unknown, 1},
		{cutsNever, outcome.Completed, 1},
		{responds500, outcome.Failed, 1},
		{refusesConnections, outcome.NotRun, 0},
	}
	for _, cell := range cells {
		if cell.cut == refusesConnections {
			target = closedAddress
			b := l.Boxes[0]
			assert.NilError(t, b.Sidecar.Stop(ctx))
			assert.NilError(t, l.StartSidecar(b))
			l.awaitIncarnation(t, ctx, b)
		}
		for name, header := range map[string]map[string]string{
			"repeatable":     {"Mintlift-Repeatable": "true"},
			"not repeatable": {"Mintlift-Repeatable": "false"},
			"with a key":     {"Idempotency-Key": fmt.Sprintf("key-%s", strings.ReplaceAll(string(cell.cut), " ", "-"))},
		} {
			t.Run(string(cell.cut)+"/"+name, func(t *testing.T) {
				f.setCut(cell.cut)
				want := cell.want
				if cell.cut == refusesConnections && name == "with a key" {
					want = outcome.Unknown // the sidecar that stored the key has restarted without it
				}
				_, got, text := l.callService(t, 0, http.MethodPost, "some body", header)
				assert.Equal(t, got, want, text)
				if name != "repeatable" {
					assert.Equal(t, f.requestCount(), cell.runs, "a non-repeatable request did not run as often as expected")
				}
				if got == outcome.NotRun {
					assert.Equal(t, f.requestCount(), 0, "a request with outcome not run was run")
				}
			})
		}
	}
}

// awaitIncarnation waits until the first gateway has reached the restarted
// sidecar of a box and routes requests to it.
func (l *Lab) awaitIncarnation(t *testing.T, ctx context.Context, b *Box) {
	t.Helper()
	for {
		boxes, err := l.Admin(0).Boxes(ctx)
		assert.NilError(t, err)
		for _, status := range boxes {
			if status.Box.ID == b.Entry.ID && status.Reached && status.Box.Address == b.Sidecar.Address() {
				time.Sleep(time.Second) // the routing table is updated by the next probe
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestUnknownOutcomeIfRetryIsRefused checks that a request has outcome unknown
// after one endpoint read it and closed the connection, even if a second
// endpoint refuses the retry.
func TestUnknownOutcomeIfRetryIsRefused(t *testing.T) {
	t.Parallel()
	f := newFaultyService(t)
	f.setCut(cutsNever)
	closed, err := net.Listen("tcp", closedIP+":0")
	assert.NilError(t, err)
	closedAddress := closed.Addr().String()
	targets := []string{f.ln.Addr().String(), closedAddress}
	l, ctx := startLab(t, Config{Gateways: 1, Services: 2, SidecarSettings: func(s *settings.Sidecar) {
		s.Endpoint = targets[0]
		targets = targets[1:]
	}})
	assert.NilError(t, closed.Close())
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	header := map[string]string{"Mintlift-Repeatable": "true"}
	for {
		if _, o, _ := l.callService(t, 0, http.MethodPost, "warm", header); o == outcome.Completed {
			break
		}
		assert.NilError(t, ctx.Err())
		time.Sleep(20 * time.Millisecond)
	}
	for range 20 {
		f.setCut(cutsAfterRequest)
		_, o, text := l.callService(t, 0, http.MethodPost, "some body", header)
		if f.requestCount() > 0 {
			assert.Equal(t, o, outcome.Unknown, text)
		}
	}
}
