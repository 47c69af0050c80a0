// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mintlift/mintlift/engine"
)

// Service is a plain service. It adds each call to its journal and responds
// with an Echo. The zero value is ready for use.
type Service struct {
	Faults Faults
	// Latency is the duration of each call.
	Latency time.Duration

	mu      sync.Mutex
	journal []Run
}

// Echo is the response body of a plain service: the ID, the path and the body
// of the request that it received.
type Echo struct {
	Request string `json:"request"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// Journal returns a copy of the service's journal, oldest entry first.
func (s *Service) Journal() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.journal)
}

// Handler returns the service's HTTP API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.Faults.handle)
	mux.HandleFunc("GET /control/journal", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Journal()) })
	mux.HandleFunc("/", s.handleCall)
	return mux
}

// handleCall adds the request to the journal and, after Latency, responds with an Echo.
func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	if !s.Faults.beforeCall(w) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(engine.HeaderRequest)
	s.mu.Lock()
	s.journal = append(s.journal, Run{Request: id, Workspace: r.Header.Get(engine.HeaderWorkspace), Key: r.Header.Get(engine.HeaderKey), Whole: true, Done: true})
	s.mu.Unlock()
	time.Sleep(s.Latency)
	if s.Faults.dropResponse() {
		abortConnection()
	}
	w.Header().Set(engine.HeaderRequest, id)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Echo{Request: id, Path: r.URL.Path, Body: string(body)}) // fails only if the client has disconnected
}
