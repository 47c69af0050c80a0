// SPDX-License-Identifier: Apache-2.0

package standin2

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mintlift/mintlift/platform/enginetest"
	"github.com/mintlift/mintlift/platform/storetest"
)

// origin is the service from which all weights come.
type origin struct {
	world *world
	mu    sync.Mutex
	// spoilManifests is the number of next answers with a manifest of spoilVersion that
	// arrive with one byte changed.
	spoilManifests, spoilVersion int
	answers, spoilt              int
	link                         sync.Mutex // held while an answer is on the link
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	weights.ServeHTTP(answer, r)
	body := answer.Body.Bytes()
	manifest := strings.HasPrefix(r.URL.Path, "/manifest/")
	o.mu.Lock()
	o.answers++
	spoil := manifest && o.spoilManifests > 0 && r.URL.Query().Get("version") == strconv.Itoa(o.spoilVersion)
	if spoil {
		o.spoilManifests--
		o.spoilt++
		spoilDigest(body)
	}
	o.mu.Unlock()
	if manifest {
		o.world.note("origin: %s to %s, spoilt %t", r.URL, r.RemoteAddr, spoil)
	}
	o.link.Lock()
	time.Sleep(time.Duration(float64(len(body)) * 8 / originMbps * float64(time.Microsecond)))
	o.link.Unlock()
	_, _ = w.Write(body)
}

// originMbps is the bandwidth of the origin's link.
const originMbps = 9.9

// spoilDigest changes one byte of a manifest: a digit of the digest of the fifth piece.
func spoilDigest(body []byte) {
	at := bytes.Index(body, []byte(`"digests":[`)) + len(`"digests":["`) + 4*(64+3) + 20
	if body[at] == 'a' {
		body[at] = 'b'
	} else {
		body[at] = 'a'
	}
}

// runner is a runner of a service: a model runner if engine is not nil.
type runner struct {
	world         *world
	id, address   string
	service, zone string
	engine        *enginetest.Engine
	slots         chan struct{}
	work          time.Duration
}

// publish writes the runner's entry to the store.
func (s *runner) publish() { s.world.put(storetest.Endpoints, s.id, s.entry()) }

// entry returns the runner's entry.
func (s *runner) entry() map[string]any {
	entry := map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": cap(s.slots), "state": "ready", "cold_remaining_ms": 0, "sequence": 0}
	if s.engine != nil {
		entry["stage"], entry["models"], entry["sequence"] = "unified", s.engine.Models(), s.engine.State().Orders
	}
	return entry
}

// addEngine starts a model runner that holds version 1.
func (w *world) addEngine(n int) *runner {
	s := &runner{world: w, id: fmt.Sprintf("i-engine%02d", n), address: w.engineAddr(n), service: engineName, zone: w.zoneOf(n), slots: make(chan struct{}, 16)}
	s.engine = enginetest.New(weights, s.publish)
	s.engine.Change(func(f *enginetest.Faults) { f.NoStartTime = true })
	s.engine.StageAndLoad(1)
	w.listen(s.address, s)
	s.publish()
	return s
}

// addPlain starts a runner of the plain service.
func (w *world) addPlain(n, slots int, work time.Duration) *runner {
	s := &runner{world: w, id: fmt.Sprintf("i-plain%02d", n), address: w.plainIP(n) + ":9000", service: plainName, zone: w.zoneOf(n), slots: make(chan struct{}, slots), work: work}
	w.listen(s.address, s)
	s.publish()
	return s
}

// streamEvents is the number of events of a stream.
const streamEvents = 14

// ServeHTTP implements http.Handler.
func (s *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.engine != nil && enginetest.IsEngineCall(r) {
		s.engine.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get("X-Mintlift-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Mintlift-Request-Id", id)
	if expected := r.Header.Get("X-Mintlift-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Mintlift-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.Header().Set("X-Mintlift-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.engine != nil {
		s.stream(w, r, id)
		return
	}
	s.world.ran(id, s.id, 0)
	w.Header().Set("X-Mintlift-Response-Seal", "seal."+s.id+"."+id)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

// stream answers with events.
func (s *runner) stream(w http.ResponseWriter, r *http.Request, id string) {
	run, version := s.engine.BeginRequest()
	if expected := r.Header.Get("X-Mintlift-Expect-Version"); expected != "" && expected != strconv.Itoa(version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if version == 0 {
		w.Header().Set("X-Mintlift-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.world.ran(id, s.id, version)
	w.Header().Set("X-Mintlift-Response-Seal", "seal."+s.id+"."+id)
	w.Header().Set("X-Mintlift-Weight-Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	time.Sleep(40 * time.Millisecond)
	for n := from + 1; n <= streamEvents; n++ {
		if !s.engine.ContinueRequest(run) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// ran records that a runner has begun to work on a request.
func (w *world) ran(id, runner string, version int) {
	w.mu.Lock()
	w.runs[id] = runner
	w.mu.Unlock()
	w.note("run %s at %s, version %d", id, runner, version)
}
