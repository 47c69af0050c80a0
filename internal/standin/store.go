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

// Content returns the correct bytes of a chunk. They are generated from the
// version's name and the chunk's index, so that they need not be stored.
func Content(ref weights.Ref, chunk int, size int64) []byte {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], xxhash.Sum64String(ref.String()))
	binary.LittleEndian.PutUint64(seed[8:], uint64(chunk))
	b := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(b) // never fails
	return b
}

// NewManifest returns the manifest of a version of size bytes in chunks of
// chunkSize bytes.
func NewManifest(ref weights.Ref, size, chunkSize int64) *weights.Manifest {
	m := &weights.Manifest{Ref: ref, Bytes: size, ChunkBytes: chunkSize}
	n := int((size + chunkSize - 1) / chunkSize)
	m.Chunks = make([]weights.Digest, n)
	for i := range m.Chunks {
		m.Chunks[i] = weights.Sum(Content(ref, i, m.Size(i)))
	}
	return m
}

// Store is the weight store, which serves manifests at a limited request
// rate, and the origin, which serves chunks at a limited bandwidth. Use
// NewStore.
type Store struct {
	Faults Faults

	mu           sync.Mutex
	manifests    map[weights.Ref][]byte            // as served
	parsed       map[weights.Ref]*weights.Manifest // of the versions that have chunks
	originLimit  *rate.Limiter                     // bytes
	requestLimit *rate.Limiter                     // requests for manifests
	sent         int64                             // bytes of chunks
}

const (
	storeRequestsPerSecond = 50        // limit of requests for manifests
	originBurst            = 256 << 10 // bytes that the origin may send at once
)

// NewStore returns a store whose origin sends at most bytesPerSecond; 0 means
// no limit.
func NewStore(bytesPerSecond float64) *Store {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	return &Store{
		manifests:    make(map[weights.Ref][]byte),
		parsed:       make(map[weights.Ref]*weights.Manifest),
		originLimit:  rate.NewLimiter(limit, originBurst),
		requestLimit: rate.NewLimiter(storeRequestsPerSecond, storeRequestsPerSecond),
	}
}

// Publish adds a version; its chunks have the bytes of Content.
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

// PublishRaw adds a manifest without validation. The origin has no chunks for
// it.
func (s *Store) PublishRaw(ref weights.Ref, manifest []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifests[ref] = manifest
}

// OriginBytes returns the number of bytes that the origin has sent.
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
		writeJSON(w, http.StatusOK, map[string]int64{"bytes": s.OriginBytes()})
	})
	mux.HandleFunc("POST /faults", s.Faults.handle)
	return mux
}

// refFromPath returns the model and version that a request's path names.
func refFromPath(r *http.Request) weights.Ref {
	return weights.Ref{Model: r.PathValue("model"), Version: r.PathValue("version")}
}

// manifest responds with a version's manifest, subject to the request rate limit.
func (s *Store) manifest(w http.ResponseWriter, r *http.Request) {
	if !s.Faults.beforeCall(w) {
		return
	}
	if !s.requestLimit.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the rate of requests", http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	b, ok := s.manifests[refFromPath(r)]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such version", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // fails only if the client has disconnected
}

// chunk responds with a chunk of a version, which the fault settings may corrupt, at the
// origin's bandwidth.
func (s *Store) chunk(w http.ResponseWriter, r *http.Request) {
	if !s.Faults.beforeCall(w) {
		return
	}
	i, err := strconv.Atoi(r.PathValue("chunk"))
	s.mu.Lock()
	m := s.parsed[refFromPath(r)]
	s.mu.Unlock()
	if err != nil || m == nil || i < 0 || i >= len(m.Chunks) {
		http.Error(w, "no such chunk", http.StatusNotFound)
		return
	}
	b := Content(m.Ref, i, m.Size(i))
	if s.Faults.corruptChunk() {
		b[len(b)/2] ^= 1
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	s.send(r.Context(), w, b)
}

// send writes b at the origin's bandwidth and counts the bytes. It stops early
// if ctx ends or a write fails.
func (s *Store) send(ctx context.Context, w io.Writer, b []byte) {
	const piece = 64 << 10
	for len(b) > 0 {
		n := min(piece, len(b))
		if s.originLimit.WaitN(ctx, n) != nil {
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
