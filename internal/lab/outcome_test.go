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

// death is the moment at which a dying endpoint cuts the connection.
type cutPoint string

const (
	refusesConnections      cutPoint = "connection refused"
	cutsBeforeRequest       cutPoint = "before the request's bytes"
	cutsInRequestBody       cutPoint = "in the middle of the request"
	cutsAfterRequest        cutPoint = "after the request, before the answer"
	cutsAfterResponseHeader cutPoint = "after the answer's head"
	cutsInResponseBody      cutPoint = "in the middle of the answer"
	cutsNever               cutPoint = "never"
	responds500             cutPoint = "never, answers 500"
)

// dying is a plain service over raw TCP that dies when told to.
type faultyService struct {
	ln net.Listener

	mu       sync.Mutex
	cut      cutPoint
	requests int // requests read whole
}

func newFaultyService(t *testing.T) *faultyService {
	ln, err := net.Listen("tcp", anyLoopbackPort)
	assert.NilError(t, err)
	d := &faultyService{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go d.accept()
	return d
}

func (d *faultyService) accept() {
	for {
		conn, err := d.ln.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

func (d *faultyService) setCut(when cutPoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut, d.requests = when, 0
}

func (d *faultyService) requestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests
}

func (d *faultyService) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		d.mu.Lock()
		when := d.cut
		d.mu.Unlock()
		if when == cutsBeforeRequest {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if when == cutsInRequestBody {
			_, _ = io.CopyN(io.Discard, req.Body, 1)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		d.mu.Lock()
		d.requests++
		d.mu.Unlock()
		status := "200 OK"
		switch when {
		case cutsAfterRequest:
			return
		case responds500:
			status = "500 Internal Server Error"
		}
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 10\r\nX-Request-Id: %s\r\n\r\n", status, req.Header.Get("X-Request-Id"))
		if when == cutsAfterResponseHeader {
			return
		}
		fmt.Fprint(conn, "01234")
		if when == cutsInResponseBody {
			return
		}
		fmt.Fprint(conn, "56789")
	}
}

// call sends a request to the lab's plain service.
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

// settle waits until the gateways know the lab's boxes and their homes.
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
			_, plain, _ := l.callService(t, i, http.MethodGet, "", nil)
			keyed := 0
			for range 4 * homes { // keys of all homes, most likely
				_, o, _ := l.callService(t, i, http.MethodPost, "", map[string]string{"Idempotency-Key": newKey()})
				if o == outcome.Completed {
					keyed++
				}
			}
			if plain == outcome.Completed && keyed == 4*homes {
				break
			}
			assert.NilError(t, ctx.Err(), "gateway %d answers %s, and %d of %d keys", i, plain, keyed, 4*homes)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestOutcomeTable cuts the connection at every place where it can die and
// compares what the caller is told with what the endpoint counted.
func TestOutcomeTable(t *testing.T) {
	d := newFaultyService(t)
	d.setCut(cutsNever)
	closed, err := net.Listen("tcp", anyLoopbackPort)
	assert.NilError(t, err)
	nowhere := closed.Addr().String()
	assert.NilError(t, closed.Close())
	target := d.ln.Addr().String()
	l, ctx := startLab(t, Config{Gateways: 1, Services: 1, SidecarSettings: func(s *settings.Sidecar) { s.Endpoint = target }})
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	l.awaitRouting(t, ctx, 1)

	cells := []struct {
		when cutPoint
		want outcome.Outcome
		runs int // what the endpoint must count for a request that is not repeatable
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
		if cell.when == refusesConnections {
			target = nowhere
			b := l.Boxes[0]
			assert.NilError(t, b.Sidecar.Stop(ctx))
			assert.NilError(t, l.StartSidecar(b))
			l.awaitIncarnation(t, ctx, b)
		}
		for name, header := range map[string]map[string]string{
			"repeatable":     {"Mintlift-Repeatable": "true"},
			"not repeatable": {"Mintlift-Repeatable": "false"},
			"with a key":     {"Idempotency-Key": fmt.Sprintf("key-%s", strings.ReplaceAll(string(cell.when), " ", "-"))},
		} {
			t.Run(string(cell.when)+"/"+name, func(t *testing.T) {
				d.setCut(cell.when)
				want := cell.want
				if cell.when == refusesConnections && name == "with a key" {
					want = outcome.Unknown // the home has started again and cannot know
				}
				_, got, text := l.callService(t, 0, http.MethodPost, "some body", header)
				assert.Equal(t, got, want, text)
				if name != "repeatable" {
					assert.Equal(t, d.requestCount(), cell.runs, "a request that is not repeatable was repeated, or did not run")
				}
				if got == outcome.NotRun {
					assert.Equal(t, d.requestCount(), 0, "not run was said of a request that ran")
				}
			})
		}
	}
}

// awaitIncarnation waits until the gateway sends to a box's new sidecar.
func (l *Lab) awaitIncarnation(t *testing.T, ctx context.Context, b *Box) {
	t.Helper()
	for {
		boxes, err := l.Admin(0).Boxes(ctx)
		assert.NilError(t, err)
		for _, one := range boxes {
			if one.Box.ID == b.Entry.ID && one.Reached && one.Box.Address == b.Sidecar.Address() {
				time.Sleep(time.Second) // one more probe, for the routing table
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestDoubtOutlivesLaterRefusals has one endpoint that dies after it has
// read the request and another that refuses connections: whichever is tried
// last, the request ran, so "not run" must not be said.
func TestUnknownOutlastsLaterRefusals(t *testing.T) {
	d := newFaultyService(t)
	d.setCut(cutsNever)
	closed, err := net.Listen("tcp", anyLoopbackPort)
	assert.NilError(t, err)
	nowhere := closed.Addr().String()
	targets := []string{d.ln.Addr().String(), nowhere}
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
		d.setCut(cutsAfterRequest)
		_, o, text := l.callService(t, 0, http.MethodPost, "some body", header)
		if d.requestCount() > 0 {
			assert.Equal(t, o, outcome.Unknown, text)
		}
	}
}
