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

// Engine is a model engine. It holds staged chunks and loaded versions in
// bounded memory, executes orders, and generates tokens that name the version
// and the request (see Token). Use NewEngine.
type Engine struct {
	Faults Faults
	// ChecksFences makes the engine reject stale orders: those whose epoch is
	// older than the latest claim, or whose fence (fencing token) is older than
	// that of an accepted order.
	ChecksFences bool
	// MemoryBytes limits the size of the loaded versions; 0 means no limit.
	MemoryBytes int64
	// FirstTokenTime is the time until the first token of a response.
	// TokenTime is the time between tokens.
	TokenTime, FirstTokenTime time.Duration
	// Slots is the number of requests that generate tokens concurrently.
	// Further requests queue by priority.
	Slots int
	// DiscardChunks saves memory: the bytes of valid staged chunks are
	// discarded, and reads generate them again with Content.
	DiscardChunks bool

	mu          sync.Mutex
	epoch       int64
	fence       int64
	staged      map[weights.Ref]*stagedVersion
	loaded      []loadedVersion
	generations map[string]*generation // by request ID
	journal     []Run
	active      int       // slots in use
	waiting     []*waiter // in the order in which they get slots
	orders      []string  // see Orders
	fences      []int64   // see Fences
}

// stagedVersion holds the chunks that were staged for a version.
type stagedVersion struct {
	manifest *weights.Manifest
	chunks   map[int][]byte // by index; nil for a valid chunk whose bytes were discarded
}

// loadedVersion is a version that the engine has loaded.
type loadedVersion struct {
	engine.Loaded
	// whole is true if all chunks were staged with their correct content.
	whole bool
}

// waiter is a request that is queued for a slot.
type waiter struct {
	priority int
	ready    chan struct{} // closed when the slot is granted
}

