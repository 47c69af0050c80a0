// SPDX-License-Identifier: Apache-2.0

package standin2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is a request as its client saw it.
type attempt struct {
	id     string
	route  string
	sent   time.Time
	status int // 0 without a complete answer
	took   time.Duration
	body   string
	err    error
}

// served reports whether the request got a success.
func (a attempt) served() bool { return a.status == http.StatusOK }

// route is a route of the configuration.
type route struct {
	name, kind, service string
	timeoutMS           float64
	attempts            int
}

// configure writes a configuration.
func (w *world) configure(version int, routes []route, change func(map[string]any)) {
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.name, "host": "h.example", "path_prefix": "/" + r.name + "/", "kind": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": 500,
			"target_gap_ms": 400, "priority": 1, "service": r.service, "max_attempts": r.attempts, "public": false, "resumable": r.kind == "streaming"})
	}
	c := map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{
			{"name": engineName, "health_path": "/health", "max_connections": 374, "engine": map[string]any{
				"slots": 16, "kv_capacity": 1180000, "stride": 5, "models": []map[string]any{{"name": modelName, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}}, "step_ms": 8.87,
				"read_per_s": 19100.0, "chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 977, "answer": 94}, "layers": layerCount, "chunks": chunkCount, "chunk_bytes": chunkBytes,
			}},
			{"name": plainName, "health_path": "/health", "max_connections": 374},
			{"name": "weights", "origin": w.originAddress(), "zone": zoneNames[0], "link_mbps": 9.9, "max_connections": 48},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "t1", "api_keys": []string{"key1"}, "priority": 1}},
	}
	if change != nil {
		change(c)
	}
	w.put("keyed.op", "config", c)
	w.note("operator: configuration %d acknowledged", version)
}

// request describes a request of a client.
type request struct {
	method, route string
	body          []byte
	deadline      time.Duration
}

// send sends a request on a new connection to a gateway.
func (w *world) send(gateway int, q request) attempt {
	a := attempt{id: fmt.Sprintf("%016x", rand.Uint64()), route: q.route, sent: time.Now()}
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+w.front(gateway)+"/"+q.route+"/x", bytes.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Mintlift-Request-Id", a.id)
	r.Header.Set("X-Mintlift-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer key1")
	if q.route == "stream" {
		r.Header.Set("X-Mintlift-Model", modelName)
		r.Header.Set("X-Mintlift-Token-Usage", "600,100")
		r.Header.Set("X-Mintlift-Prefix-Hash", fmt.Sprintf("5c1e07a2:40,%08x:560", rand.Uint32()))
	}
	response, err := transport.RoundTrip(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if a.body = string(body); err == nil {
			a.status = response.StatusCode
		}
	}
	a.err, a.took = err, time.Since(a.sent)
	text := ""
	if a.status != http.StatusOK {
		text = strings.TrimSpace(a.body)
	}
	w.note("client: %s %s %s at gateway %d, sent %.3f s, status %d after %d ms %s %v", a.id, q.method, q.route, gateway, a.sent.Sub(w.start).Seconds(), a.status, a.took.Milliseconds(), text, errorText(err))
	return a
}

// errorText returns the text of an error, or nothing.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// traffic sends requests at a rate until stop is closed, and collects them.
type traffic struct {
	group sync.WaitGroup
	mu    sync.Mutex
	all   []attempt
}

// run sends perSecond requests a second, by turns to the gateways.
func (t *traffic) run(w *world, perSecond float64, q func() request, stop <-chan struct{}) {
	t.runTo(w, func(n int) int { return n % gatewayCount }, perSecond, q, stop)
}

// runAt sends perSecond requests a second to a gateway.
func (t *traffic) runAt(w *world, gateway int, perSecond float64, q func() request, stop <-chan struct{}) {
	t.runTo(w, func(int) int { return gateway }, perSecond, q, stop)
}

// runTo sends the n-th request to the gateway that choose returns.
func (t *traffic) runTo(w *world, choose func(n int) int, perSecond float64, q func() request, stop <-chan struct{}) {
	t.group.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			t.group.Go(func() {
				a := w.send(choose(n), q())
				t.mu.Lock()
				t.all = append(t.all, a)
				t.mu.Unlock()
			})
		}
	})
}

// between counts the requests sent in a time, and those of them that were served.
func (t *traffic) between(from, to time.Time) (sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.all {
		if a.sent.Before(from) || !a.sent.Before(to) {
			continue
		}
		sent++
		if a.served() {
			served++
		}
	}
	return sent, served
}
