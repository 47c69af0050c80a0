// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/mintlift/mintlift/weights"
)

// Content returns the true bytes of a chunk. They follow from the version's
// name, so that nothing has to keep them.
func Content(ref weights.Ref, chunk int, size int64) []byte {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], xxhash.Sum64String(ref.String()))
	binary.LittleEndian.PutUint64(seed[8:], uint64(chunk))
	b := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(b) // never fails
	return b
}

// NewManifest returns the manifest of a version with the given size.
func NewManifest(ref weights.Ref, size, chunk int64) *weights.Manifest {
	m := &weights.Manifest{Ref: ref, Bytes: size, ChunkBytes: chunk}
	n := int((size + chunk - 1) / chunk)
	m.Chunks = make([]weights.Digest, n)
	for i := range m.Chunks {
		m.Chunks[i] = weights.Sum(Content(ref, i, m.Size(i)))
	}
	return m
}

// Store is the weight store, which hands out manifests at a limited rate,
// and the origin, which hands out chunks over a link of limited speed. Use
// NewStore.
type Store struct {
	Faults Faults

	mu        sync.Mutex
	manifests map[weights.Ref][]byte
	parsed    map[weights.Ref]*weights.Manifest
	link      *rate.Limiter
	requests  *rate.Limiter
	sent      int64
}

const (
	storeRequestsPerSecond = 50
	originBurst            = 256 << 10
)

// NewStore returns a store whose origin sends bytesPerSecond; 0 sends as
// fast as it can.
func NewStore(bytesPerSecond float64) *Store {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	return &Store{
		manifests: make(map[weights.Ref][]byte),
		parsed:    make(map[weights.Ref]*weights.Manifest),
		link:      rate.NewLimiter(limit, originBurst),
		requests:  rate.NewLimiter(storeRequestsPerSecond, storeRequestsPerSecond),
	}
}

// Publish adds a version.
func (s *Store) Publish(m *weights.Manifest) {
	b, err := json.Marshal(m)
	if err != nil {
		panic("standin: manifest does not marshal: " + err.Error()) // plain fields always marshal
	}
	s.PublishRaw(m.Ref, b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parsed[m.Ref] = m
}

// PublishRaw adds a manifest as it is, broken or not.
func (s *Store) PublishRaw(ref weights.Ref, manifest []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifests[ref] = manifest
}

// OriginBytes returns the bytes of weights sent so far.
func (s *Store) OriginBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// Handler returns the store's and the origin's HTTP API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{model}/{version}/manifest", s.manifest)
	mux.HandleFunc("GET /origin/{model}/{version}/chunks/{chunk}", s.chunk)
	mux.HandleFunc("GET /origin/sent", func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, http.StatusOK, map[string]int64{"bytes": s.OriginBytes()})
	})
	mux.HandleFunc("POST /faults", s.Faults.handle)
	return mux
}

func refOf(r *http.Request) weights.Ref {
	return weights.Ref{Model: r.PathValue("model"), Version: r.PathValue("version")}
}

func (s *Store) manifest(w http.ResponseWriter, r *http.Request) {
	if !s.Faults.gate(w) {
		return
	}
	if !s.requests.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the rate of requests", http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	b, ok := s.manifests[refOf(r)]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such version", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // the client has gone if this fails
}

func (s *Store) chunk(w http.ResponseWriter, r *http.Request) {
	if !s.Faults.gate(w) {
		return
	}
	i, err := strconv.Atoi(r.PathValue("chunk"))
	s.mu.Lock()
	m := s.parsed[refOf(r)]
	s.mu.Unlock()
	if err != nil || m == nil || i < 0 || i >= len(m.Chunks) {
		http.Error(w, "no such chunk", http.StatusNotFound)
		return
	}
	b := Content(m.Ref, i, m.Size(i))
	if s.Faults.corrupt() {
		b[len(b)/2] ^= 1
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	s.send(r.Context(), w, b)
}

func (s *Store) send(ctx context.Context, w io.Writer, b []byte) {
	const piece = 64 << 10
	for len(b) > 0 {
		n := min(piece, len(b))
		if s.link.WaitN(ctx, n) != nil {
			return
		}
		if _, err := w.Write(b[:n]); err != nil {
			return
		}
		s.mu.Lock()
		s.sent += int64(n)
		s.mu.Unlock()
		b = b[n:]
	}
}
