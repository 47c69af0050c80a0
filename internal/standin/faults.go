// SPDX-License-Identifier: Apache-2.0

// Package standin holds small stand-ins for the platform: the log service,
// the weight store with its origin, the box list, a model engine and a
// plain service. Each speaks the protocol that mintlift expects of the real
// thing (docs/PLATFORM.md) and has its faults switchable, in process or by
// POST /faults. They exist for tests, the demo and benchmarks.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mintlift/mintlift/engine"
)

// FaultSettings are the faults that a stand-in shows now.
type FaultSettings struct {
	// Down answers 503 to everything.
	Down bool `json:"down"`
	// SlowMS delays every answer.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers cuts the connection of the next calls that change
	// something, after the effect.
	LoseAnswers int `json:"lose_answers"`
	// LagMS delays what a reader sees of a change.
	LagMS int `json:"lag_ms"`
	// CorruptEvery spoils every n-th chunk; 0 spoils none.
	CorruptEvery int `json:"corrupt_every"`
	// ShowOffset, when positive, makes the log answer as it stood when this
	// was its end.
	ShowOffset int64 `json:"show_offset"`
	// DieAfterTokens cuts every stream after so many tokens, once.
	DieAfterTokens int `json:"die_after_tokens"`
	// ForeignAnswers answers under another request's id; ForeignEvents puts
	// an event of another request into each stream.
	ForeignAnswers bool `json:"foreign_answers"`
	ForeignEvents  bool `json:"foreign_events"`
	// LimitRate is a limit that an engine names, in requests a second, if Limited;
	// Draining says in each answer that it takes nothing new; BackoffSeconds, when positive, turns
	// all requests away and asks for backoff.
	Limited        bool    `json:"limited"`
	LimitRate      float64 `json:"limit_rate"`
	Draining       bool    `json:"draining"`
	BackoffSeconds float64 `json:"backoff_seconds"`
}

// Faults guards FaultSettings. The zero value shows no faults.
type Faults struct {
	mu     sync.Mutex
	s      FaultSettings
	served int
}

// Set replaces the settings.
func (f *Faults) Set(s FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.s = s
}

// Get returns the settings.
func (f *Faults) Get() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.s
}

// gate delays or refuses a call; it reports whether the call goes on.
func (f *Faults) gate(w http.ResponseWriter) bool {
	s := f.Get()
	if s.SlowMS > 0 {
		time.Sleep(time.Duration(s.SlowMS) * time.Millisecond)
	}
	if s.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// speak says of the engine what it is to say of itself; it reports whether the
// request is taken.
func (f *Faults) speak(w http.ResponseWriter) bool {
	s := f.Get()
	if s.Limited {
		w.Header().Set(engine.HeaderLimit, strconv.FormatFloat(s.LimitRate, 'f', -1, 64))
	}
	if s.Draining {
		w.Header().Set(engine.HeaderDraining, "1")
	}
	if s.BackoffSeconds <= 0 {
		return true
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(s.BackoffSeconds, 'f', -1, 64))
	http.Error(w, "backing off", http.StatusServiceUnavailable)
	return false
}

// lose reports whether the answer of a call that has taken effect is lost.
func (f *Faults) lose() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.s.LoseAnswers == 0 {
		return false
	}
	f.s.LoseAnswers--
	return true
}

// corrupt reports whether the chunk now sent is to be spoiled.
func (f *Faults) corrupt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served++
	return f.s.CorruptEvery > 0 && f.served%f.s.CorruptEvery == 0
}

// dieAt returns after how many tokens the next stream is cut, or 0, and
// resets the fault.
func (f *Faults) dieAt() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.s.DieAfterTokens
	f.s.DieAfterTokens = 0
	return n
}

func (f *Faults) handle(w http.ResponseWriter, r *http.Request) {
	var s FaultSettings
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(s)
}

// cut closes the connection without an answer.
func cut() { panic(http.ErrAbortHandler) }

// Server is a stand-in that listens.
type Server struct {
	http *http.Server
	addr string
}

// Serve listens on address ("127.0.0.1:0" for any port).
func Serve(address string, h http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{http: &http.Server{Handler: h}, addr: ln.Addr().String()}
	go func() { _ = s.http.Serve(ln) }() // ends with ErrServerClosed at Close
	return s, nil
}

// Address is the address that the stand-in listens on.
func (s *Server) Address() string { return s.addr }

// Close cuts every connection.
func (s *Server) Close() { _ = s.http.Close() }

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client has gone if this fails
}
