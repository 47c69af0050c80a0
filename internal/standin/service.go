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

// Service is a plain service. It answers each call with what it received
// and keeps a eventlog. The zero value is ready for use.
type Service struct {
	Faults Faults
	// Time is how long a call takes.
	Time time.Duration

	mu      sync.Mutex
	journal []Run
}

// Echo is a plain service's answer.
type Echo struct {
	Request string `json:"request"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// Journal returns a copy of the service's eventlog.
func (s *Service) Journal() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.journal)
}

// Handler returns the service's HTTP API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.Faults.handle)
	mux.HandleFunc("GET /control/journal", func(w http.ResponseWriter, _ *http.Request) { answerJSON(w, http.StatusOK, s.Journal()) })
	mux.HandleFunc("/", s.run)
	return mux
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	if !s.Faults.gate(w) {
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
	time.Sleep(s.Time)
	if s.Faults.lose() {
		cut()
	}
	w.Header().Set(engine.HeaderRequest, id)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Echo{Request: id, Path: r.URL.Path, Body: string(body)}) // the client has gone if this fails
}
