// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/weights"
)

// Engine is a model engine: it holds staged chunks and loaded versions in
// bounded memory, takes orders, and generates tokens that spell out which
// version answers which request. Use NewEngine.
type Engine struct {
	Faults Faults
	// ChecksFences makes it refuse orders of an older holder or fence.
	ChecksFences bool
	// MemoryBytes bounds the loaded versions; 0 does not.
	MemoryBytes int64
	// TokenTime is the time for each token; FirstTokenTime for the first.
	TokenTime, FirstTokenTime time.Duration
	// Slots bounds the requests that generate at once; the others wait by
	// priority.
	Slots int
	// Forget keeps no bytes of staged chunks, and makes them up anew.
	Forget bool

	mu      sync.Mutex
	epoch   int64
	fence   int64
	staged  map[weights.Ref]*staging
	loaded  []loaded
	runs    map[string]*run
	journal []Run
	active  int
	waiting []*waiter
	orders  []string
	fences  []int64 // of the orders, as they took effect
}

type staging struct {
	manifest *weights.Manifest
	chunks   map[int][]byte
}

type loaded struct {
	engine.Loaded
	// whole says that what was loaded is what the version truly is.
	whole bool
}

type waiter struct {
	priority int
	ready    chan struct{}
}

// Run is an entry of the engine's own eventlog.
type Run struct {
	Request   string `json:"request"`
	Version   string `json:"version"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// Whole says that the version was loaded whole.
	Whole bool `json:"whole"`
	Done  bool `json:"done"`
}

// run is a generation under way.
type run struct {
	mu      sync.Mutex
	id      string
	version weights.Ref
	whole   bool
	tokens  []string
	total   int
	done    bool
	changed chan struct{}
	readers int
	cancel  chan struct{}
	once    sync.Once
}

// resumeGrace is how long a generation without a reader goes on.
const resumeGrace = 3 * time.Second

// NewEngine returns an empty engine with 64 slots.
func NewEngine() *Engine {
	return &Engine{Slots: 64, staged: make(map[weights.Ref]*staging), runs: make(map[string]*run)}
}

// Journal returns a copy of the engine's eventlog.
func (e *Engine) Journal() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.journal)
}

// Orders returns the orders that took effect, in order.
func (e *Engine) Orders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Fences returns the fences of the orders that took effect, in order.
func (e *Engine) Fences() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.fences)
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathState, e.state)
	mux.HandleFunc("POST "+engine.PathClaim, e.claim)
	mux.HandleFunc("POST "+engine.PathLoad, e.load)
	mux.HandleFunc("POST "+engine.PathUnload, e.unload)
	mux.HandleFunc("PUT /control/staging/{model}/{version}/manifest", e.stage)
	mux.HandleFunc("PUT /control/staging/{model}/{version}/chunks/{chunk}", e.putChunk)
	mux.HandleFunc("GET /control/staging/{model}/{version}/chunks/{chunk}", e.getChunk)
	mux.HandleFunc("DELETE /control/staging/{model}/{version}", e.dropStaging)
	mux.HandleFunc("POST "+engine.PathChat, e.generate)
	mux.HandleFunc("POST "+engine.PathCompletions, e.generate)
	mux.HandleFunc("GET /v1/resume/{id}", e.resume)
	mux.HandleFunc("POST /control/cancel/{id}", e.cancelRun)
	mux.HandleFunc("GET /control/journal", func(w http.ResponseWriter, _ *http.Request) { answerJSON(w, http.StatusOK, e.Journal()) })
	mux.HandleFunc("POST /faults", e.Faults.handle)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/faults" && !e.Faults.gate(w) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := engine.State{Epoch: e.epoch, Fence: e.fence, ChecksFences: e.ChecksFences, MemoryBytes: e.MemoryBytes, Running: e.active, Waiting: len(e.waiting), Slots: e.Slots}
	for _, l := range e.loaded {
		s.Loaded = append(s.Loaded, l.Loaded)
	}
	for ref, st := range e.staged {
		g := engine.Staged{Ref: ref, ManifestDigest: st.manifest.Digest()}
		for c := range st.chunks {
			g.Chunks = append(g.Chunks, c)
		}
		slices.Sort(g.Chunks)
		s.Staged = append(s.Staged, g)
	}
	answerJSON(w, http.StatusOK, s)
}

func (e *Engine) claim(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.epoch++
	c := engine.Claim{Epoch: e.epoch, Fence: e.fence}
	e.mu.Unlock()
	answerJSON(w, http.StatusOK, c)
}

func (e *Engine) stage(w http.ResponseWriter, r *http.Request) {
	m := new(weights.Manifest)
	if json.NewDecoder(r.Body).Decode(m) != nil {
		http.Error(w, "manifest is not JSON", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staged[m.Ref] == nil {
		e.staged[m.Ref] = &staging{manifest: m, chunks: make(map[int][]byte)}
	}
}

func (e *Engine) putChunk(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i, _ := strconv.Atoi(r.PathValue("chunk")) // a bad number is chunk 0 of whatever digest
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.staged[refOf(r)]
	if st == nil {
		http.Error(w, "nothing staged", http.StatusNotFound)
		return
	}
	if e.Forget && weights.Sum(b) == st.manifest.Chunks[i] {
		b = nil
	}
	st.chunks[i] = b
}

func (e *Engine) getChunk(w http.ResponseWriter, r *http.Request) {
	i, _ := strconv.Atoi(r.PathValue("chunk")) // a bad number finds no chunk or the first
	e.mu.Lock()
	st := e.staged[refOf(r)]
	var b []byte
	ok := false
	if st != nil {
		b, ok = st.chunks[i]
	}
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such chunk", http.StatusNotFound)
		return
	}
	if b == nil {
		b = Content(st.manifest.Ref, i, st.manifest.Size(i))
	}
	if e.Faults.corrupt() {
		b = slices.Clone(b)
		b[0] ^= 1
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b) // the client has gone if this fails
}

func (e *Engine) dropStaging(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.staged, refOf(r))
}

// admit checks an order's fence; the caller holds the lock.
func (e *Engine) admit(w http.ResponseWriter, o engine.Order) bool {
	if e.ChecksFences && (o.Epoch < e.epoch || o.Fence < e.fence) {
		http.Error(w, fmt.Sprintf("stale order: epoch %d fence %d, have %d and %d", o.Epoch, o.Fence, e.epoch, e.fence), http.StatusConflict)
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.fences = append(e.fences, o.Fence)
	return true
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "order is not JSON", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admit(w, o) {
		return
	}
	st := e.staged[o.Ref]
	if st == nil {
		http.Error(w, "nothing staged", http.StatusNotFound)
		return
	}
	used := st.manifest.Bytes
	for _, l := range e.loaded {
		if l.Ref != o.Ref {
			used += l.Bytes
		}
	}
	if e.MemoryBytes > 0 && used > e.MemoryBytes {
		http.Error(w, "out of memory", http.StatusInsufficientStorage)
		return
	}
	e.orders = append(e.orders, "load "+o.Ref.String())
	e.drop(o.Ref)
	e.loaded = append(e.loaded, loaded{
		Loaded: engine.Loaded{Ref: o.Ref, Bytes: st.manifest.Bytes, ManifestDigest: st.manifest.Digest(), Fence: o.Fence},
		whole:  st.whole(),
	})
	if e.Faults.lose() {
		cut()
	}
}

// whole compares what is staged with what the version truly is.
func (s *staging) whole() bool {
	for i := range s.manifest.Chunks {
		b, ok := s.chunks[i]
		if !ok {
			return false
		}
		if b != nil && weights.Sum(b) != weights.Sum(Content(s.manifest.Ref, i, s.manifest.Size(i))) {
			return false
		}
	}
	return true
}

func (e *Engine) drop(ref weights.Ref) {
	e.loaded = slices.DeleteFunc(e.loaded, func(l loaded) bool { return l.Ref == ref })
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "order is not JSON", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admit(w, o) {
		e.orders = append(e.orders, "unload "+o.Ref.String())
		e.drop(o.Ref)
		if e.Faults.lose() {
			cut()
		}
	}
}