// Run is an entry of an endpoint's journal: one request that the endpoint ran.
type Run struct {
	Request   string `json:"request"`
	Version   string `json:"version"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// Whole is true if all chunks of the loaded version had their correct
	// content. It is always true for a plain service.
	Whole bool `json:"whole"`
	// Done is true once the response has been generated in full.
	Done bool `json:"done"`
}

// generation is the response to one request. It outlives the connection of
// its reader, so that the stream can be resumed.
type generation struct {
	mu         sync.Mutex
	id         string // of the request
	version    weights.Ref
	whole      bool
	tokens     []string
	total      int
	done       bool          // no token will be added
	changed    chan struct{} // closed and replaced with each new token and at the end
	readers    int
	cancel     chan struct{} // closed to cancel the generation
	cancelOnce sync.Once
}

// resumeTimeout is the time after which a generation without a reader is
// cancelled, and for which a generation can be resumed after its end.
const resumeTimeout = 3 * time.Second

// NewEngine returns an empty engine with 64 slots.
func NewEngine() *Engine {
	return &Engine{Slots: 64, staged: make(map[weights.Ref]*stagedVersion), generations: make(map[string]*generation)}
}

// Journal returns a copy of the engine's journal, oldest entry first.
func (e *Engine) Journal() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.journal)
}

// Orders returns the executed orders in order, such as "load model@version".
func (e *Engine) Orders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Fences returns the fences (fencing tokens) of the accepted orders, in the
// order in which they were accepted.
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
	mux.HandleFunc("GET /control/journal", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Journal()) })
	mux.HandleFunc("POST /faults", e.Faults.handle)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/faults" && !e.Faults.beforeCall(w) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// state responds with the engine's state: epoch, fence, loaded and staged versions, and load.
func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := engine.State{Epoch: e.epoch, Fence: e.fence, ChecksFences: e.ChecksFences, MemoryBytes: e.MemoryBytes, Running: e.active, Waiting: len(e.waiting), Slots: e.Slots}
	for _, l := range e.loaded {
		s.Loaded = append(s.Loaded, l.Loaded)
	}
	for ref, st := range e.staged {
		staged := engine.Staged{Ref: ref, ManifestDigest: st.manifest.Digest()}
		for c := range st.chunks {
			staged.Chunks = append(staged.Chunks, c)
		}
		slices.Sort(staged.Chunks)
		s.Staged = append(s.Staged, staged)
	}
	writeJSON(w, http.StatusOK, s)
}

// claim starts a new epoch and responds with it and the highest fence (fencing token)
// of the orders so far.
func (e *Engine) claim(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.epoch++
	c := engine.Claim{Epoch: e.epoch, Fence: e.fence}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, c)
}

// stage creates the staging area of a version from the manifest in the body. An existing
// staging area is kept.
func (e *Engine) stage(w http.ResponseWriter, r *http.Request) {
	m := new(weights.Manifest)
	if json.NewDecoder(r.Body).Decode(m) != nil {
		http.Error(w, "manifest is not JSON", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staged[m.Ref] == nil {
		e.staged[m.Ref] = &stagedVersion{manifest: m, chunks: make(map[int][]byte)}
	}
}

// putChunk stages one chunk. With DiscardChunks, it does not keep the bytes of a correct
// chunk; getChunk generates them again.
func (e *Engine) putChunk(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i, _ := strconv.Atoi(r.PathValue("chunk")) // an invalid number selects chunk 0
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.staged[refFromPath(r)]
	if st == nil {
		http.Error(w, "nothing staged", http.StatusNotFound)
		return
	}
	if e.DiscardChunks && weights.Sum(b) == st.manifest.Chunks[i] {
		b = nil
	}
	st.chunks[i] = b
}

// getChunk responds with a staged chunk, which the fault settings may corrupt.
func (e *Engine) getChunk(w http.ResponseWriter, r *http.Request) {
	i, _ := strconv.Atoi(r.PathValue("chunk")) // an invalid number selects chunk 0
	e.mu.Lock()
	st := e.staged[refFromPath(r)]
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
	if e.Faults.corruptChunk() {
		b = slices.Clone(b)
		b[0] ^= 1
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b) // fails only if the client has disconnected
}

// dropStaging discards the manifest and chunks staged for a version.
func (e *Engine) dropStaging(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.staged, refFromPath(r))
}

// acceptOrder records the order's fence and reports whether the order may be
// executed. A stale order gets a 409 response if ChecksFences is set. The
// caller holds e.mu.
func (e *Engine) acceptOrder(w http.ResponseWriter, o engine.Order) bool {
	if e.ChecksFences && (o.Epoch < e.epoch || o.Fence < e.fence) {
		http.Error(w, fmt.Sprintf("stale order: epoch %d fence %d, have %d and %d", o.Epoch, o.Fence, e.epoch, e.fence), http.StatusConflict)
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.fences = append(e.fences, o.Fence)
	return true
}

// load loads a staged version into memory, as ordered by the body. It responds 404 if
// nothing is staged and 507 if the memory does not suffice.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "order is not JSON", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.acceptOrder(w, o) {
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
	e.removeLoaded(o.Ref)
	e.loaded = append(e.loaded, loadedVersion{
		Loaded: engine.Loaded{Ref: o.Ref, Bytes: st.manifest.Bytes, ManifestDigest: st.manifest.Digest(), Fence: o.Fence},
		whole:  st.whole(),
	})
	if e.Faults.dropResponse() {
		abortConnection()
	}
}

// whole reports whether all chunks are staged with their correct content.
func (s *stagedVersion) whole() bool {
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

// removeLoaded removes a version from the loaded ones, if it is loaded. The
// caller holds e.mu.
func (e *Engine) removeLoaded(ref weights.Ref) {
	e.loaded = slices.DeleteFunc(e.loaded, func(l loadedVersion) bool { return l.Ref == ref })
}

// unload removes a version from memory, as ordered by the body.
func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "order is not JSON", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.acceptOrder(w, o) {
		e.orders = append(e.orders, "unload "+o.Ref.String())
		e.removeLoaded(o.Ref)
		if e.Faults.dropResponse() {
			abortConnection()
		}
	}
}
